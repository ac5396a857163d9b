package testcluster

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// A start that waits for the network makes relays late when many of them restart at once while discovery refuses or
// does not answer, and 210 processes that start on one machine take each other's processor time. A tenth and seven tenths
// of 300 relays are killed and restart together, half a second later, while their clients reconnect within 200 ms. Nine in
// ten of the restarted processes answer PONG on their listen address within ten seconds. A relay with a cached list is
// ready without discovery, so none of these reports that it has waited for a list.
func TestCluster_RestartedRelaysBecomeReadyInTime(t *testing.T) {
	const relays = 300
	const killed, killedFor = 2 * time.Second, 500 * time.Millisecond
	const length = killed + killedFor + ReadinessTarget + 500*time.Millisecond
	discovery := func(kind string) []fault.Fault { // the first fault ends with the run
		return []fault.Fault{{Kind: kind, Start: time.Second, Duration: length, Severity: 1}}
	}
	for _, tc := range []struct {
		name        string
		restarted   int
		discovery   []fault.Fault
		cachedLists bool
	}{
		{"seven tenths, discovery up", 210, nil, false},
		{"seven tenths, discovery refuses, no cached list", 210, discovery("discovery down"), false},
		{"a tenth, discovery silent, cached list", 30, discovery("list out"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fleet := smallCluster(relays, 20, 300)
			var targets []int
			for i := range tc.restarted {
				targets = append(targets, i)
			}
			dir := t.TempDir()
			res := runCluster(t, Options{Duration: length, Fleet: fleet, WorkDir: dir, CachedLists: tc.cachedLists,
				Faults: append(tc.discovery, fault.Fault{Kind: "relays die together", Start: killed, Duration: killedFor, Targets: targets})})
			first, restarts := SummarizeReadiness(res.FirstStarts), SummarizeReadiness(res.Restarts)
			t.Logf("first starts %+v; restarts %+v; %d connections lost, %d refused at a relay's address, %d established, %d requests failed", first, restarts,
				res.Counts["connection lost"], res.Counts["client not let in"], res.Counts["served"], res.Counts["failed"])
			if first.Starts != relays || restarts.Starts != tc.restarted {
				t.Errorf("%d first starts and %d restarts recorded, want %d and %d", first.Starts, restarts.Starts, relays, tc.restarted)
			}
			if !restarts.NineInTenInTime() {
				t.Errorf("%d of %d restarted relays were ready within %v, want nine in ten", restarts.InTime, restarts.Starts, ReadinessTarget)
			}
			if res.Counts["connection lost"] == 0 {
				t.Error("no client lost its connection, so none came back meanwhile")
			}
			waited := relaysThatLogged(t, dir, "ready without an endpoint list")
			if tc.cachedLists && waited > 0 {
				t.Errorf("%d relays with a cached list waited for one from discovery", waited)
			}
			if tc.discovery != nil && !tc.cachedLists && waited == 0 {
				t.Error("no restarted relay was without an endpoint list, so this run demonstrates nothing")
			}
		})
	}
}

// relaysThatLogged returns how many relays' logs under a cluster's directory contain a message.
func relaysThatLogged(t *testing.T, dir, message string) (n int) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "n*", "log"))
	if err != nil || len(logs) == 0 {
		t.Fatalf("no logs of relays in %s: %v", dir, err)
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), message) {
			n++
		}
	}
	return n
}

// A process that is killed before it answers, one that answers late and one that is still not ready at the end must count
// as late, or a run would pass in which they are left out.
func TestSummarizeReadiness_CountsLateAndMissing(t *testing.T) {
	starts := make([]RelayStart, 10)
	for i := range starts {
		starts[i].ReadyAfter = time.Duration(i+1) * time.Second
	}
	starts[0].ReadyAfter = 0
	summary := SummarizeReadiness(starts)
	if want := (ReadinessSummary{Starts: 10, InTime: 9, NotReady: 1, P50: 6000, P90: 10000, Max: 10000}); summary != want {
		t.Errorf("got %+v, want %+v", summary, want)
	}
	if !summary.NineInTenInTime() {
		t.Error("nine of ten in time are too few")
	}
	starts[9].ReadyAfter++
	if summary = SummarizeReadiness(starts); summary.InTime != 8 || summary.NineInTenInTime() {
		t.Errorf("one process late and one not ready: %+v are accepted", summary)
	}
	if summary = SummarizeReadiness(nil); summary != (ReadinessSummary{}) {
		t.Errorf("without a start: %+v", summary)
	}
}

// A process that was killed must not be recorded as ready when the relay's next process answers on the same address, and one
// that is not ready when the run ends must not be recorded as ready at all. Discovery refuses connections, so each restarted
// relay waits six seconds for a list: one is killed within that time and started again, another starts shortly before the end.
func TestCluster_ReadinessIsOfTheProcess(t *testing.T) {
	t.Parallel()
	const length = 3500*time.Millisecond + ReadinessTarget + 500*time.Millisecond
	res := runCluster(t, Options{Duration: length, Fleet: smallCluster(4, 3, 12), Faults: []fault.Fault{
		{Kind: "discovery down", Start: 500 * time.Millisecond, Duration: length},
		{Kind: "relay killed", Start: time.Second, Duration: 500 * time.Millisecond, Target: 1},
		{Kind: "relay killed", Start: 3 * time.Second, Duration: 500 * time.Millisecond, Target: 1},
		{Kind: "relay killed", Start: 11 * time.Second, Duration: 500 * time.Millisecond, Target: 2}}})
	if len(res.FirstStarts) != 4 || len(res.Restarts) != 3 {
		t.Fatalf("first starts %+v, restarts %+v, want 4 and 3 of them", res.FirstStarts, res.Restarts)
	}
	for _, start := range res.FirstStarts {
		if start.Start != 0 || start.StartedAt > 0 || start.ReadyAfter <= 0 {
			t.Errorf("first start %+v, want one before the run that became ready", start)
		}
	}
	for i, want := range []struct {
		relay, start int
		after        time.Duration
		ready        bool
	}{{1, 1, 1500 * time.Millisecond, false}, {1, 2, 3500 * time.Millisecond, true}, {2, 1, 11500 * time.Millisecond, false}} {
		got := res.Restarts[i]
		if got.Relay != want.relay || got.Start != want.start || got.StartedAt < want.after || got.readyWithin(ReadinessTarget) != want.ready || !want.ready && got.ReadyAfter != 0 {
			t.Errorf("restart %d is %+v, want %+v", i, got, want)
		}
	}
}
