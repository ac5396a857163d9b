package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultRetryEarnings is the part of a retry that each request adds to the budget.
	defaultRetryEarnings = 0.2

	// maxAttemptInterval bounds the pacing of attempts, so that the end of the trouble is noticed.
	maxAttemptInterval = 16 * time.Second

	// attemptIntervalSamples is the weight of the mean over past intervals between attempts.
	attemptIntervalSamples = 8
)

// retryBudget limits the attempts beyond the first to a share of the requests.
type retryBudget struct {
	tokens float64
}

// earn adds to the budget, up to one retry for each backend.
func (r *retryBudget) earn(tokens float64, backends int) {
	r.tokens = min(r.tokens+tokens, float64(backends))
}

func (r *retryBudget) isEmpty() bool { return r.tokens < 1 }

func (r *retryBudget) spend() { r.tokens-- }

// retryEarnings is what a request adds to the retry budget. Where its policy sets it, the repeat of a
// client adds nothing.
func retryEarnings(req *request) float64 {
	if req.ClientRetry && req.RetryPolicy.RetryBudget > 0 {
		return 0
	}
	return cmp.Or(max(0, req.RetryPolicy.RetryBudget), defaultRetryEarnings)
}

// finishOrRetry decides what follows the end of an attempt or a connection.
func (b *Balancer) finishOrRetry(now time.Duration, req *request, closed bool) {
	switch {
	case req.answered || closed || req.established:
		b.finish(req)
	case !b.mayRetry(now, req):
		b.answer(req)
	default:
		b.retryBudget.spend()
		b.retry(now, req)
	}
}

// mayRetry reports whether a request may have another attempt, wherever that would go.
func (b *Balancer) mayRetry(now time.Duration, req *request) bool {
	if req.attempts >= req.maxAttempts {
		return false
	}
	if now+b.settings.Tick >= req.deadline {
		return false
	}
	return !b.retryBudget.isEmpty() && !b.pacer.mustWait(now)
}

// retry makes another attempt, after the backoff of the request's policy. A request that ends before its
// backoff is answered now.
func (b *Balancer) retry(now time.Duration, req *request) {
	if req.RetryPolicy.BaseBackoff == 0 || req.hedging {
		req.hedging = false
		b.attempt(now, req)
		return
	}
	wait := backoff(req.RetryPolicy, req.attempts, b.rng)
	if now+wait+b.settings.Tick >= req.deadline {
		b.answer(req)
		return
	}
	req.retryAt = now + wait
	b.actions.SetTimer(req.ID, wait)
}

// backoff is the exponential backoff after a number of attempts, with a jitter of up to half of it.
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

// hedge cancels a first attempt that has been silent for the hedge delay, if another backend may take the
// request then. The second attempt starts when the first is known to have ended: two never run at once.
func (b *Balancer) hedge(now time.Duration, req *request) {
	if !b.mayHedge(now, req) {
		return
	}
	afterwards := *req // as if the cancelled attempt had executed
	afterwards.mayHaveExecuted, afterwards.executedAt, afterwards.executedBackend = true, req.sentAt, req.backend
	alternative := b.ring.first(req.hashKey, func(s *backend) bool { return b.canAccept(now, s, &afterwards) })
	if alternative != nil {
		req.hedging = true
		b.actions.Cancel(req.ID, 0)
	}
}

// mayHedge reports whether the pending attempt of a request is due to be hedged.
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

// mayRepeatAt reports whether an attempt at a backend is safe: a request that is not idempotent must not
// execute twice. A repeat arrives only once its connection is established, which has to be within the
// deduplication window.
func (b *Balancer) mayRepeatAt(now time.Duration, target *backend, req *request) bool {
	if !req.mayHaveExecuted {
		return true
	}
	class := &b.settings.Classes[req.Class]
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		connect := max(b.settings.DialTimeout, req.RetryPolicy.ConnectTimeout)
		if now+connect-req.executedAt >= class.DedupWindow-b.settings.Tick {
			return false
		}
		return class.DedupScope.covers(target, req.executedBackend)
	}
	return false
}

// covers reports whether one backend discards repeats of what another has executed.
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

// attemptPacer spaces attempts out, as TCP does segments, while connections of one request after another
// fail or are slow to establish at different backends: what they wait for is shared. Two such in a row
// halve the rate, at most once a round trip; each quick one raises it by half. The failures of one request
// alone do not count.
type attemptPacer struct {
	lastSlow      *backend // of the last connection if that was slow or failed; nil: it was quick
	lastRequest   uint64   // and its request
	usualInterval time.Duration
	lastAttempt   time.Duration
	interval      time.Duration // least time between two attempts; 0: any
	nextAttempt   time.Duration // no attempt may start before
	rateHalvedAt  time.Duration
}

// mustWait reports whether no attempt may start now.
func (p *attemptPacer) mustWait(now time.Duration) bool { return now < p.nextAttempt }

// recordAttempt records an attempt that starts now.
func (p *attemptPacer) recordAttempt(now time.Duration, rng *rand.Rand) {
	p.usualInterval += (min(now-p.lastAttempt, maxAttemptInterval) - p.usualInterval) / attemptIntervalSamples
	p.lastAttempt = now
	if p.interval > 0 {
		p.nextAttempt = now + p.jittered(rng)
	}
}

// recordSetup records how establishing a connection went.
func (p *attemptPacer) recordSetup(now time.Duration, req *request, slow bool, rng *rand.Rand) {
	previousBackend, previousRequest := p.lastSlow, p.lastRequest
	p.lastRequest = req.ID
	if !slow {
		p.lastSlow = nil
		p.raiseRate(req)
		return
	}
	p.lastSlow = req.backend
	if previousBackend == nil || previousBackend == req.backend || previousRequest == req.ID {
		return
	}
	if req.sentAt < p.rateHalvedAt { // it started before the rate was halved last
		return
	}
	p.interval = min(2*max(p.interval, p.usualInterval), maxAttemptInterval)
	p.rateHalvedAt = now
	p.nextAttempt = now + p.jittered(rng)
}

// raiseRate raises the rate after a quick connection, and ends the pacing once it holds nothing up.
func (p *attemptPacer) raiseRate(req *request) {
	if req.sentAt >= p.rateHalvedAt {
		p.interval = p.interval * 2 / 3
	}
	if 2*p.interval < p.usualInterval {
		p.interval, p.nextAttempt = 0, 0
	}
}

// jittered is the interval times a random factor between 0.5 and 1.5.
func (p *attemptPacer) jittered(rng *rand.Rand) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(p.interval))
}

// slowSetup is the least time to establish a connection that counts as slow: half of the objective, and
// longer than a connection may take over a long distance.
func (b *Balancer) slowSetup(req *request) time.Duration {
	return max(b.latencyObjective(req)/2, b.settings.DialTimeout)
}

// isFailedSetup reports whether an attempt failed in a way that counts for pacing.
func (b *Balancer) isFailedSetup(now time.Duration, req *request, status Status) bool {
	if req.established {
		return false
	}
	return status == StatusError || status == StatusTimeout && now-req.sentAt > b.slowSetup(req)
}
