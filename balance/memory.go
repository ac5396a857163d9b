// What one relay process hands to the next under its name, so that a new version does not send to servers
// that the old one left out, fill cold ones a second time or scatter flows that it had placed. It decides
// nothing, and holds nothing that the next could not do without.

package balance

import (
	"math"
	"time"
)

// Snapshot is what outlives a relay's process when another takes its place. Times are on the module's clock.
type Snapshot struct {
	Backends           []BackendSnapshot  `json:"Servers"`
	StickyOverrides    []StickyOverride   `json:"Diverted"`
	ClassLoads         []float64          `json:"Usual"` // by class what a connection loads; last: by all classes
	ClassLoadSamples   []float64          `json:"Seen"`
	KindLateness       map[int][2]float64 `json:"Kinds"` // seconds with late messages, of how many
	MeanUtilization    float64            `json:"Crowd"`
	UtilizationReports int                `json:"Tells"`
	LastBackendLoss    time.Duration      `json:"Lost"`
}

// BackendSnapshot is what is remembered of one server.
type BackendSnapshot struct {
	ID               BackendID     `json:"ID"`
	EjectedUntil     time.Duration `json:"Until"`
	EjectionTime     time.Duration `json:"Bench"`
	LastOverload     time.Duration `json:"Hot"`
	LastHealthCheck  time.Duration `json:"Heard"`
	SlowStartRefill  time.Duration `json:"Filled"`
	ConcurrencyLimit float64       `json:"Limit"`
	SlowStartTokens  float64       `json:"Budget"`
	Utilization      float64       `json:"Full"`
	TrackedLoad      float64       `json:"Held"` // T there, in the process that tells this
	LatencyBaseline  time.Duration `json:"Pace"`
	LatencySamples   int           `json:"Paces"`
}

// StickyOverride is where a flow was sent that did not go home.
type StickyOverride struct {
	Flow    uint64        `json:"Flow"`
	Backend BackendID     `json:"To"`
	At      time.Duration `json:"At"`
}

// mostHanded bounds how many diversions are handed over; the newest go.
const mostHanded = 1 << 12

// Snapshot is what this relay hands over.
func (b *Balancer) Snapshot() Snapshot {
	m := Snapshot{ClassLoads: b.usual, ClassLoadSamples: b.seen, KindLateness: map[int][2]float64{}, MeanUtilization: b.crowd, UtilizationReports: b.tells, LastBackendLoss: b.lost}
	for _, s := range b.ready {
		m.Backends = append(m.Backends, BackendSnapshot{ID: s.ID, EjectedUntil: s.until, EjectionTime: s.bench, LastOverload: s.hot, LastHealthCheck: s.heard,
			SlowStartRefill: s.filled, ConcurrencyLimit: s.limit, SlowStartTokens: s.budget, Utilization: s.full, LatencyBaseline: s.pace, LatencySamples: s.paces, TrackedLoad: b.own(&s.sums)})
	}
	for _, flow := range b.order[max(0, len(b.order)-mostHanded):] {
		d := b.divert[flow]
		m.StickyOverrides = append(m.StickyOverrides, StickyOverride{flow, d.to.ID, d.at})
	}
	for kind, k := range b.kinds {
		m.KindLateness[kind] = [2]float64{k.late, k.seconds}
	}
	return m
}

// UpdateOtherProcess hears what the relay's former process goes on seeing while both run: T there counts as this relay's
// own, and trouble that it has seen since is trouble here. Without it the clients that the one moves off a server
// would come by the other and be sent right back. An empty Memory ends it.
func (b *Balancer) UpdateOtherProcess(now time.Duration, m Snapshot) {
	for _, s := range b.servers {
		s.also = 0
	}
	for _, h := range m.Backends {
		s := b.servers[h.ID]
		if s == nil {
			continue
		}
		s.also = sane(h.TrackedLoad)
		s.until = max(s.until, min(h.EjectedUntil, now+16*beat))
		if h.LastOverload > s.hot && sane(h.ConcurrencyLimit) > 0 {
			s.limit, s.hot = h.ConcurrencyLimit, min(h.LastOverload, now)
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

// Restore takes over what a relay's former process handed on. What it cannot mean is left out: figures that are no
// numbers, times that lie ahead further than any that this module sets, servers that no list has named.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	past := func(t time.Duration) time.Duration { return max(0, min(t, now)) }
	for _, h := range m.Backends {
		s := b.servers[h.ID]
		if s == nil {
			continue
		}
		s.bench = max(0, min(h.EjectionTime, 16*beat))
		if s.until = max(0, min(h.EjectedUntil, now+16*beat)); s.until > now {
			b.out = append(b.out, s)
		}
		s.hot, s.heard, s.filled = past(h.LastOverload), past(h.LastHealthCheck), max(0, min(h.SlowStartRefill, now+b.set.OverloadWindow))
		s.limit, s.full, s.budget = sane(h.ConcurrencyLimit), sane(h.Utilization), min(sane(h.SlowStartTokens), maxBudget)
		s.pace, s.paces = max(0, min(h.LatencyBaseline, time.Minute)), max(0, min(h.LatencySamples, surePace+1))
		if s.limit > 0 { // upkeep forgets it in time
			b.watch(s)
		}
	}
	for _, d := range m.StickyOverrides[:min(len(m.StickyOverrides), mostHanded)] {
		if to := b.servers[d.Backend]; to != nil && b.divert[d.Flow].to == nil {
			b.order = append(b.order, d.Flow)
			b.divert[d.Flow] = diversion{to, past(d.At)}
		}
	}
	if len(m.ClassLoads) == len(b.usual) && len(m.ClassLoadSamples) == len(b.seen) {
		for i, v := range m.ClassLoads {
			if v = sane(v); v > 0 && m.ClassLoadSamples[i] > 0 {
				b.usual[i], b.seen[i] = v, min(m.ClassLoadSamples[i], sureLoad)
			}
		}
	}
	for number, k := range m.KindLateness {
		if sane(k[1]) > 0 && k[0] >= 0 && !math.IsInf(k[0], 0) {
			b.kinds[number] = &kind{k[0], k[1]}
		}
	}
	if c := sane(m.MeanUtilization); c > 0 {
		b.crowd, b.tells = min(c, 2), max(0, m.UtilizationReports)
	}
	b.lost = past(m.LastBackendLoss)
}

// maxBudget is over what any cold server is ever sent at once.
const maxBudget = 1 << 10
