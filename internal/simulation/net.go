package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/session"
)

// box is one machine with one process on it.
type host struct {
	engine      *engine
	name        string
	addr        string
	up          bool // the process runs and listens
	unreachable bool // the machine says nothing and hears nothing
	incarnation int  // counts the processes
	onAccept    func(*connEnd)
	conns       []*connEnd // open
	nodeKind    fault.NodeKind
	nodeIndex   int
}

// connEnd is one side of a connection, as TCP has them: bytes arrive in order, late and
// split anywhere; a side may end orderly, break off, refuse, say nothing, or stop
// taking bytes. Nothing is delivered out of order, twice, or past an end.
type connEnd struct {
	engine        *engine
	id            int
	host          *host
	incarnation   int
	peer          *connEnd
	received      []byte          // arrived, not taken yet
	receiveBuffer []byte          // where in begins, to be used again
	remoteEnd     session.EndKind // how the other side ended, once that has arrived
	onReadable    func()          // called when something has arrived
	observer      connObserver    // who watches; nil: nobody
	lastArrival   time.Duration
	unreadByPeer  int // bytes of ours that the other side has not taken
	pendingWrites []*pendingWrite
	writeClosed   bool
	closed        bool
	resetSent     bool // a reset has been sent back already
}

type pendingWrite struct {
	data      []byte
	done      func(ok bool)
	cancelled bool
}

// tap sees what passes on the relay's side of a connection, in bytes.
type connObserver interface {
	Received(b []byte)               // from the other side
	ReceivedEnd(how session.EndKind) //
	Written(b []byte)                // by the relay
	WrittenEnd(how session.EndKind)  //
	SetBlocked(on bool)              // the other side takes nothing
}

func (e *engine) newHost(name, addr string) *host { return &host{engine: e, name: name, addr: addr} }

// of says which party the machine is.
func (h *host) withNode(kind fault.NodeKind, who int) *host {
	h.nodeKind, h.nodeIndex = kind, who
	return h
}

// delay is how long a segment is under way.
func (e *engine) segmentDelay() time.Duration {
	d := e.randomDuration(80*time.Microsecond, 700*time.Microsecond)
	if e.conditions.latencyFactor != 1 {
		d = time.Duration(float64(d) * e.conditions.latencyFactor)
	}
	return d
}

// start brings a new process up.
func (h *host) start() {
	h.up, h.unreachable = true, false
	h.incarnation++
}

// kill ends the process; its system breaks all connections off.
func (h *host) kill() {
	h.up = false
	h.incarnation++
	for len(h.conns) > 0 {
		h.conns[len(h.conns)-1].reset()
	}
}

// vanish takes the machine off the network: no word to anybody.
func (h *host) disconnect() {
	h.up, h.unreachable = false, true
	h.incarnation++
	for _, conn := range h.conns {
		conn.closed = true
	}
	h.conns = nil
}

// dial opens a connection. The callback has nil if it was refused or did not come
// up in time; it is not called any more once the dialling process has ended.
func (h *host) dial(addr *host, within time.Duration, done func(conn *connEnd)) {
	engine, life, over := h.engine, h.incarnation, false
	finish := func(conn *connEnd) {
		if over || h.incarnation != life {
			if conn != nil {
				conn.reset()
			}
			return
		}
		over = true
		done(conn)
	}
	engine.schedule(within, func() {
		if !over {
			finish(nil)
		}
	})
	late, cut := engine.connectDelay(h, addr)
	if cut || engine.randomChance(engine.conditions.synLossRate) {
		return
	}
	engine.schedule(late+engine.segmentDelay(), func() {
		switch {
		case addr.unreachable:
		case !addr.up:
			engine.schedule(engine.segmentDelay(), func() { finish(nil) })
		default:
			engine.connCount += 2
			near := &connEnd{engine: engine, id: engine.connCount - 1, host: h, incarnation: life}
			far := &connEnd{engine: engine, id: engine.connCount, host: addr, incarnation: addr.incarnation, peer: near}
			near.peer = far
			if h.incarnation != life { // whoever dialled is gone
				near.closed = true
			} else {
				h.conns = append(h.conns, near)
			}
			addr.conns = append(addr.conns, far)
			addr.onAccept(far)
			engine.schedule(engine.segmentDelay(), func() { finish(near) })
		}
	})
}

// drop forgets an end among those that are open.
func (c *connEnd) removeFromHost() {
	for i, o := range c.host.conns {
		if o == c {
			last := len(c.host.conns) - 1
			c.host.conns[i] = c.host.conns[last]
			c.host.conns = c.host.conns[:last]
			return
		}
	}
}

// send has something arrive at the other side, after what was sent before.
func (c *connEnd) transmit(arrives func(peer *connEnd)) {
	engine, peer := c.engine, c.peer
	c.lastArrival = max(c.lastArrival, engine.now+engine.segmentDelay()+engine.streamDelay(c.host, peer.host))
	engine.scheduleAt(c.lastArrival, func() {
		if peer.host.unreachable || c.host.unreachable {
			return
		}
		arrives(peer)
	})
}

// write sends bytes. While the other side takes none the call waits; done hears
// of it (at once, mostly). The pending write may be called off.
func (c *connEnd) write(b []byte, done func(ok bool)) *pendingWrite {
	if c.closed || c.writeClosed || c.remoteEnd == session.EndReset {
		done(false)
		return nil
	}
	if len(c.pendingWrites) > 0 || c.unreadByPeer > 0 && c.unreadByPeer+len(b) > c.engine.receiveWindow {
		p := &pendingWrite{data: append([]byte(nil), b...), done: done}
		c.pendingWrites = append(c.pendingWrites, p)
		if c.observer != nil {
			c.observer.SetBlocked(true)
		}
		return p
	}
	c.transmitBytes(b)
	done(true)
	return nil
}

// put sends bytes, split anywhere.
func (c *connEnd) transmitBytes(b []byte) {
	if c.observer != nil {
		c.observer.Written(b)
	}
	if c.engine.trace != nil {
		c.engine.tracef("%s %d> %q", c.host.name, c.id, b)
	}
	c.unreadByPeer += len(b)
	b = append([]byte(nil), b...)
	for len(b) > 0 {
		n := len(b)
		if c.engine.rng.IntN(8) == 0 {
			n = 1 + c.engine.rng.IntN(n)
		}
		part := b[:n]
		b = b[n:]
		c.transmit(func(peer *connEnd) { peer.receive(part) })
	}
}

// arrived takes in a segment.
func (c *connEnd) receive(b []byte) {
	if c.closed || c.host.incarnation != c.incarnation || c.engine.randomChance(c.engine.conditions.resetRate) {
		c.rejectSegment()
		return
	}
	if c.remoteEnd == session.EndReset {
		return // what was under way when the connection broke is lost
	}
	if c.observer != nil {
		c.observer.Received(b)
	}
	if len(c.received) == 0 {
		c.received = c.receiveBuffer[:0]
	}
	c.received = append(c.received, b...)
	if len(c.received) == len(b) {
		c.receiveBuffer = c.received
	}
	c.notifyReadable()
}

// refuse answers what nobody takes any more: the other side's connection breaks.
func (c *connEnd) rejectSegment() {
	if c.resetSent || !c.host.up {
		return
	}
	c.resetSent = true
	c.transmit(func(peer *connEnd) { peer.receiveEnd(session.EndReset) })
	if !c.closed {
		c.receiveEnd(session.EndReset)
	}
}

func (c *connEnd) notifyReadable() {
	if c.onReadable != nil && !c.closed {
		c.onReadable()
	}
}

// take is done with the first bytes of what has arrived.
func (c *connEnd) consume(n int) {
	if n = min(n, len(c.received)); n == 0 { // a reset takes what had not been read
		return
	}
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
	p := c.peer
	p.unreadByPeer -= n
	for len(p.pendingWrites) > 0 && !p.closed {
		next := p.pendingWrites[0]
		if next.cancelled {
			p.pendingWrites = p.pendingWrites[1:]
			continue
		}
		if p.unreadByPeer > 0 && p.unreadByPeer+len(next.data) > p.engine.receiveWindow {
			return
		}
		p.pendingWrites = p.pendingWrites[1:]
		if len(p.pendingWrites) == 0 && p.observer != nil {
			p.observer.SetBlocked(false)
		}
		p.transmitBytes(next.data)
		next.done(true)
	}
}

// gotEnd hears that the other side has ended.
func (c *connEnd) receiveEnd(how session.EndKind) {
	if c.remoteEnd == session.EndReset || c.remoteEnd != session.NoEnd && how == session.EndFIN {
		return
	}
	c.remoteEnd = how
	if c.engine.trace != nil {
		c.engine.tracef("%s %d< end %d", c.host.name, c.id, how)
	}
	if c.observer != nil {
		c.observer.ReceivedEnd(how)
	}
	if how == session.EndReset {
		c.received = nil
		c.failWrites()
	}
	c.notifyReadable()
}

func (c *connEnd) failWrites() {
	ws := c.pendingWrites
	c.pendingWrites = nil
	for _, p := range ws {
		if !p.cancelled {
			p.done(false)
		}
	}
}

// closeWrite ends our side after all that was written.
func (c *connEnd) closeWrite() {
	if c.closed || c.writeClosed || c.remoteEnd == session.EndReset {
		return
	}
	c.writeClosed = true
	c.observeEnd(session.EndFIN)
	c.transmit(func(peer *connEnd) { peer.receiveEnd(session.EndFIN) })
}

func (c *connEnd) observeEnd(how session.EndKind) {
	if c.engine.trace != nil {
		c.engine.tracef("%s %d> end %d", c.host.name, c.id, how)
	}
	if c.observer != nil {
		c.observer.WrittenEnd(how)
	}
}

// reset breaks the connection off: what has not arrived is lost.
func (c *connEnd) reset() {
	if c.closed {
		return
	}
	c.closed = true
	c.removeFromHost()
	c.observeEnd(session.EndReset)
	c.received, c.onReadable = nil, nil
	c.pendingWrites = nil
	c.transmit(func(peer *connEnd) {
		if !peer.closed {
			peer.receiveEnd(session.EndReset)
		}
	})
}

// close is done with the connection; over unread bytes it is a reset.
func (c *connEnd) close() {
	if c.closed {
		return
	}
	if len(c.received) > 0 {
		c.reset()
		return
	}
	c.closeWrite()
	c.closed = true
	c.removeFromHost()
	if c.observer != nil {
		c.observer.WrittenEnd(session.EndTimeout) // no reader any more
	}
	c.onReadable, c.pendingWrites = nil, nil
}
