package membership

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// sim is a fleet on a virtual clock with a network that loses, delays, doubles, reorders and cuts.
type sim struct {
	now      time.Duration
	events   events
	seq      uint64
	rng      *rand.Rand
	set      Settings
	nodes    []*node
	loss     float64
	double   float64
	least    time.Duration // under way
	most     time.Duration
	cut      func(from, to int) bool
	longest  int                      // datagram
	onDeath  func(at, of int)         // somebody is newly held dead
	wasState [][]State                // by holder, to see changes; nil: nobody looks
	clockOf  func(i int) uint64       // a process's start; nil: the true time
	handed   func(i int) uint64       // an incarnation handed over; nil: none
	spoil    func(data []byte) []byte // of what arrives; nil: nothing
}

type node struct {
	m      *Memberlist
	life   int
	up     bool
	paused bool
	inbox  []arrival
}

type arrival struct {
	from int
	data []byte
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const epoch = 1_700_000_000 * time.Second

func newSim(n int, seed uint64, set Settings) *sim {
	s := &sim{now: epoch, rng: rand.New(rand.NewPCG(seed, 9)), set: set, least: 100 * time.Microsecond, most: 2 * time.Millisecond}
	for range n {
		s.nodes = append(s.nodes, &node{})
	}
	return s
}

func (s *sim) in(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

func (s *sim) startAll() {
	for i := range s.nodes {
		s.start(i)
	}
}

func (s *sim) start(i int) {
	nd := s.nodes[i]
	nd.life++
	nd.up, nd.paused, nd.inbox = true, false, nil
	start := uint64(s.now / time.Millisecond)
	if s.clockOf != nil {
		start = s.clockOf(i)
	}
	self := LocalNode{Index: i, Name: "n", StartMillis: start}
	if s.handed != nil {
		self.PreviousIncarnation = s.handed(i)
	}
	nd.m = New(s.now, s.rng.Uint64(), s.set, self, len(s.nodes))
	s.tick(i, nd.life)
}

func (s *sim) tick(i, life int) {
	nd := s.nodes[i]
	s.in(max(0, nd.m.NextTick()-s.now), func() {
		if nd.life != life || !nd.up {
			return
		}
		if nd.paused {
			return // wake goes on
		}
		s.send(i, nd.m.Tick(s.now))
		s.look(i)
		s.tick(i, life)
	})
}

func (s *sim) kill(i int) { s.nodes[i].up = false; s.nodes[i].life++ }

func (s *sim) pause(i int, d time.Duration) {
	nd := s.nodes[i]
	if !nd.up || nd.paused {
		return
	}
	nd.paused = true
	life := nd.life
	s.in(d, func() {
		if nd.life != life {
			return
		}
		nd.paused = false
		for _, a := range nd.inbox {
			s.send(i, nd.m.HandlePacket(s.now, a.from, a.data))
		}
		nd.inbox = nil
		s.look(i)
		s.tick(i, life)
	})
}

func (s *sim) send(from int, out []Packet) {
	for _, o := range out {
		s.longest = max(s.longest, len(o.Data))
		if s.cut != nil && s.cut(from, o.To) {
			continue
		}
		copies := 1
		if s.double > 0 && s.rng.Float64() < s.double {
			copies = 2
		}
		for range copies {
			if s.loss > 0 && s.rng.Float64() < s.loss {
				continue
			}
			d := s.least + time.Duration(s.rng.Int64N(int64(s.most-s.least)+1))
			s.in(d, func() { s.arrive(from, o.To, o.Data) })
		}
	}
}

func (s *sim) arrive(from, to int, data []byte) {
	nd := s.nodes[to]
	if !nd.up {
		return
	}
	if s.spoil != nil {
		data = s.spoil(data)
	}
	if nd.paused {
		if len(nd.inbox) < 400 {
			nd.inbox = append(nd.inbox, arrival{from, data})
		}
		return
	}
	s.send(to, nd.m.HandlePacket(s.now, from, data))
	s.look(to)
}

// look tells of members that a holder newly holds dead.
func (s *sim) look(i int) {
	if s.onDeath == nil {
		return
	}
	if s.wasState == nil {
		s.wasState = make([][]State, len(s.nodes))
	}
	if s.wasState[i] == nil {
		s.wasState[i] = make([]State, len(s.nodes))
	}
	for j, was := range s.wasState[i] {
		if st := s.nodes[i].m.members.records[j].state; st != was {
			s.wasState[i][j] = st
			if st == Dead {
				s.onDeath(i, j)
			}
		}
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// until runs in steps until something holds; it returns how long that took, or false after the limit.
func (s *sim) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	began := s.now
	for s.now-began < limit {
		if ok() {
			return s.now - began, true
		}
		s.run(50 * time.Millisecond)
	}
	return limit, ok()
}

// hold counts the holders that hold one in a state, of those that run.
func (s *sim) hold(of int, st State) (n, holders int) {
	for i, nd := range s.nodes {
		if nd.up && i != of {
			holders++
			if nd.m.State(of) == st {
				n++
			}
		}
	}
	return n, holders
}

// oneView says whether all that run hold all that run alive.
func (s *sim) oneView() bool {
	for _, nd := range s.nodes {
		if !nd.up {
			continue
		}
		for j := range nd.m.members.records {
			if s.nodes[j].up && nd.m.members.records[j].state != Alive {
				return false
			}
		}
	}
	return true
}
