// Package shadow evaluates a second configuration alongside the active one. A second balancer, the shadow, receives the
// same events as the actual balancer; its decisions are compared with the actual ones and the differences are counted by
// kind. After a difference the actual decision is replayed into the shadow, so that it does not cause further differences.
//
// The shadow's decisions are never carried out, and a panic in the evaluation stops only the evaluation. Its state is lost
// when the process exits.
package shadow

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/upstream"
)

// logInterval is the minimum time between two log lines about differences.
const logInterval = 10 * time.Second

// Host is the part of the controller that an Evaluator uses.
type Host interface {
	// Now returns the time of the event that is being delivered.
	Now() time.Duration
	// SetShadowTimer schedules a call of ShadowTimerFired with the token after the given delay.
	SetShadowTimer(token uint64, after time.Duration)
}

// availabilityReporter is a Decider that reports which backends it sends no new requests to.
type availabilityReporter interface {
	Unavailable(now time.Duration, id balance.BackendID) bool
}

var _ availabilityReporter = (*balance.Balancer)(nil)

// Evaluator is a Decider that passes events to the actual Decider and to the shadow, and compares their decisions. It does
// not embed the actual Decider, so that an added or renamed event does not compile until it is handled here.
type Evaluator struct {
	actual   decision.Decider
	shadow   *balance.Balancer
	host     Host
	shape    *Shape
	counters *metrics.ShadowCounters
	log      *zap.Logger

	requests     map[uint64]*requestState
	changed      []uint64 // requests with a decision that has not been compared
	migrations   []uint64 // requests that either side has migrated since the last sweep
	availability map[balance.BackendID]metrics.Difference

	loggedAt    time.Duration
	loggedTotal int64 // number of differences when they were last logged
}

var (
	_ decision.Decider     = (*Evaluator)(nil)
	_ decision.Snapshotter = (*Evaluator)(nil)
)

// New returns an evaluator of a shape. It must not receive events before Start.
func New(host Host, shape *Shape, log *zap.Logger) *Evaluator {
	return &Evaluator{host: host, shape: shape, log: log}
}

// Start starts the evaluation alongside the actual Decider, whose actions must be wrapped by Observe. s holds the actual
// settings.
func (e *Evaluator) Start(now time.Duration, seed uint64, actual decision.Decider, s balance.Settings, counters *metrics.ShadowCounters) {
	e.actual = actual
	e.counters = counters
	e.requests = map[uint64]*requestState{}
	e.availability = map[balance.BackendID]metrics.Difference{}
	e.loggedAt = now
	e.runGuarded(func() { e.shadow = balance.New(now, seed, e.shape.Apply(s), shadowActions{e}) })
	e.log.Info("shadow evaluation started", zap.Any("shape", e.shape))
}

// Balancer returns the shadow, for tests.
func (e *Evaluator) Balancer() *balance.Balancer { return e.shadow }

// Requests returns how many requests are being compared, for tests.
func (e *Evaluator) Requests() int { return len(e.requests) }

// runGuarded runs a part of the evaluation unless it has failed. A panic stops only the evaluation.
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

// Sweep compares migrations and the availability of backends, which are not compared at events, and logs the differences.
// It is called periodically.
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

// logDifferences logs the counts since Start, unless none has changed since the last log line.
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
