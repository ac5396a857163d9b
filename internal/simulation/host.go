package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
)

// networkConditions are the impairments in force on the whole network.
type networkConditions struct {
	latencyFactor    float64 // multiplies the normal latency
	datagramLossRate float64 // share of datagrams lost in addition to the normal loss
	resetRate        float64 // share of segments that reset their connection
	synLossRate      float64 // share of SYNs lost, that is, of connections that are never established
}

// host is one machine with at most one process on it.
type host struct {
	engine      *engine
	name        string
	addr        string
	up          bool // the process runs and listens
	unreachable bool // the machine is off the network: it neither sends nor receives
	incarnation int  // changes with every start and end of a process
	onAccept    func(*connEnd)
	conns       []*connEnd // open ends
	nodeKind    fault.NodeKind
	nodeIndex   int
}

// newHost returns a host without a running process.
func (e *engine) newHost(name, addr string) *host { return &host{engine: e, name: name, addr: addr} }

// withNode sets the node by which link faults refer to the host, and returns the host.
func (h *host) withNode(kind fault.NodeKind, index int) *host {
	h.nodeKind, h.nodeIndex = kind, index
	return h
}

// segmentDelay draws the time that a segment takes through the network, without link faults.
func (e *engine) segmentDelay() time.Duration {
	delay := e.randomDuration(80*time.Microsecond, 700*time.Microsecond)
	if e.conditions.latencyFactor != 1 {
		delay = time.Duration(float64(delay) * e.conditions.latencyFactor)
	}
	return delay
}

// start starts a new process.
func (h *host) start() {
	h.up, h.unreachable = true, false
	h.incarnation++
}

// kill ends the process. The operating system resets its connections.
func (h *host) kill() {
	h.up = false
	h.incarnation++
	for len(h.conns) > 0 {
		h.conns[len(h.conns)-1].reset()
	}
}

// disconnect takes the machine off the network. Peers receive neither a FIN nor a reset.
func (h *host) disconnect() {
	h.up, h.unreachable = false, true
	h.incarnation++
	for _, conn := range h.conns {
		conn.closed = true
	}
	h.conns = nil
}

// dial opens a connection. done receives nil if the connection is refused or not established within the timeout. It
// is not called once the dialling process has ended.
func (h *host) dial(to *host, timeout time.Duration, done func(conn *connEnd)) {
	engine, incarnation, finished := h.engine, h.incarnation, false
	finish := func(conn *connEnd) {
		if finished || h.incarnation != incarnation {
			if conn != nil {
				conn.reset()
			}
			return
		}
		finished = true
		done(conn)
	}
	engine.schedule(timeout, func() {
		if !finished {
			finish(nil)
		}
	})
	delay, blocked := engine.connectDelay(h, to)
	if blocked || engine.randomChance(engine.conditions.synLossRate) {
		return
	}
	engine.schedule(delay+engine.segmentDelay(), func() {
		switch {
		case to.unreachable:
		case !to.up:
			engine.schedule(engine.segmentDelay(), func() { finish(nil) })
		default:
			near := h.connectTo(to, incarnation)
			engine.schedule(engine.segmentDelay(), func() { finish(near) })
		}
	})
}

// connectTo creates both ends of a connection and passes the far end to the other host's onAccept. It returns the
// near end, which is already closed if the dialling process has ended in the meantime.
func (h *host) connectTo(to *host, incarnation int) *connEnd {
	engine := h.engine
	engine.connCount += 2
	near := &connEnd{engine: engine, id: engine.connCount - 1, host: h, incarnation: incarnation}
	far := &connEnd{engine: engine, id: engine.connCount, host: to, incarnation: to.incarnation, peer: near}
	near.peer = far
	if h.incarnation != incarnation {
		near.closed = true
	} else {
		h.conns = append(h.conns, near)
	}
	to.conns = append(to.conns, far)
	to.onAccept(far)
	return near
}
