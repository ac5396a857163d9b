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

type attemptResult struct {
	attempt      *session.Attempt
	backend      *bufferedConn
	answerLength int // bytes of the UP line, first in back
	failure      *session.AttemptError
	established  session.Event
}

type clientSession struct {
	relay          *Relay
	state          *session.Session
	client         *bufferedConn
	commands       chan session.Command
	clientGone     chan bool     // the client's end before UP; true: it went on before its answer
	established    chan struct{} // closed when UP goes out
	finished       chan struct{} // closed once the flow is at its end
	readers        sync.WaitGroup
	cancelAttempt  context.CancelFunc // of the attempt that is out
	attemptResults chan attemptResult
	mu             sync.Mutex
	backend        *net.TCPConn // set once UP is out
}

// serve drives the connection from its first byte to its end.
func (f *clientSession) serve(g *handshake.Connection) {
	begun := false
	defer f.relay.connections.Done()
	defer func() {
		if p := recover(); p != nil {
			f.relay.log.Error("panic in a flow", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			_ = f.client.conn.Close()
			if f.backend != nil {
				_ = f.backend.Close()
			}
		}
		close(f.finished)
		f.state.Ended()
		if begun {
			_ = f.client.conn.SetReadDeadline(time.Now().Add(session.CloseTimeout))
			f.readers.Wait()
		}
		_ = f.client.conn.Close()
		f.client.recycle()
		f.relay.handshakes.remove(g)
		if begun {
			f.relay.sessionCount.Add(-1)
			f.relay.post(func(now time.Duration) { f.relay.sessionClosed(now, f) })
		}
	}()
	opened, err := f.readHandshake()
	switch {
	case opened && f.relay.reserveSession():
		if begun = f.relay.handshakes.remove(g); !begun { // it had to give way just now
			f.state.Refused()
			f.relay.sessionCount.Add(-1)
			return
		}
		f.state.Admitted()
	case opened:
		f.state.Refused()
		f.relay.log.Warn("turned away: near the limit of descriptors or memory")
		f.sendFinalAnswer(f.relay.busyAnswer())
		f.relay.handshakes.discardInput(g)
		return
	case err == nil:
		return
	default:
		f.relay.logProtocolError(f.client.conn, err)
		f.sendFinalAnswer(protocol.AnswerFailed)
		f.relay.handshakes.discardInput(g)
		return
	}
	f.relay.post(func(now time.Duration) { f.relay.sessionOpened(now, f) })
	f.readers.Add(1)
	go f.forwardClient()
	if up := f.awaitAnswer(); up != nil { // by now await's frame is gone: a standing flow's stack stays small
		f.forwardBackend(up)
	}
}

// head reads up to the OPEN line, answering probes; an error is the client's fault.
// The deadline, set when the connection was accepted, stays the same whatever comes
// before that line.
func (f *clientSession) readHandshake() (opened bool, err error) {
	for seen := 0; ; {
		b, err := f.client.peekBeyond(seen)
		if err != nil {
			return false, f.state.HandshakeEnded(endKind(err), seen)
		}
		f.state.SetSettings(f.relay.settings.Load())
		g, err := f.state.ReadHandshake(f.relay.now(), b, f.relay.controller.Ready())
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
		f.client.discard(g.Consumed)
		if _, err := io.WriteString(f.client.conn, g.Reply); err != nil {
			return false, nil
		}
	}
}

// endOf tells in which way a read ended.
func endKind(err error) session.EndKind {
	switch {
	case isTimeout(err):
		return session.EndTimeout
	case errors.Is(err, io.EOF):
		return session.EndFIN
	}
	return session.EndReset
}

// await feeds the loop's orders and the attempts' ends to the machine until the
// final answer or, which it returns, UP. Only this goroutine answers the client.
func (f *clientSession) awaitAnswer() *attemptResult {
	f.attemptResults = make(chan attemptResult, 1)
	f.cancelAttempt = func() {}
	defer func() { f.cancelAttempt() }()
	left := f.clientGone
	gone := func(spoke bool) {
		left = nil
		f.relay.log.Debug("client left while it waited", zap.Bool("spoke", spoke))
		f.perform(f.state.ClientClosed(spoke))
	}
	for f.state.AwaitsCommands() {
		select { // of two that are ready one is taken by chance: nothing is begun for a client that has left
		case spoke := <-left:
			gone(spoke)
			continue
		default:
		}
		select {
		case o := <-f.commands:
			f.perform(f.state.Execute(f.relay.now(), o))
		case spoke := <-left:
			gone(spoke)
		case r := <-f.attemptResults:
			if r.failure != nil && r.failure.UnknownAnswer() {
				f.relay.log.Error("backend answered what the protocol does not know",
					zap.String("backend", r.attempt.Backend.Name), zap.Error(r.failure))
			}
			do := f.state.AttemptDone(f.relay.now(), r.attempt, r.failure)
			if do.Establish {
				r.established = do.Event
				return &r
			}
			if do.CloseBackend {
				_ = r.backend.conn.Close()
				r.backend.recycle()
			}
			f.relay.log.Debug("attempt ended", zap.String("backend", r.attempt.Backend.Name), zap.Error(r.failure))
			f.perform(do)
		}
	}
	return nil
}

func (f *clientSession) perform(do session.Actions) {
	if do.CancelAttempt {
		f.cancelAttempt()
	}
	if do.ClientError != nil {
		f.relay.logProtocolError(f.client.conn, do.ClientError)
	}
	if do.Answer != "" {
		f.sendFinalAnswer(do.Answer)
	}
	if do.Attempt != nil {
		ctx, stop := context.WithCancel(context.Background())
		f.cancelAttempt = stop
		go f.runAttempt(ctx, do.Attempt)
	}
	f.postEvent(do.Event)
}

// tell has the loop hear an event.
func (f *clientSession) postEvent(e session.Event) {
	if e.Kind != session.NoEvent {
		told := e // captured below: without a copy each line that tells nothing would cost memory
		f.relay.post(func(now time.Duration) { f.relay.controller.SessionEvent(now, f.state.Seq, told) })
	}
}

// try runs one attempt.
func (f *clientSession) runAttempt(ctx context.Context, a *session.Attempt) {
	r := attemptResult{attempt: a}
	defer func() {
		if p := recover(); p != nil {
			f.relay.log.Error("panic in an attempt", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			r.failure = a.ConnectionEnded(0, true, fmt.Errorf("panic: %v", p), false)
		}
		f.attemptResults <- r
	}()
	for {
		r.backend, r.answerLength, r.failure = f.relay.attempt(ctx, f.client, a)
		if r.failure == nil {
			return
		}
		pause, ok := a.RetryDelay(f.relay.now(), r.failure)
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
func (f *clientSession) sendFinalAnswer(last string) {
	c := f.client.conn
	_ = c.SetWriteDeadline(time.Now().Add(session.CloseTimeout))
	_, _ = io.WriteString(c, last)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(session.CloseTimeout))
}

// upstream reads the client: first only whether it leaves, then its lines, which
// go to the backend.
func (f *clientSession) forwardClient() {
	defer f.readers.Done()
	defer func() {
		if p := recover(); p != nil {
			f.relay.log.Error("panic in a flow", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			f.closeConnections(f.state.ClientEnded(session.EndReset))
		}
	}()
	head := f.state.Open.Len()
	_, err := f.client.peekBeyond(head)
	stood := false
	select {
	case <-f.established:
		stood = true
	default:
	}
	if err != nil || !stood { // nothing may come before the answer
		f.clientGone <- err == nil
		select {
		case <-f.established: // it was just being served: the end belongs to the backend as well
			how := session.EndReset
			if err != nil {
				how = endKind(err)
			}
			f.closeConnections(f.state.ClientEnded(how))
		case <-f.finished:
		}
		return
	}
	f.client.discard(head)
	for seen := 0; ; {
		b, err := f.client.peekBeyond(seen)
		if err != nil {
			f.closeConnections(f.state.ClientEnded(endKind(err)))
			return
		}
		n, err := f.state.FromClient(f.relay.now(), b)
		if err != nil {
			f.relay.logProtocolError(f.client.conn, err)
			f.closeConnections(f.state.ClientEnded(session.EndReset))
			return
		}
		if n == 0 {
			seen = len(b)
			continue
		}
		seen = 0
		_ = f.backend.SetWriteDeadline(time.Now().Add(session.BackendSilenceTimeout))
		if _, err := f.backend.Write(b[:n]); isTimeout(err) {
			f.state.BackendBlocked()
			_ = f.backend.SetReadDeadline(time.Unix(1, 0))
		}
		f.client.discard(n)
	}
}

// hangUp ends what a client's end leaves to be ended.
func (f *clientSession) closeConnections(h session.CloseMode) {
	switch h {
	case session.CloseFIN:
		_ = f.backend.CloseWrite()
	case session.CloseReset:
		for _, c := range [2]*net.TCPConn{f.backend, f.client.conn} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

// pass hands UP to the client and then all lines, until one side ends or the
// client is to move.
func (f *clientSession) forwardBackend(r *attemptResult) {
	back := r.backend
	f.mu.Lock()
	f.backend = back.conn
	f.mu.Unlock()
	close(f.established) // before UP is out: the client's next line may be here as soon as it is
	b, _ := back.reader.R.Peek(r.answerLength)
	_ = f.client.conn.SetWriteDeadline(time.Now().Add(session.ClientWriteTimeout))
	_, err := f.client.conn.Write(b)
	back.discard(r.answerLength)
	f.postEvent(r.established)
	var v session.Termination
	if err == nil {
		v = f.copyBackendLines(back)
	} else {
		v = f.clientBlocked()
	}
	if v.BackendSilent {
		f.relay.log.Warn("backend silent, client moved", zap.Stringer("backend", back.conn.RemoteAddr()))
	}
	switch {
	case v.CloseClient:
		f.sendFinalAnswer(v.LastLine)
	case v.ResetClient:
		_ = f.client.conn.SetLinger(0)
		_ = f.client.conn.Close()
	}
	f.postEvent(f.state.Terminated(v))
	// The end is the backend's at once, while the client may need a while to take its last line.
	_ = back.conn.Close()
	_ = f.client.conn.SetReadDeadline(time.Now().Add(session.CloseTimeout))
	f.readers.Wait()
	back.recycle()
}

// downstream passes the backend's lines on. It stands between two lines whenever
// it waits, so MOVE never falls into one.
func (f *clientSession) copyBackendLines(back *bufferedConn) session.Termination {
	client := f.client.conn
	for seen := 0; ; {
		// The deadline before the flag: whoever sets the flag cuts the wait short after it.
		_ = back.conn.SetReadDeadline(time.Now().Add(session.IdleCheckInterval))
		if v, now := f.state.AtLineBoundary(); now {
			return v
		}
		b, err := back.peekBeyond(seen)
		if isTimeout(err) {
			if v, over := f.state.CheckIdle(f.relay.now()); over {
				return v
			}
			continue
		}
		if err != nil {
			return f.state.BackendEnded(endKind(err))
		}
		n, told, err := f.state.FromBackend(b)
		if err != nil {
			f.relay.log.Warn("backend broke the protocol", zap.Error(err))
			return f.state.BackendEnded(session.EndReset)
		}
		if n == 0 {
			seen = len(b)
			continue
		}
		seen = 0
		f.postEvent(told)
		_ = client.SetWriteDeadline(time.Now().Add(session.ClientWriteTimeout))
		if _, err := client.Write(b[:n]); err != nil {
			return f.clientBlocked()
		}
		back.discard(n)
	}
}

// deaf ends a flow whose client takes nothing any more.
func (f *clientSession) clientBlocked() session.Termination {
	v, h := f.state.ClientBlocked()
	f.closeConnections(h)
	return v
}

// move is called by the loop: the client shall leave at the next line's end.
func (f *clientSession) migrate() {
	f.state.Migrate()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backend != nil {
		_ = f.backend.SetReadDeadline(time.Unix(1, 0))
	}
}
