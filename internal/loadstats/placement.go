package loadstats

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// placement is the backend of each connection, in the order of Recorder.Connections.
type placement []int

// actualPlacement returns the backends that held the connections.
func (r *Recorder) actualPlacement() placement {
	p := make(placement, len(r.connections))
	for i := range r.connections {
		p[i] = r.connections[i].Backend
	}
	return p
}

// hashingPlacement returns where rendezvous hashing, weighted by capacity, would have put the connections. Different
// salts are different hash functions.
func (r *Recorder) hashingPlacement(salt uint64) placement {
	p := make(placement, len(r.connections))
	for i := range r.connections {
		p[i] = r.rendezvous(&r.connections[i], salt)
	}
	return p
}

// rendezvous returns the backend with the highest score for a connection among those that were up when it opened, or the
// actual one if none was.
func (r *Recorder) rendezvous(c *Connection, salt uint64) int {
	best, backend := math.Inf(-1), c.Backend
	for i := range r.spans {
		s := &r.spans[i]
		if !s.includes(c.Opened) {
			continue
		}
		hash := mix(c.Key ^ mix(salt<<32|uint64(s.backend)))
		if score := -s.capacity / math.Log(unitInterval(hash)); score > best {
			best, backend = score, s.backend
		}
	}
	return backend
}

// unitInterval maps a hash to a number between 0 and 1, neither included.
func unitInterval(hash uint64) float64 {
	const mantissaBits = 53 // of a float64
	return (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mix spreads the bits of a number (SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// greedyPlacement returns where a greedy placement based on the exact loads would have put the connections: each one at the
// backend whose load relative to capacity is then the lowest.
func (r *Recorder) greedyPlacement() placement {
	p := make(placement, len(r.connections))
	opened, closed := r.indexesBy(connectionOpened), r.indexesBy(connectionClosed)
	loads := make([]float64, r.backendCount())
	placed := make([]bool, len(r.connections))
	for _, i := range opened {
		c := &r.connections[i]
		for len(closed) > 0 && r.connections[closed[0]].Closed <= c.Opened {
			if j := closed[0]; placed[j] {
				loads[p[j]] -= r.connections[j].Load
			}
			closed = closed[1:]
		}
		p[i] = r.leastLoaded(c, loads)
		loads[p[i]] += c.Load
		placed[i] = true
	}
	return p
}

func connectionOpened(c *Connection) time.Duration { return c.Opened }
func connectionClosed(c *Connection) time.Duration { return c.Closed }

// indexesBy returns the connections' indexes, sorted by a time; equal times keep the order of recording.
func (r *Recorder) indexesBy(at func(*Connection) time.Duration) []int {
	indexes := make([]int, len(r.connections))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		return cmp.Compare(at(&r.connections[a]), at(&r.connections[b]))
	})
	return indexes
}

// leastLoaded returns the backend that has the lowest load relative to its capacity once it holds a connection, among
// those that were up when it opened, or the actual one if none was.
func (r *Recorder) leastLoaded(c *Connection, loads []float64) int {
	best, backend := math.Inf(1), c.Backend
	for i := range r.spans {
		s := &r.spans[i]
		if !s.includes(c.Opened) {
			continue
		}
		if load := (loads[s.backend] + c.Load) / s.capacity; load < best {
			best, backend = load, s.backend
		}
	}
	return backend
}
