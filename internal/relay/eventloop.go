package relay

import "time"

// post queues an event for the event loop, or drops it once the loop has ended. It blocks while the queue is full; the
// loop never waits for a goroutine that posts.
func (r *Relay) post(event func(now time.Duration)) {
	select {
	case r.events <- event:
	case <-r.stopped:
	}
}

// now is the controller's clock: Unix time, which the endpoint lists use as well, advanced by the monotonic clock.
func (r *Relay) now() time.Duration { return r.startUnix + time.Since(r.startTime) }

// deadlineTime converts a time of the controller's clock to the system clock's.
func (r *Relay) deadlineTime(clock time.Duration) time.Time {
	return r.startTime.Add(clock - r.startUnix)
}

// loop runs the controller's events and timers until stop is closed. Only this goroutine changes the controller.
func (r *Relay) loop(stop <-chan struct{}) {
	defer close(r.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.controller.FireTimers(r.now())
		if fireAt, ok := r.controller.NextTimer(); ok {
			timer.Reset(fireAt - r.now())
		}
		select {
		case event := <-r.events:
			event(r.now())
		case <-r.drainChanged:
			r.controller.ApplyDrain(r.now())
		case <-timer.C:
		case <-stop:
			return
		}
	}
}

// sessionOpened registers a session that has sent OPEN.
func (r *Relay) sessionOpened(now time.Duration, s *clientSession) {
	r.sessions[s.state.Seq] = s
	r.controller.SessionOpened(now, s.state)
}

// sessionClosed removes a session.
func (r *Relay) sessionClosed(now time.Duration, s *clientSession) {
	delete(r.sessions, s.state.Seq)
	r.controller.SessionClosed(now, s.state.Seq)
}
