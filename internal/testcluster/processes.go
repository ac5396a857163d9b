package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readyTimeout is how long all relays together have to be ready.
const readyTimeout = 20 * time.Second

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

// processUsage is what a process has used so far: processor time, and the most memory.
type processUsage struct {
	cpu    time.Duration
	memory int64 // bytes, the high-water mark
}

func (p *process) usage() (u processUsage, err error) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	rest := stat[bytes.LastIndexByte(stat, ')')+1:] // its name may hold anything
	fields := strings.Fields(string(rest))
	if len(fields) < 13 {
		return u, errors.New("stat is short")
	}
	const ticksASecond = 100
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(ticks) * time.Second / ticksASecond
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			return processUsage{u.cpu, kb << 10}, err
		}
	}
	return u, nil
}

// checkMachineLimits says, before anything is started, whether the machine bears so many.
func checkMachineLimits(relays, conns int) error {
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err != nil {
		return err
	}
	if lim.Cur < lim.Max { // the runtime has raised it already where it may
		lim.Cur = lim.Max
		_ = unix.Setrlimit(unix.RLIMIT_NOFILE, &lim)
	}
	// A connection takes one descriptor at its client and one at its backend; a relay one of a watch and some of probes.
	const ofRelay, own = 24, 200
	if need := uint64(2*conns + ofRelay*relays + own); need > lim.Cur {
		most := (int64(lim.Cur) - own - int64(2*conns)) / ofRelay
		return fmt.Errorf("%d relays with %d connections want %d descriptors and there are %d: with so many connections %d relays fit",
			relays, conns, need, lim.Cur, max(0, most))
	}
	var mem unix.Sysinfo_t
	if err := unix.Sysinfo(&mem); err != nil {
		return err
	}
	const each = 24 << 20
	free := int64(mem.Freeram+mem.Bufferram) * int64(mem.Unit)
	if kb := availableKB(); kb > 0 {
		free = kb << 10
	}
	if need := int64(relays) * each; need > free {
		return fmt.Errorf("%d relays want some %d MB of memory and %d are free: %d relays fit", relays, need>>20, free>>20, free/each)
	}
	return nil
}

// availableKB is what the system says can be had without swapping; 0: it doesn't say.
func availableKB() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemAvailable:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			if err == nil {
				return kb
			}
		}
	}
	return 0
}

// writeConfig writes a relay's file in the platform's form.
func writeConfig(dir string, c map[string]any) (string, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

// respondsToPing asks a relay whether it takes clients.
func respondsToPing(addr string, within time.Duration) bool {
	c, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	var b [64]byte
	n, err := c.Read(b[:])
	return err == nil && bytes.HasPrefix(b[:n], []byte("PONG"))
}
