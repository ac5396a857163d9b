package upstream

import (
	"testing"
	"time"

	"aspenbarrow/balance"
)

func TestBackend_Address(t *testing.T) {
	var b Backend
	if b.HasAddress() {
		t.Error("a new backend has an address")
	}
	b.SetAddress("h:1")
	b.SetAddress("h:2")
	if !b.HasAddress() || b.Address() != "h:2" {
		t.Errorf("address %q, want \"h:2\"", b.Address())
	}
}

func TestBackend_ClosedAtKeepsTheFirstTime(t *testing.T) {
	var b Backend
	for _, step := range []struct {
		at    time.Duration
		state balance.BackendState
		want  time.Duration
	}{
		{1, balance.StateReady, 0},
		{2, balance.StateDraining, 2},
		{3, balance.StateDraining, 2},
		{4, balance.StateRemoved, 2},
		{5, balance.StateReady, 0},
		{6, balance.StateRemoved, 6},
	} {
		b.SetState(step.at, step.state)
		if got := b.ClosedAt(); got != step.want {
			t.Errorf("ClosedAt is %v after state %v at %v, want %v", got, step.state, step.at, step.want)
		}
	}
}
