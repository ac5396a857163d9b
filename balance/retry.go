package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultRetryDeposit is the fraction of a retry that each request adds to the budget.
	defaultRetryDeposit = 0.2

	// maxAttemptInterval bounds the time between paced attempts, before jitter, so that a recovery is detected.
	maxAttemptInterval = 16 * time.Second

	// attemptIntervalSamples is the weight of past intervals in the mean interval between attempts, in samples.
	attemptIntervalSamples = 8
)

// retryBudget limits the number of retries to a fraction of the number of requests.
type retryBudget struct {
	tokens float64
}

// deposit adds to the budget, which holds at most one retry for each ready backend.
func (r *retryBudget) deposit(tokens float64, backends int) {
	r.tokens = min(r.tokens+tokens, float64(backends))
}

func (r *retryBudget) isEmpty() bool { return r.tokens < 1 }

func (r *retryBudget) withdraw() { r.tokens-- }

// retryDeposit returns what a request adds to the retry budget. If its policy sets the amount, a request that the
// client repeats adds nothing.
func retryDeposit(req *request) float64 {
	if req.ClientRetry && req.RetryPolicy.RetryBudget > 0 {
		return 0
	}
	return cmp.Or(max(0, req.RetryPolicy.RetryBudget), defaultRetryDeposit)
}

// finishOrRetry ends a request or retries it, after an attempt or a connection has ended.
func (b *Balancer) finishOrRetry(now time.Duration, req *request, closed bool) {
	switch {
	case req.answered || closed || req.established:
		b.finish(req)
	case !b.mayRetry(now, req):
		b.rejectOrFail(req)
	default:
		b.retryBudget.withdraw()
		b.retry(now, req)
	}
}

// mayRetry reports whether the limits on attempts, time and retries allow another attempt, at whatever backend.
func (b *Balancer) mayRetry(now time.Duration, req *request) bool {
	if req.attempts >= req.maxAttempts {
		return false
	}
	if now+b.settings.Tick >= req.deadline {
		return false
	}
	return !b.retryBudget.isEmpty() && !b.pacer.mustWait(now)
}

// retry makes another attempt after the backoff of the request's policy. It answers the request at once if the
// deadline comes before the end of the backoff.
func (b *Balancer) retry(now time.Duration, req *request) {
	if req.RetryPolicy.BaseBackoff == 0 || req.hedging {
		req.hedging = false
		b.attempt(now, req)
		return
	}
	wait := backoff(req.RetryPolicy, req.attempts, b.rng)
	if now+wait+b.settings.Tick >= req.deadline {
		b.rejectOrFail(req)
		return
	}
	req.retryAt = now + wait
	b.actions.SetTimer(req.ID, wait)
}

// backoff returns the exponential backoff after a number of attempts, shortened at random by up to half.
func backoff(policy *RetryPolicy, attempts int, rng *rand.Rand) time.Duration {
	wait := policy.BaseBackoff
	for range attempts - 1 {
		wait *= 2
		if policy.MaxBackoff > 0 {
			wait = min(wait, policy.MaxBackoff)
		}
	}
	return time.Duration((0.5 + rng.Float64()/2) * float64(wait))
}

// hedge cancels a first attempt that has had no answer within the hedge delay, if another backend can accept the
// request then. The second attempt starts once the first is known to have ended; the two never run at once.
func (b *Balancer) hedge(now time.Duration, req *request) {
	if !b.mayHedge(now, req) {
		return
	}
	afterCancel := *req // the request if the cancelled attempt has executed
	afterCancel.mayHaveExecuted, afterCancel.executedAt, afterCancel.executedBackend = true, req.sentAt, req.backend
	alternative := b.rendezvous.first(req.hashKey, func(target *backend) bool { return b.canAccept(now, target, &afterCancel) })
	if alternative != nil {
		req.hedging = true
		b.actions.Cancel(req.ID, 0)
	}
}

// mayHedge reports whether the pending attempt of a request may be hedged now.
func (b *Balancer) mayHedge(now time.Duration, req *request) bool {
	delay := req.RetryPolicy.HedgeDelay
	if delay <= 0 || !b.settings.Cancellation {
		return false
	}
	if req.hedging || req.attempts != 1 || now-req.sentAt < delay {
		return false
	}
	return req.maxAttempts >= 2 && !b.retryBudget.isEmpty()
}

// mayRepeatAt reports whether an attempt at a backend is safe: a request that is not idempotent must not execute
// twice. A repeat reaches the backend only after its connection has been established, which has to happen within
// the deduplication window.
func (b *Balancer) mayRepeatAt(now time.Duration, target *backend, req *request) bool {
	if !req.mayHaveExecuted {
		return true
	}
	class := &b.settings.Classes[req.Class]
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		connectTimeout := max(b.settings.DialTimeout, req.RetryPolicy.ConnectTimeout)
		if now+connectTimeout-req.executedAt >= class.DedupWindow-b.settings.Tick {
			return false
		}
		return class.DedupScope.covers(target, req.executedBackend)
	}
	return false
}

// covers reports whether a backend discards repeats of a request that another backend has executed.
func (d DedupScope) covers(target, executed *backend) bool {
	switch d {
	case ScopeAll:
		return true
	case ScopeZone:
		return target.Zone == executed.Zone
	case ScopeCell:
		return target.Cell == executed.Cell
	}
	return false
}

func (r *request) hasTried(target *backend) bool { return slices.Contains(r.tried[:], target) }

// attemptPacer spaces attempts out while connections of successive requests fail or are slow to establish at
// different backends, since the bottleneck is then a shared one. As in TCP congestion control, two such connections
// in a row halve the rate, at most once per round trip, and each quick one raises it by half. Failures of a single
// request do not count.
type attemptPacer struct {
	lastSlowBackend *backend // backend of the last connection if that was slow or failed; nil: it was quick
	lastRequest     uint64   // ID of the request of the last connection
	meanInterval    time.Duration
	lastAttempt     time.Duration
	interval        time.Duration // minimum time between two attempts; 0: none
	nextAttempt     time.Duration // no attempt may start before this time
	rateHalvedAt    time.Duration
}

// mustWait reports whether no attempt may start now.
func (p *attemptPacer) mustWait(now time.Duration) bool { return now < p.nextAttempt }

// recordAttempt records an attempt that starts now.
func (p *attemptPacer) recordAttempt(now time.Duration, rng *rand.Rand) {
	p.meanInterval += (min(now-p.lastAttempt, maxAttemptInterval) - p.meanInterval) / attemptIntervalSamples
	p.lastAttempt = now
	if p.interval > 0 {
		p.nextAttempt = now + p.jitteredInterval(rng)
	}
}

// recordSetup records whether a connection was slow to establish or failed, and adapts the rate.
func (p *attemptPacer) recordSetup(now time.Duration, req *request, slow bool, rng *rand.Rand) {
	previousBackend, previousRequest := p.lastSlowBackend, p.lastRequest
	p.lastRequest = req.ID
	if !slow {
		p.lastSlowBackend = nil
		p.raiseRate(req)
		return
	}
	p.lastSlowBackend = req.backend
	if previousBackend == nil || previousBackend == req.backend || previousRequest == req.ID {
		return
	}
	if req.sentAt < p.rateHalvedAt { // the attempt started before the rate was last halved
		return
	}
	p.interval = min(2*max(p.interval, p.meanInterval), maxAttemptInterval)
	p.rateHalvedAt = now
	p.nextAttempt = now + p.jitteredInterval(rng)
}

// raiseRate raises the rate after a quick connection, and ends the pacing once it no longer delays attempts.
func (p *attemptPacer) raiseRate(req *request) {
	if req.sentAt >= p.rateHalvedAt {
		p.interval = p.interval * 2 / 3
	}
	if 2*p.interval < p.meanInterval {
		p.interval, p.nextAttempt = 0, 0
	}
}

// jitteredInterval returns the interval times a random factor between 0.5 and 1.5.
func (p *attemptPacer) jitteredInterval(rng *rand.Rand) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(p.interval))
}

// slowSetupTime returns the time above which a connection counts as slow to establish: half of the latency objective,
// and at least the dial timeout, which a connection over a long distance may need.
func (b *Balancer) slowSetupTime(req *request) time.Duration {
	return max(b.latencyObjective(req)/2, b.settings.DialTimeout)
}

// isFailedSetup reports whether an attempt failed in a way that counts for pacing.
func (b *Balancer) isFailedSetup(now time.Duration, req *request, status Status) bool {
	if req.established {
		return false
	}
	return status == StatusError || status == StatusTimeout && now-req.sentAt > b.slowSetupTime(req)
}
