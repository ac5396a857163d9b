package testcluster

import (
	"testing"

	"aspenbarrow/internal/fault"
)

func TestLinkFaults_AffectDatagrams(t *testing.T) {
	links := newLinkFaults(1)
	a, b := node{fault.Relays, 1}, node{fault.Relays, 2}
	count := func(l fault.Link) (arrived, late int, did map[string]int) {
		l.From, l.To = fault.NodeSet{Kind: fault.Relays, Indexes: []int{1}}, fault.NodeSet{Kind: fault.Relays}
		counters := &effectCounters{}
		end := links.inject(&l, counters)
		defer end()
		for range 1000 {
			times, _ := links.datagramDelays(a, b)
			arrived += len(times)
			for _, x := range times {
				if x > 0 {
					late++
				}
			}
			if back, _ := links.datagramDelays(b, a); len(back) != 1 || back[0] != 0 {
				t.Fatal("the other way is in trouble as well")
			}
		}
		return arrived, late, counters.counts()
	}
	if n, _, did := count(fault.Link{Partitioned: true}); n != 0 || did["datagrams lost"] != 1000 {
		t.Errorf("a cut let %d pass: %v", n, did)
	}
	if n, _, _ := count(fault.Link{LossRate: 0.2}); n < 750 || n > 850 {
		t.Errorf("%d of 1000 at a loss of a fifth", n)
	}
	if n, _, did := count(fault.Link{DuplicateRate: 0.1}); n < 1070 || n > 1130 || did["datagrams doubled"] != n-1000 {
		t.Errorf("%d of 1000, a tenth doubled: %v", n, did)
	}
	if n, late, _ := count(fault.Link{ReorderRate: 0.3}); n != 1000 || late < 250 || late > 350 {
		t.Errorf("%d, %d late", n, late)
	}
	if times, held := links.datagramDelays(a, b); len(times) != 1 || held != nil {
		t.Error("trouble that is over")
	}
}
