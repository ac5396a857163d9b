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
	byID          map[balance.BackendID]*upstream.Backend
	ordered       []*upstream.Backend // in the order in which they first appeared
	versions      endpointVersions
	received      bool    // a list has been applied, cached ones included
	cachedVersion *uint64 // version of the cached list in the initial configuration; nil: none
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[balance.BackendID]*upstream.Backend{}, versions: newEndpointVersions()}
}

// endpointUpdate is an entry to apply.
type endpointUpdate struct {
	discovery.Endpoint
	told     discovery.ListVersion // zero: not by discovery
	closedAt time.Duration         // when another process was told that the backend is not ready; 0: now
}

// updatesOf returns the updates that records of another process contain.
func updatesOf(records []hotrestart.BackendRecord) []endpointUpdate {
	updates := make([]endpointUpdate, 0, len(records))
	for _, record := range records {
		endpoint := discovery.Endpoint{Name: record.Name, Address: record.Address, Backend: record.Backend}
		updates = append(updates, endpointUpdate{Endpoint: endpoint, told: record.Told, closedAt: record.ClosedAt})
	}
	return updates
}

// record returns a backend's entry for another process.
func record(b *upstream.Backend, told discovery.ListVersion) hotrestart.BackendRecord {
	address := ""
	if b.HasAddress() {
		address = b.Address()
	}
	return hotrestart.BackendRecord{Name: b.Name, Address: address, Backend: b.Listed, Told: told, ClosedAt: b.ClosedAt()}
}

// records returns the backends that are not removed, for a successor process. One that drains and of which no list has had the
// address is left out: it serves nobody, and a document that contains it would be rejected.
func (t *endpointTable) records() []hotrestart.BackendRecord {
	var records []hotrestart.BackendRecord
	for _, b := range t.ordered {
		if b.Listed.State != balance.StateRemoved && b.HasAddress() && b.Address() != "" {
			records = append(records, record(b, t.versions.byBackend[b.ID]))
		}
	}
	return records
}

// listed returns the entries of the backends that are not removed, for the balancer.
func (t *endpointTable) listed() []balance.Backend {
	var entries []balance.Backend
	for _, b := range t.ordered {
		if b.Listed.State != balance.StateRemoved {
			entries = append(entries, b.Listed)
		}
	}
	return entries
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

// accepts reports whether an entry replaces what is known of its backend. An entry of an earlier epoch cannot be compared
// with that: as a change it still closes a backend, since discovery has told the relay that it is not ready, but it opens none.
func (t *endpointTable) accepts(entry balance.Backend, told discovery.ListVersion, isChange bool) bool {
	known := t.versions.of(entry.ID)
	if told.Supersedes(known) {
		return true
	}
	b := t.byID[entry.ID]
	closes := b != nil && b.Listed.State == balance.StateReady && entry.State != balance.StateReady
	return isChange && closes && !told.SameCount(known)
}

// acceptedUpdates returns the updates that an answer of discovery contains. Entries that are older than what another process
// has been told are left out of changes, and replaced by what is known in a full list.
func (t *endpointTable) acceptedUpdates(list discovery.EndpointList, told discovery.ListVersion, full bool) []endpointUpdate {
	updates := make([]endpointUpdate, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		if t.accepts(endpoint.Backend, told, !full) {
			updates = append(updates, endpointUpdate{Endpoint: endpoint, told: told})
		}
	}
	if !full {
		return updates
	}
	for _, b := range t.ordered {
		if b.Listed.State != balance.StateRemoved && !told.Supersedes(t.versions.of(b.ID)) {
			updates = append(updates, updatesOf([]hotrestart.BackendRecord{record(b, t.versions.of(b.ID))})...)
		}
	}
	return updates
}

// appliedUpdate is the result of applying updates.
type appliedUpdate struct {
	entries []balance.Backend          // for the balancer
	changed []hotrestart.BackendRecord // what discovery has told and was not known
}

// update applies a full endpoint list or changes to it. told is the version of the full list.
func (t *endpointTable) update(now time.Duration, updates []endpointUpdate, full bool, told discovery.ListVersion, log *zap.Logger) appliedUpdate {
	present := map[*upstream.Backend]bool{}
	result := appliedUpdate{entries: make([]balance.Backend, 0, len(updates))}
	for _, update := range updates {
		b := t.findOrAdd(update.Backend.ID, update.Name)
		if b.Name != update.Name {
			log.Error("backend ID hash collision, endpoint skipped", zap.String("one", b.Name), zap.String("other", update.Name))
			continue
		}
		changed := t.updateBackend(now, b, update)
		if changed && update.told.Told() {
			result.changed = append(result.changed, record(b, update.told))
		}
		present[b] = true
		result.entries = append(result.entries, update.Backend)
	}
	if full {
		result.changed = append(result.changed, t.removeMissing(now, present, told)...)
	}
	return result
}

// updateBackend applies an update to its backend and reports whether the backend's entry has changed.
func (t *endpointTable) updateBackend(now time.Duration, b *upstream.Backend, update endpointUpdate) (changed bool) {
	changed = b.Listed != update.Backend
	if update.Address != "" || !b.HasAddress() {
		changed = changed || !b.HasAddress() || b.Address() != update.Address
		b.SetAddress(update.Address)
	}
	since := now
	if update.closedAt > 0 {
		since = min(now, update.closedAt)
	}
	b.SetState(since, update.Backend.State)
	b.Listed = update.Backend
	t.versions.applied(b.ID, update.told)
	return changed
}

// removeMissing marks the backends that a full list does not contain as removed, and returns those that were not.
func (t *endpointTable) removeMissing(now time.Duration, present map[*upstream.Backend]bool, told discovery.ListVersion) (removed []hotrestart.BackendRecord) {
	for _, b := range t.ordered {
		if present[b] || b.Listed.State == balance.StateRemoved {
			continue
		}
		b.Listed.State = balance.StateRemoved
		b.SetState(now, balance.StateRemoved)
		t.versions.applied(b.ID, told)
		if told.Told() {
			removed = append(removed, record(b, told))
		}
	}
	return removed
}

// EndpointsUpdated handles an endpoint list, changes to it, or the failure to get one.
func (c *Controller) EndpointsUpdated(now time.Duration, list discovery.EndpointList, kind balance.EndpointUpdateKind) {
	c.deliver(now, func() {
		switch kind {
		case balance.UpdateFailed:
			c.balancer.EndpointsUpdated(c.now, kind, nil)
		case balance.UpdateCached:
			c.cachedEndpointsUpdated(list)
		default:
			c.discoveryAnswered(list, kind)
		}
	})
}

// cachedEndpointsUpdated applies a list that was cached before a restart.
func (c *Controller) cachedEndpointsUpdated(list discovery.EndpointList) {
	updates := make([]endpointUpdate, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		updates = append(updates, endpointUpdate{Endpoint: endpoint})
	}
	c.applyEndpoints(updates, balance.UpdateCached, discovery.ListVersion{})
}

// discoveryAnswered applies an answer of discovery and passes what has changed on to the other processes of this relay.
func (c *Controller) discoveryAnswered(list discovery.EndpointList, kind balance.EndpointUpdateKind) {
	told := c.endpoints.versions.answered(list)
	updates := c.endpoints.acceptedUpdates(list, told, kind == balance.UpdateFull)
	changed := c.applyEndpoints(updates, kind, told)
	c.sendEndpoints(hotrestart.Predecessor, changed)
	c.sendEndpoints(hotrestart.Successor, changed)
}

// applyEndpoints updates the addresses before it notifies the balancer, which may start attempts at once. It returns what has
// changed.
func (c *Controller) applyEndpoints(updates []endpointUpdate, kind balance.EndpointUpdateKind, told discovery.ListVersion) []hotrestart.BackendRecord {
	result := c.endpoints.update(c.now, updates, kind != balance.UpdateDelta, told, c.log)
	c.balancer.EndpointsUpdated(c.now, kind, result.entries)
	c.endpointsApplied()
	return result.changed
}

// endpointsApplied makes the relay ready once it has an endpoint list.
func (c *Controller) endpointsApplied() {
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
