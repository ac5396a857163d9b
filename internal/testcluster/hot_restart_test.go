package testcluster

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/simulation"
)

const (
	hotRestartRelays  = 20
	hotRestartClients = 400
	hotRestartStart   = 2500 * time.Millisecond
)

// burstCluster returns a cluster with spare capacity for a burst that doubles its clients within a second.
func burstCluster() simulation.Installation {
	f := smallCluster(hotRestartRelays, 10, hotRestartClients)
	f.ConnectionLoad /= 3
	return f
}

// arrivalBurst lets as many clients arrive within a second as the cluster has. At the usual rate, one in nineteen of them
// arrives in a second.
func arrivalBurst() fault.Fault {
	return fault.Fault{Kind: "burst", Start: hotRestartStart, Duration: 6 * time.Second, Severity: 1}
}

// descriptorPeak is the highest number of descriptors that the processes of one relay had together.
type descriptorPeak struct {
	mu   sync.Mutex
	peak int
}

func (p *descriptorPeak) observe(view *View) {
	for i := range hotRestartRelays {
		n := view.DescriptorCount(i)
		p.mu.Lock()
		p.peak = max(p.peak, n)
		p.mu.Unlock()
	}
}

// Twenty relays are hot-restarted within a few seconds while as many clients as there are arrive within one second. The
// listening socket is shared by two processes, whose accept loops pause and resume, so a connection could stay in the accept
// queue of a process that no longer accepts, be reset when a process closes the socket, or be answered twice. It must not:
// no connection is refused, none ends without its answer, and no session is lost. A successor that is killed loses the
// connections that it accepted, and no others: the predecessor goes on.
func TestCluster_HotRestartDuringArrivalBurst(t *testing.T) {
	var someRelays, otherRelays []int // a third of the relays, and the others
	for i := range hotRestartRelays {
		if i%3 == 0 {
			someRelays = append(someRelays, i)
		} else {
			otherRelays = append(otherRelays, i)
		}
	}
	for _, tc := range []struct {
		name        string
		restart     fault.Fault
		other       []fault.Fault
		descriptors int
		restarts    int // hot restarts that are completed
	}{
		{name: "all at once", restart: fault.Fault{Kind: kindHotRestart, Severity: 1}, restarts: hotRestartRelays},
		{name: "one after another", restart: fault.Fault{Kind: kindRollingHotRestart, Severity: 1, Duration: 3 * time.Second}, restarts: hotRestartRelays},
		{name: "successors killed before they serve", restart: fault.Fault{Kind: kindHotRestart, Targets: otherRelays}, restarts: len(otherRelays),
			other: []fault.Fault{{Kind: kindEarlySuccessorDeath, Start: hotRestartStart, Duration: 2 * time.Second, Targets: someRelays}}},
		{name: "successors killed while the predecessors end", restart: fault.Fault{Kind: kindHotRestart, Targets: otherRelays}, restarts: hotRestartRelays,
			other: []fault.Fault{{Kind: kindLateSuccessorDeath, Start: hotRestartStart, Duration: 2 * time.Second, Targets: someRelays}}},
		{name: "discovery down", restart: fault.Fault{Kind: kindHotRestart, Severity: 1}, restarts: hotRestartRelays,
			other: []fault.Fault{{Kind: "list out", Start: 2 * time.Second, Duration: 4 * time.Second, Severity: 1}}},
		{name: "backends draining", restart: fault.Fault{Kind: kindHotRestart, Severity: 1}, restarts: hotRestartRelays,
			other: []fault.Fault{{Kind: "backends drain", Start: 2200 * time.Millisecond, Duration: 6 * time.Second, Targets: []int{0, 1, 2}}}},
		{name: "64 descriptors", restart: fault.Fault{Kind: kindHotRestart, Severity: 1}, restarts: hotRestartRelays, descriptors: 64},
		{name: "256 descriptors", restart: fault.Fault{Kind: kindHotRestart, Severity: 1}, restarts: hotRestartRelays, descriptors: 256},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.restart.Start, tc.restart.Duration = hotRestartStart, max(tc.restart.Duration, 2*time.Second)
			directory, peak := t.TempDir(), &descriptorPeak{}
			res := runCluster(t, Options{Duration: 9 * time.Second, Fleet: burstCluster(), WorkDir: directory, Descriptors: tc.descriptors,
				Faults: append([]fault.Fault{tc.restart, arrivalBurst()}, tc.other...), Observe: peak.observe})
			checkHandOver(t, res, tc.restarts)
			checkDescriptorsSufficed(t, directory)
			t.Logf("at most %d descriptors of a relay's processes; served share %.3f, connected within %.0f ms (median) and %.0f ms (99 percent); counts %v; effects %v",
				peak.peak, servedShare(res, 2, 9), res.ConnectLatency.P50, res.ConnectLatency.P99, res.Counts, res.Faults[0].Counts)
		})
	}
}

// checkHandOver fails the test if a hot restart is missing, or if a client was not let in, lost its connection or got no answer
// and the process that had accepted it was not killed.
func checkHandOver(t *testing.T, res Result, restarts int) {
	t.Helper()
	affected := 0
	for _, f := range res.Faults {
		if isHotRestart(f.Kind) {
			affected += f.Counts["struck"]
		}
	}
	if affected != hotRestartRelays {
		t.Errorf("%d relays affected, want %d", affected, hotRestartRelays)
	}
	if n := res.Counts[countHotRestarts]; n != restarts {
		t.Errorf("%d hot restarts completed, want %d", n, restarts)
	}
	for _, event := range []string{"client not let in", "connection ended without an answer", "connection lost", "connection silent", "client gave up"} {
		if n := res.Counts[event]; n > 0 {
			t.Errorf("%d times: %s", n, event)
		}
	}
}

// checkDescriptorsSufficed fails the test if a relay's log reports that descriptors ran out.
func checkDescriptorsSufficed(t *testing.T, directory string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(directory, "n*", "log"))
	if err != nil || len(logs) != hotRestartRelays {
		t.Fatalf("%d logs in %s, want %d: %v", len(logs), directory, hotRestartRelays, err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range []string{`"msg":"accept failed"`, "too many open files", `"msg":"panic`} {
			if strings.Contains(string(text), message) {
				t.Errorf("%s contains %s", path, message)
			}
		}
	}
}
