package testcluster

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/invariant"
)

// How one side of a connection ends.
const (
	closedCleanly = invariant.Closed
	closedByReset = invariant.Reset
)

// connObserver records the data and the ends that pass on the relay's side of a connection. It is called with the invariant
// checker locked.
type connObserver interface {
	Received(b []byte)
	ReceivedEnd(kind invariant.EndKind)
	Written(b []byte)
	WrittenEnd(kind invariant.EndKind)
}

// outgoing is an item of a connection's send queue: data, the end of this side, or a request to confirm that
// everything before it has been sent.
type outgoing struct {
	data    []byte
	end     invariant.EndKind
	flushed chan struct{} // closed once everything before it has been sent
}

// relayConn is a connection with a relay, subject to link faults in both directions. The invariant checker records the
// relay's view: data from the relay when it is read here, data to the relay when it is written.
type relayConn struct {
	cluster          *cluster
	conn             *net.TCPConn
	relay            node
	local            node
	observer         connObserver
	ctx              context.Context
	cancel           context.CancelFunc
	queue            chan outgoing
	mu               sync.Mutex // guards the fields below
	relayEndRecorded bool       // the relay's end was passed to the observer
	localEndRecorded bool       // this side's end was passed to the observer
}

// newRelayConn wraps a connection and starts sending what is queued. The caller starts receiving with receive or
// startReading.
func newRelayConn(c *cluster, conn *net.TCPConn, relay, local node, observer connObserver) *relayConn {
	rc := &relayConn{cluster: c, conn: conn, relay: relay, local: local, observer: observer, queue: make(chan outgoing, 64)}
	rc.ctx, rc.cancel = context.WithCancel(c.ctx)
	go rc.writeLoop()
	return rc
}

// sendLine queues a line. If the queue is full because the relay does not read, the connection is reset.
func (rc *relayConn) sendLine(line string) { rc.enqueue(outgoing{data: []byte(line + "\r\n")}) }

func (rc *relayConn) enqueue(item outgoing) {
	select {
	case rc.queue <- item:
	case <-rc.ctx.Done():
	default: // the queue is full: the relay does not read
		rc.cluster.incrementCount("unread lines dropped with their connection")
		rc.close(closedByReset)
	}
}

// closeWrite ends this side after everything queued has been sent; close ends both sides immediately.
func (rc *relayConn) closeWrite() { rc.enqueue(outgoing{end: closedCleanly}) }

func (rc *relayConn) close(kind invariant.EndKind) {
	rc.recordLocalEnd(kind)
	rc.recordRelayEnd(kind) // nothing is read from here on
	if kind == closedByReset {
		_ = rc.conn.SetLinger(0)
	}
	rc.cancel()
	_ = rc.conn.Close()
}

// recordLocalEnd and recordRelayEnd report to the invariant checker how each side ended, once each.
func (rc *relayConn) recordLocalEnd(kind invariant.EndKind) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.localEndRecorded {
		rc.localEndRecorded = true
		rc.cluster.withChecker(func() { rc.observer.ReceivedEnd(kind) })
	}
}

func (rc *relayConn) recordRelayEnd(kind invariant.EndKind) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.relayEndRecorded {
		rc.relayEndRecorded = true
		rc.cluster.withChecker(func() { rc.observer.WrittenEnd(kind) })
	}
}

// closeGracefully ends this side and waits until the relay's end has been read, for at most closeTimeout. Receiving
// continues meanwhile.
func (rc *relayConn) closeGracefully(relayEndRead <-chan struct{}) {
	rc.closeWrite()
	select {
	case <-relayEndRead:
	case <-time.After(closeTimeout):
	case <-rc.ctx.Done():
	}
	rc.close(closedCleanly)
}

// flush waits until everything queued has been sent, for at most 100 ms.
func (rc *relayConn) flush() {
	sent := make(chan struct{})
	select {
	case rc.queue <- outgoing{flushed: sent}:
	default:
		return
	}
	select {
	case <-sent:
	case <-time.After(100 * time.Millisecond):
	case <-rc.ctx.Done():
	}
}

// closeTimeout is how long to wait for a relay's end, longer than the rules allow a relay to take.
const closeTimeout = 3 * time.Second

func (rc *relayConn) writeLoop() {
	for {
		var item outgoing
		select {
		case item = <-rc.queue:
		case <-rc.ctx.Done():
			return
		}
		if item.flushed != nil {
			close(item.flushed)
			continue
		}
		if !rc.cluster.links.passStream(rc.ctx, rc.local, rc.relay) {
			return
		}
		if item.data == nil {
			rc.recordLocalEnd(item.end)
			_ = rc.conn.CloseWrite()
			continue
		}
		rc.cluster.withChecker(func() { rc.observer.Received(item.data) })
		if _, err := rc.conn.Write(item.data); err != nil {
			return
		}
	}
}

// receive reads until either side ends, and calls handle with every chunk after its delay on the link.
func (rc *relayConn) receive(handle func(b []byte)) { rc.deliver(rc.startReading(), handle) }

// startReading starts reading, until either side ends. The invariant checker records data when it is read, even if a link
// fault delays its delivery.
func (rc *relayConn) startReading() <-chan []byte {
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		rc.readLoop(chunks)
	}()
	return chunks
}

func (rc *relayConn) readLoop(chunks chan<- []byte) {
	buf := make([]byte, 4096)
	for {
		n, err := rc.conn.Read(buf)
		if n > 0 {
			rc.recordWritten(buf[:n])
			select {
			case chunks <- append([]byte(nil), buf[:n]...):
			case <-rc.ctx.Done():
				return
			}
		}
		if err != nil {
			rc.recordReadError(err)
			return
		}
	}
}

// recordWritten passes what the relay wrote to the invariant checker line by line: one read may return several writes.
func (rc *relayConn) recordWritten(chunk []byte) {
	rc.cluster.withChecker(func() {
		for line := range bytes.Lines(chunk) {
			rc.observer.Written(line)
		}
	})
}

func (rc *relayConn) recordReadError(err error) {
	if rc.ctx.Err() != nil {
		return
	}
	kind := closedCleanly
	if !errors.Is(err, io.EOF) {
		kind = closedByReset
	}
	rc.recordRelayEnd(kind)
}

// deliver calls handle with every chunk after its delay on the link.
func (rc *relayConn) deliver(chunks <-chan []byte, handle func(b []byte)) {
	for b := range chunks {
		if !rc.cluster.links.passStream(rc.ctx, rc.relay, rc.local) {
			return
		}
		handle(b)
	}
	rc.cluster.links.passStream(rc.ctx, rc.relay, rc.local) // the end is subject to the link's delay too
}

// peerHungUp reports whether the relay has ended its side, even if that has not been read yet.
func (rc *relayConn) peerHungUp() bool {
	raw, err := rc.conn.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		hungUp = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hungUp
}
