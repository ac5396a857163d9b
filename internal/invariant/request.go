package invariant

import "time"

// request is one request of a client.
type request struct {
	id             string
	class          *Class // nil: the relay has no such class
	maxAttempts    int    // of the relay and the class when the request arrived
	relay          int
	client         *ClientConn
	receivedAt     time.Duration
	deadline       time.Duration // for the final answer
	attempts       int
	pendingAttempt *BackendConn  // attempt that has not ended; nil: none
	executedBy     *BackendConn  // first attempt that may have been executed; nil: none
	executedAt     time.Duration // when that attempt ended
}

// requestPolicy holds the limits that a relay's configuration sets for requests; a reload may change them.
type requestPolicy struct {
	classes     []Class
	maxAttempts int
}

// class returns the class with the given name, or nil.
func (p *requestPolicy) class(name string) *Class {
	for i := range p.classes {
		if p.classes[i].Name == name {
			return &p.classes[i]
		}
	}
	return nil
}

// attemptLimit returns the maximum number of attempts of a request of the given class; nil: of a request without a class.
func (p *requestPolicy) attemptLimit(class *Class) int {
	if class == nil || class.MaxAttempts == 0 {
		return p.maxAttempts
	}
	return min(p.maxAttempts, class.MaxAttempts)
}

// policyFor returns the class of a request that arrives now, nil if there is none, and its maximum number of attempts.
// While it may be handled by the previous or the new policy it returns what either the previous or the new policy allows.
func (r *relayState) policyFor(className string, now time.Duration) (class *Class, maxAttempts int) {
	class = r.policy.class(className)
	maxAttempts = r.policy.attemptLimit(class)
	if !r.policyChanging(now) {
		return class, maxAttempts
	}
	previous := r.previousPolicy.class(className)
	previousMaxAttempts := r.previousPolicy.attemptLimit(previous)
	switch {
	case previous == nil: // only the new policy accepts the request
		return class, maxAttempts
	case class == nil: // only the previous policy accepts the request
		return previous, previousMaxAttempts
	}
	return mergeClasses(class, previous), max(maxAttempts, previousMaxAttempts)
}

// policyChanging reports whether a request that arrives now may be handled by the previous or the new policy: it does so within
// reconfigurationWindow after a reload. A process that was paused within that time may load its settings only when it is resumed,
// so the window then lasts as long and begins anew.
func (r *relayState) policyChanging(now time.Duration) bool {
	if r.policyChangedAt == 0 {
		return false
	}
	windowEnd := r.policyChangedAt + reconfigurationWindow
	switch {
	case r.paused && r.pausedAt <= windowEnd:
		return true
	case r.resumedAt > r.policyChangedAt && r.pausedAt <= windowEnd:
		return now-r.resumedAt <= reconfigurationWindow
	}
	return now <= windowEnd
}

// mergeClasses returns a class that allows what either of two classes of the same name allows. Its attempt limit is not set:
// policyFor determines that together with the policies' own limits.
func mergeClasses(class, previous *Class) *Class {
	merged := *mergeIdempotency(class, previous)
	merged.MaxAttempts = 0
	merged.ClientTimeout = max(previous.ClientTimeout, class.ClientTimeout)
	merged.LatencyObjective = max(previous.LatencyObjective, class.LatencyObjective)
	merged.TotalTimeout = max(previous.TotalTimeout, class.TotalTimeout)
	if previous.TotalTimeout == 0 || class.TotalTimeout == 0 {
		merged.TotalTimeout = 0 // only the client's timeout limits the request
	}
	return &merged
}

// mergeIdempotency returns a class that allows the repeats that either of two classes allows.
func mergeIdempotency(class, previous *Class) *Class {
	switch {
	case class.Idempotency < previous.Idempotency:
		return class
	case class.Idempotency > previous.Idempotency:
		return previous
	}
	merged := *class
	merged.ScopedToCell = class.ScopedToCell && previous.ScopedToCell
	merged.DedupWindow = max(class.DedupWindow, previous.DedupWindow)
	return &merged
}

// checkRepeat checks that another attempt of a request is allowed if an earlier one may have been executed.
func (c *Checker) checkRepeat(r *request, backend *backendState) {
	if r.executedBy == nil {
		return
	}
	switch earlier := &c.backends[r.executedBy.backend]; {
	case r.class.Idempotency == NonIdempotent:
		c.reportViolation(RuleUnsafeRepeat, "non-idempotent request %s was sent again although it may have been executed", r.id)
	case r.class.Idempotency == IdempotentWithKey && c.now()-r.executedAt > r.class.DedupWindow:
		c.reportViolation(RuleKeyedRepeat, "keyed request %s was sent again outside its deduplication window of %v", r.id, r.class.DedupWindow)
	case r.class.Idempotency == IdempotentWithKey && r.class.ScopedToCell && earlier.cell != backend.cell:
		c.reportViolation(RuleKeyedRepeat, "keyed request %s was sent again in cell %d, earlier in cell %d", r.id, backend.cell, earlier.cell)
	}
}

// checkAttemptCount counts an attempt of a request and checks the number of its attempts.
func (c *Checker) checkAttemptCount(r *request) {
	r.attempts++
	if r.attempts > r.maxAttempts {
		c.reportViolation(RuleAttemptLimit, "request %s was sent %d times, limit %d", r.id, r.attempts, r.maxAttempts)
	}
	if r.attempts > 1 {
		c.Counts["repeated attempt"]++
	}
}

// checkColdBackend records a request to a backend that is warming up, and checks the number of such requests within the
// overload window.
func (c *Checker) checkColdBackend(backend *backendState, relay int) {
	now, limits := c.now(), &c.limits
	if backend.started == 0 || now-backend.started > limits.WarmUp {
		return
	}
	if c.relays[relay].backendStarts[backend.name] != backend.started {
		return // discovery has not reported this start to the relay
	}
	c.Counts["sent to a cold backend"]++
	backend.recentOpens = append(backend.recentOpens, now)
	for len(backend.recentOpens) > 0 && now-backend.recentOpens[0] > limits.OverloadWindow {
		backend.recentOpens = backend.recentOpens[1:]
	}
	capacity := limits.ColdCapacity + (1-limits.ColdCapacity)*float64(now-backend.started)/float64(limits.WarmUp)
	maxRequests := limits.OverloadFactor * capacity * limits.WarmRate * limits.OverloadWindow.Seconds()
	if float64(len(backend.recentOpens)) > maxRequests {
		c.reportViolation(RuleCold, "cold backend %s got %d requests in %v, limit %.1f",
			backend.name, len(backend.recentOpens), limits.OverloadWindow, maxRequests)
		backend.recentOpens = nil
	}
}
