package controller

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/session"
)

var update = flag.Bool("update", false, "write the golden files anew")

// goldenAt is when the hot-restart document was written, and by whose clock it is read.
const goldenAt = 1000 * time.Second

// goldenFile is a file of testdata, without the newline at its end.
func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(text, []byte("\n"))
}

// wantGolden holds what was written against a file of testdata, byte for byte, or writes that file.
func wantGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(filepath.Join("testdata", name), append(bytes.Clone(got), '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := goldenFile(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
}

// zeros names each value of a document that is zero, false or empty: one whose key is no longer read comes out so.
func zeros(path string, v any) (out []string) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			out = append(out, zeros(path+"."+k, e)...)
		}
		if len(v) > 0 {
			return out
		}
	case []any:
		for i, e := range v {
			out = append(out, zeros(fmt.Sprintf("%s[%d]", path, i), e)...)
		}
		if len(v) > 0 {
			return out
		}
	case float64:
		if v != 0 {
			return nil
		}
	case string:
		if v != "" {
			return nil
		}
	case bool:
		if v {
			return nil
		}
	}
	return append(out, path)
}

// heir is a Node that has taken over the golden hot-restart document.
func heir(t *testing.T) *Controller {
	t.Helper()
	cfg, joined := testConfig(), membership.DefaultSettings("f")
	cfg.CachedEndpoints, cfg.Membership = nil, &joined
	cfg.Settings.ClassNames = []string{"chat", "bulk"}
	cfg.Settings.Classes = append(cfg.Settings.Classes, cfg.Settings.Classes[0])
	n, err := New(goldenAt, cfg, &host{orders: map[uint64][]session.Command{}}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.JoinMembership(goldenAt)
	if err := n.RestoreState(goldenAt, goldenFile(t, "hot_restart.json")); err != nil {
		t.Fatal(err)
	}
	return n
}

// What one version hands over the next one reads, whatever its types are called: no key may change unseen, nor one come
// or go. A key that is changed on purpose is changed in the file by hand, for -update writes only what is still read.
func TestNode_HotRestartGolden(t *testing.T) {
	text := goldenFile(t, "hot_restart.json")
	var b hotrestart.Document
	var plain any
	if err := json.Unmarshal(text, &b); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &plain); err != nil {
		t.Fatal(err)
	}
	if z := zeros("", plain); len(z) > 0 {
		t.Fatalf("the document tells nothing of %q", z)
	}
	again, err := json.Marshal(b)
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("%v\n got %s\nwant %s", err, again, text)
	}
	n := heir(t)
	if len(n.Backends()) != 3 || !n.Drained() {
		t.Errorf("%d backends, drained %v", len(n.Backends()), n.Drained())
	}
	wrote, err := n.ExportState(goldenAt)
	if err != nil {
		t.Fatal(err)
	}
	wantGolden(t, "hot_restart.json", wrote)
}

// What a process goes on seeing is told in a form that the next version reads.
func TestNode_SeenGolden(t *testing.T) {
	n := heir(t)
	for i, line := range []string{"c=chat,d=1000,at=a", "c=bulk,d=1000,at=a", "c=chat,d=1000,at=b"} {
		seq := uint64(i + 1)
		f := session.New(seq, n.Settings(), n.Metrics())
		g, err := f.ReadHandshake(goldenAt, fmt.Appendf(nil, "OPEN %016x %016x %s\r\n", seq, seq, line), true)
		if err != nil || !g.Opened {
			t.Fatalf("%+v, %v", g, err)
		}
		n.SessionOpened(goldenAt, f)
	}
	n.HealthCheckDone(goldenAt, balance.HealthCheckResult{Backend: discovery.BackendID("b"), Load: []float32{0.5}, Latency: 3 * time.Millisecond})
	n.SessionEvent(goldenAt, 3, session.Event{Kind: session.LoadReported, Load: 0.25})
	wrote, err := n.ExportLoad()
	if err != nil {
		t.Fatal(err)
	}
	wantGolden(t, "seen.json", wrote)

	text := goldenFile(t, "seen.json")
	var m balance.Snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(m); err != nil || !bytes.Equal(again, text) {
		t.Errorf("%v\n got %s\nwant %s", err, again, text)
	}
	next := heir(t)
	if err := next.ImportLoad(goldenAt, text); err != nil {
		t.Fatal(err)
	}
	heard := next.balancer.(decision.Snapshotter).Snapshot()
	if len(heard.Backends) != 2 || len(m.Backends) != 2 {
		t.Fatalf("%d servers, the file has %d", len(heard.Backends), len(m.Backends))
	}
	for i, s := range heard.Backends {
		if s.TrackedLoad != m.Backends[i].TrackedLoad || s.TrackedLoad == 0 {
			t.Errorf("server %d holds %v, the file says %v", i, s.TrackedLoad, m.Backends[i].TrackedLoad)
		}
	}
}
