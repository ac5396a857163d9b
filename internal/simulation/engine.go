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
type engine struct {
	now           time.Duration
	queue         []event
	lastSequence  uint64
	eventCount    int
	rng           *rand.Rand
	trace         *bufio.Writer // nil: none is wanted
	connCount     int           // connections' ends so far, which numbers them
	conditions    networkConditions
	receiveWindow int    // how much a side takes in that nobody reads
	afterEvent    func() // called after every step
	linkFaults    []linkFault
}

// weather is how the network does at the moment.
type networkConditions struct {
	latencyFactor    float64 // messages take so many times the usual
	datagramLossRate float64 // share of datagrams lost beyond the usual
	resetRate        float64 // share of segments that find their connection reset
	synLossRate      float64 // share of connections that nobody answers
}

// occasion is an event to come; seq keeps those of one time in the order in which they were arranged.
type event struct {
	at     time.Duration
	seq    uint64
	action func()
}

func newEngine(seed uint64, trace io.Writer) *engine {
	engine := &engine{now: epoch, rng: rand.New(rand.NewPCG(seed, 0x5eed)), conditions: networkConditions{latencyFactor: 1}}
	if trace != nil {
		engine.trace = bufio.NewWriter(trace)
	}
	return engine
}

// in has something happen after a while.
func (e *engine) schedule(d time.Duration, do func()) { e.scheduleAt(e.now+max(0, d), do) }

// at has something happen at a time; what is due at once keeps its order.
func (e *engine) scheduleAt(t time.Duration, do func()) {
	e.lastSequence++
	q := append(e.queue, event{t, e.lastSequence, do})
	i := len(q) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !q[i].before(&q[up]) {
			break
		}
		q[i], q[up] = q[up], q[i]
		i = up
	}
	e.queue = q
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// step plays the next event; false: there is none before the end.
func (e *engine) runNext(end time.Duration) bool {
	if len(e.queue) == 0 || e.queue[0].at > end {
		return false
	}
	q := e.queue
	o := q[0]
	last := len(q) - 1
	q[0] = q[last]
	q[last].action = nil
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
	e.queue = q
	e.now = o.at
	e.eventCount++
	o.action()
	if e.afterEvent != nil {
		e.afterEvent()
	}
	return true
}

// note writes a line of the trace; callers look whether one is wanted first, since
// the arguments cost something.
func (e *engine) tracef(format string, args ...any) {
	fmt.Fprintf(e.trace, "%10.6f ", (e.now - epoch).Seconds())
	fmt.Fprintf(e.trace, format, args...)
	_ = e.trace.WriteByte('\n')
}

// between is a random time between two.
func (e *engine) randomDuration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(e.rng.Int64N(int64(most-least)))
}

func (e *engine) randomChance(p float64) bool { return p > 0 && e.rng.Float64() < p }

// handover is how long one goroutine of a relay takes to hear another.
func (e *engine) goroutineDelay() time.Duration {
	if e.rng.IntN(64) == 0 {
		return e.randomDuration(0, 3*time.Millisecond)
	}
	return e.randomDuration(0, 60*time.Microsecond)
}
