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
	"time"

	"aspenbarrow/internal/machine"
)

// line is a connection and the reader that holds its buffered bytes.
type line struct {
	conn *net.TCPConn
	in   *textproto.Reader
}

// readers are pooled: an idle flow holds two. Their size leaves room to wait for
// a byte beyond the longest line without moving the line.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, machine.MaxLine+256) }}

func newLine(conn *net.TCPConn) *line {
	r := readers.Get().(*bufio.Reader)
	r.Reset(conn)
	return &line{conn, textproto.NewReader(r)}
}

// recycle gives the buffer back; nobody may use the line after it.
func (l *line) recycle() {
	l.in.R.Reset(nil)
	readers.Put(l.in.R)
	l.in = nil
}

// more waits for bytes beyond those seen and returns all that are buffered, in place.
func (l *line) more(seen int) ([]byte, error) {
	if _, err := l.in.R.Peek(seen + 1); err != nil && l.in.R.Buffered() <= seen {
		return nil, err
	}
	return l.in.R.Peek(l.in.R.Buffered())
}

func (l *line) take(n int) { _, _ = l.in.R.Discard(n) }

// timedOut tells a deadline that passed from a connection that ended.
func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// attempt sends the OPEN line to a backend and waits for its first line. With
// UP the returned line holds that answer as its first bytes, answer of them.
func (r *Relay) attempt(ctx context.Context, a *machine.Attempt) (l *line, answer int, fail *machine.AttemptError) {
	ctx, cancel := context.WithDeadline(ctx, r.at(a.Until))
	defer cancel()
	d := net.Dialer{Timeout: a.Dial, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", a.To.Addr())
	if err != nil {
		return nil, 0, a.Failed(err, ctx.Err() == context.Canceled)
	}
	l = newLine(c.(*net.TCPConn))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() == context.Canceled { // its client left, or was answered, while the dial was out
		fail = a.Failed(ctx.Err(), true)
	} else {
		answer, fail = r.exchange(l, a)
	}
	if fail == nil && !stop() {
		fail = a.Broke(0, true, context.Cause(ctx), true)
	}
	if fail != nil {
		if ctx.Err() == context.Canceled {
			fail.GivenUp()
		}
		_ = c.Close()
		l.recycle()
		return nil, 0, fail
	}
	return l, answer, nil
}

// exchange writes the line and reads the answer on a connection that is up.
func (r *Relay) exchange(l *line, a *machine.Attempt) (int, *machine.AttemptError) {
	head, fail := a.Dialled(r.now())
	if fail != nil {
		return 0, fail
	}
	pieces := net.Buffers{head[0], head[1], head[2]}
	if n, err := pieces.WriteTo(l.conn); err != nil {
		return 0, a.Broke(int(n), false, err, false)
	}
	a.Sent()
	for seen := 0; ; {
		b, err := l.more(seen)
		if err != nil {
			return 0, a.Broke(0, true, err, timedOut(err))
		}
		if n, fail := a.Answer(b); n > 0 || fail != nil {
			return n, fail
		}
		seen = len(b)
	}
}
