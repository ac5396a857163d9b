package invariant

import "bytes"

// CheckOverdue checks the sessions for deliveries, answers and ends of connections that are overdue.
func (c *Checker) CheckOverdue() {
	for _, client := range c.clientConns {
		if !client.excused() && client.checkOverdue() {
			client.blockedAt = c.now() // suppresses a second report of the same delay
		}
	}
}

// checkOverdue checks one session and reports whether something is overdue.
func (client *ClientConn) checkOverdue() bool {
	c, b, now := client.checker, client.backend, client.checker.now()
	maxDelay := c.limits.MaxLineDelay
	switch {
	case b.ended && now-b.endedAt > maxDelay && !client.ended:
		c.reportViolation(RuleHeldLine, "client %d was not disconnected within %v after its backend had closed", client.id, maxDelay)
	case client.ended && now-client.endedAt > maxDelay && !b.closedByRelay && !b.blocked:
		c.reportViolation(RuleHeldLine, "a backend was not disconnected within %v after client %d had closed", maxDelay, client.id)
	case b.unansweredSince != 0 && now-b.unansweredSince > c.limits.SilenceTimeout && !b.ended && !client.ended:
		c.reportViolation(RuleSilentBackend, "client %d stays with a backend that has not answered for %v", client.id, c.limits.SilenceTimeout)
	case len(b.undelivered) > 0 && now-b.undelivered[0].since > maxDelay && bytes.IndexByte(b.bytesForClient, '\n') >= 0:
		c.reportViolation(RuleHeldLine, "a line for client %d has been held back for %v", client.id, now-b.undelivered[0].since)
	default:
		return false
	}
	return true
}

// excused reports whether the relay is not responsible for delays: the client has no session with a known backend, the
// connection has ended, the client is not reading or was not until recently, or the relay's process was paused.
func (client *ClientConn) excused() bool {
	return client.backend == nil || client.backend.unknown || !client.open() || client.recentlyBlocked() ||
		client.checker.recentlyPaused(client.relay)
}

// OpenConnections returns how many connections of a relay are still open. It is meant for the end of a run.
func (c *Checker) OpenConnections(relay int) (n int) {
	for _, client := range c.clientConns {
		if client.relay == relay && client.open() {
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
