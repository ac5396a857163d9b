package session

import (
	"errors"
	"fmt"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
)

// What can be wrong with a handshake, beside its lines. The texts are read in logs, so they stay.
var (
	ErrHandshakeTimeout = errors.New("no whole line in time")
	ErrTruncatedLine    = errors.New("ended within a line")
	ErrTooManyPings     = errors.New("too many probes")
	ErrNotResumable     = errors.New("at a backend, but not from before the start")
	ErrDataBeforeAnswer = errors.New("sent on before its answer")
)

// Why this relay ends an attempt; an AttemptError wraps them.
var (
	ErrLateUp           = errors.New("UP came after the final answer")
	ErrDeadlineExceeded = errors.New("the time was up before the first byte")
	ErrBackendDraining  = errors.New("the backend drains or is gone")
)

// attemptStage is how far an attempt had come.
type attemptStage uint8

const (
	stageNotSent    attemptStage = iota // there was no connection, or it ended before the request's first byte
	stagePartlySent                     // part of the request was written
	stageSent                           // all of it was written, and there is no answer
	stageAnswered                       // the backend has answered, but not with UP
)

// AttemptError is the end of an attempt that established no session.
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
		return fmt.Sprintf("not sent: %v", e.err)
	case stagePartlySent:
		return fmt.Sprintf("broken after %d bytes: %v", e.bytesSent, e.err)
	case stageSent:
		return fmt.Sprintf("sent, no answer: %v", e.err)
	}
	return fmt.Sprintf("answered: %v", e.err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.err }

// Abandon marks an attempt that this relay itself has ended.
func (e *AttemptError) Abandon() { e.abandoned = true }

// UnknownAnswer reports whether the backend's answer was none of the protocol, or SYNTAX.
func (e *AttemptError) UnknownAnswer() bool {
	return e.answer == protocol.KindUnknown || e.answer == protocol.KindSyntax
}

// Status is the outcome that the balancer is told. Until the last byte of the request is written it cannot have been
// executed.
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
	case protocol.KindMove, protocol.KindSyntax: // a request that it cannot read is no fault of the backend's
		return balance.StatusCancelled
	case protocol.KindBye:
		return balance.StatusOK
	}
	return balance.StatusError
}
