// Package emulator models the servers behind the relays: cores that requests share,
// queues, standing connections, cold starts, pauses, slowness and a dependency that
// several servers share (Pool). Servers that wait for a Pool get slower by queueing,
// not by a factor.
//
// The model has no clock, sockets or goroutines. Callers pass the time, which must
// never go back, and ask with Next when to call again, so that the virtual clock of
// package world and the sockets of package fleet drive the same code. All randomness
// comes from the seed given to New.
package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Config is what a server is. Work is in seconds of one nominal core.
type Config struct {
	Cores       float64       // how many; a request uses one at most
	Speed       float64       // of a core; 1: nominal
	Queue       int           // requests worked on at once; over it the next is turned away
	Backlog     int           // what the system holds for a process that pauses
	GroupLoad   float64       // cores that each group takes of which a connection is here
	ColdFrom    float64       // the share of its capacity that it starts with
	WarmUp      time.Duration // until it has all of it
	Opens       float64       // requests a second that it can do when warm, for falling over; 0: it never does
	FallTimes   float64       // a cold server falls over when it gets more than this many times what it can do
	FallSpan    time.Duration // within this span
	Memory      float64       // what connections may leak until it crashes, in connection-seconds; 0: none leaks
	ReportEvery time.Duration // the least time between two reports of load
	ReportStep  float64       // reports are rounded to multiples of this; 0: they are not
	ReportNoise float64       // standard deviation, as a share
	ReportLate  time.Duration // a report is told so long after it was made
}

// Job is one request being worked on.
type Job struct {
	ID   uint64  // the caller's; returned by Done
	Work float64 // seconds of one nominal core
}

// Verdict is what becomes of a request that arrives.
type Verdict uint8

// The verdicts.
const (
	Taken   Verdict = iota // it is worked on
	Waits                  // the process pauses: it will be seen afterwards
	Full                   // turned away: BUSY
	Lost                   // nobody answers: the system's queue is full, or the server is down
	Toppled                // this one pushed a cold server over
)

// Server is one server. Its methods are called with times that never go back.
type Server struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	started time.Duration // math.MinInt64: long ago
	down    bool
	paused  bool
	slow    float64
	age     float64 // per second, from aged on
	aged    time.Duration
	served  float64 // V: what each request present all the time has been given
	jobs    jobs
	waiting []Job // of a pause
	opens   []time.Duration
	conns   map[uint64]conn
	groups  map[uint64]int
	load    float64 // of standing connections, their groups' not included
	leaked  float64
	piled   float64 // seconds by which the work of standing connections is behind
	done    float64 // work done on requests since the last report
	report  float64
	reports []made // that are still to be told
	told    time.Duration
	seq     uint64
}

type made struct {
	at   time.Duration
	load float64
}

type conn struct {
	load  float64
	group uint64
}

type job struct {
	Job
	due float64 // done when served comes to this
	seq uint64
}

type jobs []job

func (h jobs) Len() int { return len(h) }
func (h jobs) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].seq < h[j].seq
}
func (h jobs) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(x any)   { *h = append(*h, x.(job)) }
func (h *jobs) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// mostPiled is how far behind a server's connections can come: what is older is
// given up by those who wait for it.
const mostPiled = 10.0

// longAgo is the start of a server that is warm.
const longAgo = math.MinInt64

// New is a server that has been running for long.
func New(cfg Config, seed uint64, now time.Duration) *Server {
	s := &Server{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0xe1))}
	s.reset(now)
	s.started = longAgo
	return s
}

func (s *Server) reset(now time.Duration) {
	s.now, s.told, s.aged, s.started = now, now, now, now
	s.down, s.paused, s.slow, s.age, s.served, s.leaked, s.piled, s.done, s.report, s.load = false, false, 1, 0, 0, 0, 0, 0, 0, 0
	s.jobs, s.waiting, s.opens, s.reports = nil, nil, nil, nil
	s.conns, s.groups = map[uint64]conn{}, map[uint64]int{}
}

// Restart starts a new, cold process; all that it had is gone.
func (s *Server) Restart(now time.Duration) { s.reset(now) }

// Down says whether the process has crashed or fallen over.
func (s *Server) Down() bool { return s.down }

// Crash ends the process.
func (s *Server) Crash(now time.Duration) {
	s.advance(now)
	s.down = true
	s.jobs, s.waiting = nil, nil
}

// warm is the share of its capacity that the server has at a time.
func (s *Server) warm(at time.Duration) float64 {
	if s.started == longAgo || s.cfg.WarmUp <= 0 || at-s.started >= s.cfg.WarmUp {
		return 1
	}
	return s.cfg.ColdFrom + (1-s.cfg.ColdFrom)*float64(at-s.started)/float64(s.cfg.WarmUp)
}

// core is the speed of one core now.
func (s *Server) core() float64 {
	return s.cfg.Speed * s.warm(s.now) / s.slow / (1 + s.age*(s.now-s.aged).Seconds())
}

// standing is what connections take of the cores.
func (s *Server) standing() float64 { return s.load + s.cfg.GroupLoad*float64(len(s.groups)) }

// rate is how fast served rises now: what one request is given.
func (s *Server) rate() float64 {
	if s.paused || s.down || len(s.jobs) == 0 {
		return 0
	}
	core := s.core()
	all := core * s.cfg.Cores
	left := max(all/20, all-s.standing())
	return min(core, left/float64(len(s.jobs)))
}

// stride is how long a rate that changes by itself (warming up, ageing) is taken
// as constant.
const stride = 50 * time.Millisecond

// changes says whether the rate changes without an event.
func (s *Server) changes() bool { return s.age > 0 || s.warm(s.now) < 1 }

// advance has time pass, without an event.
func (s *Server) advance(now time.Duration) {
	for s.now < now {
		to := now
		if s.changes() {
			to = min(to, s.now+stride)
		}
		d := (to - s.now).Seconds()
		given := s.rate() * d
		s.served += given
		s.done += given * float64(len(s.jobs))
		// What connections ask goes on whether or not it is done: over the capacity it piles up.
		if all := s.core() * s.cfg.Cores; s.paused || all <= 0 {
			s.piled += d
		} else {
			s.piled = min(mostPiled, max(0, s.piled+(s.standing()/all-1)*d))
		}
		if s.cfg.Memory > 0 && !s.down {
			if s.leaked += d * float64(len(s.conns)); s.leaked >= s.cfg.Memory {
				s.now = to
				s.down = true
				s.jobs, s.waiting = nil, nil
			}
		}
		s.now = to
	}
}

// Arrive takes in a request.
func (s *Server) Arrive(now time.Duration, j Job) Verdict {
	s.advance(now)
	switch {
	case s.down:
		return Lost
	case s.paused && len(s.waiting) >= s.cfg.Backlog:
		return Lost
	case s.paused:
		s.waiting = append(s.waiting, j)
		return Waits
	case s.push():
		s.Crash(now)
		return Toppled
	case len(s.jobs) >= s.cfg.Queue:
		return Full
	}
	s.begin(j)
	return Taken
}

func (s *Server) begin(j Job) {
	s.seq++
	heap.Push(&s.jobs, job{j, s.served + max(j.Work, 1e-9), s.seq})
}

// push counts one more request at a cold server and says whether it falls over.
func (s *Server) push() bool {
	warm := s.warm(s.now)
	if warm >= 1 || s.cfg.Opens <= 0 {
		return false
	}
	s.opens = append(s.opens, s.now)
	for s.now-s.opens[0] > s.cfg.FallSpan {
		s.opens = s.opens[1:]
	}
	return float64(len(s.opens)) > s.cfg.FallTimes*warm*s.cfg.Opens*s.cfg.FallSpan.Seconds()
}

// Next is when a request will be done if nothing else happens; false: none will.
// The rate may change by itself meanwhile, so it may be asked again then.
func (s *Server) Next() (time.Duration, bool) {
	rate := s.rate()
	if rate <= 0 {
		return 0, false
	}
	wait := max(0, (s.jobs[0].due-s.served)/rate)
	at := s.now + time.Duration(math.Ceil(wait*1e9))
	if s.changes() && at > s.now+stride {
		at = s.now + stride
	}
	return at, true
}

// Done has time pass and returns the requests that are done by then, in their order.
func (s *Server) Done(now time.Duration) (done []uint64) {
	for {
		at, ok := s.Next()
		if !ok || at > now {
			break
		}
		s.advance(at)
		for len(s.jobs) > 0 && s.jobs[0].due <= s.served+1e-12 {
			done = append(done, heap.Pop(&s.jobs).(job).ID)
		}
	}
	s.advance(now)
	return done
}

// Working is how many requests are worked on.
func (s *Server) Working() int { return len(s.jobs) }

// Hold has a standing connection begin, or tell another load: cores that it takes.
// group is 0 for one that shares work with none.
func (s *Server) Hold(now time.Duration, id uint64, load float64, group uint64) {
	s.advance(now)
	if old, ok := s.conns[id]; ok {
		s.drop(id, old)
	}
	s.conns[id] = conn{load, group}
	s.load += load
	if group != 0 {
		s.groups[group]++
	}
}

// Release has a standing connection end.
func (s *Server) Release(now time.Duration, id uint64) {
	s.advance(now)
	if c, ok := s.conns[id]; ok {
		s.drop(id, c)
	}
}

func (s *Server) drop(id uint64, c conn) {
	delete(s.conns, id)
	if s.load -= c.load; len(s.conns) == 0 {
		s.load = 0 // no remainder of sums that do not come out even
	}
	if c.group != 0 {
		if s.groups[c.group]--; s.groups[c.group] == 0 {
			delete(s.groups, c.group)
		}
	}
}

// Pause stops the process; Resume lets it go on with all that has come meanwhile,
// which it returns: what no longer fits is turned away.
func (s *Server) Pause(now time.Duration) {
	s.advance(now)
	s.paused = true
}

// Resume ends a pause.
func (s *Server) Resume(now time.Duration) (taken, full []uint64) {
	s.advance(now)
	s.paused = false
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		if len(s.jobs) >= s.cfg.Queue {
			full = append(full, j.ID)
			continue
		}
		s.begin(j)
		taken = append(taken, j.ID)
	}
	return taken, full
}

// Slow has everything take so many times as long; 1 ends it.
func (s *Server) Slow(now time.Duration, times float64) {
	s.advance(now)
	s.slow = max(times, 1e-3)
}

// Age has the server get slower by a share of its first speed each second; 0 ends it.
func (s *Server) Age(now time.Duration, share float64) {
	s.advance(now)
	s.age, s.aged = share, now
}

// Delay is how long a line on a standing connection takes: its own work on a
// machine with room, more the more is asked of it, and all that is piled up before it.
func (s *Server) Delay(now time.Duration, work float64) time.Duration {
	s.advance(now)
	core := s.core()
	all := core * s.cfg.Cores
	asked := s.standing()/max(all, 1e-9) + float64(len(s.jobs))/max(s.cfg.Cores, 1e-9)*0.5
	return time.Duration((work/core*max(1, asked) + s.piled) * 1e9)
}

// Load is what is asked of the server over what it can do, without the age, steps
// and noise of a report.
func (s *Server) Load(now time.Duration) float64 {
	s.advance(now)
	if s.down {
		return math.Inf(1)
	}
	return (s.standing() + float64(len(s.jobs))) / max(s.core()*s.cfg.Cores, 1e-9)
}

// Report is the load that the server tells: asked over what it can do, as old as
// the configuration says, rounded and noisy.
func (s *Server) Report(now time.Duration) float64 {
	s.advance(now)
	if d := now - s.told; d >= s.cfg.ReportEvery && d > 0 {
		all := s.core() * s.cfg.Cores
		load := (s.standing() + s.done/d.Seconds()) / max(all, 1e-9)
		load *= 1 + s.cfg.ReportNoise*s.rng.NormFloat64()
		if s.cfg.ReportStep > 0 {
			load = math.Round(load/s.cfg.ReportStep) * s.cfg.ReportStep
		}
		s.told, s.done = now, 0
		s.reports = append(s.reports, made{now, max(0, load)})
	}
	for len(s.reports) > 0 && now-s.reports[0].at >= s.cfg.ReportLate {
		s.report, s.reports = s.reports[0].load, s.reports[1:]
	}
	return s.report
}
