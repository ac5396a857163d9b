// What one relay process hands to the next under its name, so that a new version does not send to servers
// that the old one left out, fill cold ones a second time or scatter flows that it had placed. It decides
// nothing, and holds nothing that the next could not do without.

package balance

import (
	"math"
	"time"
)

// Memory is what outlives a relay's process when another takes its place. Times are on the module's clock.
type Memory struct {
	Servers  []ServerMemory
	Diverted []Diverted
	Usual    []float64 // by class what a connection loads; last: by all classes
	Seen     []float64
	Kinds    map[int][2]float64 // seconds with late messages, of how many
	Crowd    float64
	Tells    int
	Lost     time.Duration
}

// ServerMemory is what is remembered of one server.
type ServerMemory struct {
	ID                               BackendID
	Until, Bench, Hot, Heard, Filled time.Duration
	Limit, Budget, Full              float64
	Held                             float64 // T there, in the process that tells this
	Pace                             time.Duration
	Paces                            int
}

// Diverted is where a flow was sent that did not go home.
type Diverted struct {
	Flow uint64
	To   BackendID
	At   time.Duration
}

// mostHanded bounds how many diversions are handed over; the newest go.
const mostHanded = 1 << 12

// Memory is what this relay hands over.
func (b *Balancer) Memory() Memory {
	m := Memory{Usual: b.usual, Seen: b.seen, Kinds: map[int][2]float64{}, Crowd: b.crowd, Tells: b.tells, Lost: b.lost}
	for _, s := range b.ready {
		m.Servers = append(m.Servers, ServerMemory{ID: s.ID, Until: s.until, Bench: s.bench, Hot: s.hot, Heard: s.heard,
			Filled: s.filled, Limit: s.limit, Budget: s.budget, Full: s.full, Pace: s.pace, Paces: s.paces, Held: b.own(&s.sums)})
	}
	for _, flow := range b.order[max(0, len(b.order)-mostHanded):] {
		d := b.divert[flow]
		m.Diverted = append(m.Diverted, Diverted{flow, d.to.ID, d.at})
	}
	for kind, k := range b.kinds {
		m.Kinds[kind] = [2]float64{k.late, k.seconds}
	}
	return m
}

// Beside hears what the relay's former process goes on seeing while both run: T there counts as this relay's
// own, and trouble that it has seen since is trouble here. Without it the clients that the one moves off a server
// would come by the other and be sent right back. An empty Memory ends it.
func (b *Balancer) Beside(now time.Duration, m Memory) {
	for _, s := range b.servers {
		s.also = 0
	}
	for _, h := range m.Servers {
		s := b.servers[h.ID]
		if s == nil {
			continue
		}
		s.also = sane(h.Held)
		s.until = max(s.until, min(h.Until, now+16*beat))
		if h.Hot > s.hot && sane(h.Limit) > 0 {
			s.limit, s.hot = h.Limit, min(h.Hot, now)
			b.watch(s)
		}
	}
}

// watch has upkeep look after a server.
func (b *Balancer) watch(s *server) {
	if !s.busy {
		s.busy = true
		b.busy = append(b.busy, s)
	}
}

// Recall takes over what a relay's former process handed on. What it cannot mean is left out: figures that are no
// numbers, times that lie ahead further than any that this module sets, servers that no list has named.
func (b *Balancer) Recall(now time.Duration, m Memory) {
	past := func(t time.Duration) time.Duration { return max(0, min(t, now)) }
	for _, h := range m.Servers {
		s := b.servers[h.ID]
		if s == nil {
			continue
		}
		s.bench = max(0, min(h.Bench, 16*beat))
		if s.until = max(0, min(h.Until, now+16*beat)); s.until > now {
			b.out = append(b.out, s)
		}
		s.hot, s.heard, s.filled = past(h.Hot), past(h.Heard), max(0, min(h.Filled, now+b.set.FallSpan))
		s.limit, s.full, s.budget = sane(h.Limit), sane(h.Full), min(sane(h.Budget), maxBudget)
		s.pace, s.paces = max(0, min(h.Pace, time.Minute)), max(0, min(h.Paces, surePace+1))
		if s.limit > 0 { // upkeep forgets it in time
			b.watch(s)
		}
	}
	for _, d := range m.Diverted[:min(len(m.Diverted), mostHanded)] {
		if to := b.servers[d.To]; to != nil && b.divert[d.Flow].to == nil {
			b.order = append(b.order, d.Flow)
			b.divert[d.Flow] = diversion{to, past(d.At)}
		}
	}
	if len(m.Usual) == len(b.usual) && len(m.Seen) == len(b.seen) {
		for i, v := range m.Usual {
			if v = sane(v); v > 0 && m.Seen[i] > 0 {
				b.usual[i], b.seen[i] = v, min(m.Seen[i], sureLoad)
			}
		}
	}
	for number, k := range m.Kinds {
		if sane(k[1]) > 0 && k[0] >= 0 && !math.IsInf(k[0], 0) {
			b.kinds[number] = &kind{k[0], k[1]}
		}
	}
	if c := sane(m.Crowd); c > 0 {
		b.crowd, b.tells = min(c, 2), max(0, m.Tells)
	}
	b.lost = past(m.Lost)
}

// maxBudget is over what any cold server is ever sent at once.
const maxBudget = 1 << 10
