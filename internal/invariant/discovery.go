package invariant

import (
	"maps"
	"time"
)

// The states of backends in endpoint lists, as discovery writes them.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// forever is later than any time of a run, but small enough that adding a duration does not overflow.
const forever time.Duration = 1 << 62

// endpointState is the state of a backend in an endpoint list, and since when.
type endpointState struct {
	state string
	since time.Duration
}

// changesReadiness reports whether a backend starts or stops accepting requests by changing to the given state.
// A change from draining to gone does neither, so that since stays the time when the backend stopped.
func (s endpointState) changesReadiness(state string) bool {
	return s.state != state && (s.state == stateReady || state == stateReady)
}

// backendState is the checker's state of one backend.
type backendState struct {
	name        string
	cell        int
	started     time.Duration   // 0: it was warm from the beginning of the run
	recentOpens []time.Duration // times of requests within the overload window
}

// AddBackend adds a backend. Backends are referred to by index, in the order they are added.
func (c *Checker) AddBackend(name string, cell int) {
	c.backends = append(c.backends, backendState{name: name, cell: cell})
}

// BackendStarted reports that a backend's process has started.
func (c *Checker) BackendStarted(backend int, at time.Duration) {
	c.backends[backend].started, c.backends[backend].recentOpens = at, nil
}

// RelayFollowsAgent reports that a relay has been configured to use the given discovery agent.
func (c *Checker) RelayFollowsAgent(relay int, agent string) {
	r := &c.relays[relay]
	if r.agent != agent {
		r.agent, r.agentFollowedSince = agent, c.now()
	}
}

// EndpointsReceived reports that an answer of discovery has arrived at a relay: the full endpoint list or the changed
// entries, with the states and start times of the backends.
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
		if endpoint, ok := r.endpoints[name]; ok && !endpoint.changesReadiness(state) {
			continue
		}
		r.endpoints[name] = endpointState{state, c.now()}
		if state != stateReady {
			c.countPendingAttempts(relay, name)
		}
	}
}

// removeMissing marks the backends that a full list does not contain as gone.
func (c *Checker) removeMissing(r *relayState, states map[string]string) {
	for name, endpoint := range r.endpoints {
		if _, ok := states[name]; !ok && endpoint.state != stateGone {
			r.endpoints[name] = endpointState{stateGone, c.now()}
		}
	}
}

// countPendingAttempts counts the attempts that are pending at a backend when discovery reports it to the relay as
// not ready.
func (c *Checker) countPendingAttempts(relay int, name string) {
	for _, b := range c.backendConns {
		if b.relay == relay && b.request != nil && b.answer == "" && c.backends[b.backend].name == name {
			c.Counts["drain met an attempt in flight"]++
		}
	}
}

// AgentStateChanged reports that a discovery agent has received a backend's state.
func (c *Checker) AgentStateChanged(relay int, agent, backend, state string) {
	r := &c.relays[relay]
	if r.agentStates[agent] == nil {
		r.agentStates[agent] = map[string]endpointState{}
	}
	if endpoint, ok := r.agentStates[agent][backend]; !ok || endpoint.changesReadiness(state) {
		r.agentStates[agent][backend] = endpointState{state, c.now()}
	}
}

// SetAgentSilent reports that a discovery agent has stopped answering or answers again.
func (c *Checker) SetAgentSilent(relay int, agent string, silent bool) {
	c.relays[relay].agentRespondsSince[agent] = c.now()
	if silent {
		c.relays[relay].agentRespondsSince[agent] = forever
	}
}

// notReadySince returns when a relay received, or must have received, the state in which a backend accepts no requests.
// ok is false if the relay may still send some.
func (c *Checker) notReadySince(relay int, backend string) (at time.Duration, ok bool) {
	r := &c.relays[relay]
	if endpoint, ok := r.endpoints[backend]; ok && endpoint.state != stateReady {
		return endpoint.since, true
	}
	if endpoint, ok := r.agentStates[r.agent][backend]; ok && endpoint.state != stateReady {
		at := max(endpoint.since, r.agentFollowedSince, r.startedAt, r.agentRespondsSince[r.agent]) + c.limits.DiscoveryDelay
		return at, c.now() > at
	}
	return 0, false
}
