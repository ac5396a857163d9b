package balance

import (
	"math"
	"slices"
)

const (
	// maxRelativeSize bounds a backend's size to this multiple of the median, and to its inverse. An extreme
	// weight would otherwise attract all keys or leave a backend idle.
	maxRelativeSize = 8

	// idHashMultiplier spreads consecutive backend IDs before they are mixed.
	idHashMultiplier = 0x9e3779b97f4a7c15
)

// rendezvousSlot holds the values from which the rendezvous score of a backend is computed.
type rendezvousSlot struct {
	hash uint64
	size float64 // registered weight over the median weight, within bounds
}

func newRendezvousSlot(id BackendID) rendezvousSlot {
	return rendezvousSlot{hash: mixBits(uint64(id) * idHashMultiplier), size: 1}
}

// scoreAbove returns the slot's weighted rendezvous score for a key if it is above the given one. A larger
// backend has the highest score for more keys.
func (s rendezvousSlot) scoreAbove(key uint64, minScore float64) (float64, bool) {
	uniform := (float64(mixBits(key^s.hash)>>11) + 0.5) / (1 << 53)
	if s.size <= minScore*(1-uniform) { // the score is at most size/(1-uniform), so the logarithm can be skipped
		return 0, false
	}
	score := -s.size / math.Log(uniform)
	return score, score > minScore
}

// rendezvousTable orders the ready backends for each key by weighted rendezvous hashing. All relays
// compute the same order (Maat, section III-B).
type rendezvousTable struct {
	slots    []rendezvousSlot // one for each of the backends, in the same order; contiguous, since placement scans all of them
	backends []*backend
	meanSize float64
}

// rebuild replaces the backends of the table. If weights are used, it sets the sizes relative to the median weight.
func (r *rendezvousTable) rebuild(ready []*backend, weights WeightMode) {
	sum, median := 0.0, max(medianWeight(ready), math.SmallestNonzeroFloat32)
	r.backends, r.slots = ready, r.slots[:0]
	for _, target := range ready {
		if weights == WeightsNominal || weights == WeightsRough {
			target.size = min(max(positiveFinite(target.Weight)/median, 1.0/maxRelativeSize), maxRelativeSize)
		}
		sum += target.size
		r.slots = append(r.slots, target.rendezvousSlot)
	}
	r.meanSize = sum / float64(max(1, len(ready)))
}

// first returns the ready backend with the highest score among those that the condition accepts, or nil.
// The condition is evaluated only for a backend that scores above those accepted so far.
func (r *rendezvousTable) first(key uint64, accepts func(*backend) bool) *backend {
	var first *backend
	best := 0.0
	for i, slot := range r.slots {
		if score, ok := slot.scoreAbove(key, best); ok && accepts(r.backends[i]) {
			first, best = r.backends[i], score
		}
	}
	return first
}

// medianWeight returns the median of the registered weights, or 0 without backends.
func medianWeight(backends []*backend) float64 {
	if len(backends) == 0 {
		return 0
	}
	weights := make([]float64, len(backends))
	for i, target := range backends {
		weights[i] = positiveFinite(target.Weight)
	}
	slices.Sort(weights)
	return weights[len(weights)/2]
}

// mixBits hashes a number with the finalizer of SplitMix64, with the same result on all relays.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
