package testcluster

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/simulation"
)

// heldSessionTimeout is how long a backend holds a session whose relay has died and whose client does not come back.
const heldSessionTimeout = 4 * time.Second

// A flow is an established connection of a client with a backend that survives its relay, as connections through
// packet-forwarding relays do. Fleet.MidStreamShare of all connections are flows. When the relay dies or migrates the
// session, the backend keeps holding it, and the client requests it mid-stream from another relay. A flow is identified
// by the receipt that the backend sent with UP.

// openFlow decides whether a connection that has just been established is a flow.
func (c *client) openFlow(receipt string) {
	c.closeFlow()
	share := c.cluster.options.Fleet.MidStreamShare
	if share <= 0 || c.random.Float64() >= share {
		return
	}
	c.flow = receipt
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	c.cluster.flows[receipt] = true
}

// closeFlow ends the client's flow, if there is one: its visit is over, the flow continues as a new connection, or it
// has been reset.
func (c *client) closeFlow() {
	if c.flow == "" {
		return
	}
	cluster, receipt := c.cluster, c.flow
	c.flow = ""
	cluster.mu.Lock()
	delete(cluster.flows, receipt)
	cluster.mu.Unlock()
	if holder := cluster.backendOfReceipt(receipt); holder != nil {
		holder.releaseHeld(receipt)
	}
}

// failFlow ends the client's flow after a mid-stream request that was not served.
func (c *client) failFlow() {
	if c.flow != "" {
		c.cluster.incrementCount("mid-stream reset")
		c.closeFlow()
	}
}

// countMidStreamRequest counts a request if it is mid-stream.
func (c *cluster) countMidStreamRequest(request *simulation.OpenLine) {
	if request.MidStream {
		c.incrementCount("mid-stream request")
	}
}

// flowIsOpen reports whether the session with a receipt is one of a flow.
func (c *cluster) flowIsOpen(receipt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flows[receipt]
}

// newReceipt returns the receipt of the next session. It is called with the lock held.
func (b *backend) newReceipt() string {
	b.receiptCount++
	return strings.Join([]string{strconv.Itoa(b.index), strconv.Itoa(b.generation), strconv.Itoa(b.receiptCount)}, "-")
}

// backendOfReceipt returns the backend that wrote a receipt, or nil.
func (c *cluster) backendOfReceipt(receipt string) *backend {
	text, _, _ := strings.Cut(receipt, "-")
	index, err := strconv.Atoi(text)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || index < 0 || index >= len(c.backends) {
		return nil
	}
	return c.backends[index]
}

// isMidStream reports whether an OPEN line's parameters ask for an open connection.
func isMidStream(parameters string) bool {
	return slices.Contains(strings.Split(parameters, ","), "mid=1")
}

// endOrHold releases the load of a session whose connection has ended, unless it is one of a flow: the backend holds
// such a session until the flow ends, for at most heldSessionTimeout. It is called with the backend's lock held.
func (s *session) endOrHold() {
	b := s.backend
	if !s.loadCounted || s.disconnected || b.generation != s.generation || !b.cluster.flowIsOpen(s.receipt) {
		s.releaseLoad()
		return
	}
	b.held = append(b.held, s)
	b.runAfter(heldSessionTimeout, func() { b.dropHeld(func(held *session) bool { return held == s }) })
}

// releaseHeld ends a session that the backend holds, if it does.
func (b *backend) releaseHeld(receipt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropHeld(func(held *session) bool { return held.receipt == receipt })
}

// dropHeld ends the first held session that matches and returns it, or nil. It is called with the lock held.
func (b *backend) dropHeld(matches func(held *session) bool) *session {
	i := slices.IndexFunc(b.held, matches)
	if i < 0 {
		return nil
	}
	held := b.held[i]
	b.held = slices.Delete(b.held, i, i+1)
	held.releaseLoad()
	return held
}

// resumeFlow gives a mid-stream request the session of its flow. It returns false if the backend does not hold it. It is
// called with the backend's lock held.
func (s *session) resumeFlow() bool {
	held := s.backend.dropHeld(func(held *session) bool { return held.key == s.key })
	if held == nil {
		return false
	}
	s.load = held.load
	s.backend.cluster.incrementCount("mid-stream resumed")
	return true
}

// countConnection adds the load of a session that is established now. It is called with the backend's lock held.
func (s *session) countConnection() {
	b, c := s.backend, s.backend.cluster
	s.loadCounted = true
	b.model.SetConnection(c.now(), s.id, s.load, 0)
	c.withLoadRecorder(func(l *loadstats.Recorder) {
		l.ConnectionOpened(s.id, loadstats.Connection{Key: s.key, Relay: s.conn.relay.index, Backend: b.index, Load: s.load, Opened: c.elapsed()})
	})
}
