// Package handshake is a bounded pool of connections that have not identified themselves, or that have had their final
// answer and are read until they close. When it is full the oldest one gives way, so that silent connections keep nobody
// out.
package handshake

import (
	"container/list"
	"time"
)

const (
	// HandshakeTimeout is how long after it was accepted a client may take to say what it wants, whatever else it sends.
	HandshakeTimeout = 2 * time.Second
	// LingerTimeout is how long a connection is read after its final answer, so that a reset doesn't overtake the answer.
	LingerTimeout = 500 * time.Millisecond
	// MaxLingerBytes is how many bytes of it are read at full speed in that time.
	MaxLingerBytes = 64 << 10
	// EvictionGrace is how long a connection doesn't give way: its OPEN line may be on its way.
	EvictionGrace = 30 * time.Millisecond
	// MaxQueueTime bounds the time for which a connection passes for having been in the accept queue.
	MaxQueueTime = 500 * time.Millisecond

	// idleAcceptTime is how long an acceptor finds nobody until the accept queue passes for empty.
	idleAcceptTime = 5 * time.Millisecond
)

// Pool is a bounded pool of connections. Its methods are called one at a time.
type Pool struct {
	connections   list.List // of *Connection: those with their final answer first, then the oldest
	capacity      int
	acceptPending bool          // a connection waits for room
	lastAccepted  time.Duration // when the last one was added
	backlogSince  time.Duration // since when the accept queue has not been empty, for want of room; 0: it is
}

// Connection is one connection in the pool.
type Connection struct {
	Conn       any           // the caller's
	AcceptedAt time.Duration // on the relay's clock
	QueuedFor  time.Duration // how long it may have been in the accept queue
	answered   bool          // its final answer has been written
	element    *list.Element // nil once it has left the pool
}

// NewPool is a pool with room for so many connections.
func NewPool(capacity int) *Pool { return &Pool{capacity: capacity} }

// Add takes a connection in, if there is room. If not, it returns either the connection that gives way, after which Add is
// to be called again, or how long to wait until one may give way.
func (p *Pool) Add(now time.Duration, conn any) (added, evicted *Connection, wait time.Duration) {
	if !p.acceptPending && now-p.lastAccepted > idleAcceptTime {
		p.backlogSince = 0
	}
	p.acceptPending = true
	if p.connections.Len() >= p.capacity {
		evicted, wait = p.evict(now)
		return nil, evicted, wait
	}
	p.acceptPending, p.lastAccepted = false, now
	added = &Connection{Conn: conn, AcceptedAt: now}
	if p.backlogSince > 0 {
		added.QueuedFor = min(now-p.backlogSince, MaxQueueTime)
	}
	added.element = p.connections.PushBack(added)
	return added, nil, 0
}

// evict removes the oldest connection, or returns how long it still has its place.
func (p *Pool) evict(now time.Duration) (evicted *Connection, wait time.Duration) {
	oldest := p.oldest()
	wait = EvictionGrace - (now - oldest.AcceptedAt)
	if oldest.answered || wait <= 0 {
		p.remove(oldest)
		return oldest, 0
	}
	if p.backlogSince == 0 {
		p.backlogSince = now
	}
	return nil, wait
}

// AwaitsAnswer reports whether a connection that gave way is still to have its final answer.
func (c *Connection) AwaitsAnswer() bool { return !c.answered }

// Remove takes a connection out; false if it had to give way before.
func (p *Pool) Remove(c *Connection) bool {
	if c.element == nil {
		return false
	}
	p.remove(c)
	return true
}

// MarkAnswered takes in that a connection has had its final answer: from now on it gives way first.
func (p *Pool) MarkAnswered(c *Connection) {
	c.answered = true
	if c.element != nil {
		p.connections.MoveToFront(c.element)
	}
}

// Resize changes the capacity.
func (p *Pool) Resize(capacity int) { p.capacity = capacity }

// RemoveAll takes all connections out, since the relay ends: those that await it are to have their final answer.
func (p *Pool) RemoveAll() (all []*Connection) {
	for p.connections.Len() > 0 {
		oldest := p.oldest()
		p.remove(oldest)
		all = append(all, oldest)
	}
	return all
}

// Len is how many connections are in the pool.
func (p *Pool) Len() int { return p.connections.Len() }

func (p *Pool) oldest() *Connection { return p.connections.Front().Value.(*Connection) }

func (p *Pool) remove(c *Connection) {
	p.connections.Remove(c.element)
	c.element = nil
}
