// This file owns the one goroutine that may touch the Node: events come in over a
// channel, what the Node has done goes out to flows, probes, peers and discovery.
// It must never block on a socket or on a flow.

package relay

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/machine"
	"aspenbarrow/internal/settings"
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
		r.node.Due(r.now())
		if at, ok := r.node.Next(); ok {
			tick.Reset(at - r.now())
		}
		select {
		case e := <-r.events:
			e(r.now())
		case <-r.drains:
			r.node.Drain(r.now())
		case <-tick.C:
		case <-stop:
			return
		}
	}
}

func (r *Relay) opened(now time.Duration, f *flow) {
	r.flows[f.m.Seq] = f
	r.node.Opened(now, f.m)
}

func (r *Relay) closed(now time.Duration, f *flow) {
	delete(r.flows, f.m.Seq)
	r.node.Closed(now, f.m.Seq)
}

// host is what the Node has done.
type host struct{ *Relay }

var _ machine.Host = host{}

// Order hands an order to a flow; a flow that takes none any more is at its end.
func (h host) Order(flow uint64, o machine.Order) {
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

func (h host) Move(flow uint64) {
	if f := h.flows[flow]; f != nil {
		f.move()
	}
}

func (h host) Bad(flow uint64, err error) {
	if f := h.flows[flow]; f != nil {
		h.bad(f.client.conn, err)
	}
}

func (h host) Probe(b *machine.Backend)        { h.probes.start(b) }
func (h host) Release(id balance.BackendID)    { h.probes.release(id) }
func (h host) Datagram(to string, data []byte) { h.peers.tell(to, data) }
func (h host) Ask(watch bool)                  { h.discovery.ask(watch) }
func (h host) Follow(address string)           { h.discovery.move(address) }
func (h host) Ready()                          { close(h.listed) }
func (h host) Door()                           { h.door.Do(func() { go h.shutDoor() }) }
func (h host) Left()                           { close(h.left) }

func (h host) Settings(s *settings.Settings) {
	h.settings.Store(s)
	h.lobby.farewell(h.busyLine())
	h.probes.under(s)
}

func (h host) Limits(s machine.Shares) {
	h.room.Store(int64(s.Flows))
	h.lobby.resize(s.Guests)
	h.probes.resize(s.Probes)
	h.spare.Store(int64(s.Probes + s.Calls))
	if h.second != nil {
		h.second.Resize(s.Calls)
	}
}
