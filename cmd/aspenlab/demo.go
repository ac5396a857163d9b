package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"aspenbarrow/example"
	"aspenbarrow/internal/demo"
)

// demoCommand runs the demonstration of package demo.
func demoCommand() *cobra.Command {
	opt := demo.Options{Config: example.Config}
	c := &cobra.Command{Use: "demo", Aliases: []string{"try"}, Short: "Run a relay with fake backends and clients on loopback in one process, and show placements, a drain and migrations",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			_, err := demo.Run(ctx, c.OutOrStdout(), opt)
			return err
		}}
	c.Flags().DurationVar(&opt.Duration, "for", 15*time.Second, "how long to run")
	c.Flags().IntVar(&opt.Backends, "backends", 3, "number of backends")
	c.Flags().IntVar(&opt.Clients, "clients", 8, "number of clients")
	return c
}
