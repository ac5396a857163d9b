package testcluster

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
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
	// readyTimeout is how long all relays together may take to become ready.
	readyTimeout = 20 * time.Second
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
	began := time.Now()
	var started []*relay
	for _, target := range c.relays {
		if target.down {
			continue
		}
		if err := c.startRelay(target); err != nil {
			return err
		}
		started = append(started, target)
	}
	for _, target := range started {
		if err := c.waitUntilReady(target, began); err != nil {
			return err
		}
		c.frontend.setAvailable(target.index, true)
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

// waitUntilReady waits until a relay accepts clients. All relays share one timeout, which runs from began.
func (c *cluster) waitUntilReady(target *relay, began time.Time) error {
	for !c.relayReady(target) {
		if !target.process.running() {
			return fmt.Errorf("relay %d exited before it was ready: %w; its log ends with %s", target.index, target.process.err, logTail(target.process.log))
		}
		if time.Since(began) > readyTimeout {
			return fmt.Errorf("relay %d is not ready after %v; its log ends with %s", target.index, readyTimeout, logTail(target.process.log))
		}
		if !sleepContext(c.ctx, 20*time.Millisecond) {
			return c.ctx.Err()
		}
	}
	return nil
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

// startRelay starts a relay's process.
func (c *cluster) startRelay(target *relay) error {
	c.withChecker(func() { c.checker.RelayStarted(target.index, c.ports.discoveryAddr(target.index), nil) })
	p, err := c.launchProcess(target)
	if err != nil {
		return err
	}
	c.mu.Lock()
	target.process, target.down, target.paused = p, false, false
	c.mu.Unlock()
	return nil
}

// launchProcess starts a process of a relay, which takes over from one that is running.
func (c *cluster) launchProcess(target *relay) (*process, error) {
	if err := os.MkdirAll(filepath.Join(target.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	path, err := writeConfig(target.dir, c.relayConfig(target))
	if err != nil {
		return nil, err
	}
	environment := []string{"PROXY_CONFIG=" + path, "TMPDIR=" + filepath.Join(target.dir, "tmp"), "PATH=/usr/bin:/bin"}
	admin := ""
	if c.usesAdminEndpoints() {
		admin = c.adminAddrFor(target)
		environment = append(environment, "PROXY_MANAGEMENT="+admin)
	}
	p, err := c.launcher.start(c.programFor(target), target.dir, target.index, environment)
	if err != nil {
		return nil, err
	}
	p.admin = admin
	if err := c.limitDescriptors(p); err != nil {
		return nil, err
	}
	go c.reportUnexpectedExit(target, p)
	return p, nil
}

// usesAdminEndpoints reports whether the relays have an admin endpoint.
func (c *cluster) usesAdminEndpoints() bool {
	return c.options.Fleet.Membership || slices.ContainsFunc(c.options.Faults, func(f fault.Fault) bool { return isHotRestart(f.Kind) })
}

// adminAddrFor returns the admin address of the next process of a relay. The processes of a hot restart run at the same
// time, so each has an address of its own.
func (c *cluster) adminAddrFor(target *relay) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ports.adminAddr(target.index, target.starts)
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

// programFor returns the path of the program for the next process of a relay.
func (c *cluster) programFor(target *relay) string {
	c.mu.Lock()
	start := target.starts
	target.starts++
	c.mu.Unlock()
	if c.options.ProgramFor == nil {
		return c.options.Program
	}
	return c.options.ProgramFor(target.index, start)
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
	if err := c.startRelay(target); err != nil {
		c.reportError(err)
		return
	}
	began := time.Now()
	for !c.relayReady(target) {
		if time.Since(began) > readyTimeout {
			c.reportError(fmt.Errorf("relay %d is not ready %v after its restart; its log ends with %s", target.index, readyTimeout, logTail(target.process.log)))
			return
		}
		if !sleepContext(c.ctx, 50*time.Millisecond) {
			return
		}
	}
	c.frontend.setAvailable(target.index, true)
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
