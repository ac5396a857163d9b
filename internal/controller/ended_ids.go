package controller

import (
	"maps"
	"slices"
	"time"
)

const (
	// endedIDRetention is how long the ID of an ended request stays in use: longer than any attempt that its client or a
	// predecessor left behind may still run at a backend.
	endedIDRetention = 10 * time.Second

	// endedIDInterval is the time in which the IDs of one generation are added. They expire together, so that an ID needs
	// no time of its own, and is kept for up to this much longer than endedIDRetention.
	endedIDInterval = endedIDRetention / 4

	// endedIDGenerations is how many full generations the limit leaves room for. Dropping one keeps the others.
	endedIDGenerations = 4

	// closedIDBytes is the memory of an ID in a closed generation, and openIDBytes an upper bound in the open one: 17 bytes
	// a slot in a map that is at least seven sixteenths full.
	closedIDBytes = 8
	openIDBytes   = 40

	// endedIDMemoryDivisor divides the memory limit: the IDs may use that part of it.
	endedIDMemoryDivisor = 12

	// unlimitedEndedIDs bounds the IDs of a relay without a memory limit.
	unlimitedEndedIDs = 1 << 20
)

// maxEndedIDs returns how many IDs fit into their part of a memory limit in MiB; 0: there is none.
func maxEndedIDs(memoryMB int) int {
	if memoryMB <= 0 {
		return unlimitedEndedIDs
	}
	return memoryMB << 20 / endedIDMemoryDivisor / (closedIDBytes + openIDBytes/endedIDGenerations)
}

// closedIDs are the IDs of a generation to which none is added any more.
type closedIDs struct {
	start  time.Duration // when the generation began
	sorted []uint64
}

// endedIDs are the IDs of requests that have ended lately and may have run at a backend. A request whose ID comes again while
// it may still run, after its client has left, would run a second time.
type endedIDs struct {
	closed    []closedIDs         // the oldest first
	open      map[uint64]struct{} // of the newest generation
	openStart time.Duration
	count     int // over all generations
	limit     int // beyond it the oldest generation is dropped
	dropped   func(kept time.Duration)
}

// newEndedIDs returns an empty set. dropped is called when a generation is dropped for lack of memory.
func newEndedIDs(limit int, dropped func(kept time.Duration)) endedIDs {
	return endedIDs{open: map[uint64]struct{}{}, limit: limit, dropped: dropped}
}

// add adds an ID.
func (e *endedIDs) add(now time.Duration, id uint64) {
	e.expire(now)
	if len(e.open) == 0 {
		e.openStart = now
	}
	e.count -= len(e.open)
	e.open[id] = struct{}{}
	e.count += len(e.open)
	if len(e.open) >= max(1, e.limit/endedIDGenerations) {
		e.closeGeneration()
	}
	for e.count > e.limit {
		kept := now - e.closed[0].start
		e.dropOldest()
		e.dropped(kept)
	}
}

// expire closes the open generation at the end of its interval, and drops those whose newest ID has been kept for the
// retention.
func (e *endedIDs) expire(now time.Duration) {
	if len(e.open) > 0 && now-e.openStart >= endedIDInterval {
		e.closeGeneration()
	}
	for len(e.closed) > 0 && now-e.closed[0].start >= endedIDRetention+endedIDInterval {
		e.dropOldest()
	}
}

func (e *endedIDs) closeGeneration() {
	sorted := slices.AppendSeq(make([]uint64, 0, len(e.open)), maps.Keys(e.open))
	slices.Sort(sorted)
	e.closed = append(e.closed, closedIDs{e.openStart, sorted})
	e.open = map[uint64]struct{}{}
}

func (e *endedIDs) dropOldest() {
	e.count -= len(e.closed[0].sorted)
	e.closed = slices.Delete(e.closed, 0, 1)
}

// has reports whether an ID is kept.
func (e *endedIDs) has(now time.Duration, id uint64) bool {
	e.expire(now)
	if _, kept := e.open[id]; kept {
		return true
	}
	for i := range e.closed {
		if _, kept := slices.BinarySearch(e.closed[i].sorted, id); kept {
			return true
		}
	}
	return false
}

// all returns the IDs that are kept, each at least once, in any order.
func (e *endedIDs) all() []uint64 {
	ids := slices.AppendSeq(make([]uint64, 0, e.count), maps.Keys(e.open))
	for i := range e.closed {
		ids = append(ids, e.closed[i].sorted...)
	}
	return ids
}
