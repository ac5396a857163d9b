package controller

import (
	"testing"
	"time"
)

// Guards against memory that grows with the requests of a client that uses ever new IDs.
func TestEndedIDs_AreBounded(t *testing.T) {
	ended := newEndedIDs()
	for id := range uint64(10 * maxEndedIDs) {
		ended.add(time.Second, id)
	}
	if len(ended.queue) != maxEndedIDs || len(ended.count) != maxEndedIDs {
		t.Errorf("%d IDs in the queue, %d by ID; want %d", len(ended.queue), len(ended.count), maxEndedIDs)
	}
	if ended.has(time.Second, 0) || !ended.has(time.Second, 10*maxEndedIDs-1) {
		t.Error("the newest IDs are not the ones that are kept")
	}
	if ended.has(time.Second+endedIDRetention, 10*maxEndedIDs-1) || len(ended.queue)+len(ended.count) != 0 {
		t.Errorf("%d IDs are kept beyond the retention", len(ended.queue))
	}
}

func TestEndedIDs_KeepsIDThatEndedTwice(t *testing.T) {
	ended := newEndedIDs()
	ended.add(time.Second, 1)
	ended.add(2*time.Second, 1)
	if !ended.has(time.Second+endedIDRetention, 1) || ended.has(2*time.Second+endedIDRetention, 1) {
		t.Error("the ID is not kept for the retention after its last end")
	}
}
