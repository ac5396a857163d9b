// Package handshake provides a bounded pool of connections that have not completed the handshake, or that have been sent
// their final answer and are read until they close. A full pool evicts an answered connection or, if there is none, its
// oldest one, so that silent connections cannot block new ones.
package handshake

import (
	"container/list"
	"time"
)

const (
	// HandshakeTimeout is how long after the accept a client may take to send its OPEN line, whatever else it sends.
	HandshakeTimeout = 2 * time.Second
	// LingerTimeout is how long a connection is read after its final answer, so that a reset does not discard the answer.
	LingerTimeout = 500 * time.Millisecond
	// MaxLingerBytes is how many bytes are read at full speed during LingerTimeout.
	MaxLingerBytes = 64 << 10
	// EvictionGrace is how long a new connection cannot be evicted: its OPEN line may be in transit.
	EvictionGrace = 30 * time.Millisecond
)

// Pool is a bounded pool of connections. Its methods must not be called concurrently.
type Pool struct {
	connections list.List // of *Connection: answered ones, the last answered first, then the others, the oldest first
	capacity    int
}

// Connection is one connection in the pool.
type Connection struct {
	Conn       any           // the caller's connection
	AcceptedAt time.Duration // on the relay's clock
	answered   bool          // its final answer has been sent
	element    *list.Element // nil once it has left the pool
}

// NewPool returns a pool for at most capacity connections.
func NewPool(capacity int) *Pool { return &Pool{capacity: capacity} }

// Add adds a connection if there is room. If not, it returns either a connection that it has evicted, for the caller to close
// before it calls Add again, or how long to wait until one may be evicted.
func (p *Pool) Add(now time.Duration, conn any) (added, evicted *Connection, wait time.Duration) {
	if p.connections.Len() >= p.capacity {
		evicted, wait = p.evict(now)
		return nil, evicted, wait
	}
	added = &Connection{Conn: conn, AcceptedAt: now}
	added.element = p.connections.PushBack(added)
	return added, nil, 0
}

// evict removes the first connection of the list, or returns how long that one cannot be evicted yet.
func (p *Pool) evict(now time.Duration) (evicted *Connection, wait time.Duration) {
	oldest := p.oldest()
	wait = EvictionGrace - (now - oldest.AcceptedAt)
	if oldest.answered || wait <= 0 {
		p.remove(oldest)
		return oldest, 0
	}
	return nil, wait
}

// AwaitsAnswer reports whether a connection has not been sent its final answer yet.
func (c *Connection) AwaitsAnswer() bool { return !c.answered }

// MayBeAnswered reports whether the pool holds a connection that has not been sent its final answer. Whoever removes a
// connection from the pool answers it.
func (p *Pool) MayBeAnswered(c *Connection) bool { return c.element != nil && !c.answered }

// Remove removes a connection. It returns false if the connection was evicted or removed before.
func (p *Pool) Remove(c *Connection) bool {
	if c.element == nil {
		return false
	}
	p.remove(c)
	return true
}

// MarkAnswered records that a connection has been sent its final answer: from now on it is evicted first.
func (p *Pool) MarkAnswered(c *Connection) {
	c.answered = true
	if c.element != nil {
		p.connections.MoveToFront(c.element)
	}
}

// Resize changes the capacity.
func (p *Pool) Resize(capacity int) { p.capacity = capacity }

// RemoveAll removes all connections because the relay shuts down. The caller sends a final answer to those that await one.
func (p *Pool) RemoveAll() (all []*Connection) {
	for p.connections.Len() > 0 {
		oldest := p.oldest()
		p.remove(oldest)
		all = append(all, oldest)
	}
	return all
}

// Len returns the number of connections in the pool.
func (p *Pool) Len() int { return p.connections.Len() }

func (p *Pool) oldest() *Connection { return p.connections.Front().Value.(*Connection) }

func (p *Pool) remove(c *Connection) {
	p.connections.Remove(c.element)
	c.element = nil
}
