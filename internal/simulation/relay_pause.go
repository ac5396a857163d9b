package simulation

import "time"

// pause stops the goroutine of a relay's controller for a while, as a stalled process is stopped: no timer fires, and datagrams
// and other events wait. The goroutines of established sessions go on.
func (r *relay) pause(d time.Duration) {
	if !r.up || r.paused || r.predecessor != nil || r.successor != nil {
		return
	}
	r.paused, r.pausedAt = true, r.engine.now
	r.run.count("relay paused")
	r.run.checker.SetRelayPaused(r.number, true)
	r.engine.schedule(d, r.whileRunning(r.resume))
}

// resume ends a pause. Whether the timers or the waiting events come first is drawn, since goroutines race for it.
func (r *relay) resume() {
	r.paused = false
	r.run.checker.SetRelayPaused(r.number, false)
	if r.run.hasMutation(MutationMembershipStallUnnoticed) {
		r.catchUpTimers()
	}
	if r.engine.randomChance(0.5) {
		r.fireTimers()
	}
	waiting, incarnation := r.waitingEvents, r.incarnation
	r.waitingEvents = nil
	for _, event := range waiting {
		if r.incarnation == incarnation {
			event()
		}
	}
	if r.incarnation == incarnation {
		r.scheduleTimer()
	}
}

// whileNotPaused runs an event of the controller, or keeps it until the end of the pause.
func (r *relay) whileNotPaused(event func()) {
	if r.paused {
		r.waitingEvents = append(r.waitingEvents, event)
		return
	}
	event()
}
