package membership

import (
	"testing"
	"time"
)

// TestLocalHealth_PausedMembersBlameNobody pauses members by turns: they mark nobody dead that was not paused, and are
// alive to all within 2 s of their return.
func TestLocalHealth_PausedMembersBlameNobody(t *testing.T) {
	seeds, each := accuracyRuns()
	for _, plainSWIM := range []bool{false, true} {
		set := DefaultSettings("f")
		set.plainSWIM = plainSWIM
		wrong, late, worst := 0, 0, time.Duration(0)
		for seed := range uint64(seeds) {
			s := newSimulation(20, seed+1, set)
			paused := map[int]bool{}
			s.onDeath = func(at, of int) {
				if !paused[of] {
					wrong++
				}
			}
			s.startAll()
			s.run(5 * time.Second)
			for end := s.now + each; s.now < end; {
				i := 18 + s.rng.IntN(2) // a tenth of the fleet
				paused[i] = true
				d := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(4800*time.Millisecond)))
				s.pause(i, d)
				s.run(d)
				back, ok := s.runUntil(2*time.Second, func() bool { n, h := s.countState(i, Alive); return n == h })
				if worst = max(worst, back); !ok {
					late++
				}
				s.run(time.Second)
			}
		}
		t.Logf("plain SWIM: %v; %d marked dead that never paused, %d not alive to all after 2 s, longest %v", plainSWIM, wrong, late, worst)
		if !plainSWIM && (wrong > 0 || late > 0) {
			t.Errorf("%d marked dead that never paused, %d not alive to all after 2 s", wrong, late)
		}
	}
}

func TestLocalHealth_RecoversFromLongStall(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 8 * time.Second, 60 * time.Second} {
		s := newSimulation(30, uint64(d), DefaultSettings("f"))
		s.startAll()
		s.run(5 * time.Second)
		othersDead := 0
		s.onDeath = func(at, of int) {
			if of != 4 {
				othersDead++
			}
		}
		s.pause(4, d)
		s.run(d - time.Millisecond)
		if n, h := s.countState(4, Dead); d > 7*time.Second && n != h {
			t.Errorf("paused for %v: marked dead by %d of %d", d, n, h)
		}
		back, ok := s.runUntil(2*time.Second+time.Millisecond, s.converged)
		if !ok {
			n, h := s.countState(4, Alive)
			t.Errorf("paused for %v: not converged %v after; alive to %d of %d", d, back, n, h)
		}
		if othersDead > 0 {
			t.Errorf("paused for %v: %d others marked dead", d, othersDead)
		}
	}
}

func TestLocalHealth_ScoreAndTimeouts(t *testing.T) {
	for _, tc := range []struct {
		adjust                []int
		score                 int
		probeWait, suspicions time.Duration
	}{
		{nil, 0, time.Second, time.Second},
		{[]int{-1}, 0, time.Second, time.Second},
		{[]int{1, 1}, 2, 1500 * time.Millisecond, 2 * time.Second},
		{[]int{stallPenalty, stallPenalty, 1}, maxHealthScore, 3 * time.Second, 5 * time.Second},
	} {
		var h localHealth
		for _, delta := range tc.adjust {
			h.adjust(delta)
		}
		if h.score != tc.score || h.scaleProbeTimeout(time.Second) != tc.probeWait || h.scaleSuspicionTimeout(time.Second) != tc.suspicions {
			t.Errorf("%v: score %d, %v, %v", tc.adjust, h.score, h.scaleProbeTimeout(time.Second), h.scaleSuspicionTimeout(time.Second))
		}
	}
}
