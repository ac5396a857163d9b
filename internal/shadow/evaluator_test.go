package shadow

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/upstream"
)

// fakeHost records the shadow's timers.
type fakeHost struct {
	now    time.Duration
	timers []uint64
}

func (h *fakeHost) Now() time.Duration { return h.now }

func (h *fakeHost) SetShadowTimer(token uint64, _ time.Duration) { h.timers = append(h.timers, token) }

// fakeActions counts the actual side's actions.
type fakeActions struct {
	balance.Actions
	sent, answered int
}

func (a *fakeActions) Send(uint64, balance.BackendID, time.Duration) { a.sent++ }
func (a *fakeActions) Reject(uint64, time.Duration)                  { a.answered++ }
func (a *fakeActions) Fail(uint64)                                   { a.answered++ }
func (a *fakeActions) Migrate(uint64)                                {}
func (a *fakeActions) SetTimer(uint64, time.Duration)                {}
func (a *fakeActions) Cancel(uint64, int)                            {}
func (a *fakeActions) CheckHealth(balance.BackendID)                 {}
func (a *fakeActions) ReleaseHealthCheck(balance.BackendID)          {}
func (a *fakeActions) SendGossip(int, []byte)                        {}
func (a *fakeActions) WatchEndpoints()                               {}
func (a *fakeActions) FetchEndpoints()                               {}
func (a *fakeActions) Log(string)                                    {}

// testBackend is the one backend of the tests.
const testBackend balance.BackendID = 7

func testSettings(healthChecks bool) balance.Settings {
	s := balance.Settings{RelayCount: 1, Tick: 4 * time.Millisecond, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: time.Second,
		DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond, HealthChecks: healthChecks,
		Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second}}}
	if healthChecks {
		s.ReportFields = []balance.ReportField{balance.FieldLoadShare}
	}
	return s
}

// newTestEvaluator starts an evaluator with one ready backend, with or without health checks on either side.
func newTestEvaluator(actualChecks, shadowChecks bool) (*Evaluator, *metrics.ShadowCounters, *fakeActions) {
	const now = time.Second
	other := testSettings(shadowChecks)
	actions, counters := &fakeActions{}, &metrics.ShadowCounters{}
	evaluator := New(&fakeHost{now: now}, ShapeOf(&other), zap.NewNop())
	actual := balance.New(now, 1, testSettings(actualChecks), evaluator.Observe(actions))
	evaluator.Start(now, 1, actual, testSettings(actualChecks), counters)
	evaluator.EndpointsUpdated(now, balance.UpdateFull, []balance.Backend{{ID: testBackend, State: balance.StateReady, Weight: 1}})
	evaluator.HealthCheckDone(now, balance.HealthCheckResult{Backend: testBackend, Load: []float32{0.1}, Latency: time.Millisecond})
	return evaluator, counters, actions
}

// establish delivers a request and the success of its attempt.
func establish(evaluator *Evaluator, now time.Duration, id uint64) {
	evaluator.RequestArrived(now, balance.Request{ID: id, Key: id, TimeLeft: time.Second, RetryPolicy: &balance.RetryPolicy{}})
	evaluator.AttemptSucceeded(now, balance.AttemptResult{ID: id, Backend: testBackend, Latency: time.Millisecond})
}

// A backend that reports full utilization becomes unavailable only on the side with health checks. The difference is counted
// once, under its kind, however long it lasts.
func TestEvaluator_CountsAvailability(t *testing.T) {
	for _, tc := range []struct {
		name                       string
		actualChecks, shadowChecks bool
		want                       metrics.Difference
		key                        string // in the WATCH response
	}{
		{"the shadow has no health checks", true, false, metrics.UsedNotUnavailable, "back"},
		{"only the shadow has health checks", false, true, metrics.UnavailableNotUsed, "avoided"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			evaluator, counters, _ := newTestEvaluator(tc.actualChecks, tc.shadowChecks)
			now := time.Second
			for id := uint64(1); id <= 4; id++ {
				establish(evaluator, now, id)
			}
			backends := []*upstream.Backend{{ID: testBackend, Name: "a"}}
			evaluator.Sweep(now, backends)
			if n := counters.Counts[tc.want].Load(); n != 0 {
				t.Fatalf("%d differences for a backend that is not full", n)
			}
			for range 20 { // the side with health checks lowers its limit until the sessions reach it
				now += 200 * time.Millisecond
				evaluator.HealthCheckDone(now, balance.HealthCheckResult{Backend: testBackend, Load: []float32{2}, Latency: time.Millisecond})
				evaluator.Sweep(now, backends)
			}
			if n := counters.Counts[tc.want].Load(); n != 1 {
				t.Errorf("%s is counted %d times, want once: %+v", tc.want, n, counters.Snapshot())
			}
			if tc.want.String() != tc.key {
				t.Errorf("the name of the kind is %q, want %q", tc.want, tc.key)
			}
			if evaluator.failed() {
				t.Error("the evaluation has failed")
			}
		})
	}
}

func TestEvaluator_SameShapeHasNoDifferences(t *testing.T) {
	evaluator, counters, actions := newTestEvaluator(true, true)
	for id := uint64(1); id <= 10; id++ {
		establish(evaluator, time.Second, id)
	}
	evaluator.Sweep(2*time.Second, []*upstream.Backend{{ID: testBackend, Name: "a"}})
	snapshot := counters.Snapshot()
	if snapshot.Compared != 10 || actions.sent != 10 || snapshot.Failed {
		t.Errorf("%+v, %d sent", snapshot, actions.sent)
	}
	for kind, n := range snapshot.Counts {
		if n != 0 {
			t.Errorf("%d of kind %s", n, metrics.Difference(kind))
		}
	}
}

func TestEvaluator_ForgetsClosedRequests(t *testing.T) {
	evaluator, _, _ := newTestEvaluator(true, false)
	establish(evaluator, time.Second, 1)
	establish(evaluator, time.Second, 2)
	if n := evaluator.Requests(); n != 2 {
		t.Fatalf("%d requests, want 2", n)
	}
	evaluator.AttemptEnded(time.Second, balance.AttemptResult{ID: 1, Backend: testBackend, Closed: true})
	evaluator.ClientClosed(time.Second, 2)
	if n := evaluator.Requests(); n != 0 {
		t.Errorf("%d requests after both have closed, want 0", n)
	}
}

func TestEvaluator_PanicEndsEvaluationOnly(t *testing.T) {
	evaluator, counters, actions := newTestEvaluator(true, false)
	establish(evaluator, time.Second, 1)
	*evaluator.Balancer() = balance.Balancer{}
	establish(evaluator, time.Second, 2)
	establish(evaluator, time.Second, 3)
	if !counters.Failed.Load() || evaluator.Requests() != 0 {
		t.Errorf("failed %v, %d requests", counters.Failed.Load(), evaluator.Requests())
	}
	if actions.sent != 3 {
		t.Errorf("%d of 3 requests are sent", actions.sent)
	}
}

func TestDifferenceOf(t *testing.T) {
	undecided, backend1, backend2 := verdict{}, admittedAt(1), admittedAt(2)
	for _, tc := range []struct {
		name           string
		actual, shadow verdict
		attempts       int
		want           metrics.Difference
	}{
		{"shadow undecided", backend1, undecided, 1, metrics.DecisionDelayed},
		{"another backend", backend1, backend2, 1, metrics.DifferentBackend},
		{"another backend for a retry", backend1, backend2, 2, metrics.DifferentBackend},
		{"rejected", backend1, answered, 1, metrics.RejectedNotAdmitted},
		{"answered instead of retried", backend1, answered, 2, metrics.AnsweredNotRetried},
		{"admitted", answered, backend1, 0, metrics.AdmittedNotRejected},
		{"retried instead of answered", answered, backend1, 1, metrics.RetriedNotAnswered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := differenceOf(tc.actual, tc.shadow, tc.attempts); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

func TestShape_EqualAndApply(t *testing.T) {
	base := Shape{HealthChecks: true, ReportFields: []balance.ReportField{balance.FieldLoadShare}}
	if same := base; !base.Equal(&same) || base.Equal(nil) || (*Shape)(nil).Equal(&base) || !(*Shape)(nil).Equal(nil) {
		t.Error("a shape must equal its copy, and nil only nil")
	}
	for name, change := range map[string]func(*Shape){
		"health checks": func(s *Shape) { s.HealthChecks = false },
		"gossip":        func(s *Shape) { s.Gossip = true },
		"groups":        func(s *Shape) { s.Groups = true },
		"retry after":   func(s *Shape) { s.RetryAfter = true },
		"report fields": func(s *Shape) { s.ReportFields = nil },
		"weights":       func(s *Shape) { s.Weights++ },
	} {
		t.Run(name, func(t *testing.T) {
			changed := base
			change(&changed)
			if base.Equal(&changed) || changed.Equal(&base) {
				t.Error("Equal does not detect the change")
			}
			applied := changed.Apply(base.Apply(balance.Settings{MaxAttempts: 3}))
			if got := ShapeOf(&applied); !got.Equal(&changed) || applied.MaxAttempts != 3 || !slices.Equal(got.ReportFields, changed.ReportFields) {
				t.Errorf("%+v, want %+v", got, changed)
			}
		})
	}
}
