package testcluster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// frontBalancer distributes new connections of clients over the relays that are marked as available.
type frontBalancer struct {
	cluster   *cluster
	mu        sync.Mutex
	available []bool
	changes   []int // number of changes, so that a late detection does not undo a newer one
}

func newFrontBalancer(c *cluster) *frontBalancer {
	n := len(c.relays)
	return &frontBalancer{cluster: c, available: make([]bool, n), changes: make([]int, n)}
}

// setAvailable marks a relay as available or not.
func (front *frontBalancer) setAvailable(relay int, available bool) {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.changes[relay]++
	front.available[relay] = available
}

// noticeLoss marks a relay as unavailable after a random detection delay, unless its state has changed by then.
func (front *frontBalancer) noticeLoss(relay int) {
	front.mu.Lock()
	changes := front.changes[relay]
	front.mu.Unlock()
	front.cluster.runAfter(front.cluster.links.randomDuration(200*time.Millisecond, 2600*time.Millisecond), func() {
		front.mu.Lock()
		defer front.mu.Unlock()
		if front.changes[relay] == changes {
			front.changes[relay]++
			front.available[relay] = false
		}
	})
}

// pick chooses a relay for a new connection, or returns -1 if none is available.
func (front *frontBalancer) pick(rng *rand.Rand) int {
	front.mu.Lock()
	defer front.mu.Unlock()
	if hotShare := front.cluster.options.Fleet.HotRelayShare; hotShare > 0 && front.available[0] && rng.Float64() < hotShare {
		return 0
	}
	n := 0
	for _, available := range front.available {
		if available {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	remaining := rng.IntN(n)
	for i, available := range front.available {
		if available {
			if remaining == 0 {
				return i
			}
			remaining--
		}
	}
	return -1
}
