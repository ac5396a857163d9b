package invariant

import (
	"slices"
	"testing"
	"time"
)

// classPair is a class before and after a reload.
type classPair struct{ previous, current Class }

// reload replaces the classes by the current ones of a pair, whose previous ones have been in force for long.
func (n *network) reload(pair classPair) {
	n.RelayReconfigured(0, []Class{pair.previous}, 4)
	n.clock += reconfigurationWindow + 1
	n.RelayReconfigured(0, []Class{pair.current}, 4)
}

// swapped returns the pair in the other order: the rules are the same whichever of the classes is the new one.
func (p classPair) swapped() classPair { return classPair{p.current, p.previous} }

var (
	limitedAttempts = classPair{Class{Name: "read", MaxAttempts: 2}, Class{Name: "read", MaxAttempts: 3}}
	limitedTimeout  = classPair{Class{Name: "read", TotalTimeout: 200 * time.Millisecond},
		Class{Name: "read", TotalTimeout: 400 * time.Millisecond}}
	oneTimeout    = classPair{Class{Name: "read", TotalTimeout: 200 * time.Millisecond}, Class{Name: "read"}}
	nonIdempotent = classPair{Class{Name: "read", Idempotency: NonIdempotent}, Class{Name: "read", Idempotency: NonIdempotent, MaxAttempts: 3}}
	oneKeyed      = classPair{Class{Name: "read", Idempotency: NonIdempotent},
		Class{Name: "read", Idempotency: IdempotentWithKey, DedupWindow: time.Second}}
	bothKeyed = classPair{Class{Name: "read", Idempotency: IdempotentWithKey, DedupWindow: 200 * time.Millisecond},
		Class{Name: "read", Idempotency: IdempotentWithKey, DedupWindow: time.Second, ScopedToCell: true}}
)

// sendTimes sends a request the given number of times; each time the backend is busy.
func (n *network) sendTimes(times int) {
	n.client(openRead)
	for range times {
		n.send(0, openRead).Received([]byte("BUSY\r\n"))
	}
}

// answerAfter answers a request after the given time.
func (n *network) answerAfter(d time.Duration) {
	client := n.client(openRead)
	n.clock += d
	client.Written([]byte("BUSY\r\n"))
}

// repeatAfter sends a request again, to the other backend and the given time after it may have been executed.
func (n *network) repeatAfter(d time.Duration) {
	n.client(openRead)
	n.send(0, openRead).Received([]byte("ERR\r\n"))
	n.clock += d
	n.send(1, openRead)
}

// A relay handles a request that arrives at about the time of a reload by the previous or by the new settings. A checker that
// takes one of them for granted reports what the other allows; one that takes neither misses what both forbid.
func TestChecker_EitherPolicyAppliesAfterReload(t *testing.T) {
	for _, tc := range []struct {
		name string
		pair classPair
		run  func(n *network)
		want []string
	}{
		{"as many attempts as one class allows", limitedAttempts, func(n *network) { n.sendTimes(3) }, nil},
		{"more attempts than both classes allow", limitedAttempts, func(n *network) { n.sendTimes(4) }, []string{RuleAttemptLimit}},
		{"an answer within the longer total timeout", limitedTimeout, func(n *network) { n.answerAfter(410 * time.Millisecond) }, nil},
		{"an answer after both total timeouts", limitedTimeout, func(n *network) { n.answerAfter(411 * time.Millisecond) },
			[]string{RuleLateAnswer}},
		{"an answer within the client's timeout, where one class has none", oneTimeout, func(n *network) { n.answerAfter(510 * time.Millisecond) }, nil},
		{"an answer after the client's timeout", oneTimeout, func(n *network) { n.answerAfter(511 * time.Millisecond) }, []string{RuleLateAnswer}},
		{"a repeat that neither class allows", nonIdempotent, func(n *network) { n.repeatAfter(0) }, []string{RuleUnsafeRepeat}},
		{"a repeat that one class allows", oneKeyed, func(n *network) { n.repeatAfter(time.Second) }, nil},
		{"a repeat outside the only window", oneKeyed, func(n *network) { n.repeatAfter(time.Second + 1) }, []string{RuleKeyedRepeat}},
		{"a repeat within the longer window and the wider scope", bothKeyed, func(n *network) { n.repeatAfter(200 * time.Millisecond) }, nil},
		{"a repeat outside both windows", bothKeyed, func(n *network) { n.repeatAfter(time.Second + 1) }, []string{RuleKeyedRepeat}},
	} {
		for order, pair := range map[string]classPair{"": tc.pair, ", classes swapped": tc.pair.swapped()} {
			t.Run(tc.name+order, func(t *testing.T) {
				n := newNetwork()
				n.reload(pair)
				tc.run(n)
				if rules := n.violatedRules(); !slices.Equal(rules, tc.want) {
					t.Errorf("got violations %v, want violations of rules %q", n.Violations, tc.want)
				}
			})
		}
	}
}

func TestRelayState_PolicyAfterReload(t *testing.T) {
	n := newNetwork()
	n.RelayReconfigured(0, []Class{{Name: "write", Idempotency: NonIdempotent, ClientTimeout: time.Second}}, 1)
	r := &n.relays[0]
	if class, attempts := r.policyFor("write", n.clock); class.Idempotency != NonIdempotent || class.ClientTimeout != time.Second || attempts != 2 {
		t.Errorf("within the window: %+v, %d attempts", class, attempts)
	}
	if class, _ := r.policyFor("read", n.clock); class == nil {
		t.Error("within the window: a class of the previous policy is unknown")
	}
	later := n.clock + reconfigurationWindow + 1
	if class, attempts := r.policyFor("write", later); class.Idempotency != NonIdempotent || attempts != 1 {
		t.Errorf("after the window: %+v, %d attempts", class, attempts)
	}
	if class, _ := r.policyFor("read", later); class != nil {
		t.Errorf("after the window: a class of the previous policy is still known: %+v", class)
	}
}

// A relay whose process is paused at a reload loads the new settings when it is resumed. Until then, and for
// reconfigurationWindow after it, the previous policy may apply; later it must not.
func TestChecker_PausedRelayLoadsPolicyWhenResumed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration // between the end of the pause and the request
		want  []string
	}{
		{"at the end of the pause", 0, nil},
		{"within the window", reconfigurationWindow, nil},
		{"after the window", reconfigurationWindow + 1, []string{RuleAttemptLimit}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := newNetwork()
			n.RelayReconfigured(0, []Class{limitedAttempts.current}, 4)
			n.clock += reconfigurationWindow + 1
			n.SetRelayPaused(0, true)
			n.RelayReconfigured(0, []Class{limitedAttempts.previous}, 4)
			n.clock += 3 * reconfigurationWindow
			n.SetRelayPaused(0, false)
			n.clock += tc.after
			n.sendTimes(3)
			if rules := n.violatedRules(); !slices.Equal(rules, tc.want) {
				t.Errorf("got violations %v, want violations of rules %q", n.Violations, tc.want)
			}
		})
	}
}
