package testcluster

import (
	"context"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// Each kind of fault has its effect on a cluster under load.
func TestCluster_FaultsTakeEffect(t *testing.T) {
	all := func(kind fault.NodeKind) fault.NodeSet { return fault.NodeSet{Kind: kind} }
	some := func(kind fault.NodeKind, who ...int) fault.NodeSet { return fault.NodeSet{Kind: kind, Indexes: who} }
	for _, tc := range []struct {
		name     string
		fault    fault.Fault
		effect   string // name of the effect, counted at least minCount times
		minCount int
		check    func(t *testing.T, res Result)
	}{
		{"relays paused", fault.Fault{Kind: "relays paused", Targets: []int{0, 1}}, "struck", 2, func(t *testing.T, res Result) {
			if servedShare(res, 9, 11) < 0.95 {
				t.Errorf("served share %.3f after the pause, want at least 0.95", servedShare(res, 9, 11))
			}
		}},
		{"relays killed", fault.Fault{Kind: "relays die together", Targets: []int{0, 1, 2}}, "struck", 3, func(t *testing.T, res Result) {
			if res.Counts["connection lost"] == 0 {
				t.Error("no client lost its connection")
			}
		}},
		{"relays leave", fault.Fault{Kind: "relays leave", Targets: []int{0, 1}}, "struck", 2, func(t *testing.T, res Result) {
			if res.Counts["moved"] == 0 || res.Counts["connection lost"] > 0 {
				t.Errorf("%d clients migrated, want some; %d connections lost, want none", res.Counts["moved"], res.Counts["connection lost"])
			}
		}},
		{"relays to backends one way", fault.Fault{Kind: "link", Link: &fault.Link{From: some(fault.Relays, 0, 1), To: all(fault.Backends), Partitioned: true}}, "held", 5, nil},
		{"backends to relays one way", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Backends), To: some(fault.Relays, 0), Partitioned: true}}, "held", 3, nil},
		{"slow way to clients", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: all(fault.Clients), Delay: 200 * time.Millisecond}}, "delayed", 50,
			func(t *testing.T, res Result) {
				if s := servedShare(res, 5, 7); s > 0.5 {
					t.Errorf("served share %.3f though every line is late, want at most 0.5", s)
				}
			}},
		// The delay is longer than any client timeout: each of these requests is abandoned before its line arrives.
		{"way to backends slower than clients wait", fault.Fault{Kind: "link", Link: &fault.Link{From: some(fault.Relays, 0, 1), To: all(fault.Backends), Delay: 4 * time.Second}}, "delayed", 5, nil},
		{"lossy way to backends", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: all(fault.Backends), Bidirectional: true, LossRate: 0.3}}, "datagrams lost", 20, nil},
		{"discovery held", fault.Fault{Kind: "list out", Targets: []int{0, 1, 2}}, "struck", 3, nil},
		{"backends vanish", fault.Fault{Kind: "backends vanished", Targets: []int{1}}, "struck", 1, func(t *testing.T, res Result) {
			// The backend returns cold under its old name: relays that consider it warm may overload it.
			last := res.Evenness[len(res.Evenness)-1].Loads[1]
			if during := res.Evenness[5].Loads[1]; during != -1 || last < 0 && res.Counts["cold backend fell over"] == 0 {
				t.Errorf("load %v while the backend is gone, want -1; %v at the end, want 0 or more unless it was overloaded", during, last)
			}
		}},
		{"backends die", fault.Fault{Kind: "backends die", Targets: []int{1}}, "struck", 1, nil},
		{"backends pause", fault.Fault{Kind: "backends paused", Targets: []int{1}}, "struck", 1, nil},
		{"relays start late", fault.Fault{Kind: "relays start late", Targets: []int{0, 1, 2, 3}}, "struck", 4, func(t *testing.T, res Result) {
			if s := servedShare(res, 2, 12); s < 0.9 {
				t.Errorf("served share %.3f, want at least 0.9", s)
			}
		}},
		{"rolling restart", fault.Fault{Kind: "rolling restart", Targets: []int{0, 1, 2}}, "struck", 3, nil},
		{"datagrams held and let go", fault.Fault{Kind: "link", Link: &fault.Link{From: some(fault.Relays, 0), To: all(fault.Backends), Buffered: true}}, "held", 1, nil},
		{"clients cut from a relay", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Clients), To: some(fault.Relays, 0, 1), Partitioned: true}}, "held", 1, nil},
		{"list differs", fault.Fault{Kind: "list differs", Targets: []int{0, 1}}, "struck", 2, nil},
		{"list late", fault.Fault{Kind: "list late", Severity: 0.2}, "struck", 8, nil},
		{"burst", fault.Fault{Kind: "burst", Severity: 0.5}, "struck", 40, func(t *testing.T, res Result) {
			if before, during := res.Evenness[3].MeanLoad, res.Evenness[5].MeanLoad; during < 1.2*before {
				t.Errorf("mean load %.2f before the burst, %.2f during it, want 1.2 times as much", before, during)
			}
		}},
		{"backends slow", fault.Fault{Kind: "backends slow", Targets: []int{2}, Severity: 0.5}, "struck", 1, nil},
		{"backends reset", fault.Fault{Kind: "backends resetting", Targets: []int{2}, Severity: 0.5}, "struck", 1, nil},
		{"backends full", fault.Fault{Kind: "backends full", Targets: []int{2}, Severity: 0.5}, "struck", 1, nil},
		{"backends drain", fault.Fault{Kind: "backends drain", Targets: []int{2}}, "struck", 1, func(t *testing.T, res Result) {
			if res.Counts["moved"] == 0 {
				t.Error("no client was migrated")
			}
		}},
		{"zone cut off", fault.Fault{Kind: "zone cut off", Severity: 0.2}, "struck", 3, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := tc.fault
			f.Start, f.Duration = 4*time.Second, 3*time.Second
			res := runCluster(t, Options{Duration: 12 * time.Second, Fleet: smallCluster(8, 6, 80), Faults: []fault.Fault{f}})
			if got := res.Faults[0]; got.Counts[tc.effect] < tc.minCount || got.StartedAt < 3900*time.Millisecond || got.EndedAt < got.StartedAt+2*time.Second {
				t.Errorf("effects %v from %v to %v, want at least %d of %q, from 3.9 s at the earliest, for 2 s or longer", got.Counts, got.StartedAt, got.EndedAt, tc.minCount, tc.effect)
			}
			if tc.check != nil {
				tc.check(t, res)
			}
		})
	}
}

func TestRun_RejectsFaultWithoutEffect(t *testing.T) {
	t.Parallel()
	_, err := Run(context.Background(), Options{Program: program, Seed: 1, Duration: 3 * time.Second, Fleet: smallCluster(2, 3, 6), Faults: []fault.Fault{
		{Kind: "link", Start: time.Second, Duration: time.Second, ScriptLine: 17, Link: &fault.Link{From: fault.NodeSet{Kind: fault.Relays}, To: fault.NodeSet{Kind: fault.Relays}, LossRate: 1}}}})
	if err == nil || !strings.Contains(err.Error(), "line 17") || !strings.Contains(err.Error(), "had no effect") {
		t.Errorf("total loss on links without traffic: error %v, want one that names line 17 and the missing effect", err)
	}
}
