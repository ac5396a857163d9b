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

// processesRunning finds the processes that run a program.
func processesRunning(t *testing.T, program string) (pids []string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && to == program {
			pids = append(pids, l)
		}
	}
	return pids
}

// waitFor polls until a condition holds, for ten seconds at most.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); {
		if time.Now().After(end) {
			t.Fatal(what)
		}
		sleepContext(context.Background(), 20*time.Millisecond)
	}
}

// copyProgram copies the program, so that a test does not see the processes of others.
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
		waitFor(t, "six relays do not run", func() bool { return len(processesRunning(t, p)) == 6 })
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("a cancelled run: %v", err)
		}
		if n := processesRunning(t, p); len(n) != 0 {
			t.Errorf("left: %v", n)
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
		waitFor(t, "six relays do not run", func() bool { return len(processesRunning(t, p)) == 6 })
		if err := c.Process.Signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
		_ = c.Wait()
		waitFor(t, "relays run though their cluster was killed", func() bool { return len(processesRunning(t, p)) == 0 })
	})
}
