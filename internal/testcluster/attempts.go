package testcluster

import "hash/fnv"

// loadOf returns how many of a backend's cores the connection of a request occupies: between 0.5 and 1.5 times the mean.
func (c *cluster) loadOf(request string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request))
	return c.options.Fleet.ConnectionLoad * (0.5 + float64(h.Sum64()>>11)/(1<<53))
}

// recordAttempt records that an attempt has reached a backend. If the relay already closed its previous attempt for
// the same request, but the close has not been read here yet, that close is reported to the checker first.
func (c *cluster) recordAttempt(s *session) {
	c.mu.Lock()
	for s.backend.index >= len(c.attempts) {
		c.attempts = append(c.attempts, 0)
	}
	c.attempts[s.backend.index]++
	previous := c.pendingAttempts[s.request]
	c.pendingAttempts[s.request] = s
	c.mu.Unlock()
	if previous != nil && previous != s && previous.conn.peerHungUp() {
		previous.conn.recordRelayEnd(closedCleanly)
	}
}

// removeAttempt removes an attempt whose connection has ended.
func (c *cluster) removeAttempt(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingAttempts[s.request] == s {
		delete(c.pendingAttempts, s.request)
	}
}
