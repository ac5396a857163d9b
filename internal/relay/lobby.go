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

type lobby struct {
	mu      sync.Mutex
	m       *handshake.Pool
	clock   func() time.Duration
	goodbye []byte        // what one that gives way is told
	freed   chan struct{} // somebody has left
}

func newLobby(room int, farewell string, clock func() time.Duration) *lobby {
	return &lobby{m: handshake.NewPool(room), clock: clock, goodbye: []byte(farewell), freed: make(chan struct{}, 1)}
}

// enter takes a connection in. It waits no longer than it takes the oldest to
// have been heard.
func (l *lobby) enter(conn *net.TCPConn) *handshake.Connection {
	for {
		l.mu.Lock()
		in, out, wait := l.m.Add(l.clock(), conn)
		if out != nil {
			c := out.Conn.(*net.TCPConn)
			if out.AwaitsAnswer() {
				_, _ = c.Write(l.goodbye) // the first bytes on it, or after a PONG: this never waits
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
			case <-l.freed:
			case <-timer.C:
			}
			timer.Stop()
		}
	}
}

// leave lets a guest go; false if it had to give way before.
func (l *lobby) leave(g *handshake.Connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.m.Remove(g) {
		return false
	}
	select {
	case l.freed <- struct{}{}:
	default:
	}
	return true
}

// readOff takes in what a client still sends after its last line: closing over
// unread bytes would reset the connection and take that line with it, and every
// answer before it that the system still holds back for want of the client's
// acknowledgements. Whoever never stops sending costs the core no more than so
// many bytes: it is held up, looked at now and then, and cut off in the end.
func (l *lobby) readOff(g *handshake.Connection) {
	l.mu.Lock()
	l.m.MarkAnswered(g)
	l.mu.Unlock()
	c := g.Conn.(*net.TCPConn)
	end := time.Now().Add(handshake.LingerTimeout)
	_ = c.SetReadDeadline(end)
	_, err := io.CopyN(io.Discard, c, handshake.MaxLingerBytes)
	for look := make([]byte, 512); err == nil && time.Now().Before(end); _, err = c.Read(look) {
		time.Sleep(handshake.LingerTimeout / 16)
	}
}

func (l *lobby) guests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Len()
}

// farewell changes what one that gives way is told.
func (l *lobby) farewell(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.goodbye = []byte(line)
}

// resize changes the budget.
func (l *lobby) resize(room int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.Resize(room)
}

// empty tells all guests that this relay is not to be had any more.
func (l *lobby) empty() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.m.RemoveAll() {
		c := g.Conn.(*net.TCPConn)
		if g.AwaitsAnswer() {
			_ = c.SetWriteDeadline(time.Now().Add(handshake.LingerTimeout))
			_, _ = c.Write(l.goodbye)
		}
		_ = c.CloseWrite()
	}
}
