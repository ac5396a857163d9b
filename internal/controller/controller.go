// Package controller is the core of one relay: it routes events of sessions, health checks, discovery and other relays
// to the balancer, turns the balancer's actions into commands for a Driver, and runs the relay's lifecycle (start,
// reload, drain, hot restart, graceful shutdown).
//
// It does no I/O, reads no clock and starts no goroutine: every event comes with its time, and whatever must happen
// outside is a call of the Driver. Package relay drives it on sockets, package simulation on a virtual clock.
//
// Its parts:
//
//	controller.go      Controller and its accessors
//	config.go          Config, and how descriptors and memory are shared out
//	driver.go          Driver, what the controller asks of its surroundings
//	start.go           New and readiness
//	events.go          delivery of an event, with panics confined to it
//	timers.go          timer kinds and the timer queue
//	sessions.go        the table of open sessions
//	session_events.go  what happens to a session
//	endpoints.go       the endpoint list and health check results
//	actions.go         what the balancer's actions become
//	peers.go           datagrams of other relays
//	membership.go      which relays are active
//	reload.go          taking over a changed configuration
//	drain.go           draining and undraining
//	shutdown.go        graceful shutdown
//	hotrestart.go      state passed between two processes of one relay
//	shadow.go          the evaluation of a second configuration
package controller

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/shadow"
	"aspenbarrow/internal/upstream"
)

// Controller is the core of one relay. Its methods are called one at a time, except those that say that they may be
// called from any goroutine. Times are on the driver's clock; they never decrease.
type Controller struct {
	config     Config             // in force
	settings   *settings.Settings // in force; replaced whole by a reload, never changed
	classNames []string           // of all classes by number, retired ones included
	log        *zap.Logger
	driver     Driver
	metrics    *metrics.Registry
	balancer   decision.Decider
	shadow     *shadow.Evaluator // nil: no shadow evaluation

	now      time.Duration // time of the event that is being delivered
	deferred []func()      // events that the balancer's own actions caused, delivered after the current one

	timers      timerQueue
	sessions    sessionTable
	endpoints   endpointTable
	peers       peerTable
	membership  membershipState
	descriptors descriptorBudget
	drain       drainState
	shutdown    shutdownState

	startedAt            time.Duration
	ready                atomic.Bool // has an endpoint list, or has waited long enough for one
	replaced             atomic.Bool // a successor process accepts new connections
	messageDelayReported bool        // a LOAD line has reported a late message, as the settings promise
}

// Metrics returns the counters and gauges. They may be read from any goroutine.
func (c *Controller) Metrics() *metrics.Registry { return c.metrics }

// Settings returns the settings in force. They never change; a reload puts others in their place.
func (c *Controller) Settings() *settings.Settings { return c.settings }

// Config returns the configuration in force.
func (c *Controller) Config() Config { return c.config }

// Ready reports whether clients may be sent here: not before the first endpoint list, and not while the relay is
// drained. A relay that has had no list for maxWaitForEndpoints is ready as well: when discovery is out for all relays,
// somebody has to tell clients so. It may be called from any goroutine.
func (c *Controller) Ready() bool { return c.ready.Load() && !c.drain.requested.Load() }

// SetReplaced sets whether a successor process accepts new connections, and returns the value before. It may be called
// from any goroutine.
func (c *Controller) SetReplaced(on bool) (was bool) { return c.replaced.Swap(on) }

// Replaced reports whether a successor process accepts new connections. It may be called from any goroutine.
func (c *Controller) Replaced() bool { return c.replaced.Load() }

// Balancer returns what makes the decisions, for checks.
func (c *Controller) Balancer() decision.Decider { return c.balancer }

// Backends returns all backends that any endpoint list has named, in the order in which they were first named.
func (c *Controller) Backends() []*upstream.Backend { return c.endpoints.ordered }

// CachedVersion returns the version of the endpoint list that the configuration held at the start; ok is false if it
// held none or one with malformed entries.
func (c *Controller) CachedVersion() (version uint64, ok bool) {
	if c.endpoints.cachedVersion == nil {
		return 0, false
	}
	return *c.endpoints.cachedVersion, true
}

// TimerCount returns how many timers are set.
func (c *Controller) TimerCount() int { return c.timers.len() }

// SessionCount returns how many sessions are open.
func (c *Controller) SessionCount() int { return c.sessions.len() }
