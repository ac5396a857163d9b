package balance

import (
	"math"
	"time"
)

const (
	// maxTriedBackends bounds the number of backends recorded as tried by a request.
	maxTriedBackends = 4

	// arrivalWindow is the time in which the weight of an earlier request falls to 1/e.
	arrivalWindow = time.Second
)

// request is a request from its arrival until its last attempt, or the connection established by it, has ended.
type request struct {
	Request
	hashKey  uint64 // the rendezvous order of the backends is computed from this key
	flowKey  uint64 // the sticky override is stored under this key
	grouped  bool   // hashKey is the key of the request's group
	deadline time.Duration
	answered bool // the final answer has been sent, or the client has left

	maxAttempts int // from the settings in force when the request arrived
	attempts    int
	tried       [maxTriedBackends]*backend
	backend     *backend      // of the pending attempt or the open connection; nil: neither
	index       int           // in backend.openRequests
	sentAt      time.Duration // start of the last attempt or of the health check that the request waits for
	established bool
	migrating   bool    // the client has been asked to reconnect
	load        float64 // reported load in microseconds of work a second; 0: unknown

	randomBackup   *backend // backup that a placement has chosen; the next placement uses it as the random one
	recentArrivals float64  // decayed number of earlier requests at this relay, about those of the last arrivalWindow

	bypassed    [maxBypassesUnchecked]*backend // backends not used although they could accept the request
	bypassCount int

	awaitedCheck  *backend // backend whose health check has to end before the next attempt
	checkDeadline time.Duration
	checks        int // number of health checks that the request has waited for

	retryAt time.Duration // end of the backoff; 0: none
	hedging bool          // the first attempt was cancelled to try another backend

	// The first attempt that may have executed. It limits the backends that a repeat may go to.
	mayHaveExecuted bool
	executedAt      time.Duration
	executedBackend *backend
}

// defaultRetryPolicy has the default of each field.
var defaultRetryPolicy RetryPolicy

// newRequest records a request that has arrived.
func (b *Balancer) newRequest(now time.Duration, r Request) *request {
	if r.Class < 0 || r.Class >= len(b.settings.Classes) {
		r.Class = 0
	}
	if !b.quotas.hasTenant(r.Tenant) {
		r.Tenant = 0
	}
	if r.RetryPolicy == nil {
		r.RetryPolicy = &defaultRetryPolicy
	}
	req := &request{
		Request:     r,
		maxAttempts: b.settings.MaxAttempts,
		deadline:    now + r.TimeLeft,
		load:        positiveFinite(r.ExpectedLoad),
	}
	if timeout := r.RetryPolicy.RequestTimeout; timeout > 0 {
		req.deadline = min(req.deadline, now+timeout)
	}
	if attempts := r.RetryPolicy.MaxAttempts; attempts > 0 {
		req.maxAttempts = min(req.maxAttempts, attempts)
	}
	b.assignKeys(req)
	if req.grouped {
		b.groups.record(req)
	}
	req.recentArrivals = b.arrivals.record(now)
	b.requests[r.ID] = req
	return req
}

// assignKeys sets the keys by which a request is placed. The group, if there is one, is hashed instead of the client,
// since each backend with a connection of a group does the work that the group shares.
func (b *Balancer) assignKeys(req *request) {
	req.hashKey = mixBits(req.Key)
	switch {
	case b.settings.Groups && req.Group != 0:
		req.hashKey, req.grouped = mixBits(req.Group), true
	case req.Key == 0:
		req.hashKey = mixBits(req.ID)
	}
	req.flowKey = req.hashKey
	if req.grouped {
		return
	}
	// The index of a class may change by a reload or in the successor process; the hash of its name does not.
	class := b.settings.Classes[req.Class].NameHash
	if class == 0 {
		class = uint64(req.Class)
	}
	req.flowKey = mixBits(req.hashKey ^ class)
}

// isFirstMidStreamAttempt reports whether the request carries packets of an open connection and has not been
// attempted yet.
func (r *request) isFirstMidStreamAttempt() bool { return r.MidStream && r.attempts == 0 }

// recordAttempt records an attempt that starts now.
func (r *request) recordAttempt(now time.Duration, target *backend) {
	r.tried[min(r.attempts, len(r.tried)-1)] = target
	r.attempts++
	r.sentAt = now
}

// replayAttempt records an attempt that another program has started.
func (r *request) replayAttempt(now time.Duration, attempt int, target *backend) {
	r.awaitedCheck, r.retryAt, r.answered = nil, 0, false
	r.sentAt, r.attempts = now, attempt+1
	r.tried[min(attempt, len(r.tried)-1)] = target
}

// recordExecution records an attempt that may have executed; only the first one counts.
func (r *request) recordExecution(status Status, target *backend) {
	if status.MayHaveExecuted() && !r.mayHaveExecuted {
		r.mayHaveExecuted, r.executedAt, r.executedBackend = true, r.sentAt, target
	}
}

// latencyObjective returns the time within which the connection of a request should be established.
func (b *Balancer) latencyObjective(req *request) time.Duration {
	return b.settings.Classes[req.Class].LatencyObjective
}

// pendingAttempt returns the request that a result belongs to, or nil if its last attempt is another one.
func (b *Balancer) pendingAttempt(result AttemptResult) *request {
	req := b.requests[result.ID]
	if req == nil || req.backend == nil || result.Attempt != req.attempts-1 {
		return nil
	}
	return req
}

// attempt starts the next attempt of a request, or holds the request until there is a ready backend or until its
// backend has been checked. It answers the request if no backend can accept it, if its tenant is over its quota,
// or if the pacing allows no attempt now.
func (b *Balancer) attempt(now time.Duration, req *request) {
	if len(b.endpoints.ready) == 0 {
		b.held = append(b.held, req)
		return
	}
	target := b.choosePlacement(now, req)
	for target != nil && b.bypass(now, target, req) {
		target = b.choosePlacement(now, req)
	}
	if target == nil || b.isOverQuota(req) || b.pacer.mustWait(now) && !req.MidStream {
		b.rejectOrFail(req)
		return
	}
	if b.awaitHealthCheck(now, target, req) {
		return
	}
	b.send(now, target, req)
}

// send starts an attempt at a backend.
func (b *Balancer) send(now time.Duration, target *backend, req *request) {
	req.recordAttempt(now, target)
	b.pacer.recordAttempt(now, b.rng)
	b.attach(req, target)
	target.health.recordSend()
	if b.slowStartShare(now, target) < 1 {
		target.slowStart.spend()
	}
	// Without a timeout in the policy an attempt may use all the time left: if connections are slow to establish at
	// all backends, shorter attempts would be repeated and keep them slow.
	timeout := req.deadline - now
	if limit := req.RetryPolicy.AttemptTimeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	if delay := req.RetryPolicy.HedgeDelay; delay > 0 && req.attempts == 1 {
		b.actions.SetTimer(req.ID, delay)
	}
	b.actions.Send(req.ID, target.ID, timeout)
}

// finish marks the request as answered. It is deleted once it has no attempt or connection.
func (b *Balancer) finish(req *request) {
	req.answered = true
	if req.backend == nil {
		delete(b.requests, req.ID)
	}
}

// attach adds a request to its backend and to the counts of connections and load.
func (b *Balancer) attach(req *request, target *backend) {
	req.backend, req.index = target, len(target.openRequests)
	target.openRequests = append(target.openRequests, req)
	b.concurrency.maintain(target)
	target.groupConnections[req.hashKey]++
	b.quotas.add(req.Tenant, 1)
	target.add(req, 1)
	b.loads.total.add(req, 1)
}

// detach undoes attach.
func (b *Balancer) detach(req *request) {
	target := req.backend
	last := len(target.openRequests) - 1
	moved := target.openRequests[last]
	target.openRequests[req.index], moved.index = moved, req.index
	target.openRequests[last] = nil
	target.openRequests = target.openRequests[:last]
	req.backend = nil
	b.quotas.add(req.Tenant, -1)
	target.groupConnections[req.hashKey]--
	if target.groupConnections[req.hashKey] == 0 {
		delete(target.groupConnections, req.hashKey)
	}
	target.add(req, -1)
	b.loads.total.add(req, -1)
}

// arrivalRate counts requests, with an exponentially falling weight for older ones.
type arrivalRate struct {
	recent float64
	last   time.Duration // when the last request arrived
}

// record counts a request and returns the decayed count before it.
func (a *arrivalRate) record(now time.Duration) float64 {
	a.recent *= math.Exp(-(now - a.last).Seconds() / arrivalWindow.Seconds())
	before := a.recent
	a.last = now
	a.recent++
	return before
}
