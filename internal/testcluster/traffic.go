package testcluster

import (
	"sync/atomic"
	"time"
)

// peakCounter counts events for each party and keeps the highest count that any party reached within one second.
type peakCounter struct {
	counts  []atomic.Int64 // in the current second, by party
	seconds []atomic.Int64 // the second that counts refers to, by party
	peak    atomic.Int64
	total   atomic.Int64
}

func newPeakCounter(n int) *peakCounter {
	return &peakCounter{counts: make([]atomic.Int64, n), seconds: make([]atomic.Int64, n)}
}

func (counter *peakCounter) add(party int, now time.Duration) {
	if party >= len(counter.counts) {
		return
	}
	counter.total.Add(1)
	second := int64(now / time.Second)
	if counter.seconds[party].Swap(second) != second {
		counter.counts[party].Store(0)
	}
	n := counter.counts[party].Add(1)
	for {
		peak := counter.peak.Load()
		if n <= peak || counter.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

// trafficCounters count what relays send besides the lines of clients. They are lock-free, so that counting delays no
// traffic.
type trafficCounters struct {
	cluster        *cluster
	healthChecks   *peakCounter // by backend
	handshakes     *peakCounter // by backend
	datagrams      *peakCounter // by sender
	discoveryCalls *peakCounter // by relay
	undelivered    atomic.Int64
}

func newTrafficCounters(relays, backends int, c *cluster) trafficCounters {
	return trafficCounters{cluster: c, healthChecks: newPeakCounter(backends), handshakes: newPeakCounter(backends), datagrams: newPeakCounter(relays), discoveryCalls: newPeakCounter(relays)}
}

// countTraffic counts one event of a party, once the run has begun.
func (c *cluster) countTraffic(party int, counter **peakCounter) {
	if c.elapsed() > 0 {
		(*counter).add(party, c.elapsed())
	}
}

func (c *cluster) countHealthCheck(_, backend int) { c.countTraffic(backend, &c.traffic.healthChecks) }

func (c *cluster) countHandshake(_, backend int) { c.countTraffic(backend, &c.traffic.handshakes) }

// rates converts the counts into rates over a run of the given length.
func (traffic *trafficCounters) rates(length time.Duration) TrafficRates {
	seconds := length.Seconds()
	perSecond := func(counter *peakCounter) float64 { return float64(counter.total.Load()) / seconds }
	return TrafficRates{HealthChecks: perSecond(traffic.healthChecks), PeakHealthChecksPerBackend: int(traffic.healthChecks.peak.Load()), Handshakes: perSecond(traffic.handshakes),
		PeakHandshakesPerBackend: int(traffic.handshakes.peak.Load()), Datagrams: perSecond(traffic.datagrams), PeakDatagramsPerRelay: int(traffic.datagrams.peak.Load()),
		DiscoveryCalls: perSecond(traffic.discoveryCalls)}
}
