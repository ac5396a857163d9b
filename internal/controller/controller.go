// Package controller is the core of one relay: it routes events of sessions, health checks, discovery and other relays
// to the balancer, turns the balancer's actions into commands for a Driver, and runs the relay's lifecycle (start,
// reload, drain, hot restart, graceful shutdown).
//
// It does no I/O, reads no clock and starts no goroutine: the caller passes each event with its time, and external
// effects are calls of the Driver. Package relay runs it on sockets, package simulation on a virtual clock.
//
// Its parts:
//
//	controller.go      Controller and its accessors
//	config.go          Config, and the allocation of descriptors and memory
//	driver.go          Driver, the interface to sockets, timers and other I/O
//	start.go           New and readiness
//	events.go          delivery of events, with recovery from panics
//	timers.go          timer kinds and the timer queue
//	sessions.go        the table of open sessions
//	session_events.go  events of a session
//	endpoints.go       the endpoint list and health check results
//	endpoint_versions.go  the order of what discovery has told the processes of a relay
//	shared_endpoints.go   the endpoint list of two processes of one relay
//	actions.go         the balancer's actions as calls of the Driver
//	peers.go           datagrams of other relays
//	membership.go      which relays are active
//	reload.go          application of a changed configuration
//	drain.go           draining and undraining
//	shutdown.go        graceful shutdown
//	hotrestart.go      state passed between two processes of one relay
//	requestids.go      request IDs that two processes of one relay share
//	shadow.go          the clock and timers of the shadow evaluation
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

// Controller is the core of one relay. Its methods are called one at a time, except those that are documented as
// callable from any goroutine. Times are on the driver's clock; they never decrease.
type Controller struct {
	config     Config             // in force
	settings   *settings.Settings // in force; immutable, replaced by a reload
	classNames []string           // of all classes, indexed by class number, retired ones included
	log        *zap.Logger
	driver     Driver
	metrics    *metrics.Registry
	balancer   decision.Decider
	shadow     *shadow.Evaluator // nil: no shadow evaluation

	now      time.Duration // time of the event that is being delivered
	deferred []func()      // events that the balancer's own actions caused, delivered after the current one

	timers         timerQueue
	sessions       sessionTable
	endpoints      endpointTable
	endpointExport endpointExport
	peers          peerTable
	membership     membershipState
	descriptors    descriptorBudget
	requestIDs     requestIDState
	drain          drainState
	shutdown       shutdownState

	startedAt            time.Duration
	ready                atomic.Bool // an endpoint list has been received, or maxWaitForEndpoints has passed
	replaced             atomic.Bool // a successor process accepts new connections
	messageDelayReported bool        // a LOAD line has reported message delay
}

// Metrics returns the counters and gauges. They may be read from any goroutine.
func (c *Controller) Metrics() *metrics.Registry { return c.metrics }

// Settings returns the settings in force. They are immutable; a reload replaces them.
func (c *Controller) Settings() *settings.Settings { return c.settings }

// Config returns the configuration in force.
func (c *Controller) Config() Config { return c.config }

// Ready reports whether clients may be sent to this relay: not before the first endpoint list, and not while the relay is
// drained. A relay without a list becomes ready after maxWaitForEndpoints: when discovery is down for all relays, some
// relay still has to answer the clients. It may be called from any goroutine.
func (c *Controller) Ready() bool { return c.ready.Load() && !c.drain.requested.Load() }

// SetReplaced sets whether a successor process accepts new connections, and returns the previous value. It may be
// called from any goroutine.
func (c *Controller) SetReplaced(replaced bool) (previous bool) { return c.replaced.Swap(replaced) }

// Replaced reports whether a successor process accepts new connections. It may be called from any goroutine.
func (c *Controller) Replaced() bool { return c.replaced.Load() }

// Balancer returns the Decider, for checks.
func (c *Controller) Balancer() decision.Decider { return c.balancer }

// Backends returns all backends that any endpoint list has contained, in the order in which they first appeared.
func (c *Controller) Backends() []*upstream.Backend { return c.endpoints.ordered }

// CachedVersion returns the version of the cached endpoint list in the initial configuration; ok is false if there was
// no list or it had malformed entries.
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
