package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"aspenbarrow/internal/config"
	"aspenbarrow/internal/relay"
)

// The Go runtime's soft memory limit is this share of the configured memory; the rest is left for what the runtime
// does not count.
const (
	memoryLimitNumerator   = 3
	memoryLimitDenominator = 4
)

// newServeCommand returns the command that serves a configuration file.
func newServeCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Serve with a configuration file",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serveFromFlag(path) },
	}
	command.Flags().StringVar(&path, "config", "", "configuration file")
	return command
}

// serveFromFlag serves the file given on the command line. An invalid TOML file is a usageError, one in the platform's JSON is not.
func serveFromFlag(path string) error {
	if path == "" {
		return usageError{errServeWithoutConfig}
	}
	err := serve(path)
	if problems := (config.Problems{}); errors.As(err, &problems) {
		return usageError{err}
	}
	return err
}

// serveFromEnvironment serves the file that PROXY_CONFIG names. An invalid file is no usageError: the platform that
// starts the program this way expects exitFailure.
func serveFromEnvironment() error {
	path := os.Getenv(configVariable)
	if path == "" {
		return errConfigVariableUnset
	}
	return serve(path)
}

// serve runs a relay with a configuration file until SIGTERM or an interrupt has shut it down.
func serve(path string) error {
	// Before anything else: an unhandled SIGHUP ends the process and every connection with it.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	current, err := config.Load(path, os.Getenv, false)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	applyProcessLimits(current)
	log, err := newLogger(current)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	server, err := relay.New(current.Relay, log)
	if err != nil {
		return err
	}
	go func() { // until the process exits: SIGHUP may also arrive during a graceful shutdown
		for range reloadSignals {
			current = reload(path, current, server, log)
		}
	}()
	return server.Run(ctx)
}

// reload reads the configuration file again and returns the configuration in force. An invalid file changes nothing.
func reload(path string, current config.Config, server *relay.Relay, log *zap.Logger) config.Config {
	loaded, err := loadReplacement(path, current, server)
	server.Reloaded(err == nil)
	if err != nil {
		log.Error("configuration reload rejected, keeping the current configuration", zap.Error(err))
		return current
	}
	applyProcessLimits(loaded)
	return loaded
}

// loadReplacement reads a configuration file, checks that it may replace the current one, and passes it to the relay.
func loadReplacement(path string, current config.Config, server *relay.Relay) (config.Config, error) {
	loaded, err := config.Load(path, os.Getenv, true)
	if err != nil {
		return config.Config{}, err
	}
	if err := loaded.CheckReplacement(current); err != nil {
		return config.Config{}, err
	}
	if err := server.Reload(loaded.Relay); err != nil {
		return config.Config{}, err
	}
	return loaded, nil
}

// applyProcessLimits sets the limits on cores and memory for this process.
func applyProcessLimits(limits config.Config) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	}
	if limits.Relay.MemoryMB > 0 {
		memoryBytes := int64(limits.Relay.MemoryMB) << 20
		debug.SetMemoryLimit(memoryBytes * memoryLimitNumerator / memoryLimitDenominator)
	}
}
