package emulator

import (
	"container/heap"
	"math"
	"time"
)

const (
	minWork          = 1e-9  // core-seconds; a request has at least this much, so that none is done at the time of its arrival
	serviceTolerance = 1e-12 // core-seconds by which rounding may make a request look unfinished
)

// processor shares the cores among requests (processor sharing). Each request in flight gets the same service per second,
// so one counter of the service given to a request that was always in flight is enough: a request is done when the counter
// has risen by its work.
type processor struct {
	service  float64 // core-seconds given to a request that was always in flight
	running  requestHeap
	sequence uint64
}

// runningRequest is a request in flight.
type runningRequest struct {
	Request
	doneAt   float64 // value of the processor's service counter
	sequence uint64  // order of arrival
}

// start begins work on a request.
func (p *processor) start(r Request) {
	p.sequence++
	heap.Push(&p.running, runningRequest{r, p.service + max(r.Work, minWork), p.sequence})
}

// advance serves the requests at a rate for some seconds, and returns the work done on all requests together.
func (p *processor) advance(rate, seconds float64) float64 {
	given := rate * seconds
	p.service += given
	return given * float64(len(p.running))
}

// takeDone removes the requests that are done, and returns their IDs in the order of completion.
func (p *processor) takeDone() (ids []uint64) {
	for len(p.running) > 0 && p.running[0].doneAt <= p.service+serviceTolerance {
		ids = append(ids, heap.Pop(&p.running).(runningRequest).ID)
	}
	return ids
}

// NextCompletion returns when the next request is done if nothing else happens, or false if none will be. While the
// service rate varies it may return an earlier time, at which it must be called again.
func (s *Server) NextCompletion() (time.Duration, bool) {
	rate := s.requestRate()
	if rate <= 0 {
		return 0, false
	}
	wait := max(0, (s.processor.running[0].doneAt-s.processor.service)/rate)
	at := s.now + time.Duration(math.Ceil(wait*1e9))
	if s.rateVaries() && at > s.now+rateStep {
		at = s.now + rateStep
	}
	return at, true
}

// Complete advances the server to now, and returns the IDs of the requests that are done by then, in the order of completion.
func (s *Server) Complete(now time.Duration) (ids []uint64) {
	for {
		at, ok := s.NextCompletion()
		if !ok || at > now {
			break
		}
		s.advance(at)
		ids = append(ids, s.processor.takeDone()...)
	}
	s.advance(now)
	return ids
}

// requestHeap implements heap.Interface, ordered by completion, then by arrival.
type requestHeap []runningRequest

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(i, j int) bool {
	return h[i].doneAt < h[j].doneAt || h[i].doneAt == h[j].doneAt && h[i].sequence < h[j].sequence
}
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)   { *h = append(*h, x.(runningRequest)) }
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
