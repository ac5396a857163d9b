package simulation

import (
	"time"

	"aspenbarrow/internal/session"
)

// forwardUpstream sends what has arrived from the client on to the backend.
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

// writeUpstream writes bytes of the client's to the backend. If the backend does not read them in time, it counts
// as blocked.
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

// scheduleIdleCheck checks for an idle session again and again while it may become one.
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
			if termination, over := d.session.CheckIdle(d.relay.engine.now); over {
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
	if d.relay.run.hasMutation(MutationMoveInsideLine) { // not now, but in the middle of the next line
		d.moveInsideLine = true
		return
	}
	d.forwardDownstream()
}

// forwardDownstream sends what has arrived from the backend on to the client, and ends the session where the
// session says so.
func (d *sessionDriver) forwardDownstream() {
	for d.state == stateEstablished && !d.downstreamBusy {
		if termination, now := d.session.AtLineBoundary(); now && !d.moveInsideLine {
			if d.relay.run.hasMutation(MutationMigrateWithoutMove) {
				termination.LastLine = ""
			}
			d.terminate(termination)
			return
		}
		if unread := d.backend.received; len(unread) > 0 {
			n, event, err := d.session.FromBackend(unread)
			if err != nil {
				d.terminate(d.session.BackendEnded(session.EndReset))
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

// writeDownstream writes the first n bytes of the backend's to the client.
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
	var p *pendingWrite
	p = d.client.write(d.backend.received[:n], func(ok bool) {
		d.downstreamBusy = false
		if d.state != stateEstablished {
			return
		}
		if !ok {
			d.clientBlocked()
			return
		}
		d.backend.consume(n)
		if p != nil {
			d.forwardDownstream()
		}
	})
	if p != nil {
		d.relay.engine.schedule(session.ClientWriteTimeout, d.relay.whileRunning(func() {
			if d.downstreamBusy && !p.cancelled {
				p.cancelled = true
				d.downstreamBusy = false
				d.clientBlocked()
			}
		}))
	}
}

// clientBlocked ends a session whose client does not read.
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
