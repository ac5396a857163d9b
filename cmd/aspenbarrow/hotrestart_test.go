package main

import (
	"net"
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
	folder, err := os.MkdirTemp("", "ab") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	options.discovery, options.knownEndpoints = discovery.Addr(), endpoints
	// On a busy machine answers to probes lag, and the module then refuses, as it should: that is not what is tested.
	options.replaceText = [2]string{`"probes":true`, `"probes":false`}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	options.environment = append(options.environment, "TMPDIR="+folder, "PROXY_LISTEN="+addr, "PROXY_MANAGEMENT=127.0.0.1:0")
	return &restartSequence{t, options, folder}
}

// startNext starts another process and waits until its admin endpoint reports it ready.
func (sequence *restartSequence) startNext() *relayProcess {
	sequence.t.Helper()
	successor := startProcess(sequence.t, sequence.options)
	waitFor(sequence.t, "the next process is ready", func() bool { return strings.HasPrefix(successor.callAdmin(sequence.t, "READY"), "SUCCESS") })
	return successor
}

// TestHotRestart_RefusesNoConnectionUnderLoad does ten hot restarts in a row under load: no connection is refused,
// and each predecessor exits with 0 after SIGTERM.
func TestHotRestart_RefusesNoConnectionUnderLoad(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	old := sequence.startNext()
	load := &connectionLoad{}
	load.run(old.address, 8)
	for range 10 {
		successor := sequence.startNext()
		load.waitForAccepted(t, 100)
		old.signal(syscall.SIGTERM)
		if err := old.waitForExit(); err != nil {
			t.Fatalf("the old process: %v", err)
		}
		load.waitForAccepted(t, 100)
		old = successor
	}
	load.stopAndCheck(t)
	t.Logf("%d connections brought up over ten upgrades", load.accepted)
	old.waitForLog("state restored from predecessor process", 1)
}

// TestHotRestart_FailedSuccessorLeavesPredecessorServing ends successors in order and by SIGKILL: the predecessor
// accepts connections again.
func TestHotRestart_FailedSuccessorLeavesPredecessorServing(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	old := sequence.startNext()
	load := &connectionLoad{}
	load.run(old.address, 4)
	for i := range 3 {
		successor := sequence.startNext()
		load.waitForAccepted(t, 50)
		successor.signal(syscall.SIGTERM) // in order, so that what it has taken is answered: the old one goes on
		if err := successor.waitForExit(); err != nil {
			t.Fatal(err)
		}
		old.waitForLog("the next process has ended, this one takes who comes again", i+1)
		load.waitForAccepted(t, 50)
	}
	load.stopAndCheck(t)
	successor := sequence.startNext()
	successor.signal(syscall.SIGKILL)
	_ = successor.waitForExit()
	old.waitForLog("the next process has ended", 4)
	old.openSession(openRequest("")).send("ping")
}

// TestHotRestart_SuccessorFailsDuringPredecessorShutdown ends the successor while the predecessor shuts down. Nobody
// accepts the connections of that moment, and the listen queue is reset when the predecessor closes it. The
// predecessor accepts connections again until it exits.
func TestHotRestart_SuccessorFailsDuringPredecessorShutdown(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		hold := make(chan struct{})
		backend := &fake.Backend{Answer: func(open string) []string {
			if strings.Contains(open, "held=1") {
				<-hold
			}
			return []string{"UP it"}
		}}
		sequence := newRestartSequence(t, processOptions{}, backend)
		old := sequence.startNext()
		waits := old.dial()
		waits.send(openRequest(",held=1"))
		waitFor(t, "it is sent", func() bool { return len(backend.OpenLines()) == 1 })
		successor := sequence.startNext()
		old.signal(syscall.SIGTERM) // it owes an answer, and stays until that is given
		old.waitForLog(`"msg":"graceful shutdown started"`, 1)
		successor.signal(s)
		if err := successor.waitForExit(); (err == nil) != (s == syscall.SIGTERM) {
			t.Fatal(err)
		}
		old.waitForLog("the next process has ended, this one takes who comes again", 1)
		c := old.dial()
		c.send(openRequest(""))
		c.expect("UP it")
		close(hold)
		waits.expect("UP it")
		for _, c := range []*client{c, waits} {
			c.expect("MOVE")
			c.expectClosed()
			_ = c.Close()
		}
		if err := old.waitForExit(); err != nil {
			t.Error(err)
		}
	}
}

// TestHotRestart_IgnoresStaleFiles starts a relay in a directory with files of a killed process: there is nothing to
// take over.
func TestHotRestart_IgnoresStaleFiles(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	old := sequence.startNext()
	old.signal(syscall.SIGKILL)
	_ = old.waitForExit()
	if left, _ := filepath.Glob(filepath.Join(sequence.directory, "*")); len(left) == 0 {
		t.Fatal("it left nothing behind")
	}
	successor := sequence.startNext()
	successor.openSession(openRequest(""))
	if strings.Contains(successor.log.String(), "taken over") {
		t.Error("it took over from nobody")
	}
}

// TestHotRestart_DrainAppliesToBothProcesses sends DRAIN to one of two processes of a relay: both migrate their
// clients, and neither reports itself ready.
func TestHotRestart_DrainAppliesToBothProcesses(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	old := sequence.startNext()
	standing := old.openSession(openRequest(""))
	successor := sequence.startNext()
	if got := successor.callAdmin(t, "DRAIN"); !strings.HasPrefix(got, "SUCCESS") {
		t.Fatalf("%q", got)
	}
	standing.expect("MOVE")
	waitFor(t, "the old one is drained", func() bool { return strings.HasPrefix(old.callAdmin(t, "READY"), "FAILURE drained") })
	if got := old.callAdmin(t, "UNDRAIN"); !strings.HasPrefix(got, "SUCCESS") {
		t.Fatalf("%q", got)
	}
	waitFor(t, "the new one takes clients again", func() bool { return strings.HasPrefix(successor.callAdmin(t, "READY"), "SUCCESS") })
}

// TestHotRestart_SharesAddressWithoutSocketDirectory checks that a relay without a directory for its socket serves
// all the same, and that its successor shares the address.
func TestHotRestart_SharesAddressWithoutSocketDirectory(t *testing.T) {
	sequence := newRestartSequence(t, processOptions{})
	sequence.options.environment = append(sequence.options.environment, "TMPDIR="+filepath.Join(sequence.directory, "missing"))
	old := sequence.startNext()
	old.waitForLog("a next process will find nothing to take over", 1)
	successor := sequence.startNext()
	load := &connectionLoad{}
	load.run(successor.address, 4)
	load.waitForAccepted(t, 50)
	old.signal(syscall.SIGTERM)
	if err := old.waitForExit(); err != nil {
		t.Fatal(err)
	}
	load.waitForAccepted(t, 50)
	close(load.stop)
	load.clients.Wait()
	if load.accepted < 100 || load.rejected > 8 {
		t.Errorf("%d up, %d turned back, %d badly answered: %v", load.accepted, load.refused, load.rejected, load.firstError)
	}
}
