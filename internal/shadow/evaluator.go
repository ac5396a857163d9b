// Package shadow evaluates a second configuration beside the one in force. A second balancer, the shadow, gets the same
// events as the actual one; its decisions are compared with the actual ones and the differences counted by kind. After
// each comparison the shadow takes in what was actually done, so that one difference does not grow into others.
//
// Nothing that the shadow decides is done, and a fault of the evaluation ends the evaluation alone. Its state does not
// outlive the process.
package shadow

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/upstream"
)

// logInterval is the shortest time between two log lines with the differences.
const logInterval = 10 * time.Second

// Host is what an Evaluator needs of the controller that it belongs to.
type Host interface {
	// Now returns the time of the event that is being delivered.
	Now() time.Duration
	// SetShadowTimer has ShadowTimerFired called with the token after a time.
	SetShadowTimer(token uint64, after time.Duration)
}

// availabilityReporter is a Decider that tells which backends it sends nothing new to.
type availabilityReporter interface {
	Unavailable(now time.Duration, id balance.BackendID) bool
}

var _ availabilityReporter = (*balance.Balancer)(nil)

// Evaluator is a Decider that passes events to the actual Decider and to the shadow, and compares the two. It names the
// actual Decider instead of embedding it, so that an event that is added or renamed must be handled here.
type Evaluator struct {
	actual   decision.Decider
	shadow   *balance.Balancer
	host     Host
	shape    *Shape
	counters *metrics.ShadowCounters
	log      *zap.Logger

	requests     map[uint64]*requestState
	changed      []uint64 // requests with a decision that is not compared yet
	migrations   []uint64 // requests that either side has migrated since the last sweep
	availability map[balance.BackendID]metrics.Difference

	loggedAt    time.Duration
	loggedTotal int64 // differences when they were logged last
}

var (
	_ decision.Decider     = (*Evaluator)(nil)
	_ decision.Snapshotter = (*Evaluator)(nil)
)

// New returns an evaluator of a shape. It takes events after Start only.
func New(host Host, shape *Shape, log *zap.Logger) *Evaluator {
	return &Evaluator{host: host, shape: shape, log: log}
}

// Start begins to evaluate beside the actual Decider, whose actions must go through Observe. s are the actual settings.
func (e *Evaluator) Start(now time.Duration, seed uint64, actual decision.Decider, s balance.Settings, counters *metrics.ShadowCounters) {
	e.actual = actual
	e.counters = counters
	e.requests = map[uint64]*requestState{}
	e.availability = map[balance.BackendID]metrics.Difference{}
	e.loggedAt = now
	e.runGuarded(func() { e.shadow = balance.New(now, seed, e.shape.Apply(s), shadowActions{e}) })
	e.log.Info("shadow evaluation started", zap.Any("shape", e.shape))
}

// Balancer returns the shadow, for checks.
func (e *Evaluator) Balancer() *balance.Balancer { return e.shadow }

// Requests returns how many requests are being compared, for checks.
func (e *Evaluator) Requests() int { return len(e.requests) }

// runGuarded runs a part of the evaluation. A panic in it ends the evaluation and nothing else.
func (e *Evaluator) runGuarded(part func()) {
	if e.failed() {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			e.counters.Failed.Store(true)
			e.requests, e.changed, e.migrations = nil, nil, nil
			e.log.Error("shadow evaluation stopped after panic", zap.Any("panic", p))
		}
	}()
	part()
}

func (e *Evaluator) failed() bool { return e.counters.Failed.Load() }

func (e *Evaluator) count(kind metrics.Difference) { e.counters.Counts[kind].Add(1) }

// Sweep compares what has no event of its own, migrations and the availability of backends, and logs the differences.
// It is called at regular intervals.
func (e *Evaluator) Sweep(now time.Duration, backends []*upstream.Backend) {
	e.runGuarded(func() {
		e.sweepMigrations()
		e.compareAvailability(now, backends)
		if now-e.loggedAt >= logInterval {
			e.loggedAt = now
			e.logDifferences()
		}
	})
}

// logDifferences logs the counts since the start if any has grown.
func (e *Evaluator) logDifferences() {
	snapshot, total := e.counters.Snapshot(), int64(0)
	for _, count := range snapshot.Counts {
		total += count
	}
	if total == e.loggedTotal {
		return
	}
	e.loggedTotal = total
	var fields []zap.Field
	snapshot.Each(func(name string, value int64) { fields = append(fields, zap.Int64(name, value)) })
	e.log.Info("shadow evaluation found differences", fields...)
}
