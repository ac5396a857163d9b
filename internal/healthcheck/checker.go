// Package healthcheck decides which connection a health check uses, what its answer means, and which connections are kept
// for the next check. It does no I/O.
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

// Checker manages a relay's health checks and the connections that are kept for them. Its methods and those of its checks
// must not be called concurrently, except for RequestLine and IdleTimeout.
type Checker struct {
	settings atomic.Pointer[settings.Settings]
	capacity int               // maximum number of connections
	open     int               // number of connections, idle ones included
	idle     []*IdleConnection // the oldest first
}

// IdleConnection is a connection to a backend that is kept for its next check.
type IdleConnection struct {
	Conn    any // the caller's connection
	backend balance.BackendID
	address string
	since   time.Duration
}

// New returns a checker for at most capacity connections at once.
func New(set *settings.Settings, capacity int) *Checker {
	c := &Checker{capacity: capacity}
	c.settings.Store(set)
	return c
}

// SetSettings replaces the settings. They also apply to connections that are idle already.
func (c *Checker) SetSettings(set *settings.Settings) { c.settings.Store(set) }

// Resize changes the capacity. It closes no connection; a new one is dialled only once fewer than the capacity are open.
func (c *Checker) Resize(capacity int) { c.capacity = capacity }

// Connections returns the number of open connections, idle ones included.
func (c *Checker) Connections() int { return c.open }

// RequestLine returns the request of a check. It asks for a load report if the settings name fields of one.
func (c *Checker) RequestLine() string {
	if len(c.settings.Load().ReportFieldNames) > 0 {
		return protocol.RequestStats
	}
	return protocol.RequestPing
}

// IdleTimeout returns how long a connection is kept; 0: not at all. It is shorter than the time after which backends close
// idle connections, so that a check rarely finds its connection closed.
func (c *Checker) IdleTimeout() time.Duration { return c.settings.Load().IdleTimeout * 3 / 4 }

// Start starts a check of a backend. It never waits for a free connection: the balancer would mistake the wait for a backend
// that does not answer.
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
	isFresh := now-idle.since < c.IdleTimeout() // a reload may have shortened the time-out
	if idle.address == check.Address && isFresh {
		check.conn, check.reused = idle.Conn, true
		return check, Step{Send: idle.Conn}
	}
	c.open--
	step := check.dial(now)
	step.Close = append(step.Close, idle.Conn)
	return check, step
}

// ExpireIdle removes a connection that has been idle for IdleTimeout, for the caller to close. It returns false if the
// connection is in use again or closed.
func (c *Checker) ExpireIdle(idle *IdleConnection) bool {
	i := slices.Index(c.idle, idle)
	if i < 0 {
		return false
	}
	c.takeIdle(i)
	c.open--
	return true
}

// DropIdle removes the idle connection to a backend and returns it, for the caller to close; nil: there is none.
func (c *Checker) DropIdle(id balance.BackendID) (conn any) {
	i := c.idleIndex(id)
	if i < 0 {
		return nil
	}
	c.open--
	return c.takeIdle(i).Conn
}

// DropAllIdle removes all idle connections and returns them, for the caller to close.
func (c *Checker) DropAllIdle() (conns []any) {
	for len(c.idle) > 0 {
		c.open--
		conns = append(conns, c.takeIdle(0).Conn)
	}
	return conns
}

// idleIndex returns the index of the idle connection to a backend; -1: there is none.
func (c *Checker) idleIndex(id balance.BackendID) int {
	return slices.IndexFunc(c.idle, func(idle *IdleConnection) bool { return idle.backend == id })
}

// takeIdle removes the idle connection at index i from the list; it still counts as open.
func (c *Checker) takeIdle(i int) *IdleConnection {
	idle := c.idle[i]
	c.idle = slices.Delete(c.idle, i, i+1)
	return idle
}
