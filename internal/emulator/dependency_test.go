package emulator

import (
	"slices"
	"testing"
	"time"
)

// TestDependency_SlowsByQueueing checks that the dependency slows its users by the wait for a slot, not by a factor.
func TestDependency_SlowsByQueueing(t *testing.T) {
	d := NewDependency(2)
	for i := range uint64(6) {
		d.Acquire(0, i, 100*ms)
	}
	if d.Waiting() != 4 {
		t.Errorf("%d waiting, want 4", d.Waiting())
	}
	var order []uint64
	for at, ok := d.NextRelease(); ok; at, ok = d.NextRelease() {
		for _, id := range d.Release(at) {
			order = append(order, id)
			if want := time.Duration(id/2+1) * 100 * ms; at != want {
				t.Errorf("%d released at %v, want %v", id, at, want)
			}
		}
	}
	if !slices.Equal(order, []uint64{0, 1, 2, 3, 4, 5}) {
		t.Errorf("released in the order %v, want 0 to 5", order)
	}
	d.SetSlowdown(10)
	d.Acquire(time.Second, 9, 100*ms)
	if at, _ := d.NextRelease(); at != 2*time.Second {
		t.Errorf("next release at %v at a slowdown of 10, want 2s", at)
	}
	if done := d.Release(5 * time.Second); !slices.Equal(done, []uint64{9}) {
		t.Errorf("released %v, want [9]", done)
	}
}
