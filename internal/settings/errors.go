package settings

import (
	"errors"
	"fmt"
)

// What can be wrong with a field of the settings object. A FieldError wraps one of these, or the error of encoding/json.
var (
	ErrNoClasses     = errors.New("settings without request classes")
	ErrUnknownWord   = errors.New("a word that this field does not know")
	ErrOutOfRange    = errors.New("a value out of range")
	ErrDuplicateName = errors.New("a name that is empty or comes twice")
	ErrTooFewEntries = errors.New("a list with too few entries")
)

// FieldError reports a field of the settings object that has no usable value.
type FieldError struct {
	Field string // path within the object, as in "classes[1].give-up-ms"; empty if the text is not JSON
	Value any    // the value at fault; nil if there is none; for a value of the wrong kind its kind
	Err   error  // the cause

	reason string
}

func fieldError(field string, value any, cause error, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Value: value, Err: cause, reason: fmt.Sprintf(format, args...)}
}

// classField returns the path of a field of the class with an index.
func classField(index int, name string) string { return fmt.Sprintf("classes[%d].%s", index, name) }

// Error implements the error interface.
func (e *FieldError) Error() string { return "settings: " + e.reason }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// ClassLimitError reports settings whose classes, with those of earlier settings of the process, exceed MaxClasses.
type ClassLimitError struct{ Count int }

// Error implements the error interface.
func (e *ClassLimitError) Error() string {
	return fmt.Sprintf("%d classes since the start, dropped and changed ones included, over %d: restart the relay", e.Count, MaxClasses)
}
