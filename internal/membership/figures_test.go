package membership

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// TestMemberlist_Figures prints the figures of docs/membership.md. It is a measurement, run with FIGURES=1.
func TestMemberlist_Figures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("a measurement, asked for by FIGURES=1")
	}
	for _, n := range []int{12, 80, 300, 1000} {
		var first, most, all []time.Duration
		var bytes float64
		seeds := 5
		if n == 1000 {
			seeds = 2
		}
		for seed := range uint64(seeds) {
			s := newSimulation(n, seed+1, DefaultSettings("f"))
			s.startAll()
			d, ok := s.runUntil(30*time.Second, s.converged)
			first = append(first, d)
			if !ok {
				t.Errorf("%d: not converged", n)
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
			bytes = float64(after-before) / 10 / float64(n)
			s.kill(3)
			d, _ = s.runUntil(30*time.Second, func() bool { k, h := s.countState(3, Dead); return float64(k) >= 0.99*float64(h) })
			e, _ := s.runUntil(30*time.Second, func() bool { k, h := s.countState(3, Dead); return k == h })
			most, all = append(most, d), append(all, d+e)
		}
		slices.Sort(first)
		slices.Sort(most)
		slices.Sort(all)
		fmt.Printf("%d relays: converged %v to %v; dead to 99%% median %v worst %v, to all %v worst %v; %.0f bytes/s a relay\n", n,
			first[0], first[len(first)-1], most[len(most)/2], most[len(most)-1], all[len(all)/2], all[len(all)-1], bytes)
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
