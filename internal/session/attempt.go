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
	// resumeRetryDelay is the delay between two tries to resume a session.
	resumeRetryDelay = 250 * time.Millisecond
	// minTimeout is the least time for which a request is sent: the protocol counts in milliseconds.
	minTimeout = time.Millisecond
)

// maxIntegerDigits is the length of the longest int64 in decimal, its sign included.
const maxIntegerDigits = 20

// Attempt is one attempt at a backend. The caller dials and feeds it what was written and what came back; it ends with UP or
// with an AttemptError.
type Attempt struct {
	Backend     *upstream.Backend
	Deadline    time.Duration // on the relay's clock
	DialTimeout time.Duration
	StartedAt   time.Duration
	resume      bool // the backend holds the connection already, from before the relay's start
	number      int  // within the session, from 0
	open        *protocol.Open
	settings    *settings.Settings
	metrics     *metrics.Registry
	reader      protocol.BackendReader
	digits      [maxIntegerDigits]byte // holds the time-out that is written into the request
}

// DialFailed is the end of an attempt that got no connection; abandoned: since this relay gave it up.
func (a *Attempt) DialFailed(err error, abandoned bool) *AttemptError {
	return &AttemptError{stage: stageNotSent, abandoned: abandoned, err: err}
}

// Connected takes in that the connection is up. It returns the request in the pieces that are to be written together, or why
// it must not be sent any more.
func (a *Attempt) Connected(now time.Duration) (request [3][]byte, failure *AttemptError) {
	timeout := a.Deadline - now
	if timeout < minTimeout {
		return request, &AttemptError{stage: stageNotSent, err: ErrDeadlineExceeded}
	}
	// The dial may have outlasted a drain's grace: what is sent now would count as new work at the backend.
	if closedAt := a.Backend.ClosedAt(); closedAt != 0 && now-closedAt > a.settings.DrainGrace/2 {
		return request, &AttemptError{stage: stageNotSent, err: ErrBackendDraining}
	}
	a.reader = protocol.BackendReader{ReportFields: a.settings.ReportFieldNames}
	before, after := a.open.SplitAtTimeout()
	digits := strconv.AppendInt(a.digits[:0], timeout.Milliseconds(), 10)
	return [3][]byte{before, digits, after}, nil
}

// RequestSent takes in that all of the request has been written.
func (a *Attempt) RequestSent() { a.metrics.Dispatches.Add(1) }

// ConnectionEnded is the end of an attempt whose connection was up: so many bytes of the request had been written, with whole
// set all of them. With timeout set the connection has not ended, but nothing came in time.
func (a *Attempt) ConnectionEnded(bytesSent int, whole bool, err error, timeout bool) *AttemptError {
	switch {
	case whole:
		return &AttemptError{stage: stageSent, timeout: timeout, err: err}
	case bytesSent == 0:
		return &AttemptError{stage: stageNotSent, err: err}
	}
	return &AttemptError{stage: stagePartlySent, bytesSent: bytesSent, err: err}
}

// ReadAnswer looks at all that the backend has sent. A length above 0 is that of an UP line; 0 without a failure, that the
// line is not whole yet.
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

// RetryDelay reports whether the same request is sent again, and after which delay: only to resume a session, while the
// backend has certainly not taken the request.
func (a *Attempt) RetryDelay(now time.Duration, failure *AttemptError) (time.Duration, bool) {
	notTaken := failure.stage == stageNotSent || failure.answer == protocol.KindBusy
	hasTime := a.Deadline-now >= resumeRetryDelay
	return resumeRetryDelay, a.resume && notTaken && !failure.abandoned && hasTime
}
