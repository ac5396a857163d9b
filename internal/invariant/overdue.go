package invariant

import "bytes"

// CheckOverdue checks for what should have happened by now and did not.
func (c *Checker) CheckOverdue() {
	for _, x := range c.clientConns {
		if !x.excused() && x.checkOverdue() {
			x.blockedAt = c.now() // reports the same delay once
		}
	}
}

// checkOverdue reports whether the session violates a rule by what did not happen.
func (x *ClientConn) checkOverdue() bool {
	c, b, now := x.checker, x.backend, x.checker.now()
	maxDelay := c.limits.MaxLineDelay
	switch {
	case b.ended && now-b.endedAt > maxDelay && !x.ended:
		c.violated(RuleHeldLine, "client %d was not told for a second that its backend has ended", x.id)
	case x.ended && now-x.endedAt > maxDelay && !b.closedByRelay && !b.blocked:
		c.violated(RuleHeldLine, "a backend was not told for a second that client %d has ended", x.id)
	case b.unansweredSince != 0 && now-max(b.unansweredSince, b.heardAt) > c.limits.SilenceTimeout && !b.ended && !x.ended:
		c.violated(RuleSilentBackend, "client %d stays with a backend that says nothing", x.id)
	case len(b.undelivered) > 0 && now-b.undelivered[0].since > maxDelay && bytes.IndexByte(b.toClient, '\n') >= 0:
		c.violated(RuleHeldLine, "client %d waits for a line", x.id)
	default:
		return false
	}
	return true
}

// excused reports whether no delay can be held against the relay: the client has no session, the connection has
// ended, the client takes or lately took nothing, or the relay's process was paused.
func (x *ClientConn) excused() bool {
	return x.backend == nil || x.backend.unknown || !x.open() || x.blockedLately() || x.checker.wasPausedLately(x.relay)
}

// OpenConnections returns how many connections of a relay are still open, for the end of a run.
func (c *Checker) OpenConnections(relay int) (n int) {
	for _, x := range c.clientConns {
		if x.relay == relay && x.open() {
			n++
		}
	}
	restarts := c.relays[relay].restarts
	for _, b := range c.backendConns {
		if b.relay == relay && b.restarts == restarts && !b.closedByRelay {
			n++
		}
	}
	return n
}
