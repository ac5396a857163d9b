package main

import (
	"errors"
	"fmt"
)

// Errors of the command line and of the environment.
var (
	errNoConfigurationFile  = errors.New("configuration: PROXY_CONFIG names no file")
	errServeWithoutConfig   = errors.New("serve wants --config FILE")
	errNoConfigToShow       = errors.New("--config FILE is missing, and PROXY_CONFIG names none")
	errNoEffectiveSettings  = errors.New("the platform's JSON has no keys of its own to show; give a TOML file")
	errMembersWithoutTarget = errors.New("members wants --at ADDRESS, a relay's second address")
	errNoBuildInfo          = errors.New("the program does not know what it was built from")
)

// usageError marks an error of the command line or of a configuration file. The program exits with exitUsage on it.
type usageError struct{ err error }

// Error returns the text of the underlying error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.err }

// invalidFilesError is the result of a check that found problems.
type invalidFilesError struct {
	Invalid  int // files with at least one problem
	Checked  int // files in total
	Problems int // problems in all files
}

// Error returns the counts.
func (e invalidFilesError) Error() string {
	return fmt.Sprintf("%d of %d files are unsound, %d faults", e.Invalid, e.Checked, e.Problems)
}

// adminFailure is the reason that an admin endpoint gave for a FAILURE.
type adminFailure string

// Error returns the reason as the endpoint gave it.
func (e adminFailure) Error() string { return string(e) }

// truncatedAnswerError means that an admin endpoint closed the connection before the end of its answer.
type truncatedAnswerError struct {
	Address string
	Command string
}

// Error names the endpoint and the command.
func (e truncatedAnswerError) Error() string {
	return fmt.Sprintf("%s: the answer to %s was cut short", e.Address, e.Command)
}

// emptyAnswerError means that an admin endpoint answered with success and no records.
type emptyAnswerError struct{ Address string }

// Error names the endpoint.
func (e emptyAnswerError) Error() string { return e.Address + ": an empty answer" }
