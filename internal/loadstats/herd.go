package loadstats

import (
	"cmp"
	"slices"
	"time"
)

const (
	// HerdWindow is the span in which new connections count as one herd: relays that act on the same old load reports
	// send their new connections to the same backend.
	HerdWindow = 500 * time.Millisecond

	// MinExpectedArrivals is the least fair share of a window's new connections, by backend, for which the figures
	// count: below it the number that a backend gets is mostly chance.
	MinExpectedArrivals = 8.0

	// herdWindowStep is the time between the starts of two windows.
	herdWindowStep = 50 * time.Millisecond
)

// arrival is a new connection at a backend.
type arrival struct {
	at      time.Duration
	backend int
}

// arrivals returns the new connections under a placement, in the order of time.
func (r *Recorder) arrivals(p placement) []arrival {
	out := make([]arrival, len(r.connections))
	for i := range r.connections {
		out[i] = arrival{r.connections[i].Opened, p[i]}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// visitHerds calls visit for every backend and every window that starts within a number of seconds of the run, if the
// backend's fair share is at least MinExpectedArrivals. The arguments are the second in which the window starts, the ratio
// of the backend's new connections to its fair share, and that share in connections.
func (r *Recorder) visitHerds(seconds int, p placement, visit func(second int, ratio, expected float64)) {
	arrivals := r.arrivals(p)
	counts := make([]int, r.backendCount())
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += herdWindowStep {
		for len(arrivals) > 0 && arrivals[0].at < at {
			arrivals = arrivals[1:]
		}
		total := countArrivals(arrivals, at+HerdWindow, counts)
		capacity := r.capacityAt(at)
		for i := range r.spans {
			s := &r.spans[i]
			if !s.includes(at) {
				continue
			}
			if expected := float64(total) * s.capacity / capacity; expected >= MinExpectedArrivals {
				visit(int(at/time.Second), float64(counts[s.backend])/expected, expected)
			}
		}
	}
}

// countArrivals counts arrivals before a time, by backend, and returns how many there are.
func countArrivals(arrivals []arrival, before time.Duration, counts []int) (total int) {
	clear(counts)
	for _, a := range arrivals {
		if a.at >= before {
			break
		}
		counts[a.backend]++
		total++
	}
	return total
}

// capacityAt returns the cores of all backends that are up at a time.
func (r *Recorder) capacityAt(at time.Duration) (cores float64) {
	for i := range r.spans {
		if s := &r.spans[i]; s.includes(at) {
			cores += s.capacity
		}
	}
	return cores
}
