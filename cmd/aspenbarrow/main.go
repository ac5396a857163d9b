// Command aspenbarrow is the relay: it accepts clients' connections and relays
// each of them to a backend of its choice. Further commands check and show a
// configuration and ask a running relay about its fleet.
//
// Results go to standard output, errors and the log to standard error. The
// configuration is validated in full before the relay serves. The exit code is 2
// for a wrong command line or file, 1 for any other failure.
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
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"aspenbarrow/internal/config"
	"aspenbarrow/internal/relay"
)

// verbose makes a build that logs at debug level: -ldflags '-X main.verbose=1'.
var verbose string

// usage marks what is wrong with the command line or a file: exit code 2.
type usage struct{ error }

func (u usage) Unwrap() error { return u.error }

func main() {
	err := root().Execute()
	var u usage
	switch {
	case err == nil:
	case errors.As(err, &u):
		fmt.Fprintln(os.Stderr, "aspenbarrow:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "aspenbarrow:", err)
		os.Exit(1)
	}
}

// serve runs a relay by a file until it has left.
func serve(path string) error {
	// Before anything else: a SIGHUP that nobody catches ends the process and every connection with it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.Load(path, os.Getenv, false)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	apply(cfg)
	log, err := newLogger(cfg)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	r, err := relay.New(cfg.Relay, log)
	if err != nil {
		return err
	}
	go func() { // to the process's end: SIGHUP may come while the relay leaves, too
		for range hup {
			cfg = reload(path, cfg, r, log)
		}
	}()
	return r.Run(ctx)
}

// reload reads the configuration again and returns the one in force. An unsound one changes nothing.
func reload(path string, old config.Config, r *relay.Relay, log *zap.Logger) config.Config {
	cfg, err := config.Load(path, os.Getenv, true)
	if err == nil {
		err = cfg.CheckReplacement(old)
	}
	if err == nil {
		err = r.Reload(cfg.Relay)
	}
	r.Reloaded(err == nil)
	if err != nil {
		log.Error("configuration not taken, the running one stays", zap.Error(err))
		return old
	}
	apply(cfg)
	return cfg
}

// apply makes the limits those of this process.
func apply(c config.Config) {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	if c.Relay.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.Relay.MemoryMB) << 20 * 3 / 4)
	}
}

// newLogger logs JSON lines to standard error, of each kind at most 20 a second
// and then every hundredth: a storm must not cost the relay its core.
func newLogger(c config.Config) (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if c.LogLevel != "" {
		if err := level.Set(c.LogLevel); err != nil {
			return nil, fmt.Errorf("log level: %w", err)
		}
	}
	if verbose != "" || os.Getenv("ASPENBARROW_DEBUG") != "" {
		level = zapcore.DebugLevel
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(os.Stderr), level)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, 20, 100)).With(zap.String("relay", c.Relay.Name)), nil
}
