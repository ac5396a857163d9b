package main

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"aspenbarrow/internal/config"
)

// debugVariable is the environment variable that sets the log level to debug if it is not empty.
const debugVariable = "ASPENBARROW_DEBUG"

// Sampling of log entries: of those with the same level and message, the first ones of each interval are logged, then
// every n-th.
const (
	logSamplingInterval = time.Second
	logSamplingFirst    = 20
	logSamplingEvery    = 100
)

// verbose is set at link time, -ldflags '-X main.verbose=1', for a build that logs at debug level.
var verbose string

// newLogger returns a logger that writes JSON lines to standard error. It samples them, so that a burst of errors
// cannot take up the relay's CPU time.
func newLogger(settings config.Config) (*zap.Logger, error) {
	level, err := logLevel(settings.LogLevel)
	if err != nil {
		return nil, err
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), level)
	sampled := zapcore.NewSamplerWithOptions(core, logSamplingInterval, logSamplingFirst, logSamplingEvery)
	return zap.New(sampled).With(zap.String("relay", settings.Relay.Name)), nil
}

// logLevel returns the level with the given name, info if there is none. A debug build and the debug variable override
// a valid name.
func logLevel(name string) (zapcore.Level, error) {
	level := zapcore.InfoLevel
	if name != "" {
		if err := level.Set(name); err != nil {
			return level, fmt.Errorf("log level: %w", err)
		}
	}
	if verbose != "" || os.Getenv(debugVariable) != "" {
		level = zapcore.DebugLevel
	}
	return level, nil
}
