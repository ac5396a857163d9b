package invariant

import "time"

// request is one request of a client.
type request struct {
	id          string
	class       *Class // nil: none of the relay's
	maxAttempts int    // of the relay when the request came
	relay       int
	client      *ClientConn
	receivedAt  time.Duration
	deadline    time.Duration // for the final answer
	attempts    int
	pending     *BackendConn // the attempt that has not ended
	executedBy  *BackendConn // the first attempt that may have been executed
	executedAt  time.Duration
}

// requestTerms are the rules that a relay's own configuration sets, which a reload may change.
type requestTerms struct {
	classes     []Class
	maxAttempts int
}

// class returns the class of a name, or nil.
func (t *requestTerms) class(name string) *Class {
	for i := range t.classes {
		if t.classes[i].Name == name {
			return &t.classes[i]
		}
	}
	return nil
}

// termsFor returns the terms of a request that arrives now: its class, nil if there is none, and its attempts.
// Shortly after a reload they are whatever the former or the new terms allow.
func (r *relayState) termsFor(className string, now time.Duration) (class *Class, maxAttempts int) {
	class, maxAttempts = r.terms.class(className), r.terms.maxAttempts
	if r.changedAt == 0 || now-r.changedAt > reconfigurationWindow {
		return class, maxAttempts
	}
	maxAttempts = max(maxAttempts, r.formerTerms.maxAttempts)
	former := r.formerTerms.class(className)
	switch {
	case class == nil:
		class = former
	case former != nil && *former != *class:
		class = laxer(class, former)
	}
	return class, maxAttempts
}

// laxer returns a class that allows what either of two allows.
func laxer(class, former *Class) *Class {
	either := *class
	either.Idempotency = Idempotent
	either.ClientTimeout = max(former.ClientTimeout, class.ClientTimeout)
	either.LatencyObjective = max(former.LatencyObjective, class.LatencyObjective)
	return &either
}

// checkRepeat checks a repeated attempt at a backend, once an earlier one may have been executed.
func (c *Checker) checkRepeat(r *request, backend *backendState) {
	if r.executedBy == nil {
		return
	}
	switch earlier := &c.backends[r.executedBy.backend]; {
	case r.class.Idempotency == NonIdempotent:
		c.violated(RuleUnsafeRepeat, "unsafe request %s was sent again though it may have run", r.id)
	case r.class.Idempotency == IdempotentWithKey && c.now()-r.executedAt > r.class.DedupWindow:
		c.violated(RuleKeyedRepeat, "keyed request %s was sent again past its window", r.id)
	case r.class.Idempotency == IdempotentWithKey && r.class.ScopedToCell && earlier.cell != backend.cell:
		c.violated(RuleKeyedRepeat, "keyed request %s was sent again outside its scope", r.id)
	}
}

// checkAttemptCount counts one more attempt and checks their number.
func (c *Checker) checkAttemptCount(r *request) {
	limit := r.maxAttempts
	if n := r.class.MaxAttempts; n > 0 {
		limit = min(limit, n)
	}
	r.attempts++
	if r.attempts > limit {
		c.violated(RuleAttemptLimit, "request %s was sent %d times", r.id, r.attempts)
	}
	if r.attempts > 1 {
		c.Counts["repeated attempt"]++
	}
}

// checkColdBackend records one more request at a backend and checks what it gets while it is cold.
func (c *Checker) checkColdBackend(backend *backendState, relay int) {
	now, limits := c.now(), &c.limits
	if backend.started == 0 || now-backend.started > limits.WarmUp {
		return
	}
	if c.relays[relay].backendStarts[backend.name] != backend.started {
		return // a start that this relay has not been told of
	}
	c.Counts["sent to a cold backend"]++
	backend.recentOpens = append(backend.recentOpens, now)
	for len(backend.recentOpens) > 0 && now-backend.recentOpens[0] > limits.OverloadWindow {
		backend.recentOpens = backend.recentOpens[1:]
	}
	capacity := limits.ColdCapacity + (1-limits.ColdCapacity)*float64(now-backend.started)/float64(limits.WarmUp)
	bearable := limits.OverloadFactor * capacity * limits.WarmRate * limits.OverloadWindow.Seconds()
	if float64(len(backend.recentOpens)) > bearable {
		c.violated(RuleCold, "%s got %d requests in %v, %.1f at most while cold", backend.name, len(backend.recentOpens), limits.OverloadWindow, bearable)
		backend.recentOpens = nil
	}
}
