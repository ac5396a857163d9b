package testcluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
)

// process is one process of a relay. Only processes started by a processLauncher are ever signalled.
type process struct {
	cmd    *exec.Cmd
	relay  int
	log    string
	admin  string        // address of its admin endpoint; empty: it has none
	ended  chan struct{} // closed after Wait has returned
	err    error         // result of Wait; valid once ended is closed
	killed bool          // its exit is expected
}

// processLauncher starts processes from a single thread that lives as long as the cluster. The kernel kills them
// when that thread ends (PR_SET_PDEATHSIG), even if the test cluster itself is killed.
type processLauncher struct {
	requests  chan func()
	done      chan struct{}
	mu        sync.Mutex
	processes []*process
}

func newProcessLauncher() *processLauncher {
	launcher := &processLauncher{requests: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread ends with this goroutine
		defer close(launcher.done)
		for f := range launcher.requests {
			f()
		}
	}()
	return launcher
}

// start starts a program for a relay. Its standard output and error are appended to the file named log in dir.
func (launcher *processLauncher) start(program, dir string, relayIndex int, env []string) (*process, error) {
	p := &process{relay: relayIndex, log: filepath.Join(dir, "log"), ended: make(chan struct{})}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the process has its own descriptor
	p.cmd = exec.Command(program)
	p.cmd.Dir, p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = dir, env, f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	launcher.requests <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("relay %d: %w", relayIndex, err)
	}
	launcher.mu.Lock()
	launcher.processes = append(launcher.processes, p)
	launcher.mu.Unlock()
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// close kills the processes that are still running and waits for them.
func (launcher *processLauncher) close() {
	launcher.mu.Lock()
	all := launcher.processes
	launcher.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.ended
	}
	close(launcher.requests)
	<-launcher.done
}

// Build builds the relay program from this module into a directory and returns its path.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "aspenbarrow")
	c := exec.CommandContext(ctx, "go", "build", "-o", path, "aspenbarrow/cmd/aspenbarrow")
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the relay program: %w: %s", err, out)
	}
	return path, nil
}

// running reports whether the process has not ended yet.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() { // Process.Signal fails for a process that has just ended, so no other process with its ID is signalled
		_ = p.cmd.Process.Signal(s)
	}
}

// running returns the processes of a relay that have not ended.
func (launcher *processLauncher) running(relay int) (running []*process) {
	launcher.mu.Lock()
	defer launcher.mu.Unlock()
	for _, p := range launcher.processes {
		if p.relay == relay && p.running() {
			running = append(running, p)
		}
	}
	return running
}
