package testcluster

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// View gives an observer access to a run in progress.
type View struct{ cluster *cluster }

// Elapsed is the time since the run began.
func (view *View) Elapsed() time.Duration { return view.cluster.elapsed() }

// RelayRunning reports whether a relay's process is running and not paused.
func (view *View) RelayRunning(relay int) bool {
	view.cluster.mu.Lock()
	defer view.cluster.mu.Unlock()
	target := view.cluster.relays[relay]
	return target.process != nil && !target.down && !target.paused
}

// QueryAdmin sends a command to the admin endpoint of a relay's process and returns the lines of the answer. During a hot
// restart that is the predecessor.
func (view *View) QueryAdmin(relay int, command string) ([]string, error) {
	view.cluster.mu.Lock()
	p := view.cluster.relays[relay].process
	view.cluster.mu.Unlock()
	if p == nil {
		return nil, fmt.Errorf("relay %d has not been started", relay)
	}
	return p.queryAdmin(command)
}

// queryAdmin sends a command to the process's admin endpoint and returns the lines of the answer.
func (p *process) queryAdmin(command string) ([]string, error) {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(conn)
	return strings.Split(strings.TrimSpace(string(answer)), "\n"), err
}

// startObserver calls Options.Observe repeatedly during the run. The function it returns waits for the last call to
// end.
func (c *cluster) startObserver() (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sleepContext(c.ctx, 100*time.Millisecond) && c.elapsed() < c.options.Duration {
			c.options.Observe(&View{c})
		}
	}()
	return func() { <-done }
}

// DescriptorCount returns how many descriptors the running processes of a relay have together.
func (view *View) DescriptorCount(relay int) (n int) {
	for _, p := range view.cluster.launcher.running(relay) {
		if targets, err := p.descriptors(); err == nil { // else it has just ended
			n += len(targets)
		}
	}
	return n
}
