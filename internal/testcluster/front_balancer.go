package testcluster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// frontBalancer deals connections out among the relays that it takes for good ones.
type frontBalancer struct {
	cluster   *cluster
	mu        sync.Mutex
	available []bool
	changes   []int // counts changes, so that what was noticed late does not undo what is newer
}

func newFrontBalancer(c *cluster) *frontBalancer {
	n := len(c.relays)
	return &frontBalancer{cluster: c, available: make([]bool, n), changes: make([]int, n)}
}

func (front *frontBalancer) setAvailable(relay int, good bool) {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.changes[relay]++
	front.available[relay] = good
}

// noticeLoss is noticed after a while.
func (front *frontBalancer) noticeLoss(relay int) {
	front.mu.Lock()
	life := front.changes[relay]
	front.mu.Unlock()
	front.cluster.runAfter(front.cluster.links.randomDuration(200*time.Millisecond, 2600*time.Millisecond), func() {
		front.mu.Lock()
		defer front.mu.Unlock()
		if front.changes[relay] == life {
			front.changes[relay]++
			front.available[relay] = false
		}
	})
}

// pick is a relay for a new connection; below 0: there is none.
func (front *frontBalancer) pick(rng *rand.Rand) int {
	front.mu.Lock()
	defer front.mu.Unlock()
	if hot := front.cluster.options.Fleet.HotRelay; hot > 0 && front.available[0] && rng.Float64() < hot {
		return 0
	}
	n := 0
	for _, g := range front.available {
		if g {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	k := rng.IntN(n)
	for i, g := range front.available {
		if g {
			if k == 0 {
				return i
			}
			k--
		}
	}
	return -1
}
