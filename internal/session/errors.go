package session

import (
	"errors"
	"fmt"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
)

// The errors of a handshake, besides those of its lines. The texts appear in the relay's log.
var (
	ErrHandshakeTimeout = errors.New("handshake timed out")
	ErrTruncatedLine    = errors.New("connection closed within a line")
	ErrTooManyPings     = fmt.Errorf("more than %d PING or STATS lines before OPEN", maxPings)
	ErrNotResumable     = fmt.Errorf("session to resume arrived after a new one, or more than %v after the relay's start", ResumeTimeout)
	ErrDataBeforeAnswer = errors.New("client sent more data before the answer to its OPEN line")
)

// The reasons for which this relay ends an attempt; an AttemptError wraps them.
var (
	ErrLateUp           = errors.New("UP arrived after the client was answered or had left")
	ErrDeadlineExceeded = errors.New("attempt deadline exceeded")
	ErrBackendDraining  = errors.New("backend is draining or removed")
)

// attemptStage is the progress of an attempt.
type attemptStage uint8

const (
	stageNotSent    attemptStage = iota // there was no connection, or it ended before the request's first byte
	stagePartlySent                     // part of the request was written
	stageSent                           // all of it was written, and there is no answer
	stageAnswered                       // the backend has answered, but not with UP
)

// AttemptError describes the end of an attempt that established no session.
type AttemptError struct {
	stage     attemptStage
	bytesSent int // of the request, at stagePartlySent
	answer    protocol.LineKind
	timeout   bool
	abandoned bool // ended by this relay
	load      []float32
	err       error
}

func (e *AttemptError) Error() string {
	switch e.stage {
	case stageNotSent:
		return fmt.Sprintf("request not sent: %v", e.err)
	case stagePartlySent:
		return fmt.Sprintf("connection lost after %d bytes of the request: %v", e.bytesSent, e.err)
	case stageSent:
		return fmt.Sprintf("request sent, but no answer: %v", e.err)
	}
	return fmt.Sprintf("backend did not answer UP: %v", e.err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.err }

// Abandon marks an attempt that this relay itself has ended.
func (e *AttemptError) Abandon() { e.abandoned = true }

// UnknownAnswer reports whether the backend's answer was SYNTAX or not part of the protocol.
func (e *AttemptError) UnknownAnswer() bool {
	return e.answer == protocol.KindUnknown || e.answer == protocol.KindSyntax
}

// Status returns the outcome that is reported to the balancer. A request cannot have been executed before its last byte is
// written.
func (e *AttemptError) Status() balance.Status {
	requestIncomplete := e.stage == stageNotSent || e.stage == stagePartlySent
	switch {
	case e.abandoned && requestIncomplete:
		return balance.StatusAbandoned
	case e.abandoned:
		return balance.StatusCancelled
	case requestIncomplete:
		return balance.StatusConnectFailed
	case e.stage == stageSent && e.timeout:
		return balance.StatusTimeout
	case e.stage == stageSent:
		return balance.StatusReset
	}
	return e.answerStatus()
}

func (e *AttemptError) answerStatus() balance.Status {
	switch e.answer {
	case protocol.KindBusy:
		return balance.StatusOverloaded
	case protocol.KindMove, protocol.KindSyntax: // a request that it cannot parse does not count against the backend
		return balance.StatusCancelled
	case protocol.KindBye:
		return balance.StatusOK
	}
	return balance.StatusError
}
