package routing

import (
	"errors"
	"fmt"
	"time"

	"aspenbarrow/balance"
)

// ErrPolicy is the error that every PolicyError wraps.
var ErrPolicy = errors.New("unsound retry policy")

// PolicyError is one problem of a retry policy.
type PolicyError struct {
	Key    string // the key of the policy at fault, one of the Key constants
	Other  string // another key that it has to agree with; empty: none. ClassPrefix begins those of the class.
	Reason string
}

// Error implements the error interface.
func (e *PolicyError) Error() string {
	if e.Other == "" {
		return e.Key + ": " + e.Reason
	}
	return fmt.Sprintf("%s: %s (%s)", e.Key, e.Reason, e.Other)
}

// Unwrap returns ErrPolicy.
func (e *PolicyError) Unwrap() error { return ErrPolicy }

// The keys of a retry policy in configuration files.
const (
	KeyConnectTimeout = "connect-timeout"
	KeyAttemptTimeout = "attempt-timeout"
	KeyRequestTimeout = "total"
	KeyMaxAttempts    = "attempts"
	KeyBaseBackoff    = "backoff"
	KeyMaxBackoff     = "max-backoff"
	KeyRetryBudget    = "budget"
	KeyHedgeDelay     = "second-after"
)

// ClassPrefix begins the name of a key of the class whose requests a policy governs.
const ClassPrefix = "class."

// The keys outside the policy that it has to agree with.
const (
	keyInstallationAttempts = "rules.max-attempts"
	keyCancellation         = "rules.cancel"
	keyClientTimeout        = ClassPrefix + "give-up"
	keyIdempotency          = ClassPrefix + "effect"
	keyDedupWindow          = ClassPrefix + "window"
	keyDedupScope           = ClassPrefix + "scope"
)

// maxRetryBudget bounds the further attempts that each request earns: at 1 or above, retries earn retries without end.
const maxRetryBudget = 1

// Limits are the bounds that the installation sets to every retry policy.
type Limits struct {
	MaxAttempts  int           // attempts at one request, the first included
	Cancellation bool          // whether an attempt can be cancelled
	AnswerSlack  time.Duration // time that the final answer itself needs
}

// CheckPolicy checks a retry policy for requests of a class against the limits. It returns all problems, the checks
// always in the same order.
func CheckPolicy(policy balance.RetryPolicy, class balance.Class, limits Limits) []*PolicyError {
	c := newPolicyCheck(policy, class, limits)
	c.checkMaxAttempts()
	c.checkNotNegative()
	c.checkClientTimeout()
	c.checkNestedTimeouts()
	c.checkBackoff()
	c.checkDeadline()
	c.checkRetryBudget()
	if policy.HedgeDelay > 0 {
		c.checkHedgeAllowed()
		c.checkHedgeDelay()
	}
	c.checkTimedOutAttempts()
	return c.problems
}

// policyCheck is one check of a policy, with the figures that several of its steps need.
type policyCheck struct {
	balance.RetryPolicy
	class  balance.Class
	limits Limits

	attempts       int           // attempts that a request can come to
	clientPatience time.Duration // the client's timeout less the answer's slack; 0: the client has no timeout
	deadline       time.Duration // when all attempts have to have ended; 0 or less: there is no deadline
	totalBackoff   time.Duration // all pauses between the attempts at their longest

	problems []*PolicyError
}

func newPolicyCheck(policy balance.RetryPolicy, class balance.Class, limits Limits) *policyCheck {
	c := &policyCheck{RetryPolicy: policy, class: class, limits: limits, attempts: limits.MaxAttempts}
	if policy.MaxAttempts > 0 {
		c.attempts = min(c.attempts, policy.MaxAttempts)
	}
	if class.ClientTimeout > 0 {
		c.clientPatience = class.ClientTimeout - limits.AnswerSlack
	}
	c.deadline = c.clientPatience
	if policy.RequestTimeout > 0 && (c.deadline <= 0 || policy.RequestTimeout < c.deadline) {
		c.deadline = policy.RequestTimeout
	}
	c.totalBackoff = maxTotalBackoff(policy, c.attempts)
	return c
}

// report notes a problem; other is the key that key has to agree with, empty if there is none.
func (c *policyCheck) report(key, other, format string, args ...any) {
	c.problems = append(c.problems, &PolicyError{Key: key, Other: other, Reason: fmt.Sprintf(format, args...)})
}

// keyedDuration is a duration and the key that sets it.
type keyedDuration struct {
	key   string
	value time.Duration
}

func (c *policyCheck) checkMaxAttempts() {
	if c.MaxAttempts > c.limits.MaxAttempts {
		c.report(KeyMaxAttempts, keyInstallationAttempts, "%d attempts, where the installation allows %d",
			c.MaxAttempts, c.limits.MaxAttempts)
	}
}

func (c *policyCheck) checkNotNegative() {
	for _, duration := range []keyedDuration{
		{KeyConnectTimeout, c.ConnectTimeout},
		{KeyAttemptTimeout, c.AttemptTimeout},
		{KeyRequestTimeout, c.RequestTimeout},
		{KeyBaseBackoff, c.BaseBackoff},
		{KeyMaxBackoff, c.MaxBackoff},
		{KeyHedgeDelay, c.HedgeDelay},
	} {
		if duration.value < 0 {
			c.report(duration.key, "", "%v is less than nothing", duration.value)
		}
	}
}

// checkClientTimeout reports timeouts that end only after the client has given up.
func (c *policyCheck) checkClientTimeout() {
	if c.class.ClientTimeout <= 0 {
		return
	}
	for _, timeout := range []keyedDuration{
		{KeyRequestTimeout, c.RequestTimeout},
		{KeyAttemptTimeout, c.AttemptTimeout},
		{KeyConnectTimeout, c.ConnectTimeout},
	} {
		if timeout.value > c.clientPatience {
			c.report(timeout.key, keyClientTimeout, "%v is longer than the client waits: %v less %v for the answer",
				timeout.value, c.class.ClientTimeout, c.limits.AnswerSlack)
		}
	}
}

// checkNestedTimeouts reports an attempt that outlasts its request, or a connect that outlasts its attempt.
func (c *policyCheck) checkNestedTimeouts() {
	if c.RequestTimeout > 0 && c.AttemptTimeout > c.RequestTimeout {
		c.report(KeyAttemptTimeout, KeyRequestTimeout, "an attempt of %v does not fit into %v", c.AttemptTimeout, c.RequestTimeout)
	}
	if c.ConnectTimeout > 0 && c.AttemptTimeout > 0 && c.ConnectTimeout > c.AttemptTimeout {
		c.report(KeyConnectTimeout, KeyAttemptTimeout, "connecting may take %v, the whole attempt only %v",
			c.ConnectTimeout, c.AttemptTimeout)
	}
}

func (c *policyCheck) checkBackoff() {
	if c.MaxBackoff > 0 && c.MaxBackoff < c.BaseBackoff {
		c.report(KeyMaxBackoff, KeyBaseBackoff, "the ceiling %v is under the first pause %v", c.MaxBackoff, c.BaseBackoff)
	}
	if c.MaxBackoff > 0 && c.BaseBackoff == 0 {
		c.report(KeyMaxBackoff, KeyBaseBackoff, "a ceiling of %v without any pause", c.MaxBackoff)
	}
	if c.BaseBackoff > 0 && c.attempts < 2 {
		c.report(KeyBaseBackoff, KeyMaxAttempts, "a pause before a second attempt that is never made")
	}
}

// checkDeadline reports attempts and pauses that cannot all end before the deadline; only the first reason is told.
func (c *policyCheck) checkDeadline() {
	switch {
	case c.deadline <= 0:
	case c.BaseBackoff >= c.deadline:
		c.report(KeyBaseBackoff, KeyRequestTimeout, "a pause of %v is longer than what is left of %v", c.BaseBackoff, c.deadline)
	case c.AttemptTimeout > 0 && time.Duration(c.attempts)*c.AttemptTimeout+c.totalBackoff > c.deadline:
		c.report(KeyMaxAttempts, KeyAttemptTimeout, "%d attempts of %v and pauses of up to %v cannot end within %v",
			c.attempts, c.AttemptTimeout, c.totalBackoff, c.deadline)
	case c.AttemptTimeout == 0 && c.totalBackoff >= c.deadline:
		c.report(KeyBaseBackoff, KeyMaxAttempts, "pauses of up to %v between %d attempts leave nothing of %v",
			c.totalBackoff, c.attempts, c.deadline)
	}
}

func (c *policyCheck) checkRetryBudget() {
	switch {
	case c.RetryBudget < 0:
		c.report(KeyRetryBudget, "", "%v is less than nothing", c.RetryBudget)
	case c.RetryBudget >= maxRetryBudget:
		c.report(KeyRetryBudget, "", "with %v further attempts for each request retries feed on retries; less than 1", c.RetryBudget)
	}
}

// checkHedgeAllowed reports a hedged attempt that the installation or the class rules out.
func (c *policyCheck) checkHedgeAllowed() {
	keyed := c.class.Idempotency == balance.IdempotentWithKey
	switch {
	case !c.limits.Cancellation:
		c.report(KeyHedgeDelay, keyCancellation, "a second copy would overlap the first: this installation cannot cancel an attempt")
	case c.class.Idempotency == balance.NonIdempotent:
		c.report(KeyHedgeDelay, keyIdempotency, "a second copy may act twice: the class is unsafe")
	case keyed && c.HedgeDelay >= c.class.DedupWindow:
		c.report(KeyHedgeDelay, keyDedupWindow, "a second copy after %v comes past the window of %v in which repeats are discarded",
			c.HedgeDelay, c.class.DedupWindow)
	case keyed && c.class.DedupScope == balance.ScopeCell:
		c.report(KeyHedgeDelay, keyDedupScope, "a second copy goes to another server, as a rule outside the cell that discards repeats")
	}
}

// checkHedgeDelay reports a hedged attempt that can never be made.
func (c *policyCheck) checkHedgeDelay() {
	if c.attempts < 2 {
		c.report(KeyHedgeDelay, KeyMaxAttempts, "a second copy is a second attempt, and there is only one")
	}
	if c.AttemptTimeout > 0 && c.HedgeDelay >= c.AttemptTimeout {
		c.report(KeyHedgeDelay, KeyAttemptTimeout, "the first attempt has ended after %v, before a second copy after %v",
			c.AttemptTimeout, c.HedgeDelay)
	}
	if c.deadline > 0 && c.HedgeDelay >= c.deadline {
		c.report(KeyHedgeDelay, KeyRequestTimeout, "a second copy after %v, where all ends after %v", c.HedgeDelay, c.deadline)
	}
}

// checkTimedOutAttempts reports repeats of an attempt that timed out, and so may have been executed, where the class
// does not allow such a repeat.
func (c *policyCheck) checkTimedOutAttempts() {
	if c.AttemptTimeout <= 0 || c.attempts < 2 {
		return
	}
	lastStart := time.Duration(c.attempts-1)*c.AttemptTimeout + c.totalBackoff
	switch {
	case c.class.Idempotency == balance.NonIdempotent && c.MaxAttempts > 1:
		c.report(KeyMaxAttempts, keyIdempotency, "an attempt that timed out may have run, and this class may not be repeated; "+
			"without %s an attempt has all the time", KeyAttemptTimeout)
	case c.class.Idempotency == balance.IdempotentWithKey && c.class.DedupWindow > 0 && lastStart >= c.class.DedupWindow:
		c.report(KeyMaxAttempts, keyDedupWindow, "the last attempt may go out %v after the first, past the window of %v in which "+
			"repeats are discarded", lastStart, c.class.DedupWindow)
	}
}

// maxTotalBackoff returns the sum of the pauses between so many attempts, each at its longest.
func maxTotalBackoff(policy balance.RetryPolicy, attempts int) (total time.Duration) {
	pause := policy.BaseBackoff
	for range attempts - 1 {
		total += pause
		pause *= 2
		if policy.MaxBackoff > 0 {
			pause = min(pause, policy.MaxBackoff)
		}
	}
	return total
}
