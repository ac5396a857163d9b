package invariant

import (
	"maps"
	"time"
)

const (
	// drainDeadline is how long after the start of its drain a relay may hold clients.
	drainDeadline = 4 * time.Second
	// reconfigurationWindow is how long after a reload a request may be handled by the previous or the new policy.
	reconfigurationWindow = 1200 * time.Millisecond
	// listStableAfter is how long after its last change a relay's metrics must match its endpoint list.
	listStableAfter = 500 * time.Millisecond
)

// relayState is the checker's state of one relay.
type relayState struct {
	running         bool
	restarts        int
	process         int // number of the newest process; a hot restart starts another one of the same relay
	startedAt       time.Duration
	paused          bool          // the driver has stopped the process
	pausedAt        time.Duration // when it was last paused
	resumedAt       time.Duration // when it was last resumed; 0: it was never paused
	drainedAt       time.Duration // when its drain began; 0: it is not draining
	observed        Observed
	policy          requestPolicy
	previousPolicy  requestPolicy // before the last reload that changed it
	policyChangedAt time.Duration // time of that reload; 0: none

	agent              string                              // address of the discovery agent that the relay uses
	agentFollowedSince time.Duration                       // when the relay began to use it
	agentStates        map[string]map[string]endpointState // by agent and backend, as the agent received them
	agentRespondsSince map[string]time.Duration            // by agent, when it last resumed answering; forever: it does not answer
	endpoints          map[string]endpointState            // by backend, as the relay received them
	backendStarts      map[string]time.Duration            // by backend, as the relay received them
	listed             map[string]string                   // states of the backends in its endpoint list
	listChangedAt      time.Duration
}

// RelayStarted reports that a relay's process has started and which discovery agent it uses. states holds the
// states of the backends in its configuration.
func (c *Checker) RelayStarted(relay int, agent string, states map[string]string) {
	r, now := &c.relays[relay], c.now()
	r.running, r.startedAt, r.drainedAt = true, now, 0
	r.restarts++
	r.process++
	r.observed = newObserved()
	r.agent, r.agentFollowedSince = agent, now
	r.listed, r.listChangedAt = maps.Clone(states), now
	r.backendStarts = map[string]time.Duration{}
	r.endpoints = map[string]endpointState{}
	for name, state := range states {
		r.endpoints[name] = endpointState{state, now}
	}
	c.memberStarted(relay, false)
}

// RelayHotRestarted reports that the successor in a hot restart accepts a relay's connections from now on. The rules
// treat both processes as one relay; Observed counts each process separately.
func (c *Checker) RelayHotRestarted(relay int) {
	r := &c.relays[relay]
	r.process++
	r.observed = newObserved()
	c.memberStarted(relay, true)
}

// RelayStopped reports that a relay's process has ended or its machine has failed.
func (c *Checker) RelayStopped(relay int) {
	c.relays[relay].running = false
	c.memberStopped(relay)
}

// RelayProcess returns the number of a relay's newest process.
func (c *Checker) RelayProcess(relay int) int { return c.relays[relay].process }

// SetRelayPaused reports that a relay's process has been paused or resumed. What it did not do because of the pause
// is not a violation.
func (c *Checker) SetRelayPaused(relay int, paused bool) {
	r := &c.relays[relay]
	r.paused = paused
	if paused {
		r.pausedAt = c.now()
	} else {
		r.resumedAt = c.now()
	}
	c.memberPaused(relay, paused)
}

// wasPaused reports whether a relay's process was paused at or after the given time, or within MaxLineDelay
// before it.
func (c *Checker) wasPaused(relay int, since time.Duration) bool {
	r := &c.relays[relay]
	return r.paused || r.resumedAt != 0 && r.resumedAt+c.limits.MaxLineDelay >= since
}

// recentlyPaused reports whether a peer may appear silent because the relay's process was paused.
func (c *Checker) recentlyPaused(relay int) bool {
	return c.wasPaused(relay, c.now()-c.limits.SilenceTimeout)
}

// RelayReconfigured reports a reload of a relay with other classes or another attempt limit. Earlier requests keep
// the previous policy; requests that arrive within reconfigurationWindow may be handled by either.
func (c *Checker) RelayReconfigured(relay int, classes []Class, maxAttempts int) {
	r := &c.relays[relay]
	r.previousPolicy, r.policy, r.policyChangedAt = r.policy, requestPolicy{classes, maxAttempts}, c.now()
}

// SetRelayDraining reports a command to a relay to drain, or to accept clients again.
func (c *Checker) SetRelayDraining(relay int, draining bool) {
	r := &c.relays[relay]
	if !draining {
		r.drainedAt = 0
		return
	}
	if r.drainedAt != 0 {
		return
	}
	r.drainedAt = c.now()
	c.checkDrainedAfter(relay, drainDeadline)
}

// checkDrainedAfter calls checkDrained after a delay if the relay's drain is still in force then. Time for which the relay's
// process was paused does not count: the deadline starts anew when it is resumed.
func (c *Checker) checkDrainedAfter(relay int, delay time.Duration) {
	r := &c.relays[relay]
	drainedAt, restarts := r.drainedAt, r.restarts
	c.after(delay, func() {
		switch deadline := r.resumedAt + drainDeadline; {
		case r.drainedAt != drainedAt || r.restarts != restarts || !r.running:
		case r.paused:
			c.checkDrainedAfter(relay, drainDeadline)
		case r.resumedAt > drainedAt && deadline > c.now():
			c.checkDrainedAfter(relay, deadline-c.now())
		default:
			c.checkDrained(relay)
		}
	})
}

// checkDrained checks that a relay past its drain deadline holds no client that it could have migrated.
func (c *Checker) checkDrained(relay int) {
	drainedAt := c.relays[relay].drainedAt
	for _, client := range c.clientConns {
		if client.relay != relay || !client.open() || client.backend == nil {
			continue
		}
		if !client.migrated && !client.ended && !client.backend.ended && !client.blocked {
			c.reportViolation(RuleDrained, "relay %d still holds client %d %v after its drain began", relay, client.id, c.now()-drainedAt)
		}
	}
}

// Observed is what the checker observed of a relay's process since its start, for comparison with the relay's metrics.
type Observed struct {
	Success, Overload, Error map[string]int // final answers by class
	Ambiguous                int            // requests that any of the three may count: the client had left, or violated the protocol
	Attempts                 int
	MinConnections           int  // connections that are certainly open
	MaxConnections           int  // connections that may be open
	Listed                   int  // backends in the list, ready or draining
	Draining                 int  // draining backends in the list
	ListStable               bool // the list has not changed within listStableAfter, nor the relay been paused
}

func newObserved() Observed {
	return Observed{Success: map[string]int{}, Overload: map[string]int{}, Error: map[string]int{}}
}

// Observed returns what was observed of a relay's newest process.
func (c *Checker) Observed(relay int) Observed {
	r := &c.relays[relay]
	observed := r.observed
	for _, client := range c.clientConns {
		if client.relay != relay || client.process != r.process || !client.countsAsConnection() {
			continue
		}
		observed.MaxConnections++
		// Before UP the connection may still be queued.
		if client.backend != nil && !client.ended && !client.backend.ended && !client.violatesProtocol {
			observed.MinConnections++
		}
	}
	for _, state := range r.listed {
		switch state {
		case stateDraining:
			observed.Draining++
			observed.Listed++
		case stateReady:
			observed.Listed++
		}
	}
	observed.ListStable = !r.paused && c.now()-max(r.listChangedAt, r.resumedAt) > listStableAfter
	return observed
}
