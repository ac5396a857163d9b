// Package baseline holds simple policies that experiments compare package balance
// with: random choice, hashing alone, least connections, and an oracle that sees the
// true load of every backend and so gives an upper bound.
//
// The policies limit attempts, do not repeat a request that may have had an effect,
// and keep away from draining backends. They have no flow control, probing or
// warm-up handling and are meant for the test systems only.
package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
)

// Names returns the names that Named takes.
func Names() []string { return []string{"random", "hash", "least", "oracle"} }

// Named returns a constructor of the policy with a name of Names, or nil for the
// empty name. load returns the true load of a backend as a share of its capacity;
// only the oracle calls it. The constructor panics if the name is unknown.
func Named(name string, load func(balance.BackendID) float64) func(time.Duration, uint64, balance.Settings, balance.Actions) decision.Decider {
	if name == "" {
		return nil
	}
	return func(_ time.Duration, seed uint64, s balance.Settings, do balance.Actions) decision.Decider {
		p := &policy{set: s, do: do, rng: rand.New(rand.NewPCG(seed, 0xba5e)), calls: map[uint64]*call{},
			held: map[balance.BackendID]int{}, state: map[balance.BackendID]balance.BackendState{}}
		switch name {
		case "random":
			p.rank = func(*call, balance.BackendID) float64 { return p.rng.Float64() }
		case "hash":
			p.rank = func(c *call, id balance.BackendID) float64 { return float64(mix(c.Key^uint64(id)) >> 11) }
		case "least":
			p.rank = func(_ *call, id balance.BackendID) float64 { return float64(p.held[id]) + p.rng.Float64()/2 }
		case "oracle":
			p.rank = func(_ *call, id balance.BackendID) float64 { return load(id) }
		default:
			panic("there is no policy " + name)
		}
		if s.PollEndpoints {
			do.WatchEndpoints(true)
		}
		return p
	}
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// call is a request that has no final answer yet, or whose connection stands.
type call struct {
	balance.Request
	until time.Duration
	tried []balance.BackendID
	at    balance.BackendID // of the attempt that is out, or of what stands
	out   bool
	began bool
	done  bool
	ran   bool
}

// policy is a machine.Decider that sends each request to the ready backend of least rank.
type policy struct {
	set   balance.Settings
	do    balance.Actions
	rng   *rand.Rand
	rank  func(c *call, id balance.BackendID) float64 // the least is taken
	calls map[uint64]*call
	order []uint64 // of calls, as they came
	ready []balance.BackendID
	state map[balance.BackendID]balance.BackendState
	held  map[balance.BackendID]int
}

var _ decision.Decider = (*policy)(nil)

func (p *policy) RequestArrived(now time.Duration, r balance.Request) {
	c := &call{Request: r, until: now + r.TimeLeft}
	p.calls[r.ID] = c
	p.order = append(p.order, r.ID)
	p.try(now, c)
}

func (p *policy) SessionAdopted(_ time.Duration, r balance.Request, id balance.BackendID) {
	p.calls[r.ID] = &call{Request: r, at: id, out: true, began: true, tried: []balance.BackendID{id}}
	p.order = append(p.order, r.ID)
	p.held[id]++
}

// try sends to the best that has not been tried.
func (p *policy) try(now time.Duration, c *call) {
	best, least := balance.BackendID(0), 0.0
	found := false
	for _, id := range p.ready {
		if slices.Contains(c.tried, id) {
			continue
		}
		if v := p.rank(c, id); !found || v < least {
			best, least, found = id, v, true
		}
	}
	if !found || len(c.tried) >= p.set.MaxAttempts || c.until-now <= 2*p.set.Tick {
		p.answer(c)
		return
	}
	c.tried = append(c.tried, best)
	c.at, c.out = best, true
	p.held[best]++
	p.do.Send(c.ID, best, c.until-now)
}

// answer gives the final answer.
func (p *policy) answer(c *call) {
	if c.ran && p.set.Classes[c.Class].Idempotency != balance.Idempotent {
		p.do.Fail(c.ID)
	} else {
		after := time.Duration(0)
		if p.set.RetryAfter {
			after = min(p.set.MaxRetryAfter, time.Second)
		}
		p.do.Reject(c.ID, after)
	}
	p.end(c)
}

func (p *policy) end(c *call) {
	c.done = true
	if !c.out {
		delete(p.calls, c.ID)
	}
}

func (p *policy) AttemptSucceeded(_ time.Duration, o balance.AttemptResult) {
	if c := p.calls[o.ID]; c != nil && c.out {
		c.began = true
	}
}

func (p *policy) AttemptEnded(now time.Duration, o balance.AttemptResult) {
	c := p.calls[o.ID]
	if c == nil || !c.out || o.Attempt != len(c.tried)-1 {
		return
	}
	c.out = false
	p.held[c.at]--
	c.ran = c.ran || o.Status.MayHaveExecuted()
	switch {
	case c.done || c.began || o.Closed:
		p.end(c)
	case c.ran && p.set.Classes[c.Class].Idempotency != balance.Idempotent:
		p.answer(c)
	default:
		p.try(now, c)
	}
}

func (p *policy) ClientClosed(_ time.Duration, id uint64) {
	if c := p.calls[id]; c != nil && !c.done {
		p.end(c)
	}
}

func (p *policy) EndpointsUpdated(_ time.Duration, kind balance.EndpointUpdateKind, lines []balance.Backend) {
	if kind == balance.UpdateFailed {
		p.do.WatchEndpoints(true)
		return
	}
	if kind != balance.UpdateDelta {
		clear(p.state)
	}
	for _, l := range lines {
		p.state[l.ID] = l.State
	}
	p.ready = p.ready[:0]
	for id, s := range p.state {
		if s == balance.StateReady {
			p.ready = append(p.ready, id)
		}
	}
	slices.SortFunc(p.ready, func(a, b balance.BackendID) int { return cmp.Compare(a, b) })
	p.move(func(c *call) bool { return p.state[c.at] != balance.StateReady })
}

// move asks clients to leave.
func (p *policy) move(which func(c *call) bool) {
	p.order = slices.DeleteFunc(p.order, func(id uint64) bool { return p.calls[id] == nil })
	for _, id := range p.order {
		if c := p.calls[id]; c.began && which(c) {
			p.do.Migrate(id)
		}
	}
}

func (p *policy) DeadlineExceeded(now time.Duration, id uint64) {
	switch c := p.calls[id]; {
	case c == nil || c.done || c.began:
	case c.out:
		c.until = now
		p.do.Cancel(id, len(c.tried)-1)
	default:
		p.answer(c)
	}
}

func (p *policy) DrainBy(_, at time.Duration) {
	if at > 0 {
		p.move(func(*call) bool { return true })
	}
}

func (p *policy) Connections() (all, byServer int) {
	for _, c := range p.calls {
		if c.out {
			all++
		}
	}
	for _, n := range p.held {
		byServer += n
	}
	return all, byServer
}

func (p *policy) LoadReported(time.Duration, uint64, balance.LoadSignal, float64) {}
func (p *policy) TimerFired(time.Duration, uint64)                                {}
func (p *policy) HealthCheckDone(time.Duration, balance.HealthCheckResult)        {}
func (p *policy) GossipReceived(time.Duration, int, []byte)                       {}

func (p *policy) UpdateSettings(s balance.Settings) { p.set = s }

func (p *policy) SetActiveRelays(int) {}

func (p *policy) CountUnavailable(time.Duration) (listed, avoided int) {
	return len(p.state), len(p.state) - len(p.ready)
}
