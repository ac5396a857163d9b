package protocol

import "errors"

// The reasons for which a line is refused; a LineError wraps them. Their texts are read in logs, so they stay.
var (
	ErrLineTooLong   = errors.New("line over 4 KiB")
	ErrBareLF        = errors.New("line ended by a bare LF")
	ErrSyntax        = errors.New("not a line of the protocol")
	ErrUnknownClass  = errors.New("unknown class")
	ErrInvalidNumber = errors.New("bad number")
	ErrInvalidID     = errors.New("bad id")
	ErrDuplicateName = errors.New("a name comes twice")
)

// LineError is a line that was refused.
type LineError struct {
	Kind      LineKind // of the line, as far as it was known: KindIncomplete where it could not be told
	Parameter string   // the name in an OPEN line whose value was refused, or that came twice; empty: the line as a whole
	Err       error    // the reason, one of the Err values of this package
}

// Error is the reason's text alone: what was on the line is the client's and doesn't belong in a log.
func (e LineError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e LineError) Unwrap() error { return e.Err }
