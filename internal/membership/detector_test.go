package membership

import (
	"testing"
	"time"
)

// TestDetector_MarksKilledMemberDead checks that a killed member is marked dead by 99% of the others within 4 s, and by all
// within 6 s.
func TestDetector_MarksKilledMemberDead(t *testing.T) {
	for _, n := range []int{2, 12, 80} {
		for seed := range uint64(5) {
			s := newSimulation(n, seed+1, DefaultSettings("f"))
			s.startAll()
			if d, ok := s.runUntil(5*time.Second, s.converged); !ok {
				t.Fatalf("%d relays, seed %d: not converged after %v", n, seed, d)
			}
			s.run(time.Duration(seed) * 1370 * time.Millisecond)
			s.kill(1)
			if _, ok := s.runUntil(4*time.Second, func() bool {
				count, observers := s.countState(1, Dead)
				return float64(count) >= 0.99*float64(observers)
			}); !ok {
				count, observers := s.countState(1, Dead)
				t.Errorf("%d relays, seed %d: marked dead by %d of %d after 4 s", n, seed, count, observers)
			}
			if _, ok := s.runUntil(2*time.Second, func() bool { count, observers := s.countState(1, Dead); return count == observers }); !ok {
				t.Errorf("%d relays, seed %d: not marked dead by all after 6 s", n, seed)
			}
		}
	}
}

func TestDetector_MarksHalfOfFleetDead(t *testing.T) {
	s := newSimulation(40, 3, DefaultSettings("f"))
	s.startAll()
	s.run(6 * time.Second)
	for i := range 20 {
		s.kill(i)
	}
	if d, ok := s.runUntil(20*time.Second, func() bool {
		for i := range 20 {
			if count, observers := s.countState(i, Dead); count != observers {
				return false
			}
		}
		return true
	}); !ok {
		t.Errorf("not all killed members are marked dead by all after %v", d)
	} else {
		t.Logf("all marked dead after %v", d)
	}
	for i := 20; i < 40; i++ {
		if count, observers := s.countState(i, Alive); count != observers {
			t.Errorf("running member %d is alive in the view of %d of %d", i, count, observers)
		}
	}
}

// TestDetector_Partitions checks that no member marks another dead that it can reach, whatever others report, and that views
// converge once a partition has healed.
func TestDetector_Partitions(t *testing.T) {
	firstHalf := func(i int) bool { return i < 15 }
	for _, tc := range []struct {
		name  string
		cut   func(a, b int) bool
		check func(t *testing.T, s *simulation)
	}{
		{"two halves", func(a, b int) bool { return firstHalf(a) != firstHalf(b) }, func(t *testing.T, s *simulation) {
			if n := s.nodes[3].list.ActiveCount(); n != 30 {
				t.Errorf("member 3 counts %d active, want 30", n)
			}
			if s.nodes[3].list.State(20) != Dead || s.nodes[3].list.State(7) != Alive {
				t.Errorf("in the view of member 3, member 20 is %v, want dead; member 7 is %v, want alive",
					s.nodes[3].list.State(20), s.nodes[3].list.State(7))
			}
		}},
		{"outbound link of one member down", func(a, b int) bool { return a == 4 }, func(t *testing.T, s *simulation) {
			if count, observers := s.countState(4, Dead); count != observers {
				t.Errorf("the member that cannot send is marked dead by %d of %d", count, observers)
			}
		}},
		{"inbound link of one member down", func(a, b int) bool { return b == 4 }, func(t *testing.T, s *simulation) {
			if n := s.nodes[4].list.ActiveCount(); n != 30 {
				t.Errorf("the member that receives nothing counts %d active, want 30", n)
			}
			for i := range s.nodes {
				if i != 4 && s.nodes[0].list.State(i) != Alive {
					t.Errorf("member %d is %v on the report of one that receives nothing", i, s.nodes[0].list.State(i))
				}
			}
		}},
		{"one member reaches a third", func(a, b int) bool { return a == 4 && b >= 10 }, nil},
		{"three groups in a chain", func(a, b int) bool { return a%3 == 0 && b%3 == 2 || a%3 == 2 && b%3 == 0 }, func(t *testing.T, s *simulation) {
			for i := range s.nodes {
				if count, observers := s.countState(i, Alive); i%3 == 1 && count != observers {
					t.Errorf("member %d, which all reach, is alive in the view of %d of %d", i, count, observers)
				}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSimulation(30, 5, DefaultSettings("f"))
			s.startAll()
			s.run(6 * time.Second)
			s.onDeath = func(observer, member int) {
				if !s.dropped(observer, member) && !s.dropped(member, observer) {
					t.Errorf("%d marks %d dead although both reach each other", observer, member)
				}
			}
			s.dropped = tc.cut
			s.run(30 * time.Second)
			if tc.check != nil {
				tc.check(t, s)
			}
			s.dropped = nil
			s.onDeath = nil
			if d, ok := s.runUntil(10*time.Second, s.converged); !ok {
				t.Errorf("not converged %v after the partition", d)
			}
			s.run(5 * time.Second)
			if !s.converged() {
				t.Error("no longer converged 5 s later")
			}
		})
	}
}
