package settings

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
)

const settingsJSON = `{"classes": [{"name": "chat", "effect": "idempotency_key", "dedup-scope": "cell", "give-up-ms": 2000.0,
"on-time-ms": 500, "worth": 3, "dedup-window-ms": 5000}], "never-heard-of": {"x": [1]}, "customers": [{"name": "acme", "portion": 0.4}],
"family-info": {"groups": true, "mode": "pass", "message-aim-ms": [60]}, "n-instances": 2, "me": 1, "tick-ms": 4.0,
"limits": {"probes": true, "try-limit": 4}, "rules": {"fall-ms": 3000, "cold-from": 0.31}, "registry-mode": "on_request",
"azs": ["east", "west"], "kinds": ["k"], "stats": {"how": "on_probe", "fields": ["utilization", "x0", "newer"]}, "weights": "rough"}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(settingsJSON))
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
		len(s.ReportFieldNames) != 3 || s.ReportFieldNames[1] != "x0" {
		t.Errorf("names %+v", s)
	}
	for _, bad := range []string{"", "[]", "{}", `{"classes": [{"effect": "odd"}], "n-instances": 1}`,
		`{"classes": [{"effect": "read_like"}], "n-instances": 0}`,
		`{"classes": [{"effect": "read_like"}], "n-instances": 2, "me": 2}`,
		`{"classes": [{"name": "chat", "effect": "idempotency_key", "dedup-scope": "moon"}], "n-instances": 1}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("Parse(%q) returned no error", bad)
		}
	}
}

func TestFieldError(t *testing.T) {
	parse := func(text []byte) error { _, err := Parse(text); return err }
	for _, tc := range []struct {
		name     string
		check    func([]byte) error
		from, to string
		field    string
		cause    error
		text     string
	}{
		{"no classes", parse, `"classes"`, `"other"`, "classes", ErrNoClasses, "settings: no classes, expected at least one"},
		{"a relay beyond the last", parse, `"me": 1`, `"me": 2`, "me", ErrOutOfRange, "settings: relay 2 of 2, expected 0 <= me < n-instances"},
		{"an unknown effect", parse, `"idempotency_key"`, `"odd"`, "classes[0].effect", ErrUnknownValue,
			`settings: class 0 has unknown effect "odd", expected "read_like", "idempotency_key" or "non_idempotent"`},
		{"an unknown scope", parse, `"cell"`, `"moon"`, "classes[0].dedup-scope", ErrUnknownValue,
			`settings: class 0 has unknown dedup-scope "moon", expected "all", "zone" or "cell"`},
		{"a text for a number", parse, `"me": 1`, `"me": "1"`, "me", nil,
			"settings: json: cannot unmarshal string into Go struct field info.me of type int"},
		{"a class without a name", Validate, `"chat"`, `""`, "classes[0].name", ErrDuplicateName,
			`settings: class 0: name "" is empty or used by an earlier class`},
		{"a timeout of two days", Validate, `2000.0`, `172800000`, "classes[0].give-up-ms", ErrOutOfRange,
			`settings: class "chat": give-up-ms 1.728e+08 is out of range, expected more than 0 and at most 86400000`},
		{"no attempts", Validate, `"try-limit": 4`, `"try-limit": 0`, "limits.try-limit", ErrOutOfRange,
			"settings: limits: try-limit 0 is out of range, expected 1 to 65536"},
		{"no dial timeout", Validate, `"tick-ms"`, `"other"`, "limits.dial-timeout-ms", ErrOutOfRange,
			"settings: limits: dial-timeout-ms 0 is out of range, expected more than 0 and at most 86400000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if !strings.Contains(settingsJSON, tc.from) {
				t.Fatalf("%q is not in settingsJSON", tc.from)
			}
			err := tc.check([]byte(strings.Replace(settingsJSON, tc.from, tc.to, 1)))
			var failure *FieldError
			if !errors.As(err, &failure) || failure.Field != tc.field || tc.cause != nil && !errors.Is(err, tc.cause) {
				t.Fatalf("got error %#v, want a FieldError of %s with cause %v", err, tc.field, tc.cause)
			}
			if err.Error() != tc.text {
				t.Errorf("got error %v, want %s", err, tc.text)
			}
		})
	}
}

func TestFromMilliseconds(t *testing.T) {
	for _, tc := range []struct {
		ms   float64
		want time.Duration
	}{
		{1.5, 1500 * time.Microsecond}, {math.NaN(), 0}, {math.Inf(1), 1e15}, {math.Inf(-1), -1e15}, {-2, -2e6},
	} {
		if got := FromMilliseconds(tc.ms); got != tc.want {
			t.Errorf("%v ms: %v, want %v", tc.ms, got, tc.want)
		}
	}
}
