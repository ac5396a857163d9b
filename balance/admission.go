package balance

import "time"

const (
	// nearLimit is the fraction of its concurrency limit from which a backend has little spare capacity.
	nearLimit = 0.8

	// maxGroups bounds the number of groups whose demand is counted.
	maxGroups = 1 << 14

	// minGroupDemand is the decayed number of requests below which a group's count is deleted.
	minGroupDemand = 0.25

	// defaultRetryAfter is the retry-after time of a rejection, unless Settings.MaxRetryAfter is less.
	defaultRetryAfter = time.Second
)

// quotas counts the connections of each tenant on this relay.
type quotas struct {
	connections []int
}

func newQuotas(tenants int) quotas { return quotas{connections: make([]int, max(1, tenants))} }

func (q *quotas) hasTenant(tenant int) bool { return tenant >= 0 && tenant < len(q.connections) }

func (q *quotas) add(tenant, count int) { q.connections[tenant] += count }

// total returns the number of connections of all tenants.
func (q *quotas) total() int {
	total := 0
	for _, count := range q.connections {
		total += count
	}
	return total
}

// isOverQuota reports whether the tenant of a request has reached its quota on this relay while at least half of
// the backends are near their limit. Only then do connections over the quota take capacity from other tenants.
func (b *Balancer) isOverQuota(req *request) bool {
	if req.Tenant >= len(b.settings.Tenants) || b.settings.OverQuotaPriority >= 1 || req.MidStream {
		return false
	}
	quota := b.settings.Tenants[req.Tenant].ConnectionQuota / float64(b.settings.RelayCount)
	if quota <= 0 || float64(b.quotas.connections[req.Tenant]) < quota {
		return false
	}
	return 2*b.countNearLimit() >= len(b.endpoints.ready)
}

// rejectOrFail ends a request with a rejection if a retry by the client is known to be safe, otherwise with a failure.
func (b *Balancer) rejectOrFail(req *request) {
	if b.isClientRetrySafe(req) {
		b.actions.Reject(req.ID, min(b.settings.MaxRetryAfter, defaultRetryAfter))
	} else {
		b.actions.Fail(req.ID)
	}
	b.finish(req)
}

// isClientRetrySafe reports whether the client may repeat the request, whichever backend it is then sent to.
func (b *Balancer) isClientRetrySafe(req *request) bool {
	if !req.mayHaveExecuted {
		return true
	}
	class := &b.settings.Classes[req.Class]
	if class.Idempotency == IdempotentWithKey {
		return class.DedupScope == ScopeAll
	}
	return class.Idempotency == Idempotent
}

// groupDemand counts the requests of each group, with a lower weight for older ones.
type groupDemand struct {
	requests map[uint64]float64 // by hash key
	total    float64
}

func newGroupDemand() groupDemand { return groupDemand{requests: map[uint64]float64{}} }

// record counts a new request. Repeats and reconnects are not counted: otherwise the demand of a group would seem to
// grow while its requests are rejected.
func (g *groupDemand) record(req *request) {
	if req.ClientRetry || req.Reconnecting {
		return
	}
	if len(g.requests) >= maxGroups && g.requests[req.hashKey] <= 0 {
		return
	}
	g.requests[req.hashKey]++
	g.total++
}

// share returns the fraction of the recent requests of all groups that belong to one group.
func (g *groupDemand) share(key uint64) float64 { return g.requests[key] / max(1, g.total) }

// decay halves the weight of the requests counted so far. The total is a sum of binary fractions, so it is exact
// and does not depend on the iteration order of the map.
func (g *groupDemand) decay() {
	g.total = 0
	for key, count := range g.requests {
		count /= 2
		if count < minGroupDemand {
			delete(g.requests, key)
			continue
		}
		g.requests[key] = count
		g.total += count
	}
}
