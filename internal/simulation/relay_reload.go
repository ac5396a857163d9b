package simulation

import (
	"fmt"
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
)

// reload has the running process load a configuration.
func (r *relay) reload(cfg controller.Config) {
	r.post(func(now time.Duration) {
		if err := r.controller.Reload(now, r.mutate(cfg), cfg.MaxDescriptors); err != nil {
			panic(fmt.Sprintf("simulation: relay %s rejects a valid configuration: %v", r.name, err))
		}
		if r.run.hasMutation(MutationStaleIdempotency) {
			s := r.controller.Settings().Settings
			s.Classes = slices.Clone(s.Classes)
			for i := range s.Classes {
				if i >= len(r.run.settings.Classes) { // added by a reload
					s.Classes[i].Idempotency = balance.Idempotent
				}
			}
			r.controller.Balancer().UpdateSettings(s)
		}
		r.reloadCount++
		if !r.run.hasMutation(MutationReloadsUncounted) {
			r.controller.Metrics().Reloaded(true)
		}
	})
}

// reloadRelay has a relay load a configuration with its other discovery agent or with other limits.
func (run *run) reloadRelay(r *relay, otherAgent bool, descriptors, memoryMB int) {
	r = run.relays[r.number] // a hot restart may have replaced the process
	if !r.up || r.lowDescriptors && !otherAgent {
		return
	}
	cfg := r.cfg
	if otherAgent {
		cfg.Discovery = run.switchAgent(r)
	}
	cfg.MaxDescriptors, cfg.MemoryMB = descriptors, memoryMB
	r.cfg = cfg
	run.count("reload")
	run.checker.RelayFollowsAgent(r.number, cfg.Discovery)
	r.reload(cfg)
}

// switchAgent brings a relay's other discovery agent up to date, freezes the current one and returns the address
// of the other.
func (run *run) switchAgent(r *relay) string {
	address := r.cfg.Discovery
	for _, agent := range run.catalog.agents {
		if agent.relay != r.number || agent.address == r.cfg.Discovery {
			continue
		}
		address = agent.address
		agent.frozen = false
		for _, b := range run.backends {
			entry := b.entry()
			entry.revision = run.catalog.revision
			agent.applyUpdate(entry)
		}
		break
	}
	for _, agent := range run.catalog.agents {
		if agent.relay == r.number && agent.address == r.cfg.Discovery {
			agent.frozen = true
		}
	}
	return address
}
