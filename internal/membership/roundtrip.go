package membership

import "time"

const (
	minProbeTimeout = 150 * time.Millisecond // below it, scheduling delays of a busy host would fail probes
	maxProbeTimeout = 2 * time.Second        // above it, deaths would go unnoticed for longer than the suspicion lasts
)

// roundTripEstimator derives the probe timeout from measured round trips as TCP does (RFC 6298), with smaller gains
// because the samples come from all members. Links that are slow or lossy between all relays are thereby not mistaken for
// failures.
type roundTripEstimator struct {
	smoothed  time.Duration // 0: no sample yet
	variation time.Duration // mean deviation
}

// observe takes in one measured round trip.
func (e *roundTripEstimator) observe(sample time.Duration) {
	if e.smoothed == 0 {
		e.smoothed, e.variation = sample, sample/2
		return
	}
	deviation := max(sample-e.smoothed, e.smoothed-sample)
	e.variation += (deviation - e.variation) / 8
	e.smoothed += (sample - e.smoothed) / 16
}

// timeout returns how long an ack is worth waiting for.
func (e *roundTripEstimator) timeout() time.Duration {
	if e.smoothed == 0 {
		return minProbeTimeout
	}
	return min(maxProbeTimeout, max(minProbeTimeout, e.smoothed+4*e.variation))
}

// probeTimeout returns how long this relay waits for an ack at its present health.
func (m *Memberlist) probeTimeout() time.Duration {
	if m.settings.plainSWIM {
		return minProbeTimeout
	}
	return m.health.scaleProbeTimeout(m.roundTrip.timeout())
}
