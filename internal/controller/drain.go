package controller

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// drainNotice is the time from a drain to the first migration: a client migrated before load balancers in front have
	// detected the drain would be sent back here.
	drainNotice = 300 * time.Millisecond
	// drainMigrationTime is the time within which all sessions are migrated after drainNotice.
	drainMigrationTime = 2500 * time.Millisecond
)

// drainState is whether the relay is drained, as requested and as applied.
type drainState struct {
	requested  atomic.Bool
	applied    bool
	generation uint64 // counts changes of applied, to recognize a timer of an earlier drain
}

// SetDrained requests a drain or cancels the request. It affects Ready at once, and the sessions once ApplyDrain is
// called. It may be called from any goroutine.
func (c *Controller) SetDrained(drained bool) { c.drain.requested.Store(drained) }

// Drained reports whether a drain is requested. It may be called from any goroutine.
func (c *Controller) Drained() bool { return c.drain.requested.Load() }

// ApplyDrain applies the request of SetDrained to the sessions: their migration starts after drainNotice, or stops. New
// clients are still served. Undraining does not stop the migration of a relay that is shutting down.
func (c *Controller) ApplyDrain(now time.Duration) {
	drained := c.drain.requested.Load()
	if drained == c.drain.applied {
		return
	}
	c.drain.applied = drained
	c.drain.generation++
	c.log.Info("drain state changed", zap.Bool("on", drained), zap.Int("connections", c.sessions.len()))
	c.deliver(now, func() {
		switch {
		case drained:
			c.setTimer(drainTimer, c.drain.generation, drainNotice)
		case !c.shutdown.started.Load():
			c.balancer.DrainBy(c.now, 0)
		}
	})
}

// migrateDrained starts the migration of a drain, unless the drain has ended or a shutdown has started.
func (c *Controller) migrateDrained(generation uint64) {
	if c.drain.applied && generation == c.drain.generation && !c.shutdown.started.Load() {
		c.balancer.DrainBy(c.now, c.now+drainMigrationTime)
	}
}
