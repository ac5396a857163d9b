// This file drives the lobby on sockets. It must never keep the acceptor waiting
// for longer than the lobby's machine says.

package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"aspenbarrow/internal/handshake"
)

type handshakePool struct {
	mu         sync.Mutex
	pool       *handshake.Pool
	clock      func() time.Duration
	busyAnswer []byte        // what one that gives way is told
	slotFreed  chan struct{} // somebody has left
}

func newHandshakePool(room int, farewell string, clock func() time.Duration) *handshakePool {
	return &handshakePool{pool: handshake.NewPool(room), clock: clock, busyAnswer: []byte(farewell), slotFreed: make(chan struct{}, 1)}
}

// enter takes a connection in. It waits no longer than it takes the oldest to
// have been heard.
func (l *handshakePool) add(conn *net.TCPConn) *handshake.Connection {
	for {
		l.mu.Lock()
		in, out, wait := l.pool.Add(l.clock(), conn)
		if out != nil {
			c := out.Conn.(*net.TCPConn)
			if out.AwaitsAnswer() {
				_, _ = c.Write(l.busyAnswer) // the first bytes on it, or after a PONG: this never waits
			}
			_ = c.Close()
		}
		l.mu.Unlock()
		if in != nil {
			return in
		}
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-l.slotFreed:
			case <-timer.C:
			}
			timer.Stop()
		}
	}
}

// leave lets a guest go; false if it had to give way before.
func (l *handshakePool) remove(g *handshake.Connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pool.Remove(g) {
		return false
	}
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
	return true
}

// readOff takes in what a client still sends after its last line: closing over
// unread bytes would reset the connection and take that line with it, and every
// answer before it that the system still holds back for want of the client's
// acknowledgements. Whoever never stops sending costs the core no more than so
// many bytes: it is held up, looked at now and then, and cut off in the end.
func (l *handshakePool) discardInput(g *handshake.Connection) {
	l.mu.Lock()
	l.pool.MarkAnswered(g)
	l.mu.Unlock()
	c := g.Conn.(*net.TCPConn)
	end := time.Now().Add(handshake.LingerTimeout)
	_ = c.SetReadDeadline(end)
	_, err := io.CopyN(io.Discard, c, handshake.MaxLingerBytes)
	for look := make([]byte, 512); err == nil && time.Now().Before(end); _, err = c.Read(look) {
		time.Sleep(handshake.LingerTimeout / 16)
	}
}

func (l *handshakePool) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.Len()
}

// farewell changes what one that gives way is told.
func (l *handshakePool) setBusyAnswer(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busyAnswer = []byte(line)
}

// resize changes the budget.
func (l *handshakePool) resize(room int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.Resize(room)
}

// empty tells all guests that this relay is not to be had any more.
func (l *handshakePool) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.pool.RemoveAll() {
		c := g.Conn.(*net.TCPConn)
		if g.AwaitsAnswer() {
			_ = c.SetWriteDeadline(time.Now().Add(handshake.LingerTimeout))
			_, _ = c.Write(l.busyAnswer)
		}
		_ = c.CloseWrite()
	}
}
