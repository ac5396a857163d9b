package relay

import (
	"context"
	"time"
)

const (
	// finalWriteGrace is how long the process waits for connections that have just been sent their last line: exiting
	// with unread bytes resets the connection and loses that line. It also bounds the wait until the acceptor has paused.
	finalWriteGrace = 50 * time.Millisecond

	// acceptQueueDrainTime bounds how long the accept queue is emptied at the end: clients may keep arriving.
	acceptQueueDrainTime = 10 * time.Millisecond
)

// expired is a deadline in the past: setting it ends a read, write or accept that is under way.
var expired = time.Unix(1, 0)

// awaitShutdown waits until ctx is done and every answer has been given, or until the acceptor fails. It reports
// whether the shutdown was requested.
func (r *Relay) awaitShutdown(ctx context.Context, acceptEnded <-chan error) (requested bool, err error) {
	select {
	case err = <-acceptEnded:
		return false, err
	case <-ctx.Done():
	}
	if r.predecessor.alive() { // the predecessor continues, and accepts from now on
		r.controller.SetReplaced(true)
		_ = r.listener.SetDeadline(expired)
		_ = r.predecessor.conn.Close()
	}
	r.post(r.controller.Shutdown)
	<-r.shutdownFinished
	return true, nil
}

// stopAccepting closes the listener: from here on all connections go to the other process that shares the address, if
// there is one. The event loop starts it while sessions are still served, so that hardly any client has to be refused
// at the end.
func (r *Relay) stopAccepting() {
	defer close(r.listenerClosed)
	r.drainAcceptQueue()
	_ = r.listener.Close()
}

// drainAcceptQueue accepts the connections that still wait in the queue, so that they get an answer: closing the
// listener would reset them. A queue that is shared with another process is left to that process. The acceptor is
// paused first: it may be busy with a connection, and would use up the deadline while others still wait.
func (r *Relay) drainAcceptQueue() {
	if r.controller.Replaced() || !r.accepting.Load() {
		return
	}
	_ = r.listener.SetDeadline(expired)
	timeout := time.NewTimer(finalWriteGrace)
	defer timeout.Stop()
	select {
	case <-r.acceptPaused:
	case <-timeout.C:
	case <-r.stopped:
		return
	}
	_ = r.listener.SetDeadline(time.Now().Add(acceptQueueDrainTime))
	for {
		conn, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		r.serveConnection(conn)
	}
}

// closeRemaining answers BUSY to the connections that have not sent OPEN, those in the accept queue included unless the
// acceptor has failed, and waits for them.
func (r *Relay) closeRemaining(drainQueue bool) {
	if drainQueue {
		driver{r}.StopAccepting()
		<-r.listenerClosed
	}
	_ = r.listener.Close()
	r.handshakes.closeAll()
	r.awaitConnections()
}

// awaitConnections waits until all connections have ended, or for finalWriteGrace. The event loop still runs and
// refuses clients that have just sent OPEN.
func (r *Relay) awaitConnections() {
	ended := make(chan struct{})
	go func() {
		r.connections.Wait()
		close(ended)
	}()
	timeout := time.NewTimer(finalWriteGrace)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
	}
}
