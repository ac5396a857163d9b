package settings

import (
	"errors"
	"fmt"
)

// The causes that a FieldError wraps, besides the errors of encoding/json.
var (
	ErrNoClasses     = errors.New("settings without request classes")
	ErrUnknownValue  = errors.New("unknown value")
	ErrOutOfRange    = errors.New("value out of range")
	ErrDuplicateName = errors.New("empty or duplicate name")
	ErrTooFewEntries = errors.New("too few entries in a list")
)

// FieldError reports a field of the settings object whose value is invalid.
type FieldError struct {
	Field string // path within the object, as in "classes[1].give-up-ms"; empty if the text is not JSON
	Value any    // the invalid value; nil if there is none; for a value of the wrong JSON type the name of its type
	Err   error  // the cause

	reason string
}

func fieldError(field string, value any, cause error, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Value: value, Err: cause, reason: fmt.Sprintf(format, args...)}
}

// classField returns the path of a field of the class with the given index.
func classField(index int, name string) string { return fmt.Sprintf("classes[%d].%s", index, name) }

// Error implements the error interface.
func (e *FieldError) Error() string { return "settings: " + e.reason }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// ClassLimitError reports settings whose classes, with those of earlier settings of the process, exceed MaxClasses.
type ClassLimitError struct{ Count int }

// Error implements the error interface.
func (e *ClassLimitError) Error() string {
	return fmt.Sprintf("%d classes since the start, dropped and changed ones included, expected at most %d: restart the relay",
		e.Count, MaxClasses)
}
