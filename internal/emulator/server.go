package emulator

import (
	"math/rand/v2"
	"time"
)

const (
	// rateStep is how long a service rate that changes continuously (warming up, degrading) is treated as constant.
	rateStep = 50 * time.Millisecond

	// maxLag is the upper bound of the lag of a process that is not paused, in seconds: clients give up on messages that are older.
	maxLag = 10.0

	// rngStream makes this package's random numbers differ from those of other packages with the same seed.
	rngStream = 0xe1
)

// Request is a unit of work for a server.
type Request struct {
	ID   uint64  // chosen by the caller; Complete returns it
	Work float64 // core-seconds of a nominal core
}

// Admission is the outcome of a request's arrival.
type Admission uint8

// The outcomes of an arrival.
const (
	Accepted Admission = iota // the server works on it
	Queued                    // the process is paused; Resume accepts or rejects it
	Rejected                  // MaxRequests are in flight; the server answers with a rejection
	Dropped                   // no answer: the server is down, or the backlog of a paused process is full
	Crashed                   // this request made a cold server crash
)

// Server is the model of one server. It isn't safe for concurrent use.
type Server struct {
	cfg Config
	rng *rand.Rand
	now time.Duration

	down        bool
	paused      bool
	capacity    capacity
	processor   processor
	backlog     []Request // requests that arrived during a pause
	connections connectionTable
	leaked      float64 // connection-seconds
	lag         float64 // delay of messages on connections, in seconds
	reporter    loadReporter
}

// New returns a server that is warm.
func New(cfg Config, seed uint64, now time.Duration) *Server {
	s := &Server{cfg: cfg, rng: rand.New(rand.NewPCG(seed, rngStream))}
	s.Restart(now)
	s.capacity.started = alwaysWarm
	return s
}

// Restart replaces the process with a new, cold one. Requests, connections and faults of the old one are gone.
func (s *Server) Restart(now time.Duration) {
	*s = Server{
		cfg:         s.cfg,
		rng:         s.rng,
		now:         now,
		capacity:    newCapacity(now),
		connections: newConnectionTable(),
		reporter:    loadReporter{lastReport: now},
	}
}

// Down reports whether the process has crashed.
func (s *Server) Down() bool { return s.down }

// Crash ends the process. All requests are lost.
func (s *Server) Crash(now time.Duration) {
	s.advance(now)
	s.stop()
}

func (s *Server) stop() {
	s.down = true
	s.processor.running, s.backlog = nil, nil
}

// Pause stops the process without ending it: no work is done, and requests wait in the backlog.
func (s *Server) Pause(now time.Duration) {
	s.advance(now)
	s.paused = true
}

// Resume ends a pause. It returns the IDs of the requests from the backlog that were accepted, and of those that were
// rejected.
func (s *Server) Resume(now time.Duration) (accepted, rejected []uint64) {
	s.advance(now)
	s.paused = false
	backlog := s.backlog
	s.backlog = nil
	for _, r := range backlog {
		if s.InFlight() >= s.cfg.MaxRequests {
			rejected = append(rejected, r.ID)
			continue
		}
		s.processor.start(r)
		accepted = append(accepted, r.ID)
	}
	return accepted, rejected
}

// Arrive handles the arrival of a request.
func (s *Server) Arrive(now time.Duration, r Request) Admission {
	s.advance(now)
	switch {
	case s.down:
		return Dropped
	case s.paused && len(s.backlog) >= s.cfg.Backlog:
		return Dropped
	case s.paused:
		s.backlog = append(s.backlog, r)
		return Queued
	case s.capacity.overloadedCold(&s.cfg, s.now):
		s.stop()
		return Crashed
	case s.InFlight() >= s.cfg.MaxRequests:
		return Rejected
	}
	s.processor.start(r)
	return Accepted
}

// InFlight returns how many requests the server works on.
func (s *Server) InFlight() int { return len(s.processor.running) }

// advance updates the model to now, with no event until then.
func (s *Server) advance(now time.Duration) {
	for s.now < now {
		next := now
		if s.rateVaries() {
			next = min(next, s.now+rateStep)
		}
		elapsed := (next - s.now).Seconds()
		s.reporter.workDone += s.processor.advance(s.requestRate(), elapsed)
		s.advanceLag(elapsed)
		s.advanceLeak(elapsed)
		s.now = next
	}
}

// rateVaries reports whether the service rate changes without an event.
func (s *Server) rateVaries() bool { return s.capacity.varies(&s.cfg, s.now) }

// coreSpeed returns the present speed of one core.
func (s *Server) coreSpeed() float64 { return s.capacity.coreSpeed(&s.cfg, s.now) }

// totalSpeed returns the present speed of all cores together.
func (s *Server) totalSpeed() float64 { return s.coreSpeed() * s.cfg.Cores }

// connectionLoad returns the cores used by standing connections and their groups.
func (s *Server) connectionLoad() float64 { return s.connections.totalLoad(s.cfg.GroupLoad) }

// requestRate returns the service that each request in flight gets per second: an equal share of the capacity that
// connections don't use, at most one core. An overloaded server still makes some progress.
func (s *Server) requestRate() float64 {
	const minShareDivisor = 20 // requests get at least a twentieth of the capacity
	if s.paused || s.down || s.InFlight() == 0 {
		return 0
	}
	core := s.coreSpeed()
	total := core * s.cfg.Cores
	available := max(total/minShareDivisor, total-s.connectionLoad())
	return min(core, available/float64(s.InFlight()))
}

// advanceLag updates the lag. It grows while connections need more than the capacity, because messages arrive whether or
// not earlier ones have been handled, and while the process is paused.
func (s *Server) advanceLag(elapsed float64) {
	total := s.totalSpeed()
	if s.paused || total <= 0 {
		s.lag += elapsed
		return
	}
	s.lag = min(maxLag, max(0, s.lag+(s.connectionLoad()/total-1)*elapsed))
}

// advanceLeak accumulates leaked memory, and crashes the server at LeakLimit.
func (s *Server) advanceLeak(elapsed float64) {
	if s.cfg.LeakLimit <= 0 || s.down {
		return
	}
	s.leaked += elapsed * float64(len(s.connections.byID))
	if s.leaked >= s.cfg.LeakLimit {
		s.stop()
	}
}
