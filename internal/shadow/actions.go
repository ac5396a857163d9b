package shadow

import (
	"time"

	"aspenbarrow/balance"
)

func admittedAt(id balance.BackendID) verdict {
	return verdict{made: true, admitted: true, backend: id}
}

// answered is the verdict for a request that is rejected or fails.
var answered = verdict{made: true}

// actualDecided records a decision of the actual side.
func (e *Evaluator) actualDecided(id uint64, v verdict) {
	state := e.requests[id]
	if state == nil {
		return
	}
	state.actual = v
	if v.admitted {
		state.attempts++
	}
	e.changed = append(e.changed, id)
}

// shadowDecided records a decision of the shadow.
func (e *Evaluator) shadowDecided(id uint64, v verdict) {
	if state := e.requests[id]; state != nil {
		state.shadow = v
		e.changed = append(e.changed, id)
	}
}

// Observe wraps actions so that the actual side's decisions are recorded before they are passed on.
func (e *Evaluator) Observe(actions balance.Actions) balance.Actions {
	return observedActions{actions, e}
}

// observedActions passes all actions on and records those that are compared.
type observedActions struct {
	balance.Actions
	evaluator *Evaluator
}

func (o observedActions) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	o.evaluator.actualDecided(id, admittedAt(to))
	o.Actions.Send(id, to, timeout)
}

func (o observedActions) Reject(id uint64, retryAfter time.Duration) {
	o.evaluator.actualDecided(id, answered)
	o.Actions.Reject(id, retryAfter)
}

func (o observedActions) Fail(id uint64) {
	o.evaluator.actualDecided(id, answered)
	o.Actions.Fail(id)
}

func (o observedActions) Migrate(id uint64) {
	if state := o.evaluator.requests[id]; state != nil {
		state.actualMigrated = true
		o.evaluator.migrations = append(o.evaluator.migrations, id)
	}
	o.Actions.Migrate(id)
}

// shadowActions records the shadow's decisions and sets its timers; all other actions are ignored.
type shadowActions struct{ evaluator *Evaluator }

var _ balance.Actions = shadowActions{}

func (s shadowActions) Send(id uint64, to balance.BackendID, _ time.Duration) {
	s.evaluator.shadowDecided(id, admittedAt(to))
}

func (s shadowActions) Reject(id uint64, _ time.Duration) { s.evaluator.shadowDecided(id, answered) }

func (s shadowActions) Fail(id uint64) { s.evaluator.shadowDecided(id, answered) }

func (s shadowActions) Migrate(id uint64) {
	if state := s.evaluator.requests[id]; state != nil {
		state.shadowMigrated = true
		s.evaluator.migrations = append(s.evaluator.migrations, id)
	}
}

func (s shadowActions) SetTimer(token uint64, after time.Duration) {
	s.evaluator.host.SetShadowTimer(token, after)
}

func (shadowActions) Cancel(uint64, int)                   {}
func (shadowActions) CheckHealth(balance.BackendID)        {}
func (shadowActions) ReleaseHealthCheck(balance.BackendID) {}
func (shadowActions) SendGossip(int, []byte)               {}
func (shadowActions) WatchEndpoints()                      {}
func (shadowActions) FetchEndpoints()                      {}
func (shadowActions) Log(string)                           {}
