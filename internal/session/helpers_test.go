package session

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden holds what was made now to what an earlier version wrote.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	g, w := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(g), len(w)) {
		switch {
		case i >= len(g):
			t.Fatalf("%s:%d: %q is missing", path, i+1, w[i])
		case i >= len(w):
			t.Fatalf("%s:%d: %q is too much", path, i+1, g[i])
		case g[i] != w[i]:
			t.Fatalf("%s:%d:\ngot  %q\nwant %q", path, i+1, g[i], w[i])
		}
	}
}

// goldenSettings are those of the golden file.
var goldenSettings = &settings.Settings{ClassNames: []string{"chat", "order"}, TenantNames: []string{"acme", "bolt"},
	ZoneNames: []string{"east", "west"}, KindNames: []string{"k"}, ReportFieldNames: []string{"utilization", "x0"},
	Settings: balance.Settings{PassThrough: true, Classes: []balance.Class{{ClientTimeout: 2 * time.Second}, {}}}}

// sessionSettings are those of a relay with one class.
func sessionSettings() *settings.Settings {
	return &settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
}

// testBackends are two backends that are ready.
func testBackends() []*upstream.Backend {
	return []*upstream.Backend{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}}
}

func newTestSession(seq uint64) *Session {
	set, registry := sessionSettings(), &metrics.Registry{}
	registry.SetClasses(set.ClassNames)
	return New(seq, set, registry)
}

// openSession is a session whose client has sent a line.
func openSession(t *testing.T, seq uint64, line string) *Session {
	t.Helper()
	s := newTestSession(seq)
	got, err := s.ReadHandshake(time.Second, []byte(line), true)
	if err != nil || !got.Opened {
		t.Fatalf("%+v, %v", got, err)
	}
	return s
}
