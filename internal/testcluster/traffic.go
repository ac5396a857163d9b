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

func (counter *peakCounter) add(who int, at time.Duration) {
	if who >= len(counter.counts) {
		return
	}
	counter.total.Add(1)
	s := int64(at / time.Second)
	if counter.seconds[who].Swap(s) != s {
		counter.counts[who].Store(0)
	}
	n := counter.counts[who].Add(1)
	for {
		most := counter.peak.Load()
		if n <= most || counter.peak.CompareAndSwap(most, n) {
			return
		}
	}
}

// trafficCounters count what relays send beside the lines of clients. They are lock-free, so that counting delays no
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
func (c *cluster) countTraffic(who int, what **peakCounter) {
	if c.elapsed() > 0 {
		(*what).add(who, c.elapsed())
	}
}

func (c *cluster) countHealthCheck(_, backend int) { c.countTraffic(backend, &c.traffic.healthChecks) }

func (c *cluster) countHandshake(_, backend int) { c.countTraffic(backend, &c.traffic.handshakes) }

// rates converts the counts into rates over a run of the given length.
func (traffic *trafficCounters) rates(length time.Duration) TrafficRates {
	s := length.Seconds()
	per := func(counter *peakCounter) float64 { return float64(counter.total.Load()) / s }
	return TrafficRates{HealthChecks: per(traffic.healthChecks), PeakHealthChecksPerBackend: int(traffic.healthChecks.peak.Load()), Handshakes: per(traffic.handshakes),
		PeakHandshakesPerBackend: int(traffic.handshakes.peak.Load()), Datagrams: per(traffic.datagrams), PeakDatagramsPerRelay: int(traffic.datagrams.peak.Load()),
		DiscoveryCalls: per(traffic.discoveryCalls)}
}
