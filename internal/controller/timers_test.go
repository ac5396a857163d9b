package controller

import (
	"slices"
	"testing"
	"time"
)

func TestTimerQueue_FiresInOrder(t *testing.T) {
	var queue timerQueue
	for i, at := range []time.Duration{5, 3, 9, 3, 1} {
		queue.set(at, balancerTimer, uint64(i))
	}
	var got []uint64
	for queue.len() > 0 {
		due, ok := queue.popDue(9)
		if !ok {
			t.Fatal("no timer is due at time 9, when all are")
		}
		got = append(got, due.token)
	}
	if !slices.Equal(got, []uint64{4, 1, 3, 0, 2}) {
		t.Errorf("fired in order %v, want [4 1 3 0 2]", got)
	}
}
