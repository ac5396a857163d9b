package testcluster

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// processesRunning returns the /proc entries of the processes that run a program.
func processesRunning(t *testing.T, program string) (entries []string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == program {
			entries = append(entries, link)
		}
	}
	return entries
}

// waitFor polls until a condition holds, and fails the test with a message after ten seconds.
func waitFor(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			t.Fatal(message)
		}
		sleepContext(context.Background(), 20*time.Millisecond)
	}
}

// copyProgram copies the relay program, so that a test does not count the processes of other tests.
func copyProgram(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(program)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "relay")
	if err := os.WriteFile(path, text, 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRun_LeavesNoProcesses(t *testing.T) {
	t.Run("cancelled, with some of them paused", func(t *testing.T) {
		t.Parallel()
		p := copyProgram(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan error, 1)
		go func() {
			_, err := Run(ctx, Options{Program: p, Seed: 1, Duration: time.Minute, Fleet: smallCluster(6, 3, 12),
				Faults: []fault.Fault{{Kind: "relays paused", Start: 100 * time.Millisecond, Duration: 30 * time.Second, Targets: []int{1, 2}}}})
			ended <- err
		}()
		waitFor(t, "the six relays are not running", func() bool { return len(processesRunning(t, p)) == 6 })
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("a cancelled run returned %v, want context.Canceled", err)
		}
		if n := processesRunning(t, p); len(n) != 0 {
			t.Errorf("processes left running: %v", n)
		}
	})
	t.Run("the cluster is killed", func(t *testing.T) {
		t.Parallel()
		p := copyProgram(t)
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "TESTCLUSTER_TEST_PROGRAM="+p)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the six relays are not running", func() bool { return len(processesRunning(t, p)) == 6 })
		if err := c.Process.Signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
		_ = c.Wait()
		waitFor(t, "relays are still running after their cluster was killed", func() bool { return len(processesRunning(t, p)) == 0 })
	})
}
