package simulation

import "time"

// shutdownTimeout is how long a process may take to shut down before it is killed. successorSyncInterval is the interval
// at which the predecessor in a hot restart sends its descriptor count and load to the successor.
const (
	shutdownTimeout       = 3700 * time.Millisecond
	successorSyncInterval = 100 * time.Millisecond
)

// startRelay starts a relay's process unless it is running.
func (run *run) startRelay(r *relay) {
	if r.up {
		return
	}
	states := map[string]string{}
	for _, e := range r.knownEndpoints {
		states[e.id] = e.state
	}
	run.checker.RelayStarted(r.number, r.cfg.Discovery, states)
	if r.lowDescriptors {
		r.cfg.MaxDescriptors = 80
	}
	if len(r.knownEndpoints) > 0 {
		r.cfg.CachedEndpoints = encodeEndpoints(0, true, r.knownEndpoints)
	}
	r.boot()
	r.joinMembership()
	run.count("relay up")
}

// stopRelay kills a relay's process, or disconnects its machine.
func (run *run) stopRelay(r *relay, disconnect bool) {
	if !r.up {
		return
	}
	run.checker.RelayStopped(r.number)
	if predecessor := r.predecessor; predecessor != nil && predecessor.up { // in a hot restart, on the same machine
		r.predecessor = nil
		if disconnect {
			predecessor.disconnect()
		} else {
			predecessor.kill()
		}
	}
	if disconnect {
		r.disconnect()
	} else {
		r.kill()
	}
}

// restartRelay shuts a relay down and starts it again once its process has ended.
func (run *run) restartRelay(r *relay) {
	r = run.relays[r.number] // a hot restart may have replaced the process; a replaced one is never started again
	if !r.up || r.shuttingDown || run.closing {
		return
	}
	r.shuttingDown = true
	run.count("relay leaves")
	r.post(func(now time.Duration) {
		run.checker.RelayLeaves(r.number)
		r.controller.Shutdown(now)
	})
	incarnation := r.incarnation
	var awaitExit func()
	awaitExit = func() {
		if r.incarnation != incarnation {
			run.engine.schedule(300*time.Millisecond, func() { run.startRelay(r) })
			return
		}
		run.engine.schedule(50*time.Millisecond, awaitExit)
	}
	run.engine.schedule(50*time.Millisecond, awaitExit)
	run.engine.schedule(shutdownTimeout, func() {
		if r.incarnation == incarnation {
			run.stopRelay(r, false)
		}
	})
}

// setRelayDrained drains a relay, or ends its drain.
func (run *run) setRelayDrained(r *relay, on bool) {
	r = run.relays[r.number] // a hot restart may have replaced the process
	if predecessor := r.predecessor; predecessor != nil && predecessor.up {
		predecessor.applyDrain(on) // during a hot restart a drain applies to both processes
	}
	if !r.up {
		return
	}
	if on && !r.shuttingDown { // a relay that shuts down has its own deadline
		run.count("relay drained")
	}
	run.checker.SetRelayDraining(r.number, on && !r.shuttingDown)
	r.applyDrain(on)
}

func (r *relay) applyDrain(on bool) {
	r.controller.SetDrained(on)
	r.handOff(func() {
		r.controller.ApplyDrain(r.engine.now)
		r.scheduleTimer()
	})
}
