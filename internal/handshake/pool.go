// Package handshake is a bounded pool of connections that have not identified themselves, or that have had their final
// answer and are read until they close. When it is full the oldest one gives way, so that silent connections keep nobody
// out.
package handshake

import (
	"container/list"
	"time"
)

// Figures of the lobby.
const (
	HandshakeTimeout = 2 * time.Second        // from being accepted a client says what it wants within this, whatever else it sends
	LingerTimeout    = 500 * time.Millisecond // one that has had its last line is read off so long
	MaxLingerBytes   = 64 << 10               // and so many bytes at full speed; then it is held up
	EvictionGrace    = 30 * time.Millisecond  // whoever came so lately does not give way: its OPEN may be on its way
	idleAcceptTime   = 5 * time.Millisecond   // an acceptor that found nobody for so long has an empty queue
	MaxQueueTime     = 500 * time.Millisecond // nobody is taken to have been in the accept queue for longer
)

// Pool is a small budget of its own. With it used up the oldest gives way, so a
// crowd that says nothing keeps nobody out. Its methods are called one at a time.
type Pool struct {
	connections   list.List // of *Guest: those with their last line first, then the oldest
	capacity      int
	acceptPending bool          // somebody waits for room
	lastAccepted  time.Duration // when the last one found it
	backlogSince  time.Duration // since when the accept queue has not been empty, for want of room; 0: it is
}

// Connection is one connection in the lobby.
type Connection struct {
	Conn       any // the driver's
	AcceptedAt time.Duration
	QueuedFor  time.Duration // how long it may have been in the accept queue
	answered   bool          // its last line is out
	element    *list.Element
}

// NewPool is a lobby with room for so many.
func NewPool(room int) *Pool { return &Pool{capacity: room} }

// Add takes a connection in, if there is room. If not, it names the guest that
// gives way now, to be called again, or how long to wait until one may.
func (l *Pool) Add(now time.Duration, conn any) (in, out *Connection, wait time.Duration) {
	if !l.acceptPending && now-l.lastAccepted > idleAcceptTime {
		l.backlogSince = 0
	}
	l.acceptPending = true
	if l.connections.Len() >= l.capacity {
		oldest := l.connections.Front().Value.(*Connection)
		if wait := EvictionGrace - (now - oldest.AcceptedAt); wait > 0 && !oldest.answered {
			if l.backlogSince == 0 {
				l.backlogSince = now
			}
			return nil, nil, wait
		}
		l.remove(oldest)
		return nil, oldest, 0
	}
	g := &Connection{Conn: conn, AcceptedAt: now}
	if l.acceptPending, l.lastAccepted = false, now; l.backlogSince > 0 {
		g.QueuedFor = min(now-l.backlogSince, MaxQueueTime)
	}
	g.element = l.connections.PushBack(g)
	return g, nil, 0
}

// AwaitsAnswer says whether a guest that gave way is still to have its last line.
func (g *Connection) AwaitsAnswer() bool { return !g.answered }

// Remove lets a guest go; false if it had to give way before.
func (l *Pool) Remove(g *Connection) bool {
	if g.element == nil {
		return false
	}
	l.remove(g)
	return true
}

// MarkAnswered hears that a guest has had its last line: it gives way first from now on.
func (l *Pool) MarkAnswered(g *Connection) {
	g.answered = true
	if g.element != nil {
		l.connections.MoveToFront(g.element)
	}
}

// Resize changes the budget.
func (l *Pool) Resize(room int) { l.capacity = room }

// RemoveAll lets all guests go, since the relay ends: each is to have its last line.
func (l *Pool) RemoveAll() (all []*Connection) {
	for l.connections.Len() > 0 {
		g := l.connections.Front().Value.(*Connection)
		l.remove(g)
		all = append(all, g)
	}
	return all
}

// Len is how many there are.
func (l *Pool) Len() int { return l.connections.Len() }

func (l *Pool) remove(g *Connection) {
	l.connections.Remove(g.element)
	g.element = nil
}
