// Package baseline provides simple policies that experiments compare package balance with: random choice,
// hashing alone, least connections, and an oracle that is given the true load of every backend and so marks an
// upper bound.
//
// The policies limit attempts, repeat no request that may have executed unless it is idempotent, and avoid
// draining backends. They have no admission control, health checks or slow start and are for the test systems only.
package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
)

// The policies' names.
const (
	random           = "random"
	hash             = "hash"
	leastConnections = "least"
	oracle           = "oracle"
)

// randomStream keeps the policies' random numbers apart from those that package balance draws from the same seed.
const randomStream = 0xba5e

// maxRetryAfter is the upper bound of the retry-after time of a rejection.
const maxRetryAfter = time.Second

// Names returns the names that Lookup accepts.
func Names() []string { return []string{random, hash, leastConnections, oracle} }

// NewFunc creates a policy for one relay.
type NewFunc func(now time.Duration, seed uint64, settings balance.Settings, actions balance.Actions) decision.Decider

// Lookup returns the constructor of the policy with a name of Names, or nil for the empty name. loadOf returns
// the true load of a backend as a share of its capacity; only the oracle calls it. The constructor panics if
// the name is unknown.
func Lookup(name string, loadOf func(balance.BackendID) float64) NewFunc {
	if name == "" {
		return nil
	}
	return func(_ time.Duration, seed uint64, settings balance.Settings, actions balance.Actions) decision.Decider {
		p := &policy{
			settings:    settings,
			actions:     actions,
			rng:         rand.New(rand.NewPCG(seed, randomStream)),
			requests:    map[uint64]*request{},
			connections: map[balance.BackendID]int{},
			states:      map[balance.BackendID]balance.BackendState{},
		}
		p.rank = p.ranking(name, loadOf)
		if settings.PollEndpoints {
			actions.WatchEndpoints()
		}
		return p
	}
}

// rankFunc returns the rank of a backend for a request. The policy sends the request to the lowest-ranked backend.
type rankFunc func(r *request, id balance.BackendID) float64

func (p *policy) ranking(name string, loadOf func(balance.BackendID) float64) rankFunc {
	switch name {
	case random:
		return func(*request, balance.BackendID) float64 { return p.rng.Float64() }
	case hash:
		return func(r *request, id balance.BackendID) float64 { return float64(mix(r.Key^uint64(id)) >> 11) } // the 53 bits that a float64 holds
	case leastConnections:
		return func(_ *request, id balance.BackendID) float64 {
			return float64(p.connections[id]) + p.rng.Float64()/2 // less than one connection, so that only ties are broken at random
		}
	case oracle:
		return func(_ *request, id balance.BackendID) float64 { return loadOf(id) }
	}
	panic("unknown policy " + name)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// request is a request without a final answer, or one whose session is established.
type request struct {
	balance.Request
	deadline        time.Duration
	tried           []balance.BackendID
	backend         balance.BackendID // of the pending attempt or the session
	pending         bool              // an attempt is pending or the session is established
	established     bool
	answered        bool
	mayHaveExecuted bool
}

// policy is a decision.Decider that sends each request to the ready backend of lowest rank.
type policy struct {
	settings    balance.Settings
	actions     balance.Actions
	rng         *rand.Rand
	rank        rankFunc
	requests    map[uint64]*request
	order       []uint64            // IDs of requests, in order of arrival
	ready       []balance.BackendID // sorted
	states      map[balance.BackendID]balance.BackendState
	connections map[balance.BackendID]int
}

var _ decision.Decider = (*policy)(nil)

// RequestArrived implements decision.Decider.
func (p *policy) RequestArrived(now time.Duration, r balance.Request) {
	added := &request{Request: r, deadline: now + r.TimeLeft}
	p.requests[r.ID] = added
	p.order = append(p.order, r.ID)
	p.attempt(now, added)
}

// SessionAdopted implements decision.Decider.
func (p *policy) SessionAdopted(_ time.Duration, r balance.Request, id balance.BackendID) {
	p.requests[r.ID] = &request{Request: r, backend: id, pending: true, established: true, tried: []balance.BackendID{id}}
	p.order = append(p.order, r.ID)
	p.connections[id]++
}

// attempt sends the request to the best backend that it has not tried, or answers it if it may not be sent again.
func (p *policy) attempt(now time.Duration, r *request) {
	best, ok := p.best(r) // before the checks, since ranking draws random numbers
	if !ok || len(r.tried) >= p.settings.MaxAttempts || r.deadline-now <= 2*p.settings.Tick {
		p.answer(r)
		return
	}
	r.tried = append(r.tried, best)
	r.backend, r.pending = best, true
	p.connections[best]++
	p.actions.Send(r.ID, best, r.deadline-now)
}

// best returns the ready backend of lowest rank among those that the request has not tried.
func (p *policy) best(r *request) (best balance.BackendID, ok bool) {
	lowest := 0.0
	for _, id := range p.ready {
		if slices.Contains(r.tried, id) {
			continue
		}
		if rank := p.rank(r, id); !ok || rank < lowest {
			best, lowest, ok = id, rank, true
		}
	}
	return best, ok
}

// answer gives the final answer: a failure if the request may have executed and must not be repeated, else a
// rejection.
func (p *policy) answer(r *request) {
	if p.mustNotRepeat(r) {
		p.actions.Fail(r.ID)
	} else {
		retryAfter := time.Duration(0)
		if p.settings.RetryAfter {
			retryAfter = min(p.settings.MaxRetryAfter, maxRetryAfter)
		}
		p.actions.Reject(r.ID, retryAfter)
	}
	p.end(r)
}

func (p *policy) mustNotRepeat(r *request) bool {
	return r.mayHaveExecuted && p.settings.Classes[r.Class].Idempotency != balance.Idempotent
}

// end forgets a request, unless an attempt is still pending.
func (p *policy) end(r *request) {
	r.answered = true
	if !r.pending {
		delete(p.requests, r.ID)
	}
}

// AttemptSucceeded implements decision.Decider.
func (p *policy) AttemptSucceeded(_ time.Duration, result balance.AttemptResult) {
	if r := p.requests[result.ID]; r != nil && r.pending {
		r.established = true
	}
}

// AttemptEnded implements decision.Decider.
func (p *policy) AttemptEnded(now time.Duration, result balance.AttemptResult) {
	r := p.requests[result.ID]
	if r == nil || !r.pending || result.Attempt != len(r.tried)-1 {
		return
	}
	r.pending = false
	p.connections[r.backend]--
	r.mayHaveExecuted = r.mayHaveExecuted || result.Status.MayHaveExecuted()
	switch {
	case r.answered || r.established || result.Closed:
		p.end(r)
	case p.mustNotRepeat(r):
		p.answer(r)
	default:
		p.attempt(now, r)
	}
}

// ClientClosed implements decision.Decider.
func (p *policy) ClientClosed(_ time.Duration, id uint64) {
	if r := p.requests[id]; r != nil && !r.answered {
		p.end(r)
	}
}

// EndpointsUpdated implements decision.Decider. It migrates the sessions on backends that are no longer ready.
func (p *policy) EndpointsUpdated(_ time.Duration, kind balance.EndpointUpdateKind, backends []balance.Backend) {
	if kind == balance.UpdateFailed {
		p.actions.WatchEndpoints()
		return
	}
	if kind != balance.UpdateDelta {
		clear(p.states)
	}
	for i := range backends {
		p.states[backends[i].ID] = backends[i].State
	}
	p.ready = p.ready[:0]
	for id, state := range p.states {
		if state == balance.StateReady {
			p.ready = append(p.ready, id)
		}
	}
	slices.SortFunc(p.ready, cmp.Compare[balance.BackendID]) // map iteration order must not affect the decisions
	p.migrate(func(r *request) bool { return p.states[r.backend] != balance.StateReady })
}

// migrate asks the clients of some sessions to reconnect, in order of arrival.
func (p *policy) migrate(selected func(r *request) bool) {
	p.order = slices.DeleteFunc(p.order, func(id uint64) bool { return p.requests[id] == nil })
	for _, id := range p.order {
		if r := p.requests[id]; r.established && selected(r) {
			p.actions.Migrate(id)
		}
	}
}

// DeadlineExceeded implements decision.Decider.
func (p *policy) DeadlineExceeded(now time.Duration, id uint64) {
	switch r := p.requests[id]; {
	case r == nil || r.answered || r.established:
	case r.pending:
		r.deadline = now
		p.actions.Cancel(id, len(r.tried)-1)
	default:
		p.answer(r)
	}
}

// DrainBy implements decision.Decider.
func (p *policy) DrainBy(_, at time.Duration) {
	if at > 0 {
		p.migrate(func(*request) bool { return true })
	}
}

// Connections implements decision.Decider.
func (p *policy) Connections() (byRequest, byBackend int) {
	for _, r := range p.requests {
		if r.pending {
			byRequest++
		}
	}
	for _, n := range p.connections {
		byBackend += n
	}
	return byRequest, byBackend
}

// LoadReported implements decision.Decider; the policies use no load reports.
func (p *policy) LoadReported(time.Duration, uint64, balance.LoadSignal, float64) {}

// TimerFired implements decision.Decider; the policies set no timers.
func (p *policy) TimerFired(time.Duration, uint64) {}

// HealthCheckDone implements decision.Decider; the policies start no health checks.
func (p *policy) HealthCheckDone(time.Duration, balance.HealthCheckResult) {}

// GossipReceived implements decision.Decider; the policies send none.
func (p *policy) GossipReceived(time.Duration, int, []byte) {}

// UpdateSettings implements decision.Decider.
func (p *policy) UpdateSettings(settings balance.Settings) { p.settings = settings }

// SetActiveRelays implements decision.Decider; the policies do not use the number of relays.
func (p *policy) SetActiveRelays(int) {}

// CountUnavailable implements decision.Decider.
func (p *policy) CountUnavailable(time.Duration) (listed, unavailable int) {
	return len(p.states), len(p.states) - len(p.ready)
}
