package session

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// attemptStage is how far an attempt had come.
type attemptStage uint8

const (
	stageNotSent    attemptStage = iota // no connection, or closed before its first byte
	stagePartlySent                     // so many bytes were written, not all
	stageSent                           // the last byte is out, no answer is in
	stageAnswered                       // the backend answered, but not with UP
)

// AttemptError is the end of an attempt that did not stand.
type AttemptError struct {
	stage     attemptStage
	bytesSent int // bytes of the first line that went out
	answer    protocol.LineKind
	timeout   bool
	abandoned bool // given up by this relay
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

func (e *AttemptError) Unwrap() error { return e.err }

// Status is the outcome that the module hears. Before the last byte is written
// the attempt cannot have run.
func (e *AttemptError) Status() balance.Status {
	switch {
	case e.abandoned && (e.stage == stageNotSent || e.stage == stagePartlySent): // given up, and no word against the backend either
		return balance.StatusAbandoned
	case e.abandoned:
		return balance.StatusCancelled
	case e.stage == stageNotSent || e.stage == stagePartlySent:
		return balance.StatusConnectFailed
	case e.stage == stageSent && e.timeout:
		return balance.StatusTimeout
	case e.stage == stageSent:
		return balance.StatusReset
	}
	switch e.answer {
	case protocol.KindBusy:
		return balance.StatusOverloaded
	case protocol.KindMove, protocol.KindSyntax: // what it cannot read is no fault of the backend's
		return balance.StatusCancelled
	case protocol.KindBye:
		return balance.StatusOK
	}
	return balance.StatusError
}

const (
	resumeRetryDelay  = 250 * time.Millisecond
	resumeDialTimeout = 5 * time.Second
)

var (
	ErrDeadlineExceeded = errors.New("the time was up before the first byte")
	ErrBackendDraining  = errors.New("the backend drains or is gone")
)

// Attempt is one attempt: dialled by the driver, then fed what was written and
// what came back. It ends with UP or with an AttemptError.
type Attempt struct {
	Backend     *upstream.Backend
	Deadline    time.Duration // on the module's clock
	DialTimeout time.Duration // how long the connection may take to come up
	StartedAt   time.Duration
	resume      bool // a connection from before this start, at the backend that holds it
	number      int
	open        *protocol.Open
	settings    *settings.Settings
	metrics     *metrics.Registry
	reader      protocol.BackendReader
	digits      [20]byte
}

// DialFailed is the end before any connection was up.
func (a *Attempt) DialFailed(err error, stopped bool) *AttemptError {
	return &AttemptError{stage: stageNotSent, abandoned: stopped, err: err}
}

// Connected returns the first line in the pieces that are to be written together,
// or why it must not go out.
func (a *Attempt) Connected(now time.Duration) (head [3][]byte, fail *AttemptError) {
	left := a.Deadline - now
	if left < time.Millisecond {
		return head, &AttemptError{stage: stageNotSent, err: ErrDeadlineExceeded}
	}
	// The dial may have outlasted a drain's grace: what is sent now would count as new work there.
	if closed := a.Backend.ClosedAt(); closed != 0 && now-closed > a.settings.DrainGrace/2 {
		return head, &AttemptError{stage: stageNotSent, err: ErrBackendDraining}
	}
	a.reader = protocol.BackendReader{ReportFields: a.settings.ReportFieldNames}
	before, after := a.open.SplitAtTimeout()
	return [3][]byte{before, strconv.AppendInt(a.digits[:0], left.Milliseconds(), 10), after}, nil
}

// RequestSent hears that the first line is out, whole.
func (a *Attempt) RequestSent() { a.metrics.Dispatches.Add(1) }

// ConnectionEnded is the end of a connection that came up: n bytes of the first line had
// been written, with whole set all of them.
func (a *Attempt) ConnectionEnded(n int, whole bool, err error, timeout bool) *AttemptError {
	switch {
	case whole:
		return &AttemptError{stage: stageSent, timeout: timeout, err: err}
	case n == 0:
		return &AttemptError{stage: stageNotSent, err: err}
	}
	return &AttemptError{stage: stagePartlySent, bytesSent: n, err: err}
}

// ReadAnswer looks at all that the backend has sent: n over 0 is an UP line of so
// many bytes, 0 without an error a line that is not whole yet.
func (a *Attempt) ReadAnswer(b []byte) (n int, fail *AttemptError) {
	ev, n, err := a.reader.Feed(b)
	switch {
	case err != nil:
		return 0, &AttemptError{stage: stageAnswered, answer: protocol.KindUnknown, err: err}
	case ev == protocol.KindIncomplete:
		return 0, nil
	case ev == protocol.KindUp:
		return n, nil
	}
	return 0, &AttemptError{stage: stageAnswered, answer: ev, load: a.reader.Report, err: fmt.Errorf("%q", b[:n])}
}

// RetryDelay says whether and after what pause the same line goes out again: only for
// a connection from before this start, while the backend has certainly not taken it.
func (a *Attempt) RetryDelay(now time.Duration, fail *AttemptError) (time.Duration, bool) {
	return resumeRetryDelay, a.resume && (fail.stage == stageNotSent || fail.answer == protocol.KindBusy) && !fail.abandoned && a.Deadline-now >= resumeRetryDelay
}

// Abandon marks an attempt that this relay itself broke off.
func (e *AttemptError) Abandon() { e.abandoned = true }
