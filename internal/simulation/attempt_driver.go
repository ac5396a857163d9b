package simulation

import (
	"bytes"
	"errors"
	"slices"

	"aspenbarrow/internal/session"
)

// errAttemptFailed is the error of every failed attempt: the simulation has no errors of the operating system.
var errAttemptFailed = errors.New("connection to the backend refused, ended or timed out")

// attemptDriver connects one attempt at a backend to the simulated network.
type attemptDriver struct {
	driver         *sessionDriver
	attempt        *session.Attempt
	conn           *connEnd
	upLine         []byte // the backend's UP line, which is forwarded to the client
	awaitingAnswer bool
	done           bool
}

// start dials the backend; a retry within the attempt starts here again.
func (a *attemptDriver) start() {
	r := a.driver.relay
	a.awaitingAnswer, a.conn = false, nil
	timeout := min(a.attempt.DialTimeout, a.attempt.Deadline-r.engine.now)
	r.dialBackend(a.attempt.Backend.Address(), timeout, func(conn *connEnd) {
		switch {
		case a.done:
			if conn != nil {
				conn.close()
			}
		case conn == nil:
			a.finish(a.attempt.DialFailed(errAttemptFailed, false))
		default:
			a.sendRequest(conn)
		}
	})
}

// sendRequest sends the request and waits for the answer until the attempt's deadline.
func (a *attemptDriver) sendRequest(conn *connEnd) {
	r := a.driver.relay
	a.conn = conn
	request, failure := a.attempt.Connected(r.engine.now)
	if failure != nil {
		a.finish(failure)
		return
	}
	ok := false
	conn.write(bytes.Join(request[:], nil), func(sent bool) { ok = sent })
	if !ok {
		a.finish(a.attempt.ConnectionEnded(0, false, errAttemptFailed, false))
		return
	}
	a.awaitingAnswer = true
	if !a.uncounted() {
		a.attempt.RequestSent()
	}
	conn.onReadable = a.readAnswer
	r.engine.scheduleAt(a.attempt.Deadline, r.whileRunning(func() {
		if a.conn == conn && a.awaitingAnswer {
			a.finish(a.attempt.ConnectionEnded(0, true, errAttemptFailed, true))
		}
	}))
	a.readAnswer()
}

// uncounted reports whether a mutation keeps the attempt out of the metrics.
func (a *attemptDriver) uncounted() bool {
	r := a.driver.relay
	if r.run.hasMutation(MutationAttemptsUndercounted) && r.engine.rng.IntN(50) == 0 {
		return true
	}
	return r.run.hasMutation(MutationShutdownAttemptsUncounted) && r.shuttingDown
}

// readAnswer reads the backend's answer, or the end of its connection.
func (a *attemptDriver) readAnswer() {
	if a.done || !a.awaitingAnswer {
		return
	}
	if len(a.conn.received) > 0 {
		n, failure := a.attempt.ReadAnswer(a.conn.received)
		if n > 0 || failure != nil {
			a.upLine = slices.Clone(a.conn.received[:n]) // these bytes count as read: a reset discards only unread ones
			a.conn.consume(n)
			a.finish(failure)
			return
		}
	}
	if a.conn.remoteEnd != session.NoEnd {
		a.finish(a.attempt.ConnectionEnded(0, true, errAttemptFailed, false))
	}
}

// cancel ends the attempt.
func (a *attemptDriver) cancel() {
	if a.done {
		return
	}
	failure := a.attempt.DialFailed(errAttemptFailed, true)
	if a.awaitingAnswer {
		failure = a.attempt.ConnectionEnded(0, true, errAttemptFailed, false)
		failure.Abandon()
	}
	a.finish(failure)
}

// finish ends the attempt, or starts its next dial after a failure that allows one.
func (a *attemptDriver) finish(failure *session.AttemptError) {
	r := a.driver.relay
	if a.done {
		return
	}
	if failure != nil {
		a.awaitingAnswer = false
		if a.conn != nil {
			if !r.run.hasMutation(MutationDescriptorLeak) {
				a.conn.close()
			}
			a.conn = nil
		}
		if delay, ok := a.attempt.RetryDelay(r.engine.now, failure); ok {
			r.engine.schedule(delay, r.whileRunning(func() {
				if !a.done {
					a.start()
				}
			}))
			return
		}
	}
	a.done = true
	if a.conn != nil {
		a.conn.onReadable = nil
	}
	r.handOff(func() { a.driver.attemptDone(a, failure) })
}
