// This file owns one attempt at a backend: the first line out, the first line
// back, and how far it had come when it failed. It must never send a line again
// by itself, write to a backend that is closed to new work, or hide how far a
// failed attempt had come.

package machine

import (
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// stage is how far an attempt had come.
type stage uint8

const (
	unsent   stage = iota // no connection, or closed before its first byte
	written               // so many bytes were written, not all
	waited                // the last byte is out, no answer is in
	answered              // the backend answered, but not with UP
)

// AttemptError is the end of an attempt that did not stand.
type AttemptError struct {
	stage   stage
	wrote   int // bytes of the first line that went out
	answer  event
	timeout bool
	stopped bool // given up by this relay
	report  []float32
	err     error
}

func (e *AttemptError) Error() string {
	switch e.stage {
	case unsent:
		return fmt.Sprintf("not sent: %v", e.err)
	case written:
		return fmt.Sprintf("broken after %d bytes: %v", e.wrote, e.err)
	case waited:
		return fmt.Sprintf("sent, no answer: %v", e.err)
	}
	return fmt.Sprintf("answered: %v", e.err)
}

func (e *AttemptError) Unwrap() error { return e.err }

// status is the outcome that the module hears. Before the last byte is written
// the attempt cannot have run.
func (e *AttemptError) status() balance.Status {
	switch {
	case e.stopped && (e.stage == unsent || e.stage == written): // given up, and no word against the backend either
		return balance.StatusAbandoned
	case e.stopped:
		return balance.StatusCancelled
	case e.stage == unsent || e.stage == written:
		return balance.StatusConnectFailed
	case e.stage == waited && e.timeout:
		return balance.StatusTimeout
	case e.stage == waited:
		return balance.StatusReset
	}
	switch e.answer {
	case busy:
		return balance.StatusOverloaded
	case moved, unread: // what it cannot read is no fault of the backend's
		return balance.StatusCancelled
	case bye:
		return balance.StatusOK
	}
	return balance.StatusError
}

// Backend is what flows need of a backend. A Node owns the list of them; the
// rest may read one from any goroutine.
type Backend struct {
	ID     balance.BackendID
	Name   string
	addr   atomic.Pointer[string]
	closed atomic.Int64    // when it was heard to drain or be gone, on the module's clock; 0: open
	line   balance.Backend // as the list had it last; the Node's own
}

// Addr is where the backend listens, as the list last said.
func (b *Backend) Addr() string { return *b.addr.Load() }

// set keeps the moment from which a backend wants nothing new.
func (b *Backend) set(now time.Duration, s balance.BackendState) {
	if s == balance.StateReady {
		b.closed.Store(0)
	} else {
		b.closed.CompareAndSwap(0, int64(now))
	}
}

const (
	again      = 250 * time.Millisecond
	resumeDial = 5 * time.Second
)

var (
	errLate    = errors.New("the time was up before the first byte")
	errDrained = errors.New("the backend drains or is gone")
)

// Attempt is one attempt: dialled by the driver, then fed what was written and
// what came back. It ends with UP or with an AttemptError.
type Attempt struct {
	To     *Backend
	Until  time.Duration // on the module's clock
	Dial   time.Duration // how long the connection may take to come up
	Begun  time.Duration
	resume bool // a connection from before this start, at the backend that holds it
	number int
	open   *Open
	set    *settings.Settings
	book   *Ledger
	lines  backendLines
	digits [20]byte
}

// Failed is the end before any connection was up.
func (a *Attempt) Failed(err error, stopped bool) *AttemptError {
	return &AttemptError{stage: unsent, stopped: stopped, err: err}
}

// Dialled returns the first line in the pieces that are to be written together,
// or why it must not go out.
func (a *Attempt) Dialled(now time.Duration) (head [3][]byte, fail *AttemptError) {
	left := a.Until - now
	if left < time.Millisecond {
		return head, &AttemptError{stage: unsent, err: errLate}
	}
	// The dial may have outlasted a drain's grace: what is sent now would count as new work there.
	if closed := a.To.closed.Load(); closed != 0 && int64(now)-closed > int64(a.set.DrainGrace/2) {
		return head, &AttemptError{stage: unsent, err: errDrained}
	}
	a.lines = backendLines{fields: a.set.ReportFieldNames}
	o := a.open
	return [3][]byte{o.line[:o.left], strconv.AppendInt(a.digits[:0], left.Milliseconds(), 10), o.line[o.right:]}, nil
}

// Sent hears that the first line is out, whole.
func (a *Attempt) Sent() { a.book.dispatches.Add(1) }

// Broke is the end of a connection that came up: n bytes of the first line had
// been written, with whole set all of them.
func (a *Attempt) Broke(n int, whole bool, err error, timeout bool) *AttemptError {
	switch {
	case whole:
		return &AttemptError{stage: waited, timeout: timeout, err: err}
	case n == 0:
		return &AttemptError{stage: unsent, err: err}
	}
	return &AttemptError{stage: written, wrote: n, err: err}
}

// Answer looks at all that the backend has sent: n over 0 is an UP line of so
// many bytes, 0 without an error a line that is not whole yet.
func (a *Attempt) Answer(b []byte) (n int, fail *AttemptError) {
	ev, n, err := a.lines.feed(b)
	switch {
	case err != nil:
		return 0, &AttemptError{stage: answered, answer: odd, err: err}
	case ev == needMore:
		return 0, nil
	case ev == up:
		return n, nil
	}
	return 0, &AttemptError{stage: answered, answer: ev, report: a.lines.report, err: fmt.Errorf("%q", b[:n])}
}

// Again says whether and after what pause the same line goes out again: only for
// a connection from before this start, while the backend has certainly not taken it.
func (a *Attempt) Again(now time.Duration, fail *AttemptError) (time.Duration, bool) {
	return again, a.resume && (fail.stage == unsent || fail.answer == busy) && !fail.stopped && a.Until-now >= again
}

// GivenUp marks an attempt that this relay itself broke off.
func (e *AttemptError) GivenUp() { e.stopped = true }
