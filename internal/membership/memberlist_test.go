package membership

import (
	"testing"
	"time"
)

func TestMemberlist_RestartsUnderSameName(t *testing.T) {
	for _, tc := range []struct {
		name        string
		startMillis func(s *simulation) uint64
		downtime    time.Duration
	}{
		{"at once", func(s *simulation) uint64 { return uint64(s.now / time.Millisecond) }, 100 * time.Millisecond},
		{"after it was marked dead", func(s *simulation) uint64 { return uint64(s.now / time.Millisecond) }, 10 * time.Second},
		{"clock set back by a day", func(s *simulation) uint64 { return uint64(s.now/time.Millisecond) - 86_400_000 }, 300 * time.Millisecond},
		{"clock and state lost", func(s *simulation) uint64 { return 1 }, 8 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSimulation(20, 11, DefaultSettings("f"))
			s.startAll()
			s.run(6 * time.Second)
			s.kill(2)
			s.run(tc.downtime)
			s.startMillisOf = func(int) uint64 { return tc.startMillis(s) }
			s.start(2)
			if d, ok := s.runUntil(6*time.Second, s.converged); !ok {
				count, observers := s.countState(2, Alive)
				t.Errorf("alive in the view of %d of %d after %v", count, observers, d)
			}
			s.run(20 * time.Second)
			if !s.converged() {
				t.Error("no longer converged 20 s later")
			}
		})
	}
}

// TestMemberlist_LeaveAndHotRestart checks that a member that leaves is not marked dead, and that the successor is alive with
// a higher incarnation than the one handed over.
func TestMemberlist_LeaveAndHotRestart(t *testing.T) {
	s := newSimulation(20, 3, DefaultSettings("f"))
	s.startAll()
	s.run(6 * time.Second)
	deaths := 0
	s.onDeath = func(int, int) { deaths++ }
	s.send(7, s.nodes[7].list.Leave(s.now))
	previousIncarnation := s.nodes[7].list.Incarnation()
	s.run(300 * time.Millisecond)
	s.kill(7)
	s.run(3 * time.Second)
	if count, observers := s.countState(7, Left); count != observers || s.nodes[0].list.ActiveCount() != 19 {
		t.Errorf("left in the view of %d of %d; %d active, want 19", count, observers, s.nodes[0].list.ActiveCount())
	}
	s.startMillisOf = func(int) uint64 { return 5 }
	s.previousIncarnationOf = func(int) uint64 { return previousIncarnation }
	s.start(7)
	if _, ok := s.runUntil(3*time.Second, s.converged); !ok {
		t.Error("the successor is not alive in the view of all")
	}
	if deaths > 0 {
		t.Errorf("%d marked dead during a hot restart", deaths)
	}
}

func TestMemberlist_SingleAndNeverStartedMembers(t *testing.T) {
	single := newSimulation(1, 1, DefaultSettings("f"))
	single.startAll()
	single.run(time.Minute)
	if single.nodes[0].list.ActiveCount() != 1 || single.nodes[0].list.stats.PacketsSent > 0 {
		t.Errorf("fleet of one: %d active, %d packets sent", single.nodes[0].list.ActiveCount(), single.nodes[0].list.stats.PacketsSent)
	}
	s := newSimulation(10, 1, DefaultSettings("f"))
	for i := range 7 {
		s.start(i)
	}
	s.run(20 * time.Second)
	for i := range 7 {
		m := s.nodes[i].list
		if n := m.ActiveCount(); n != 7 || m.State(9) == Alive || m.IsActive(8) {
			t.Errorf("relay %d: %d active, want 7; member 9, which never started, is %v", i, n, m.State(9))
		}
	}
}

func TestMemberlist_ReportsDuplicateName(t *testing.T) {
	s := newSimulation(6, 1, DefaultSettings("f"))
	s.startAll()
	s.run(5 * time.Second)
	duplicate := New(s.now, 77, s.settings, LocalNode{Index: 2, Name: "n", StartMillis: uint64(s.now/time.Millisecond) + 5}, 6)
	for range 60 { // the duplicate sends from the same address and receives nothing
		s.run(100 * time.Millisecond)
		for _, packet := range duplicate.Tick(s.now) {
			s.deliver(2, packet.To, packet.Data)
		}
	}
	reports := 0
	for i, node := range s.nodes {
		if i != 2 && node.list.Members(s.now)[2].DuplicateName {
			reports++
		}
		if i != 2 && !node.list.IsActive(2) {
			t.Errorf("the duplicate is not active in the view of relay %d", i)
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
	forge := func(kind messageKind, incarnation uint64, updates ...memberUpdate) []byte {
		data, _ := (&message{fleet: "f", name: "n", startMillis: 1, incarnation: incarnation, kind: kind, sequence: 1, updates: updates}).encode()
		return data
	}
	before := m.stats
	valid := forge(kindGossip, m.members.records[3].incarnation, memberUpdate{2, Alive, m.members.records[2].incarnation})
	for n := range len(valid) {
		m.HandlePacket(s.now, 3, valid[:n])
	}
	foreign, _ := (&message{fleet: "g", name: "n", incarnation: 9, kind: kindPing}).encode()
	m.HandlePacket(s.now, 3, foreign)
	m.HandlePacket(s.now, -1, valid)
	m.HandlePacket(s.now, 8, valid)
	m.HandlePacket(s.now, 0, valid)
	m.HandlePacket(s.now, 3, forge(kindGossip, m.members.records[3].incarnation, memberUpdate{2, Dead, 1 << 62}))
	m.HandlePacket(s.now, 3, forge(kindGossip, 1<<63))
	if m.stats.ForeignPackets != before.ForeignPackets+1 || m.stats.MalformedPackets < before.MalformedPackets+uint64(len(valid)) || m.stats.RejectedIncarnations != before.RejectedIncarnations+2 {
		t.Errorf("%+v", m.stats)
	}
	own := m.Incarnation()
	m.HandlePacket(s.now, 3, forge(kindGossip, m.members.records[3].incarnation, memberUpdate{0, Dead, 1 << 62}))
	if m.Incarnation() != own {
		t.Error("the relay refutes a report about itself with an implausible incarnation")
	}
	for range 3 { // replays the captured datagrams
		for k, data := range captured {
			s.send(k%8, s.nodes[k%8].list.HandlePacket(s.now, (k+1)%8, data))
		}
		s.run(3 * time.Second)
	}
	if _, ok := s.runUntil(5*time.Second, s.converged); !ok {
		t.Error("not converged after replayed datagrams")
	}
	// Member 3 repeatedly reports all others dead: no reachable member is marked dead.
	s.onDeath = func(observer, member int) { t.Errorf("%d marks %d dead on false reports", observer, member) }
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
