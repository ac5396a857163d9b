// This file owns the checks of a timing against the installation's rules: what it
// may not say at all, and what cannot go together. It must never supply a figure.

package route

import (
	"fmt"
	"time"

	"aspenbarrow/balance"
)

// Rules are what a timing is held to.
type Rules struct {
	Attempts    int // the installation's most
	Cancel      bool
	AnswerSlack time.Duration
}

// Fault is one thing wrong with a timing: the key that is at fault, perhaps another
// that it must agree with, and why.
type Fault struct {
	Key, Other, Reason string
}

// The keys of a timing, as files write them.
const (
	KeyConnect    = "connect-timeout"
	KeyAttempt    = "attempt-timeout"
	KeyTotal      = "total"
	KeyAttempts   = "attempts"
	KeyBackoff    = "backoff"
	KeyMaxBackoff = "max-backoff"
	KeyBudget     = "budget"
	KeySecond     = "second-after"
)

// Check holds a timing for requests of a class to the rules. All faults are named.
func Check(t balance.RetryPolicy, c balance.Class, rules Rules) (faults []Fault) {
	fault := func(key, other, format string, args ...any) {
		faults = append(faults, Fault{key, other, fmt.Sprintf(format, args...)})
	}
	most := rules.Attempts // that requests can come to
	if t.MaxAttempts > 0 {
		most = min(most, t.MaxAttempts)
	}
	if t.MaxAttempts > rules.Attempts {
		fault(KeyAttempts, "rules.max-attempts", "%d attempts, where the installation allows %d", t.MaxAttempts, rules.Attempts)
	}
	for _, d := range []struct {
		key string
		v   time.Duration
	}{{KeyConnect, t.ConnectTimeout}, {KeyAttempt, t.AttemptTimeout}, {KeyTotal, t.RequestTimeout}, {KeyBackoff, t.BaseBackoff},
		{KeyMaxBackoff, t.MaxBackoff}, {KeySecond, t.HedgeDelay}} {
		if d.v < 0 {
			fault(d.key, "", "%v is less than nothing", d.v)
		}
	}
	whole := c.ClientTimeout - rules.AnswerSlack // the answer itself needs its time
	if c.ClientTimeout > 0 {
		for _, d := range []struct {
			key string
			v   time.Duration
		}{{KeyTotal, t.RequestTimeout}, {KeyAttempt, t.AttemptTimeout}, {KeyConnect, t.ConnectTimeout}} {
			if d.v > whole {
				fault(d.key, "class.give-up", "%v is longer than the client waits: %v less %v for the answer", d.v, c.ClientTimeout,
					rules.AnswerSlack)
			}
		}
	} else {
		whole = 0
	}
	if t.RequestTimeout > 0 && (whole <= 0 || t.RequestTimeout < whole) {
		whole = t.RequestTimeout
	}
	if t.RequestTimeout > 0 && t.AttemptTimeout > t.RequestTimeout {
		fault(KeyAttempt, KeyTotal, "an attempt of %v does not fit into %v", t.AttemptTimeout, t.RequestTimeout)
	}
	if t.ConnectTimeout > 0 && t.AttemptTimeout > 0 && t.ConnectTimeout > t.AttemptTimeout {
		fault(KeyConnect, KeyAttempt, "connecting may take %v, the whole attempt only %v", t.ConnectTimeout, t.AttemptTimeout)
	}
	if t.MaxBackoff > 0 && t.MaxBackoff < t.BaseBackoff {
		fault(KeyMaxBackoff, KeyBackoff, "the ceiling %v is under the first pause %v", t.MaxBackoff, t.BaseBackoff)
	}
	if t.MaxBackoff > 0 && t.BaseBackoff == 0 {
		fault(KeyMaxBackoff, KeyBackoff, "a ceiling of %v without any pause", t.MaxBackoff)
	}
	if t.BaseBackoff > 0 && most < 2 {
		fault(KeyBackoff, KeyAttempts, "a pause before a second attempt that is never made")
	}
	pauses := Pauses(t, most)
	switch {
	case whole <= 0:
	case t.BaseBackoff >= whole:
		fault(KeyBackoff, KeyTotal, "a pause of %v is longer than what is left of %v", t.BaseBackoff, whole)
	case t.AttemptTimeout > 0 && time.Duration(most)*t.AttemptTimeout+pauses > whole:
		fault(KeyAttempts, KeyAttempt, "%d attempts of %v and pauses of up to %v cannot end within %v", most, t.AttemptTimeout, pauses, whole)
	case t.AttemptTimeout == 0 && pauses >= whole:
		fault(KeyBackoff, KeyAttempts, "pauses of up to %v between %d attempts leave nothing of %v", pauses, most, whole)
	}
	switch {
	case t.RetryBudget < 0:
		fault(KeyBudget, "", "%v is less than nothing", t.RetryBudget)
	case t.RetryBudget >= 1:
		fault(KeyBudget, "", "with %v further attempts for each request retries feed on retries; less than 1", t.RetryBudget)
	}
	if t.HedgeDelay > 0 {
		switch {
		case !rules.Cancel:
			fault(KeySecond, "rules.cancel", "a second copy would overlap the first: this installation cannot cancel an attempt")
		case c.Idempotency == balance.NonIdempotent:
			fault(KeySecond, "class.effect", "a second copy may act twice: the class is unsafe")
		case c.Idempotency == balance.IdempotentWithKey && t.HedgeDelay >= c.DedupWindow:
			fault(KeySecond, "class.window", "a second copy after %v comes past the window of %v in which repeats are discarded",
				t.HedgeDelay, c.DedupWindow)
		case c.Idempotency == balance.IdempotentWithKey && c.DedupScope == balance.ScopeCell:
			fault(KeySecond, "class.scope", "a second copy goes to another server, as a rule outside the cell that discards repeats")
		}
		if most < 2 {
			fault(KeySecond, KeyAttempts, "a second copy is a second attempt, and there is only one")
		}
		if t.AttemptTimeout > 0 && t.HedgeDelay >= t.AttemptTimeout {
			fault(KeySecond, KeyAttempt, "the first attempt has ended after %v, before a second copy after %v", t.AttemptTimeout, t.HedgeDelay)
		}
		if whole > 0 && t.HedgeDelay >= whole {
			fault(KeySecond, KeyTotal, "a second copy after %v, where all ends after %v", t.HedgeDelay, whole)
		}
	}
	if t.AttemptTimeout > 0 && most > 1 {
		switch last := time.Duration(most-1)*t.AttemptTimeout + pauses; {
		case c.Idempotency == balance.NonIdempotent && t.MaxAttempts > 1:
			fault(KeyAttempts, "class.effect", "an attempt that timed out may have run, and this class may not be repeated; "+
				"without %s an attempt has all the time", KeyAttempt)
		case c.Idempotency == balance.IdempotentWithKey && c.DedupWindow > 0 && last >= c.DedupWindow:
			fault(KeyAttempts, "class.window", "the last attempt may go out %v after the first, past the window of %v in which "+
				"repeats are discarded", last, c.DedupWindow)
		}
	}
	return faults
}

// Pauses is how long the pauses between so many attempts come to at most.
func Pauses(t balance.RetryPolicy, attempts int) (sum time.Duration) {
	wait := t.BaseBackoff
	for range attempts - 1 {
		sum += wait
		wait *= 2
		if t.MaxBackoff > 0 {
			wait = min(wait, t.MaxBackoff)
		}
	}
	return sum
}
