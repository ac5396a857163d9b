package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/hotrestart"
)

// sharingProcess is a process of a relay with links to its predecessor and its successor.
type sharingProcess struct {
	t          *testing.T
	controller *Controller
	driver     *fakeDriver
	others     map[hotrestart.Process]*sharingProcess
	inbox      []func() // messages that have been sent to this process and not been handled
	stopped    bool     // messages stay in the inbox
}

const sharedAt = 2 * time.Second

// newSharingProcesses starts the given number of processes one after the other. Discovery has told the first the list with
// version 1.
func newSharingProcesses(t *testing.T, number int) []*sharingProcess {
	t.Helper()
	processes := make([]*sharingProcess, number)
	for i := range processes {
		p := &sharingProcess{t: t, others: map[hotrestart.Process]*sharingProcess{}}
		p.controller, p.driver = newTestController(t, testConfig())
		p.driver.sendEndpoints = p.send
		processes[i] = p
		if i == 0 {
			p.tell(1, true, "a ready", "b ready", "c ready")
			continue
		}
		state, err := processes[i-1].controller.ExportState(sharedAt)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.controller.RestoreState(sharedAt, state); err != nil {
			t.Fatal(err)
		}
		processes[i-1].others[hotrestart.Successor], p.others[hotrestart.Predecessor] = p, processes[i-1]
		processes[i-1].controller.SuccessorConnected(sharedAt)
	}
	return processes
}

// send queues a message, encoded and parsed as on the link.
func (p *sharingProcess) send(to hotrestart.Process, message hotrestart.EndpointMessage) {
	other := p.others[to]
	if other == nil {
		return
	}
	lines, err := message.Encode()
	if err != nil {
		p.t.Fatal(err)
	}
	for _, line := range lines {
		parsed, err := hotrestart.ParseEndpointMessage(line)
		if err != nil {
			p.t.Fatal(err)
		}
		other.inbox = append(other.inbox, func() { other.controller.HandleEndpointMessage(sharedAt, otherThan(to), parsed) })
	}
}

// exchange handles all messages until none is left but those of stopped processes.
func exchange(t *testing.T, processes []*sharingProcess) {
	t.Helper()
	handled := 0
	for progress := true; progress; {
		progress = false
		for _, p := range processes {
			if p.stopped || len(p.inbox) == 0 {
				continue
			}
			next := p.inbox[0]
			p.inbox = p.inbox[1:]
			next()
			progress = true
			if handled++; handled > 1000 {
				t.Fatal("the processes send one another messages without end")
			}
		}
	}
}

// cut ends the link to the successor as the end of either process does.
func (p *sharingProcess) cut() {
	successor := p.others[hotrestart.Successor]
	delete(p.others, hotrestart.Successor)
	delete(successor.others, hotrestart.Predecessor)
	p.inbox, successor.inbox = nil, nil
	p.controller.SuccessorExited(sharedAt)
	successor.controller.PredecessorExited(sharedAt)
}

// tell has the agent of the test configuration tell the process the states of backends.
func (p *sharingProcess) tell(version uint64, full bool, entries ...string) {
	p.tellAs("d:1", version, full, entries...)
}

func (p *sharingProcess) tellAs(agent string, version uint64, full bool, entries ...string) {
	p.t.Helper()
	servers := make([]string, 0, len(entries))
	for _, entry := range entries {
		name, state, _ := strings.Cut(entry, " ")
		servers = append(servers, fmt.Sprintf(`{"id":%q,"addr":"h:%s","state":%q,"weight":1}`, name, name, state))
	}
	body := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(servers, ","))
	list, err := discovery.ParseEndpoints([]byte(body), p.controller.Settings())
	if err != nil {
		p.t.Fatal(err)
	}
	list.Agent = agent
	kind := balance.UpdateDelta
	if full {
		kind = balance.UpdateFull
	}
	p.controller.EndpointsUpdated(sharedAt, list, kind)
}

// ready returns the names of the ready backends of a process.
func (p *sharingProcess) ready() string {
	var names []string
	for _, b := range p.controller.Backends() {
		if b.Listed.State == balance.StateReady {
			names = append(names, b.Name)
		}
		if (b.ClosedAt() == 0) != (b.Listed.State == balance.StateReady) {
			p.t.Errorf("backend %s in state %v is closed at %v", b.Name, b.Listed.State, b.ClosedAt())
		}
	}
	return strings.Join(names, "")
}

// expectReady checks which backends are ready at each process.
func expectReady(t *testing.T, processes []*sharingProcess, want string) {
	t.Helper()
	for i, p := range processes {
		if got := p.ready(); got != want {
			t.Errorf("process %d has ready backends %q, want %q", i, got, want)
		}
	}
}

// Guards against review/10: what discovery told one process of a hot restart did not reach the other, which went on using a
// draining backend. Either process, and each of three, is told first; the others are told the same later.
func TestSharedEndpoints_ToldToOneBindsAll(t *testing.T) {
	for _, tc := range []struct {
		name    string
		full    bool
		entries []string
		want    string
	}{
		{"draining, as a change", false, []string{"a draining"}, "bc"},
		{"draining, in a full list", true, []string{"a draining", "b ready", "c ready"}, "bc"},
		{"removed, as a change", false, []string{"b gone"}, "ac"},
		{"removed, by a full list without it", true, []string{"a ready", "c ready"}, "ac"},
		{"a new backend", false, []string{"d ready"}, "abcd"},
		{"draining and gone before any process knew it", false, []string{"e draining", "f gone"}, "abc"},
	} {
		for number := 2; number <= 3; number++ {
			for first := range number {
				t.Run(fmt.Sprint(tc.name, ", ", first, " of ", number), func(t *testing.T) {
					processes := newSharingProcesses(t, number)
					processes[first].tell(2, tc.full, tc.entries...)
					exchange(t, processes)
					expectReady(t, processes, tc.want)
					for _, p := range processes {
						p.tell(2, tc.full, tc.entries...)
					}
					exchange(t, processes)
					expectReady(t, processes, tc.want)
				})
			}
		}
	}
}

// A backend that drains, goes and comes back: the process that is told the later state last does not return to the earlier one.
func TestSharedEndpoints_OlderAnswerDoesNotReplaceNewer(t *testing.T) {
	for _, full := range []bool{false, true} {
		for first := range 2 {
			t.Run(fmt.Sprint(full, first), func(t *testing.T) {
				processes := newSharingProcesses(t, 2)
				ahead, behind := processes[first], processes[1-first]
				ahead.tell(2, false, "a draining", "b draining")
				ahead.tell(4, false, "a ready", "c draining", "d ready")
				exchange(t, processes)
				expectReady(t, processes, "ad")
				if full {
					behind.tell(3, true, "a draining", "b draining", "c ready")
				} else {
					behind.tell(3, false, "a draining", "c ready")
				}
				exchange(t, processes)
				expectReady(t, processes, "ad")
				behind.tell(5, true, "a draining", "b ready")
				exchange(t, processes)
				expectReady(t, processes, "b")
			})
		}
	}
}

// Both are told something else before either message arrives, also where the newer answer changes nothing at its process.
func TestSharedEndpoints_MessagesCross(t *testing.T) {
	for first := range 2 {
		processes := newSharingProcesses(t, 2)
		ahead, behind := processes[first], processes[1-first]
		behind.tell(2, false, "a draining", "b draining", "e ready")
		ahead.tell(3, true, "a ready", "b draining", "c ready")
		exchange(t, processes)
		expectReady(t, processes, "ac")
	}
}

// A process that is stopped handles what it was sent once it continues; a newer answer of discovery may come before.
func TestSharedEndpoints_StoppedProcessCatchesUp(t *testing.T) {
	for stopped := range 2 {
		processes := newSharingProcesses(t, 2)
		processes[stopped].stopped = true
		processes[1-stopped].tell(2, false, "a draining")
		processes[1-stopped].tell(3, false, "b draining")
		exchange(t, processes)
		processes[stopped].tell(4, false, "b ready")
		processes[stopped].stopped = false
		exchange(t, processes)
		expectReady(t, processes, "bc")
	}
}

// After the link has been cut each process follows its own answers; a process that knows nothing of the messages has no other.
func TestSharedEndpoints_LinkCut(t *testing.T) {
	processes := newSharingProcesses(t, 2)
	processes[0].tell(2, false, "a draining")
	processes[0].cut()
	expectReady(t, processes[1:], "abc")
	for _, p := range processes {
		p.tell(3, true, "a draining", "b ready", "c ready")
		p.tell(4, false, "c draining")
	}
	expectReady(t, processes, "b")
}

// An agent that has restarted counts from the beginning: the list of either process is newer than what both have.
func TestSharedEndpoints_AgentRestarts(t *testing.T) {
	for first := range 2 {
		processes := newSharingProcesses(t, 2)
		processes[0].tell(50, false, "a draining")
		exchange(t, processes)
		processes[1].tell(51, false)
		processes[first].tell(2, false, "b draining")
		exchange(t, processes)
		expectReady(t, processes, "c")
		processes[1-first].tell(3, true, "a ready", "b draining", "c ready")
		exchange(t, processes)
		expectReady(t, processes, "ac")
		processes[first].tell(4, false, "a draining")
		exchange(t, processes)
		expectReady(t, processes, "c")
	}
}

// The successor has been configured with another agent. A drain that either agent tells binds both; an earlier list of the
// old agent opens nothing. When the successor has exited, the old agent counts again.
func TestSharedEndpoints_ProcessesFollowDifferentAgents(t *testing.T) {
	processes := newSharingProcesses(t, 2)
	predecessor, successor := processes[0], processes[1]
	successor.tellAs("d:2", 7, true, "a draining", "b ready", "c ready", "d ready")
	exchange(t, processes)
	expectReady(t, processes, "bcd")
	predecessor.tell(2, true, "a ready", "b ready", "c ready")
	exchange(t, processes)
	expectReady(t, processes, "bcd")
	predecessor.tell(3, false, "c draining")
	exchange(t, processes)
	expectReady(t, processes, "bd")
	successor.tellAs("d:2", 8, false, "c ready")
	exchange(t, processes)
	expectReady(t, processes, "bcd")
	requests := len(predecessor.driver.endpointRequests)
	predecessor.cut()
	if got := predecessor.driver.endpointRequests[requests:]; len(got) != 1 || got[0] {
		t.Errorf("endpoint requests %v after the successor has exited, want one for the whole list", got)
	}
	predecessor.tell(4, true, "a ready", "b ready")
	expectReady(t, processes[:1], "ab")
}

// Guards against review/9: SIGHUP with an older cached list opened a draining backend again at a process that had the list of
// its predecessor and no answer of discovery yet.
func TestSharedEndpoints_CachedListOfReloadIsOlder(t *testing.T) {
	processes := newSharingProcesses(t, 2)
	processes[0].tell(2, false, "a draining")
	exchange(t, processes)
	cfg := testConfig()
	cfg.CachedEndpoints = []byte(strings.Replace(threeEndpoints, `"version":1`, `"version":9`, 1))
	for _, p := range processes {
		if err := p.controller.Reload(sharedAt, cfg, 256); err != nil {
			t.Fatal(err)
		}
	}
	expectReady(t, processes, "bc")
}

// What the predecessor is told between the export of its state and the start of the messages reaches the successor.
func TestSharedEndpoints_ToldDuringHandOver(t *testing.T) {
	processes := newSharingProcesses(t, 2)
	predecessor, successor := processes[0], processes[1]
	if _, err := predecessor.controller.ExportState(sharedAt); err != nil {
		t.Fatal(err)
	}
	predecessor.tell(2, false, "a draining")
	if len(successor.inbox) != 0 {
		t.Error("a message has been sent before the successor is connected")
	}
	predecessor.controller.SuccessorConnected(sharedAt)
	exchange(t, processes)
	expectReady(t, processes, "bc")
}

// The grace of a draining backend runs from when the first process was told, also at a process that hears of it late.
func TestSharedEndpoints_GraceRunsFromTheFirst(t *testing.T) {
	processes := newSharingProcesses(t, 2)
	processes[0].tell(2, false, "a draining")
	message := processes[1].inbox
	processes[1].inbox = nil
	if len(message) != 1 {
		t.Fatalf("%d messages, want one", len(message))
	}
	processes[1].controller.deliver(sharedAt+5*time.Second, func() {}) // the clock of the stopped process continues
	message[0]()
	if closedAt := processes[1].controller.Backends()[0].ClosedAt(); closedAt != sharedAt {
		t.Errorf("closed at %v, want %v", closedAt, sharedAt)
	}
}

// A predecessor of an earlier version names no version of its list: the first answer of discovery replaces it, and a cached
// list may do so until then, as before.
func TestSharedEndpoints_PredecessorOfEarlierVersion(t *testing.T) {
	predecessor := newSharingProcesses(t, 1)[0]
	predecessor.controller.endpoints.versions = newEndpointVersions() // the state document has the keys of the earlier version
	predecessor.controller.endpoints.byID[discovery.BackendID("a")].Listed.State = balance.StateDraining
	state, err := predecessor.controller.ExportState(sharedAt)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(state), "epoch") {
		t.Fatalf("the state has versions: %s", state)
	}
	successor := newSharingProcesses(t, 1)[0]
	successor.controller, _ = newTestController(t, testConfig())
	if err := successor.controller.RestoreState(sharedAt, state); err != nil {
		t.Fatal(err)
	}
	expectReady(t, []*sharingProcess{successor}, "bc")
	successor.tell(1, true, "a ready", "c ready")
	expectReady(t, []*sharingProcess{successor}, "ac")
}

// A list of 1,024 backends, of which half drain, reaches the other process.
func TestSharedEndpoints_LargeList(t *testing.T) {
	processes := newSharingProcesses(t, 2)
	const backends = 1024
	entries := make([]string, backends)
	for i := range entries {
		entries[i] = fmt.Sprintf("s-%d %s", i, []string{"ready", "draining"}[i%2])
	}
	processes[1].tell(2, true, entries...)
	exchange(t, processes)
	for _, p := range processes {
		if n := len(p.controller.endpoints.listed()); n != backends {
			t.Errorf("%d backends listed, want %d", n, backends)
		}
	}
	if a, b := processes[0].ready(), processes[1].ready(); a != b || strings.Count(a, "s-") != backends/2 {
		t.Errorf("%d and %d backends are ready, want %d", strings.Count(a, "s-"), strings.Count(b, "s-"), backends/2)
	}
}
