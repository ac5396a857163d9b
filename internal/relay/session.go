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

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	attempt      *session.Attempt
	backend      *bufferedConn
	answerLength int // of the UP line, the first bytes buffered in backend
	failure      *session.AttemptError
	established  session.Event
}

// clientSession drives one client connection and, once established, its backend connection. It reads, feeds the state
// machine and writes the answers that the state machine returns.
type clientSession struct {
	relay    *Relay
	state    *session.Session
	client   *bufferedConn
	commands chan session.Command

	clientClosed chan bool      // the client's connection has ended before UP; true: it sent more instead
	established  chan struct{}  // closed just before UP is sent
	finished     chan struct{}  // closed at the end of serve
	readers      sync.WaitGroup // the goroutine that reads the client

	cancelAttempt  context.CancelFunc
	attemptResults chan attemptResult

	mu      sync.Mutex
	backend *net.TCPConn // set before UP is sent
}

// newSession returns the driver of a client's connection.
func (r *Relay) newSession(conn *net.TCPConn, state *session.Session) *clientSession {
	return &clientSession{
		relay:        r,
		client:       newBufferedConn(conn),
		state:        state,
		commands:     make(chan session.Command, commandQueueLength),
		clientClosed: make(chan bool, 1),
		established:  make(chan struct{}),
		finished:     make(chan struct{}),
	}
}

// serve drives the connection from its first byte to its end.
func (s *clientSession) serve(pending *handshake.Connection) {
	admitted := false
	defer s.relay.connections.Done()
	defer s.finish(pending, &admitted)
	opened, err := s.readHandshake(pending) // called here, not in admit: one frame more would grow each session's stack by 4 KiB
	if admitted = s.admit(pending, opened, err); !admitted {
		return
	}
	s.state.Admitted()
	s.relay.post(func(now time.Duration) { s.relay.sessionOpened(now, s) })
	s.readers.Add(1)
	go s.forwardClient(pending)
	if result := s.awaitAnswer(); result != nil { // awaitAnswer's frame is gone: an established session's stack stays small
		s.forwardBackend(result)
	}
}

// finish releases the session's resources. It is deferred and recovers a panic, which ends this session only.
func (s *clientSession) finish(pending *handshake.Connection, admitted *bool) {
	if p := recover(); p != nil {
		s.relay.log.Error("panic in session", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		_ = s.client.conn.Close()
		if s.backend != nil {
			_ = s.backend.Close()
		}
	}
	if *admitted {
		_ = s.client.conn.SetReadDeadline(time.Now().Add(session.CloseTimeout))
	}
	close(s.finished)
	s.state.Ended()
	if *admitted {
		s.readers.Wait()
	}
	_ = s.client.conn.Close()
	s.client.recycle()
	s.relay.handshakes.remove(pending)
	if *admitted {
		s.relay.sessionCount.Add(-1)
		s.relay.post(func(now time.Duration) { s.relay.sessionClosed(now, s) })
	}
}

// admit reserves a session after its handshake. A client that is not admitted has been answered or has disconnected.
func (s *clientSession) admit(pending *handshake.Connection, opened bool, err error) bool {
	if err != nil {
		s.relay.logProtocolError(s.client.conn, err)
		s.relay.handshakes.sendFinalAnswer(pending, protocol.AnswerFailed)
		s.relay.handshakes.discardInput(pending)
		return false
	}
	if !opened {
		return false
	}
	if !s.relay.reserveSession() {
		s.state.Refused()
		s.relay.log.Warn("session rejected: descriptor or memory limit reached")
		s.relay.handshakes.sendFinalAnswer(pending, s.relay.busyAnswer())
		s.relay.handshakes.discardInput(pending)
		return false
	}
	if !s.relay.handshakes.remove(pending) { // evicted in the meantime
		s.state.Refused()
		s.relay.sessionCount.Add(-1)
		return false
	}
	return true
}

// readHandshake reads up to the OPEN line and answers PING and STATS; an error is a protocol error of the client. The deadline
// was set when the connection was accepted; lines before OPEN do not extend it.
func (s *clientSession) readHandshake(pending *handshake.Connection) (opened bool, err error) {
	for seen := 0; ; {
		b, err := s.client.peekBeyond(seen)
		if err != nil {
			return false, s.state.HandshakeEnded(endKind(err), seen)
		}
		s.state.SetSettings(s.relay.settings.Load())
		line, err := s.state.ReadHandshake(s.relay.now()-s.client.lastInputAge(), b, s.relay.controller.Ready())
		switch {
		case err != nil:
			return false, err
		case line.Opened:
			_ = s.client.conn.SetDeadline(time.Time{})
			return true, nil
		case line.Consumed == 0:
			seen = len(b)
			continue
		}
		seen = 0
		s.client.discard(line.Consumed)
		if s.relay.handshakes.reply(pending, line.Reply) != nil {
			return false, nil
		}
	}
}

// endKind classifies the error that ended a read.
func endKind(err error) session.EndKind {
	switch {
	case isTimeout(err):
		return session.EndTimeout
	case errors.Is(err, io.EOF):
		return session.EndFIN
	}
	return session.EndReset
}

// awaitAnswer feeds commands and the results of attempts to the state machine until the final answer or UP. It
// returns the attempt that received UP, or nil after a final answer. Only this goroutine answers the client.
func (s *clientSession) awaitAnswer() *attemptResult {
	s.attemptResults = make(chan attemptResult, 1)
	s.cancelAttempt = func() {}
	defer func() { s.cancelAttempt() }()
	clientClosed := s.clientClosed
	handleClientClosed := func(sentMore bool) {
		clientClosed = nil
		s.relay.log.Debug("client disconnected while waiting", zap.Bool("spoke", sentMore))
		s.perform(s.state.ClientClosed(sentMore))
	}
	for s.state.AwaitsCommands() {
		select { // checked alone first, since select picks at random: no attempt starts for a client that has disconnected
		case sentMore := <-clientClosed:
			handleClientClosed(sentMore)
			continue
		default:
		}
		select {
		case command := <-s.commands:
			s.perform(s.state.Execute(s.relay.now(), command))
		case sentMore := <-clientClosed:
			handleClientClosed(sentMore)
		case result := <-s.attemptResults:
			s.logUnknownAnswer(&result)
			actions := s.state.AttemptDone(s.relay.now(), result.attempt, result.failure)
			if actions.Establish {
				result.established = actions.Event
				return &result
			}
			if actions.CloseBackend {
				_ = result.backend.conn.Close()
				result.backend.recycle()
			}
			s.relay.log.Debug("backend attempt ended", zap.String("backend", result.attempt.Backend.Name), zap.Error(result.failure))
			s.perform(actions)
		}
	}
	return nil
}

// logUnknownAnswer logs a backend's answer that the protocol does not define.
func (s *clientSession) logUnknownAnswer(result *attemptResult) {
	if result.failure != nil && result.failure.UnknownAnswer() {
		s.relay.log.Error("unknown answer from backend", zap.String("backend", result.attempt.Backend.Name),
			zap.Error(result.failure))
	}
}

// perform carries out the state machine's actions.
func (s *clientSession) perform(actions session.Actions) {
	if actions.CancelAttempt {
		s.cancelAttempt()
	}
	if actions.ClientError != nil {
		s.relay.logProtocolError(s.client.conn, actions.ClientError)
	}
	if actions.Answer != "" {
		s.sendFinalAnswer(actions.Answer)
	}
	if actions.Attempt != nil {
		ctx, cancel := context.WithCancel(context.Background())
		s.cancelAttempt = cancel
		go s.runAttempt(ctx, actions.Attempt)
	}
	s.postEvent(actions.Event)
}

// postEvent passes an event to the controller.
func (s *clientSession) postEvent(event session.Event) {
	if event.Kind == session.NoEvent {
		return
	}
	captured := event // capturing the parameter would allocate for each line without an event as well
	s.relay.post(func(now time.Duration) { s.relay.controller.SessionEvent(now, s.state.Seq, captured) })
}

// runAttempt runs one attempt, repeating the dial where the state machine allows it.
func (s *clientSession) runAttempt(ctx context.Context, a *session.Attempt) {
	result := attemptResult{attempt: a}
	defer func() {
		if p := recover(); p != nil {
			s.relay.log.Error("panic in backend attempt", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			result.failure = a.ConnectionEnded(0, true, fmt.Errorf("panic: %v", p), false)
		}
		s.attemptResults <- result
	}()
	for {
		result.backend, result.answerLength, result.failure = s.relay.attempt(ctx, s.client, a)
		if result.failure == nil {
			return
		}
		delay, ok := a.RetryDelay(s.relay.now(), result.failure)
		if !ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// sendFinalAnswer sends the last line to the client of an admitted session, which the handshake pool no longer holds.
func (s *clientSession) sendFinalAnswer(answer string) { sendLastLine(s.client.conn, answer) }

// sendLastLine sends the last line to a client and closes the relay's side. The caller does not close the connection
// at once: forwardClient or discardInput still reads it, for at most CloseTimeout, since closing with unread bytes would
// reset the connection and lose that line.
func sendLastLine(conn *net.TCPConn, line string) {
	_ = conn.SetWriteDeadline(time.Now().Add(session.CloseTimeout))
	_, _ = io.WriteString(conn, line)
	_ = conn.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(session.CloseTimeout))
}
