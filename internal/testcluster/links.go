package testcluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/fault"
)

// retransmission is what a lost segment costs a stream, and a lost opening one that comes up late.
const (
	retransmission = 200 * time.Millisecond
	reopening      = time.Second
)

// party is one end of a way.
type party struct {
	kind fault.NodeKind
	who  int
}

// active is a fault on ways, in force.
type active struct {
	link *fault.Link
	over chan struct{} // closed at its end
	did  *deeds
}

// deeds is what a fault really did.
type deeds struct {
	lost, doubled, delayed, held, refused, struck atomic.Int64
}

func (d *deeds) counts() map[string]int {
	out := map[string]int{}
	for name, v := range map[string]int64{"datagrams lost": d.lost.Load(), "datagrams doubled": d.doubled.Load(),
		"delayed": d.delayed.Load(), "held": d.held.Load(), "openings not let through": d.refused.Load(), "struck": d.struck.Load()} {
		if v > 0 {
			out[name] = int(v)
		}
	}
	return out
}

// ways are all links between parties with the faults in force on them. Bytes of a stream are delayed, never lost or
// reordered, and nothing is held longer than its fault lasts. It is safe for concurrent use.
type ways struct {
	mu    sync.RWMutex
	now   []*active
	dice  sync.Mutex
	rng   *rand.Rand
	quiet atomic.Bool // no fault is in force: the usual case, without a lock
}

func newWays(seed uint64) *ways {
	w := &ways{rng: rand.New(rand.NewPCG(seed, 0x11c5))}
	w.quiet.Store(true)
	return w
}

func (w *ways) begin(l *fault.Link, did *deeds) (end func()) {
	a := &active{link: l, over: make(chan struct{}), did: did}
	w.mu.Lock()
	w.now = append(w.now, a)
	w.quiet.Store(false)
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		for i := range w.now {
			if w.now[i] == a {
				w.now = append(w.now[:i:i], w.now[i+1:]...)
				break
			}
		}
		w.quiet.Store(len(w.now) == 0)
		w.mu.Unlock()
		close(a.over)
	}
}

// met are the faults in force that what passes from one to another meets.
func (w *ways) met(from, to party) []*active {
	if w.quiet.Load() {
		return nil
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []*active
	for _, a := range w.now {
		if a.link.Affects(from.kind, from.who, to.kind, to.who) {
			out = append(out, a)
		}
	}
	return out
}

func (w *ways) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	w.dice.Lock()
	defer w.dice.Unlock()
	return w.rng.Float64() < p
}

func (w *ways) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	w.dice.Lock()
	defer w.dice.Unlock()
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

// stream has a piece of a stream pass: it returns when the piece has arrived, or with false when ctx is done before.
// Whoever calls it for one direction of one connection calls it piece by piece, so that order is kept.
func (w *ways) stream(ctx context.Context, from, to party) bool {
	for {
		late := time.Duration(0)
		var cut *active
		for _, a := range w.met(from, to) {
			if a.link.Partitioned || a.link.Buffered {
				cut = a
				break
			}
			if d := a.link.Delay + w.between(0, a.link.Jitter); d > 0 {
				a.did.delayed.Add(1)
				late += d
			}
			if w.chance(a.link.LossRate) {
				a.did.lost.Add(1)
				late += retransmission
			}
		}
		switch {
		case cut != nil:
			cut.did.held.Add(1)
			select {
			case <-cut.over: // and again: another may hold it still
			case <-ctx.Done():
				return false
			}
		case late > 0:
			return wait(ctx, late)
		default:
			return ctx.Err() == nil
		}
	}
}

// opens says whether a connection comes up now, and how much later than usual.
func (w *ways) opens(from, to party) (late time.Duration, ok bool) {
	for _, d := range [2][2]party{{from, to}, {to, from}} {
		for _, a := range w.met(d[0], d[1]) {
			if a.link.Partitioned || a.link.Buffered {
				a.did.refused.Add(1)
				return 0, false
			}
			late += a.link.Delay
			if w.chance(a.link.LossRate) {
				a.did.delayed.Add(1)
				late += reopening
			}
		}
	}
	return late, true
}

// datagram says when a datagram arrives, once for each copy; none: never. A held one arrives at the end of what holds it.
func (w *ways) datagram(from, to party) (late []time.Duration, held *active) {
	late = []time.Duration{0}
	for _, a := range w.met(from, to) {
		switch l := a.link; {
		case l.Partitioned, w.chance(l.LossRate):
			a.did.lost.Add(1)
			return nil, nil
		case l.Buffered:
			a.did.held.Add(1)
			held = a
		default:
			if w.chance(l.DuplicateRate) {
				a.did.doubled.Add(1)
				late = append(late, late[0]+w.between(0, 20*time.Millisecond))
			}
			d := l.Delay + w.between(0, l.Jitter)
			if w.chance(l.ReorderRate) {
				d += w.between(5*time.Millisecond, 50*time.Millisecond)
			}
			if d > 0 {
				a.did.delayed.Add(1)
			}
			for i := range late {
				late[i] += d
			}
		}
	}
	return late, held
}

// wait returns after a time, or with false when ctx is done before.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
