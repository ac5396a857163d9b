package protocol

import (
	"errors"
	"fmt"
)

// The reasons for which a line is refused; a LineError wraps them. Their texts appear in the relay's log.
var (
	ErrLineTooLong   = fmt.Errorf("line is longer than %d bytes", MaxLineLength)
	ErrBareLF        = errors.New("line ends in LF, expected CRLF")
	ErrSyntax        = errors.New("line is not PING, STATS or a valid OPEN")
	ErrUnknownClass  = errors.New("unknown class, expected the name of a configured one")
	ErrInvalidNumber = fmt.Errorf("invalid number, expected digits with an optional decimal point, at most %d bytes; for a flag, 0 or 1",
		maxNumberLength)
	ErrInvalidID     = fmt.Errorf("invalid ID, key or group, expected %d lower-case hexadecimal digits", idDigits)
	ErrDuplicateName = errors.New("parameter name occurs more than once")
)

// LineError describes a line that was refused.
type LineError struct {
	Kind      LineKind // of the line, as far as it is known; KindIncomplete if it could not be determined
	Parameter string   // the name in an OPEN line whose value was refused, or that occurs twice; empty: the line as a whole
	Err       error    // the reason, one of the Err values of this package
}

// Error returns the text of the reason alone: the content of the line is the client's and must not be logged.
func (e LineError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e LineError) Unwrap() error { return e.Err }
