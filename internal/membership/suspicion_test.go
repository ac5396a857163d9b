package membership

import (
	"testing"
	"time"
)

// TestSuspicion_NeverEndsInDeathOfReachableMember runs fleets on a network with heavy loss, delay and reordering: no
// reachable member is marked dead by anyone, and plain SWIM on the same networks does so many times.
func TestSuspicion_NeverEndsInDeathOfReachableMember(t *testing.T) {
	seeds, each := accuracyRuns()
	falseDeaths := map[bool]int{}
	for _, plainSWIM := range []bool{false, true} {
		set := DefaultSettings("f")
		set.plainSWIM = plainSWIM
		for seed := range uint64(seeds) {
			s := newSimulation(12, seed+1, set)
			setHarshNetwork(s)
			s.onDeath = func(at, of int) {
				falseDeaths[plainSWIM]++
				if !plainSWIM && falseDeaths[plainSWIM] < 5 {
					t.Errorf("seed %d: %d marks %d dead at %v", seed, at, of, s.now-simStart)
				}
			}
			s.startAll()
			s.run(each)
		}
	}
	t.Logf("%d runs of %v: %d false deaths, %d with plain SWIM", seeds, each, falseDeaths[false], falseDeaths[true])
	if falseDeaths[true] == 0 {
		t.Error("the network is too easy: plain SWIM marks nobody dead either")
	}
}

func TestSuspicion_Deadline(t *testing.T) {
	for _, tc := range []struct {
		name       string
		possible   int
		confirmers []int
		want       time.Duration
	}{
		{"nobody else can confirm", 0, []int{1}, 11 * time.Second},
		{"not confirmed", 1, []int{1}, 14 * time.Second},
		{"reported twice by one member", 1, []int{1, 1}, 14 * time.Second},
		{"confirmed by another", 1, []int{1, 2}, 11 * time.Second},
		{"more confirmations than count", 1, []int{1, 2, 3}, 11 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := newSuspicionSet(5)
			s := &suspicion{began: 10 * time.Second, minTimeout: time.Second, maxTimeout: 4 * time.Second, possible: tc.possible}
			set.start(4, s)
			for _, by := range tc.confirmers {
				set.confirm(4, by)
			}
			if got := s.deadline(); got != tc.want {
				t.Errorf("deadline %v, want %v", got, tc.want)
			}
		})
	}
}

func TestSuspicion_PostponeForgetsPings(t *testing.T) {
	set := newSuspicionSet(3)
	set.start(2, &suspicion{began: time.Second, pings: 2, nextPing: 5 * time.Second})
	set.postpone(3 * time.Second)
	if s := set.byMember[2]; s.began != 4*time.Second || s.pings != 0 || s.nextPing != 0 {
		t.Errorf("%+v", s)
	}
	set.clear(2)
	if set.byMember[2] != nil || len(set.active) != 0 {
		t.Errorf("cleared: %+v", set)
	}
}

func TestSuspicion_RefutedWithHigherIncarnation(t *testing.T) {
	list := New(simStart, 1, DefaultSettings("f"), LocalNode{Index: 0, Name: "n", StartMillis: 10}, 3)
	suspect, _ := (&message{fleet: "f", name: "n", incarnation: 7, kind: kindGossip, updates: []memberUpdate{{0, Suspect, 10}}}).encode()
	list.HandlePacket(simStart, 1, suspect)
	if list.Incarnation() != 11 || list.Stats().Refutations != 1 || list.Health() != 1 {
		t.Errorf("incarnation %d, %d refutations, health %d", list.Incarnation(), list.Stats().Refutations, list.Health())
	}
	list.HandlePacket(simStart, 1, suspect)
	if list.Incarnation() != 11 || list.Stats().Refutations != 1 {
		t.Errorf("the same suspicion again: incarnation %d, %d refutations", list.Incarnation(), list.Stats().Refutations)
	}
}
