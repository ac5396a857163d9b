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
func (r *Relay) now() time.Duration               { return r.born + time.Since(r.start) }
func (r *Relay) at(clock time.Duration) time.Time { return r.start.Add(clock - r.born) }

// loop runs until stop is closed.
func (r *Relay) loop(stop <-chan struct{}) {
	defer close(r.stopped)
	tick := time.NewTimer(time.Hour)
	defer tick.Stop()
	for {
		r.node.FireTimers(r.now())
		if at, ok := r.node.NextTimer(); ok {
			tick.Reset(at - r.now())
		}
		select {
		case e := <-r.events:
			e(r.now())
		case <-r.drains:
			r.node.ApplyDrain(r.now())
		case <-tick.C:
		case <-stop:
			return
		}
	}
}

func (r *Relay) opened(now time.Duration, f *flow) {
	r.flows[f.m.Seq] = f
	r.node.SessionOpened(now, f.m)
}

func (r *Relay) closed(now time.Duration, f *flow) {
	delete(r.flows, f.m.Seq)
	r.node.SessionClosed(now, f.m.Seq)
}

// host is what the Node has done.
type host struct{ *Relay }

var _ controller.Driver = host{}

// SendCommand hands an order to a flow; a flow that takes none any more is at its end.
func (h host) SendCommand(flow uint64, o session.Command) {
	f := h.flows[flow]
	if f == nil {
		return
	}
	select {
	case f.orders <- o:
	default:
		h.log.Error("a flow does not take its orders", zap.Uint64("flow", flow))
	}
}

func (h host) MigrateSession(flow uint64) {
	if f := h.flows[flow]; f != nil {
		f.move()
	}
}

func (h host) ReportClientError(flow uint64, err error) {
	if f := h.flows[flow]; f != nil {
		h.bad(f.client.conn, err)
	}
}

func (h host) StartHealthCheck(b *upstream.Backend)    { h.probes.start(b) }
func (h host) ReleaseHealthCheck(id balance.BackendID) { h.probes.release(id) }
func (h host) SendDatagram(to string, data []byte)     { h.peers.tell(to, data) }
func (h host) RequestEndpoints(watch bool)             { h.discovery.ask(watch) }
func (h host) SetDiscoveryAddress(address string)      { h.discovery.move(address) }
func (h host) EndpointsReceived()                      { close(h.listed) }
func (h host) StopAccepting()                          { h.door.Do(func() { go h.shutDoor() }) }
func (h host) Stopped()                                { close(h.left) }

func (h host) SetSettings(s *settings.Settings) {
	h.settings.Store(s)
	h.lobby.farewell(h.busyLine())
	h.probes.under(s)
}

func (h host) SetLimits(s controller.Limits) {
	h.room.Store(int64(s.Sessions))
	h.lobby.resize(s.Handshakes)
	h.probes.resize(s.HealthChecks)
	h.spare.Store(int64(s.HealthChecks + s.AdminConnections))
	if h.second != nil {
		h.second.SetMaxConnections(s.AdminConnections)
	}
}
