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
	orderly = invariant.Closed
	broken  = invariant.Reset
)

// watcher hears what passes on a relay's side of a connection; called with the rig's check locked.
type watcher interface {
	Received(b []byte)
	ReceivedEnd(how invariant.EndKind)
	Written(b []byte)
	WrittenEnd(how invariant.EndKind)
}

// piece is what waits to go out; without bytes it is the end.
type piece struct {
	b    []byte
	how  invariant.EndKind
	then chan struct{} // only this is closed: all before it is out
}

// wire is one connection with a relay. Its bytes pass the ways unchanged in both directions. The checker hears of them
// where the relay would: of what the relay wrote when it comes, of what the relay gets when it goes.
type wire struct {
	rig    *rig
	conn   *net.TCPConn
	relay  party
	here   party
	watch  watcher
	ctx    context.Context
	cancel context.CancelFunc
	out    chan piece
	mu     sync.Mutex // of watch's ends
	heard  bool       // the relay's end
	said   bool       // ours
}

// newWire begins to write what is said. Whoever reads calls listen.
func newWire(r *rig, conn *net.TCPConn, relay, here party, watch watcher) *wire {
	w := &wire{rig: r, conn: conn, relay: relay, here: here, watch: watch, out: make(chan piece, 64)}
	w.ctx, w.cancel = context.WithCancel(r.ctx)
	go w.write()
	return w
}

// say has a line go to the relay. What a relay doesn't take in for long is dropped with the connection.
func (w *wire) say(line string) { w.put(piece{b: []byte(line + "\r\n")}) }

func (w *wire) put(p piece) {
	select {
	case w.out <- p:
	case <-w.ctx.Done():
	default: // sixty-four lines are waiting: nobody reads
		w.rig.count("unread lines dropped with their connection")
		w.end(broken)
	}
}

// finish ends this side after what was said; end at once.
func (w *wire) finish() { w.put(piece{how: orderly}) }

func (w *wire) end(how invariant.EndKind) {
	w.ours(how)
	w.theirs(how) // nobody looks any more
	if how == broken {
		_ = w.conn.SetLinger(0)
	}
	w.cancel()
	_ = w.conn.Close()
}

// ours and theirs tell the checker of the ends, once each.
func (w *wire) ours(how invariant.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.said {
		w.said = true
		w.rig.checked(func() { w.watch.ReceivedEnd(how) })
	}
}

func (w *wire) theirs(how invariant.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.heard {
		w.heard = true
		w.rig.checked(func() { w.watch.WrittenEnd(how) })
	}
}

// part ends this side in good order and waits a while for the relay's end; listen goes on meanwhile.
func (w *wire) part(read <-chan struct{}) {
	w.finish()
	select {
	case <-read:
	case <-time.After(partWithin):
	case <-w.ctx.Done():
	}
	w.end(orderly)
}

// drain has what was said go out, for a moment.
func (w *wire) drain() {
	gone := make(chan struct{})
	select {
	case w.out <- piece{then: gone}:
	default:
		return
	}
	select {
	case <-gone:
	case <-time.After(100 * time.Millisecond):
	case <-w.ctx.Done():
	}
}

// partWithin is how long a relay's end is waited for: longer than the rules give it.
const partWithin = 3 * time.Second

func (w *wire) write() {
	for {
		var p piece
		select {
		case p = <-w.out:
		case <-w.ctx.Done():
			return
		}
		if p.then != nil {
			close(p.then)
			continue
		}
		if !w.rig.ways.stream(w.ctx, w.here, w.relay) {
			return
		}
		if p.b == nil {
			w.ours(p.how)
			_ = w.conn.CloseWrite()
			continue
		}
		w.rig.checked(func() { w.watch.Received(p.b) })
		if _, err := w.conn.Write(p.b); err != nil {
			return
		}
	}
}

// listen reads until the relay's end or ours, and hands on each piece once it has arrived.
func (w *wire) listen(each func(b []byte)) { w.deliver(w.read(), each) }

// read begins to read, until the relay's end or ours. What comes is heard of when it comes, though its way may hold it.
func (w *wire) read() <-chan []byte {
	way := make(chan []byte, 1024)
	go func() {
		defer close(way)
		buf := make([]byte, 4096)
		for {
			n, err := w.conn.Read(buf)
			if n > 0 {
				w.rig.checked(func() { // what was written line by line may come together
					for part := range bytes.Lines(buf[:n]) {
						w.watch.Written(part)
					}
				})
				select {
				case way <- append([]byte(nil), buf[:n]...):
				case <-w.ctx.Done():
					return
				}
			}
			if err != nil {
				how := orderly
				if !errors.Is(err, io.EOF) {
					how = broken
				}
				if w.ctx.Err() == nil {
					w.theirs(how)
				}
				return
			}
		}
	}()
	return way
}

// deliver hands on each piece once it has arrived.
func (w *wire) deliver(way <-chan []byte, each func(b []byte)) {
	for b := range way {
		if !w.rig.ways.stream(w.ctx, w.relay, w.here) {
			return
		}
		each(b)
	}
	w.rig.ways.stream(w.ctx, w.relay, w.here) // an end takes its way as well
}

// hungUp says whether the relay has ended its side, though that has not been read yet.
func (w *wire) hungUp() bool {
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

// control prepares a wildcard socket: for this machine alone, and so that one address of it can be taken out.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		loopbackOnly(fd)
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}

// lines cuts pieces into lines.
type lines struct{ part []byte }

func (l *lines) feed(b []byte, each func(line string)) {
	for _, c := range b {
		if c != '\n' {
			l.part = append(l.part, c)
			continue
		}
		line := l.part
		if n := len(line); n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		each(string(line))
		l.part = l.part[:0]
	}
}
