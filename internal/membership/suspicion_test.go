package membership

import (
	"testing"
	"time"
)

// TestSuspicion_NoFalseDeathsOnHarshNetwork runs fleets on a network with heavy loss, delay and reordering, where every member
// is reachable. No member is marked dead. Plain SWIM on the same network marks members dead, which shows that it is harsh.
func TestSuspicion_NoFalseDeathsOnHarshNetwork(t *testing.T) {
	seeds, duration := accuracyRuns()
	falseDeaths := map[bool]int{}
	for _, plainSWIM := range []bool{false, true} {
		settings := DefaultSettings("f")
		settings.plainSWIM = plainSWIM
		for seed := range uint64(seeds) {
			s := newSimulation(12, seed+1, settings)
			setHarshNetwork(s)
			s.onDeath = func(observer, member int) {
				falseDeaths[plainSWIM]++
				if !plainSWIM && falseDeaths[plainSWIM] < 5 {
					t.Errorf("seed %d: %d marks %d dead at %v", seed, observer, member, s.now-simStart)
				}
			}
			s.startAll()
			s.run(duration)
		}
	}
	t.Logf("%d runs of %v: %d false deaths, %d with plain SWIM", seeds, duration, falseDeaths[false], falseDeaths[true])
	if falseDeaths[true] == 0 {
		t.Error("the simulated network is not harsh enough: plain SWIM causes no false deaths")
	}
}

func TestSuspicion_Deadline(t *testing.T) {
	for _, tc := range []struct {
		name       string
		possible   int
		confirmers []int
		want       time.Duration
	}{
		{"no other member can confirm", 0, []int{1}, 11 * time.Second},
		{"not confirmed", 1, []int{1}, 14 * time.Second},
		{"confirmed twice by one member", 1, []int{1, 1}, 14 * time.Second},
		{"confirmed by another", 1, []int{1, 2}, 11 * time.Second},
		{"more confirmations than count", 1, []int{1, 2, 3}, 11 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := newSuspicionSet(5)
			s := &suspicion{startedAt: 10 * time.Second, minTimeout: time.Second, maxTimeout: 4 * time.Second, possibleConfirmations: tc.possible}
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

func TestSuspicion_PostponeResetsPings(t *testing.T) {
	set := newSuspicionSet(3)
	set.start(2, &suspicion{startedAt: time.Second, pings: 2, pingDeadline: 5 * time.Second})
	set.postpone(3 * time.Second)
	if s := set.byMember[2]; s.startedAt != 4*time.Second || s.pings != 0 || s.pingDeadline != 0 {
		t.Errorf("%+v", s)
	}
	set.clear(2)
	if set.byMember[2] != nil || len(set.active) != 0 {
		t.Errorf("after clear: %+v", set)
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
		t.Errorf("same suspicion received again: incarnation %d, %d refutations", list.Incarnation(), list.Stats().Refutations)
	}
}
