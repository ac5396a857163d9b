// Package shadow evaluates a second configuration beside the one in force: a second balancer hears the same events, its
// decisions are compared with the actual ones and counted by kind, and none is acted upon. After each comparison the
// second balancer takes in what was actually done, so that one difference doesn't grow into others.
package shadow

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/upstream"
)

// Shape is what may differ between deployments in what the module has to go by.
type Shape struct {
	HealthChecks bool `json:"Probes"`
	Gossip       bool `json:"Peers"`
	Groups       bool
	RetryAfter   bool
	ReportFields []balance.ReportField `json:"Report"` // of load reports, in order; empty: none come
	Weights      balance.WeightMode
}

// ShapeOf is the shape that settings have.
func ShapeOf(b *balance.Settings) *Shape {
	return &Shape{HealthChecks: b.HealthChecks, Gossip: b.Gossip, Groups: b.Groups, RetryAfter: b.RetryAfter, ReportFields: b.ReportFields, Weights: b.Weights}
}

// Apply is settings with another shape.
func (s *Shape) Apply(b balance.Settings) balance.Settings {
	b.HealthChecks, b.Gossip, b.Groups, b.RetryAfter = s.HealthChecks, s.Gossip, s.Groups, s.RetryAfter
	b.ReportFields, b.Weights = s.ReportFields, s.Weights
	return b
}

// Equal says whether two shapes are the same; nil is none.
func (s *Shape) Equal(o *Shape) bool {
	return s == o || s != nil && o != nil && slices.Equal(s.ReportFields, o.ReportFields) && s.HealthChecks == o.HealthChecks && s.Gossip == o.Gossip &&
		s.Groups == o.Groups && s.RetryAfter == o.RetryAfter && s.Weights == o.Weights
}

const logInterval = 10 * time.Second

// decision is what was done with a request last.
type outcome struct {
	made, admitted bool // sent to a server, else answered
	backend        balance.BackendID
}

// requestState is what watching knows of a flow.
type requestState struct {
	request           balance.Request
	arrivedAt         time.Duration
	attempts          int // attempts really made
	established       bool
	actual, shadow    outcome
	migrated          [2]bool // asked to move: really, by the other settings
	migrationCompared bool    // the moves were
}

// availabilityReporter is a Decider that tells which backends it sends nothing new to.
type availabilityReporter interface {
	Unavailable(now time.Duration, id balance.BackendID) bool
}

var _ availabilityReporter = (*balance.Balancer)(nil)

// Evaluator is a Decider that has one decide and another decide in vain.
type Evaluator struct {
	decision.Decider // what decides
	shadow           *balance.Balancer
	host             Host
	shape            *Shape
	counters         *metrics.ShadowCounters
	log              *zap.Logger
	requests         map[uint64]*requestState
	changed          []uint64 // flows with a verdict that is not compared yet
	migrations       []uint64 // flows asked to move by either since the last sweep
	availability     map[balance.BackendID]metrics.Difference
	loggedAt         time.Duration
	loggedTotal      int64 // differences when they were logged last
}

// ShadowHost is what an Evaluator needs of the controller that it belongs to.
type Host interface {
	Now() time.Duration                           // of the event that is delivered
	SetShadowTimer(token uint64, d time.Duration) // to come back as ShadowTimerFired
}

// New is an evaluator of a shape. It decides nothing before Start.
func New(host Host, shape *Shape, log *zap.Logger) *Evaluator {
	return &Evaluator{host: host, shape: shape, log: log}
}

// Start begins to evaluate beside what decides.
func (w *Evaluator) Start(now time.Duration, seed uint64, real decision.Decider, s balance.Settings, counters *metrics.ShadowCounters) {
	w.Decider, w.requests, w.availability, w.loggedAt = real, map[uint64]*requestState{}, map[balance.BackendID]metrics.Difference{}, now
	w.counters = counters
	w.guarded(func() { w.shadow = balance.New(now, seed, w.shape.Apply(s), shadowActions{w}) })
	w.log.Info("shadow evaluation started", zap.Any("shape", w.shape))
}

// Balancer is what evaluates the other shape, for checks.
func (w *Evaluator) Balancer() *balance.Balancer { return w.shadow }

// Requests is how many requests are compared now, for checks.
func (w *Evaluator) Requests() int { return len(w.requests) }

// guarded does something of the watching half. A fault there ends the watching and nothing else.
func (w *Evaluator) guarded(f func()) {
	if w.failed() {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			w.counters.Failed.Store(true)
			w.requests, w.changed, w.migrations = nil, nil, nil
			w.log.Error("shadow evaluation stopped after panic", zap.Any("panic", p))
		}
	}()
	f()
}

func (w *Evaluator) failed() bool { return w.counters.Failed.Load() }

func (w *Evaluator) count(k metrics.Difference) { w.counters.Counts[k].Add(1) }

// decideBoth has both decide, first what decides, and compares.
func (w *Evaluator) decideBoth(now time.Duration, decide func(decision.Decider)) {
	decide(w.Decider)
	w.guarded(func() {
		decide(w.shadow)
		w.compareChanged(now)
	})
}

// compareChanged compares what is decided on both sides.
func (w *Evaluator) compareChanged(now time.Duration) {
	for _, id := range w.changed {
		if f := w.requests[id]; f != nil && f.actual.made && f.shadow.made {
			w.compare(now, id, f)
		}
	}
	w.changed = w.changed[:0]
}

// compareNow compares a flow that something happens to now, decided on both sides or not.
func (w *Evaluator) compareNow(now time.Duration, id uint64) {
	if f := w.requests[id]; f != nil && f.actual.made {
		w.compare(now, id, f)
	}
}

// compare counts a difference once and has the other's books take what was really done.
func (w *Evaluator) compare(now time.Duration, id uint64, f *requestState) {
	w.counters.Compared.Add(1)
	real, other, first := f.actual, f.shadow, f.attempts <= 1
	f.actual, f.shadow = outcome{}, outcome{}
	if !real.admitted {
		first = f.attempts == 0
	}
	if real == other {
		if !real.admitted {
			w.forget(id)
		}
		return
	}
	switch {
	case !other.made:
		w.count(metrics.DecisionDelayed)
	case real.admitted && other.admitted:
		w.count(metrics.DifferentBackend)
	case real.admitted && first:
		w.count(metrics.RejectedNotAdmitted)
	case real.admitted:
		w.count(metrics.AnsweredNotRetried)
	case first:
		w.count(metrics.AdmittedNotRejected)
	default:
		w.count(metrics.RetriedNotAnswered)
	}
	r := f.request
	r.TimeLeft -= now - f.arrivedAt
	w.shadow.ReplayDecision(now, r, f.attempts-1, real.backend, real.admitted)
	if !real.admitted {
		w.forget(id)
	}
}

// forget forgets a flow that has ended.
func (w *Evaluator) forget(id uint64) {
	if f := w.requests[id]; f != nil {
		w.compareMigrations(f)
		delete(w.requests, id)
	}
}

func (w *Evaluator) compareMigrations(f *requestState) {
	if f.migrationCompared || f.migrated[0] == f.migrated[1] {
		return
	}
	f.migrationCompared = true
	if f.migrated[0] {
		w.count(metrics.KeptNotMigrated)
	} else {
		w.count(metrics.MigratedNotKept)
	}
}

// Sweep compares moves and which servers are avoided, and logs what has come up.
func (w *Evaluator) Sweep(now time.Duration, backends []*upstream.Backend) {
	w.guarded(func() {
		for _, id := range w.migrations {
			if f := w.requests[id]; f != nil {
				w.compareMigrations(f)
			}
		}
		w.migrations = w.migrations[:0]
		if real, ok := w.Decider.(availabilityReporter); ok {
			for _, b := range backends {
				is, would := real.Unavailable(now, b.ID), w.shadow.Unavailable(now, b.ID)
				if is == would {
					delete(w.availability, b.ID)
					continue
				}
				kind := metrics.UsedNotUnavailable
				if would {
					kind = metrics.UnavailableNotUsed
				}
				if was, ok := w.availability[b.ID]; !ok || was != kind {
					w.availability[b.ID] = kind
					w.count(kind)
				}
			}
		}
		if now-w.loggedAt < logInterval {
			return
		}
		w.loggedAt = now
		f, total := w.counters.Snapshot(), int64(0)
		fields := []zap.Field{}
		f.Each(func(name string, v int64) { fields = append(fields, zap.Int64(name, v)) })
		for _, n := range f.Counts {
			total += n
		}
		if total != w.loggedTotal {
			w.loggedTotal = total
			w.log.Info("shadow evaluation found differences", fields...)
		}
	})
}

// ShadowTimerFired is a timer that the other half has asked for.
func (w *Evaluator) ShadowTimerFired(now time.Duration, token uint64) {
	w.guarded(func() {
		w.shadow.TimerFired(now, token)
		w.compareChanged(now)
	})
}

// --- what both hear ----------------------------------------------------------------

func (w *Evaluator) RequestArrived(now time.Duration, r balance.Request) {
	if !w.failed() {
		w.requests[r.ID] = &requestState{request: r, arrivedAt: now}
	}
	w.decideBoth(now, func(d decision.Decider) { d.RequestArrived(now, r) })
}

func (w *Evaluator) SessionAdopted(now time.Duration, r balance.Request, id balance.BackendID) {
	if !w.failed() {
		w.requests[r.ID] = &requestState{request: r, arrivedAt: now, attempts: 1, established: true}
	}
	w.decideBoth(now, func(d decision.Decider) { d.SessionAdopted(now, r, id) })
}

func (w *Evaluator) AttemptSucceeded(now time.Duration, o balance.AttemptResult) {
	w.guarded(func() {
		w.compareNow(now, o.ID)
		if f := w.requests[o.ID]; f != nil {
			f.established = true
		}
	})
	w.decideBoth(now, func(d decision.Decider) { d.AttemptSucceeded(now, o) })
}

func (w *Evaluator) AttemptEnded(now time.Duration, o balance.AttemptResult) {
	over := false
	w.guarded(func() {
		w.compareNow(now, o.ID)
		f := w.requests[o.ID]
		over = f != nil && (f.established || o.Closed)
	})
	w.decideBoth(now, func(d decision.Decider) { d.AttemptEnded(now, o) })
	if over {
		w.guarded(func() { w.forget(o.ID) })
	}
}

func (w *Evaluator) ClientClosed(now time.Duration, id uint64) {
	w.guarded(func() {
		w.compareNow(now, id)
		// A client that leaves while what decides holds it leaves nothing behind where it was sent in vain.
		if f := w.requests[id]; f != nil && f.shadow.admitted {
			w.shadow.ReplayDecision(now, f.request, 0, 0, false)
		}
	})
	w.decideBoth(now, func(d decision.Decider) { d.ClientClosed(now, id) })
	w.guarded(func() { w.forget(id) })
}

func (w *Evaluator) LoadReported(now time.Duration, id uint64, kind balance.LoadSignal, v float64) {
	w.decideBoth(now, func(d decision.Decider) { d.LoadReported(now, id, kind, v) })
}

// Timer is what decides alone: the other half has timers of its own.
func (w *Evaluator) TimerFired(now time.Duration, token uint64) {
	w.Decider.TimerFired(now, token)
	w.guarded(func() { w.compareChanged(now) })
}

func (w *Evaluator) DrainBy(now, at time.Duration) {
	w.decideBoth(now, func(d decision.Decider) { d.DrainBy(now, at) })
}

func (w *Evaluator) HealthCheckDone(now time.Duration, r balance.HealthCheckResult) {
	w.Decider.HealthCheckDone(now, r)
	w.guarded(func() {
		if w.shape.HealthChecks { // under settings without probes no answer would have come
			w.shadow.HealthCheckDone(now, r)
		}
		w.compareChanged(now)
	})
}

func (w *Evaluator) GossipReceived(now time.Duration, from int, data []byte) {
	w.Decider.GossipReceived(now, from, data)
	w.guarded(func() {
		if w.shape.Gossip {
			w.shadow.GossipReceived(now, from, data)
		}
		w.compareChanged(now)
	})
}

func (w *Evaluator) EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, lines []balance.Backend) {
	w.decideBoth(now, func(d decision.Decider) { d.EndpointsUpdated(now, kind, slices.Clone(lines)) })
}

// Here goes to what decides alone: the other shape's figures are its own.
func (w *Evaluator) SetActiveRelays(relays int) {
	w.decideBoth(w.host.Now(), func(d decision.Decider) { d.SetActiveRelays(relays) })
}

func (w *Evaluator) UpdateSettings(s balance.Settings) {
	w.Decider.UpdateSettings(s)
	w.guarded(func() { w.shadow.UpdateSettings(w.shape.Apply(s)) })
}

// Snapshot, Recall and Beside are of what decides: watching begins anew with each process.
func (w *Evaluator) Snapshot() (m balance.Snapshot) {
	if r, ok := w.Decider.(decision.Snapshotter); ok {
		m = r.Snapshot()
	}
	return m
}

func (w *Evaluator) Restore(now time.Duration, m balance.Snapshot) {
	if r, ok := w.Decider.(decision.Snapshotter); ok {
		r.Restore(now, m)
	}
	w.guarded(func() { w.shadow.Restore(now, m) })
}

func (w *Evaluator) UpdateOtherProcess(now time.Duration, m balance.Snapshot) {
	if r, ok := w.Decider.(decision.Snapshotter); ok {
		r.UpdateOtherProcess(now, m)
	}
	w.guarded(func() { w.shadow.UpdateOtherProcess(now, m) })
}

// --- what both do ------------------------------------------------------------------

// recordDecision notes a verdict of one side.
func (w *Evaluator) recordDecision(id uint64, v outcome, really bool) {
	f := w.requests[id]
	if f == nil {
		return
	}
	if really {
		if f.actual = v; v.admitted {
			f.attempts++
		}
	} else {
		f.shadow = v
	}
	w.changed = append(w.changed, id)
}

func (w *Evaluator) recordMigration(id uint64, really bool) {
	if f := w.requests[id]; f != nil {
		side := 1
		if really {
			side = 0
		}
		f.migrated[side] = true
		w.migrations = append(w.migrations, id)
	}
}

// observedActions passes on what is really done, and notes it.
type observedActions struct {
	balance.Actions
	evaluator *Evaluator
}

// Observe has actual decisions noted on their way to the actions that they bring about.
func (w *Evaluator) Observe(do balance.Actions) balance.Actions { return observedActions{do, w} }

func (s observedActions) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	s.evaluator.recordDecision(id, outcome{made: true, admitted: true, backend: to}, true)
	s.Actions.Send(id, to, timeout)
}

func (s observedActions) Reject(id uint64, after time.Duration) {
	s.evaluator.recordDecision(id, outcome{made: true}, true)
	s.Actions.Reject(id, after)
}

func (s observedActions) Fail(id uint64) {
	s.evaluator.recordDecision(id, outcome{made: true}, true)
	s.Actions.Fail(id)
}

func (s observedActions) Migrate(id uint64) {
	s.evaluator.recordMigration(id, true)
	s.Actions.Migrate(id)
}

// shadowActions is where the actions of the other half end.
type shadowActions struct{ *Evaluator }

func (s shadowActions) Send(id uint64, to balance.BackendID, _ time.Duration) {
	s.recordDecision(id, outcome{made: true, admitted: true, backend: to}, false)
}
func (s shadowActions) Reject(id uint64, _ time.Duration) {
	s.recordDecision(id, outcome{made: true}, false)
}
func (s shadowActions) Fail(id uint64)    { s.recordDecision(id, outcome{made: true}, false) }
func (s shadowActions) Migrate(id uint64) { s.recordMigration(id, false) }
func (s shadowActions) SetTimer(token uint64, d time.Duration) {
	s.host.SetShadowTimer(token, d)
}
func (shadowActions) Cancel(uint64, int)                   {}
func (shadowActions) CheckHealth(balance.BackendID)        {}
func (shadowActions) ReleaseHealthCheck(balance.BackendID) {}
func (shadowActions) SendGossip(int, []byte)               {}
func (shadowActions) WatchEndpoints(bool)                  {}
func (shadowActions) FetchEndpoints()                      {}
func (shadowActions) Log(string)                           {}
