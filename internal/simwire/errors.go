package simwire

import "fmt"

// ErrorKind classifies what is wrong with a frame.
type ErrorKind uint8

// The kinds of errors.
const (
	// Truncated means that the frame ends before a field does.
	Truncated ErrorKind = iota + 1
	// BadFrameLength means that the header's length is out of range or differs from the frame's size.
	BadFrameLength
	// BadRecordCount means that the header announces more records than the frame can hold.
	BadRecordCount
	// TrailingBytes means that bytes follow the last record.
	TrailingBytes
	// UnknownEvent means that a record begins with a code that the protocol does not define.
	UnknownEvent
	// BadValue means that a field holds a value that the protocol does not define.
	BadValue
)

// FrameError reports a frame that cannot be read or decoded.
type FrameError struct {
	Kind   ErrorKind
	Offset int // of the error in the frame, in bytes

	text  string
	cause error // the reader's error; nil if the frame is malformed
}

// Error implements error.
func (e *FrameError) Error() string {
	if e.cause != nil {
		return e.text + ": " + e.cause.Error()
	}
	return e.text
}

// Unwrap returns the error of the reader that the frame came from, or nil.
func (e *FrameError) Unwrap() error { return e.cause }

func newFrameError(kind ErrorKind, offset int, format string, args ...any) *FrameError {
	return &FrameError{Kind: kind, Offset: offset, text: fmt.Sprintf(format, args...)}
}

// RecordError reports a record whose fields cannot be decoded. It wraps the FrameError of the field.
type RecordError struct {
	Code   EventCode
	Offset int // of the record's code in the frame, in bytes
	Err    *FrameError
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("event code %d at offset %d: %v", e.Code, e.Offset, e.Err)
}

// Unwrap returns the error of the field.
func (e *RecordError) Unwrap() error { return e.Err }
