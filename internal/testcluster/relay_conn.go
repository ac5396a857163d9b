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

// How one side of a connection ends, in the terms of package invariant.
const (
	closedCleanly = invariant.Closed
	closedByReset = invariant.Reset
)

// connObserver is told what passes on the relay's side of a connection. It is called with the checker locked.
type connObserver interface {
	Received(b []byte)
	ReceivedEnd(how invariant.EndKind)
	Written(b []byte)
	WrittenEnd(how invariant.EndKind)
}

// outgoing is an item of a connection's send queue: data, the end of this side, or a request to confirm that
// everything before it has been sent.
type outgoing struct {
	data    []byte
	end     invariant.EndKind
	flushed chan struct{} // closed once everything before it has been sent
}

// relayConn is a connection with a relay, subject to link faults in both directions. The checker is told what the
// relay sees: of data from the relay when it is read here, of data to the relay when it is written.
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
	relayEndRecorded bool       // the observer knows of the relay's end
	localEndRecorded bool       // the observer knows of this side's end
}

// newRelayConn starts sending what is queued. The caller starts receiving by receive or startReading.
func newRelayConn(c *cluster, conn *net.TCPConn, relay, here node, watch connObserver) *relayConn {
	rc := &relayConn{cluster: c, conn: conn, relay: relay, local: here, observer: watch, queue: make(chan outgoing, 64)}
	rc.ctx, rc.cancel = context.WithCancel(c.ctx)
	go rc.writeLoop()
	return rc
}

// sendLine queues a line. A connection whose relay does not read is closed once the queue is full.
func (rc *relayConn) sendLine(line string) { rc.enqueue(outgoing{data: []byte(line + "\r\n")}) }

func (rc *relayConn) enqueue(p outgoing) {
	select {
	case rc.queue <- p:
	case <-rc.ctx.Done():
	default: // the queue is full: the relay does not read
		rc.cluster.incrementCount("unread lines dropped with their connection")
		rc.close(closedByReset)
	}
}

// closeWrite ends this side after what is queued; close ends it immediately.
func (rc *relayConn) closeWrite() { rc.enqueue(outgoing{end: closedCleanly}) }

func (rc *relayConn) close(how invariant.EndKind) {
	rc.recordLocalEnd(how)
	rc.recordRelayEnd(how) // nothing is read any more
	if how == closedByReset {
		_ = rc.conn.SetLinger(0)
	}
	rc.cancel()
	_ = rc.conn.Close()
}

// recordLocalEnd and recordRelayEnd tell the checker how each side ended, once each.
func (rc *relayConn) recordLocalEnd(how invariant.EndKind) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.localEndRecorded {
		rc.localEndRecorded = true
		rc.cluster.withChecker(func() { rc.observer.ReceivedEnd(how) })
	}
}

func (rc *relayConn) recordRelayEnd(how invariant.EndKind) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.relayEndRecorded {
		rc.relayEndRecorded = true
		rc.cluster.withChecker(func() { rc.observer.WrittenEnd(how) })
	}
}

// closeGracefully ends this side and waits for the relay's end, up to closeTimeout. Receiving continues meanwhile.
func (rc *relayConn) closeGracefully(read <-chan struct{}) {
	rc.closeWrite()
	select {
	case <-read:
	case <-time.After(closeTimeout):
	case <-rc.ctx.Done():
	}
	rc.close(closedCleanly)
}

// flush waits briefly for what is queued to be sent.
func (rc *relayConn) flush() {
	gone := make(chan struct{})
	select {
	case rc.queue <- outgoing{flushed: gone}:
	default:
		return
	}
	select {
	case <-gone:
	case <-time.After(100 * time.Millisecond):
	case <-rc.ctx.Done():
	}
}

// closeTimeout is how long to wait for a relay's end. It is longer than the rules allow a relay to take.
const closeTimeout = 3 * time.Second

func (rc *relayConn) writeLoop() {
	for {
		var p outgoing
		select {
		case p = <-rc.queue:
		case <-rc.ctx.Done():
			return
		}
		if p.flushed != nil {
			close(p.flushed)
			continue
		}
		if !rc.cluster.links.passStream(rc.ctx, rc.local, rc.relay) {
			return
		}
		if p.data == nil {
			rc.recordLocalEnd(p.end)
			_ = rc.conn.CloseWrite()
			continue
		}
		rc.cluster.withChecker(func() { rc.observer.Received(p.data) })
		if _, err := rc.conn.Write(p.data); err != nil {
			return
		}
	}
}

// receive reads until either side ends, and calls each with every chunk after its delay on the link.
func (rc *relayConn) receive(each func(b []byte)) { rc.deliver(rc.startReading(), each) }

// startReading starts reading, until either side ends. The checker is told of data when it is read, even if a link
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

// recordWritten tells the checker of what the relay wrote, line by line: several writes may have come as one chunk.
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
	how := closedCleanly
	if !errors.Is(err, io.EOF) {
		how = closedByReset
	}
	rc.recordRelayEnd(how)
}

// deliver calls each with every chunk after its delay on the link.
func (rc *relayConn) deliver(way <-chan []byte, each func(b []byte)) {
	for b := range way {
		if !rc.cluster.links.passStream(rc.ctx, rc.relay, rc.local) {
			return
		}
		each(b)
	}
	rc.cluster.links.passStream(rc.ctx, rc.relay, rc.local) // the end is subject to the link's delay too
}

// peerHungUp reports whether the relay has ended its side, even if that has not been read yet.
func (rc *relayConn) peerHungUp() bool {
	raw, err := rc.conn.SyscallConn()
	if err != nil {
		return true
	}
	up := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		up = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || up
}
