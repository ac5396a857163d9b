// Package upstream is what sessions and health checks share of a backend: its name, its address and whether it takes new
// work.
package upstream

import (
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
)

// Backend is what a session needs to know of a backend. The controller writes it; sessions and health checks may read
// it from any goroutine, Listed excepted.
type Backend struct {
	ID       balance.BackendID
	Name     string
	address  atomic.Pointer[string]
	closedAt atomic.Int64    // when it was first listed as draining or removed, on the relay's clock; 0: open
	Listed   balance.Backend // its last entry in the endpoint list; for the controller alone
}

// Address is where the backend listens, by the last endpoint list that named an address.
func (b *Backend) Address() string { return *b.address.Load() }

// HasAddress reports whether any endpoint list has named an address yet.
func (b *Backend) HasAddress() bool { return b.address.Load() != nil }

// SetAddress replaces the address, for dials to come.
func (b *Backend) SetAddress(address string) { b.address.Store(&address) }

// SetState takes in the state that the endpoint list gives, and keeps the time from which the backend takes no new work.
func (b *Backend) SetState(now time.Duration, state balance.BackendState) {
	if state == balance.StateReady {
		b.closedAt.Store(0)
	} else {
		b.closedAt.CompareAndSwap(0, int64(now))
	}
}

// ClosedAt is when the backend was first listed as draining or removed; 0 while it is open.
func (b *Backend) ClosedAt() time.Duration { return time.Duration(b.closedAt.Load()) }
