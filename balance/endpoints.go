package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// removedLifetime is how long the record of a backend without connections is kept after the backend has been removed
	// from the endpoint list.
	removedLifetime = 10 * time.Minute

	// minPollBackoff is the minimum backoff between two requests for the endpoint list, before jitter.
	minPollBackoff = time.Second
)

// endpointTable holds the backends of the endpoint list.
type endpointTable struct {
	byID     map[BackendID]*backend
	ready    []*backend    // sorted by ID
	lastLoss time.Duration // when a ready backend last ceased to be ready; 0: never
	polling  endpointPolling
}

func newEndpointTable() endpointTable { return endpointTable{byID: map[BackendID]*backend{}} }

// recordStateChange records when a backend leaves its present state.
func (t *endpointTable) recordStateChange(now time.Duration, target *backend) {
	target.stateSince = now
	if target.State == StateReady {
		t.lastLoss = now
	}
}

// lostBackendWithin reports whether a ready backend ceased to be ready within the given time before now.
func (t *endpointTable) lostBackendWithin(now, window time.Duration) bool {
	return t.lastLoss != 0 && now-t.lastLoss < window
}

// removeUnlisted marks the backends that are not in a full list as removed.
func (t *endpointTable) removeUnlisted(now time.Duration, entries []Backend) {
	listed := make(map[BackendID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, target := range t.byID {
		if !listed[target.ID] && target.State != StateRemoved {
			t.recordStateChange(now, target)
			target.State = StateRemoved
		}
	}
}

// collectReady rebuilds the sorted list of ready backends and deletes backends without connections that were removed more
// than removedLifetime ago.
func (t *endpointTable) collectReady(now time.Duration) {
	t.ready = t.ready[:0]
	for id, target := range t.byID {
		if target.State == StateReady {
			t.ready = append(t.ready, target)
		} else if target.State == StateRemoved && target.connections == 0 && now-target.stateSince > removedLifetime {
			delete(t.byID, id)
		}
	}
	slices.SortFunc(t.ready, func(x, y *backend) int { return cmp.Compare(x.ID, y.ID) })
}

// updateEndpoints applies an update of the endpoint list.
func (b *Balancer) updateEndpoints(now time.Duration, kind EndpointUpdateKind, entries []Backend) {
	if kind != UpdateDelta {
		b.endpoints.removeUnlisted(now, entries)
	}
	for i := range entries {
		b.updateEndpoint(now, entries[i])
	}
	b.endpoints.collectReady(now)
}

// updateEndpoint applies one entry of the endpoint list. A backend that has been restarted, or is ready again after
// draining, loses its ejection, its limit and its other history.
func (b *Balancer) updateEndpoint(now time.Duration, entry Backend) *backend {
	target := b.endpoints.byID[entry.ID]
	if target == nil {
		target = newBackend(now, entry.ID, len(b.settings.Classes))
		b.endpoints.byID[entry.ID] = target
	}
	restarted := entry.ReadyAt != target.ReadyAt || target.State == StateDraining
	if entry.State == StateReady && restarted {
		offset := time.Duration(b.rng.Float64() * float64(b.settings.OverloadWindow))
		target.resetHistory(now, offset)
	}
	if entry.State != target.State {
		b.endpoints.recordStateChange(now, target)
	}
	target.Backend = entry
	return target
}

// newBackend returns a backend of which only the ID is known.
func newBackend(now time.Duration, id BackendID, classes int) *backend {
	target := &backend{
		rendezvousSlot:   newRendezvousSlot(id),
		loadSums:         loadSums{unreported: make([]int, classes)},
		groupConnections: map[uint64]int{},
		stateSince:       now,
	}
	target.health.expire(now)
	return target
}

// resetHistory discards the observations of the backend's previous process. The first slow start window begins
// after the offset.
func (target *backend) resetHistory(now, offset time.Duration) {
	target.ejection.remove()
	target.concurrency.remove()
	target.latency.discard()
	target.health.expire(now)
	target.slowStart.reset(now, offset)
}

// endpointPolling schedules the next request for the endpoint list.
type endpointPolling struct {
	retryAt time.Duration // 0: none is scheduled
	backoff time.Duration
}

// scheduleRetry sets the time of the next poll after a failed one: exponential backoff of up to half of the
// poll interval, with jitter.
func (p *endpointPolling) scheduleRetry(now, pollInterval time.Duration, rng *rand.Rand) {
	p.backoff = min(max(minPollBackoff, 2*p.backoff), max(minPollBackoff, pollInterval/2))
	p.retryAt = now + time.Duration(float64(p.backoff)*(0.5+rng.Float64()))
}

// reset cancels the scheduled retry and resets the backoff.
func (p *endpointPolling) reset() { *p = endpointPolling{} }

// isDue reports whether it is time to poll.
func (p *endpointPolling) isDue(now time.Duration) bool { return p.retryAt > 0 && now >= p.retryAt }

// requestEndpoints subscribes to the endpoint list. The request is repeated after the poll interval, at least
// minPollBackoff, if it has no answer by then.
func (b *Balancer) requestEndpoints(now time.Duration) {
	b.actions.WatchEndpoints()
	b.endpoints.polling.retryAt = now + max(minPollBackoff, b.settings.PollInterval)
}
