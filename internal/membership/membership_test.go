package membership

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// harsh is a network that loses a fifth, takes up to half a second, doubles and so reorders.
func harsh(s *sim) {
	s.loss, s.double, s.least, s.most = 0.2, 0.05, time.Millisecond, 500*time.Millisecond
}

// plain is SWIM without Lifeguard's extensions and without a judge's own try.
func plain() Settings {
	set := DefaultSettings("f")
	set.plainSWIM = true
	return set
}

// long is how long and how often the runs on accuracy go; MEMBERSHIP_SEEDS asks for more.
func long() (seeds int, each time.Duration) {
	if n, err := strconv.Atoi(os.Getenv("MEMBERSHIP_SEEDS")); err == nil && n > 0 {
		return n, time.Hour
	}
	return 4, 5 * time.Minute
}

func TestAKilledRelayIsFoundOut(t *testing.T) {
	for _, n := range []int{2, 12, 80} {
		for seed := range uint64(5) {
			s := newSim(n, seed+1, DefaultSettings("f"))
			s.startAll()
			if d, ok := s.until(5*time.Second, s.oneView); !ok {
				t.Fatalf("%d relays, seed %d: no one view after %v", n, seed, d)
			}
			s.run(time.Duration(seed) * 1370 * time.Millisecond)
			s.kill(1)
			if _, ok := s.until(4*time.Second, func() bool { k, h := s.hold(1, Dead); return float64(k) >= 0.99*float64(h) }); !ok {
				k, h := s.hold(1, Dead)
				t.Errorf("%d relays, seed %d: after 4 s %d of %d know", n, seed, k, h)
			}
			if _, ok := s.until(2*time.Second, func() bool { k, h := s.hold(1, Dead); return k == h }); !ok {
				t.Errorf("%d relays, seed %d: not all know after 6 s", n, seed)
			}
		}
	}
}

// No live, reachable relay that was not stopped is held dead by anyone, however bad the network; without the extensions
// the same runs hold many dead.
func TestNobodyAliveIsHeldDead(t *testing.T) {
	seeds, each := long()
	false_ := map[bool]int{}
	for _, without := range []bool{false, true} {
		set := DefaultSettings("f")
		set.plainSWIM = without
		for seed := range uint64(seeds) {
			s := newSim(12, seed+1, set)
			harsh(s)
			s.onDeath = func(at, of int) {
				false_[without]++
				if !without && false_[without] < 5 {
					t.Errorf("seed %d: %d holds %d dead at %v", seed, at, of, s.now-epoch)
				}
			}
			s.startAll()
			s.run(each)
		}
	}
	t.Logf("%d runs of %v: %d false deaths, %d without the extensions", seeds, each, false_[false], false_[true])
	if false_[true] == 0 {
		t.Error("the case is not hard: without the extensions nobody is held dead either")
	}
}

// Relays that stop for a while by turns condemn nobody who did not, and are back soon after they go on.
func TestPausesCondemnNobody(t *testing.T) {
	seeds, each := long()
	for _, without := range []bool{false, true} {
		set := DefaultSettings("f")
		set.plainSWIM = without
		wrong, late, worst := 0, 0, time.Duration(0)
		for seed := range uint64(seeds) {
			s := newSim(20, seed+1, set)
			paused := map[int]bool{}
			s.onDeath = func(at, of int) {
				if !paused[of] {
					wrong++
				}
			}
			s.startAll()
			s.run(5 * time.Second)
			for end := s.now + each; s.now < end; {
				i := 18 + s.rng.IntN(2) // the tenth that pauses
				paused[i] = true
				d := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(4800*time.Millisecond)))
				s.pause(i, d)
				s.run(d)
				back, ok := s.until(2*time.Second, func() bool { n, h := s.hold(i, Alive); return n == h })
				if worst = max(worst, back); !ok {
					late++
				}
				s.run(time.Second)
			}
		}
		t.Logf("without the extensions: %v; %d who never stopped held dead, %d not back in 2 s, longest %v", without, wrong, late, worst)
		if !without && (wrong > 0 || late > 0) {
			t.Errorf("%d held dead who never stopped, %d back late", wrong, late)
		}
	}
}

func TestLongStopsAndReturns(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 8 * time.Second, 60 * time.Second} {
		s := newSim(30, uint64(d), DefaultSettings("f"))
		s.startAll()
		s.run(5 * time.Second)
		condemned := 0
		s.onDeath = func(at, of int) {
			if of != 4 {
				condemned++
			}
		}
		s.pause(4, d)
		s.run(d - time.Millisecond)
		if n, h := s.hold(4, Dead); d > 7*time.Second && n != h {
			t.Errorf("stopped for %v: %d of %d hold it dead", d, n, h)
		}
		back, ok := s.until(2*time.Second+time.Millisecond, s.oneView)
		if !ok {
			n, h := s.hold(4, Alive)
			t.Errorf("stopped for %v: not one view %v after; %d of %d hold it alive", d, back, n, h)
		}
		if condemned > 0 {
			t.Errorf("stopped for %v: %d others held dead", d, condemned)
		}
	}
}

// Whoever can be reached by a judge is not held dead by it, whatever others say; cuts heal into one view.
func TestCuts(t *testing.T) {
	half := func(i int) bool { return i < 15 }
	for _, tc := range []struct {
		name  string
		cut   func(a, b int) bool
		check func(t *testing.T, s *sim)
	}{
		{"two halves", func(a, b int) bool { return half(a) != half(b) }, func(t *testing.T, s *sim) {
			if n := s.nodes[3].m.ActiveCount(); n != 30 {
				t.Errorf("half of the fleet takes the room of 30 for that of %d", n)
			}
			if s.nodes[3].m.State(20) != Dead || s.nodes[3].m.State(7) != Alive {
				t.Error("the other half is not missed")
			}
		}},
		{"nobody hears one", func(a, b int) bool { return a == 4 }, func(t *testing.T, s *sim) {
			if n, h := s.hold(4, Dead); n != h {
				t.Errorf("%d of %d miss who is heard by nobody", n, h)
			}
		}},
		{"one hears nobody", func(a, b int) bool { return b == 4 }, func(t *testing.T, s *sim) {
			if n := s.nodes[4].m.ActiveCount(); n != 30 {
				t.Errorf("who hears nobody shares with %d", n)
			}
			for i := range s.nodes {
				if i != 4 && s.nodes[0].m.State(i) != Alive {
					t.Errorf("relay %d is held %v on the word of one that hears nobody", i, s.nodes[0].m.State(i))
				}
			}
		}},
		{"a third hears one", func(a, b int) bool { return a == 4 && b >= 10 }, nil},
		{"a chain", func(a, b int) bool { return a%3 == 0 && b%3 == 2 || a%3 == 2 && b%3 == 0 }, func(t *testing.T, s *sim) {
			for i := range s.nodes {
				if n, h := s.hold(i, Alive); i%3 == 1 && n != h {
					t.Errorf("who is heard by all is held alive by %d of %d", n, h)
				}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(30, 5, DefaultSettings("f"))
			s.startAll()
			s.run(6 * time.Second)
			s.onDeath = func(at, of int) {
				if !s.cut(at, of) && !s.cut(of, at) {
					t.Errorf("%d holds %d dead, who it reaches and hears", at, of)
				}
			}
			s.cut = tc.cut
			s.run(30 * time.Second)
			if tc.check != nil {
				tc.check(t, s)
			}
			s.cut = nil
			s.onDeath = nil
			if d, ok := s.until(10*time.Second, s.oneView); !ok {
				t.Errorf("no one view %v after the cut", d)
			}
			s.run(5 * time.Second)
			if !s.oneView() {
				t.Error("the view does not last")
			}
		})
	}
}

func TestStartsUnderAnOldName(t *testing.T) {
	for _, tc := range []struct {
		name  string
		clock func(s *sim) uint64
		after time.Duration
	}{
		{"at once", func(s *sim) uint64 { return uint64(s.now / time.Millisecond) }, 100 * time.Millisecond},
		{"after it was found out", func(s *sim) uint64 { return uint64(s.now / time.Millisecond) }, 10 * time.Second},
		{"its clock set back a day", func(s *sim) uint64 { return uint64(s.now/time.Millisecond) - 86_400_000 }, 300 * time.Millisecond},
		{"its clock and all else lost", func(s *sim) uint64 { return 1 }, 8 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(20, 11, DefaultSettings("f"))
			s.startAll()
			s.run(6 * time.Second)
			s.kill(2)
			s.run(tc.after)
			s.clockOf = func(int) uint64 { return tc.clock(s) }
			s.start(2)
			if d, ok := s.until(6*time.Second, s.oneView); !ok {
				n, h := s.hold(2, Alive)
				t.Errorf("%d of %d hold it alive after %v", n, h, d)
			}
			s.run(20 * time.Second)
			if !s.oneView() {
				t.Error("the view does not last")
			}
		})
	}
}

// A relay that leaves is no death; its next process goes on from the incarnation that it is handed.
func TestLeavingAndUpgrading(t *testing.T) {
	s := newSim(20, 3, DefaultSettings("f"))
	s.startAll()
	s.run(6 * time.Second)
	deaths := 0
	s.onDeath = func(int, int) { deaths++ }
	s.send(7, s.nodes[7].m.Leave(s.now))
	handed := s.nodes[7].m.Incarnation()
	s.run(300 * time.Millisecond)
	s.kill(7)
	s.run(3 * time.Second)
	if n, h := s.hold(7, Left); n != h || s.nodes[0].m.ActiveCount() != 19 {
		t.Errorf("%d of %d know that it left; %d share the room", n, h, s.nodes[0].m.ActiveCount())
	}
	s.clockOf = func(int) uint64 { return 5 }
	s.handed = func(int) uint64 { return handed }
	s.start(7)
	if _, ok := s.until(3*time.Second, s.oneView); !ok {
		t.Error("its next process is not taken for alive")
	}
	if deaths > 0 {
		t.Errorf("%d deaths in an upgrade", deaths)
	}
}

func TestHalfOfTheFleetDies(t *testing.T) {
	s := newSim(40, 3, DefaultSettings("f"))
	s.startAll()
	s.run(6 * time.Second)
	for i := range 20 {
		s.kill(i)
	}
	if d, ok := s.until(20*time.Second, func() bool {
		for i := range 20 {
			if n, h := s.hold(i, Dead); n != h {
				return false
			}
		}
		return true
	}); !ok {
		t.Errorf("not all are found out after %v", d)
	} else {
		t.Logf("found out after %v", d)
	}
	for i := 20; i < 40; i++ {
		if n, h := s.hold(i, Alive); n != h {
			t.Errorf("%d, who lives, is held alive by %d of %d", i, n, h)
		}
	}
}

func TestOneAndNeverStarted(t *testing.T) {
	one := newSim(1, 1, DefaultSettings("f"))
	one.startAll()
	one.run(time.Minute)
	if one.nodes[0].m.ActiveCount() != 1 || one.nodes[0].m.stats.PacketsSent > 0 {
		t.Errorf("a fleet of one: %d here, %d sent", one.nodes[0].m.ActiveCount(), one.nodes[0].m.stats.PacketsSent)
	}
	s := newSim(10, 1, DefaultSettings("f"))
	for i := range 7 {
		s.start(i)
	}
	s.run(20 * time.Second)
	for i := range 7 {
		m := s.nodes[i].m
		if n := m.ActiveCount(); n != 7 || m.State(9) == Alive || m.IsActive(8) {
			t.Errorf("relay %d: %d here, the one never started is %v", i, n, m.State(9))
		}
	}
}

func TestTwoProcessesOfOneName(t *testing.T) {
	s := newSim(6, 1, DefaultSettings("f"))
	s.startAll()
	s.run(5 * time.Second)
	twin := New(s.now, 77, s.set, LocalNode{Index: 2, Name: "n", StartMillis: uint64(s.now/time.Millisecond) + 5}, 6)
	for range 60 { // it speaks from the same address, and hears nothing
		s.run(100 * time.Millisecond)
		for _, o := range twin.Tick(s.now) {
			s.arrive(2, o.To, o.Data)
		}
	}
	told := 0
	for i, nd := range s.nodes {
		if i != 2 && nd.m.Members(s.now)[2].DuplicateName {
			told++
		}
		if i != 2 && !nd.m.IsActive(2) {
			t.Errorf("relay %d takes it for gone", i)
		}
	}
	if told < 4 {
		t.Errorf("%d of 5 tell of it", told)
	}
}

// What is foreign, torn, replayed or absurd changes nothing and is counted.
func TestHostileDatagrams(t *testing.T) {
	s := newSim(8, 1, DefaultSettings("f"))
	var kept [][]byte
	s.spoil = func(d []byte) []byte {
		if len(kept) < 3000 {
			kept = append(kept, d)
		}
		return d
	}
	s.startAll()
	s.run(8 * time.Second)
	s.spoil = nil
	m := s.nodes[0].m
	lie := func(kind messageKind, inc uint64, e ...memberUpdate) []byte {
		d, _ := (&message{fleet: "f", name: "n", startMillis: 1, incarnation: inc, kind: kind, sequence: 1, updates: e}).encode()
		return d
	}
	before := m.stats
	good := lie(kindGossip, m.members.records[3].incarnation, memberUpdate{2, Alive, m.members.records[2].incarnation})
	for n := range len(good) {
		m.HandlePacket(s.now, 3, good[:n])
	}
	foreign, _ := (&message{fleet: "g", name: "n", incarnation: 9, kind: kindPing}).encode()
	m.HandlePacket(s.now, 3, foreign)
	m.HandlePacket(s.now, -1, good)
	m.HandlePacket(s.now, 8, good)
	m.HandlePacket(s.now, 0, good)
	m.HandlePacket(s.now, 3, lie(kindGossip, m.members.records[3].incarnation, memberUpdate{2, Dead, 1 << 62}))
	m.HandlePacket(s.now, 3, lie(kindGossip, 1<<63))
	if m.stats.ForeignPackets != before.ForeignPackets+1 || m.stats.MalformedPackets < before.MalformedPackets+uint64(len(good)) || m.stats.RejectedIncarnations != before.RejectedIncarnations+2 {
		t.Errorf("%+v", m.stats)
	}
	own := m.Incarnation()
	m.HandlePacket(s.now, 3, lie(kindGossip, m.members.records[3].incarnation, memberUpdate{0, Dead, 1 << 62}))
	if m.Incarnation() != own {
		t.Error("an absurd claim of itself is answered")
	}
	for range 3 { // all that was ever said once more
		for k, d := range kept {
			s.send(k%8, s.nodes[k%8].m.HandlePacket(s.now, (k+1)%8, d))
		}
		s.run(3 * time.Second)
	}
	if _, ok := s.until(5*time.Second, s.oneView); !ok {
		t.Error("old datagrams spoil the view")
	}
	// One that says everybody is dead, again and again, kills nobody who can be reached.
	s.onDeath = func(at, of int) { t.Errorf("%d holds %d dead by a liar's word", at, of) }
	for range 50 {
		for i := range s.nodes {
			for j := range s.nodes {
				if i != 3 && i != j && j != 3 {
					s.send(i, s.nodes[i].m.HandlePacket(s.now, 3, lie(kindGossip, s.nodes[i].m.members.records[3].incarnation, memberUpdate{j, Dead, s.nodes[i].m.members.records[j].incarnation})))
				}
			}
		}
		s.run(200 * time.Millisecond)
	}
}

func TestSizesAndCost(t *testing.T) {
	s := newSim(80, 1, DefaultSettings("a-fleet-with-a-name-of-32-bytes.."[:maxNameLength]))
	s.startAll()
	s.run(10 * time.Second)
	before := uint64(0)
	for _, nd := range s.nodes {
		before += nd.m.stats.BytesSent
	}
	s.run(20 * time.Second)
	after := uint64(0)
	for _, nd := range s.nodes {
		after += nd.m.stats.BytesSent
		if n := len(nd.m.detector.probes) + len(nd.m.detector.relayed) + len(nd.m.suspicions.active); n > 16 {
			t.Errorf("%d things are waited for at rest", n)
		}
	}
	if each := float64(after-before) / 20 / 80; each > 2048 {
		t.Errorf("%.0f bytes a second and relay at rest", each)
	}
	if s.longest > MaxPacketSize {
		t.Errorf("a datagram of %d bytes", s.longest)
	}
}

func FuzzDecode(f *testing.F) {
	d, _ := (&message{fleet: "f", name: "n", startMillis: 3, incarnation: 4, kind: kindPingReq, sequence: 9, target: 2, health: 3, updates: []memberUpdate{{1, Suspect, 7}, {2, Left, 1 << 40}}}).encode()
	f.Add(d)
	f.Add([]byte{magicByte})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data, 5)
		if err != nil {
			return
		}
		again, n := m.encode()
		back, err := decodeMessage(again, 5)
		if len(again) > MaxPacketSize || err != nil || fmt.Sprint(back.updates) != fmt.Sprint(m.updates[:n]) && n > 0 {
			t.Errorf("%v, %+v, %+v", err, m, back)
		}
		New(0, 1, DefaultSettings("f"), LocalNode{Index: 1, Name: "n"}, 5).HandlePacket(0, 2, data)
	})
}
