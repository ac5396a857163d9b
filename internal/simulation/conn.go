package simulation

import (
	"slices"
	"time"

	"aspenbarrow/internal/session"
)

// connEnd is one end of a TCP-like connection. Bytes arrive after a delay, in segments of any size. An end may send
// a FIN or a reset, become silent or stop reading. Nothing is delivered out of order, twice, or past an end of
// stream.
type connEnd struct {
	engine        *engine
	id            int
	host          *host
	incarnation   int // of the host's process when it opened this end
	peer          *connEnd
	received      []byte          // bytes that have arrived and are not consumed yet
	receivedAt    time.Duration   // when the last bytes arrived
	receiveBuffer []byte          // backing array of received, for reuse
	remoteEnd     session.EndKind // how the peer ended; NoEnd until its FIN or reset has arrived
	onReadable    func()          // called when bytes, a FIN or a reset have arrived
	observer      connObserver    // may be nil
	lastArrival   time.Duration   // keeps segments in order
	unreadByPeer  int             // bytes sent that the peer has not consumed
	pendingWrites []*pendingWrite
	writeClosed   bool // closeWrite was called: nothing more is written
	finPending    bool // the FIN waits for the pending writes
	closed        bool
	resetSent     bool // a segment has been answered with a reset
}

// pendingWrite is a write that waits until the peer reads.
type pendingWrite struct {
	data      []byte
	done      func(ok bool)
	cancelled bool
}

// connObserver is called for everything that passes the relay's end of a connection.
type connObserver interface {
	Received(b []byte)
	ReceivedEnd(how session.EndKind)
	Written(b []byte)
	WrittenEnd(how session.EndKind)
	SetBlocked(blocked bool) // whether writes wait for the peer to read
}

// removeFromHost removes the end from its host's open ends.
func (c *connEnd) removeFromHost() {
	for i, other := range c.host.conns {
		if other == c {
			last := len(c.host.conns) - 1
			c.host.conns[i] = c.host.conns[last]
			c.host.conns = c.host.conns[:last]
			return
		}
	}
}

// transmit calls deliver for the peer after the network delay, behind everything transmitted before.
func (c *connEnd) transmit(deliver func(peer *connEnd)) {
	engine, peer := c.engine, c.peer
	c.lastArrival = max(c.lastArrival, engine.now+engine.segmentDelay()+engine.streamDelay(c.host, peer.host))
	engine.scheduleAt(c.lastArrival, func() {
		if peer.host.unreachable || c.host.unreachable {
			return
		}
		deliver(peer)
	})
}

// write sends bytes and calls done, with false if the connection no longer accepts any. If they do not fit into the peer's
// receive window, it returns a pending write, which the caller can cancel; done is called when that is sent or the peer has
// reset the connection, but not after a cancellation or once this end is closed.
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

// transmitBytes sends bytes in segments of random sizes.
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

// receive handles a segment that has arrived from the peer.
func (c *connEnd) receive(b []byte) {
	if c.closed || c.host.incarnation != c.incarnation || c.engine.randomChance(c.engine.conditions.resetRate) {
		c.rejectSegment()
		return
	}
	if c.remoteEnd == session.EndReset {
		return // segments in flight are lost after a reset
	}
	if c.observer != nil {
		c.observer.Received(b)
	}
	if len(c.received) == 0 {
		c.received = c.receiveBuffer[:0]
	}
	c.received = append(c.received, b...)
	c.receivedAt = c.engine.now
	if len(c.received) == len(b) {
		c.receiveBuffer = c.received
	}
	c.notifyReadable()
}

// rejectSegment resets the connection in answer to a segment, at most once.
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

// notifyReadable calls onReadable after bytes, a FIN or a reset have arrived.
func (c *connEnd) notifyReadable() {
	if c.onReadable != nil && !c.closed {
		c.onReadable()
	}
}

// consume removes the first n received bytes, so that the peer's pending writes can continue.
func (c *connEnd) consume(n int) {
	if n = min(n, len(c.received)); n == 0 { // after a reset, unread bytes are gone
		return
	}
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
	c.peer.unreadByPeer -= n
	c.peer.flushPendingWrites()
}

// flushPendingWrites sends the pending writes that fit into the peer's receive window, and a FIN that waits for the last one.
func (c *connEnd) flushPendingWrites() {
	for len(c.pendingWrites) > 0 && !c.closed {
		next := c.pendingWrites[0]
		if next.cancelled {
			c.pendingWrites = c.pendingWrites[1:]
			continue
		}
		if c.unreadByPeer > 0 && c.unreadByPeer+len(next.data) > c.engine.receiveWindow {
			return
		}
		c.pendingWrites = c.pendingWrites[1:]
		if len(c.pendingWrites) == 0 && c.observer != nil {
			c.observer.SetBlocked(false)
		}
		c.transmitBytes(next.data)
		next.done(true)
	}
	if c.finPending && !c.closed {
		c.sendFIN()
	}
}

// receiveEnd handles the peer's FIN or reset.
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

// failWrites fails the pending writes.
func (c *connEnd) failWrites() {
	pending := c.pendingWrites
	c.pendingWrites = nil
	for _, p := range pending {
		if !p.cancelled {
			p.done(false)
		}
	}
}

// closeWrite sends a FIN behind everything written so far: where writes are pending, once they are sent.
func (c *connEnd) closeWrite() {
	if c.closed || c.writeClosed || c.remoteEnd == session.EndReset {
		return
	}
	c.writeClosed = true
	if slices.ContainsFunc(c.pendingWrites, func(p *pendingWrite) bool { return !p.cancelled }) {
		c.finPending = true
		return
	}
	c.sendFIN()
}

// sendFIN sends a FIN behind everything transmitted so far.
func (c *connEnd) sendFIN() {
	c.finPending = false
	c.observeEnd(session.EndFIN)
	c.transmit(func(peer *connEnd) { peer.receiveEnd(session.EndFIN) })
}

// observeEnd records in the trace, and reports to the observer, how this end closes.
func (c *connEnd) observeEnd(how session.EndKind) {
	if c.engine.trace != nil {
		c.engine.tracef("%s %d> end %d", c.host.name, c.id, how)
	}
	if c.observer != nil {
		c.observer.WrittenEnd(how)
	}
}

// reset resets the connection. Bytes that have not been read, and pending writes, are lost.
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

// close closes the end. As in TCP, it resets the connection if there are unread bytes. Pending writes are lost.
func (c *connEnd) close() {
	if c.closed {
		return
	}
	if len(c.received) > 0 {
		c.reset()
		return
	}
	c.closeWrite()
	if c.finPending {
		c.sendFIN()
	}
	c.closed = true
	c.removeFromHost()
	if c.observer != nil {
		c.observer.WrittenEnd(session.EndTimeout) // this end no longer reads
	}
	c.onReadable, c.pendingWrites = nil, nil
}
