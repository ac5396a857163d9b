package testcluster

import (
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

func TestLinkFaults_AffectDatagrams(t *testing.T) {
	links := newLinkFaults(1)
	a, b := node{fault.Relays, 1}, node{fault.Relays, 2}
	count := func(l fault.Link) (arrived, late int, effects map[string]int) {
		l.From, l.To = fault.NodeSet{Kind: fault.Relays, Indexes: []int{1}}, fault.NodeSet{Kind: fault.Relays}
		counters := &effectCounters{}
		end := links.inject(&l, counters)
		defer end()
		for range 1000 {
			delays, _ := links.datagramDelays(a, b)
			arrived += len(delays)
			for _, delay := range delays {
				if delay > 0 {
					late++
				}
			}
			if reverse, _ := links.datagramDelays(b, a); len(reverse) != 1 || reverse[0] != 0 {
				t.Fatal("the fault affects the reverse direction as well")
			}
		}
		return arrived, late, counters.counts()
	}
	if n, _, effects := count(fault.Link{Partitioned: true}); n != 0 || effects["datagrams lost"] != 1000 {
		t.Errorf("a partition let %d of 1000 pass, effects %v", n, effects)
	}
	if n, _, _ := count(fault.Link{LossRate: 0.2}); n < 750 || n > 850 {
		t.Errorf("%d of 1000 arrived at a loss rate of 0.2", n)
	}
	if n, _, effects := count(fault.Link{DuplicateRate: 0.1}); n < 1070 || n > 1130 || effects["datagrams doubled"] != n-1000 {
		t.Errorf("%d arrived of 1000 at a duplicate rate of 0.1, effects %v", n, effects)
	}
	if n, late, _ := count(fault.Link{ReorderRate: 0.3}); n != 1000 || late < 250 || late > 350 {
		t.Errorf("%d of 1000 arrived, %d of them late, at a reorder rate of 0.3", n, late)
	}
	if delays, held := links.datagramDelays(a, b); len(delays) != 1 || held != nil {
		t.Error("a fault that has ended affects datagrams")
	}
}

// Jitter delays everything that a link carries. Connections were established without it, so that a fault with jitter alone did
// not affect them at all; nor did the delay of a connection count as an effect of its fault.
func TestLinkFaults_JitterDelaysConnections(t *testing.T) {
	const jitter, connections = 40 * time.Millisecond, 1000
	links := newLinkFaults(1)
	client, relay := node{fault.Clients, 0}, node{fault.Relays, 0}
	counters := &effectCounters{}
	end := links.inject(&fault.Link{From: fault.NodeSet{Kind: fault.Clients}, To: fault.NodeSet{Kind: fault.Relays}, Jitter: jitter}, counters)
	defer end()
	var total time.Duration
	for range connections {
		delay, ok := links.connectDelay(client, relay)
		if !ok || delay < 0 || delay >= jitter {
			t.Fatalf("got delay %v, established %v; want a delay of less than %v", delay, ok, jitter)
		}
		total += delay
	}
	if mean := total / connections; mean < jitter*45/100 || mean > jitter*55/100 {
		t.Errorf("mean delay %v at a jitter of up to %v, want about half", mean, jitter)
	}
	if n := counters.counts()["delayed"]; n < connections*99/100 {
		t.Errorf("%d of %d connections count as delayed", n, connections)
	}
}
