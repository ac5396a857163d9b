package relay

import (
	"aspenbarrow/internal/admin"
	"aspenbarrow/internal/metrics"
)

// adminRelay implements admin.Relay for the admin endpoint. It reads published state and signals the event loop, but
// never waits for it.
type adminRelay struct{ *Relay }

var _ admin.Relay = adminRelay{}

// State returns whether the relay is starting, serving, drained or shutting down.
func (a adminRelay) State() admin.State {
	switch c := a.controller; {
	case c.ShuttingDown():
		return admin.ShuttingDown
	case c.Drained():
		return admin.Drained
	case c.Ready() && a.accepting.Load():
		return admin.Serving
	}
	return admin.Starting
}

// Metrics returns the counters and gauges.
func (a adminRelay) Metrics() metrics.Snapshot { return a.controller.Metrics().Snapshot() }

// SetDrained drains the relay or ends the drain; during a hot restart it does so in both processes.
func (a adminRelay) SetDrained(on bool) {
	a.setDrained(on)
	line := lineUndrain
	if on {
		line = lineDrain
	}
	a.processLinks.broadcast(line)
}

// setDrained drains this process, or ends the drain. Answers to PING change at once, before the event loop applies the drain.
func (r *Relay) setDrained(on bool) {
	r.controller.SetDrained(on)
	select {
	case r.drainChanged <- struct{}{}:
	default: // an earlier signal is still pending
	}
}
