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
// previous release. Without it the program under test takes both roles.
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

var (
	restoredPattern       = regexp.MustCompile(`"msg":"(?:taken over from the old process|state restored from predecessor process)",.*"backends":(\d+),"drained":(true|false)`)
	handedOverPattern     = regexp.MustCompile(`"msg":"handed over to the [^"]*"`)
	failedHandoverPattern = regexp.MustCompile(`"msg":"nothing is (taken|handed) over"`)
)

// waitForSuccession waits until a successor's admin endpoint reports ready, or drained if its predecessor was, and
// checks that the log says that it restored a list of so many backends.
func (process *relayProcess) waitForSuccession(drained bool, backends int) {
	process.t.Helper()
	want := "SUCCESS"
	if drained {
		want = "FAILURE drained"
	}
	waitFor(process.t, "the successor says "+want, func() bool { return strings.HasPrefix(process.callAdmin(process.t, "READY"), want) })
	m := restoredPattern.FindAllStringSubmatch(process.log.String(), -1)
	if len(m) != 1 || m[0][1] != strconv.Itoa(backends) || m[0][2] != strconv.FormatBool(drained) {
		process.t.Fatalf("taken over is %q, wanted are %d backends and drained %v\n%s", m, backends, drained, process.log)
	}
}

// dispatchesPattern finds the number of dispatched attempts in the answer to STATS.
var dispatchesPattern = regexp.MustCompile(`(?m)^dispatches=(\d+)`)

// dispatchCount returns the number of attempts that a process has dispatched, -1 if it does not answer.
func (process *relayProcess) dispatchCount() int {
	process.t.Helper()
	if m := dispatchesPattern.FindStringSubmatch(process.callAdmin(process.t, "STATS")); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return n
		}
	}
	return -1
}

// memberPattern finds a member in the answer to MEMBERS.
var memberPattern = regexp.MustCompile(`(?m)^member=(\d+) name=\S+ state=(\w+) .*incarnation=(\d+) `)

// memberView is the state of a member as a relay sees it.
type memberView struct {
	state       string
	incarnation uint64
}

// members returns the members that a process knows, by their numbers.
func (process *relayProcess) members() map[int]memberView {
	out := map[int]memberView{}
	for _, m := range memberPattern.FindAllStringSubmatch(process.callAdmin(process.t, "MEMBERS"), -1) {
		number, _ := strconv.Atoi(m[1])
		incarnation, _ := strconv.ParseUint(m[3], 10, 64)
		out[number] = memberView{m[2], incarnation}
	}
	return out
}

// peerAddresses returns free datagram addresses for n relays of a fleet.
func peerAddresses(t *testing.T, n int) (addresses []string) {
	t.Helper()
	for i := range n { // an address of its own for each, so that nobody else takes the port between
		c, err := net.ListenPacket("udp4", fmt.Sprintf("127.77.0.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, c.LocalAddr().String())
		_ = c.Close()
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
	end, done := make(chan struct{}), make(chan struct{})
	held := map[string]int{}
	go func() {
		defer close(done)
		beat := time.NewTicker(20 * time.Millisecond)
		defer beat.Stop()
		for {
			select {
			case <-end:
				return
			case <-beat.C:
			}
			for _, process := range relays {
				if m, ok := process.members()[0]; ok {
					held[m.state]++
				} else {
					held["no answer"]++
				}
			}
		}
	}()
	return func() map[string]int {
		close(end)
		<-done
		return held
	}
}

// waitForConvergence waits until a relay and its observers see all members alive and agree on the relay's
// incarnation, which it returns.
func (process *relayProcess) waitForConvergence(observers []*relayProcess) uint64 {
	process.t.Helper()
	var own uint64
	waitFor(process.t, "the relay and its observers have one view", func() bool {
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

// TestUpgrade_BetweenVersions hot restarts processes of two builds into each other by turns under a steady load: no
// connection is refused or broken, each request is answered once, and each successor has its list of backends from
// its predecessor alone and is drained if the predecessor was. Observers of either build see the relay as a member
// all the time.
func TestUpgrade_BetweenVersions(t *testing.T) {
	const restarts = 6
	programs := []string{otherExecutable(t), ""}
	backends := []*fake.Backend{{}, {}, {}}
	sequence := newRestartSequence(t, processOptions{}, backends...)
	addresses := peerAddresses(t, 3)
	var observers []*relayProcess
	for i, path := range programs {
		options := sequence.options.asMember(i+1, addresses)
		options.executable, options.environment = path, []string{"TMPDIR=" + sequence.directory, "PROXY_MANAGEMENT=127.0.0.1:0"}
		observers = append(observers, startProcess(t, options))
	}
	sequence.options = sequence.options.asMember(0, addresses)
	sequence.options.executable = programs[0]
	old := sequence.startNext()
	incarnation := old.waitForConvergence(observers)
	stopWatch := observeMember(observers)
	// From here on there is no list of backends but the one that is handed over.
	sequence.options.knownEndpoints, sequence.options.discovery = nil, closedAddress(t)
	load := &sessionLoad{address: old.address}
	load.run(6, 3)
	for i := 1; i <= restarts; i++ {
		load.waitForMore(t, 100, 300)
		drained := i == 3 || i == 4 // once in either direction
		if drained {
			if got := old.callAdmin(t, "DRAIN"); !strings.HasPrefix(got, "SUCCESS") {
				t.Fatalf("restart %d: DRAIN is answered %q", i, got)
			}
		}
		sequence.options.executable = programs[i%2]
		successor := startProcess(t, sequence.options)
		successor.waitForSuccession(drained, len(backends))
		waitFor(t, "while both run the successor takes all who come", func() bool {
			was, before := old.dispatchCount(), successor.dispatchCount()
			load.waitForMore(t, 50, 20)
			return was >= 0 && old.dispatchCount() == was && successor.dispatchCount() > before
		})
		old.signal(syscall.SIGTERM)
		if err := old.waitForExit(); err != nil {
			t.Fatalf("restart %d: the predecessor: %v", i, err)
		}
		if n := len(handedOverPattern.FindAllString(old.log.String(), -1)); n != 1 {
			t.Errorf("restart %d: the predecessor has logged %d times that it handed over", i, n)
		}
		load.waitForMore(t, 50, 20)
		if drained {
			successor.waitForSuccession(true, len(backends))
			if got := successor.callAdmin(t, "UNDRAIN"); !strings.HasPrefix(got, "SUCCESS") {
				t.Fatalf("restart %d: UNDRAIN is answered %q", i, got)
			}
			waitFor(t, "the successor takes clients again", func() bool { return strings.HasPrefix(successor.callAdmin(t, "READY"), "SUCCESS") })
		}
		for _, process := range []*relayProcess{old, successor} {
			if line := failedHandoverPattern.FindString(process.log.String()); line != "" {
				t.Errorf("restart %d: %s", i, line)
			}
		}
		if is := successor.waitForConvergence(observers); is <= incarnation {
			t.Errorf("restart %d: the successor's incarnation is %d, the predecessor's was %d", i, is, incarnation)
		} else {
			incarnation = is
		}
		old = successor
	}
	load.waitForMore(t, 100, 300)
	load.stopAndWait()
	held := stopWatch()
	t.Logf("%d restarts; the relay as its observers held it, by answers: %v", restarts, held)
	for state, n := range held { // a doubt, which a late timer on a busy machine may give rise to, is no verdict
		if state != "alive" && state != "suspect" {
			t.Errorf("the relay was held %s in %d answers of its observers", state, n)
		}
	}
	if held["alive"] == 0 {
		t.Error("the observers never held the relay alive")
	}
	load.check(t, countAttempts(backends))
}
