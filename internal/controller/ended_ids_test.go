package controller

import (
	"runtime"
	"slices"
	"testing"
	"time"
)

// newTestEndedIDs returns an empty set and the times for which dropped generations had been kept.
func newTestEndedIDs(limit int) (*endedIDs, *[]time.Duration) {
	var dropped []time.Duration
	ended := newEndedIDs(limit, func(kept time.Duration) { dropped = append(dropped, kept) })
	return &ended, &dropped
}

// Guards against an ID that is forgotten while its request may still run: 8,192 IDs were kept, at 8,000 requests a second for
// a second. Under the smallest memory limit of the pages each ID is kept for the whole retention, and not much longer.
func TestEndedIDs_AreKeptForRetentionAtFullSpeed(t *testing.T) {
	const perSecond, seconds, memoryMB = 8000, 30, 32
	ended, dropped := newTestEndedIDs(maxEndedIDs(memoryMB))
	endedAt := func(id uint64) time.Duration { return time.Second + time.Duration(id)*time.Second/perSecond }
	for id := range uint64(perSecond * seconds) {
		now := endedAt(id)
		ended.add(now, id)
		retained := uint64(endedIDRetention / time.Second * perSecond)
		if id < 2*retained || id%997 != 0 {
			continue
		}
		for _, age := range []uint64{1, perSecond, retained / 2, retained - 1} {
			if !ended.has(now, id-age) {
				t.Fatalf("the ID that ended %v ago is not kept", now-endedAt(id-age))
			}
		}
		if ended.has(now, id-retained-uint64(endedIDInterval/time.Second+1)*perSecond) {
			t.Fatal("an ID is kept for more than the retention and an interval")
		}
	}
	if len(*dropped) > 0 {
		t.Errorf("dropped for lack of memory after %v", *dropped)
	}
}

// Guards against memory that grows with the requests of a client that uses ever new IDs: the newest are kept.
func TestEndedIDs_AreBounded(t *testing.T) {
	const limit = 8192
	ended, dropped := newTestEndedIDs(limit)
	now := time.Second
	for id := range uint64(10 * limit) {
		now += endedIDRetention / (2 * limit) // twice as fast as the limit allows
		ended.add(now, id)
		if ended.count > limit || id%1000 == 0 && len(ended.all()) != ended.count {
			t.Fatalf("%d IDs are counted and %d kept, want at most %d", ended.count, len(ended.all()), limit)
		}
		if !ended.has(now, id) {
			t.Fatal("the newest ID is not kept")
		}
		if age := uint64(limit / 2); id > age && !ended.has(now, id-age) {
			t.Fatalf("the ID that ended %v ago is not kept", time.Duration(age)*endedIDRetention/(2*limit))
		}
	}
	if len(*dropped) == 0 || slices.Max(*dropped) >= endedIDRetention+endedIDInterval {
		t.Errorf("generations dropped after %v, want before the end of their retention", *dropped)
	}
	if ended.has(now+endedIDRetention+endedIDInterval, 10*limit-1) || ended.count != 0 || len(ended.closed)+len(ended.open) != 0 {
		t.Errorf("%d IDs are kept beyond the retention", ended.count)
	}
}

func TestEndedIDs_KeepsIDThatEndedTwice(t *testing.T) {
	ended, _ := newTestEndedIDs(10)
	ended.add(time.Second, 1)
	ended.add(5*time.Second, 1)
	if !ended.has(5*time.Second+endedIDRetention-1, 1) || ended.has(5*time.Second+endedIDRetention+endedIDInterval, 1) {
		t.Error("the ID is not kept for the retention after its last end")
	}
	if ended.count != 0 {
		t.Errorf("%d IDs are counted, want none", ended.count)
	}
}

// The memory of the IDs stays within their part of the memory limit.
func TestEndedIDs_MemoryIsWithinLimit(t *testing.T) {
	const memoryMB = 32
	ended, _ := newTestEndedIDs(maxEndedIDs(memoryMB))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for id := range uint64(2 * ended.limit) {
		ended.add(time.Second+time.Duration(id)*endedIDRetention/time.Duration(ended.limit), id*0x9e3779b97f4a7c15)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used, allowed := int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(memoryMB<<20/endedIDMemoryDivisor)
	if ended.count < ended.limit/2 || used > allowed {
		t.Errorf("%d of %d IDs use %d bytes, want at most %d", ended.count, ended.limit, used, allowed)
	}
	runtime.KeepAlive(ended)
}
