package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
)

// SetDiscoveryAddress switches the relay to another discovery agent.
func (r *relay) SetDiscoveryAddress(address string) {
	if r.run.hasMutation(MutationStaleDiscovery) {
		return
	}
	r.handOff(func() { r.startDiscoveryClient(address, true) })
}

// RequestEndpoints schedules a request to discovery.
func (r *relay) RequestEndpoints(watch bool) {
	r.handOff(func() {
		r.discoveryClient.Schedule(watch)
		r.requestEndpoints()
	})
}

// startDiscoveryClient starts a discovery client for an agent. Answers to the previous client are discarded.
func (r *relay) startDiscoveryClient(address string, addressChanged bool) {
	r.discoveryGeneration++
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 0xd15c))
	r.discoveryClient = discovery.NewClient(address, r.controller.Settings(), addressChanged, rng)
	if version, ok := r.controller.CachedVersion(); ok && !addressChanged {
		r.discoveryClient.ResumeFrom(version)
	}
	r.discoveryBusy = false
	r.requestEndpoints()
}

// requestEndpoints sends the discovery client's next request, if one is due.
func (r *relay) requestEndpoints() {
	if r.discoveryBusy {
		return
	}
	request, ok := r.discoveryClient.NextRequest()
	if !ok {
		return
	}
	r.discoveryBusy = true
	incarnation, generation, answered := r.incarnation, r.discoveryGeneration, false
	// An answer may arrive after the time-out, after a change of the agent or after the process has ended.
	ifCurrent := func(do func()) func() {
		return func() {
			if r.incarnation == incarnation && r.discoveryGeneration == generation && !answered {
				answered = true
				do()
			}
		}
	}
	failed := ifCurrent(func() { r.handleDiscoveryUpdate(r.discoveryClient.HandleFailure(true)) })
	r.engine.schedule(request.Timeout, failed)
	r.run.catalog.agent(r.discoveryClient.Address).request(request, func(body []byte, recordDelivery func()) {
		r.engine.schedule(r.engine.segmentDelay()/4, ifCurrent(func() {
			update, err := r.discoveryClient.HandleResponse(body)
			if err != nil {
				panic(fmt.Sprintf("simulation: discovery's answer cannot be decoded: %v", err))
			}
			recordDelivery()
			r.handleDiscoveryUpdate(update)
		}))
	})
}

// handleDiscoveryUpdate passes a changed list on to the controller and schedules the next request.
func (r *relay) handleDiscoveryUpdate(update discovery.Update) {
	if update.Changed {
		deliver := func(now time.Duration) { r.controller.EndpointsUpdated(now, update.Endpoints, update.Kind) }
		if r.run.hasMutation(MutationLateDrain) && update.Kind != balance.UpdateFailed {
			r.engine.schedule(r.controller.Settings().DrainGrace+mutationSlack, r.whileRunning(func() { r.post(deliver) }))
		} else {
			r.post(deliver)
		}
	}
	generation := r.discoveryGeneration
	r.engine.schedule(update.RetryDelay, r.whileRunning(func() {
		if r.discoveryGeneration == generation {
			r.discoveryBusy = false
			r.requestEndpoints()
		}
	}))
}

// endpointsDelivered records an answer of discovery that has reached a relay.
func (run *run) endpointsDelivered(relay int, full bool, list []endpointEntry) {
	states, starts := make(map[string]string, len(list)), make(map[string]time.Duration, len(list))
	for _, entry := range list {
		states[entry.id], starts[entry.id] = entry.state, entry.started
	}
	run.checker.EndpointsReceived(relay, full, states, starts)
	r := run.relays[relay]
	if run.engine.trace != nil {
		for _, entry := range list {
			run.engine.tracef("%s told %s %s, full list %v", r.name, entry.id, entry.state, full)
		}
	}
	if full {
		r.knownEndpoints = r.knownEndpoints[:0]
	}
	for _, entry := range list {
		r.updateKnownEndpoint(entry)
	}
}

// updateKnownEndpoint adds, replaces or removes an endpoint in the list with which the relay's next process starts.
func (r *relay) updateKnownEndpoint(entry endpointEntry) {
	i := slices.IndexFunc(r.knownEndpoints, func(known endpointEntry) bool { return known.id == entry.id })
	switch {
	case i >= 0 && entry.state == backendGone:
		r.knownEndpoints = slices.Delete(r.knownEndpoints, i, i+1)
	case i >= 0:
		r.knownEndpoints[i] = entry
	case entry.state != backendGone:
		r.knownEndpoints = append(r.knownEndpoints, entry)
	}
}
