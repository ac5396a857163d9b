package testcluster

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
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
	w := &relayConn{cluster: c, conn: conn, relay: relay, local: here, observer: watch, queue: make(chan outgoing, 64)}
	w.ctx, w.cancel = context.WithCancel(c.ctx)
	go w.writeLoop()
	return w
}

// sendLine has a line go to the relay. What a relay doesn't take in for long is dropped with the connection.
func (conn *relayConn) sendLine(line string) { conn.enqueue(outgoing{data: []byte(line + "\r\n")}) }

func (conn *relayConn) enqueue(p outgoing) {
	select {
	case conn.queue <- p:
	case <-conn.ctx.Done():
	default: // sixty-four lines are waiting: nobody reads
		conn.cluster.incrementCount("unread lines dropped with their connection")
		conn.close(closedByReset)
	}
}

// closeWrite ends this side after what was said; end at once.
func (conn *relayConn) closeWrite() { conn.enqueue(outgoing{end: closedCleanly}) }

func (w *relayConn) close(how invariant.EndKind) {
	w.recordLocalEnd(how)
	w.recordRelayEnd(how) // nobody looks any more
	if how == closedByReset {
		_ = w.conn.SetLinger(0)
	}
	w.cancel()
	_ = w.conn.Close()
}

// recordLocalEnd and theirs tell the checker of the ends, once each.
func (conn *relayConn) recordLocalEnd(how invariant.EndKind) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.localEndRecorded {
		conn.localEndRecorded = true
		conn.cluster.withChecker(func() { conn.observer.ReceivedEnd(how) })
	}
}

func (conn *relayConn) recordRelayEnd(how invariant.EndKind) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.relayEndRecorded {
		conn.relayEndRecorded = true
		conn.cluster.withChecker(func() { conn.observer.WrittenEnd(how) })
	}
}

// closeGracefully ends this side in good order and waits a while for the relay's end; listen goes on meanwhile.
func (conn *relayConn) closeGracefully(read <-chan struct{}) {
	conn.closeWrite()
	select {
	case <-read:
	case <-time.After(closeTimeout):
	case <-conn.ctx.Done():
	}
	conn.close(closedCleanly)
}

// flush has what was said go out, for a moment.
func (conn *relayConn) flush() {
	gone := make(chan struct{})
	select {
	case conn.queue <- outgoing{flushed: gone}:
	default:
		return
	}
	select {
	case <-gone:
	case <-time.After(100 * time.Millisecond):
	case <-conn.ctx.Done():
	}
}

// closeTimeout is how long a relay's end is waited for: longer than the rules give it.
const closeTimeout = 3 * time.Second

func (w *relayConn) writeLoop() {
	for {
		var p outgoing
		select {
		case p = <-w.queue:
		case <-w.ctx.Done():
			return
		}
		if p.flushed != nil {
			close(p.flushed)
			continue
		}
		if !w.cluster.links.passStream(w.ctx, w.local, w.relay) {
			return
		}
		if p.data == nil {
			w.recordLocalEnd(p.end)
			_ = w.conn.CloseWrite()
			continue
		}
		w.cluster.withChecker(func() { w.observer.Received(p.data) })
		if _, err := w.conn.Write(p.data); err != nil {
			return
		}
	}
}

// receive reads until the relay's end or ours, and hands on each piece once it has arrived.
func (conn *relayConn) receive(each func(b []byte)) { conn.deliver(conn.startReading(), each) }

// startReading begins to read, until the relay's end or ours. What comes is heard of when it comes, though its way may hold it.
func (w *relayConn) startReading() <-chan []byte {
	way := make(chan []byte, 1024)
	go func() {
		defer close(way)
		buf := make([]byte, 4096)
		for {
			n, err := w.conn.Read(buf)
			if n > 0 {
				w.cluster.withChecker(func() { // what was written line by line may come together
					for part := range bytes.Lines(buf[:n]) {
						w.observer.Written(part)
					}
				})
				select {
				case way <- append([]byte(nil), buf[:n]...):
				case <-w.ctx.Done():
					return
				}
			}
			if err != nil {
				how := closedCleanly
				if !errors.Is(err, io.EOF) {
					how = closedByReset
				}
				if w.ctx.Err() == nil {
					w.recordRelayEnd(how)
				}
				return
			}
		}
	}()
	return way
}

// deliver hands on each piece once it has arrived.
func (conn *relayConn) deliver(way <-chan []byte, each func(b []byte)) {
	for b := range way {
		if !conn.cluster.links.passStream(conn.ctx, conn.relay, conn.local) {
			return
		}
		each(b)
	}
	conn.cluster.links.passStream(conn.ctx, conn.relay, conn.local) // an end takes its way as well
}

// peerHungUp says whether the relay has ended its side, though that has not been read yet.
func (w *relayConn) peerHungUp() bool {
	raw, err := w.conn.SyscallConn()
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

// prepareWildcardSocket prepares a wildcard socket: for this machine alone, and so that one address of it can be taken out.
func prepareWildcardSocket(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		loopbackOnly(fd)
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}

// lineSplitter cuts pieces into lines.
type lineSplitter struct{ partial []byte }

func (splitter *lineSplitter) feed(b []byte, each func(line string)) {
	for _, c := range b {
		if c != '\n' {
			splitter.partial = append(splitter.partial, c)
			continue
		}
		line := splitter.partial
		if n := len(line); n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		each(string(line))
		splitter.partial = splitter.partial[:0]
	}
}
