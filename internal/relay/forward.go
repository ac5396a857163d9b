package relay

import (
	"net"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/session"
)

// forwardClient reads the client. Before UP it only detects that the client disconnects or sends data; after UP it
// forwards the client's lines to the backend.
func (s *clientSession) forwardClient(pending *handshake.Connection) {
	defer s.readers.Done()
	defer func() {
		if p := recover(); p != nil {
			s.relay.log.Error("panic in session", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			s.closeConnections(s.state.ClientEnded(session.EndReset))
		}
	}()
	requestLength := s.state.Open.Len()
	_, err := s.client.peekBeyond(requestLength)
	if err != nil || !s.isEstablished() { // the client must not send data before the answer
		s.reportClientClosed(err)
		if err == nil && !s.isEstablished() { // the final answer has been sent, and the client may still send
			s.relay.handshakes.discardInput(pending)
		}
		return
	}
	s.client.discard(requestLength)
	s.copyClientLines()
}

// isEstablished reports whether UP has been or is being sent.
func (s *clientSession) isEstablished() bool {
	select {
	case <-s.established:
		return true
	default:
		return false
	}
}

// reportClientClosed reports a client that has closed its connection before UP, or, with a nil error, sent more.
func (s *clientSession) reportClientClosed(err error) {
	s.clientClosed <- err == nil
	select {
	case <-s.established: // UP is being sent: the backend's connection ends as well
		kind := session.EndReset
		if err != nil {
			kind = endKind(err)
		}
		s.closeConnections(s.state.ClientEnded(kind))
	case <-s.finished:
	}
}

// copyClientLines copies the client's lines to the backend. Once the backend is blocked, perhaps in the middle of a line, the
// client's lines are discarded until the session ends: closing with unread bytes would reset the client.
func (s *clientSession) copyClientLines() {
	blocked := false
	for seen := 0; ; {
		b, err := s.client.peekBeyond(seen)
		if err != nil {
			s.closeConnections(s.state.ClientEnded(endKind(err)))
			return
		}
		n, err := s.state.FromClient(s.relay.now(), b)
		if err != nil {
			s.relay.logProtocolError(s.client.conn, err)
			s.closeConnections(s.state.ClientEnded(session.EndReset))
			return
		}
		if n == 0 {
			seen = len(b)
			continue
		}
		seen = 0
		blocked = blocked || s.writeToBackend(b[:n])
		s.client.discard(n)
	}
}

// writeToBackend writes lines of the client and reports whether the backend has not accepted them in time; the goroutine that
// reads the backend is then woken and ends the session. Other errors show when the backend is read.
func (s *clientSession) writeToBackend(lines []byte) (blocked bool) {
	_ = s.backend.SetWriteDeadline(time.Now().Add(session.BackendSilenceTimeout))
	if _, err := s.backend.Write(lines); !isTimeout(err) {
		return false
	}
	s.state.BackendBlocked()
	_ = s.backend.SetReadDeadline(expired)
	return true
}

// closeConnections closes the connections in the given mode after the client's side has ended.
func (s *clientSession) closeConnections(mode session.CloseMode) {
	switch mode {
	case session.CloseFIN:
		_ = s.backend.CloseWrite()
	case session.CloseReset:
		for _, conn := range [2]*net.TCPConn{s.backend, s.client.conn} {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// forwardBackend sends UP to the client and then the backend's lines, until one side ends or the session migrates.
func (s *clientSession) forwardBackend(result *attemptResult) {
	backend := result.backend
	s.mu.Lock()
	s.backend = backend.conn
	s.mu.Unlock()
	close(s.established) // before UP is sent: the client's next line may follow it at once
	answer, _ := backend.reader.R.Peek(result.answerLength)
	_ = s.client.conn.SetWriteDeadline(time.Now().Add(session.ClientWriteTimeout))
	_, err := s.client.conn.Write(answer)
	backend.discard(result.answerLength)
	s.postEvent(result.established)
	var termination session.Termination
	if err == nil {
		termination = s.copyBackendLines(backend)
	} else {
		termination = s.clientBlocked()
	}
	s.terminate(backend, termination)
}

// terminate ends the client's side as termination states, closes the backend's connection and waits for the goroutine that
// reads the client.
func (s *clientSession) terminate(backend *bufferedConn, termination session.Termination) {
	if termination.BackendSilent {
		s.relay.log.Warn("backend silent, client migrated", zap.Stringer("backend", backend.conn.RemoteAddr()))
	}
	switch {
	case termination.CloseClient:
		s.sendFinalAnswer(termination.LastLine)
	case termination.ResetClient:
		_ = s.client.conn.SetLinger(0)
		_ = s.client.conn.Close()
	}
	s.postEvent(s.state.Terminated(termination))
	// The backend's connection closes at once, while the client may need a while to read its last line.
	_ = backend.conn.Close()
	_ = s.client.conn.SetReadDeadline(time.Now().Add(session.CloseTimeout))
	s.readers.Wait()
	backend.recycle()
}

// copyBackendLines copies the backend's lines to the client. It waits only between two lines, so MOVE is never
// written inside a line. Only whole lines put off the next idle check: the bytes of a line that the backend does not
// finish bring the client nothing.
func (s *clientSession) copyBackendLines(backend *bufferedConn) session.Termination {
	client := s.client.conn
	idleCheckAt := time.Now().Add(session.IdleCheckInterval)
	for seen := 0; ; {
		// The deadline is set before the flags are read: migrate and writeToBackend set theirs first and then expire the deadline.
		_ = backend.conn.SetReadDeadline(idleCheckAt)
		if termination, ended := s.state.AtLineBoundary(); ended {
			return termination
		}
		b, err := backend.peekBeyond(seen)
		if isTimeout(err) {
			if termination, ended := s.state.CheckIdle(s.relay.now()); ended {
				return termination
			}
			idleCheckAt = time.Now().Add(session.IdleCheckInterval)
			continue
		}
		if err != nil {
			return s.state.BackendEnded(endKind(err))
		}
		n, event, err := s.state.FromBackend(b)
		if err != nil {
			s.relay.log.Warn("protocol error from backend", zap.Stringer("backend", backend.conn.RemoteAddr()), zap.Error(err))
			return s.state.BackendViolatedProtocol()
		}
		if n == 0 {
			seen = len(b)
			continue
		}
		seen = 0
		s.postEvent(event)
		_ = client.SetWriteDeadline(time.Now().Add(session.ClientWriteTimeout))
		if _, err := client.Write(b[:n]); err != nil {
			return s.clientBlocked()
		}
		backend.discard(n)
		idleCheckAt = time.Now().Add(session.IdleCheckInterval)
	}
}

// clientBlocked ends a session after a write to its client has failed.
func (s *clientSession) clientBlocked() session.Termination {
	termination, mode := s.state.ClientBlocked()
	s.closeConnections(mode)
	return termination
}

// migrate has the session end with MOVE at the next line boundary. The event loop calls it.
func (s *clientSession) migrate() {
	s.state.Migrate()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backend != nil {
		_ = s.backend.SetReadDeadline(expired)
	}
}
