package controller

import (
	"container/heap"
	"time"
)

// metricsInterval is how often the gauges that are read from the balancer are published.
const metricsInterval = 200 * time.Millisecond

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	balancerTimer       timerKind = iota // set by the balancer
	migrationTimer                       // shutdown: load balancers in front have detected it, sessions may be migrated
	shutdownPollTimer                    // shutdown: check whether work is left
	stopTimer                            // shutdown: the last answers have been written
	answerDeadlineTimer                  // shutdown: answer or migrate the sessions that are left
	drainTimer                           // drain: load balancers in front have detected it, sessions may be migrated
	metricsTimer                         // publish gauges, compare the shadow evaluation's backend availability
	shadowTimer                          // set by the shadow evaluation's balancer
	membershipTimer                      // next tick of the membership protocol
	endpointsTimer                       // the wait for the first endpoint list is over
	claimTimer                           // a request has waited for the other process of a hot restart
)

// timer is one pending timer.
type timer struct {
	at       time.Duration
	sequence uint64 // orders timers that are due at the same time by when they were set
	token    uint64 // distinguishes timers of one kind
	kind     timerKind
}

// timerHeap is ordered by time, then by sequence.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// timerQueue holds the pending timers. Those due at the same time fire in the order in which they were set.
type timerQueue struct {
	heap     timerHeap
	sequence uint64 // of the timer set last
}

func (q *timerQueue) set(at time.Duration, kind timerKind, token uint64) {
	q.sequence++
	heap.Push(&q.heap, timer{at, q.sequence, token, kind})
}

// next returns the time of the earliest timer.
func (q *timerQueue) next() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// popDue removes and returns the earliest timer if it is due.
func (q *timerQueue) popDue(now time.Duration) (due timer, ok bool) {
	if at, set := q.next(); !set || at > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

func (q *timerQueue) len() int { return len(q.heap) }

func (c *Controller) setTimer(kind timerKind, token uint64, after time.Duration) {
	c.timers.set(c.now+after, kind, token)
}

// NextTimer returns when FireTimers is to be called next; ok is false if no timer is set.
func (c *Controller) NextTimer() (at time.Duration, ok bool) { return c.timers.next() }

// FireTimers fires all timers that are due.
func (c *Controller) FireTimers(now time.Duration) {
	for {
		due, ok := c.timers.popDue(now)
		if !ok {
			return
		}
		c.deliver(now, func() { c.fireTimer(due) })
	}
}

func (c *Controller) fireTimer(due timer) {
	switch due.kind {
	case balancerTimer:
		c.balancer.TimerFired(c.now, due.token)
	case migrationTimer:
		c.migrateBeforeShutdown()
	case shutdownPollTimer:
		c.pollShutdown()
	case stopTimer:
		c.finishShutdown()
	case answerDeadlineTimer:
		c.endRemainingSessions()
	case drainTimer:
		c.migrateDrained(due.token)
	case metricsTimer:
		c.publishMetrics()
	case shadowTimer:
		c.shadow.ShadowTimerFired(c.now, due.token)
	case membershipTimer:
		c.membershipTick()
	case endpointsTimer:
		c.endpointsOverdue()
	case claimTimer:
		c.claimTimedOut(due.token)
	}
}

func (c *Controller) publishMetrics() {
	c.metrics.SetBackends(c.balancer.CountUnavailable(c.now))
	if c.shadow != nil {
		c.shadow.Sweep(c.now, c.endpoints.ordered)
	}
	c.setTimer(metricsTimer, 0, metricsInterval)
}
