package controller

import (
	"slices"
	"testing"
	"time"
)

func TestTimerQueue_FiresInOrder(t *testing.T) {
	var q timerQueue
	for i, at := range []time.Duration{5, 3, 9, 3, 1} {
		q.set(at, balancerTimer, uint64(i))
	}
	var got []uint64
	for q.len() > 0 {
		due, ok := q.popDue(9)
		if !ok {
			t.Fatal("a timer that is set is not due by the latest time of all")
		}
		got = append(got, due.token)
	}
	if !slices.Equal(got, []uint64{4, 1, 3, 0, 2}) {
		t.Errorf("%v", got)
	}
}
