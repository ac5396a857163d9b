package membership

import "time"

const (
	minProbeTimeout = 150 * time.Millisecond // with less, scheduling delays of a busy host would fail probes
	maxProbeTimeout = 2 * time.Second        // with more, failing the probe would take longer than the suspicion
)

// roundTripEstimator derives the probe timeout from measured round trips as TCP does (RFC 6298), with smaller gains
// because the samples come from all members. It prevents false suspicions on a network that is slow or lossy between all
// relays.
type roundTripEstimator struct {
	smoothed  time.Duration // smoothed mean; 0: no sample yet
	variation time.Duration // mean deviation
}

// observe adds a sample: one measured round trip.
func (e *roundTripEstimator) observe(sample time.Duration) {
	if e.smoothed == 0 {
		e.smoothed, e.variation = sample, sample/2
		return
	}
	deviation := max(sample-e.smoothed, e.smoothed-sample)
	e.variation += (deviation - e.variation) / 8
	e.smoothed += (sample - e.smoothed) / 16
}

// timeout returns the time to wait for an ack.
func (e *roundTripEstimator) timeout() time.Duration {
	if e.smoothed == 0 {
		return minProbeTimeout
	}
	return min(maxProbeTimeout, max(minProbeTimeout, e.smoothed+4*e.variation))
}

// probeTimeout returns how long this relay waits for an ack at its current local health score.
func (m *Memberlist) probeTimeout() time.Duration {
	if m.settings.plainSWIM {
		return minProbeTimeout
	}
	return m.health.scaleProbeTimeout(m.roundTrip.timeout())
}
