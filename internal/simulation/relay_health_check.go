package simulation

import (
	"bytes"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/healthcheck"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/upstream"
)

// ReleaseHealthCheck closes the idle health check connection to a backend.
func (r *relay) ReleaseHealthCheck(id balance.BackendID) {
	if c := r.healthChecks.DropIdle(id); c != nil {
		c.(*connEnd).close()
	}
}

// StartHealthCheck starts a health check of a backend.
func (r *relay) StartHealthCheck(b *upstream.Backend) {
	r.handOff(func() {
		check, step := r.healthChecks.Start(r.engine.now, b)
		r.continueHealthCheck(check, step)
	})
}

// continueHealthCheck carries out one step of a check.
func (r *relay) continueHealthCheck(check *healthcheck.Check, step healthcheck.Step) {
	for _, c := range step.Close {
		c.(*connEnd).close()
	}
	if step.Keep != nil {
		r.keepIdle(step.Keep)
	}
	switch {
	case step.Done:
		r.post(func(now time.Duration) { r.controller.HealthCheckDone(now, check.Result) })
	case step.Dial:
		r.dialBackend(check.Address, r.controller.Settings().DialTimeout, func(conn *connEnd) {
			if conn == nil {
				r.continueHealthCheck(check, check.DialFailed(r.engine.now))
				return
			}
			r.continueHealthCheck(check, check.Connected(r.engine.now, conn))
		})
	default:
		r.sendHealthCheck(check, step.Send.(*connEnd))
	}
}

// sendHealthCheck sends the request of a check and waits for the answer until the check's deadline.
func (r *relay) sendHealthCheck(check *healthcheck.Check, conn *connEnd) {
	finished := false
	finish := func(next func(now time.Duration) healthcheck.Step) {
		if !finished {
			finished = true
			conn.onReadable = nil
			r.continueHealthCheck(check, next(r.engine.now))
		}
	}
	conn.onReadable = func() {
		if i := bytes.IndexByte(conn.received, '\n'); i >= 0 {
			answer := string(bytes.TrimRight(conn.received[:i], "\r\n"))
			conn.consume(i + 1)
			finish(func(now time.Duration) healthcheck.Step { return check.ReadAnswer(now, answer) })
		} else if conn.remoteEnd != session.NoEnd {
			finish(func(now time.Duration) healthcheck.Step { return check.ConnectionEnded(now, false) })
		}
	}
	r.engine.scheduleAt(max(check.Deadline, r.engine.now), r.whileRunning(func() {
		finish(func(now time.Duration) healthcheck.Step { return check.ConnectionEnded(now, true) })
	}))
	conn.write([]byte(r.healthChecks.RequestLine()), func(bool) {})
	conn.notifyReadable()
}

// keepIdle keeps a health check's connection for the next check, up to the idle timeout.
func (r *relay) keepIdle(idle *healthcheck.IdleConnection) {
	conn := idle.Conn.(*connEnd)
	conn.onReadable = nil
	r.engine.schedule(r.healthChecks.IdleTimeout(), r.whileRunning(func() {
		if r.healthChecks.ExpireIdle(idle) {
			conn.close()
		}
	}))
}
