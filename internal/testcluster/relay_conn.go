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

// How a side ends, as package invariant counts it.
const (
	closedCleanly = invariant.Closed
	closedByReset = invariant.Reset
)

// connObserver hears what passes on a relay's side of a connection; called with the cluster's check locked.
type connObserver interface {
	Received(b []byte)
	ReceivedEnd(how invariant.EndKind)
	Written(b []byte)
	WrittenEnd(how invariant.EndKind)
}

// outgoing is what waits to go out; without bytes it is the end.
type outgoing struct {
	data    []byte
	end     invariant.EndKind
	flushed chan struct{} // only this is closed: all before it is out
}

// relayConn is one connection with a relay. Its bytes pass the ways unchanged in both directions. The checker hears of them
// where the relay would: of what the relay wrote when it comes, of what the relay gets when it goes.
type relayConn struct {
	cluster          *cluster
	conn             *net.TCPConn
	relay            node
	local            node
	observer         connObserver
	ctx              context.Context
	cancel           context.CancelFunc
	queue            chan outgoing
	mu               sync.Mutex // of watch's ends
	relayEndRecorded bool       // the relay's end
	localEndRecorded bool       // ours
}

// newRelayConn begins to write what is said. Whoever reads calls listen.
func newRelayConn(c *cluster, conn *net.TCPConn, relay, here node, watch connObserver) *relayConn {
	rc := &relayConn{cluster: c, conn: conn, relay: relay, local: here, observer: watch, queue: make(chan outgoing, 64)}
	rc.ctx, rc.cancel = context.WithCancel(c.ctx)
	go rc.writeLoop()
	return rc
}

// sendLine has a line go to the relay. What a relay doesn't take in for long is dropped with the connection.
func (rc *relayConn) sendLine(line string) { rc.enqueue(outgoing{data: []byte(line + "\r\n")}) }

func (rc *relayConn) enqueue(p outgoing) {
	select {
	case rc.queue <- p:
	case <-rc.ctx.Done():
	default: // sixty-four lines are waiting: nobody reads
		rc.cluster.incrementCount("unread lines dropped with their connection")
		rc.close(closedByReset)
	}
}

// closeWrite ends this side after what was said; end at once.
func (rc *relayConn) closeWrite() { rc.enqueue(outgoing{end: closedCleanly}) }

func (rc *relayConn) close(how invariant.EndKind) {
	rc.recordLocalEnd(how)
	rc.recordRelayEnd(how) // nobody looks any more
	if how == closedByReset {
		_ = rc.conn.SetLinger(0)
	}
	rc.cancel()
	_ = rc.conn.Close()
}

// recordLocalEnd and theirs tell the checker of the ends, once each.
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

// closeGracefully ends this side in good order and waits a while for the relay's end; listen goes on meanwhile.
func (rc *relayConn) closeGracefully(read <-chan struct{}) {
	rc.closeWrite()
	select {
	case <-read:
	case <-time.After(closeTimeout):
	case <-rc.ctx.Done():
	}
	rc.close(closedCleanly)
}

// flush has what was said go out, for a moment.
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

// closeTimeout is how long a relay's end is waited for: longer than the rules give it.
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

// receive reads until the relay's end or ours, and hands on each piece once it has arrived.
func (rc *relayConn) receive(each func(b []byte)) { rc.deliver(rc.startReading(), each) }

// startReading begins to read, until the relay's end or ours. What comes is heard of when it comes, though its way may hold it.
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

// deliver hands on each piece once it has arrived.
func (rc *relayConn) deliver(way <-chan []byte, each func(b []byte)) {
	for b := range way {
		if !rc.cluster.links.passStream(rc.ctx, rc.relay, rc.local) {
			return
		}
		each(b)
	}
	rc.cluster.links.passStream(rc.ctx, rc.relay, rc.local) // an end takes its way as well
}

// peerHungUp says whether the relay has ended its side, though that has not been read yet.
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
