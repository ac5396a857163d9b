package testcluster

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/fault"
)

const (
	// shutdownTimeout is how long a relay may take to shut down before it is killed.
	shutdownTimeout = 3700 * time.Millisecond
	// defaultDescriptors is the descriptor limit in a relay's configuration unless Options.Descriptors sets another.
	defaultDescriptors = 1024
)

// relay is one relay of the cluster and its current process.
type relay struct {
	index   int
	dir     string
	process *process
	paused  bool
	down    bool // no process is running, or it is ending
	starts  int  // number of processes started so far

	hotRestarting bool // other faults leave the relay alone until the hot restart is over
}

// startRelays starts every relay except those that a fault starts late, and waits until they accept clients.
func (c *cluster) startRelays() error {
	c.markLateRelays()
	deadline := c.now() + readyTimeout
	results := make(chan error, len(c.relays))
	started := 0
	for _, target := range c.relays {
		if target.down {
			continue
		}
		start, err := c.startRelay(target)
		if err != nil {
			return err
		}
		started++
		go func() { results <- c.awaitReady(target, start, deadline) }()
	}
	for range started {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// markLateRelays marks the relays that a fault starts during the run as down.
func (c *cluster) markLateRelays() {
	for _, f := range c.options.Faults {
		if f.Kind != "relays start late" {
			continue
		}
		for _, i := range targetIndexes(&f, len(c.relays)) {
			c.relays[i].down = true
		}
	}
}

// relayReady reports whether a relay accepts clients.
func (c *cluster) relayReady(target *relay) bool {
	return respondsToPing(c.ports.relayAddr(target.index), time.Second)
}

// logTail returns the last part of a log file, for error messages.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return "nothing"
	}
	return string(text[max(0, len(text)-400):])
}

// startRelay starts a relay's process and records the start.
func (c *cluster) startRelay(target *relay) (*relayStart, error) {
	orderedAt := c.now()
	next, err := c.prepareProcess(target)
	if err != nil {
		return nil, err
	}
	c.withChecker(func() { c.checker.RelayStarted(target.index, c.ports.discoveryAddr(target.index), next.cachedStates) })
	p, err := c.launchProcess(target, next)
	if err != nil {
		return nil, err
	}
	start := &relayStart{relay: target.index, number: next.number, process: p, orderedAt: orderedAt}
	c.mu.Lock()
	target.process, target.down, target.paused = p, false, false
	c.starts = append(c.starts, start)
	c.mu.Unlock()
	return start, nil
}

// nextProcess is what a relay's next process is started with.
type nextProcess struct {
	program      string
	number       int               // 0: the relay's first process
	configPath   string            // of its configuration file
	cachedStates map[string]string // state of each backend in the cached endpoint list; nil: there is none
	admin        string            // address of its admin endpoint; empty: it has none
}

// prepareProcess writes the files of a relay's next process.
func (c *cluster) prepareProcess(target *relay) (next nextProcess, err error) {
	if err := os.MkdirAll(filepath.Join(target.dir, "tmp"), 0o700); err != nil {
		return next, err
	}
	next.program, next.number = c.programFor(target)
	if c.usesAdminEndpoints() { // the processes of a hot restart run at the same time, so each has an address of its own
		next.admin = c.ports.adminAddr(target.index, next.number)
	}
	config := c.relayConfig(target)
	if c.options.CachedLists && next.number > 0 {
		config["known"], next.cachedStates = c.discovery.agents[target.index].cachedList()
	}
	next.configPath, err = writeConfig(target.dir, config)
	return next, err
}

// launchProcess starts a process of a relay, which takes over from one that is running.
func (c *cluster) launchProcess(target *relay, next nextProcess) (*process, error) {
	environment := []string{"PROXY_CONFIG=" + next.configPath, "TMPDIR=" + filepath.Join(target.dir, "tmp"), "PATH=/usr/bin:/bin"}
	if next.admin != "" {
		environment = append(environment, "PROXY_MANAGEMENT="+next.admin)
	}
	p, err := c.launcher.start(next.program, target.dir, target.index, environment)
	if err != nil {
		return nil, err
	}
	p.admin = next.admin
	if err := c.limitDescriptors(p); err != nil {
		return nil, err
	}
	go c.reportUnexpectedExit(target, p)
	return p, nil
}

// launchSuccessor starts a process beside the running one of a relay.
func (c *cluster) launchSuccessor(target *relay) (*process, error) {
	next, err := c.prepareProcess(target)
	if err != nil {
		return nil, err
	}
	return c.launchProcess(target, next)
}

// usesAdminEndpoints reports whether the relays have an admin endpoint.
func (c *cluster) usesAdminEndpoints() bool {
	return c.options.Fleet.Membership || slices.ContainsFunc(c.options.Faults, func(f fault.Fault) bool { return isHotRestart(f.Kind) })
}

// limitDescriptors has the system enforce Options.Descriptors on a process.
func (c *cluster) limitDescriptors(p *process) error {
	n := uint64(c.options.Descriptors)
	if n == 0 {
		return nil
	}
	err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
	if err != nil && p.running() {
		return fmt.Errorf("relay %d: limiting its descriptors to %d: %w", p.relay, n, err)
	}
	return nil
}

// relayConfig returns the content of a relay's configuration file.
func (c *cluster) relayConfig(target *relay) map[string]any {
	f := &c.options.Fleet
	var peers []string
	if f.Gossip {
		for j := range c.relays {
			peers = append(peers, c.ports.peerAddr(target.index, j))
		}
	}
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], c.options.Seed<<20|uint64(target.index)+1)
	config := map[string]any{
		"name":        fmt.Sprintf("n%03d", target.index),
		"listen":      c.ports.relayAddr(target.index),
		"discovery":   c.ports.discoveryAddr(target.index),
		"seed":        fmt.Sprintf("%x", seed),
		"settings":    relaySettings(f, target.index),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": cmp.Or(c.options.Descriptors, defaultDescriptors)},
		"peer_listen": c.ports.peerListen(target.index),
		"peers":       peers,
		"peers_all":   c.ports.broadcastAddr(target.index),
	}
	if f.Membership {
		config["membership"] = map[string]any{"fleet": "rig"}
	}
	return config
}

// reportUnexpectedExit waits until a relay's process exits, and reports an error unless a fault caused the exit.
func (c *cluster) reportUnexpectedExit(target *relay, p *process) {
	<-p.ended
	c.mu.Lock()
	killed := p.killed
	c.mu.Unlock()
	if killed || c.ctx.Err() != nil {
		return
	}
	c.withChecker(func() { c.checker.RelayStopped(target.index) })
	c.reportError(fmt.Errorf("relay %d exited unexpectedly: %w; its log ends with %s", target.index, p.err, logTail(p.log)))
}

// programFor returns the path of the program for the next process of a relay, and that process's number from 0 on.
func (c *cluster) programFor(target *relay) (program string, number int) {
	c.mu.Lock()
	number = target.starts
	target.starts++
	c.mu.Unlock()
	if c.options.ProgramFor == nil {
		return c.options.Program, number
	}
	return c.options.ProgramFor(target.index, number), number
}

// markStopping marks a running relay as down, so that its exit is expected, and returns its process; nil if it is not
// running.
func (c *cluster) markStopping(target *relay) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := target.process
	if p == nil || target.down || target.hotRestarting || !p.running() {
		return nil
	}
	target.down, p.killed = true, true
	return p
}

// killRelay kills a relay's process and waits for its exit. It returns false if the relay was not running.
func (c *cluster) killRelay(target *relay) bool {
	p := c.markStopping(target)
	if p == nil {
		return false
	}
	c.withChecker(func() { c.checker.RelayStopped(target.index) })
	p.signal(syscall.SIGKILL)
	<-p.ended
	c.frontend.noticeLoss(target.index)
	return true
}

// drainRelay makes a relay shut down gracefully, kills it if that takes longer than shutdownTimeout, and calls then after its
// exit. It returns false if the relay was not running.
func (c *cluster) drainRelay(target *relay, then func()) bool {
	p := c.markStopping(target)
	if p == nil {
		return false
	}
	c.runAfter(c.links.randomDuration(200*time.Millisecond, 400*time.Millisecond), func() { c.frontend.setAvailable(target.index, false) })
	p.signal(syscall.SIGTERM)
	c.runAfter(shutdownTimeout, func() { p.signal(syscall.SIGKILL) })
	go func() {
		<-p.ended
		c.withChecker(func() { c.checker.RelayStopped(target.index) })
		if c.ctx.Err() == nil {
			then()
		}
	}()
	return true
}

// restartRelay starts a relay that is down and makes it available to clients once it is ready.
func (c *cluster) restartRelay(target *relay) {
	deadline := c.now() + readyTimeout
	start, err := c.startRelay(target)
	if err == nil {
		err = c.awaitReady(target, start, deadline)
	}
	switch {
	case err == nil, errors.Is(err, errProcessEnded): // reportUnexpectedExit reports an end that no fault caused
	case c.ctx.Err() != nil: // the run is over
	default:
		c.reportError(err)
	}
}

// setRelayPaused pauses a relay's process with SIGSTOP, or resumes it with SIGCONT. It returns false if nothing changed.
func (c *cluster) setRelayPaused(target *relay, paused bool) bool {
	c.mu.Lock()
	p := target.process
	changed := p != nil && !target.down && !target.hotRestarting && target.paused != paused
	if changed {
		target.paused = paused
	}
	c.mu.Unlock()
	if !changed {
		return false
	}
	if paused {
		c.withChecker(func() { c.checker.SetRelayPaused(target.index, true) })
		p.signal(syscall.SIGSTOP)
		c.frontend.noticeLoss(target.index)
		return true
	}
	p.signal(syscall.SIGCONT)
	c.withChecker(func() { c.checker.SetRelayPaused(target.index, false) })
	c.runAfter(300*time.Millisecond, func() { c.frontend.setAvailable(target.index, true) })
	return true
}

// relayUsages returns the resource usage so far of the relay processes that are running.
func (c *cluster) relayUsages() map[*process]processUsage {
	out := map[*process]processUsage{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range c.relays {
		if target.process != nil && !target.down {
			if u, err := target.process.usage(); err == nil {
				out[target.process] = u
			}
		}
	}
	return out
}

// totalCPUTime returns the CPU time used so far by all relay processes that are running.
func (c *cluster) totalCPUTime() (sum time.Duration) {
	for _, u := range c.relayUsages() {
		sum += u.cpu
	}
	return sum
}

// writeConfig writes a relay's configuration file and returns its path.
func writeConfig(dir string, config map[string]any) (string, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

// respondsToPing reports whether a relay answers a PING of the line protocol.
func respondsToPing(addr string, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	var answer [64]byte
	n, err := conn.Read(answer[:])
	return err == nil && bytes.HasPrefix(answer[:n], []byte("PONG"))
}
