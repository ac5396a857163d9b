package testcluster

import (
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

// QueryAdmin sends a command to a relay's admin endpoint and returns the lines of the answer.
func (view *View) QueryAdmin(relay int, call string) ([]string, error) {
	c, err := net.DialTimeout("tcp", view.cluster.ports.adminAddr(relay), time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(c)
	return strings.Split(strings.TrimSpace(string(text)), "\n"), err
}

// startObserver calls Options.Observe repeatedly during the run. The function it returns waits for the last call to
// end.
func (c *cluster) startObserver() (ended func()) {
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		for sleepContext(c.ctx, 100*time.Millisecond) && c.elapsed() < c.options.Duration {
			c.options.Observe(&View{c})
		}
	}()
	return func() { <-looked }
}
