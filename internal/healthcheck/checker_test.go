package healthcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// A reload that shortens the idle time holds for connections that were kept before it too.
func TestAKeptConnectionIsUsedWithinTheIdleTimeInForce(t *testing.T) {
	set := settings.Settings{ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{DialTimeout: 250 * time.Millisecond}}
	p := New(&set, 4)
	b := &upstream.Backend{ID: 1, Name: "a"}
	b.SetAddress("h:1")
	pr, step := p.Start(0, b)
	if !step.Dial {
		t.Fatalf("%+v", step)
	}
	pr.Connected(0, "first")
	if step = pr.ReadAnswer(0, "PONG"); step.Keep == nil {
		t.Fatalf("%+v", step)
	}
	shorter := set
	shorter.IdleTimeout = time.Second
	p.SetSettings(&shorter)
	if _, step = p.Start(800*time.Millisecond, b); !step.Dial || len(step.Close) != 1 || step.Close[0] != "first" || p.Connections() != 1 {
		t.Errorf("%+v, %d connections", step, p.Connections())
	}
}

// What backends are asked, and what their answers are taken for, is as it was.
func TestChecker_Golden(t *testing.T) {
	var out strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }

	say("# questions to backends, and their answers")
	for _, set := range []*settings.Settings{names, {}} {
		p := New(set, 1)
		say("%d fields: %q", len(set.ReportFieldNames), p.RequestLine())
		for _, line := range []string{"PONG", "PONG utilization=0.5,x0=0.25", "PONG x0=0.25", "ERR", "BUSY", ""} {
			pr := &Check{Backend: &upstream.Backend{ID: 9}, checker: p}
			pr.ReadAnswer(time.Millisecond, line)
			say("  %q: %s, %v", line, goldenStatuses[pr.Result.Status], pr.Result.Load)
		}
	}
	golden(t, "checks.txt", out.String())
}
