package testcluster

import (
	"io"
	"net"
	"strings"
	"time"
)

// View is a run as it goes, for who looks at it from outside.
type View struct{ cluster *cluster }

// Elapsed is how long the run has been going.
func (view *View) Elapsed() time.Duration { return view.cluster.elapsed() }

// RelayRunning says whether a relay's process runs and is not stopped.
func (view *View) RelayRunning(relay int) bool {
	view.cluster.mu.Lock()
	defer view.cluster.mu.Unlock()
	target := view.cluster.relays[relay]
	return target.process != nil && !target.down && !target.paused
}

// QueryAdmin makes a call at a relay's second address and returns its answer's lines.
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

// startObserver has somebody look at the run while it takes its course; what it returns waits for the last look to end.
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
