package testcluster

import (
	"sync/atomic"
	"time"
)

// perSecond counts by party in the second that runs, and keeps the most that one had in any.
type perSecond struct {
	counts []atomic.Int64 // of the present second
	second []atomic.Int64 // which that is, by party
	most   atomic.Int64
	total  atomic.Int64
}

func newPerSecond(n int) *perSecond {
	return &perSecond{counts: make([]atomic.Int64, n), second: make([]atomic.Int64, n)}
}

func (p *perSecond) add(who int, at time.Duration) {
	if who >= len(p.counts) {
		return
	}
	p.total.Add(1)
	s := int64(at / time.Second)
	if p.second[who].Swap(s) != s {
		p.counts[who].Store(0)
	}
	n := p.counts[who].Add(1)
	for {
		most := p.most.Load()
		if n <= most || p.most.CompareAndSwap(most, n) {
			return
		}
	}
}

// tally counts by second and party. Nobody waits for a counter.
type tally struct {
	rig         *rig
	probes      *perSecond // by backend
	handshakes  *perSecond // by backend
	datagrams   *perSecond // by sender
	calls       *perSecond // by relay
	undelivered atomic.Int64
}

func newTally(relays, backends int, r *rig) tally {
	return tally{rig: r, probes: newPerSecond(backends), handshakes: newPerSecond(backends), datagrams: newPerSecond(relays), calls: newPerSecond(relays)}
}

// counted counts something of a relay's, once the run has begun.
func (r *rig) counted(who int, what **perSecond) {
	if r.since() > 0 {
		(*what).add(who, r.since())
	}
}

func (r *rig) probed(_, backend int) { r.counted(backend, &r.tally.probes) }

func (r *rig) handshake(_, backend int) { r.counted(backend, &r.tally.handshakes) }

func (t *tally) rates(length time.Duration) Rates {
	s := length.Seconds()
	per := func(p *perSecond) float64 { return float64(p.total.Load()) / s }
	return Rates{Probes: per(t.probes), ProbesOne: int(t.probes.most.Load()), Handshakes: per(t.handshakes),
		HandshakeOne: int(t.handshakes.most.Load()), Datagrams: per(t.datagrams), DatagramOne: int(t.datagrams.most.Load()),
		Calls: per(t.calls)}
}
