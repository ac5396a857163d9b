package membership

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// TestMemberlist_Figures measures and prints the figures of docs/membership.md. It runs only with FIGURES=1.
func TestMemberlist_Figures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("measurement, runs only with FIGURES=1")
	}
	for _, n := range []int{12, 80, 300, 1000} {
		var convergence, deadTo99Percent, deadToAll []time.Duration
		var bytesPerSecond float64
		seeds := 5
		if n == 1000 {
			seeds = 2
		}
		for seed := range uint64(seeds) {
			s := newSimulation(n, seed+1, DefaultSettings("f"))
			s.startAll()
			d, ok := s.runUntil(30*time.Second, s.converged)
			convergence = append(convergence, d)
			if !ok {
				t.Errorf("%d relays, seed %d: not converged after %v", n, seed+1, d)
			}
			s.run(20 * time.Second)
			before := uint64(0)
			for _, node := range s.nodes {
				before += node.list.stats.BytesSent
			}
			s.run(10 * time.Second)
			after := uint64(0)
			for _, node := range s.nodes {
				after += node.list.stats.BytesSent
			}
			bytesPerSecond = float64(after-before) / 10 / float64(n)
			s.kill(3)
			d, _ = s.runUntil(30*time.Second, func() bool {
				count, observers := s.countState(3, Dead)
				return float64(count) >= 0.99*float64(observers)
			})
			rest, _ := s.runUntil(30*time.Second, func() bool { count, observers := s.countState(3, Dead); return count == observers })
			deadTo99Percent, deadToAll = append(deadTo99Percent, d), append(deadToAll, d+rest)
		}
		slices.Sort(convergence)
		slices.Sort(deadTo99Percent)
		slices.Sort(deadToAll)
		fmt.Printf("%d relays: converged %v to %v; dead to 99%% median %v worst %v, to all %v worst %v; %.0f bytes/s a relay\n", n,
			convergence[0], convergence[len(convergence)-1], deadTo99Percent[len(deadTo99Percent)/2], deadTo99Percent[len(deadTo99Percent)-1], deadToAll[len(deadToAll)/2], deadToAll[len(deadToAll)-1], bytesPerSecond)
		s := newSimulation(n, 7, DefaultSettings("f"))
		s.startAll()
		s.run(10 * time.Second)
		s.dropped = func(a, b int) bool { return (a < n/2) != (b < n/2) }
		s.run(30 * time.Second)
		s.dropped = nil
		d, ok := s.runUntil(60*time.Second, s.converged)
		fmt.Printf("   two halves converged %v after healing: %v\n", d, ok)
	}
}
