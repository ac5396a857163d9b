package invariant

import (
	"maps"
	"time"
)

// The states of backends in lists, as discovery writes them.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// forever is later than any time of a run, with room for durations to be added to it.
const forever time.Duration = 1 << 62

// endpointState is the state of a backend in a list, and since when.
type endpointState struct {
	state string
	since time.Duration
}

// changesTo reports whether a backend begins or ceases to accept requests with its next state. Between the
// states that want nothing new the first one counts.
func (s endpointState) changesTo(state string) bool {
	return s.state != state && (s.state == stateReady || state == stateReady)
}

// backendState is what the checker knows of one backend.
type backendState struct {
	name        string
	cell        int
	started     time.Duration   // 0: it has always been warm
	recentOpens []time.Duration // within the overload window
}

// AddBackend names the next backend, in their order.
func (c *Checker) AddBackend(name string, cell int) {
	c.backends = append(c.backends, backendState{name: name, cell: cell})
}

// BackendStarted reports that a backend's process has started.
func (c *Checker) BackendStarted(backend int, at time.Duration) {
	c.backends[backend].started, c.backends[backend].recentOpens = at, nil
}

// RelayFollowsAgent reports that a relay is told to follow an agent of discovery.
func (c *Checker) RelayFollowsAgent(relay int, agent string) {
	r := &c.relays[relay]
	if r.agent != agent {
		r.agent, r.agentSince = agent, c.now()
	}
}

// EndpointsReceived reports that an answer of discovery has arrived at a relay: the whole list or what has
// changed, with the states and the starts of its backends.
func (c *Checker) EndpointsReceived(relay int, full bool, states map[string]string, starts map[string]time.Duration) {
	r := &c.relays[relay]
	r.listChangedAt = c.now()
	maps.Copy(r.backendStarts, starts)
	if full {
		r.listed = map[string]string{}
		c.removeMissing(r, states)
	}
	maps.Copy(r.listed, states)
	for name, state := range states {
		if known, ok := r.known[name]; ok && !known.changesTo(state) {
			continue
		}
		r.known[name] = endpointState{state, c.now()}
		if state != stateReady {
			c.countPendingAttempts(relay, name)
		}
	}
}

// removeMissing marks the backends as gone that a whole list does not have.
func (c *Checker) removeMissing(r *relayState, states map[string]string) {
	for name, known := range r.known {
		if _, ok := states[name]; !ok && known.state != stateGone {
			r.known[name] = endpointState{stateGone, c.now()}
		}
	}
}

// countPendingAttempts counts the attempts that are pending at a backend when a relay hears that it drains.
func (c *Checker) countPendingAttempts(relay int, name string) {
	for _, b := range c.backendConns {
		if b.relay == relay && b.request != nil && b.answer == "" && c.backends[b.backend].name == name {
			c.Counts["drain met an attempt in flight"]++
		}
	}
}

// AgentLearned reports that an agent of discovery has learned a backend's state.
func (c *Checker) AgentLearned(relay int, agent, backend, state string) {
	r := &c.relays[relay]
	if r.agentKnows[agent] == nil {
		r.agentKnows[agent] = map[string]endpointState{}
	}
	if known, ok := r.agentKnows[agent][backend]; !ok || known.changesTo(state) {
		r.agentKnows[agent][backend] = endpointState{state, c.now()}
	}
}

// SetAgentSilent reports that an agent falls silent, or answers again.
func (c *Checker) SetAgentSilent(relay int, agent string, silent bool) {
	c.relays[relay].silentSince[agent] = c.now()
	if silent {
		c.relays[relay].silentSince[agent] = forever
	}
}

// closedSince returns when a relay was told that a backend accepts no requests. ok is false if it may still
// send some.
func (c *Checker) closedSince(relay int, backend string) (at time.Duration, ok bool) {
	r := &c.relays[relay]
	if known, ok := r.known[backend]; ok && known.state != stateReady {
		return known.since, true
	}
	if learned, ok := r.agentKnows[r.agent][backend]; ok && learned.state != stateReady {
		at := max(learned.since, r.agentSince, r.startedAt, r.silentSince[r.agent]) + c.limits.DiscoveryDelay
		return at, c.now() > at
	}
	return 0, false
}
