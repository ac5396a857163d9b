package testcluster

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// otherProgramVariable is the environment variable with the path of another build of the relay program, such as the
// previous release. If it is unset, the program under test is used for both.
const otherProgramVariable = "ASPENBARROW_OTHER_PROGRAM"

func otherProgram(t *testing.T) string {
	t.Helper()
	path := os.Getenv(otherProgramVariable)
	if path == "" {
		return program
	}
	path, err := filepath.Abs(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		t.Fatalf("%s=%s cannot be executed: %v", otherProgramVariable, path, err)
	}
	return path
}

// memberPoll polls all relays for their views of the membership.
type memberPoll struct {
	relays         int
	isolated       []int // relays that are partitioned from all others for a while
	mu             sync.Mutex
	rounds         int           // polls that all relays answered
	convergedAt    time.Duration // when all relays came to agree that all are alive; 0: they do not
	views          []string      // of the last poll, by relay
	isolatedDeadAt time.Duration // when the isolated relays were first dead in the views of all others; 0: not yet
	falseDeaths    map[int]int   // number of views in which a relay that was not isolated was dead, by relay
}

// parseMembers parses a relay's answer to MEMBERS. It returns the states by member, and as text what has to be the same at
// all relays: index, name, state and incarnation.
func parseMembers(lines []string) (text string, states []string) {
	if len(lines) < 3 || lines[0] != "SUCCESS" {
		return "", nil
	}
	var b strings.Builder
	for _, line := range lines[2:] {
		for _, field := range strings.Fields(line) {
			switch key, value, _ := strings.Cut(field, "="); key {
			case "state":
				states = append(states, value)
				b.WriteString(value + " ")
			case "member", "name", "incarnation":
				b.WriteString(value + " ")
			}
		}
		b.WriteString("\n")
	}
	return b.String(), states
}

func (poll *memberPoll) observe(view *View) {
	views, states := make([]string, poll.relays), make([][]string, poll.relays)
	var wg sync.WaitGroup
	for i := range poll.relays {
		wg.Go(func() {
			if view.RelayRunning(i) {
				if lines, err := view.QueryAdmin(i, "MEMBERS"); err == nil {
					views[i], states[i] = parseMembers(lines)
				}
			}
		})
	}
	wg.Wait()
	poll.mu.Lock()
	defer poll.mu.Unlock()
	poll.views = views
	agree, complete, isolatedDead := true, true, true
	for i := range poll.relays {
		complete = complete && views[i] != ""
		agree = agree && views[i] == views[0] && len(states[i]) == poll.relays
		for j, state := range states[i] {
			agree = agree && state == "alive"
			switch isolated := slices.Contains(poll.isolated, j); {
			case slices.Contains(poll.isolated, i): // relay i receives nothing from the others
			case isolated:
				isolatedDead = isolatedDead && state == "dead"
			case state == "dead":
				poll.falseDeaths[j]++
			}
		}
	}
	if complete {
		poll.rounds++
	}
	if complete && isolatedDead && poll.isolatedDeadAt == 0 {
		poll.isolatedDeadAt = view.Elapsed()
	}
	switch {
	case !agree:
		poll.convergedAt = 0
	case poll.convergedAt == 0:
		poll.convergedAt = view.Elapsed()
	}
}

// Half of the relays run another build of the program. Under load, half of each build's relays restart as the other;
// then one relay of each is partitioned from all others. No rule is violated, no client loses its connection to a
// restart, only the partitioned relays are considered dead, and in the end all relays agree on the membership.
func TestCluster_MixedVersions(t *testing.T) {
	t.Parallel()
	const relays, restarted = 12, 6
	other := otherProgram(t)
	var mu sync.Mutex
	var starts [2][2]int // by program: first starts and restarts
	programOf := func(relay, start int) string {
		version := (relay + start) % 2
		mu.Lock()
		defer mu.Unlock()
		starts[version][min(start, 1)]++
		return []string{program, other}[version]
	}
	const partitionStart, partitionLength = 13 * time.Second, 8 * time.Second
	poll := &memberPoll{relays: relays, isolated: []int{1, 2}, falseDeaths: map[int]int{}}
	script := []fault.Fault{
		{Kind: "rolling restart", Start: 3 * time.Second, Duration: 6 * time.Second, Targets: []int{0, 1, 2, 3, 4, 5}},
		{Kind: "link", Start: partitionStart, Duration: partitionLength, Link: &fault.Link{From: fault.NodeSet{Kind: fault.Relays, Indexes: poll.isolated},
			To: fault.NodeSet{Kind: fault.Relays}, Bidirectional: true, Partitioned: true}}}
	f := smallCluster(relays, 6, 96)
	f.Membership = true
	res := runCluster(t, Options{Duration: 28 * time.Second, Fleet: f, Faults: script, Observe: poll.observe, ProgramFor: programOf})
	t.Logf("%d and %d relays start with the two programs, %d and %d restart with them; %d connections established, %d migrated, %d lost, %d failed, served share %.3f; %.0f datagrams per second, fault effects %v and %v",
		starts[0][0], starts[1][0], starts[0][1], starts[1][1], res.Counts["served"], res.Counts["moved"], res.Counts["connection lost"],
		res.Counts["failed"], servedShare(res, 3, 28), res.Rates.Datagrams, res.Faults[0].Counts, res.Faults[1].Counts)
	t.Logf("dead at all others %v after the start of the partition, all views agree %v after its end; %d polls that all relays answered", poll.isolatedDeadAt-partitionStart, poll.convergedAt-partitionStart-partitionLength, poll.rounds)
	if want := [2][2]int{{relays / 2, restarted / 2}, {relays / 2, restarted / 2}}; starts != want {
		t.Errorf("first starts and restarts by program %v, want %v", starts, want)
	}
	if n := res.Faults[0].Counts["struck"]; n != restarted {
		t.Errorf("%d relays restarted, want %d", n, restarted)
	}
	if n := res.Counts["connection lost"]; n > 0 {
		t.Errorf("%d connections lost", n)
	}
	if s := servedShare(res, 3, 28); s < 0.9 {
		t.Errorf("served share %.3f, want at least 0.9", s)
	}
	for i, n := range poll.falseDeaths {
		t.Errorf("relay %d was dead in %d views", i, n)
	}
	if poll.isolatedDeadAt < partitionStart || poll.isolatedDeadAt > partitionStart+7*time.Second {
		t.Errorf("the relays partitioned from %v on were dead at all others at %v, want within 7 s", partitionStart, poll.isolatedDeadAt)
	}
	if poll.convergedAt < partitionStart+partitionLength || poll.convergedAt > partitionStart+partitionLength+6*time.Second {
		t.Errorf("the partition ended at %v, all views agree since %v, want within 6 s; the last views:\n%s", partitionStart+partitionLength, poll.convergedAt, strings.Join(poll.views, "\n"))
	}
}
