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
	convergedAt    time.Duration // since when all relays have agreed that all are alive; 0: they do not
	views          []string      // of the last poll, by relay
	isolatedDeadAt time.Duration // when all others first held the isolated relays dead; 0: not yet
	falseDeaths    map[int]int   // how often a relay that was not isolated was held dead, by relay
}

// parseMembers parses a relay's answer to MEMBERS: the states by member, and as text what has to be the same at all
// relays, which is index, name, state and incarnation.
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

func (c *memberPoll) observe(view *View) {
	views, states := make([]string, c.relays), make([][]string, c.relays)
	var wg sync.WaitGroup
	for i := range c.relays {
		wg.Go(func() {
			if view.RelayRunning(i) {
				if lines, err := view.QueryAdmin(i, "MEMBERS"); err == nil {
					views[i], states[i] = parseMembers(lines)
				}
			}
		})
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.views = views
	one, all, told := true, true, true
	for i := range c.relays {
		all = all && views[i] != ""
		one = one && views[i] == views[0] && len(states[i]) == c.relays
		for j, state := range states[i] {
			one = one && state == "alive"
			switch off := slices.Contains(c.isolated, j); {
			case slices.Contains(c.isolated, i): // it receives nothing from the others
			case off:
				told = told && state == "dead"
			case state == "dead":
				c.falseDeaths[j]++
			}
		}
	}
	if all {
		c.rounds++
	}
	if all && told && c.isolatedDeadAt == 0 {
		c.isolatedDeadAt = view.Elapsed()
	}
	switch {
	case !one:
		c.convergedAt = 0
	case c.convergedAt == 0:
		c.convergedAt = view.Elapsed()
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
	const cutFrom, cutFor = 13 * time.Second, 8 * time.Second
	c := &memberPoll{relays: relays, isolated: []int{1, 2}, falseDeaths: map[int]int{}}
	script := []fault.Fault{
		{Kind: "rolling restart", Start: 3 * time.Second, Duration: 6 * time.Second, Targets: []int{0, 1, 2, 3, 4, 5}},
		{Kind: "link", Start: cutFrom, Duration: cutFor, Link: &fault.Link{From: fault.NodeSet{Kind: fault.Relays, Indexes: c.isolated},
			To: fault.NodeSet{Kind: fault.Relays}, Bidirectional: true, Partitioned: true}}}
	f := smallCluster(relays, 6, 96)
	f.Membership = true
	res := runCluster(t, Options{Duration: 28 * time.Second, Fleet: f, Faults: script, Observe: c.observe, ProgramFor: programOf})
	t.Logf("%d and %d relays of the two programs, %d and %d restarts into them; %d connections up, %d moved, %d lost, %d failed, service %.3f; %.0f datagrams a second, faults did %v and %v",
		starts[0][0], starts[1][0], starts[0][1], starts[1][1], res.Counts["served"], res.Counts["moved"], res.Counts["connection lost"],
		res.Counts["failed"], servedShare(res, 3, 28), res.Rates.Datagrams, res.Faults[0].Counts, res.Faults[1].Counts)
	t.Logf("dead to all others %v after the cut began, one view %v after its end; %d rounds in which all answered", c.isolatedDeadAt-cutFrom, c.convergedAt-cutFrom-cutFor, c.rounds)
	if want := [2][2]int{{relays / 2, restarted / 2}, {relays / 2, restarted / 2}}; starts != want {
		t.Errorf("starts by program, first and later ones: %v, wanted are %v", starts, want)
	}
	if n := res.Faults[0].Counts["struck"]; n != restarted {
		t.Errorf("%d relays were restarted, wanted are %d", n, restarted)
	}
	if n := res.Counts["connection lost"]; n > 0 {
		t.Errorf("%d connections lost", n)
	}
	if s := servedShare(res, 3, 28); s < 0.9 {
		t.Errorf("service %.3f", s)
	}
	for i, n := range c.falseDeaths {
		t.Errorf("relay %d was held dead in %d answers", i, n)
	}
	if c.isolatedDeadAt < cutFrom || c.isolatedDeadAt > cutFrom+7*time.Second {
		t.Errorf("who was cut off from %v on was held dead by all others at %v", cutFrom, c.isolatedDeadAt)
	}
	if c.convergedAt < cutFrom+cutFor || c.convergedAt > cutFrom+cutFor+6*time.Second {
		t.Errorf("the cut ended at %v, one view since %v; the last views:\n%s", cutFrom+cutFor, c.convergedAt, strings.Join(c.views, "\n"))
	}
}
