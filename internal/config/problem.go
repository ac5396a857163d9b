package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// The kinds of problems of a key. A Problem or KeyError wraps one of these, or the error of another package.
var (
	ErrSyntax       = errors.New("invalid TOML syntax")
	ErrUnknownKey   = errors.New("unknown key")
	ErrMissingKey   = errors.New("missing key")
	ErrWrongType    = errors.New("value of the wrong type")
	ErrOutOfRange   = errors.New("value out of range")
	ErrUnknownValue = errors.New("value that is not one of those allowed")
	ErrInvalidValue = errors.New("malformed value")
	ErrDuplicate    = errors.New("duplicate value")
	ErrConflict     = errors.New("value that conflicts with another key")
)

// syntaxKey is the key of a Problem of a text that is not TOML.
const syntaxKey = "(syntax)"

// Problem is one error in a TOML file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`   // from 1
	Column int    `json:"column"` // from 1, in bytes
	Key    string `json:"key"`    // full name, as in "class[1].give-up"
	Reason string `json:"reason"`
	Value  any    `json:"-"` // the value in the file, as decoded; nil if the file has none
	Err    error  `json:"-"` // the cause
}

// Error implements the error interface. It returns one line that begins with the place of the problem.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Key, p.Reason)
}

// Unwrap returns the cause.
func (p Problem) Unwrap() error { return p.Err }

// Problems are all problems of a TOML file, in the order of their places.
type Problems []Problem

// Error implements the error interface. It returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, problem := range ps {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each problem as an error.
func (ps Problems) Unwrap() []error {
	errs := make([]error, len(ps))
	for i, problem := range ps {
		errs[i] = problem
	}
	return errs
}

// sorted sorts the problems by their places; those at one place keep the order in which they were found.
func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ps
}

// KeyError reports the first key of a JSON file that has no usable value.
type KeyError struct {
	File  string
	Key   string // path within the file, as in "membership.period"; empty if the text is not JSON
	Value any    // nil if there is none
	Err   error  // the cause

	text string
}

// Error implements the error interface.
func (e *KeyError) Error() string { return e.text }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }
