package membership

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation runs a fleet on a virtual clock, over a network that can lose, delay, duplicate and reorder datagrams, and that
// can be partitioned.
type simulation struct {
	now                   time.Duration
	events                eventQueue
	seq                   uint64
	rng                   *rand.Rand
	settings              Settings
	nodes                 []*simNode
	lossRate              float64
	duplicateRate         float64
	minDelay              time.Duration // of a datagram
	maxDelay              time.Duration
	dropped               func(from, to int) bool    // reports whether the network drops a datagram; nil: none
	largestPacket         int                        // bytes
	onDeath               func(observer, member int) // called when the observer marks the member dead
	lastStates            [][]State                  // by observer and member, as of the last call of reportDeaths
	startMillisOf         func(i int) uint64         // start of a process, Unix time in milliseconds; nil: the virtual time
	previousIncarnationOf func(i int) uint64         // incarnation handed over by the predecessor; nil: none
	intercept             func(data []byte) []byte   // replaces a datagram on arrival; nil: datagrams arrive unchanged
}

type simNode struct {
	list       *Memberlist
	generation int
	up         bool
	paused     bool
	inbox      []delivery
}

type delivery struct {
	from int
	data []byte
}

type simEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []simEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const simStart = 1_700_000_000 * time.Second

func newSimulation(members int, seed uint64, settings Settings) *simulation {
	s := &simulation{now: simStart, rng: rand.New(rand.NewPCG(seed, 9)), settings: settings, minDelay: 100 * time.Microsecond, maxDelay: 2 * time.Millisecond}
	for range members {
		s.nodes = append(s.nodes, &simNode{})
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *simulation) startAll() {
	for i := range s.nodes {
		s.start(i)
	}
}

func (s *simulation) start(i int) {
	node := s.nodes[i]
	node.generation++
	node.up, node.paused, node.inbox = true, false, nil
	start := uint64(s.now / time.Millisecond)
	if s.startMillisOf != nil {
		start = s.startMillisOf(i)
	}
	self := LocalNode{Index: i, Name: "n", StartMillis: start}
	if s.previousIncarnationOf != nil {
		self.PreviousIncarnation = s.previousIncarnationOf(i)
	}
	node.list = New(s.now, s.rng.Uint64(), s.settings, self, len(s.nodes))
	s.scheduleTick(i, node.generation)
}

func (s *simulation) scheduleTick(i, generation int) {
	node := s.nodes[i]
	s.after(max(0, node.list.NextTick()-s.now), func() {
		if node.generation != generation || !node.up {
			return
		}
		if node.paused {
			return // pause schedules the next tick at its end
		}
		s.send(i, node.list.Tick(s.now))
		s.reportDeaths(i)
		s.scheduleTick(i, generation)
	})
}

func (s *simulation) kill(i int) { s.nodes[i].up = false; s.nodes[i].generation++ }

func (s *simulation) pause(i int, d time.Duration) {
	node := s.nodes[i]
	if !node.up || node.paused {
		return
	}
	node.paused = true
	generation := node.generation
	s.after(d, func() {
		if node.generation != generation {
			return
		}
		node.paused = false
		for _, datagram := range node.inbox {
			s.send(i, node.list.HandlePacket(s.now, datagram.from, datagram.data))
		}
		node.inbox = nil
		s.reportDeaths(i)
		s.scheduleTick(i, generation)
	})
}

func (s *simulation) send(from int, packets []Packet) {
	for _, packet := range packets {
		s.largestPacket = max(s.largestPacket, len(packet.Data))
		if s.dropped != nil && s.dropped(from, packet.To) {
			continue
		}
		copies := 1
		if s.duplicateRate > 0 && s.rng.Float64() < s.duplicateRate {
			copies = 2
		}
		for range copies {
			if s.lossRate > 0 && s.rng.Float64() < s.lossRate {
				continue
			}
			d := s.minDelay + time.Duration(s.rng.Int64N(int64(s.maxDelay-s.minDelay)+1))
			s.after(d, func() { s.deliver(from, packet.To, packet.Data) })
		}
	}
}

func (s *simulation) deliver(from, to int, data []byte) {
	node := s.nodes[to]
	if !node.up {
		return
	}
	if s.intercept != nil {
		data = s.intercept(data)
	}
	if node.paused {
		if len(node.inbox) < 400 {
			node.inbox = append(node.inbox, delivery{from, data})
		}
		return
	}
	s.send(to, node.list.HandlePacket(s.now, from, data))
	s.reportDeaths(to)
}

// reportDeaths calls onDeath for members that an observer has newly marked dead.
func (s *simulation) reportDeaths(i int) {
	if s.onDeath == nil {
		return
	}
	if s.lastStates == nil {
		s.lastStates = make([][]State, len(s.nodes))
	}
	if s.lastStates[i] == nil {
		s.lastStates[i] = make([]State, len(s.nodes))
	}
	for j, lastState := range s.lastStates[i] {
		if state := s.nodes[i].list.members.records[j].state; state != lastState {
			s.lastStates[i][j] = state
			if state == Dead {
				s.onDeath(i, j)
			}
		}
	}
}

func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil runs in steps until a condition holds. It returns the time until then, or the limit, and whether the
// condition holds.
func (s *simulation) runUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	start := s.now
	for s.now-start < limit {
		if ok() {
			return s.now - start, true
		}
		s.run(50 * time.Millisecond)
	}
	return limit, ok()
}

// countState counts the other running members as observers, and those of them in whose view the member has the state.
func (s *simulation) countState(member int, state State) (count, observers int) {
	for i, node := range s.nodes {
		if node.up && i != member {
			observers++
			if node.list.State(member) == state {
				count++
			}
		}
	}
	return count, observers
}

// converged reports whether each running member is alive in the view of each running member.
func (s *simulation) converged() bool {
	for _, node := range s.nodes {
		if !node.up {
			continue
		}
		for j := range node.list.members.records {
			if s.nodes[j].up && node.list.members.records[j].state != Alive {
				return false
			}
		}
	}
	return true
}

// setHarshNetwork makes the network lose a fifth of all datagrams, duplicate a twentieth, and delay them by up to half a
// second, which reorders them.
func setHarshNetwork(s *simulation) {
	s.lossRate, s.duplicateRate, s.minDelay, s.maxDelay = 0.2, 0.05, time.Millisecond, 500*time.Millisecond
}
