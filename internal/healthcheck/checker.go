// Package healthcheck decides which connection a health check goes out on, what its answer means, and which connections
// are kept for the next check. It does no I/O.
package healthcheck

import (
	"slices"
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// Checker is a relay's health checks and the connections that are kept for them. Its methods, and those of its checks, are
// called one at a time.
type Checker struct {
	settings atomic.Pointer[settings.Settings]
	capacity int
	open     int               // connections, idle ones included
	idle     []*IdleConnection // the oldest first
}

// IdleConnection is a connection to a backend that is kept for its next check.
type IdleConnection struct {
	Conn    any // the caller's
	backend balance.BackendID
	address string
	since   time.Duration
}

// New is a checker for so many connections at once.
func New(set *settings.Settings, capacity int) *Checker {
	c := &Checker{capacity: capacity}
	c.settings.Store(set)
	return c
}

// SetSettings replaces the settings, for connections that are kept already too.
func (c *Checker) SetSettings(set *settings.Settings) { c.settings.Store(set) }

// Resize changes the capacity; connections over it are used up first.
func (c *Checker) Resize(capacity int) { c.capacity = capacity }

// Connections is how many connections there are, idle ones included.
func (c *Checker) Connections() int { return c.open }

// RequestLine is the line of a check; it asks for a load report where backends give one.
func (c *Checker) RequestLine() string {
	if len(c.settings.Load().ReportFieldNames) > 0 {
		return protocol.RequestStats
	}
	return protocol.RequestPing
}

// IdleTimeout is how long a connection is kept; 0: not at all. It is shorter than the time after which backends close idle
// connections, so that a check seldom finds its connection closed.
func (c *Checker) IdleTimeout() time.Duration { return c.settings.Load().IdleTimeout * 3 / 4 }

// Start begins a check of a backend. It never waits for a connection to be free: the balancer would take a check that waits
// here for a backend that is silent.
func (c *Checker) Start(now time.Duration, backend *upstream.Backend) (*Check, Step) {
	check := &Check{
		Backend:   backend,
		Address:   backend.Address(),
		StartedAt: now,
		Deadline:  now + 2*c.settings.Load().DialTimeout,
		Result:    balance.HealthCheckResult{Backend: backend.ID},
		checker:   c,
	}
	i := c.idleIndex(backend.ID)
	if i < 0 {
		return check, check.dial(now)
	}
	idle := c.takeIdle(i)
	isFresh := now-idle.since < c.IdleTimeout() // a reload may have shortened it
	if idle.address == check.Address && isFresh {
		check.conn, check.reused = idle.Conn, true
		return check, Step{Send: idle.Conn}
	}
	c.open--
	step := check.dial(now)
	step.Close = append(step.Close, idle.Conn)
	return check, step
}

// ExpireIdle takes in that a connection was kept for IdleTimeout. It returns false where the connection is in use again or
// closed.
func (c *Checker) ExpireIdle(idle *IdleConnection) bool {
	i := slices.Index(c.idle, idle)
	if i < 0 {
		return false
	}
	c.takeIdle(i)
	c.open--
	return true
}

// DropIdle gives up the idle connection to a backend and returns it, to be closed; nil: there is none.
func (c *Checker) DropIdle(id balance.BackendID) (conn any) {
	i := c.idleIndex(id)
	if i < 0 {
		return nil
	}
	c.open--
	return c.takeIdle(i).Conn
}

// DropAllIdle gives up all idle connections and returns them, to be closed.
func (c *Checker) DropAllIdle() (conns []any) {
	for len(c.idle) > 0 {
		c.open--
		conns = append(conns, c.takeIdle(0).Conn)
	}
	return conns
}

// idleIndex is where the idle connection to a backend stands; -1: there is none.
func (c *Checker) idleIndex(id balance.BackendID) int {
	return slices.IndexFunc(c.idle, func(idle *IdleConnection) bool { return idle.backend == id })
}

// takeIdle removes a connection from the idle ones; it stays open.
func (c *Checker) takeIdle(i int) *IdleConnection {
	idle := c.idle[i]
	c.idle = slices.Delete(c.idle, i, i+1)
	return idle
}
