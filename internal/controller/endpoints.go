package controller

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/upstream"
)

// endpointTable holds all backends that any endpoint list has contained. A removed backend is kept, for sessions that are
// still open there.
type endpointTable struct {
	byID              map[balance.BackendID]*upstream.Backend
	ordered           []*upstream.Backend // in the order in which they first appeared
	received          bool                // a list has been applied, cached ones included
	discoveryAnswered bool                // a list has been received from discovery
	cachedVersion     *uint64             // version of the cached list in the initial configuration; nil: none
}

// records returns the backends that are not removed, for a successor process.
func (t *endpointTable) records() []hotrestart.BackendRecord {
	var records []hotrestart.BackendRecord
	for _, b := range t.ordered {
		if b.Listed.State != balance.StateRemoved {
			records = append(records, hotrestart.BackendRecord{Name: b.Name, Address: b.Address(), Backend: b.Listed})
		}
	}
	return records
}

// findOrAdd returns the backend with an ID, and adds it if the ID is new.
func (t *endpointTable) findOrAdd(id balance.BackendID, name string) *upstream.Backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &upstream.Backend{ID: id, Name: name}
	t.byID[id] = b
	t.ordered = append(t.ordered, b)
	return b
}

// update applies a full endpoint list or changes to it, and returns its entries for the balancer.
func (t *endpointTable) update(now time.Duration, list discovery.EndpointList, full bool, log *zap.Logger) []balance.Backend {
	present := map[*upstream.Backend]bool{}
	entries := make([]balance.Backend, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		b := t.findOrAdd(endpoint.Backend.ID, endpoint.Name)
		if b.Name != endpoint.Name {
			log.Error("backend ID hash collision, endpoint skipped", zap.String("one", b.Name), zap.String("other", endpoint.Name))
			continue
		}
		if endpoint.Address != "" || !b.HasAddress() {
			b.SetAddress(endpoint.Address)
		}
		b.SetState(now, endpoint.Backend.State)
		b.Listed = endpoint.Backend
		present[b] = true
		entries = append(entries, endpoint.Backend)
	}
	if full {
		t.removeMissing(now, present)
	}
	return entries
}

// removeMissing marks the backends that a full list does not contain as removed.
func (t *endpointTable) removeMissing(now time.Duration, present map[*upstream.Backend]bool) {
	for _, b := range t.ordered {
		if !present[b] {
			b.Listed.State = balance.StateRemoved
			b.SetState(now, balance.StateRemoved)
		}
	}
}

// EndpointsUpdated handles an endpoint list, changes to it, or the failure to get one.
func (c *Controller) EndpointsUpdated(now time.Duration, list discovery.EndpointList, kind balance.EndpointUpdateKind) {
	c.deliver(now, func() {
		if kind != balance.UpdateCached && kind != balance.UpdateFailed {
			c.endpoints.discoveryAnswered = true
		}
		c.updateEndpoints(list, kind)
	})
}

// updateEndpoints updates the addresses before it notifies the balancer, which may start attempts at once.
func (c *Controller) updateEndpoints(list discovery.EndpointList, kind balance.EndpointUpdateKind) {
	if kind == balance.UpdateFailed {
		c.balancer.EndpointsUpdated(c.now, kind, nil)
		return
	}
	entries := c.endpoints.update(c.now, list, kind != balance.UpdateDelta, c.log)
	c.balancer.EndpointsUpdated(c.now, kind, entries)
	c.ready.Store(true)
	if !c.endpoints.received {
		c.endpoints.received = true
		c.driver.EndpointsReceived()
	}
}

// HealthCheckDone passes the result of a health check to the balancer.
func (c *Controller) HealthCheckDone(now time.Duration, result balance.HealthCheckResult) {
	c.deliver(now, func() { c.balancer.HealthCheckDone(c.now, result) })
}
