package simulation

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// epoch is the Unix time at which every run begins.
const epoch = 1_700_000_000 * time.Second

// The delay between two goroutines of a relay is at most maxNormalHandOff, except for one hand-off in
// slowHandOffOdds, which takes up to maxSlowHandOff.
const (
	slowHandOffOdds  = 64
	maxSlowHandOff   = 3 * time.Millisecond
	maxNormalHandOff = 60 * time.Microsecond
)

// engine is the discrete-event core of a run: the virtual clock, the event queue, the random source and
// the state of the network that all connections share.
type engine struct {
	now           time.Duration
	queue         eventQueue
	lastSequence  uint64
	eventCount    int
	rng           *rand.Rand
	trace         *bufio.Writer // nil without a trace
	connCount     int           // connection ends created so far; the next one's ID is one more
	conditions    networkConditions
	receiveWindow int // bytes an end buffers before its peer's writes block
	linkFaults    []linkFault
}

func newEngine(seed uint64, trace io.Writer) *engine {
	e := &engine{now: epoch, rng: rand.New(rand.NewPCG(seed, 0x5eed)), conditions: networkConditions{latencyFactor: 1}}
	if trace != nil {
		e.trace = bufio.NewWriter(trace)
	}
	return e
}

// schedule calls do after a delay. A negative delay counts as zero.
func (e *engine) schedule(delay time.Duration, do func()) { e.scheduleAt(e.now+max(0, delay), do) }

// scheduleAt calls do at the given time. Events of the same time run in the order in which they were scheduled.
func (e *engine) scheduleAt(at time.Duration, do func()) {
	e.lastSequence++
	e.queue.push(event{at: at, sequence: e.lastSequence, action: do})
}

// runNext runs the next event and advances the clock to it. It returns false if no event is due by end.
func (e *engine) runNext(end time.Duration) bool {
	if len(e.queue) == 0 || e.queue[0].at > end {
		return false
	}
	next := e.queue.pop()
	e.now = next.at
	e.eventCount++
	next.action()
	return true
}

// tracef writes a line to the trace. Callers check first that there is a trace, so that untraced runs do
// not evaluate the arguments.
func (e *engine) tracef(format string, args ...any) {
	fmt.Fprintf(e.trace, "%10.6f ", (e.now - epoch).Seconds())
	fmt.Fprintf(e.trace, format, args...)
	_ = e.trace.WriteByte('\n')
}

// randomDuration draws uniformly from [lower, upper). If the range is empty, it returns lower and draws nothing.
func (e *engine) randomDuration(lower, upper time.Duration) time.Duration {
	if upper <= lower {
		return lower
	}
	return lower + time.Duration(e.rng.Int64N(int64(upper-lower)))
}

// randomChance is true with probability p. It draws nothing if p is zero.
func (e *engine) randomChance(p float64) bool { return p > 0 && e.rng.Float64() < p }

// goroutineDelay draws the delay of a hand-off from one goroutine of a relay to another.
func (e *engine) goroutineDelay() time.Duration {
	if e.rng.IntN(slowHandOffOdds) == 0 {
		return e.randomDuration(0, maxSlowHandOff)
	}
	return e.randomDuration(0, maxNormalHandOff)
}
