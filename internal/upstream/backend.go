// Package upstream defines the state of a backend that sessions and health checks share: its name, its address and whether it
// accepts new work. It does not connect to backends, and it does not choose between them.
package upstream

import (
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
)

// Backend is one backend of the endpoint list. The controller writes it; sessions and health checks may read all of it
// except Listed from any goroutine.
type Backend struct {
	ID     balance.BackendID
	Name   string
	Listed balance.Backend // last entry in the endpoint list; for the controller alone

	address  atomic.Pointer[string]
	closedAt atomic.Int64 // nanoseconds on the relay's clock; 0: open
}

// Address returns the address from the last endpoint list that contained one. It panics if none has.
func (b *Backend) Address() string { return *b.address.Load() }

// HasAddress reports whether any endpoint list has contained an address of the backend.
func (b *Backend) HasAddress() bool { return b.address.Load() != nil }

// SetAddress replaces the address for new connections.
func (b *Backend) SetAddress(address string) { b.address.Store(&address) }

// SetState records the time from which a backend accepts no new work by its state in the endpoint list. StateReady opens
// the backend again.
func (b *Backend) SetState(now time.Duration, state balance.BackendState) {
	if state == balance.StateReady {
		b.closedAt.Store(0)
		return
	}
	b.closedAt.CompareAndSwap(0, int64(now))
}

// ClosedAt returns when the backend was first listed as draining or removed, on the relay's clock; 0 while it is open.
func (b *Backend) ClosedAt() time.Duration { return time.Duration(b.closedAt.Load()) }
