package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"aspenbarrow/internal/handshake"
)

const (
	// lingerReadBytes is how much input of a client that keeps sending is discarded in one read.
	lingerReadBytes = 512

	// lingerReadInterval is the delay between those reads, so that the client's send buffer fills up and blocks the client.
	lingerReadInterval = handshake.LingerTimeout / 16
)

// errAnswered is returned for a connection that has been sent its final answer.
var errAnswered = errors.New("the connection has been sent its final answer")

// handshakePool holds the connections that have not sent a complete OPEN line, and those whose input is discarded after the
// final answer.
type handshakePool struct {
	mu         sync.Mutex
	pool       *handshake.Pool
	clock      func() time.Duration
	busyAnswer []byte        // for connections that are evicted
	slotFreed  chan struct{} // a connection has been removed from the pool
}

func newHandshakePool(size int, busyAnswer string, clock func() time.Duration) *handshakePool {
	return &handshakePool{
		pool:       handshake.NewPool(size),
		clock:      clock,
		busyAnswer: []byte(busyAnswer),
		slotFreed:  make(chan struct{}, 1),
	}
}

// add adds a connection, evicting the oldest one of a full pool. It waits at most until that one may be evicted.
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

// tryAdd adds a connection, or returns how long to wait for a slot; 0 after it has evicted a connection.
func (p *handshakePool) tryAdd(conn *net.TCPConn) (*handshake.Connection, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	added, evicted, wait := p.pool.Add(p.clock(), conn)
	if evicted != nil {
		c := evicted.Conn.(*net.TCPConn)
		if evicted.AwaitsAnswer() {
			_, _ = c.Write(p.busyAnswer) // never blocks: at most some PONG lines were written before
		}
		_ = c.Close()
	}
	return added, wait
}

// reply answers a line before OPEN, unless the connection has been sent its final answer.
func (p *handshakePool) reply(connection *handshake.Connection, line string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pool.MayBeAnswered(connection) {
		return errAnswered
	}
	_, err := io.WriteString(connection.Conn.(*net.TCPConn), line) // never blocks, as in tryAdd
	return err
}

// sendFinalAnswer sends a connection its final answer and closes the relay's side, unless the connection has been evicted or
// closed with an answer before. All final answers to the pool's connections are written under its lock, so that each
// client receives one.
func (p *handshakePool) sendFinalAnswer(connection *handshake.Connection, answer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pool.MayBeAnswered(connection) {
		return
	}
	sendLastLine(connection.Conn.(*net.TCPConn), answer)
	p.pool.MarkAnswered(connection)
}

// remove removes a connection; false: it was evicted or removed before.
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

// discardInput reads what a client still sends after the relay's last line. Closing with unread bytes would reset the
// connection and lose that line, and every answer before it that the client has not acknowledged. A client that keeps
// sending is read slowly after MaxLingerBytes, and no longer than LingerTimeout.
func (p *handshakePool) discardInput(connection *handshake.Connection) {
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

// closeAll answers BUSY to all connections that await an answer and closes the relay's side of all.
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
