package testcluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/fault"
)

// TCP's retransmission timeouts on an established connection and when connecting: the delay that a lost segment causes.
const (
	retransmissionTimeout        = 200 * time.Millisecond
	connectRetransmissionTimeout = time.Second
)

// node is one end of a link.
type node struct {
	kind  fault.NodeKind
	index int
}

// activeFault is a link fault in force.
type activeFault struct {
	link    *fault.Link
	ended   chan struct{} // closed when the fault ends
	effects *effectCounters
}

// linkFaults applies faults to the links between nodes. Data of a stream is delayed, never lost or reordered, and
// nothing is held longer than its fault lasts. It is safe for concurrent use.
type linkFaults struct {
	mu       sync.RWMutex
	active   []*activeFault
	randomMu sync.Mutex
	random   *rand.Rand
	idle     atomic.Bool // no fault is in force; read without a lock
}

func newLinkFaults(seed uint64) *linkFaults {
	links := &linkFaults{random: rand.New(rand.NewPCG(seed, 0x11c5))}
	links.idle.Store(true)
	return links
}

// inject puts a fault in force until the function it returns is called.
func (links *linkFaults) inject(l *fault.Link, effects *effectCounters) (end func()) {
	a := &activeFault{link: l, ended: make(chan struct{}), effects: effects}
	links.mu.Lock()
	links.active = append(links.active, a)
	links.idle.Store(false)
	links.mu.Unlock()
	return func() {
		links.mu.Lock()
		for i := range links.active {
			if links.active[i] == a {
				links.active = append(links.active[:i:i], links.active[i+1:]...)
				break
			}
		}
		links.idle.Store(len(links.active) == 0)
		links.mu.Unlock()
		close(a.ended)
	}
}

// affecting returns the faults in force on the link from one node to another.
func (links *linkFaults) affecting(from, to node) []*activeFault {
	if links.idle.Load() {
		return nil
	}
	links.mu.RLock()
	defer links.mu.RUnlock()
	var out []*activeFault
	for _, a := range links.active {
		if a.link.Affects(from.kind, from.index, to.kind, to.index) {
			out = append(out, a)
		}
	}
	return out
}

func (links *linkFaults) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	links.randomMu.Lock()
	defer links.randomMu.Unlock()
	return links.random.Float64() < p
}

func (links *linkFaults) randomDuration(minimum, maximum time.Duration) time.Duration {
	if maximum <= minimum {
		return minimum
	}
	links.randomMu.Lock()
	defer links.randomMu.Unlock()
	return minimum + time.Duration(links.random.Int64N(int64(maximum-minimum)))
}

// passStream waits until a chunk of a stream arrives. It returns false if ctx is done first. The caller passes the chunks
// of one direction of a connection one after another, which keeps their order.
func (links *linkFaults) passStream(ctx context.Context, from, to node) bool {
	for {
		delay, holding := links.streamDelay(from, to)
		switch {
		case holding != nil:
			holding.effects.held.Add(1)
			select {
			case <-holding.ended: // check again: another fault may still hold the chunk
			case <-ctx.Done():
				return false
			}
		case delay > 0:
			return sleepContext(ctx, delay)
		default:
			return ctx.Err() == nil
		}
	}
}

// streamDelay returns how much later a chunk of a stream arrives, or the fault that holds it.
func (links *linkFaults) streamDelay(from, to node) (delay time.Duration, holding *activeFault) {
	for _, a := range links.affecting(from, to) {
		if a.link.Partitioned || a.link.Buffered {
			return 0, a
		}
		if d := a.link.Delay + links.randomDuration(0, a.link.Jitter); d > 0 {
			a.effects.delayed.Add(1)
			delay += d
		}
		if links.chance(a.link.LossRate) {
			a.effects.lost.Add(1)
			delay += retransmissionTimeout
		}
	}
	return delay, nil
}

// connectDelay returns how much later than usual a connection is established, or false if it is not established at all.
func (links *linkFaults) connectDelay(from, to node) (delay time.Duration, ok bool) {
	for _, direction := range [2][2]node{{from, to}, {to, from}} {
		for _, a := range links.affecting(direction[0], direction[1]) {
			if a.link.Partitioned || a.link.Buffered {
				a.effects.refused.Add(1)
				return 0, false
			}
			d := a.link.Delay + links.randomDuration(0, a.link.Jitter)
			if links.chance(a.link.LossRate) {
				d += connectRetransmissionTimeout
			}
			if d > 0 {
				a.effects.delayed.Add(1)
				delay += d
			}
		}
	}
	return delay, true
}

// datagramDelays returns the delays after which the copies of a datagram arrive; without any, it is lost. A datagram that
// is held arrives at the end of the fault that holds it.
func (links *linkFaults) datagramDelays(from, to node) (delays []time.Duration, held *activeFault) {
	delays = []time.Duration{0}
	for _, a := range links.affecting(from, to) {
		switch l := a.link; {
		case l.Partitioned, links.chance(l.LossRate):
			a.effects.lost.Add(1)
			return nil, nil
		case l.Buffered:
			a.effects.held.Add(1)
			held = a
		default:
			if links.chance(l.DuplicateRate) {
				a.effects.duplicated.Add(1)
				delays = append(delays, delays[0]+links.randomDuration(0, 20*time.Millisecond))
			}
			d := l.Delay + links.randomDuration(0, l.Jitter)
			if links.chance(l.ReorderRate) {
				d += links.randomDuration(5*time.Millisecond, 50*time.Millisecond)
			}
			if d > 0 {
				a.effects.delayed.Add(1)
			}
			for i := range delays {
				delays[i] += d
			}
		}
	}
	return delays, held
}
