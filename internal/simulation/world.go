// Package simulation simulates an installation on a virtual clock: relays, backends,
// discovery, load-balancing fronts, clients and the network between them, with faults
// injected. The relays run the code that serves, package machine, under a driver of
// this package.
//
// A run is one goroutine and a heap of events. Its seed decides everything that is
// left to chance, so the same Options give the same Result to the byte: nothing here
// may read the system's clock, depend on the order of a map or draw from any other
// source of randomness. What a run draws must not depend on whether it is traced.
//
// Package invariant watches the bytes that pass and reports the rules that are broken.
// A Mutation makes relays break one on purpose, for tests of the checker; Shrink reduces a
// failing script of faults. Backends either answer after drawn delays or, where
// Options.Installation is set, follow the model of package emulator. Their figures are those
// of the model and say nothing of real servers.
package simulation

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// epoch is when every run begins, in Unix time.
const epoch = 1_700_000_000 * time.Second

// world is the clock, the events to come and the network.
type world struct {
	now    time.Duration
	queue  []occasion
	seq    uint64
	steps  int
	rng    *rand.Rand
	trace  *bufio.Writer // nil: none is wanted
	ends   int           // connections' ends so far, which numbers them
	net    weather
	window int    // how much a side takes in that nobody reads
	after  func() // called after every step
	links  []troubledLink
}

// weather is how the network does at the moment.
type weather struct {
	slow    float64 // messages take so many times the usual
	lossy   float64 // share of datagrams lost beyond the usual
	resets  float64 // share of segments that find their connection reset
	lostSYN float64 // share of connections that nobody answers
}

// occasion is an event to come; seq keeps those of one time in the order in which they were arranged.
type occasion struct {
	at  time.Duration
	seq uint64
	do  func()
}

func newWorld(seed uint64, trace io.Writer) *world {
	w := &world{now: epoch, rng: rand.New(rand.NewPCG(seed, 0x5eed)), net: weather{slow: 1}}
	if trace != nil {
		w.trace = bufio.NewWriter(trace)
	}
	return w
}

// in has something happen after a while.
func (w *world) in(d time.Duration, do func()) { w.at(w.now+max(0, d), do) }

// at has something happen at a time; what is due at once keeps its order.
func (w *world) at(t time.Duration, do func()) {
	w.seq++
	q := append(w.queue, occasion{t, w.seq, do})
	i := len(q) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !q[i].before(&q[up]) {
			break
		}
		q[i], q[up] = q[up], q[i]
		i = up
	}
	w.queue = q
}

func (o *occasion) before(p *occasion) bool { return o.at < p.at || o.at == p.at && o.seq < p.seq }

// step plays the next event; false: there is none before the end.
func (w *world) step(end time.Duration) bool {
	if len(w.queue) == 0 || w.queue[0].at > end {
		return false
	}
	q := w.queue
	o := q[0]
	last := len(q) - 1
	q[0] = q[last]
	q[last].do = nil
	q = q[:last]
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
			if q[c].before(&q[least]) {
				least = c
			}
		}
		if least == i {
			break
		}
		q[i], q[least] = q[least], q[i]
		i = least
	}
	w.queue = q
	w.now = o.at
	w.steps++
	o.do()
	if w.after != nil {
		w.after()
	}
	return true
}

// note writes a line of the trace; callers look whether one is wanted first, since
// the arguments cost something.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.trace, "%10.6f ", (w.now - epoch).Seconds())
	fmt.Fprintf(w.trace, format, args...)
	_ = w.trace.WriteByte('\n')
}

// between is a random time between two.
func (w *world) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// handover is how long one goroutine of a relay takes to hear another.
func (w *world) handover() time.Duration {
	if w.rng.IntN(64) == 0 {
		return w.between(0, 3*time.Millisecond)
	}
	return w.between(0, 60*time.Microsecond)
}
