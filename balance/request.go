package balance

import (
	"math"
	"time"
)

const (
	// maxTriedBackends bounds the backends remembered as tried by a request.
	maxTriedBackends = 4

	// arrivalWindow is the time in which the weight of a past request falls to 1/e.
	arrivalWindow = time.Second
)

// request is a request from its arrival until its last attempt has ended.
type request struct {
	Request
	hashKey  uint64 // its primary backend is hashed from this
	flowKey  uint64 // its sticky override is stored under this
	grouped  bool   // hashKey is that of its group
	deadline time.Duration
	answered bool // the final answer is out, or the client has left

	maxAttempts int // by the settings it was accepted with
	attempts    int
	tried       [maxTriedBackends]*backend
	backend     *backend      // of the pending attempt or the open connection; nil: neither
	index       int           // in backend.openRequests
	sentAt      time.Duration // start of the last attempt or of the health check it waits for
	established bool
	migrating   bool    // the client has been asked to reconnect
	load        float64 // reported load in microseconds of work a second; 0: unknown

	randomBackup   *backend // drawn at the first placement
	recentArrivals float64  // requests of this relay in the second before it

	bypassed    [maxBypassesUnchecked]*backend // passed by though they could accept the request
	bypassCount int

	awaitedCheck  *backend // its health check has to end first
	checkDeadline time.Duration
	checks        int // health checks waited for

	retryAt time.Duration // end of its backoff; 0: none
	hedging bool          // the first attempt was cancelled for another

	// The first attempt that may have executed, which limits where a repeat may go.
	mayHaveExecuted bool
	executedAt      time.Duration
	executedBackend *backend
}

// defaultRetryPolicy leaves everything to the Settings.
var defaultRetryPolicy RetryPolicy

// newRequest records a request that has arrived.
func (b *Balancer) newRequest(now time.Duration, r Request) *request {
	if r.Class < 0 || r.Class >= len(b.settings.Classes) {
		r.Class = 0
	}
	if !b.quotas.knows(r.Tenant) {
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

// assignKeys sets the keys that a request is placed by. The group is hashed where there is one, since every
// backend that holds any connection of a group pays for the work they share.
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
	// The index of a class may change by a reload or in the next process; the hash of its name does not.
	class := b.settings.Classes[req.Class].NameHash
	if class == 0 {
		class = uint64(req.Class)
	}
	req.flowKey = mixBits(req.hashKey ^ class)
}

// isFirstMidStreamAttempt reports whether the request carries packets of an open connection that have not
// been sent anywhere yet.
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

// latencyObjective is the time within which the connection should be established.
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

// attempt starts the next attempt of a request, or holds it until there is a ready backend or its backend's
// health has been checked. It rejects a request that nothing has room for.
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
		b.answer(req)
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
	// An attempt has all the time left unless its policy says less: while connections are slow to establish
	// everywhere, attempts cut short are repeated and keep them slow.
	timeout := req.deadline - now
	if limit := req.RetryPolicy.AttemptTimeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	if delay := req.RetryPolicy.HedgeDelay; delay > 0 && req.attempts == 1 {
		b.actions.SetTimer(req.ID, delay)
	}
	b.actions.Send(req.ID, target.ID, timeout)
}

// finish ends the request for its client; a pending attempt is still reported.
func (b *Balancer) finish(req *request) {
	req.answered = true
	if req.backend == nil {
		delete(b.requests, req.ID)
	}
}

// attach counts a request among those of its backend.
func (b *Balancer) attach(req *request, target *backend) {
	req.backend, req.index = target, len(target.openRequests)
	target.openRequests = append(target.openRequests, req)
	b.concurrency.watch(target)
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

// arrivalRate counts requests, older ones with an exponentially falling weight.
type arrivalRate struct {
	recent float64
	last   time.Duration // when the last request arrived
}

// record counts a request and returns what was counted before it.
func (a *arrivalRate) record(now time.Duration) float64 {
	a.recent *= math.Exp(-(now - a.last).Seconds() / arrivalWindow.Seconds())
	before := a.recent
	a.last = now
	a.recent++
	return before
}
