package controller

import "time"

const (
	// endedIDRetention is how long the ID of an ended request stays in use: longer than any attempt that its client or a
	// predecessor left behind may still run at a backend.
	endedIDRetention = 10 * time.Second
	// maxEndedIDs bounds how many of them are kept; the oldest give way.
	maxEndedIDs = 8192
)

// endedID is the ID of a request that has ended, and may have run at a backend.
type endedID struct {
	id        uint64
	expiresAt time.Duration
}

// endedIDs are the IDs of requests that have ended lately. A request whose ID comes again while it may still run, after its
// client has left, would run a second time.
type endedIDs struct {
	queue []endedID      // in the order of their expiry
	count map[uint64]int // entries in the queue by ID
}

func newEndedIDs() endedIDs { return endedIDs{count: map[uint64]int{}} }

// add adds an ID.
func (e *endedIDs) add(now time.Duration, id uint64) {
	e.queue = append(e.queue, endedID{id, now + endedIDRetention})
	e.count[id]++
	e.expire(now)
}

// expire removes the IDs that are kept no longer.
func (e *endedIDs) expire(now time.Duration) {
	for len(e.queue) > 0 && (e.queue[0].expiresAt <= now || len(e.queue) > maxEndedIDs) {
		id := e.queue[0].id
		e.queue = e.queue[1:]
		if e.count[id]--; e.count[id] == 0 {
			delete(e.count, id)
		}
	}
}

// has reports whether an ID is kept.
func (e *endedIDs) has(now time.Duration, id uint64) bool {
	e.expire(now)
	return e.count[id] > 0
}
