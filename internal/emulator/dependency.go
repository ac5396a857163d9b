package emulator

import (
	"container/heap"
	"time"
)

// Dependency is a resource that several servers share, such as a database: a number of slots, and a first-come,
// first-served queue for them. It isn't safe for concurrent use.
type Dependency struct {
	slots    int
	slowdown float64
	busy     holderHeap
	queue    []holder
	sequence uint64
}

// holder has a slot, or waits for one.
type holder struct {
	id       uint64
	hold     time.Duration
	end      time.Duration
	sequence uint64 // order of arrival
}

// NewDependency returns a dependency with a number of slots.
func NewDependency(slots int) *Dependency { return &Dependency{slots: slots, slowdown: 1} }

// Acquire enters the queue for a slot, which is held for a time after it is granted.
func (d *Dependency) Acquire(now time.Duration, id uint64, hold time.Duration) {
	d.sequence++
	d.queue = append(d.queue, holder{id: id, hold: hold, sequence: d.sequence})
	d.grant(now)
}

// grant assigns free slots to the holders that have waited longest.
func (d *Dependency) grant(now time.Duration) {
	for len(d.busy) < d.slots && len(d.queue) > 0 {
		h := d.queue[0]
		d.queue = d.queue[1:]
		h.end = now + time.Duration(float64(h.hold)*d.slowdown)
		heap.Push(&d.busy, h)
	}
}

// SetSlowdown multiplies the hold time of slots granted from now on; a factor of 1 ends the slowdown.
func (d *Dependency) SetSlowdown(factor float64) { d.slowdown = max(factor, minSlowdown) }

// NextRelease returns when the next slot becomes free, or false if all slots are free.
func (d *Dependency) NextRelease() (time.Duration, bool) {
	if len(d.busy) == 0 {
		return 0, false
	}
	return d.busy[0].end, true
}

// Release frees the slots whose hold time has ended, and returns the IDs of their holders in that order.
func (d *Dependency) Release(now time.Duration) (ids []uint64) {
	for len(d.busy) > 0 && d.busy[0].end <= now {
		h := heap.Pop(&d.busy).(holder)
		ids = append(ids, h.id)
		d.grant(h.end)
	}
	return ids
}

// Waiting returns how many holders wait for a slot.
func (d *Dependency) Waiting() int { return len(d.queue) }

// holderHeap implements heap.Interface, ordered by end, then by arrival.
type holderHeap []holder

func (h holderHeap) Len() int { return len(h) }
func (h holderHeap) Less(i, j int) bool {
	return h[i].end < h[j].end || h[i].end == h[j].end && h[i].sequence < h[j].sequence
}
func (h holderHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *holderHeap) Push(x any)   { *h = append(*h, x.(holder)) }
func (h *holderHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
