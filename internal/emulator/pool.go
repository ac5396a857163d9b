package emulator

import (
	"container/heap"
	"time"
)

// Pool is a dependency that servers share, such as a database: a number of places,
// and a queue of those that wait for one. Its methods are called with times that
// never go back.
type Pool struct {
	places int
	slow   float64
	busy   uses
	line   []use
	seq    uint64
}

type use struct {
	id   uint64
	hold time.Duration
	end  time.Duration
	seq  uint64
}

type uses []use

func (h uses) Len() int { return len(h) }
func (h uses) Less(i, j int) bool {
	return h[i].end < h[j].end || h[i].end == h[j].end && h[i].seq < h[j].seq
}
func (h uses) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *uses) Push(x any)   { *h = append(*h, x.(use)) }
func (h *uses) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// NewPool is a dependency with so many places.
func NewPool(places int) *Pool { return &Pool{places: places, slow: 1} }

// Use asks for a place, to be held for a time once it is had.
func (p *Pool) Use(now time.Duration, id uint64, hold time.Duration) {
	p.seq++
	p.line = append(p.line, use{id: id, hold: hold, seq: p.seq})
	p.seat(now)
}

// seat gives free places to those who have waited longest.
func (p *Pool) seat(now time.Duration) {
	for len(p.busy) < p.places && len(p.line) > 0 {
		u := p.line[0]
		p.line = p.line[1:]
		u.end = now + time.Duration(float64(u.hold)*p.slow)
		heap.Push(&p.busy, u)
	}
}

// Slow has those who are seated from now on hold their places so many times as long.
func (p *Pool) Slow(times float64) { p.slow = max(times, 1e-3) }

// Next is when the next place is free again; false: all are free.
func (p *Pool) Next() (time.Duration, bool) {
	if len(p.busy) == 0 {
		return 0, false
	}
	return p.busy[0].end, true
}

// Done returns those who have had their time by now, in their order.
func (p *Pool) Done(now time.Duration) (done []uint64) {
	for len(p.busy) > 0 && p.busy[0].end <= now {
		u := heap.Pop(&p.busy).(use)
		done = append(done, u.id)
		p.seat(u.end)
	}
	return done
}

// Waiting is how many wait for a place.
func (p *Pool) Waiting() int { return len(p.line) }
