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
		{"a backend whose name does not match its ID", `"members":[{"name":"`, `"members":[{"name":"x`, 0, false},
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
				t.Errorf("%d backends, drained %v, error %v", len(controller.Backends()), controller.Drained(), err)
			}
		})
	}
}

// The limits leave out the descriptors that the other process holds, so that both processes together stay within the total.
func TestController_LimitsAreSharedByBothProcesses(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	controller.SetDescriptors(256)
	controller.SetOtherProcessDescriptors(time.Second, 120)
	controller.SetOtherProcessDescriptors(time.Second, 0)
	if len(driver.limits) != 2 || driver.limits[0] != AllocateDescriptors(136, 64, false) || driver.limits[1] != AllocateDescriptors(256, 64, false) {
		t.Errorf("limits set: %+v", driver.limits)
	}
}

// Guards against two processes that together admit more sessions than the memory limit of the relay allows.
func TestController_MemoryLimitIsSharedByBothProcesses(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryMB, cfg.MaxDescriptors = 32, 4096
	controller, driver := newTestController(t, cfg)
	controller.SetDescriptors(cfg.MaxDescriptors)
	alone := AllocateDescriptors(cfg.MaxDescriptors, cfg.MemoryMB, false)
	reserved := ReservedDescriptors + alone.HealthChecks
	for _, otherSessions := range []int{0, 1, 100, alone.Sessions - 1, alone.Sessions, 2 * alone.Sessions} {
		controller.SetOtherProcessDescriptors(time.Second, reserved+descriptorsPerSession*otherSessions)
		want := max(1, alone.Sessions-otherSessions)
		if got := driver.limits[len(driver.limits)-1].Sessions; got != want {
			t.Errorf("%d sessions allowed beside %d of the other process, want %d", got, otherSessions, want)
		}
	}
}

// Processes of different versions read one another's state, so a JSON key that is renamed, added or removed must be noticed. A
// key that is changed on purpose is changed in the file by hand: -update writes only the keys that are still read.
func TestController_StateGolden(t *testing.T) {
	text := readGolden(t, "hot_restart.json")
	var document hotrestart.Document
	var untyped any
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &untyped); err != nil {
		t.Fatal(err)
	}
	if zeros := zeroValues("", untyped); len(zeros) > 0 {
		t.Fatalf("the golden document has zero or empty values at %q", zeros)
	}
	encoded, err := json.Marshal(document)
	if err != nil || !bytes.Equal(encoded, text) {
		t.Errorf("%v\n got %s\nwant %s", err, encoded, text)
	}
	controller := newSuccessor(t)
	if len(controller.Backends()) != 3 || !controller.Drained() {
		t.Errorf("%d backends, drained %v; want 3, true", len(controller.Backends()), controller.Drained())
	}
	exported, err := controller.ExportState(goldenAt)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "hot_restart.json", exported)
}

// The exported load is read by processes of other versions, so its JSON form must not change unnoticed.
func TestController_LoadGolden(t *testing.T) {
	controller := newSuccessor(t)
	for i, line := range []string{"c=chat,d=1000,at=a", "c=bulk,d=1000,at=a", "c=chat,d=1000,at=b"} {
		sequence := uint64(i + 1)
		opened := session.New(sequence, controller.Settings(), controller.Metrics())
		result, err := opened.ReadHandshake(goldenAt, fmt.Appendf(nil, "OPEN %016x %016x %s\r\n", sequence, sequence, line), true)
		if err != nil || !result.Opened {
			t.Fatalf("the OPEN line is not accepted: %+v, %v", result, err)
		}
		controller.SessionOpened(goldenAt, opened)
	}
	controller.HealthCheckDone(goldenAt, balance.HealthCheckResult{Backend: discovery.BackendID("b"), Load: []float32{0.5}, Latency: 3 * time.Millisecond})
	controller.SessionEvent(goldenAt, 3, session.Event{Kind: session.LoadReported, Load: 0.25})
	exported, err := controller.ExportLoad()
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "seen.json", exported)

	text := readGolden(t, "seen.json")
	var snapshot balance.Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	if encoded, err := json.Marshal(snapshot); err != nil || !bytes.Equal(encoded, text) {
		t.Errorf("%v\n got %s\nwant %s", err, encoded, text)
	}
	successor := newSuccessor(t)
	if err := successor.ImportLoad(goldenAt, text); err != nil {
		t.Fatal(err)
	}
	imported := successor.balancer.(decision.Snapshotter).Snapshot()
	if len(imported.Backends) != 2 || len(snapshot.Backends) != 2 {
		t.Fatalf("%d backends imported, the golden file has %d; want 2", len(imported.Backends), len(snapshot.Backends))
	}
	for i, backend := range imported.Backends {
		if backend.TrackedLoad != snapshot.Backends[i].TrackedLoad || backend.TrackedLoad == 0 {
			t.Errorf("backend %d has tracked load %v, the golden file has %v", i, backend.TrackedLoad, snapshot.Backends[i].TrackedLoad)
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

// zeroValues returns the paths of all zero, false or empty values of a document: a key that is not read gives such a value.
func zeroValues(path string, value any) (paths []string) {
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			paths = append(paths, zeroValues(path+"."+key, element)...)
		}
		if len(value) > 0 {
			return paths
		}
	case []any:
		for i, element := range value {
			paths = append(paths, zeroValues(fmt.Sprintf("%s[%d]", path, i), element)...)
		}
		if len(value) > 0 {
			return paths
		}
	case float64:
		if value != 0 {
			return nil
		}
	case string:
		if value != "" {
			return nil
		}
	case bool:
		if value {
			return nil
		}
	}
	return append(paths, path)
}

// newSuccessor returns a controller that has restored the golden document.
func newSuccessor(t *testing.T) *Controller {
	t.Helper()
	cfg, membershipSettings := testConfig(), membership.DefaultSettings("f")
	cfg.CachedEndpoints, cfg.Membership = nil, &membershipSettings
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
