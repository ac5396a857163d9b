package loadstats

import (
	"math"
	"testing"
	"time"
)

func TestImbalance_EvenAndUneven(t *testing.T) {
	const n, backends = 1000, 20
	for _, c := range []struct {
		name      string
		backendOf func(i int) int
		check     func(Summary) bool
	}{
		{"even", func(i int) int { return i % backends }, func(s Summary) bool {
			return s.Variation < 1e-9 && s.JainIndex > 0.999 && s.MinOverMean > 0.999 && s.IdleSeconds == 0 && math.Abs(s.MeanLoad-0.25) < 1e-9
		}},
		{"one holds all", func(int) int { return 3 }, func(s Summary) bool {
			return math.Abs(s.JainIndex-1.0/backends) < 1e-9 && math.Abs(s.MaxOverMean-backends) < 1e-9 && s.IdleSeconds == 9*(backends-1)
		}},
		{"one is empty", func(i int) int { return i % (backends - 1) }, func(s Summary) bool { return s.LowestOverMean == 0 && s.IdleSeconds == 9 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Summarize(recordConnections(n, backends, c.backendOf).PerSecond(10*time.Second), 1)
			if !c.check(s) {
				t.Errorf("%+v", s)
			}
			// Hashing 50 connections to each backend gives a variation of about 1/sqrt(50), a greedy placement none.
			if s.HashingVariation < 0.1 || s.HashingVariation > 0.18 || s.GreedyVariation > 1e-9 {
				t.Errorf("variation of hashing %.3f, of greedy placement %.3f, want 0.1 to 0.18 and 0", s.HashingVariation, s.GreedyVariation)
			}
		})
	}
}
