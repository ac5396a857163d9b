package relay

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/session"
)

const (
	// acceptRetryDelay is the pause after a failed accept, so that a persistent error does not occupy a core.
	acceptRetryDelay = 5 * time.Millisecond

	// commandQueueLength is how many commands of the controller a session may have pending.
	commandQueueLength = 16
)

// accept accepts all connections until the listener is closed or the relay stops during a pause. Connections without a
// complete OPEN line are held in the handshake pool, whose capacity keeps the process below its descriptor limit (EMFILE).
func (r *Relay) accept() error {
	for {
		conn, err := r.listener.AcceptTCP()
		switch {
		case err == nil:
			r.serveConnection(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err): // paused by a deadline in the past
			if !r.awaitResume() {
				return nil
			}
		default:
			r.log.Error("accept failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		}
	}
}

// awaitResume signals that the acceptor has paused and waits until it may resume; false: the relay has stopped.
func (r *Relay) awaitResume() bool {
	select {
	case r.acceptPaused <- struct{}{}:
	default:
	}
	select {
	case <-r.stopped:
		return false
	case <-r.resumeAccept:
	}
	select {
	case <-r.acceptPaused: // withdraws the signal
	default:
	}
	return true
}

// setAcceptPaused pauses accepting connections and receiving datagrams, which leaves them to the other process of a hot
// restart, or resumes both.
func (r *Relay) setAcceptPaused(paused bool) {
	if paused {
		_ = r.listener.SetDeadline(expired)
	} else {
		_ = r.listener.SetDeadline(time.Time{})
		select {
		case r.resumeAccept <- struct{}{}:
		default:
		}
	}
	r.peers.setPaused(paused)
}

// serveConnection starts the goroutine of an accepted connection.
func (r *Relay) serveConnection(conn *net.TCPConn) {
	_ = conn.SetDeadline(time.Now().Add(handshake.HandshakeTimeout))
	s := r.newSession(conn, session.New(r.lastSessionID.Add(1), r.settings.Load(), r.controller.Metrics()))
	pending := r.handshakes.add(conn)
	r.connections.Add(1)
	go s.serve(pending)
}

// reserveSession adds a session to the count; false: the relay is at its limit.
func (r *Relay) reserveSession() bool {
	if r.sessionCount.Add(1) > r.maxSessions.Load() {
		r.sessionCount.Add(-1)
		return false
	}
	return true
}

// logProtocolError logs a client's protocol error.
func (r *Relay) logProtocolError(conn net.Conn, err error) {
	r.log.Warn("protocol error from client", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
}
