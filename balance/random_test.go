package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// ruleChecker implements Actions. It tracks every request by the actions and events, and checks the rules against
// its own records.
type ruleChecker struct {
	t             *testing.T
	settings      Settings
	now           time.Duration
	backends      map[BackendID]Backend
	requests      map[uint64]*trackedRequest
	timers        []scheduledTimer
	log           []string
	pendingChecks []BackendID
}

type trackedRequest struct {
	Request
	backend         BackendID
	pending         bool
	attempts        int
	answered        bool
	mayHaveExecuted bool
	executedAt      time.Duration
	executedBackend Backend
	established     bool
	sentAt          time.Duration
	deadline        time.Duration
}

type scheduledTimer struct {
	token uint64
	at    time.Duration
}

func (c *ruleChecker) logf(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%v ", c.now)+fmt.Sprintf(format, args...))
}

func (c *ruleChecker) Send(id uint64, to BackendID, timeout time.Duration) {
	c.logf("send %d %d %v", id, to, timeout)
	req, target := c.requests[id], c.backends[to]
	switch {
	case req.answered:
		c.t.Fatalf("request %d sent after its final answer", id)
	case req.pending:
		c.t.Fatalf("request %d has two pending attempts", id)
	case target.State != StateReady:
		c.t.Fatalf("request %d sent to backend %d in state %d", id, to, target.State)
	case req.attempts >= c.settings.MaxAttempts:
		c.t.Fatalf("request %d: attempt %d exceeds the maximum", id, req.attempts+1)
	case c.now+timeout > req.deadline:
		c.t.Fatalf("request %d: the timeout ends after the deadline", id)
	}
	c.checkRepeat(req, target)
	req.backend, req.pending, req.attempts, req.sentAt = to, true, req.attempts+1, c.now
}

// checkRepeat checks that an attempt cannot execute a request twice that must execute only once.
func (c *ruleChecker) checkRepeat(req *trackedRequest, target Backend) {
	class := c.settings.Classes[req.Class]
	if !req.mayHaveExecuted || class.Idempotency == Idempotent {
		return
	}
	inScope := class.DedupScope == ScopeAll || class.DedupScope == ScopeZone && target.Zone == req.executedBackend.Zone ||
		class.DedupScope == ScopeCell && target.Cell == req.executedBackend.Cell
	arrives := c.now + c.settings.DialTimeout // the request is sent once the connection is established
	if class.Idempotency == NonIdempotent || !inScope || arrives-req.executedAt > class.DedupWindow {
		c.t.Fatalf("request %d of class %d may execute twice", req.ID, req.Class)
	}
}

func (c *ruleChecker) recordAnswer(id uint64, rejected bool) {
	req := c.requests[id]
	class := c.settings.Classes[req.Class]
	if req.answered || req.established {
		c.t.Fatalf("request %d answered twice", id)
	}
	if c.now > req.deadline+c.settings.AnswerSlack {
		c.t.Fatalf("request %d answered %v late", id, c.now-req.deadline)
	}
	if rejected && req.mayHaveExecuted && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentWithKey && class.DedupScope != ScopeAll) {
		c.t.Fatalf("request %d of class %d rejected though it may have executed", id, req.Class)
	}
	req.answered = true
}

func (c *ruleChecker) Reject(id uint64, _ time.Duration) {
	c.logf("reject %d", id)
	c.recordAnswer(id, true)
}

func (c *ruleChecker) Fail(id uint64) {
	c.logf("fail %d", id)
	c.recordAnswer(id, false)
}

func (c *ruleChecker) Cancel(id uint64, attempt int) { c.logf("cancel %d %d", id, attempt) }

func (c *ruleChecker) CheckHealth(to BackendID) {
	c.logf("check health %d", to)
	c.pendingChecks = append(c.pendingChecks, to)
}

func (c *ruleChecker) ReleaseHealthCheck(BackendID) {}

func (c *ruleChecker) Migrate(id uint64) {
	c.logf("migrate %d", id)
	if !c.requests[id].established {
		c.t.Fatalf("request %d migrated before it was established", id)
	}
}

func (c *ruleChecker) SendGossip(int, []byte) {}

func (c *ruleChecker) SetTimer(token uint64, delay time.Duration) {
	c.timers = append(c.timers, scheduledTimer{token, c.now + delay})
}

func (c *ruleChecker) WatchEndpoints() { c.logf("watch endpoints") }

func (c *ruleChecker) FetchEndpoints() {}

func (c *ruleChecker) Log(string) {}

// randomLoads are valid and invalid loads.
var randomLoads = []float64{0, 1, 500, math.NaN(), math.Inf(1), -3}

// randomEvents feeds random events to a Balancer whose rules are checked.
type randomEvents struct {
	*ruleChecker
	balancer *Balancer
	rng      *rand.Rand
	ids      []uint64 // of the requests so far
}

// playRandomEvents feeds random events, valid and invalid, to a Balancer and returns its actions.
func playRandomEvents(t *testing.T, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := defaultSettings()
	settings.Groups, settings.PassThrough, settings.HealthChecks = rng.IntN(2) == 0, true, true
	settings.ReportFields = []ReportField{FieldLoadShare}
	settings.PollEndpoints = rng.IntN(2) == 0
	settings.Tenants = []Tenant{{ConnectionQuota: 10}, {ConnectionQuota: 10}}
	checker := &ruleChecker{t: t, settings: settings, now: sec, backends: map[BackendID]Backend{}, requests: map[uint64]*trackedRequest{}}
	e := &randomEvents{ruleChecker: checker, rng: rng, balancer: New(checker.now, seed, settings, checker)}
	e.updateEndpoints(UpdateCached, readyBackends(5))
	for range 4000 {
		e.now += time.Duration(rng.IntN(5)) * ms
		e.fireDueTimers()
		e.timeOutAttempts()
		e.playOne()
	}
	e.fireRemainingTimers()
	e.checkAllAnswered()
	e.checkLoads()
	return e.log
}

// playOne feeds one random event.
func (e *randomEvents) playOne() {
	balancer, rng := e.balancer, e.rng
	id := uint64(rng.IntN(len(e.ids)+5) + 1)
	req := e.requests[id]
	switch rng.IntN(12) {
	case 0, 1, 2, 3:
		e.arrive()
	case 4, 5, 6:
		if req != nil && req.pending && !req.established && !req.answered {
			req.established = true
			balancer.AttemptSucceeded(e.now, AttemptResult{ID: id, Attempt: req.attempts - 1, Backend: req.backend})
		}
	case 7:
		if req != nil && req.pending {
			e.endAttempt(id, Status(rng.IntN(int(StatusAbandoned)+1)))
		}
	case 8:
		e.updateRandomEndpoints()
	case 9:
		balancer.LoadReported(e.now, id, LoadSignal(rng.IntN(4)), e.randomLoad())
	case 10:
		if req != nil && !req.answered && !req.established {
			req.answered = true
			balancer.ClientClosed(e.now, id)
		}
	case 11:
		if len(e.pendingChecks) > 0 {
			balancer.HealthCheckDone(e.now, HealthCheckResult{Backend: e.pendingChecks[0], Load: []float32{float32(e.randomLoad())}})
			e.pendingChecks = e.pendingChecks[1:]
		}
		balancer.AttemptEnded(e.now, AttemptResult{ID: uint64(rng.IntN(9)) << 40, Status: StatusError}) // of an unknown request
	}
}

func (e *randomEvents) randomLoad() float64 { return randomLoads[e.rng.IntN(len(randomLoads))] }

// arrive passes a new request to the Balancer.
func (e *randomEvents) arrive() {
	id := uint64(len(e.ids) + 1)
	e.ids = append(e.ids, id)
	req := Request{ID: id, Class: e.rng.IntN(len(e.settings.Classes)), Key: uint64(e.rng.IntN(6)), Group: uint64(e.rng.IntN(4)),
		Tenant: e.rng.IntN(4), TimeLeft: time.Duration(e.rng.IntN(2000)) * ms, ExpectedLoad: e.randomLoad(),
		MidStream: e.rng.IntN(5) == 0}
	e.requests[id] = &trackedRequest{Request: req, deadline: e.now + req.TimeLeft}
	e.balancer.RequestArrived(e.now, req)
}

// endAttempt ends the pending attempt or the open connection of a request.
func (e *randomEvents) endAttempt(id uint64, status Status) {
	req := e.requests[id]
	attempt := req.attempts - 1
	if status.MayHaveExecuted() && !req.mayHaveExecuted {
		req.mayHaveExecuted, req.executedAt = true, req.sentAt
		req.executedBackend = Backend{Zone: int(req.backend-1) % 2, Cell: int(req.backend-1) / 2}
	}
	req.pending = false
	closed := req.answered || req.established || status == StatusOK
	req.answered = closed
	e.balancer.AttemptEnded(e.now, AttemptResult{ID: id, Attempt: attempt, Backend: req.backend, Status: status, Closed: closed})
}

// timeOutAttempts ends the attempts past their deadline.
func (e *randomEvents) timeOutAttempts() {
	for _, id := range e.ids {
		if req := e.requests[id]; req.pending && !req.established && e.now >= req.deadline {
			e.endAttempt(id, StatusTimeout)
		}
	}
}

func (e *randomEvents) updateEndpoints(kind EndpointUpdateKind, entries []Backend) {
	if kind == UpdateFull || kind == UpdateCached {
		clear(e.backends)
	}
	for _, entry := range entries {
		e.backends[entry.ID] = entry
	}
	e.balancer.EndpointsUpdated(e.now, kind, entries)
}

// updateRandomEndpoints updates the endpoint list by up to five random entries.
func (e *randomEvents) updateRandomEndpoints() {
	kind := EndpointUpdateKind(e.rng.IntN(4))
	var entries []Backend
	listed := map[BackendID]bool{}
	for range e.rng.IntN(6) {
		if entry := e.randomEntry(); !listed[entry.ID] {
			listed[entry.ID] = true
			entries = append(entries, entry)
		}
	}
	if kind == UpdateFailed {
		e.balancer.EndpointsUpdated(e.now, kind, nil)
	} else {
		e.updateEndpoints(kind, entries)
	}
}

func (e *randomEvents) randomEntry() Backend {
	id := e.rng.IntN(8) + 1
	entry := Backend{ID: BackendID(id), State: BackendState(e.rng.IntN(3)), Zone: (id - 1) % 2, Cell: (id - 1) / 2,
		Weight: float64(e.rng.IntN(4))}
	if e.rng.IntN(3) == 0 {
		entry.ReadyAt = e.now
	}
	return entry
}

// fireDueTimers fires the timers whose time has come.
func (e *randomEvents) fireDueTimers() {
	for i := 0; i < len(e.timers); {
		if timer := e.timers[i]; timer.at <= e.now {
			e.timers = append(e.timers[:i], e.timers[i+1:]...)
			e.balancer.TimerFired(e.now, timer.token)
		} else {
			i++
		}
	}
}

// fireRemainingTimers fires the timers of the requests still held, in the order of their times.
func (e *randomEvents) fireRemainingTimers() {
	slices.SortStableFunc(e.timers, func(x, y scheduledTimer) int { return cmp.Compare(x.at, y.at) })
	for _, remaining := range e.timers[:len(e.timers):len(e.timers)] {
		if remaining.token != maintenanceTimer {
			e.now = max(e.now, remaining.at)
			e.balancer.TimerFired(e.now, remaining.token)
		}
	}
}

func (e *randomEvents) checkAllAnswered() {
	for _, id := range e.ids {
		if req := e.requests[id]; !req.answered && !req.established && !req.pending {
			e.t.Fatalf("request %d never got a final answer", id)
		}
	}
}

// checkLoads checks that the tracked loads are valid and the lists of open requests complete.
func (e *randomEvents) checkLoads() {
	balancer := e.balancer
	placed := map[*backend]int{}
	for _, req := range balancer.requests {
		placed[req.backend]++
	}
	for _, target := range balancer.endpoints.byID {
		if load := balancer.loads.trackedLoad(&target.loadSums); math.IsNaN(load) || load < 0 || len(target.openRequests) != placed[target] {
			e.t.Fatalf("backend %d: T %v, list of %d connections where %d are placed", target.ID, load, len(target.openRequests), placed[target])
		}
	}
}

// The rules hold under random events, valid and invalid.
func TestBalancer_RulesHoldUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomEvents(t, seed) })
	}
}

// The same events and seed give the same actions.
func TestBalancer_IsDeterministic(t *testing.T) {
	if first, second := playRandomEvents(t, 5), playRandomEvents(t, 5); !reflect.DeepEqual(first, second) {
		t.Error("the same events and seed gave different actions")
	}
}
