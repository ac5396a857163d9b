package balance

import (
	"fmt"
	"time"
)

// InvariantError reports that the counts of connections disagree.
type InvariantError struct {
	Total     int // counted over all backends
	ByBackend int // sum of the backends' counts
	Listed    int // sum of the lengths of the backends' lists
	ByGroup   int // sum of the groups' counts
	ByTenant  int // sum of the tenants' counts
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("%d connections in all, %d by backend, %d in lists, %d by group, %d by tenant",
		e.Total, e.ByBackend, e.Listed, e.ByGroup, e.ByTenant)
}

func (e *InvariantError) isConsistent() bool {
	return e.Total == e.ByBackend && e.Total == e.Listed && e.Total == e.ByGroup && e.Total == e.ByTenant
}

// CheckInvariants returns an *InvariantError if the connections counted in all, by backend, by group and
// by tenant disagree. It may be called at any time between two events.
func (b *Balancer) CheckInvariants() error {
	counts := &InvariantError{Total: b.loads.total.connections, ByTenant: b.quotas.total()}
	for _, target := range b.endpoints.byID {
		counts.ByBackend += target.connections
		counts.Listed += len(target.openRequests)
		for _, count := range target.groupConnections {
			counts.ByGroup += count
		}
	}
	if counts.isConsistent() {
		return nil
	}
	return counts
}

// Connections returns the number of pending and open connections, and the sum of the backends' counts,
// which must be equal.
func (b *Balancer) Connections() (all, byBackend int) {
	for _, target := range b.endpoints.byID {
		byBackend += target.connections
	}
	return b.loads.total.connections, byBackend
}

// CountUnavailable returns how many backends are in the endpoint list, and how many of them get no new request
// now because they are draining, ejected or at their limit.
func (b *Balancer) CountUnavailable(now time.Duration) (listed, unavailable int) {
	for id, target := range b.endpoints.byID {
		if target.State == StateRemoved {
			continue
		}
		listed++
		if b.Unavailable(now, id) {
			unavailable++
		}
	}
	return listed, unavailable
}

// Unavailable reports whether a listed backend gets no new request now.
func (b *Balancer) Unavailable(now time.Duration, id BackendID) bool {
	target := b.endpoints.byID[id]
	if target == nil || target.State == StateRemoved {
		return false
	}
	if target.State == StateDraining || target.ejection.isActive(now) {
		return true
	}
	limit := target.concurrency.limit
	return limit > 0 && target.connections > 0 && b.loads.trackedLoad(&target.loadSums) >= limit
}
