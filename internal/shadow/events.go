package shadow

import (
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
)

// onBoth passes an event to both sides, the actual one first, and compares their decisions.
func (e *Evaluator) onBoth(now time.Duration, event func(decision.Decider)) {
	event(e.actual)
	e.runGuarded(func() {
		event(e.shadow)
		e.compareChanged(now)
	})
}

// RequestArrived passes a request to both sides.
func (e *Evaluator) RequestArrived(now time.Duration, r balance.Request) {
	if !e.failed() {
		e.requests[r.ID] = &requestState{request: r, arrivedAt: now}
	}
	e.onBoth(now, func(d decision.Decider) { d.RequestArrived(now, r) })
}

// SessionAdopted passes a resumed session to both sides.
func (e *Evaluator) SessionAdopted(now time.Duration, r balance.Request, id balance.BackendID) {
	if !e.failed() {
		e.requests[r.ID] = &requestState{request: r, arrivedAt: now, attempts: 1, established: true}
	}
	e.onBoth(now, func(d decision.Decider) { d.SessionAdopted(now, r, id) })
}

// AttemptSucceeded compares the request's last decision and passes the event to both sides.
func (e *Evaluator) AttemptSucceeded(now time.Duration, result balance.AttemptResult) {
	e.runGuarded(func() {
		e.compareNow(now, result.ID)
		if state := e.requests[result.ID]; state != nil {
			state.established = true
		}
	})
	e.onBoth(now, func(d decision.Decider) { d.AttemptSucceeded(now, result) })
}

// AttemptEnded compares the request's last decision and passes the event to both sides.
func (e *Evaluator) AttemptEnded(now time.Duration, result balance.AttemptResult) {
	ended := false
	e.runGuarded(func() {
		e.compareNow(now, result.ID)
		state := e.requests[result.ID]
		ended = state != nil && (state.established || result.Closed)
	})
	e.onBoth(now, func(d decision.Decider) { d.AttemptEnded(now, result) })
	if ended {
		e.runGuarded(func() { e.forget(result.ID) })
	}
}

// ClientClosed compares the request's last decision, passes the event to both sides and forgets the request.
func (e *Evaluator) ClientClosed(now time.Duration, id uint64) {
	e.runGuarded(func() {
		e.compareNow(now, id)
		// An attempt that only the shadow has started must not remain in the shadow's tracked load.
		if state := e.requests[id]; state != nil && state.shadow.admitted {
			e.shadow.ReplayDecision(now, state.request, 0, 0, false)
		}
	})
	e.onBoth(now, func(d decision.Decider) { d.ClientClosed(now, id) })
	e.runGuarded(func() { e.forget(id) })
}

// LoadReported passes a session's load to both sides.
func (e *Evaluator) LoadReported(now time.Duration, id uint64, signal balance.LoadSignal, value float64) {
	e.onBoth(now, func(d decision.Decider) { d.LoadReported(now, id, signal, value) })
}

// TimerFired passes a timer of the actual side to it.
func (e *Evaluator) TimerFired(now time.Duration, token uint64) {
	e.actual.TimerFired(now, token)
	e.runGuarded(func() { e.compareChanged(now) })
}

// ShadowTimerFired passes a timer that was set with Host.SetShadowTimer to the shadow.
func (e *Evaluator) ShadowTimerFired(now time.Duration, token uint64) {
	e.runGuarded(func() {
		e.shadow.TimerFired(now, token)
		e.compareChanged(now)
	})
}

// DrainBy passes a drain to both sides.
func (e *Evaluator) DrainBy(now, at time.Duration) {
	e.onBoth(now, func(d decision.Decider) { d.DrainBy(now, at) })
}

// DeadlineExceeded passes the event to the actual side only: the next comparison replays the answer into the shadow.
func (e *Evaluator) DeadlineExceeded(now time.Duration, id uint64) {
	e.actual.DeadlineExceeded(now, id)
}

// HealthCheckDone passes a result to the shadow only if its shape has health checks: without them a balancer gets none.
func (e *Evaluator) HealthCheckDone(now time.Duration, result balance.HealthCheckResult) {
	e.actual.HealthCheckDone(now, result)
	e.runGuarded(func() {
		if e.shape.HealthChecks {
			e.shadow.HealthCheckDone(now, result)
		}
		e.compareChanged(now)
	})
}

// GossipReceived passes gossip to the shadow only if its shape has gossip.
func (e *Evaluator) GossipReceived(now time.Duration, from int, data []byte) {
	e.actual.GossipReceived(now, from, data)
	e.runGuarded(func() {
		if e.shape.Gossip {
			e.shadow.GossipReceived(now, from, data)
		}
		e.compareChanged(now)
	})
}

// EndpointsUpdated passes each side its own copy of the list, since a Decider may keep it.
func (e *Evaluator) EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, backends []balance.Backend) {
	e.onBoth(now, func(d decision.Decider) { d.EndpointsUpdated(now, kind, slices.Clone(backends)) })
}

// SetActiveRelays passes the number of relays to both sides.
func (e *Evaluator) SetActiveRelays(relays int) {
	e.onBoth(e.host.Now(), func(d decision.Decider) { d.SetActiveRelays(relays) })
}

// UpdateSettings passes settings to both sides, with the shadow's shape applied for the shadow.
func (e *Evaluator) UpdateSettings(s balance.Settings) {
	e.actual.UpdateSettings(s)
	e.runGuarded(func() { e.shadow.UpdateSettings(e.shape.Apply(s)) })
}

// Connections returns the actual side's counts.
func (e *Evaluator) Connections() (all, byBackend int) { return e.actual.Connections() }

// CountUnavailable returns the actual side's counts.
func (e *Evaluator) CountUnavailable(now time.Duration) (listed, avoided int) {
	return e.actual.CountUnavailable(now)
}

// Snapshot returns the actual side's state only: the evaluation starts anew in each process.
func (e *Evaluator) Snapshot() balance.Snapshot {
	if snapshotter, ok := e.actual.(decision.Snapshotter); ok {
		return snapshotter.Snapshot()
	}
	return balance.Snapshot{}
}

// Restore restores both sides from the actual side's state in the predecessor process.
func (e *Evaluator) Restore(now time.Duration, snapshot balance.Snapshot) {
	if snapshotter, ok := e.actual.(decision.Snapshotter); ok {
		snapshotter.Restore(now, snapshot)
	}
	e.runGuarded(func() { e.shadow.Restore(now, snapshot) })
}

// UpdatePredecessor passes the state of the relay's predecessor process to both sides.
func (e *Evaluator) UpdatePredecessor(now time.Duration, snapshot balance.Snapshot) {
	if snapshotter, ok := e.actual.(decision.Snapshotter); ok {
		snapshotter.UpdatePredecessor(now, snapshot)
	}
	e.runGuarded(func() { e.shadow.UpdatePredecessor(now, snapshot) })
}
