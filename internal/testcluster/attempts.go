package testcluster

import "hash/fnv"

// loadOf is what a request's connection will take of a backend's cores: half to one and a half of the usual.
func (c *cluster) loadOf(request string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request))
	return c.options.Fleet.ConnLoad * (0.5 + float64(h.Sum64()>>11)/(1<<53))
}

// recordAttempt takes in an attempt that has come. One that its relay has given up may not have been read to its end
// here, though the relay ended it before: then it is heard of first.
func (c *cluster) recordAttempt(s *session) {
	c.mu.Lock()
	for s.backend.index >= len(c.attempts) {
		c.attempts = append(c.attempts, 0)
	}
	c.attempts[s.backend.index]++
	before := c.pendingAttempts[s.request]
	c.pendingAttempts[s.request] = s
	c.mu.Unlock()
	if before != nil && before != s && before.conn.peerHungUp() {
		before.conn.recordRelayEnd(closedCleanly)
	}
}

func (c *cluster) removeAttempt(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingAttempts[s.request] == s {
		delete(c.pendingAttempts, s.request)
	}
}
