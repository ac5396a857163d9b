package testcluster

import (
	"fmt"
	"time"

	"aspenbarrow/internal/fault"
)

// delayDiscovery adds a delay to the updates of all agents.
func delayDiscovery(owner *cluster, f *fault.Fault, effects *effectCounters) func() {
	service := owner.discovery
	set := func(d time.Duration) {
		service.mu.Lock()
		defer service.mu.Unlock()
		service.extraDelay = d
	}
	set(time.Second + time.Duration(f.Severity*float64(6*time.Second)))
	effects.affected.Add(int64(len(service.agents)))
	return func() { set(0) }
}

// affectedAgents returns the discovery agents that a fault affects.
func (c *cluster) affectedAgents(f *fault.Fault) (out []*discoveryAgent) {
	if f.Targets == nil && f.Severity > 0.5 {
		return c.discovery.agents
	}
	for _, i := range targetIndexes(f, len(c.relays)) {
		out = append(out, c.discovery.agents[i])
	}
	return out
}

// silenceDiscovery makes agents stop answering requests.
func silenceDiscovery(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	agents := c.affectedAgents(f)
	for _, agent := range agents {
		agent.setSilent(c, true)
		effects.affected.Add(1)
	}
	return func() {
		for _, agent := range agents {
			agent.setSilent(c, false)
		}
	}
}

// stopDiscovery makes all agents refuse connections, as if no discovery service were running.
func stopDiscovery(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	if !c.discovery.stopListening() {
		return nil
	}
	effects.affected.Add(int64(len(c.discovery.agents)))
	c.reportAgentsSilent(true)
	return func() {
		if err := c.discovery.listen(); err != nil {
			c.reportError(fmt.Errorf("%s: %w", scriptPosition(f), err))
			return
		}
		c.reportAgentsSilent(false)
	}
}

// reportAgentsSilent tells the checker that all agents have stopped answering, or answer again.
func (c *cluster) reportAgentsSilent(silent bool) {
	c.withChecker(func() {
		for i := range c.relays {
			c.checker.SetAgentSilent(i, c.ports.discoveryAddr(i), silent)
		}
	})
}

// freezeDiscovery makes the agents of some relays ignore updates. When the fault ends, they receive the current state of
// all backends.
func freezeDiscovery(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	agents := c.affectedAgents(f)
	for _, agent := range agents {
		agent.mu.Lock()
		agent.frozen = true
		agent.mu.Unlock()
		effects.affected.Add(1)
	}
	return func() {
		for _, agent := range agents {
			agent.mu.Lock()
			agent.frozen = false
			agent.mu.Unlock()
			for _, b := range c.currentBackends() {
				b.mu.Lock()
				e := b.endpoint()
				b.mu.Unlock()
				c.discovery.mu.Lock()
				c.discovery.revision++
				e.revision = c.discovery.revision
				c.discovery.mu.Unlock()
				agent.applyUpdate(c, e)
			}
		}
	}
}
