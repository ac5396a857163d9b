package testcluster

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
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
