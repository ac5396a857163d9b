package membership

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Reasons for rejecting a datagram. A decodeError wraps one of them.
var (
	errNotMessage   = errors.New("not a membership datagram")
	errMalformed    = errors.New("malformed encoding")
	errFieldType    = errors.New("unexpected wire type")
	errMissingField = errors.New("missing field")
	errVersion      = errors.New("unsupported protocol version")
	errNameLength   = errors.New("invalid name length")
	errKind         = errors.New("unknown message kind")
	errTarget       = errors.New("target outside the list of peers")
	errUpdate       = errors.New("invalid update")
)

// decodeError reports where and why a datagram was rejected. It wraps the reason, and protowire's error where there is one.
type decodeError struct {
	reason error            // one of the reasons above
	field  protowire.Number // 0: the datagram as a whole, or a field whose number can't be read
	offset int              // bytes to the field, or to the update within it, from the datagram's start; its length if a field is missing
	detail error            // text of the error, with the values found
}

// newDecodeError returns a decodeError whose text is formatted as by fmt.Errorf.
func newDecodeError(reason error, field protowire.Number, offset int, format string, args ...any) *decodeError {
	return &decodeError{reason: reason, field: field, offset: offset, detail: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *decodeError) Error() string { return e.detail.Error() }

// Unwrap returns the reason and the detail, for errors.Is and errors.As.
func (e *decodeError) Unwrap() []error { return []error{e.reason, e.detail} }
