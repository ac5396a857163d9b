package loadstats

import (
	"cmp"
	"slices"
	"time"
)

// SampleInterval is the time between two samples of the loads.
const SampleInterval = 250 * time.Millisecond

// samplesPerSecond is how many samples are averaged for a second's figures.
const samplesPerSecond = int(time.Second / SampleInterval)

// backendDown is the load in a sample of a backend that is down; all real loads are at least 0.
const backendDown = -1.0

// loadChange is the opening or the closing of a connection.
type loadChange struct {
	at      time.Duration
	backend int
	load    float64
}

// loadChanges returns the changes of load under a placement, in the order of time.
func (r *Recorder) loadChanges(p placement) []loadChange {
	changes := make([]loadChange, 0, 2*len(r.connections))
	for i := range r.connections {
		c := &r.connections[i]
		changes = append(changes, loadChange{c.Opened, p[i], c.Load}, loadChange{c.Closed, p[i], -c.Load})
	}
	slices.SortStableFunc(changes, func(a, b loadChange) int { return cmp.Compare(a.at, b.at) })
	return changes
}

// sampleLoads returns the load relative to capacity of every backend under a placement, one sample every SampleInterval
// of a run of a given length.
func (r *Recorder) sampleLoads(length time.Duration, p placement) (samples [][]float64) {
	changes := r.loadChanges(p)
	loads := make([]float64, r.backendCount())
	for at := SampleInterval; at <= length; at += SampleInterval {
		for len(changes) > 0 && changes[0].at <= at {
			loads[changes[0].backend] += changes[0].load
			changes = changes[1:]
		}
		samples = append(samples, r.relativeLoads(at, loads))
	}
	return samples
}

// relativeLoads divides loads by the capacities of the backends that are up at a time.
func (r *Recorder) relativeLoads(at time.Duration, loads []float64) []float64 {
	sample := slices.Repeat([]float64{backendDown}, len(loads))
	for i := range r.spans {
		if s := &r.spans[i]; s.includes(at) {
			sample[s.backend] = max(0, loads[s.backend]) / s.capacity // sums of floats may end below 0
		}
	}
	return sample
}
