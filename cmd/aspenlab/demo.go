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

// demoCommand shows a relay at work on this machine.
func demoCommand() *cobra.Command {
	opt := demo.Options{Config: example.Config}
	c := &cobra.Command{Use: "demo", Aliases: []string{"try"}, Short: "Show a relay at work: placements, a drain, moves, all on loopback in one process",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			_, err := demo.Run(ctx, c.OutOrStdout(), opt)
			return err
		}}
	c.Flags().DurationVar(&opt.Duration, "for", 15*time.Second, "how long it takes")
	c.Flags().IntVar(&opt.Backends, "backends", 3, "how many backends")
	c.Flags().IntVar(&opt.Clients, "clients", 8, "how many clients")
	return c
}
