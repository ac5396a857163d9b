package main

import (
	"errors"
	"fmt"
)

// Errors of the command line and of the environment.
var (
	errConfigVariableUnset   = errors.New("configuration: PROXY_CONFIG is not set, expected the path of a configuration file")
	errServeWithoutConfig    = errors.New("serve requires --config FILE")
	errNoConfigFile          = errors.New("no configuration file: give --config FILE or set PROXY_CONFIG")
	errNoEffectiveSettings   = errors.New("the configuration file is the platform's JSON; config show requires a TOML file")
	errMembersWithoutAddress = errors.New("members requires --at ADDRESS, the address of a relay's admin endpoint")
	errNoBuildInfo           = errors.New("the program was built without build information")
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
	return fmt.Sprintf("%d of %d files are invalid, %d problems in total", e.Invalid, e.Checked, e.Problems)
}

// adminFailure is the reason that an admin endpoint gave for a FAILURE.
type adminFailure string

// Error returns the reason as the endpoint gave it.
func (e adminFailure) Error() string { return string(e) }

// truncatedAnswerError means that the answer of an admin endpoint could not be read to its end.
type truncatedAnswerError struct {
	Address string
	Command string
	Cause   error // why reading stopped before the end; nil: the endpoint closed the connection
}

// Error names the endpoint and the command, and the cause if there is one.
func (e truncatedAnswerError) Error() string {
	text := fmt.Sprintf("%s: answer to %s truncated: the final line EOT is missing", e.Address, e.Command)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e truncatedAnswerError) Unwrap() error { return e.Cause }

// emptyAnswerError means that an admin endpoint answered MEMBERS with success and no records.
type emptyAnswerError struct{ Address string }

// Error names the endpoint.
func (e emptyAnswerError) Error() string {
	return e.Address + ": empty answer to MEMBERS, expected a summary and a line for each member"
}
