package membership

import (
	"testing"
	"time"
)

// TestLocalHealth_PausedMembersCauseNoFalseDeaths pauses members in turn: no member is marked dead that was not paused, and a
// paused member is alive in the view of all within 2 s after its pause.
func TestLocalHealth_PausedMembersCauseNoFalseDeaths(t *testing.T) {
	seeds, duration := accuracyRuns()
	for _, plainSWIM := range []bool{false, true} {
		settings := DefaultSettings("f")
		settings.plainSWIM = plainSWIM
		falseDeaths, lateRecoveries, longest := 0, 0, time.Duration(0)
		for seed := range uint64(seeds) {
			s := newSimulation(20, seed+1, settings)
			paused := map[int]bool{}
			s.onDeath = func(_, member int) {
				if !paused[member] {
					falseDeaths++
				}
			}
			s.startAll()
			s.run(5 * time.Second)
			for end := s.now + duration; s.now < end; {
				i := 18 + s.rng.IntN(2) // a tenth of the fleet
				paused[i] = true
				d := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(4800*time.Millisecond)))
				s.pause(i, d)
				s.run(d)
				recovery, ok := s.runUntil(2*time.Second, func() bool { count, observers := s.countState(i, Alive); return count == observers })
				if longest = max(longest, recovery); !ok {
					lateRecoveries++
				}
				s.run(time.Second)
			}
		}
		t.Logf("plain SWIM: %v; %d marked dead without a pause, %d not alive in the view of all after 2 s, longest %v", plainSWIM, falseDeaths, lateRecoveries, longest)
		if !plainSWIM && (falseDeaths > 0 || lateRecoveries > 0) {
			t.Errorf("%d marked dead without a pause, %d not alive in the view of all after 2 s", falseDeaths, lateRecoveries)
		}
	}
}

func TestLocalHealth_RecoversFromLongStall(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 8 * time.Second, 60 * time.Second} {
		s := newSimulation(30, uint64(d), DefaultSettings("f"))
		s.startAll()
		s.run(5 * time.Second)
		othersDead := 0
		s.onDeath = func(_, member int) {
			if member != 4 {
				othersDead++
			}
		}
		s.pause(4, d)
		s.run(d - time.Millisecond)
		if count, observers := s.countState(4, Dead); d > 7*time.Second && count != observers {
			t.Errorf("paused for %v: marked dead by %d of %d", d, count, observers)
		}
		recovery, ok := s.runUntil(2*time.Second+time.Millisecond, s.converged)
		if !ok {
			count, observers := s.countState(4, Alive)
			t.Errorf("paused for %v: not converged %v after it; alive in the view of %d of %d", d, recovery, count, observers)
		}
		if othersDead > 0 {
			t.Errorf("paused for %v: %d others marked dead", d, othersDead)
		}
	}
}

func TestLocalHealth_ScoreAndTimeouts(t *testing.T) {
	for _, tc := range []struct {
		adjustments                    []int
		score                          int
		probeTimeout, suspicionTimeout time.Duration
	}{
		{nil, 0, time.Second, time.Second},
		{[]int{-1}, 0, time.Second, time.Second},
		{[]int{1, 1}, 2, 1500 * time.Millisecond, 2 * time.Second},
		{[]int{stallPenalty, stallPenalty, 1}, maxHealthScore, 3 * time.Second, 5 * time.Second},
	} {
		var h localHealth
		for _, delta := range tc.adjustments {
			h.adjust(delta)
		}
		if h.score != tc.score || h.scaleProbeTimeout(time.Second) != tc.probeTimeout || h.scaleSuspicionTimeout(time.Second) != tc.suspicionTimeout {
			t.Errorf("%v: score %d, probe timeout %v, suspicion timeout %v", tc.adjustments, h.score, h.scaleProbeTimeout(time.Second), h.scaleSuspicionTimeout(time.Second))
		}
	}
}
