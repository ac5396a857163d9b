// This file drives one attempt at a backend on a socket: dial, first line out,
// first line back, as the machine says. It must never write anything of its own.

package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/textproto"
	"sync"
	"syscall"
	"time"

	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// line is a connection and the reader that holds its buffered bytes.
type bufferedConn struct {
	conn   *net.TCPConn
	reader *textproto.Reader
}

// readers are pooled: an idle flow holds two. Their size leaves room to wait for
// a byte beyond the longest line without moving the line.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, protocol.MaxLineLength+256) }}

func newBufferedConn(conn *net.TCPConn) *bufferedConn {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(conn)
	return &bufferedConn{conn, textproto.NewReader(r)}
}

// recycle gives the buffer back; nobody may use the line after it.
func (l *bufferedConn) recycle() {
	l.reader.R.Reset(nil)
	readerPool.Put(l.reader.R)
	l.reader = nil
}

// more waits for bytes beyond those seen and returns all that are buffered, in place.
func (l *bufferedConn) peekBeyond(seen int) ([]byte, error) {
	if _, err := l.reader.R.Peek(seen + 1); err != nil && l.reader.R.Buffered() <= seen {
		return nil, err
	}
	return l.reader.R.Peek(l.reader.R.Buffered())
}

func (l *bufferedConn) discard(n int) { _, _ = l.reader.R.Discard(n) }

// timedOut tells a deadline that passed from a connection that ended.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// over says whether a client that waits has ended, or has gone on before its answer, though whoever reads it may not
// have come to run yet: on a core at its limit that may take longer than nothing may be begun for it any more. It does
// not wait, takes nothing, and needs no turn at reading. Where the system does not say the reader will.
func (l *bufferedConn) hasPendingInput() bool {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return true // closed
	}
	var b [1]byte
	ended := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || ended
}

var errClientGone = errors.New("its client has left")

// attempt sends the OPEN line of a client to a backend and waits for its first line. With
// UP the returned line holds that answer as its first bytes, answer of them.
func (r *Relay) attempt(ctx context.Context, client *bufferedConn, a *session.Attempt) (l *bufferedConn, answer int, fail *session.AttemptError) {
	if client.hasPendingInput() {
		return nil, 0, a.DialFailed(errClientGone, true)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadlineTime(a.Deadline))
	defer cancel()
	d := net.Dialer{Timeout: a.DialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", a.Backend.Address())
	if err != nil {
		return nil, 0, a.DialFailed(err, ctx.Err() == context.Canceled)
	}
	l = newBufferedConn(c.(*net.TCPConn))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() == context.Canceled || client.hasPendingInput() { // it left, or was answered, while the dial was out
		fail = a.DialFailed(errClientGone, true)
	} else {
		answer, fail = r.exchange(l, a)
	}
	if fail == nil && !stop() {
		fail = a.ConnectionEnded(0, true, context.Cause(ctx), true)
	}
	if fail != nil {
		if ctx.Err() == context.Canceled {
			fail.Abandon()
		}
		_ = c.Close()
		l.recycle()
		return nil, 0, fail
	}
	return l, answer, nil
}

// exchange writes the line and reads the answer on a connection that is up.
func (r *Relay) exchange(l *bufferedConn, a *session.Attempt) (int, *session.AttemptError) {
	head, fail := a.Connected(r.now())
	if fail != nil {
		return 0, fail
	}
	pieces := net.Buffers{head[0], head[1], head[2]}
	if n, err := pieces.WriteTo(l.conn); err != nil {
		return 0, a.ConnectionEnded(int(n), false, err, false)
	}
	a.RequestSent()
	for seen := 0; ; {
		b, err := l.peekBeyond(seen)
		if err != nil {
			return 0, a.ConnectionEnded(0, true, err, isTimeout(err))
		}
		if n, fail := a.ReadAnswer(b); n > 0 || fail != nil {
			return n, fail
		}
		seen = len(b)
	}
}
