package controller

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// drainNotice is how long sessions stay after a drain: a client migrated before load balancers in front have
	// noticed the drain would come right back.
	drainNotice = 300 * time.Millisecond
	// drainMigrationTime is the time within which all sessions are migrated after drainNotice.
	drainMigrationTime = 2500 * time.Millisecond
)

// drainState is whether the relay is drained, as requested and as applied.
type drainState struct {
	requested  atomic.Bool
	applied    bool
	generation uint64 // counts changes of applied, so that a timer of an earlier drain is told apart
}

// SetDrained requests a drain or takes the request back; Ready follows at once, sessions with ApplyDrain. It may be
// called from any goroutine.
func (c *Controller) SetDrained(on bool) { c.drain.requested.Store(on) }

// Drained reports whether a drain is requested. It may be called from any goroutine.
func (c *Controller) Drained() bool { return c.drain.requested.Load() }

// ApplyDrain has the sessions follow SetDrained: they are migrated after drainNotice, or no longer. New clients are
// served all the same. Undraining does not stop the migration of a relay that is shutting down.
func (c *Controller) ApplyDrain(now time.Duration) {
	on := c.drain.requested.Load()
	if on == c.drain.applied {
		return
	}
	c.drain.applied = on
	c.drain.generation++
	c.log.Info("drain state changed", zap.Bool("on", on), zap.Int("connections", c.sessions.len()))
	c.deliver(now, func() {
		switch {
		case on:
			c.setTimer(drainTimer, c.drain.generation, drainNotice)
		case !c.shutdown.started.Load():
			c.balancer.DrainBy(c.now, 0)
		}
	})
}

// migrateDrained starts the migration of a drain, unless it is over or a shutdown has taken its place.
func (c *Controller) migrateDrained(generation uint64) {
	if c.drain.applied && generation == c.drain.generation && !c.shutdown.started.Load() {
		c.balancer.DrainBy(c.now, c.now+drainMigrationTime)
	}
}
