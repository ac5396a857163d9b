package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"aspenbarrow/internal/fake"
)

// restartSequence starts processes of one relay one after the other, with the same address and directory.
type restartSequence struct {
	t         *testing.T
	options   processOptions
	directory string
}

// newRestartSequence starts backends, three by default, and prepares the options that all processes share.
func newRestartSequence(t *testing.T, options processOptions, backends ...*fake.Backend) *restartSequence {
	t.Helper()
	if len(backends) == 0 {
		backends = []*fake.Backend{{}, {}, {}}
	}
	discovery, endpoints := startBackends(t, backends...)
	directory, err := os.MkdirTemp("", "ab") // short: the length of a socket path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(directory) })
	options.discovery, options.knownEndpoints = discovery.Addr(), endpoints
	// No health checks: on a busy machine their answers come late, and the balancer then rejects requests as it should.
	options.replaceText = [2]string{`"probes":true`, `"probes":false`}
	options.environment = append(options.environment, "TMPDIR="+directory, "PROXY_LISTEN="+closedAddress(t), "PROXY_MANAGEMENT=127.0.0.1:0")
	return &restartSequence{t, options, directory}
}

// startNext starts another process and waits until its admin endpoint reports it ready.
func (sequence *restartSequence) startNext() *relayProcess {
	sequence.t.Helper()
	successor := startProcess(sequence.t, sequence.options)
	waitFor(sequence.t, "the successor is ready", successor.isReady)
	return successor
}

// TestHotRestart_RefusesNoConnectionUnderLoad does ten hot restarts in a row under load: no connection is refused,
// and each predecessor exits with 0 after SIGTERM.
func TestHotRestart_RefusesNoConnectionUnderLoad(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	predecessor := sequence.startNext()
	load := &connectionLoad{}
	load.run(predecessor.address, 8)
	for range 10 {
		successor := sequence.startNext()
		load.waitForAccepted(t, 100)
		predecessor.signal(syscall.SIGTERM)
		if err := predecessor.waitForExit(); err != nil {
			t.Fatalf("exit of the predecessor: %v", err)
		}
		load.waitForAccepted(t, 100)
		predecessor = successor
	}
	load.stopAndCheck(t)
	t.Logf("%d connections accepted over ten hot restarts", load.accepted)
	predecessor.waitForLog(logRestored, 1)
}

// TestHotRestart_FailedSuccessorLeavesPredecessorServing ends successors by SIGTERM and by SIGKILL: the predecessor
// accepts connections again.
func TestHotRestart_FailedSuccessorLeavesPredecessorServing(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	predecessor := sequence.startNext()
	load := &connectionLoad{}
	load.run(predecessor.address, 4)
	for i := range 3 {
		successor := sequence.startNext()
		load.waitForAccepted(t, 50)
		successor.signal(syscall.SIGTERM) // a graceful shutdown: it answers the connections that it has accepted
		if err := successor.waitForExit(); err != nil {
			t.Fatal(err)
		}
		predecessor.waitForLog(logSuccessorExited, i+1)
		load.waitForAccepted(t, 50)
	}
	load.stopAndCheck(t)
	successor := sequence.startNext()
	successor.signal(syscall.SIGKILL)
	_ = successor.waitForExit()
	predecessor.waitForLog(logSuccessorExited, 4)
	predecessor.openSession(openRequest("")).send("ping")
}

// TestHotRestart_SuccessorFailsDuringPredecessorShutdown ends the successor while the predecessor shuts down. Then no
// process accepts connections, and those in the listen queue would be reset when the predecessor closes its listener:
// the predecessor has to accept connections again until it exits.
func TestHotRestart_SuccessorFailsDuringPredecessorShutdown(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		release := make(chan struct{})
		backend := &fake.Backend{Answer: func(open string) []string {
			if strings.Contains(open, "held=1") {
				<-release
			}
			return []string{"UP it"}
		}}
		sequence := newRestartSequence(t, processOptions{}, backend)
		predecessor := sequence.startNext()
		pending := predecessor.dial()
		pending.send(openRequest(",held=1"))
		waitFor(t, "the pending request reaches the backend", func() bool { return len(backend.OpenLines()) == 1 })
		successor := sequence.startNext()
		predecessor.signal(syscall.SIGTERM) // it runs until the pending request is answered
		predecessor.waitForLog(logShutdownStarted, 1)
		successor.signal(sig)
		if err := successor.waitForExit(); (err == nil) != (sig == syscall.SIGTERM) {
			t.Fatal(err)
		}
		predecessor.waitForLog(logSuccessorExited, 1)
		session := predecessor.dial()
		session.send(openRequest(""))
		session.expect("UP it")
		close(release)
		pending.expect("UP it")
		for _, session := range []*client{session, pending} {
			session.expect("MOVE")
			session.expectClosed()
			_ = session.Close()
		}
		if err := predecessor.waitForExit(); err != nil {
			t.Error(err)
		}
	}
}

// TestHotRestart_IgnoresStaleFiles starts a relay in a directory with files of a killed process: it serves and restores
// no state.
func TestHotRestart_IgnoresStaleFiles(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	predecessor := sequence.startNext()
	predecessor.signal(syscall.SIGKILL)
	_ = predecessor.waitForExit()
	if files, _ := filepath.Glob(filepath.Join(sequence.directory, "*")); len(files) == 0 {
		t.Fatalf("the killed process left no files in %s", sequence.directory)
	}
	successor := sequence.startNext()
	successor.openSession(openRequest(""))
	if message := restoredMessagePattern.FindString(successor.log.String()); message != "" {
		t.Errorf("state restored without a predecessor: %s", message)
	}
}

// TestHotRestart_DrainAppliesToBothProcesses sends DRAIN to one of two processes of a relay: both migrate their
// clients, and neither reports itself ready.
func TestHotRestart_DrainAppliesToBothProcesses(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	predecessor := sequence.startNext()
	session := predecessor.openSession(openRequest(""))
	successor := sequence.startNext()
	successor.expectAdminSuccess("DRAIN")
	session.expect("MOVE")
	waitFor(t, "the predecessor is drained", func() bool { return strings.HasPrefix(predecessor.callAdmin("READY"), "FAILURE drained") })
	predecessor.expectAdminSuccess("UNDRAIN")
	waitFor(t, "the successor is ready again", successor.isReady)
}

// TestHotRestart_SharesAddressWithoutSocketDirectory checks that a relay serves even if the directory for its hot
// restart socket is missing, and that its successor shares the address.
func TestHotRestart_SharesAddressWithoutSocketDirectory(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	sequence.options.environment = append(sequence.options.environment, "TMPDIR="+filepath.Join(sequence.directory, "missing"))
	predecessor := sequence.startNext()
	predecessor.waitForLog(logHotRestartUnavailable, 1)
	successor := sequence.startNext()
	load := &connectionLoad{}
	load.run(successor.address, 4)
	load.waitForAccepted(t, 50)
	predecessor.signal(syscall.SIGTERM)
	if err := predecessor.waitForExit(); err != nil {
		t.Fatal(err)
	}
	load.waitForAccepted(t, 50)
	close(load.stop)
	load.clients.Wait()
	if load.accepted < 100 || load.rejected > 8 {
		t.Errorf("%d accepted, %d refused, %d rejected: %v", load.accepted, load.refused, load.rejected, load.firstError)
	}
}
