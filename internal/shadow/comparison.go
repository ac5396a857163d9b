package shadow

import (
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/upstream"
)

// verdict is one side's latest decision on a request.
type verdict struct {
	made     bool // a decision has been made that is not compared yet
	admitted bool // true: an attempt was started; false: the final answer was given
	backend  balance.BackendID
}

// requestState is the evaluation's state of a request and of the session that results from it.
type requestState struct {
	request           balance.Request
	arrivedAt         time.Duration
	attempts          int // started by the actual side
	established       bool
	actual, shadow    verdict
	actualMigrated    bool
	shadowMigrated    bool
	migrationCompared bool
}

// compareChanged compares the changed requests on which both sides have decided.
func (e *Evaluator) compareChanged(now time.Duration) {
	for _, id := range e.changed {
		if state := e.requests[id]; state != nil && state.actual.made && state.shadow.made {
			e.compare(now, id, state)
		}
	}
	e.changed = e.changed[:0]
}

// compareNow compares a request before its next event is delivered, whether or not the shadow has decided.
func (e *Evaluator) compareNow(now time.Duration, id uint64) {
	if state := e.requests[id]; state != nil && state.actual.made {
		e.compare(now, id, state)
	}
}

// compare compares the decisions on a request. It counts a difference and replays the actual decision into the shadow.
func (e *Evaluator) compare(now time.Duration, id uint64, state *requestState) {
	e.counters.Compared.Add(1)
	actual, shadow := state.actual, state.shadow
	state.actual, state.shadow = verdict{}, verdict{}
	if actual != shadow {
		e.count(differenceOf(actual, shadow, state.attempts))
		request := state.request
		request.TimeLeft -= now - state.arrivedAt
		e.shadow.ReplayDecision(now, request, state.attempts-1, actual.backend, actual.admitted)
	}
	if !actual.admitted {
		e.forget(id)
	}
}

// differenceOf returns the kind of a difference. attempts is the number of actual attempts, one just started included.
func differenceOf(actual, shadow verdict, attempts int) metrics.Difference {
	switch {
	case !shadow.made:
		return metrics.DecisionDelayed
	case actual.admitted && shadow.admitted:
		return metrics.DifferentBackend
	case actual.admitted && attempts <= 1:
		return metrics.RejectedNotAdmitted
	case actual.admitted:
		return metrics.AnsweredNotRetried
	case attempts == 0:
		return metrics.AdmittedNotRejected
	default:
		return metrics.RetriedNotAnswered
	}
}

// forget ends the evaluation of a request.
func (e *Evaluator) forget(id uint64) {
	if state := e.requests[id]; state != nil {
		e.compareMigration(state)
		delete(e.requests, id)
	}
}

// sweepMigrations compares the migrations since the last sweep. The delay gives both sides time to decide.
func (e *Evaluator) sweepMigrations() {
	for _, id := range e.migrations {
		if state := e.requests[id]; state != nil {
			e.compareMigration(state)
		}
	}
	e.migrations = e.migrations[:0]
}

// compareMigration counts a session that only one side has migrated, once per session.
func (e *Evaluator) compareMigration(state *requestState) {
	if state.migrationCompared || state.actualMigrated == state.shadowMigrated {
		return
	}
	state.migrationCompared = true
	if state.actualMigrated {
		e.count(metrics.KeptNotMigrated)
	} else {
		e.count(metrics.MigratedNotKept)
	}
}

// compareAvailability counts the backends that are unavailable on one side only, once per change of the difference.
func (e *Evaluator) compareAvailability(now time.Duration, backends []*upstream.Backend) {
	reporter, ok := e.actual.(availabilityReporter)
	if !ok { // a simpler policy, for which no backend is unavailable
		return
	}
	for _, backend := range backends {
		actual, shadow := reporter.Unavailable(now, backend.ID), e.shadow.Unavailable(now, backend.ID)
		if actual == shadow {
			delete(e.availability, backend.ID)
			continue
		}
		kind := metrics.UsedNotUnavailable
		if shadow {
			kind = metrics.UnavailableNotUsed
		}
		if counted, ok := e.availability[backend.ID]; !ok || counted != kind {
			e.availability[backend.ID] = kind
			e.count(kind)
		}
	}
}
