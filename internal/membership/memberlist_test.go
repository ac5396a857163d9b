package membership

import (
	"testing"
	"time"
)

func TestMemberlist_RestartsUnderSameName(t *testing.T) {
	for _, tc := range []struct {
		name  string
		clock func(s *simulation) uint64
		after time.Duration
	}{
		{"at once", func(s *simulation) uint64 { return uint64(s.now / time.Millisecond) }, 100 * time.Millisecond},
		{"after it was marked dead", func(s *simulation) uint64 { return uint64(s.now / time.Millisecond) }, 10 * time.Second},
		{"clock set back a day", func(s *simulation) uint64 { return uint64(s.now/time.Millisecond) - 86_400_000 }, 300 * time.Millisecond},
		{"clock and state lost", func(s *simulation) uint64 { return 1 }, 8 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSimulation(20, 11, DefaultSettings("f"))
			s.startAll()
			s.run(6 * time.Second)
			s.kill(2)
			s.run(tc.after)
			s.startMillisOf = func(int) uint64 { return tc.clock(s) }
			s.start(2)
			if d, ok := s.runUntil(6*time.Second, s.converged); !ok {
				n, h := s.countState(2, Alive)
				t.Errorf("alive to %d of %d after %v", n, h, d)
			}
			s.run(20 * time.Second)
			if !s.converged() {
				t.Error("the converged view does not last")
			}
		})
	}
}

// TestMemberlist_LeavesAndUpgrades checks that a leave is not a death, and that the next process continues from the
// incarnation that it is handed.
func TestMemberlist_LeavesAndUpgrades(t *testing.T) {
	s := newSimulation(20, 3, DefaultSettings("f"))
	s.startAll()
	s.run(6 * time.Second)
	deaths := 0
	s.onDeath = func(int, int) { deaths++ }
	s.send(7, s.nodes[7].list.Leave(s.now))
	handed := s.nodes[7].list.Incarnation()
	s.run(300 * time.Millisecond)
	s.kill(7)
	s.run(3 * time.Second)
	if n, h := s.countState(7, Left); n != h || s.nodes[0].list.ActiveCount() != 19 {
		t.Errorf("left to %d of %d; %d active, want 19", n, h, s.nodes[0].list.ActiveCount())
	}
	s.startMillisOf = func(int) uint64 { return 5 }
	s.previousIncarnationOf = func(int) uint64 { return handed }
	s.start(7)
	if _, ok := s.runUntil(3*time.Second, s.converged); !ok {
		t.Error("the next process is not alive to all")
	}
	if deaths > 0 {
		t.Errorf("%d marked dead during an upgrade", deaths)
	}
}

func TestMemberlist_SingleAndNeverStartedMembers(t *testing.T) {
	one := newSimulation(1, 1, DefaultSettings("f"))
	one.startAll()
	one.run(time.Minute)
	if one.nodes[0].list.ActiveCount() != 1 || one.nodes[0].list.stats.PacketsSent > 0 {
		t.Errorf("a fleet of one: %d active, %d packets sent", one.nodes[0].list.ActiveCount(), one.nodes[0].list.stats.PacketsSent)
	}
	s := newSimulation(10, 1, DefaultSettings("f"))
	for i := range 7 {
		s.start(i)
	}
	s.run(20 * time.Second)
	for i := range 7 {
		m := s.nodes[i].list
		if n := m.ActiveCount(); n != 7 || m.State(9) == Alive || m.IsActive(8) {
			t.Errorf("relay %d: %d active, the member never started is %v", i, n, m.State(9))
		}
	}
}

func TestMemberlist_ReportsDuplicateName(t *testing.T) {
	s := newSimulation(6, 1, DefaultSettings("f"))
	s.startAll()
	s.run(5 * time.Second)
	duplicate := New(s.now, 77, s.settings, LocalNode{Index: 2, Name: "n", StartMillis: uint64(s.now/time.Millisecond) + 5}, 6)
	for range 60 { // it sends from the same address and receives nothing
		s.run(100 * time.Millisecond)
		for _, o := range duplicate.Tick(s.now) {
			s.deliver(2, o.To, o.Data)
		}
	}
	reports := 0
	for i, node := range s.nodes {
		if i != 2 && node.list.Members(s.now)[2].DuplicateName {
			reports++
		}
		if i != 2 && !node.list.IsActive(2) {
			t.Errorf("the duplicate is not active to relay %d", i)
		}
	}
	if reports < 4 {
		t.Errorf("%d of 5 report the duplicate", reports)
	}
}

// TestMemberlist_IgnoresHostilePackets checks that foreign, truncated, replayed and implausible datagrams change nothing
// and are counted.
func TestMemberlist_IgnoresHostilePackets(t *testing.T) {
	s := newSimulation(8, 1, DefaultSettings("f"))
	var captured [][]byte
	s.intercept = func(d []byte) []byte {
		if len(captured) < 3000 {
			captured = append(captured, d)
		}
		return d
	}
	s.startAll()
	s.run(8 * time.Second)
	s.intercept = nil
	m := s.nodes[0].list
	forge := func(kind messageKind, inc uint64, e ...memberUpdate) []byte {
		d, _ := (&message{fleet: "f", name: "n", startMillis: 1, incarnation: inc, kind: kind, sequence: 1, updates: e}).encode()
		return d
	}
	before := m.stats
	good := forge(kindGossip, m.members.records[3].incarnation, memberUpdate{2, Alive, m.members.records[2].incarnation})
	for n := range len(good) {
		m.HandlePacket(s.now, 3, good[:n])
	}
	foreign, _ := (&message{fleet: "g", name: "n", incarnation: 9, kind: kindPing}).encode()
	m.HandlePacket(s.now, 3, foreign)
	m.HandlePacket(s.now, -1, good)
	m.HandlePacket(s.now, 8, good)
	m.HandlePacket(s.now, 0, good)
	m.HandlePacket(s.now, 3, forge(kindGossip, m.members.records[3].incarnation, memberUpdate{2, Dead, 1 << 62}))
	m.HandlePacket(s.now, 3, forge(kindGossip, 1<<63))
	if m.stats.ForeignPackets != before.ForeignPackets+1 || m.stats.MalformedPackets < before.MalformedPackets+uint64(len(good)) || m.stats.RejectedIncarnations != before.RejectedIncarnations+2 {
		t.Errorf("%+v", m.stats)
	}
	own := m.Incarnation()
	m.HandlePacket(s.now, 3, forge(kindGossip, m.members.records[3].incarnation, memberUpdate{0, Dead, 1 << 62}))
	if m.Incarnation() != own {
		t.Error("an implausible report about the relay itself is refuted")
	}
	for range 3 { // replays what was sent so far
		for k, d := range captured {
			s.send(k%8, s.nodes[k%8].list.HandlePacket(s.now, (k+1)%8, d))
		}
		s.run(3 * time.Second)
	}
	if _, ok := s.runUntil(5*time.Second, s.converged); !ok {
		t.Error("replayed datagrams keep the view from converging")
	}
	// A member that reports everybody dead, again and again, causes no death of a reachable member.
	s.onDeath = func(at, of int) { t.Errorf("%d marks %d dead on false reports", at, of) }
	for range 50 {
		for i := range s.nodes {
			for j := range s.nodes {
				if i != 3 && i != j && j != 3 {
					s.send(i, s.nodes[i].list.HandlePacket(s.now, 3, forge(kindGossip, s.nodes[i].list.members.records[3].incarnation, memberUpdate{j, Dead, s.nodes[i].list.members.records[j].incarnation})))
				}
			}
		}
		s.run(200 * time.Millisecond)
	}
}
