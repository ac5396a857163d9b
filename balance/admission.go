package balance

import "time"

const (
	// nearLimit is the fraction of its concurrency limit from which a backend is short of room.
	nearLimit = 0.8

	// maxGroups bounds the groups whose demand is counted.
	maxGroups = 1 << 14

	// minGroupDemand is the decayed number of requests below which a group is forgotten.
	minGroupDemand = 0.25

	// defaultRetryAfter is the retry-after time of a rejection, where the settings allow as much.
	defaultRetryAfter = time.Second
)

// quotas counts the connections of each tenant on this relay.
type quotas struct {
	connections []int
}

func newQuotas(tenants int) quotas { return quotas{connections: make([]int, max(1, tenants))} }

func (q *quotas) knows(tenant int) bool { return tenant >= 0 && tenant < len(q.connections) }

func (q *quotas) add(tenant, count int) { q.connections[tenant] += count }

// total is the number of connections of all tenants.
func (q *quotas) total() int {
	total := 0
	for _, count := range q.connections {
		total += count
	}
	return total
}

// isOverQuota reports whether the tenant of a request holds its quota here while half of the backends are
// short of room: only then does what it asks beyond its share take the room of others.
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

// answer gives the final answer: a rejection where a retry by the client is known to be safe, else a failure.
func (b *Balancer) answer(req *request) {
	if b.isClientRetrySafe(req) {
		b.actions.Reject(req.ID, min(b.settings.MaxRetryAfter, defaultRetryAfter))
	} else {
		b.actions.Fail(req.ID)
	}
	b.finish(req)
}

// isClientRetrySafe reports whether the client may repeat the request wherever it is then sent.
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

// groupDemand counts the requests of each group, older ones with a lower weight.
type groupDemand struct {
	requests map[uint64]float64 // by hash key
	total    float64
}

func newGroupDemand() groupDemand { return groupDemand{requests: map[uint64]float64{}} }

// record counts a new request. A client that comes again counts once: a group that is rejected would
// otherwise seem to grow.
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

// share is the fraction of the recent requests that belong to a group.
func (g *groupDemand) share(key uint64) float64 { return g.requests[key] / max(1, g.total) }

// decay halves the weight of what was counted so far. The total is a sum of binary fractions, hence exact
// and the same in any order of the map.
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
