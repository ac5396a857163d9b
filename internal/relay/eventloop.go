// This file owns the one goroutine that may touch the Node: events come in over a
// channel, what the Node has done goes out to flows, probes, peers and discovery.
// It must never block on a socket or on a flow.

package relay

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// post hands an event to the loop. It may wait for the loop, never the reverse.
func (r *Relay) post(e func(now time.Duration)) {
	select {
	case r.events <- e:
	case <-r.stopped:
	}
}

// now is the clock of the machines: Unix time, which the lists use as well, run
// on by the monotonic clock; at turns its reading into the system's.
func (r *Relay) now() time.Duration { return r.startUnix + time.Since(r.startTime) }
func (r *Relay) deadlineTime(clock time.Duration) time.Time {
	return r.startTime.Add(clock - r.startUnix)
}

// loop runs until stop is closed.
func (r *Relay) loop(stop <-chan struct{}) {
	defer close(r.stopped)
	tick := time.NewTimer(time.Hour)
	defer tick.Stop()
	for {
		r.controller.FireTimers(r.now())
		if at, ok := r.controller.NextTimer(); ok {
			tick.Reset(at - r.now())
		}
		select {
		case e := <-r.events:
			e(r.now())
		case <-r.drainChanged:
			r.controller.ApplyDrain(r.now())
		case <-tick.C:
		case <-stop:
			return
		}
	}
}

func (r *Relay) sessionOpened(now time.Duration, f *clientSession) {
	r.sessions[f.state.Seq] = f
	r.controller.SessionOpened(now, f.state)
}

func (r *Relay) sessionClosed(now time.Duration, f *clientSession) {
	delete(r.sessions, f.state.Seq)
	r.controller.SessionClosed(now, f.state.Seq)
}

// host is what the Node has done.
type driver struct{ *Relay }

var _ controller.Driver = driver{}

// SendCommand hands an order to a flow; a flow that takes none any more is at its end.
func (h driver) SendCommand(flow uint64, o session.Command) {
	f := h.sessions[flow]
	if f == nil {
		return
	}
	select {
	case f.commands <- o:
	default:
		h.log.Error("a flow does not take its orders", zap.Uint64("flow", flow))
	}
}

func (h driver) MigrateSession(flow uint64) {
	if f := h.sessions[flow]; f != nil {
		f.migrate()
	}
}

func (h driver) ReportClientError(flow uint64, err error) {
	if f := h.sessions[flow]; f != nil {
		h.logProtocolError(f.client.conn, err)
	}
}

func (h driver) StartHealthCheck(b *upstream.Backend)    { h.healthChecks.start(b) }
func (h driver) ReleaseHealthCheck(id balance.BackendID) { h.healthChecks.release(id) }
func (h driver) SendDatagram(to string, data []byte)     { h.peers.queue(to, data) }
func (h driver) RequestEndpoints(watch bool)             { h.discovery.request(watch) }
func (h driver) SetDiscoveryAddress(address string)      { h.discovery.setAddress(address) }
func (h driver) ListReceived()                           { close(h.endpointsReceived) }
func (h driver) StopAccepting()                          { h.stopAcceptingOnce.Do(func() { go h.stopAccepting() }) }
func (h driver) Stopped()                                { close(h.drained) }

func (h driver) SetSettings(s *settings.Settings) {
	h.settings.Store(s)
	h.handshakes.setBusyAnswer(h.busyAnswer())
	h.healthChecks.setSettings(s)
}

func (h driver) SetLimits(s controller.Limits) {
	h.maxSessions.Store(int64(s.Sessions))
	h.handshakes.resize(s.Handshakes)
	h.healthChecks.resize(s.HealthChecks)
	h.auxiliaryDescriptors.Store(int64(s.HealthChecks + s.AdminConnections))
	if h.adminServer != nil {
		h.adminServer.SetMaxConnections(s.AdminConnections)
	}
}
