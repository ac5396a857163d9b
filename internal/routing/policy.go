package routing

import (
	"errors"
	"fmt"
	"time"

	"aspenbarrow/balance"
)

// ErrPolicy is the error that every PolicyError wraps.
var ErrPolicy = errors.New("invalid retry policy")

// PolicyError is one problem of a retry policy.
type PolicyError struct {
	Key    string // key of the invalid value, one of the Key constants
	Other  string // key whose value conflicts with that of Key, empty if none; a key of the class begins with ClassPrefix
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

// The keys outside the policy whose values can conflict with it.
const (
	keyInstallationAttempts = "rules.max-attempts"
	keyCancellation         = "rules.cancel"
	keyClientTimeout        = ClassPrefix + "give-up"
	keyIdempotency          = ClassPrefix + "effect"
	keyDedupWindow          = ClassPrefix + "window"
	keyDedupScope           = ClassPrefix + "scope"
)

// maxRetryBudget bounds the retries that each request adds to the budget: at 1 or more, retries would allow further retries without end.
const maxRetryBudget = 1

// Limits are the bounds that the installation sets on every retry policy.
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

// policyCheck is one check of a policy, with the values that several of its steps use.
type policyCheck struct {
	balance.RetryPolicy
	class  balance.Class
	limits Limits

	attempts       int           // maximum number of attempts at a request
	clientDeadline time.Duration // the client's timeout less the time for the answer; 0: the client has no timeout
	deadline       time.Duration // time by which all attempts must have ended; 0 or less: there is no deadline
	totalBackoff   time.Duration // sum of the pauses between the attempts, each at its longest

	problems []*PolicyError
}

func newPolicyCheck(policy balance.RetryPolicy, class balance.Class, limits Limits) *policyCheck {
	c := &policyCheck{RetryPolicy: policy, class: class, limits: limits, attempts: limits.MaxAttempts}
	if policy.MaxAttempts > 0 {
		c.attempts = min(c.attempts, policy.MaxAttempts)
	}
	if class.ClientTimeout > 0 {
		c.clientDeadline = class.ClientTimeout - limits.AnswerSlack
	}
	c.deadline = c.clientDeadline
	if policy.RequestTimeout > 0 && (c.deadline <= 0 || policy.RequestTimeout < c.deadline) {
		c.deadline = policy.RequestTimeout
	}
	c.totalBackoff = maxTotalBackoff(policy, c.attempts)
	return c
}

// report records a problem; other is the key whose value conflicts with that of key, empty if there is none.
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
			c.report(duration.key, "", "%v is negative, expected 0 or more", duration.value)
		}
	}
}

// checkClientTimeout reports timeouts that end too late to answer within the client's timeout.
func (c *policyCheck) checkClientTimeout() {
	if c.class.ClientTimeout <= 0 {
		return
	}
	for _, timeout := range []keyedDuration{
		{KeyRequestTimeout, c.RequestTimeout},
		{KeyAttemptTimeout, c.AttemptTimeout},
		{KeyConnectTimeout, c.ConnectTimeout},
	} {
		if timeout.value > c.clientDeadline {
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

// checkDeadline reports attempts and pauses that cannot all end before the deadline; it reports only the first reason.
func (c *policyCheck) checkDeadline() {
	switch {
	case c.deadline <= 0:
	case c.BaseBackoff >= c.deadline:
		c.report(KeyBaseBackoff, KeyRequestTimeout, "a pause of %v does not fit into %v", c.BaseBackoff, c.deadline)
	case c.AttemptTimeout > 0 && time.Duration(c.attempts)*c.AttemptTimeout+c.totalBackoff > c.deadline:
		c.report(KeyMaxAttempts, KeyAttemptTimeout, "%d attempts of %v and pauses of up to %v cannot end within %v",
			c.attempts, c.AttemptTimeout, c.totalBackoff, c.deadline)
	case c.AttemptTimeout == 0 && c.totalBackoff >= c.deadline:
		c.report(KeyBaseBackoff, KeyMaxAttempts, "pauses of up to %v between %d attempts leave no time for the attempts within %v",
			c.totalBackoff, c.attempts, c.deadline)
	}
}

func (c *policyCheck) checkRetryBudget() {
	switch {
	case c.RetryBudget < 0:
		c.report(KeyRetryBudget, "", "%v is negative, expected at least 0 and less than 1", c.RetryBudget)
	case c.RetryBudget >= maxRetryBudget:
		c.report(KeyRetryBudget, "", "%v retries for each request, expected less than 1: retries would allow further retries without end",
			c.RetryBudget)
	}
}

// checkHedgeAllowed reports a hedged attempt that the installation or the class rules out.
func (c *policyCheck) checkHedgeAllowed() {
	keyed := c.class.Idempotency == balance.IdempotentWithKey
	switch {
	case !c.limits.Cancellation:
		c.report(KeyHedgeDelay, keyCancellation, "a second attempt would overlap the first: this installation cannot cancel an attempt")
	case c.class.Idempotency == balance.NonIdempotent:
		c.report(KeyHedgeDelay, keyIdempotency, "a second attempt may execute the request twice: the class is unsafe")
	case keyed && c.HedgeDelay >= c.class.DedupWindow:
		c.report(KeyHedgeDelay, keyDedupWindow, "a second attempt after %v is outside the window of %v in which repeats are discarded",
			c.HedgeDelay, c.class.DedupWindow)
	case keyed && c.class.DedupScope == balance.ScopeCell:
		c.report(KeyHedgeDelay, keyDedupScope, "a second attempt goes to another backend, usually outside the cell that discards repeats")
	}
}

// checkHedgeDelay reports a hedged attempt that can never be made.
func (c *policyCheck) checkHedgeDelay() {
	if c.attempts < 2 {
		c.report(KeyHedgeDelay, KeyMaxAttempts, "a second attempt after %v, but attempts are limited to %d", c.HedgeDelay, c.attempts)
	}
	if c.AttemptTimeout > 0 && c.HedgeDelay >= c.AttemptTimeout {
		c.report(KeyHedgeDelay, KeyAttemptTimeout, "the first attempt has ended after %v, before a second attempt after %v",
			c.AttemptTimeout, c.HedgeDelay)
	}
	if c.deadline > 0 && c.HedgeDelay >= c.deadline {
		c.report(KeyHedgeDelay, KeyRequestTimeout, "a second attempt after %v, but the request ends after %v", c.HedgeDelay, c.deadline)
	}
}

// checkTimedOutAttempts reports retries of an attempt that timed out, and so may have been executed, where the class
// does not allow such a retry.
func (c *policyCheck) checkTimedOutAttempts() {
	if c.AttemptTimeout <= 0 || c.attempts < 2 {
		return
	}
	lastStart := time.Duration(c.attempts-1)*c.AttemptTimeout + c.totalBackoff
	switch {
	case c.class.Idempotency == balance.NonIdempotent && c.MaxAttempts > 1:
		c.report(KeyMaxAttempts, keyIdempotency, "an attempt that timed out may have been executed, and requests of this class "+
			"must not be repeated; without %s an attempt has all the time left", KeyAttemptTimeout)
	case c.class.Idempotency == balance.IdempotentWithKey && c.class.DedupWindow > 0 && lastStart >= c.class.DedupWindow:
		c.report(KeyMaxAttempts, keyDedupWindow, "the last attempt may start %v after the first, outside the window of %v in which "+
			"repeats are discarded", lastStart, c.class.DedupWindow)
	}
}

// maxTotalBackoff returns the sum of the pauses between the given number of attempts, each at its longest.
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
