package simulation

import (
	"time"

	"aspenbarrow/internal/session"
)

// forwardUpstream forwards bytes from the client to the backend.
func (d *sessionDriver) forwardUpstream() {
	for d.state == stateEstablished && !d.upstreamBusy && !d.clientDone {
		if unread := d.client.received; len(unread) > 0 {
			n, err := d.session.FromClient(d.relay.engine.now, unread)
			if err != nil {
				d.clientDone = true
				d.closeBackend(d.session.ClientEnded(session.EndReset))
				return
			}
			if n > 0 {
				d.scheduleIdleCheck()
				d.writeUpstream(unread[:n])
				continue
			}
		}
		if d.client.remoteEnd != session.NoEnd {
			d.clientDone = true
			d.closeBackend(d.session.ClientEnded(d.client.remoteEnd))
		}
		return
	}
}

// writeUpstream writes bytes from the client to the backend. A backend that does not read them in time counts as
// blocked.
func (d *sessionDriver) writeUpstream(data []byte) {
	d.upstreamBusy = true
	var pending *pendingWrite
	pending = d.backend.write(data, func(bool) {
		d.upstreamBusy = false
		d.client.consume(len(data))
		if pending != nil {
			d.forwardUpstream()
		}
	})
	if pending == nil {
		return
	}
	d.relay.engine.schedule(session.BackendSilenceTimeout, d.relay.whileRunning(func() {
		if d.upstreamBusy && !pending.cancelled {
			pending.cancelled = true
			d.session.BackendBlocked()
			d.scheduleIdleCheck()
		}
	}))
}

// closeBackend closes or resets the backend's connection after the client has ended.
func (d *sessionDriver) closeBackend(mode session.CloseMode) {
	switch mode {
	case session.CloseFIN:
		d.backend.closeWrite()
		d.scheduleIdleCheck()
	case session.CloseReset:
		d.backend.reset()
		d.client.reset()
		d.terminate(d.session.BackendEnded(session.EndReset))
	}
}

// scheduleIdleCheck calls CheckIdle at regular intervals as long as it may end the session.
func (d *sessionDriver) scheduleIdleCheck() {
	if d.idleCheckPending || d.state != stateEstablished {
		return
	}
	d.idleCheckPending = true
	d.relay.engine.schedule(session.IdleCheckInterval, d.relay.whileRunning(func() {
		d.idleCheckPending = false
		if d.state != stateEstablished {
			return
		}
		if !d.downstreamBusy {
			if termination, ended := d.session.CheckIdle(d.relay.engine.now); ended {
				d.terminate(termination)
				return
			}
		}
		if d.downstreamBusy || !d.session.Idle() {
			d.scheduleIdleCheck()
		}
	}))
}

// migrate ends the session with MOVE at the next line boundary.
func (d *sessionDriver) migrate() {
	if d.relay.run.hasMutation(MutationMoveInsideLine) { // MOVE follows in the middle of the next line instead
		d.moveInsideLine = true
		return
	}
	d.forwardDownstream()
}

// forwardDownstream forwards bytes from the backend to the client. It terminates a session that is to migrate at a line
// boundary, and one whose backend has ended or violated the protocol.
func (d *sessionDriver) forwardDownstream() {
	for d.state == stateEstablished && !d.downstreamBusy {
		if termination, migrates := d.session.AtLineBoundary(); migrates && !d.moveInsideLine {
			if d.relay.run.hasMutation(MutationMigrateWithoutMove) {
				termination.LastLine = ""
			}
			d.terminate(termination)
			return
		}
		if unread := d.backend.received; len(unread) > 0 {
			n, event, err := d.session.FromBackend(unread)
			if err != nil {
				d.terminate(d.session.BackendViolatedProtocol())
				return
			}
			if n > 0 {
				d.postEvent(event)
				d.downstreamBusy = true
				if d.relay.run.hasMutation(MutationDelayedLines) {
					d.relay.engine.schedule(1200*time.Millisecond, d.relay.whileRunning(func() { d.writeDownstream(n) }))
					return
				}
				d.writeDownstream(n)
				continue
			}
		}
		if d.backend.remoteEnd != session.NoEnd {
			d.terminate(d.session.BackendEnded(d.backend.remoteEnd))
		}
		return
	}
}

// writeDownstream writes the first n bytes received from the backend to the client.
func (d *sessionDriver) writeDownstream(n int) {
	if d.state != stateEstablished || len(d.backend.received) < n {
		d.downstreamBusy = false
		return
	}
	if d.moveInsideLine {
		d.client.write(d.backend.received[:n/2], func(bool) {})
		d.backend.consume(n / 2)
		termination, _ := d.session.AtLineBoundary()
		d.terminate(termination)
		return
	}
	var pending *pendingWrite
	pending = d.client.write(d.backend.received[:n], func(ok bool) {
		d.downstreamBusy = false
		if d.state != stateEstablished {
			return
		}
		if !ok {
			d.clientBlocked()
			return
		}
		d.backend.consume(n)
		if pending != nil {
			d.forwardDownstream()
		}
	})
	if pending != nil {
		d.relay.engine.schedule(session.ClientWriteTimeout, d.relay.whileRunning(func() {
			if d.downstreamBusy && !pending.cancelled {
				pending.cancelled = true
				d.downstreamBusy = false
				d.clientBlocked()
			}
		}))
	}
}

// clientBlocked ends a session whose client has stopped reading.
func (d *sessionDriver) clientBlocked() {
	termination, mode := d.session.ClientBlocked()
	if mode == session.CloseReset {
		d.backend.reset()
		d.client.reset()
	}
	d.terminate(termination)
}

// terminate ends an established session.
func (d *sessionDriver) terminate(termination session.Termination) {
	if d.state != stateEstablished {
		return
	}
	d.state = stateClosing
	switch {
	case termination.CloseClient:
		d.writeLastLine(termination.LastLine)
	case termination.ResetClient:
		d.client.reset()
	}
	d.postEvent(d.session.Terminated(termination))
	d.backend.close()
	d.awaitClientClose()
}
