package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// otherExecutableVariable is the environment variable that names another build of the program, such as that of the
// previous release. Without it the program under test is both the older and the newer build.
const otherExecutableVariable = "ASPENBARROW_OTHER_PROGRAM"

// otherExecutable returns the path of the other build, empty for the program under test.
func otherExecutable(t *testing.T) string {
	t.Helper()
	path := os.Getenv(otherExecutableVariable)
	if path == "" {
		return ""
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		t.Fatalf("%s=%s cannot be executed: %v", otherExecutableVariable, path, err)
	}
	return path
}

// Log messages of a hot restart, in the wording of this build and of earlier ones.
var (
	restoredMessagePattern = regexp.MustCompile(`"msg":"(?:[^"]*taken over|state restored from predecessor process|hot restart: takeover failed)[^"]*"`)
	restoredPattern        = regexp.MustCompile(`"msg":"(?:taken over from the old process|state restored from predecessor process)",.*"backends":(\d+),"drained":(true|false)`)
	handedOverPattern      = regexp.MustCompile(`"msg":"(?:handed over to the next process|state handed over to successor process)"`)
	failedHandoverPattern  = regexp.MustCompile(`"msg":"(?:nothing is (?:taken|handed) over|hot restart: (?:takeover|handover) failed)"`)
)

// waitForSuccession waits until a successor's admin endpoint reports ready, or drained if its predecessor was, and
// checks that according to its log it restored the given number of backends.
func (process *relayProcess) waitForSuccession(drained bool, backends int) {
	process.t.Helper()
	want := "SUCCESS"
	if drained {
		want = "FAILURE drained"
	}
	waitFor(process.t, "the successor answers READY with "+want, func() bool { return strings.HasPrefix(process.callAdmin("READY"), want) })
	matches := restoredPattern.FindAllStringSubmatch(process.log.String(), -1)
	if len(matches) != 1 || matches[0][1] != strconv.Itoa(backends) || matches[0][2] != strconv.FormatBool(drained) {
		process.t.Fatalf("log entries of the restored state: %q, want one with %d backends and drained %v\n%s", matches, backends, drained, process.log)
	}
}

// dispatchesPattern finds the number of dispatched attempts in the answer to STATS.
var dispatchesPattern = regexp.MustCompile(`(?m)^dispatches=(\d+)`)

// dispatchCount returns the number of attempts that a process has dispatched, -1 if it does not answer.
func (process *relayProcess) dispatchCount() int {
	process.t.Helper()
	if match := dispatchesPattern.FindStringSubmatch(process.callAdmin("STATS")); match != nil {
		if n, err := strconv.Atoi(match[1]); err == nil {
			return n
		}
	}
	return -1
}

// memberPattern finds a member in the answer to MEMBERS.
var memberPattern = regexp.MustCompile(`(?m)^member=(\d+) name=\S+ state=(\w+) .*incarnation=(\d+) `)

// memberView is the state of a member as a relay reports it.
type memberView struct {
	state       string
	incarnation uint64
}

// members returns the members that a process reports, by their numbers.
func (process *relayProcess) members() map[int]memberView {
	views := map[int]memberView{}
	for _, match := range memberPattern.FindAllStringSubmatch(process.callAdmin("MEMBERS"), -1) {
		number, _ := strconv.Atoi(match[1])
		incarnation, _ := strconv.ParseUint(match[3], 10, 64)
		views[number] = memberView{match[2], incarnation}
	}
	return views
}

// peerAddresses returns free datagram addresses for n relays of a fleet.
func peerAddresses(t *testing.T, n int) (addresses []string) {
	t.Helper()
	for i := range n { // a distinct IP address for each, so that no other program binds the port in between
		connection, err := net.ListenPacket("udp4", fmt.Sprintf("127.77.0.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, connection.LocalAddr().String())
		_ = connection.Close()
	}
	return addresses
}

// asMember returns the options for one of several relays of a fleet.
func (options processOptions) asMember(number int, addresses []string) processOptions {
	settings := strings.NewReplacer("MODE", "proxy", `"n-instances": 1`, fmt.Sprintf(`"n-instances": %d`, len(addresses)),
		`"me": 0`, fmt.Sprintf(`"me": %d`, number)).Replace(settingsTemplate)
	options.extraKeys = map[string]any{"name": fmt.Sprintf("n%d", number), "settings": json.RawMessage(settings), "peers": addresses,
		"peer_listen": addresses[number], "membership": map[string]any{"fleet": "versions"}}
	return options
}

// observeMember polls relays for their view of member 0 until it is stopped, and returns how often they reported each
// state, or "no answer".
func observeMember(relays []*relayProcess) (stop func() map[string]int) {
	stopped, done := make(chan struct{}), make(chan struct{})
	answers := map[string]int{}
	go func() {
		defer close(done)
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
			for _, process := range relays {
				if view, ok := process.members()[0]; ok {
					answers[view.state]++
				} else {
					answers["no answer"]++
				}
			}
		}
	}()
	return func() map[string]int {
		close(stopped)
		<-done
		return answers
	}
}

// waitForConvergence waits until a relay and its observers report all members alive and agree on the relay's
// incarnation, which it returns.
func (process *relayProcess) waitForConvergence(observers []*relayProcess) uint64 {
	process.t.Helper()
	var own uint64
	waitFor(process.t, "the relay and its observers report all members alive and the same incarnation", func() bool {
		own = process.members()[0].incarnation
		for _, observed := range append([]*relayProcess{process}, observers...) {
			view := observed.members()
			if view[0].incarnation != own || own == 0 {
				return false
			}
			for i := range len(observers) + 1 {
				if view[i].state != "alive" {
					return false
				}
			}
		}
		return true
	})
	return own
}

// TestUpgrade_BetweenVersions alternates between two builds in a series of hot restarts under a steady load: no
// connection is refused or broken, each request is answered once, and each successor gets its endpoint list only from
// its predecessor and is drained if the predecessor was. Observers of either build report the relay as a member
// throughout.
func TestUpgrade_BetweenVersions(t *testing.T) {
	const restarts = 6
	executables := []string{otherExecutable(t), ""}
	upgrade := newVersionUpgrade(t, executables)
	stopObserving := observeMember(upgrade.observers)
	upgrade.load.run(6, 3)
	for i := 1; i <= restarts; i++ {
		drained := i == 3 || i == 4 // once in either direction
		upgrade.restart(i, executables[i%2], drained)
	}
	upgrade.load.waitForMore(t, 100, 300)
	upgrade.load.stopAndWait()
	checkObservedStates(t, restarts, stopObserving())
	upgrade.load.check(t, countAttempts(upgrade.backends))
}

// versionUpgrade is a relay under load that is hot restarted with other builds, with observers in its fleet.
type versionUpgrade struct {
	t           *testing.T
	backends    []*fake.Backend
	sequence    *restartSequence
	observers   []*relayProcess
	load        *sessionLoad
	current     *relayProcess
	incarnation uint64
}

// newVersionUpgrade starts an observer of each build and the relay's first process, of the first build.
func newVersionUpgrade(t *testing.T, executables []string) *versionUpgrade {
	t.Helper()
	upgrade := &versionUpgrade{t: t, backends: []*fake.Backend{{}, {}, {}}}
	upgrade.sequence = newRestartSequence(t, processOptions{}, upgrade.backends...)
	addresses := peerAddresses(t, len(executables)+1)
	for i, executable := range executables {
		options := upgrade.sequence.options.asMember(i+1, addresses)
		options.executable = executable
		options.environment = []string{"TMPDIR=" + upgrade.sequence.directory, "PROXY_MANAGEMENT=127.0.0.1:0"}
		upgrade.observers = append(upgrade.observers, startProcess(t, options))
	}
	upgrade.sequence.options = upgrade.sequence.options.asMember(0, addresses)
	upgrade.sequence.options.executable = executables[0]
	upgrade.current = upgrade.sequence.startNext()
	upgrade.incarnation = upgrade.current.waitForConvergence(upgrade.observers)
	upgrade.load = &sessionLoad{address: upgrade.current.address}
	// From here on the predecessor is the only source of the endpoint list.
	upgrade.sequence.options.knownEndpoints, upgrade.sequence.options.discovery = nil, closedAddress(t)
	return upgrade
}

// restart replaces the current process by one of the given build, after DRAIN if drained is true, and checks the
// handover.
func (upgrade *versionUpgrade) restart(number int, executable string, drained bool) {
	t := upgrade.t
	t.Helper()
	predecessor := upgrade.current
	upgrade.load.waitForMore(t, 100, 300)
	if drained {
		predecessor.expectAdminSuccess("DRAIN")
	}
	upgrade.sequence.options.executable = executable
	successor := startProcess(t, upgrade.sequence.options)
	successor.waitForSuccession(drained, len(upgrade.backends))
	upgrade.waitForTakeover(predecessor, successor)
	predecessor.signal(syscall.SIGTERM)
	if err := predecessor.waitForExit(); err != nil {
		t.Fatalf("restart %d: exit of the predecessor: %v", number, err)
	}
	if n := len(handedOverPattern.FindAllString(predecessor.log.String(), -1)); n != 1 {
		t.Errorf("restart %d: the predecessor has logged %d handovers, want 1", number, n)
	}
	upgrade.load.waitForMore(t, 50, 20)
	if drained {
		successor.waitForSuccession(true, len(upgrade.backends))
		successor.expectAdminSuccess("UNDRAIN")
		waitFor(t, "the successor is ready after UNDRAIN", successor.isReady)
	}
	for _, process := range []*relayProcess{predecessor, successor} {
		if line := failedHandoverPattern.FindString(process.log.String()); line != "" {
			t.Errorf("restart %d: %s", number, line)
		}
	}
	upgrade.current = successor
	upgrade.checkIncarnation(number)
}

// waitForTakeover waits until, with both processes running, only the successor dispatches new requests.
func (upgrade *versionUpgrade) waitForTakeover(predecessor, successor *relayProcess) {
	upgrade.t.Helper()
	waitFor(upgrade.t, "only the successor dispatches new requests", func() bool {
		predecessorBefore, successorBefore := predecessor.dispatchCount(), successor.dispatchCount()
		upgrade.load.waitForMore(upgrade.t, 50, 20)
		return predecessorBefore >= 0 && predecessor.dispatchCount() == predecessorBefore &&
			successor.dispatchCount() > successorBefore
	})
}

// checkIncarnation waits until the observers agree on the incarnation of the current process and checks that it is
// higher than its predecessor's.
func (upgrade *versionUpgrade) checkIncarnation(number int) {
	upgrade.t.Helper()
	incarnation := upgrade.current.waitForConvergence(upgrade.observers)
	if incarnation <= upgrade.incarnation {
		upgrade.t.Errorf("restart %d: the successor's incarnation is %d, the predecessor's was %d", number, incarnation,
			upgrade.incarnation)
		return
	}
	upgrade.incarnation = incarnation
}

// checkObservedStates fails the test if observers reported the relay in any state but alive or suspect. A late timer on
// a busy machine may raise a suspicion, which does not yet declare the relay dead.
func checkObservedStates(t *testing.T, restarts int, answers map[string]int) {
	t.Helper()
	t.Logf("%d restarts; answers of the observers by reported state of the relay: %v", restarts, answers)
	for state, n := range answers {
		if state != "alive" && state != "suspect" {
			t.Errorf("observers reported the relay as %s in %d answers", state, n)
		}
	}
	if answers["alive"] == 0 {
		t.Error("no observer reported the relay alive")
	}
}
