package invariant

import (
	"maps"
	"time"
)

const (
	// drainDeadline is how long after the start of its drain a relay may still hold clients.
	drainDeadline = 4 * time.Second
	// reconfigurationWindow is how long after a reload a request may be under the former or the new terms.
	reconfigurationWindow = 1200 * time.Millisecond
	// listStableAfter is how long after its last change a relay's list is expected in its metrics.
	listStableAfter = 500 * time.Millisecond
)

// relayState is what the checker knows of one relay.
type relayState struct {
	running     bool
	restarts    int
	process     int // counts processes; an upgrade brings another one though the relay is the same
	startedAt   time.Duration
	paused      bool          // the process is stopped by its driver
	resumedAt   time.Duration // when it last went on; 0: it was never paused
	drainedAt   time.Duration // when its drain began; 0: it is not draining
	observed    Observed
	terms       requestTerms
	formerTerms requestTerms  // until the last reload that changed them
	changedAt   time.Duration // when that was

	agent         string                              // that the relay follows
	agentSince    time.Duration                       // when it began to
	agentKnows    map[string]map[string]endpointState // by agent and backend
	silentSince   map[string]time.Duration            // when an agent was last silent; forever: it still is
	known         map[string]endpointState            // by backend, as the relay was told
	backendStarts map[string]time.Duration            // by backend, as the relay was told
	listed        map[string]string                   // states of the backends in its list
	listChangedAt time.Duration
}

// RelayStarted reports that a relay's process has started and which agent it follows. known are the backends
// and their states in its configuration.
func (c *Checker) RelayStarted(relay int, agent string, known map[string]string) {
	r, now := &c.relays[relay], c.now()
	r.running, r.startedAt, r.drainedAt = true, now, 0
	r.restarts++
	r.process++
	r.observed = newObserved()
	r.agent, r.agentSince = agent, now
	r.listed, r.listChangedAt = maps.Clone(known), now
	r.backendStarts = map[string]time.Duration{}
	r.known = map[string]endpointState{}
	for name, state := range known {
		r.known[name] = endpointState{state, now}
	}
}

// RelayUpgraded reports that another process of a relay accepts connections from now on. To the rules both are
// one relay; what is observed of it is counted for each process.
func (c *Checker) RelayUpgraded(relay int) {
	r := &c.relays[relay]
	r.process++
	r.observed = newObserved()
}

// RelayStopped reports that a relay's process has ended or its machine has vanished.
func (c *Checker) RelayStopped(relay int) { c.relays[relay].running = false }

// RelayProcess returns the number of a relay's newest process.
func (c *Checker) RelayProcess(relay int) int { return c.relays[relay].process }

// SetRelayPaused reports that a relay's process is paused, or goes on. What it could not do meanwhile is no
// violation.
func (c *Checker) SetRelayPaused(relay int, paused bool) {
	r := &c.relays[relay]
	r.paused = paused
	if !paused {
		r.resumedAt = c.now()
	}
}

// wasPaused reports whether a relay's process was paused at any time since, or shortly before.
func (c *Checker) wasPaused(relay int, since time.Duration) bool {
	r := &c.relays[relay]
	return r.paused || r.resumedAt != 0 && r.resumedAt+c.limits.MaxLineDelay >= since
}

// wasPausedLately reports whether a pause of the relay's process may explain that a peer seems silent.
func (c *Checker) wasPausedLately(relay int) bool {
	return c.wasPaused(relay, c.now()-c.limits.SilenceTimeout)
}

// RelayReconfigured reports that a relay is told of other classes and attempts. Earlier requests keep the
// former ones; those that come within a while may be under either.
func (c *Checker) RelayReconfigured(relay int, classes []Class, maxAttempts int) {
	r := &c.relays[relay]
	r.formerTerms, r.terms, r.changedAt = r.terms, requestTerms{classes, maxAttempts}, c.now()
}

// SetRelayDraining reports that a relay is told to drain, or to accept clients again.
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
	drainedAt, restarts := r.drainedAt, r.restarts
	c.after(drainDeadline, func() {
		if r.drainedAt == drainedAt && r.restarts == restarts && r.running {
			c.checkDrained(relay)
		}
	})
}

// checkDrained checks that a relay whose drain is over holds no client that it could have moved.
func (c *Checker) checkDrained(relay int) {
	drainedAt := c.relays[relay].drainedAt
	for _, x := range c.clientConns {
		if x.relay != relay || !x.open() || x.backend == nil {
			continue
		}
		if !x.migrated && !x.ended && !x.backend.ended && !x.blocked {
			c.violated(RuleDrained, "relay %d still holds client %d, %v after it was told to drain", relay, x.id, c.now()-drainedAt)
		}
	}
}

// Observed is what was observed of a relay since its process started, to compare its metrics with.
type Observed struct {
	Success, Overload, Error map[string]int // final answers by class
	Ambiguous                int            // requests that may be counted in any way: the client had left, or violated the protocol
	Attempts                 int
	MinConnections           int // those that certainly have not ended
	MaxConnections           int // those that may not have ended
	Listed                   int // backends in the list, ready or draining
	Draining                 int // backends in the list
	ListStable               bool
}

func newObserved() Observed {
	return Observed{Success: map[string]int{}, Overload: map[string]int{}, Error: map[string]int{}}
}

// Observed returns what was observed of a relay's newest process.
func (c *Checker) Observed(relay int) Observed {
	r := &c.relays[relay]
	observed := r.observed
	for _, x := range c.clientConns {
		if x.relay != relay || x.process != r.process || !x.countsAsConnection() {
			continue
		}
		observed.MaxConnections++
		if x.backend != nil && !x.ended && !x.backend.ended && !x.violatesProtocol { // before UP it may still be queued
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
	observed.ListStable = c.now()-r.listChangedAt > listStableAfter
	return observed
}
