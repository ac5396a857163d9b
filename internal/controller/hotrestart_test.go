package controller

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
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

func TestController_RestoreStateIsAllOrNothing(t *testing.T) {
	predecessor, _ := newTestController(t, testConfig())
	predecessor.SetDrained(true)
	text, err := predecessor.ExportState(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	valid := string(text)
	cfg := testConfig()
	cfg.CachedEndpoints = nil
	for _, tc := range []struct {
		name, from, to string
		age            time.Duration
		accepted       bool
	}{
		{"unchanged", "", "", 0, true},
		{"another version", `"version":1`, `"version":2`, 0, false},
		{"another relay", `"name":"n0"`, `"name":"n9"`, 0, false},
		{"too old", "", "", time.Minute, false},
		{"a backend without a name", `"members":[{"name":"`, `"members":[{"name":"x`, 0, false},
		{"cut short", valid[len(valid)/2:], "", 0, false},
		{"empty", valid, "", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller, _ := newTestController(t, cfg)
			changed := strings.Replace(valid, tc.from, tc.to, 1)
			if tc.from != "" && changed == valid {
				t.Fatalf("%q is not in %s", tc.from, valid)
			}
			err := controller.RestoreState(time.Second+tc.age, []byte(changed))
			if accepted := len(controller.Backends()) > 0; accepted != tc.accepted || accepted != (err == nil) || controller.Drained() != tc.accepted {
				t.Errorf("%d backends, drained %v, %v", len(controller.Backends()), controller.Drained(), err)
			}
		})
	}
}

// Both processes together stay within the descriptors: what the predecessor holds its successor cannot use.
func TestController_LimitsAreSharedByBothProcesses(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	controller.SetDescriptors(256)
	controller.SetOtherProcessDescriptors(time.Second, 120)
	controller.SetOtherProcessDescriptors(time.Second, 0)
	if len(driver.limits) != 2 || driver.limits[0] != AllocateDescriptors(136, 64, false) || driver.limits[1] != AllocateDescriptors(256, 64, false) {
		t.Errorf("%+v", driver.limits)
	}
}

// Processes of different versions read one another's state, so no JSON key may change, come or go unnoticed. A key that is
// changed on purpose is changed in the file by hand: -update writes only what is still read.
func TestController_StateGolden(t *testing.T) {
	text := readGolden(t, "hot_restart.json")
	var b hotrestart.Document
	var plain any
	if err := json.Unmarshal(text, &b); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &plain); err != nil {
		t.Fatal(err)
	}
	if z := zeroValues("", plain); len(z) > 0 {
		t.Fatalf("the document has no value for %q", z)
	}
	again, err := json.Marshal(b)
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("%v\n got %s\nwant %s", err, again, text)
	}
	controller := newSuccessor(t)
	if len(controller.Backends()) != 3 || !controller.Drained() {
		t.Errorf("%d backends, drained %v", len(controller.Backends()), controller.Drained())
	}
	wrote, err := controller.ExportState(goldenAt)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "hot_restart.json", wrote)
}

// The load that a process goes on tracking is read by processes of other versions.
func TestController_LoadGolden(t *testing.T) {
	controller := newSuccessor(t)
	for i, line := range []string{"c=chat,d=1000,at=a", "c=bulk,d=1000,at=a", "c=chat,d=1000,at=b"} {
		sequence := uint64(i + 1)
		opened := session.New(sequence, controller.Settings(), controller.Metrics())
		result, err := opened.ReadHandshake(goldenAt, fmt.Appendf(nil, "OPEN %016x %016x %s\r\n", sequence, sequence, line), true)
		if err != nil || !result.Opened {
			t.Fatalf("%+v, %v", result, err)
		}
		controller.SessionOpened(goldenAt, opened)
	}
	controller.HealthCheckDone(goldenAt, balance.HealthCheckResult{Backend: discovery.BackendID("b"), Load: []float32{0.5}, Latency: 3 * time.Millisecond})
	controller.SessionEvent(goldenAt, 3, session.Event{Kind: session.LoadReported, Load: 0.25})
	wrote, err := controller.ExportLoad()
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "seen.json", wrote)

	text := readGolden(t, "seen.json")
	var m balance.Snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(m); err != nil || !bytes.Equal(again, text) {
		t.Errorf("%v\n got %s\nwant %s", err, again, text)
	}
	next := newSuccessor(t)
	if err := next.ImportLoad(goldenAt, text); err != nil {
		t.Fatal(err)
	}
	imported := next.balancer.(decision.Snapshotter).Snapshot()
	if len(imported.Backends) != 2 || len(m.Backends) != 2 {
		t.Fatalf("%d backends, the file has %d", len(imported.Backends), len(m.Backends))
	}
	for i, s := range imported.Backends {
		if s.TrackedLoad != m.Backends[i].TrackedLoad || s.TrackedLoad == 0 {
			t.Errorf("backend %d has load %v, the file says %v", i, s.TrackedLoad, m.Backends[i].TrackedLoad)
		}
	}
}

var update = flag.Bool("update", false, "write the golden files")

// goldenAt is the time on both processes' clock at which the golden document is written and read.
const goldenAt = 1000 * time.Second

// readGolden returns a file of testdata, without the newline at its end.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(text, []byte("\n"))
}

// checkGolden compares a text with a file of testdata, byte for byte, or with -update writes that file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(filepath.Join("testdata", name), append(bytes.Clone(got), '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
}

// zeroValues returns the paths of all values of a document that are zero, false or empty, as one whose key is not read is.
func zeroValues(path string, v any) (out []string) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			out = append(out, zeroValues(path+"."+k, e)...)
		}
		if len(v) > 0 {
			return out
		}
	case []any:
		for i, e := range v {
			out = append(out, zeroValues(fmt.Sprintf("%s[%d]", path, i), e)...)
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

// newSuccessor returns a controller that has restored the golden document.
func newSuccessor(t *testing.T) *Controller {
	t.Helper()
	cfg, joined := testConfig(), membership.DefaultSettings("f")
	cfg.CachedEndpoints, cfg.Membership = nil, &joined
	cfg.Settings.ClassNames = []string{"chat", "bulk"}
	cfg.Settings.Classes = append(cfg.Settings.Classes, cfg.Settings.Classes[0])
	controller, err := New(goldenAt, cfg, &fakeDriver{commands: map[uint64][]session.Command{}}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	controller.JoinMembership(goldenAt)
	if err := controller.RestoreState(goldenAt, readGolden(t, "hot_restart.json")); err != nil {
		t.Fatal(err)
	}
	return controller
}
