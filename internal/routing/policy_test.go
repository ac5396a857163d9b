package routing

import (
	"errors"
	"testing"
	"time"

	"aspenbarrow/balance"
)

func TestCheckPolicy(t *testing.T) {
	limits := Limits{MaxAttempts: 4, Cancellation: true, AnswerSlack: 16 * time.Millisecond}
	class := balance.Class{ClientTimeout: 2 * time.Second, Idempotency: balance.IdempotentWithKey, DedupWindow: time.Second}
	for _, tc := range []struct {
		name   string
		policy balance.RetryPolicy
		want   []string
	}{
		{"the zero policy", balance.RetryPolicy{}, nil},
		{"sound", balance.RetryPolicy{AttemptTimeout: 300 * time.Millisecond, MaxAttempts: 3, BaseBackoff: 50 * time.Millisecond}, nil},
		{"too many attempts", balance.RetryPolicy{MaxAttempts: 5},
			[]string{"attempts: 5 attempts, where the installation allows 4 (rules.max-attempts)"}},
		{"a negative budget", balance.RetryPolicy{RetryBudget: -1}, []string{"budget: -1 is negative, expected at least 0 and less than 1"}},
		{"two problems in the order of the checks", balance.RetryPolicy{MaxBackoff: time.Second, HedgeDelay: time.Second}, []string{
			"max-backoff: a ceiling of 1s without any pause (backoff)",
			"second-after: a second attempt after 1s is outside the window of 1s in which repeats are discarded (class.window)",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			problems := CheckPolicy(tc.policy, class, limits)
			if len(problems) != len(tc.want) {
				t.Fatalf("got problems %v, want %q", problems, tc.want)
			}
			for i, problem := range problems {
				if problem.Error() != tc.want[i] || !errors.Is(problem, ErrPolicy) {
					t.Errorf("got problem %v, want %s", problem, tc.want[i])
				}
			}
		})
	}
}
