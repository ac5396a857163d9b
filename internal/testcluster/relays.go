package testcluster

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// shutdownTimeout is how long a relay may take to shut down before it is killed.
const shutdownTimeout = 3700 * time.Millisecond

// relay is one relay of the cluster and its current process.
type relay struct {
	index   int
	dir     string
	process *process
	paused  bool
	down    bool // no process is running, or it is ending
	starts  int  // number of processes started so far
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
	if err := os.MkdirAll(filepath.Join(target.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	program, number := c.programFor(target)
	config := c.relayConfig(target)
	var states map[string]string
	if c.options.CachedLists && number > 0 {
		config["known"], states = c.discovery.agents[target.index].cachedList()
	}
	path, err := writeConfig(target.dir, config)
	if err != nil {
		return nil, err
	}
	c.withChecker(func() { c.checker.RelayStarted(target.index, c.ports.discoveryAddr(target.index), states) })
	environment := []string{"PROXY_CONFIG=" + path, "TMPDIR=" + filepath.Join(target.dir, "tmp"), "PATH=/usr/bin:/bin"}
	p, err := c.launcher.start(program, target.dir, target.index, environment)
	if err != nil {
		return nil, err
	}
	start := &relayStart{relay: target.index, number: number, process: p, orderedAt: orderedAt}
	c.mu.Lock()
	target.process, target.down, target.paused = p, false, false
	c.starts = append(c.starts, start)
	c.mu.Unlock()
	go c.reportUnexpectedExit(target, p)
	return start, nil
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
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 1024},
		"peer_listen": c.ports.peerListen(target.index),
		"peers":       peers,
		"peers_all":   c.ports.broadcastAddr(target.index),
	}
	if f.Membership {
		config["membership"] = map[string]any{"fleet": "rig"}
		config["management"] = c.ports.adminAddr(target.index)
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
	if p == nil || target.down || !p.running() {
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
	changed := p != nil && !target.down && target.paused != paused
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
