package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"aspenbarrow/internal/handshake"
)

const (
	// lingerReadBytes is how much of a client that never stops sending is discarded in one read.
	lingerReadBytes = 512

	// lingerReadInterval spaces those reads, so that the client is held up by its own full send buffer.
	lingerReadInterval = handshake.LingerTimeout / 16
)

// handshakePool holds the connections that have not sent a whole OPEN line.
type handshakePool struct {
	mu         sync.Mutex
	pool       *handshake.Pool
	clock      func() time.Duration
	busyAnswer []byte        // for connections that are evicted
	slotFreed  chan struct{} // a connection has left the pool
}

func newHandshakePool(size int, busyAnswer string, clock func() time.Duration) *handshakePool {
	return &handshakePool{
		pool:       handshake.NewPool(size),
		clock:      clock,
		busyAnswer: []byte(busyAnswer),
		slotFreed:  make(chan struct{}, 1),
	}
}

// add takes a connection in, evicting the oldest one of a full pool. It waits no longer than until that one may be
// evicted.
func (p *handshakePool) add(conn *net.TCPConn) *handshake.Connection {
	for {
		added, wait := p.tryAdd(conn)
		if added != nil {
			return added
		}
		if wait <= 0 {
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-p.slotFreed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryAdd takes a connection in, or says how long to wait for a slot.
func (p *handshakePool) tryAdd(conn *net.TCPConn) (*handshake.Connection, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	added, evicted, wait := p.pool.Add(p.clock(), conn)
	if evicted != nil {
		c := evicted.Conn.(*net.TCPConn)
		if evicted.AwaitsAnswer() {
			_, _ = c.Write(p.busyAnswer) // the first bytes on it, or after a PONG: this never blocks
		}
		_ = c.Close()
	}
	return added, wait
}

// remove takes a connection out; false: it was evicted before.
func (p *handshakePool) remove(connection *handshake.Connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pool.Remove(connection) {
		return false
	}
	select {
	case p.slotFreed <- struct{}{}:
	default:
	}
	return true
}

// discardInput reads what a client still sends after its last line. Closing over unread bytes would reset the
// connection and lose that line, and every answer before it that the client has not acknowledged. A client that never
// stops sending is read slowly after MaxLingerBytes and cut off at LingerTimeout.
func (p *handshakePool) discardInput(connection *handshake.Connection) {
	p.mu.Lock()
	p.pool.MarkAnswered(connection)
	p.mu.Unlock()
	conn := connection.Conn.(*net.TCPConn)
	deadline := time.Now().Add(handshake.LingerTimeout)
	_ = conn.SetReadDeadline(deadline)
	_, err := io.CopyN(io.Discard, conn, handshake.MaxLingerBytes)
	buffer := make([]byte, lingerReadBytes)
	for err == nil && time.Now().Before(deadline) {
		time.Sleep(lingerReadInterval)
		_, err = conn.Read(buffer)
	}
}

// size returns how many connections the pool holds.
func (p *handshakePool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Len()
}

// setBusyAnswer changes the answer to connections that are evicted.
func (p *handshakePool) setBusyAnswer(answer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyAnswer = []byte(answer)
}

// resize changes how many connections the pool holds.
func (p *handshakePool) resize(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Resize(size)
}

// closeAll answers BUSY to all connections and ends our side of them.
func (p *handshakePool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range p.pool.RemoveAll() {
		conn := connection.Conn.(*net.TCPConn)
		if connection.AwaitsAnswer() {
			_ = conn.SetWriteDeadline(time.Now().Add(handshake.LingerTimeout))
			_, _ = conn.Write(p.busyAnswer)
		}
		_ = conn.CloseWrite()
	}
}
