package hotrestart

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnusable is matched by every error of a rejected document.
var ErrUnusable = errors.New("state of the predecessor process cannot be used")

// SyntaxError is a document that is not JSON of the expected form.
type SyntaxError struct{ Err error }

func (e *SyntaxError) Error() string { return fmt.Sprintf("%v: %v", ErrUnusable, e.Err) }

// Unwrap returns ErrUnusable and the decoder's error.
func (e *SyntaxError) Unwrap() []error { return []error{ErrUnusable, e.Err} }

// VersionError is a document of another version of the format.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("%v: document has version %d, want %d", ErrUnusable, e.Version, documentVersion)
}

// Unwrap returns ErrUnusable.
func (e *VersionError) Unwrap() error { return ErrUnusable }

// RelayError is a document of another relay.
type RelayError struct{ Name string }

func (e *RelayError) Error() string {
	return fmt.Sprintf("%v: written by another relay, %q", ErrUnusable, e.Name)
}

// Unwrap returns ErrUnusable.
func (e *RelayError) Unwrap() error { return ErrUnusable }

// AgeError is a document that was written too long ago or, with a negative age, in the future.
type AgeError struct{ Age time.Duration }

func (e *AgeError) Error() string {
	return fmt.Sprintf("%v: written %v ago, limit %v", ErrUnusable, e.Age, maxDocumentAge)
}

// Unwrap returns ErrUnusable.
func (e *AgeError) Unwrap() error { return ErrUnusable }

// BackendError is a backend record without a name or address, with an ID that does not match its name or, in a message, in an
// unknown state; there only a ready backend needs an address.
type BackendError struct{ Name, Address string }

func (e *BackendError) Error() string {
	return fmt.Sprintf("%v: backend record with name %q and address %q, want both set, or no address unless ready, the ID of that name and a known state", ErrUnusable, e.Name, e.Address)
}

// Unwrap returns ErrUnusable.
func (e *BackendError) Unwrap() error { return ErrUnusable }

// SizeError is a document over MaxDocumentBytes, with its size in bytes.
type SizeError struct{ Size int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("state has %d bytes, limit %d", e.Size, MaxDocumentBytes)
}
