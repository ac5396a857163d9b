// This file drives one client's connection and, once it stands, the pair of it
// and its backend: it reads, feeds the flow's machine and writes what that says.
// It must never answer of its own accord, hold up any flow but its own, or let a
// panic out.

package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

type result struct {
	attempt *session.Attempt
	back    *line
	answer  int // bytes of the UP line, first in back
	fail    *session.AttemptError
	stood   session.Event
}

type flow struct {
	relay   *Relay
	m       *session.Session
	client  *line
	orders  chan session.Command
	left    chan bool     // the client's end before UP; true: it went on before its answer
	stands  chan struct{} // closed when UP goes out
	over    chan struct{} // closed once the flow is at its end
	readers sync.WaitGroup
	cancel  context.CancelFunc // of the attempt that is out
	results chan result
	mu      sync.Mutex
	back    *net.TCPConn // set once UP is out
}

// serve drives the connection from its first byte to its end.
func (f *flow) serve(g *handshake.Connection) {
	begun := false
	defer f.relay.guests.Done()
	defer func() {
		if p := recover(); p != nil {
			f.relay.log.Error("panic in a flow", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			_ = f.client.conn.Close()
			if f.back != nil {
				_ = f.back.Close()
			}
		}
		close(f.over)
		f.m.Ended()
		if begun {
			_ = f.client.conn.SetReadDeadline(time.Now().Add(session.CloseTimeout))
			f.readers.Wait()
		}
		_ = f.client.conn.Close()
		f.client.recycle()
		f.relay.lobby.leave(g)
		if begun {
			f.relay.flowing.Add(-1)
			f.relay.post(func(now time.Duration) { f.relay.closed(now, f) })
		}
	}()
	opened, err := f.head()
	switch {
	case opened && f.relay.admit():
		if begun = f.relay.lobby.leave(g); !begun { // it had to give way just now
			f.m.Refused()
			f.relay.flowing.Add(-1)
			return
		}
		f.m.Admitted()
	case opened:
		f.m.Refused()
		f.relay.log.Warn("turned away: near the limit of descriptors or memory")
		f.end(f.relay.busyLine())
		f.relay.lobby.readOff(g)
		return
	case err == nil:
		return
	default:
		f.relay.bad(f.client.conn, err)
		f.end(protocol.AnswerFailed)
		f.relay.lobby.readOff(g)
		return
	}
	f.relay.post(func(now time.Duration) { f.relay.opened(now, f) })
	f.readers.Add(1)
	go f.upstream()
	if up := f.await(); up != nil { // by now await's frame is gone: a standing flow's stack stays small
		f.pass(up)
	}
}

// head reads up to the OPEN line, answering probes; an error is the client's fault.
// The deadline, set when the connection was accepted, stays the same whatever comes
// before that line.
func (f *flow) head() (opened bool, err error) {
	for seen := 0; ; {
		b, err := f.client.more(seen)
		if err != nil {
			return false, f.m.HandshakeEnded(endOf(err), seen)
		}
		f.m.SetSettings(f.relay.settings.Load())
		g, err := f.m.ReadHandshake(f.relay.now(), b, f.relay.node.Ready())
		switch {
		case err != nil:
			return false, err
		case g.Opened:
			_ = f.client.conn.SetDeadline(time.Time{})
			return true, nil
		case g.Consumed == 0:
			seen = len(b)
			continue
		}
		seen = 0
		f.client.take(g.Consumed)
		if _, err := io.WriteString(f.client.conn, g.Reply); err != nil {
			return false, nil
		}
	}
}

// endOf tells in which way a read ended.
func endOf(err error) session.EndKind {
	switch {
	case timedOut(err):
		return session.EndTimeout
	case errors.Is(err, io.EOF):
		return session.EndFIN
	}
	return session.EndReset
}

// await feeds the loop's orders and the attempts' ends to the machine until the
// final answer or, which it returns, UP. Only this goroutine answers the client.
func (f *flow) await() *result {
	f.results = make(chan result, 1)
	f.cancel = func() {}
	defer func() { f.cancel() }()
	left := f.left
	gone := func(spoke bool) {
		left = nil
		f.relay.log.Debug("client left while it waited", zap.Bool("spoke", spoke))
		f.carryOut(f.m.ClientClosed(spoke))
	}
	for f.m.AwaitsCommands() {
		select { // of two that are ready one is taken by chance: nothing is begun for a client that has left
		case spoke := <-left:
			gone(spoke)
			continue
		default:
		}
		select {
		case o := <-f.orders:
			f.carryOut(f.m.Execute(f.relay.now(), o))
		case spoke := <-left:
			gone(spoke)
		case r := <-f.results:
			if r.fail != nil && r.fail.UnknownAnswer() {
				f.relay.log.Error("backend answered what the protocol does not know",
					zap.String("backend", r.attempt.Backend.Name), zap.Error(r.fail))
			}
			do := f.m.AttemptDone(f.relay.now(), r.attempt, r.fail)
			if do.Establish {
				r.stood = do.Event
				return &r
			}
			if do.CloseBackend {
				_ = r.back.conn.Close()
				r.back.recycle()
			}
			f.relay.log.Debug("attempt ended", zap.String("backend", r.attempt.Backend.Name), zap.Error(r.fail))
			f.carryOut(do)
		}
	}
	return nil
}

func (f *flow) carryOut(do session.Actions) {
	if do.CancelAttempt {
		f.cancel()
	}
	if do.ClientError != nil {
		f.relay.bad(f.client.conn, do.ClientError)
	}
	if do.Answer != "" {
		f.end(do.Answer)
	}
	if do.Attempt != nil {
		ctx, stop := context.WithCancel(context.Background())
		f.cancel = stop
		go f.try(ctx, do.Attempt)
	}
	f.tell(do.Event)
}

// tell has the loop hear an event.
func (f *flow) tell(e session.Event) {
	if e.Kind != session.NoEvent {
		told := e // captured below: without a copy each line that tells nothing would cost memory
		f.relay.post(func(now time.Duration) { f.relay.node.SessionEvent(now, f.m.Seq, told) })
	}
}

// try runs one attempt.
func (f *flow) try(ctx context.Context, a *session.Attempt) {
	r := result{attempt: a}
	defer func() {
		if p := recover(); p != nil {
			f.relay.log.Error("panic in an attempt", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			r.fail = a.ConnectionEnded(0, true, fmt.Errorf("panic: %v", p), false)
		}
		f.results <- r
	}()
	for {
		r.back, r.answer, r.fail = f.relay.attempt(ctx, f.client, a)
		if r.fail == nil {
			return
		}
		pause, ok := a.RetryDelay(f.relay.now(), r.fail)
		if !ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// end sends the client's last line and ends our side. What the client still
// sends is read off meanwhile: closing over unread bytes would reset the
// connection and take that last line with it.
func (f *flow) end(last string) {
	c := f.client.conn
	_ = c.SetWriteDeadline(time.Now().Add(session.CloseTimeout))
	_, _ = io.WriteString(c, last)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(session.CloseTimeout))
}

// upstream reads the client: first only whether it leaves, then its lines, which
// go to the backend.
func (f *flow) upstream() {
	defer f.readers.Done()
	defer func() {
		if p := recover(); p != nil {
			f.relay.log.Error("panic in a flow", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			f.hangUp(f.m.ClientEnded(session.EndReset))
		}
	}()
	head := f.m.Open.Len()
	_, err := f.client.more(head)
	stood := false
	select {
	case <-f.stands:
		stood = true
	default:
	}
	if err != nil || !stood { // nothing may come before the answer
		f.left <- err == nil
		select {
		case <-f.stands: // it was just being served: the end belongs to the backend as well
			how := session.EndReset
			if err != nil {
				how = endOf(err)
			}
			f.hangUp(f.m.ClientEnded(how))
		case <-f.over:
		}
		return
	}
	f.client.take(head)
	for seen := 0; ; {
		b, err := f.client.more(seen)
		if err != nil {
			f.hangUp(f.m.ClientEnded(endOf(err)))
			return
		}
		n, err := f.m.FromClient(f.relay.now(), b)
		if err != nil {
			f.relay.bad(f.client.conn, err)
			f.hangUp(f.m.ClientEnded(session.EndReset))
			return
		}
		if n == 0 {
			seen = len(b)
			continue
		}
		seen = 0
		_ = f.back.SetWriteDeadline(time.Now().Add(session.BackendSilenceTimeout))
		if _, err := f.back.Write(b[:n]); timedOut(err) {
			f.m.BackendBlocked()
			_ = f.back.SetReadDeadline(time.Unix(1, 0))
		}
		f.client.take(n)
	}
}

// hangUp ends what a client's end leaves to be ended.
func (f *flow) hangUp(h session.CloseMode) {
	switch h {
	case session.CloseFIN:
		_ = f.back.CloseWrite()
	case session.CloseReset:
		for _, c := range [2]*net.TCPConn{f.back, f.client.conn} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

// pass hands UP to the client and then all lines, until one side ends or the
// client is to move.
func (f *flow) pass(r *result) {
	back := r.back
	f.mu.Lock()
	f.back = back.conn
	f.mu.Unlock()
	close(f.stands) // before UP is out: the client's next line may be here as soon as it is
	b, _ := back.in.R.Peek(r.answer)
	_ = f.client.conn.SetWriteDeadline(time.Now().Add(session.ClientWriteTimeout))
	_, err := f.client.conn.Write(b)
	back.take(r.answer)
	f.tell(r.stood)
	var v session.Termination
	if err == nil {
		v = f.downstream(back)
	} else {
		v = f.deaf()
	}
	if v.BackendSilent {
		f.relay.log.Warn("backend silent, client moved", zap.Stringer("backend", back.conn.RemoteAddr()))
	}
	switch {
	case v.CloseClient:
		f.end(v.LastLine)
	case v.ResetClient:
		_ = f.client.conn.SetLinger(0)
		_ = f.client.conn.Close()
	}
	f.tell(f.m.Terminated(v))
	// The end is the backend's at once, while the client may need a while to take its last line.
	_ = back.conn.Close()
	_ = f.client.conn.SetReadDeadline(time.Now().Add(session.CloseTimeout))
	f.readers.Wait()
	back.recycle()
}

// downstream passes the backend's lines on. It stands between two lines whenever
// it waits, so MOVE never falls into one.
func (f *flow) downstream(back *line) session.Termination {
	client := f.client.conn
	for seen := 0; ; {
		// The deadline before the flag: whoever sets the flag cuts the wait short after it.
		_ = back.conn.SetReadDeadline(time.Now().Add(session.IdleCheckInterval))
		if v, now := f.m.AtLineBoundary(); now {
			return v
		}
		b, err := back.more(seen)
		if timedOut(err) {
			if v, over := f.m.CheckIdle(f.relay.now()); over {
				return v
			}
			continue
		}
		if err != nil {
			return f.m.BackendEnded(endOf(err))
		}
		n, told, err := f.m.FromBackend(b)
		if err != nil {
			f.relay.log.Warn("backend broke the protocol", zap.Error(err))
			return f.m.BackendEnded(session.EndReset)
		}
		if n == 0 {
			seen = len(b)
			continue
		}
		seen = 0
		f.tell(told)
		_ = client.SetWriteDeadline(time.Now().Add(session.ClientWriteTimeout))
		if _, err := client.Write(b[:n]); err != nil {
			return f.deaf()
		}
		back.take(n)
	}
}

// deaf ends a flow whose client takes nothing any more.
func (f *flow) deaf() session.Termination {
	v, h := f.m.ClientBlocked()
	f.hangUp(h)
	return v
}

// move is called by the loop: the client shall leave at the next line's end.
func (f *flow) move() {
	f.m.Migrate()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.back != nil {
		_ = f.back.SetReadDeadline(time.Unix(1, 0))
	}
}
