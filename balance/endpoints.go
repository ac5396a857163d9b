package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// removedLifetime is how long a backend is kept after it has left the list.
	removedLifetime = 10 * time.Minute

	// minPollBackoff is the least time before the list is asked for again.
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

// recordStateChange records that a backend enters another state.
func (t *endpointTable) recordStateChange(now time.Duration, target *backend) {
	target.stateSince = now
	if target.State == StateReady {
		t.lastLoss = now
	}
}

// hasLostWithin reports whether a ready backend ceased to be ready within the time before now.
func (t *endpointTable) hasLostWithin(now, window time.Duration) bool {
	return t.lastLoss != 0 && now-t.lastLoss < window
}

// removeUnlisted marks the backends that a whole list does not name as removed.
func (t *endpointTable) removeUnlisted(now time.Duration, entries []Backend) {
	listed := make(map[BackendID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range t.byID {
		if !listed[s.ID] && s.State != StateRemoved {
			t.recordStateChange(now, s)
			s.State = StateRemoved
		}
	}
}

// collectReady rebuilds the sorted list of ready backends and forgets those removed long ago.
func (t *endpointTable) collectReady(now time.Duration) {
	t.ready = t.ready[:0]
	for id, s := range t.byID {
		if s.State == StateReady {
			t.ready = append(t.ready, s)
		} else if s.State == StateRemoved && s.connections == 0 && now-s.stateSince > removedLifetime {
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

// updateEndpoint applies one entry of the list. A restarted process does not inherit the
// ejection and the limits of the one before.
func (b *Balancer) updateEndpoint(now time.Duration, entry Backend) *backend {
	target := b.endpoints.byID[entry.ID]
	if target == nil {
		target = newBackend(now, entry.ID, len(b.settings.Classes))
		b.endpoints.byID[entry.ID] = target
	}
	restarted := entry.ReadyAt != target.ReadyAt || target.State == StateDraining
	if entry.State == StateReady && restarted {
		offset := time.Duration(b.rng.Float64() * float64(b.settings.OverloadWindow))
		target.forgetHistory(now, offset)
	}
	if entry.State != target.State {
		b.endpoints.recordStateChange(now, target)
	}
	target.Backend = entry
	return target
}

// newBackend returns a backend of which nothing is known but its ID.
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

// forgetHistory forgets what was observed of the process before. The slow start begins after the offset.
func (s *backend) forgetHistory(now, offset time.Duration) {
	s.ejection.lift()
	s.concurrency.remove()
	s.latency.forget()
	s.health.expire(now)
	s.slowStart.reset(now, offset)
}

// endpointPolling says when to ask for the endpoint list again.
type endpointPolling struct {
	retryAt time.Duration // 0: no need
	backoff time.Duration
}

// scheduleRetry sets the time of the next poll after a failed one: exponential backoff up to half of the
// poll interval, with jitter.
func (p *endpointPolling) scheduleRetry(now, pollInterval time.Duration, rng *rand.Rand) {
	p.backoff = min(max(minPollBackoff, 2*p.backoff), max(minPollBackoff, pollInterval/2))
	p.retryAt = now + time.Duration(float64(p.backoff)*(0.5+rng.Float64()))
}

// reset ends the retries once the list has been read.
func (p *endpointPolling) reset() { *p = endpointPolling{} }

// isDue reports whether it is time to poll.
func (p *endpointPolling) isDue(now time.Duration) bool { return p.retryAt > 0 && now >= p.retryAt }

// requestEndpoints subscribes to the endpoint list. A request that is never answered is repeated after the
// poll interval.
func (b *Balancer) requestEndpoints(now time.Duration) {
	b.actions.WatchEndpoints(true)
	b.endpoints.polling.retryAt = now + max(minPollBackoff, b.settings.PollInterval)
}
