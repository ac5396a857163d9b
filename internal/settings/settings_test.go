package settings

import (
	"math"
	"testing"
	"time"

	"aspenbarrow/balance"
)

const someSettings = `{"classes": [{"name": "chat", "effect": "idempotency_key", "dedup-scope": "cell", "give-up-ms": 2000.0,
"on-time-ms": 500, "worth": 3, "dedup-window-ms": 5000}], "never-heard-of": {"x": [1]}, "customers": [{"name": "acme", "portion": 0.4}],
"family-info": {"groups": true, "mode": "pass", "message-aim-ms": [60]}, "n-instances": 2, "me": 1, "tick-ms": 4.0,
"limits": {"probes": true, "try-limit": 4}, "rules": {"fall-ms": 3000, "cold-from": 0.31}, "registry-mode": "on_request",
"azs": ["east", "west"], "kinds": ["k"], "stats": {"how": "on_probe", "fields": ["utilization", "x0", "newer"]}, "weights": "rough"}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(someSettings))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.Idempotency != balance.IdempotentWithKey || c.DedupScope != balance.ScopeCell || c.MessageLatencyObjective != 60*time.Millisecond ||
		c.DedupWindow != 5*time.Second || !s.Groups || !s.PassThrough || s.RelayIndex != 1 || s.RelayCount != 2 ||
		!s.PollEndpoints || s.Weights != balance.WeightsRough || s.OverloadWindow != 3*time.Second || len(s.Tenants) != 1 ||
		len(s.ReportFields) != 3 || s.ReportFields[1] != balance.FieldLoadShare || s.ReportFields[2] != balance.FieldOther {
		t.Errorf("settings %+v", s)
	}
	if s.ClassNames[0] != "chat" || s.TenantNames[0] != "acme" || s.ZoneNames[1] != "west" || s.KindNames[0] != "k" ||
		len(s.FieldNames) != 3 || s.FieldNames[1] != "x0" {
		t.Errorf("names %+v", s)
	}
	for _, bad := range []string{"", "[]", "{}", `{"classes": [{"effect": "odd"}], "n-instances": 1}`,
		`{"classes": [{"effect": "read_like"}], "n-instances": 0}`,
		`{"classes": [{"effect": "read_like"}], "n-instances": 2, "me": 2}`,
		`{"classes": [{"name": "chat", "effect": "idempotency_key", "dedup-scope": "moon"}], "n-instances": 1}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("settings %q taken", bad)
		}
	}
}

func TestDurationOfOddNumbers(t *testing.T) {
	for _, tc := range []struct {
		ms   float64
		want time.Duration
	}{
		{1.5, 1500 * time.Microsecond}, {math.NaN(), 0}, {math.Inf(1), 1e15}, {math.Inf(-1), -1e15}, {-2, -2e6},
	} {
		if got := Duration(tc.ms); got != tc.want {
			t.Errorf("%v ms: %v, want %v", tc.ms, got, tc.want)
		}
	}
}
