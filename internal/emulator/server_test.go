package emulator

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestServer_PauseReleasesBacklogAtOnce checks that requests that arrive during a pause, up to the backlog, are all started
// when it ends, and that the cores share them.
func TestServer_PauseReleasesBacklogAtOnce(t *testing.T) {
	s := New(testConfig(), 1, 0)
	s.Arrive(0, Request{100, 0.2})
	s.Pause(100 * ms)
	dropped := 0
	for i := range uint64(14) {
		if s.Arrive(200*ms, Request{i, 0.1}) == Dropped {
			dropped++
		}
	}
	if _, ok := s.NextCompletion(); ok || dropped != 4 {
		t.Fatalf("%d dropped, want 4; a completion during the pause: %v", dropped, ok)
	}
	accepted, rejected := s.Resume(time.Second)
	if len(accepted) != 10 || len(rejected) != 0 {
		t.Fatalf("%d accepted, %d rejected, want 10 and 0", len(accepted), len(rejected))
	}
	at := completionTimes(s, time.Minute)
	if !withinMillisecond(at[0], 1550*ms) || !withinMillisecond(at[100], 1550*ms) { // 11 requests of 0.1 left on two cores
		t.Errorf("done at %v and %v, want 1.55s", at[0], at[100])
	}
	cfg := testConfig()
	cfg.MaxRequests = 3
	s = New(cfg, 1, 0)
	s.Pause(0)
	for i := range uint64(5) {
		s.Arrive(0, Request{i, 0.1})
	}
	if accepted, rejected := s.Resume(ms); len(accepted) != 3 || !slices.Equal(rejected, []uint64{3, 4}) {
		t.Errorf("%v accepted, %v rejected, want three and [3 4]", accepted, rejected)
	}
}

// TestServer_ConservesWork checks that every accepted request ends exactly once, with any pauses and slowdowns, and that no more
// work is done than the cores can do.
func TestServer_ConservesWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Cores = rapid.Float64Range(0.5, 8).Draw(t, "cores")
		cfg.MaxRequests = rapid.IntRange(1, 30).Draw(t, "queue")
		s := New(cfg, 1, 0)
		now, work, outstanding := time.Duration(0), 0.0, map[uint64]bool{}
		settle := func(done []uint64) {
			for _, id := range done {
				if !outstanding[id] {
					t.Fatalf("request %d is done twice or was never accepted", id)
				}
				delete(outstanding, id)
			}
		}
		paused := time.Duration(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
			settle(s.Complete(now))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if !s.paused {
					s.Pause(now)
					paused -= now
				}
			case 1:
				if s.paused {
					paused += now
				}
				_, rejected := s.Resume(now)
				settle(rejected)
			case 2:
				s.SetSlowdown(now, rapid.Float64Range(1, 9).Draw(t, "slow"))
			default:
				w := rapid.Float64Range(0.001, 0.5).Draw(t, "work")
				if v := s.Arrive(now, Request{uint64(i), w}); v == Accepted || v == Queued {
					outstanding[uint64(i)] = true
					work += w
				}
			}
		}
		if s.paused {
			paused += now
			_, rejected := s.Resume(now)
			settle(rejected)
		}
		s.SetSlowdown(now, 1)
		for at, ok := s.NextCompletion(); ok; at, ok = s.NextCompletion() {
			settle(s.Complete(at))
			now = at
		}
		if len(outstanding) > 0 {
			t.Fatalf("%d accepted requests never end", len(outstanding))
		}
		if s.reporter.workDone > work+1e-6 || s.reporter.workDone > cfg.Cores*(now-paused).Seconds()+1e-6 {
			t.Fatalf("%v of work done; %v accepted, %v cores for %v", s.reporter.workDone, work, cfg.Cores, now-paused)
		}
	})
}

func TestServer_ImportsNoIO(t *testing.T) {
	allowed := []string{"container/heap", "math", "math/rand/v2", "time"}
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			if p := strings.Trim(i.Path.Value, `"`); !slices.Contains(allowed, p) {
				t.Errorf("%s imports %s, want only %v", name, p, allowed)
			}
		}
	}
}

// BenchmarkServer_Requests measures the cost of modelling a request with 200 in flight.
func BenchmarkServer_Requests(b *testing.B) {
	cfg := testConfig()
	cfg.MaxRequests = 1 << 20
	s := New(cfg, 1, 0)
	now, id := time.Duration(0), uint64(0)
	for range 200 {
		id++
		s.Arrive(now, Request{id, 1})
	}
	for b.Loop() {
		id++
		now += 10 * ms
		s.Complete(now)
		s.Arrive(now, Request{id, 0.019})
	}
}
