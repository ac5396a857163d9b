package session

import (
	"fmt"
	"strconv"
	"time"

	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

const (
	// resumeRetryDelay is the delay before a request that is to resume a session is sent again.
	resumeRetryDelay = 250 * time.Millisecond
	// minTimeout is the shortest time-out with which a request is sent: the protocol counts in milliseconds.
	minTimeout = time.Millisecond
)

// maxIntegerDigits is the length of the longest int64 in decimal, its sign included.
const maxIntegerDigits = 20

// Attempt is one attempt at a backend. The caller dials, and reports what was written and received; the attempt ends with
// UP or with an AttemptError.
type Attempt struct {
	Backend     *upstream.Backend
	Deadline    time.Duration // on the relay's clock
	DialTimeout time.Duration
	StartedAt   time.Duration
	resume      bool // the backend already holds the connection, from before the relay's start
	number      int  // within the session, from 0
	open        *protocol.Open
	settings    *settings.Settings
	metrics     *metrics.Registry
	reader      protocol.BackendReader
	digits      [maxIntegerDigits]byte // buffer for the time-out that is written into the request
}

// DialFailed returns the error of an attempt that got no connection or has not used it; abandoned is set if this relay
// cancelled the attempt.
func (a *Attempt) DialFailed(err error, abandoned bool) *AttemptError {
	return &AttemptError{stage: stageNotSent, abandoned: abandoned, err: err}
}

// Connected records that the connection is established. It returns the request in pieces that are to be written together,
// or the reason why it must no longer be sent.
func (a *Attempt) Connected(now time.Duration) (request [3][]byte, failure *AttemptError) {
	timeout := a.Deadline - now
	if timeout < minTimeout {
		return request, &AttemptError{stage: stageNotSent, err: fmt.Errorf("%w: %v left, expected at least %v", ErrDeadlineExceeded,
			timeout, minTimeout)}
	}
	// The dial may have lasted beyond half of a drain's grace period: a request sent now would count as new work at the backend.
	if closedAt := a.Backend.ClosedAt(); closedAt != 0 && now-closedAt > a.settings.DrainGrace/2 {
		return request, &AttemptError{stage: stageNotSent, err: fmt.Errorf("%w: for %v, expected at most %v", ErrBackendDraining,
			now-closedAt, a.settings.DrainGrace/2)}
	}
	a.reader = protocol.BackendReader{ReportFields: a.settings.ReportFieldNames}
	before, after := a.open.SplitAtTimeout()
	digits := strconv.AppendInt(a.digits[:0], timeout.Milliseconds(), 10)
	return [3][]byte{before, digits, after}, nil
}

// RequestSent records that all of the request has been written.
func (a *Attempt) RequestSent() { a.metrics.Dispatches.Add(1) }

// ConnectionEnded returns the error of an attempt whose connection was established: bytesSent bytes of the request were
// written, or all of them if allSent is set. If timeout is set, the connection has not ended, but nothing arrived in time.
func (a *Attempt) ConnectionEnded(bytesSent int, allSent bool, err error, timeout bool) *AttemptError {
	switch {
	case allSent:
		return &AttemptError{stage: stageSent, timeout: timeout, err: err}
	case bytesSent == 0:
		return &AttemptError{stage: stageNotSent, err: err}
	}
	return &AttemptError{stage: stagePartlySent, bytesSent: bytesSent, err: err}
}

// ReadAnswer parses all bytes that the backend has sent. A length above 0 is that of an UP line; 0 without a failure means
// that the line is not complete yet.
func (a *Attempt) ReadAnswer(b []byte) (length int, failure *AttemptError) {
	kind, length, err := a.reader.Feed(b)
	switch {
	case err != nil:
		return 0, &AttemptError{stage: stageAnswered, answer: protocol.KindUnknown, err: err}
	case kind == protocol.KindIncomplete:
		return 0, nil
	case kind == protocol.KindUp:
		return length, nil
	}
	return 0, &AttemptError{stage: stageAnswered, answer: kind, load: a.reader.Report, err: fmt.Errorf("%q", b[:length])}
}

// RetryDelay reports whether the same request is sent again, and after which delay: only to resume a session, and only if
// the backend has certainly not accepted the request.
func (a *Attempt) RetryDelay(now time.Duration, failure *AttemptError) (time.Duration, bool) {
	notAccepted := failure.stage == stageNotSent || failure.answer == protocol.KindBusy
	hasTime := a.Deadline-now >= resumeRetryDelay
	return resumeRetryDelay, a.resume && notAccepted && !failure.abandoned && hasTime
}
