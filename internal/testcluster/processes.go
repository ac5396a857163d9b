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

// process is one life of a relay's process. Only processes that the launcher started are ever signalled.
type process struct {
	cmd    *exec.Cmd
	relay  int
	log    string
	ended  chan struct{} // closed once it has been waited for
	err    error         // then
	killed bool          // by the cluster
}

// processLauncher starts processes from one thread that lives as long as the cluster: the system ends them with that thread, so
// that they are gone even when the cluster itself is killed.
type processLauncher struct {
	requests  chan func()
	done      chan struct{}
	mu        sync.Mutex
	processes []*process
}

func newProcessLauncher() *processLauncher {
	launcher := &processLauncher{requests: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
		defer close(launcher.done)
		for f := range launcher.requests {
			f()
		}
	}()
	return launcher
}

// start runs a program until it ends. Its standard error goes to a file.
func (launcher *processLauncher) start(program, dir string, number int, env []string) (*process, error) {
	p := &process{relay: number, log: filepath.Join(dir, "log"), ended: make(chan struct{})}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the process has a descriptor of its own
	p.cmd = exec.Command(program)
	p.cmd.Dir, p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = dir, env, f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	launcher.requests <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("relay %d: %w", number, err)
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

// close kills what still runs and waits for its end.
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

// Build builds the relay's program from this source into a folder and returns its path.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "aspenbarrow")
	c := exec.CommandContext(ctx, "go", "build", "-o", path, "aspenbarrow/cmd/aspenbarrow")
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the relay: %w: %s", err, out)
	}
	return path, nil
}

// running says whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() { // Process.Signal knows an ended one too, so no other can be hit
		_ = p.cmd.Process.Signal(s)
	}
}
