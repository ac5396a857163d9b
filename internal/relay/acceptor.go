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
	// acceptRetryDelay is the pause after a failed accept, so that a lasting error does not busy a core.
	acceptRetryDelay = 5 * time.Millisecond

	// commandQueueLength is how many commands of the controller a session may have pending.
	commandQueueLength = 16
)

// accept accepts all connections until the listener is closed. Connections without a whole OPEN line are held in the
// handshake pool, whose bound keeps EMFILE from coming up.
func (r *Relay) accept() error {
	for {
		conn, err := r.listener.AcceptTCP()
		switch {
		case err == nil:
			r.serveConnection(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err): // paused
			if !r.awaitResume() {
				return nil
			}
		default:
			r.log.Error("accept failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		}
	}
}

// awaitResume reports that the acceptor has paused and waits until it is to go on; false: the relay has ended.
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
	case <-r.acceptPaused: // no longer
	default:
	}
	return true
}

// pauseAccepting leaves new connections and datagrams to the other process, or accepts them again.
func (r *Relay) pauseAccepting(on bool) {
	if on {
		_ = r.listener.SetDeadline(expired)
	} else {
		_ = r.listener.SetDeadline(time.Time{})
		select {
		case r.resumeAccept <- struct{}{}:
		default:
		}
	}
	r.peers.setPaused(on)
}

// serveConnection starts the goroutine of an accepted connection.
func (r *Relay) serveConnection(conn *net.TCPConn) {
	_ = conn.SetDeadline(time.Now().Add(handshake.HandshakeTimeout))
	s := &clientSession{
		relay:       r,
		client:      newBufferedConn(conn),
		state:       session.New(r.lastSessionID.Add(1), r.settings.Load(), r.controller.Metrics()),
		commands:    make(chan session.Command, commandQueueLength),
		clientGone:  make(chan bool, 1),
		established: make(chan struct{}),
		finished:    make(chan struct{}),
	}
	pending := r.handshakes.add(conn)
	s.state.Accepted(pending)
	r.connections.Add(1)
	go s.serve(pending)
}

// reserveSession counts a session in; false: the relay is at its limit.
func (r *Relay) reserveSession() bool {
	if r.sessionCount.Add(1) > r.maxSessions.Load() {
		r.sessionCount.Add(-1)
		return false
	}
	return true
}

// logProtocolError logs a client's breach of the protocol.
func (r *Relay) logProtocolError(conn net.Conn, err error) {
	r.log.Warn("protocol error from client", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
}
