package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// heldBackend returns a backend that answers requests with the parameter held=1 only once release is closed.
func heldBackend(release <-chan struct{}) *fake.Backend {
	return &fake.Backend{Answer: func(open string) []string {
		if strings.Contains(open, "held=1") {
			<-release
		}
		return []string{"UP it"}
	}}
}

// acceptedClient opens a connection that the process has certainly accepted, and sends no OPEN line on it.
func (process *relayProcess) acceptedClient() *client {
	process.t.Helper()
	c := process.dial()
	c.send("PING")
	c.expect("PONG")
	return c
}

// expectNoSecondRun sends the OPEN line of an open request and fails the test unless it is answered ERR.
func (c *client) expectNoSecondRun(line string) {
	c.t.Helper()
	c.send(line)
	c.expect("ERR")
	c.expectClosed()
}

// Guards against review/8: the processes of a hot restart did not know each other's open requests, so that a request whose
// ID was sent again to the other process ran twice.
func TestHotRestart_OpenIDIsNotServedByOtherProcess(t *testing.T) {
	release := make(chan struct{})
	backend := heldBackend(release)
	sequence := newRestartSequence(t, processOptions{}, backend)
	first := sequence.startNext()
	pendingLine, establishedLine := openRequest(",held=1"), openRequest("")
	pending, established := first.dial(), first.dial()
	established.send(establishedLine)
	established.expect("UP it")
	pending.send(pendingLine)
	waitFor(t, "both requests reach the backend", func() bool { return len(backend.OpenLines()) == 2 })
	straggler, lateStraggler := first.acceptedClient(), first.acceptedClient()

	second := sequence.startNext()
	second.dial().expectNoSecondRun(pendingLine)
	second.dial().expectNoSecondRun(establishedLine)
	successorLine := openRequest("")
	second.dial().send(successorLine)
	waitFor(t, "the successor's request reaches the backend", func() bool { return len(backend.OpenLines()) == 3 })
	straggler.expectNoSecondRun(successorLine)
	stragglerLine := openRequest(",held=1")
	lateStraggler.send(stragglerLine)
	waitFor(t, "the predecessor's late request reaches the backend", func() bool { return len(backend.OpenLines()) == 4 })
	second.dial().expectNoSecondRun(stragglerLine)

	third := sequence.startNext() // while two processes run
	for _, line := range []string{pendingLine, establishedLine, successorLine, stragglerLine} {
		third.dial().expectNoSecondRun(line)
	}
	close(release)
	pending.expect("UP it")
	lateStraggler.expect("UP it")
	if n := len(backend.OpenLines()); n != 4 {
		t.Errorf("%d requests reached the backend, want 4", n)
	}
}

// Guards against a second run of a request after the successor has exited: the predecessor, which accepts connections
// again, still knows its own open requests, and serves connections that it had accepted before.
func TestHotRestart_PredecessorDecidesAgainAfterSuccessor(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	backend := heldBackend(release)
	sequence := newRestartSequence(t, processOptions{}, backend)
	predecessor := sequence.startNext()
	line := openRequest(",held=1")
	predecessor.dial().send(line)
	waitFor(t, "the request reaches the backend", func() bool { return len(backend.OpenLines()) == 1 })
	straggler := predecessor.acceptedClient()
	successor := sequence.startNext()
	successor.signal(syscall.SIGKILL)
	_ = successor.waitForExit()
	predecessor.waitForLog(logSuccessorExited, 1)
	straggler.send(openRequest(""))
	straggler.expect("UP it")
	predecessor.dial().expectNoSecondRun(line)
}

// Guards against a request that waits for a stopped successor beyond its own time: it is refused in time, and the
// successor serves others once it continues.
func TestHotRestart_StoppedSuccessorDelaysNoAnswer(t *testing.T) {
	backend := &fake.Backend{}
	sequence := newRestartSequence(t, processOptions{}, backend)
	predecessor := sequence.startNext()
	straggler := predecessor.acceptedClient()
	successor := sequence.startNext()
	successor.signal(syscall.SIGSTOP)
	start := time.Now()
	straggler.send(strings.Replace(openRequest(""), "d=2000", "d=400", 1))
	straggler.expect("BUSY 1000")
	if took := time.Since(start); took > 450*time.Millisecond { // the request's time and 50 ms
		t.Errorf("answered after %v, want 450 ms at most", took)
	}
	successor.signal(syscall.SIGCONT)
	successor.openSession(openRequest(""))
	if n := len(backend.OpenLines()); n != 1 {
		t.Errorf("%d requests reached the backend, want 1", n)
	}
}

// Guards against losing a connection that moves from a killed predecessor to the successor with its ID, where packets
// pass through: the successor may notice the end of the predecessor later than the connection.
func TestHotRestart_ConnectionMovesFromKilledPredecessor(t *testing.T) {
	backend := &fake.Backend{}
	sequence := newRestartSequence(t, processOptions{mode: "pass"}, backend)
	predecessor := sequence.startNext()
	line := openRequest("")
	predecessor.openSession(line)
	successor := sequence.startNext()
	moved := successor.dial()
	moved.send(line + ",mid=1")
	predecessor.signal(syscall.SIGKILL)
	moved.expect("UP " + strings.Fields(line)[1])
}

// Guards against a successor that never serves because its predecessor, stopped after the hand-over, does not send its IDs.
func TestHotRestart_StoppedPredecessorDelaysSuccessorBriefly(t *testing.T) {
	discovery := newSilentDiscovery(t)
	sequence := newRestartSequence(t, processOptions{}, &fake.Backend{})
	endpoints := sequence.options.knownEndpoints
	sequence.options.discovery, sequence.options.knownEndpoints = discovery.address, nil
	predecessor := startProcess(t, sequence.options)
	successor := launchProcess(t, sequence.options) // it serves once it has an endpoint list
	predecessor.waitForLog(logHandedOver, 1)
	predecessor.signal(syscall.SIGSTOP)
	discovery.resume(endpoints...)
	successor.waitForLog(logIDsMissing, 1)
	successor.address = predecessor.address
	successor.openSession(openRequest(""))
	predecessor.signal(syscall.SIGCONT)
	waitFor(t, "the successor is ready", successor.isReady)
}

// Guards against a second run of a request whose client has left before or after its answer, when its ID comes again to
// the same process, to the other one of a hot restart, or to that one after the first has exited.
func TestHotRestart_IDOfClientThatLeftIsNotServedAgain(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	backend := heldBackend(release)
	sequence := newRestartSequence(t, processOptions{}, backend)
	predecessor := sequence.startNext()
	pendingLine, establishedLine := openRequest(",held=1"), openRequest("")
	pending, established := predecessor.dial(), predecessor.dial()
	established.send(establishedLine)
	established.expect("UP it")
	pending.send(pendingLine)
	waitFor(t, "both requests reach the backend", func() bool { return len(backend.OpenLines()) == 2 })
	_, _ = pending.Close(), established.Close()

	expectNoSecondRuns := func(process *relayProcess) {
		for _, line := range []string{pendingLine, establishedLine} {
			process.dial().expectNoSecondRun(line)
		}
	}
	expectNoSecondRuns(predecessor)
	successor := sequence.startNext()
	expectNoSecondRuns(successor)
	predecessor.signal(syscall.SIGKILL)
	_ = predecessor.waitForExit()
	successor.waitForLog(`"msg":"predecessor process exited"`, 1)
	expectNoSecondRuns(successor)
	if n := len(backend.OpenLines()); n != 2 {
		t.Errorf("%d requests reached the backend, want 2", n)
	}
}
