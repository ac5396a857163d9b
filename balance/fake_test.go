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
	id      uint64 // of the request, or token of the timer
	to      BackendID
	delay   time.Duration // timeout, retry-after time or delay of the timer
	attempt int           // index of the attempt, or the peer that a message goes to
}

// recorder implements Actions by recording every call.
type recorder struct{ actions []action }

func (rec *recorder) Send(id uint64, to BackendID, timeout time.Duration) {
	rec.actions = append(rec.actions, action{kind: actionSend, id: id, to: to, delay: timeout})
}

func (rec *recorder) Reject(id uint64, retryAfter time.Duration) {
	rec.actions = append(rec.actions, action{kind: actionReject, id: id, delay: retryAfter})
}

func (rec *recorder) Fail(id uint64) {
	rec.actions = append(rec.actions, action{kind: actionFail, id: id})
}

func (rec *recorder) Cancel(id uint64, attempt int) {
	rec.actions = append(rec.actions, action{kind: actionCancel, id: id, attempt: attempt})
}

func (rec *recorder) CheckHealth(to BackendID) {
	rec.actions = append(rec.actions, action{kind: actionCheckHealth, to: to})
}

func (rec *recorder) ReleaseHealthCheck(to BackendID) {
	rec.actions = append(rec.actions, action{kind: actionReleaseHealthCheck, to: to})
}

func (rec *recorder) Migrate(id uint64) {
	rec.actions = append(rec.actions, action{kind: actionMigrate, id: id})
}

func (rec *recorder) SendGossip(peer int, data []byte) {
	rec.actions = append(rec.actions, action{kind: actionGossip, attempt: peer})
}

func (rec *recorder) SetTimer(token uint64, delay time.Duration) {
	rec.actions = append(rec.actions, action{kind: actionTimer, id: token, delay: delay})
}

func (rec *recorder) WatchEndpoints() {
	rec.actions = append(rec.actions, action{kind: actionWatch})
}

func (rec *recorder) FetchEndpoints() { rec.actions = append(rec.actions, action{kind: actionFetch}) }

func (rec *recorder) Log(string) {}

// take returns the recorded actions of one kind.
func (rec *recorder) take(kind actionKind) []action {
	var got []action
	for _, a := range rec.actions {
		if a.kind == kind {
			got = append(got, a)
		}
	}
	return got
}

func (rec *recorder) clear() { rec.actions = nil }

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
func newTestBalancer(t *testing.T, settings Settings, n int) (*Balancer, *recorder) {
	t.Helper()
	rec := &recorder{}
	balancer := New(sec, 1, settings, rec)
	balancer.EndpointsUpdated(sec, UpdateCached, readyBackends(n))
	rec.clear()
	return balancer, rec
}

// mustSend passes a new request to the Balancer and returns the backend that it is sent to.
func mustSend(t *testing.T, balancer *Balancer, rec *recorder, now time.Duration, req Request) BackendID {
	t.Helper()
	rec.clear()
	if req.TimeLeft == 0 {
		req.TimeLeft = 2 * sec
	}
	balancer.RequestArrived(now, req)
	got := rec.take(actionSend)
	if len(got) != 1 || got[0].id != req.ID {
		t.Fatalf("request %d: attempts %v, want exactly one, of this request", req.ID, got)
	}
	return got[0].to
}

// openGroupConnections opens n connections of one group, with consecutive IDs from firstID on, and returns
// the backend of the last one.
func openGroupConnections(t *testing.T, balancer *Balancer, rec *recorder, firstID, n uint64, group uint64) BackendID {
	t.Helper()
	var to BackendID
	for id := firstID; id < firstID+n; id++ {
		to = mustSend(t, balancer, rec, sec, Request{ID: id, Key: id, Group: group})
		balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
	}
	return to
}

// manyRelaySettings returns the settings of one of many relays whose backends answer health checks.
func manyRelaySettings() Settings {
	settings := defaultSettings()
	settings.Groups, settings.HealthChecks, settings.ReportFields, settings.RelayCount = true, true, []ReportField{FieldLoadShare}, 400
	return settings
}

// newUncheckedBalancer returns the Balancer of one of many relays, with n backends that it has not checked yet.
func newUncheckedBalancer(t *testing.T, n int) (*Balancer, *recorder) {
	t.Helper()
	return newTestBalancer(t, manyRelaySettings(), n)
}

// openConnections opens n connections with different keys and returns the number of connections by backend.
func openConnections(t *testing.T, balancer *Balancer, rec *recorder, n int) map[BackendID]int {
	t.Helper()
	counts := map[BackendID]int{}
	for id := uint64(1); id <= uint64(n); id++ {
		to := mustSend(t, balancer, rec, sec, Request{ID: id, Key: id})
		balancer.AttemptSucceeded(sec, AttemptResult{ID: id, Backend: to})
		counts[to]++
	}
	return counts
}

// settingsWithoutMessageDelay returns the settings of a relay that gets load reports by health checks and no
// reports of message delay.
func settingsWithoutMessageDelay() Settings {
	settings := defaultSettings()
	settings.ReportsMessageDelay, settings.HealthChecks, settings.ReportFields = false, true, []ReportField{FieldLoadShare}
	return settings
}

// connectAfterReport opens n connections on the only backend after it has reported a load.
func connectAfterReport(balancer *Balancer, n int, load float32) {
	balancer.HealthCheckDone(sec, HealthCheckResult{Backend: 1, Load: []float32{load}})
	for id := uint64(1); id <= uint64(n); id++ {
		balancer.RequestArrived(sec, Request{ID: id, Key: id, TimeLeft: 2 * sec})
		balancer.AttemptSucceeded(sec, AttemptResult{ID: id, Backend: 1})
	}
}

// endAttempt ends the only attempt of a request.
func endAttempt(balancer *Balancer, now time.Duration, id uint64, to BackendID, status Status) {
	balancer.AttemptEnded(now, AttemptResult{ID: id, Backend: to, Status: status})
}

// newReportingBalancer returns the Balancer of one of 200 relays, with n backends that report their load in
// health checks.
func newReportingBalancer(t *testing.T, n int, seed int, change func(*Settings)) (*Balancer, *recorder) {
	t.Helper()
	settings := defaultSettings()
	settings.RelayCount, settings.HealthChecks, settings.ReportFields = 200, true, []ReportField{FieldLoadShare}
	if change != nil {
		change(&settings)
	}
	balancer, rec := newTestBalancer(t, settings, n)
	balancer.rng = rand.New(rand.NewPCG(uint64(seed), 1))
	for range minFleetReports { // enough for the mean utilization of the fleet
		for id := BackendID(1); id <= BackendID(n); id++ {
			balancer.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.6}})
		}
	}
	return balancer, rec
}

// sendAfterChecks passes a new request to the Balancer and answers each health check with the backend's true
// load. It returns the backend that the request is sent to and the number of checks.
func sendAfterChecks(t *testing.T, balancer *Balancer, rec *recorder, now time.Duration, req Request, trueLoad func(BackendID) float64) (BackendID, int) {
	t.Helper()
	rec.clear()
	req.TimeLeft = 2 * sec
	balancer.RequestArrived(now, req)
	checks := 0
	for range 10 {
		if got := rec.take(actionSend); len(got) > 0 {
			return got[0].to, checks
		}
		pending := rec.take(actionCheckHealth)
		rec.clear()
		for _, p := range pending {
			checks++
			balancer.HealthCheckDone(now+ms, HealthCheckResult{Backend: p.to, Latency: ms, Load: []float32{float32(trueLoad(p.to))}})
		}
	}
	t.Fatalf("request %d was not sent", req.ID)
	return 0, 0
}
