package session

import (
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// goldenSettings are the settings that the golden file was written with.
var goldenSettings = &settings.Settings{ClassNames: []string{"chat", "order"}, TenantNames: []string{"acme", "bolt"},
	ZoneNames: []string{"east", "west"}, KindNames: []string{"k"}, ReportFieldNames: []string{"utilization", "x0"},
	Settings: balance.Settings{PassThrough: true, Classes: []balance.Class{{ClientTimeout: 2 * time.Second}, {}}}}

// sessionSettings returns the settings of a relay with one class.
func sessionSettings() *settings.Settings {
	return &settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
}

// testBackends returns two backends that are ready.
func testBackends() []*upstream.Backend {
	return []*upstream.Backend{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}}
}

func newTestSession(seq uint64) *Session {
	initial, registry := sessionSettings(), &metrics.Registry{}
	registry.SetClasses(initial.ClassNames)
	return New(seq, initial, registry)
}

// openSession returns a session whose client has sent an OPEN line.
func openSession(t *testing.T, seq uint64, line string) *Session {
	t.Helper()
	s := newTestSession(seq)
	got, err := s.ReadHandshake(time.Second, []byte(line), true)
	if err != nil || !got.Opened {
		t.Fatalf("%+v, %v", got, err)
	}
	return s
}
