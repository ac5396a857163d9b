package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// actionKind names the method of Actions that was called.
type actionKind string

const (
	actionSend               actionKind = "send"
	actionReject             actionKind = "reject"
	actionFail               actionKind = "fail"
	actionCancel             actionKind = "cancel"
	actionCheckHealth        actionKind = "check health"
	actionReleaseHealthCheck actionKind = "release health check"
	actionMigrate            actionKind = "migrate"
	actionGossip             actionKind = "gossip"
	actionTimer              actionKind = "timer"
	actionWatch              actionKind = "watch endpoints"
	actionFetch              actionKind = "fetch endpoints"
)

// action is one call of Actions.
type action struct {
	kind    actionKind
	id      uint64
	to      BackendID
	delay   time.Duration
	attempt int
}

// recorder keeps the actions for a test to read.
type recorder struct{ actions []action }

func (r *recorder) Send(id uint64, to BackendID, t time.Duration) {
	r.actions = append(r.actions, action{kind: actionSend, id: id, to: to, delay: t})
}

func (r *recorder) Reject(id uint64, t time.Duration) {
	r.actions = append(r.actions, action{kind: actionReject, id: id, delay: t})
}

func (r *recorder) Fail(id uint64) { r.actions = append(r.actions, action{kind: actionFail, id: id}) }

func (r *recorder) Cancel(id uint64, n int) {
	r.actions = append(r.actions, action{kind: actionCancel, id: id, attempt: n})
}

func (r *recorder) CheckHealth(to BackendID) {
	r.actions = append(r.actions, action{kind: actionCheckHealth, to: to})
}

func (r *recorder) ReleaseHealthCheck(to BackendID) {
	r.actions = append(r.actions, action{kind: actionReleaseHealthCheck, to: to})
}

func (r *recorder) Migrate(id uint64) {
	r.actions = append(r.actions, action{kind: actionMigrate, id: id})
}

func (r *recorder) SendGossip(peer int, data []byte) {
	r.actions = append(r.actions, action{kind: actionGossip, attempt: peer})
}

func (r *recorder) SetTimer(token uint64, d time.Duration) {
	r.actions = append(r.actions, action{kind: actionTimer, id: token, delay: d})
}

func (r *recorder) WatchEndpoints(bool) { r.actions = append(r.actions, action{kind: actionWatch}) }

func (r *recorder) FetchEndpoints() { r.actions = append(r.actions, action{kind: actionFetch}) }

func (r *recorder) Log(string) {}

// take returns the recorded actions of one kind.
func (r *recorder) take(kind actionKind) []action {
	var got []action
	for _, a := range r.actions {
		if a.kind == kind {
			got = append(got, a)
		}
	}
	return got
}

func (r *recorder) clear() { r.actions = nil }

const (
	ms  = time.Millisecond
	sec = time.Second
)

func defaultSettings() Settings {
	return Settings{
		RelayIndex: 0, RelayCount: 2, Tick: 4 * ms, MaxAttempts: 4, Weights: WeightsNominal,
		Classes: []Class{
			{LatencyObjective: 500 * ms, ClientTimeout: 2 * sec, MessageLatencyObjective: 60 * ms, Idempotency: Idempotent, PriorityWeight: 1},
			{LatencyObjective: 500 * ms, ClientTimeout: 2 * sec, MessageLatencyObjective: 60 * ms, Idempotency: NonIdempotent, PriorityWeight: 1},
			{LatencyObjective: 500 * ms, ClientTimeout: 2 * sec, MessageLatencyObjective: 60 * ms, Idempotency: IdempotentWithKey, DedupScope: ScopeCell,
				DedupWindow: sec, PriorityWeight: 1},
			{LatencyObjective: 500 * ms, ClientTimeout: 2 * sec, MessageLatencyObjective: 60 * ms, Idempotency: IdempotentWithKey, DedupScope: ScopeZone,
				DedupWindow: sec, PriorityWeight: 1},
			{LatencyObjective: 500 * ms, ClientTimeout: 2 * sec, MessageLatencyObjective: 60 * ms, Idempotency: IdempotentWithKey, DedupScope: ScopeAll,
				DedupWindow: sec, PriorityWeight: 1},
		},
		DrainGrace: 250 * ms, AnswerSlack: 16 * ms, DialTimeout: 250 * ms, PollInterval: 10 * sec,
		SlowStartFloor: 0.3, SlowStartWindow: 10 * sec, OverloadMultiple: 2, OverloadWindow: 2 * sec, MaxRetryAfter: sec,
		ReportsMessageDelay: true, ReportsConnectionLoad: true,
	}
}

func readyBackends(n int) []Backend {
	list := make([]Backend, n)
	for i := range list {
		list[i] = Backend{ID: BackendID(i + 1), State: StateReady, Zone: i % 2, Cell: i / 2, Weight: 1}
	}
	return list
}

// newTestBalancer returns a Balancer with n ready backends.
func newTestBalancer(t *testing.T, s Settings, n int) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b := New(sec, 1, s, r)
	b.EndpointsUpdated(sec, UpdateCached, readyBackends(n))
	r.clear()
	return b, r
}

// mustSend has a request arrive and returns the backend it is sent to.
func mustSend(t *testing.T, b *Balancer, r *recorder, now time.Duration, q Request) BackendID {
	t.Helper()
	r.clear()
	if q.TimeLeft == 0 {
		q.TimeLeft = 2 * sec
	}
	b.RequestArrived(now, q)
	got := r.take(actionSend)
	if len(got) != 1 || got[0].id != q.ID {
		t.Fatalf("request %d: sends %v", q.ID, got)
	}
	return got[0].to
}

// openGroupConnections opens n connections of one group, with IDs from the given one on, and returns the
// backend of the last one.
func openGroupConnections(t *testing.T, b *Balancer, r *recorder, from, n uint64, group uint64) BackendID {
	t.Helper()
	var to BackendID
	for id := from; id < from+n; id++ {
		to = mustSend(t, b, r, sec, Request{ID: id, Key: id, Group: group})
		b.AttemptSucceeded(sec, AttemptResult{ID: id})
	}
	return to
}

// manyRelaySettings are the settings of one of many relays whose backends answer health checks.
func manyRelaySettings() Settings {
	s := defaultSettings()
	s.Groups, s.HealthChecks, s.ReportFields, s.RelayCount = true, true, []ReportField{FieldLoadShare}, 400
	return s
}

// newUncheckedBalancer returns one of many relays, with n backends it knows nothing of.
func newUncheckedBalancer(t *testing.T, n int) (*Balancer, *recorder) {
	t.Helper()
	return newTestBalancer(t, manyRelaySettings(), n)
}

// openConnections opens n connections with keys of their own and returns their number by backend.
func openConnections(t *testing.T, b *Balancer, r *recorder, n int) map[BackendID]int {
	t.Helper()
	at := map[BackendID]int{}
	for id := uint64(1); id <= uint64(n); id++ {
		to := mustSend(t, b, r, sec, Request{ID: id, Key: id})
		b.AttemptSucceeded(sec, AttemptResult{ID: id, Backend: to})
		at[to]++
	}
	return at
}

// settingsWithoutMessageDelay are the settings of a relay that knows loads by health checks and nothing of
// message delays.
func settingsWithoutMessageDelay() Settings {
	s := defaultSettings()
	s.ReportsMessageDelay, s.HealthChecks, s.ReportFields = false, true, []ReportField{FieldLoadShare}
	return s
}

// connectAfterReport opens n connections on the only backend after it has reported a load.
func connectAfterReport(b *Balancer, n int, load float32) {
	b.HealthCheckDone(sec, HealthCheckResult{Backend: 1, Load: []float32{load}})
	for id := uint64(1); id <= uint64(n); id++ {
		b.RequestArrived(sec, Request{ID: id, Key: id, TimeLeft: 2 * sec})
		b.AttemptSucceeded(sec, AttemptResult{ID: id, Backend: 1})
	}
}

// endAttempt ends the only attempt of a request.
func endAttempt(b *Balancer, now time.Duration, id uint64, at BackendID, st Status) {
	b.AttemptEnded(now, AttemptResult{ID: id, Backend: at, Status: st})
}

// newReportingBalancer returns one of 200 relays with n backends that report their load in health checks.
func newReportingBalancer(t *testing.T, n int, seed int, change func(*Settings)) (*Balancer, *recorder) {
	t.Helper()
	s := defaultSettings()
	s.RelayCount, s.HealthChecks, s.ReportFields = 200, true, []ReportField{FieldLoadShare}
	if change != nil {
		change(&s)
	}
	b, r := newTestBalancer(t, s, n)
	b.rng = rand.New(rand.NewPCG(uint64(seed), 1))
	for range minFleetReports { // how full the fleet is
		for id := BackendID(1); id <= BackendID(n); id++ {
			b.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.6}})
		}
	}
	return b, r
}

// sendAfterChecks has a request arrive, answers each health check with the true load and returns the backend
// it is sent to and the number of checks.
func sendAfterChecks(t *testing.T, b *Balancer, r *recorder, now time.Duration, q Request, load func(BackendID) float64) (BackendID, int) {
	t.Helper()
	r.clear()
	q.TimeLeft = 2 * sec
	b.RequestArrived(now, q)
	checks := 0
	for range 10 {
		if got := r.take(actionSend); len(got) > 0 {
			return got[0].to, checks
		}
		pending := r.take(actionCheckHealth)
		r.clear()
		for _, p := range pending {
			checks++
			b.HealthCheckDone(now+ms, HealthCheckResult{Backend: p.to, Latency: ms, Load: []float32{float32(load(p.to))}})
		}
	}
	t.Fatalf("request %d was not sent", q.ID)
	return 0, 0
}
