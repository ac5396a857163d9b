// This file owns how one relay's decisions begin, take other settings over, and go on when a request
// ends, a beat is over or what was waited for has come. It must never choose a server, weigh one, or
// say whether a request is tried or turned away: that is balance.go.

package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// New starts a relay's decisions.
func New(now time.Duration, seed uint64, s Settings, do Actions) *Balancer {
	b := &Balancer{do: do, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		servers: map[BackendID]*server{}, calls: map[uint64]*call{}, divert: map[uint64]diversion{}, demand: map[uint64]float64{},
		kinds: map[int]*kind{}, ways: map[int]time.Duration{},
		usual: []float64{1}, seen: []float64{0}, taken: make([]int, max(1, len(s.Tenants))),
		cleared: now, budget: 1, crowd: 1, share: slices.Index(s.ReportFields, FieldLoadShare),
		errs: slices.Index(s.ReportFields, FieldErrors)}
	b.UpdateSettings(s)
	if s.PollEndpoints {
		b.askList(now)
	}
	do.SetTimer(tickToken, beat)
	return b
}

// UpdateSettings takes other settings over. Requests and connections keep the class and the number of attempts that
// they were taken under; loads and placements stay.
func (b *Balancer) UpdateSettings(s Settings) {
	if !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	if b.here > 0 {
		s.RelayCount = b.here
	}
	b.set, b.quickest = s, math.Inf(1)
	for _, class := range s.Classes {
		aim := class.MessageLatencyObjective
		if aim <= 0 { // nobody says; taken as it stands, every answer to a probe would be late and every server full
			aim = class.LatencyObjective
		}
		if !class.Retired && aim > 0 {
			b.quickest = min(b.quickest, float64(aim)/float64(3*time.Millisecond))
		}
	}
	b.grow(len(s.Classes))
}

// SetActiveRelays hears how many relays there are at present, this one included, in place of the number in the settings; 0:
// nobody knows any more, and from the next Retune on that number counts again.
func (b *Balancer) SetActiveRelays(relays int) {
	if b.here = max(0, relays); b.here > 0 {
		b.set.RelayCount = b.here
	}
}

// SessionAdopted takes over a connection that flows through this relay already.
func (b *Balancer) SessionAdopted(now time.Duration, r Request, id BackendID) {
	if b.calls[r.ID] != nil {
		return
	}
	s := b.servers[id]
	if s == nil {
		s = b.learn(now, Backend{ID: id, State: StateRemoved, Weight: 1})
	}
	c := b.newCall(now, r)
	c.began, c.tries = true, 1
	b.attach(c, s)
}

// ClientClosed hears that the client left.
func (b *Balancer) ClientClosed(now time.Duration, id uint64) {
	if c := b.calls[id]; c != nil && !c.done {
		b.finish(c)
	}
}

// DeadlineExceeded hears that a request has no time left, whatever it had when it came: this relay's own end is near. What is
// out is given up, and its end brings the answer.
func (b *Balancer) DeadlineExceeded(now time.Duration, id uint64) {
	c := b.calls[id]
	if c == nil || c.done || c.began {
		return
	}
	if c.deadline = min(c.deadline, now); c.at != nil {
		b.do.Cancel(id, c.tries-1)
		return
	}
	b.TimerFired(now, id)
}

func (b *Balancer) upkeep(now time.Duration) {
	if now-b.cleared >= clearEvery {
		b.clear(now)
	}
	b.age(now)
	b.recover(now)
	if b.list.again > 0 && now >= b.list.again {
		b.askList(now)
	}
}

// resume places what waited for the server's answer or, with none, for a list.
func (b *Balancer) resume(now time.Duration, asked *server) {
	held := b.held
	b.held = nil
	for _, c := range held {
		switch {
		case c.done:
		case c.asked != asked:
			b.held = append(b.held, c)
		default:
			c.asked = nil
			b.try(now, c)
		}
	}
}
