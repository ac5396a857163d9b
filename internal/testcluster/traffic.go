package testcluster

import (
	"sync/atomic"
	"time"
)

// peakCounter counts by party in the second that runs, and keeps the most that one had in any.
type peakCounter struct {
	counts  []atomic.Int64 // of the present second
	seconds []atomic.Int64 // which that is, by party
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

// trafficCounters counts by second and party. Nobody waits for a counter.
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

// countTraffic counts something of a relay's, once the run has begun.
func (c *cluster) countTraffic(who int, what **peakCounter) {
	if c.elapsed() > 0 {
		(*what).add(who, c.elapsed())
	}
}

func (c *cluster) countHealthCheck(_, backend int) { c.countTraffic(backend, &c.traffic.healthChecks) }

func (c *cluster) countHandshake(_, backend int) { c.countTraffic(backend, &c.traffic.handshakes) }

func (traffic *trafficCounters) rates(length time.Duration) TrafficRates {
	s := length.Seconds()
	per := func(counter *peakCounter) float64 { return float64(counter.total.Load()) / s }
	return TrafficRates{HealthChecks: per(traffic.healthChecks), PeakHealthChecksPerBackend: int(traffic.healthChecks.peak.Load()), Handshakes: per(traffic.handshakes),
		PeakHandshakesPerBackend: int(traffic.handshakes.peak.Load()), Datagrams: per(traffic.datagrams), PeakDatagramsPerRelay: int(traffic.datagrams.peak.Load()),
		DiscoveryCalls: per(traffic.discoveryCalls)}
}
