package testcluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/simulation"
)

// memberViews polls some relays for the state of each member in their views.
type memberViews struct {
	mu        sync.Mutex
	relays    []int // polled
	states    map[int][]string
	queriedAt map[int]time.Duration
	each      func(v *memberViews, now time.Duration)
}

// observe polls these relays and then calls each with the lock held.
func (views *memberViews) observe(view *View) {
	var wg sync.WaitGroup
	for _, i := range views.relays {
		wg.Go(func() {
			if !view.RelayRunning(i) {
				return
			}
			lines, err := view.QueryAdmin(i, "MEMBERS")
			if err != nil || len(lines) < 3 || lines[0] != "SUCCESS" {
				return
			}
			var states []string
			for _, line := range lines[2:] {
				for _, field := range strings.Fields(line) {
					if name, value, _ := strings.Cut(field, "="); name == "state" {
						states = append(states, value)
					}
				}
			}
			views.mu.Lock()
			defer views.mu.Unlock()
			views.states[i], views.queriedAt[i] = states, view.Elapsed()
		})
	}
	wg.Wait()
	views.mu.Lock()
	defer views.mu.Unlock()
	views.each(views, view.Elapsed())
}

// countState returns how many of the polled relays, except the member itself, have the member in a state, and how many
// of them have returned their view.
func (views *memberViews) countState(member int, state string) (n, answered int) {
	for _, i := range views.relays {
		if states := views.states[i]; i != member && len(states) > member {
			answered++
			if states[member] == state {
				n++
			}
		}
	}
	return n, answered
}

func spreadIndexes(n, total int) (indexes []int) {
	for i := range n {
		indexes = append(indexes, i*total/n)
	}
	return indexes
}

// Relays are killed, paused, drained and partitioned, also in one direction only, while others are polled for their views.
// No relay that runs and can be reached is ever considered dead by another.
func TestCluster_MembershipUnderFaults(t *testing.T) {
	const relays = 24
	all := func(kind fault.NodeKind) fault.NodeSet { return fault.NodeSet{Kind: kind} }
	relaySet := func(who ...int) fault.NodeSet { return fault.NodeSet{Kind: fault.Relays, Indexes: who} }
	for _, tc := range []struct {
		name          string
		fault         fault.Fault
		member        int           // affected relay
		wantState     string        // state of the member at all others during the fault; empty: not checked
		within        time.Duration // deadline for that, from the start of the fault
		recoverWithin time.Duration // deadline for it to be alive again at all others, from the end of the fault; 0: not checked
		moreFaults    []fault.Fault
		unreachable   func(i, j int) bool // whether two relays cannot reach each other; nil: all can
	}{
		{name: "killed", fault: fault.Fault{Kind: "relay killed", Targets: []int{1}}, member: 1, wantState: "dead", within: 6500 * time.Millisecond, recoverWithin: 5 * time.Second},
		{name: "leaves", fault: fault.Fault{Kind: "relays leave", Targets: []int{1}}, member: 1, wantState: "left", within: 4 * time.Second, recoverWithin: 5 * time.Second},
		{name: "paused", fault: fault.Fault{Kind: "relays paused", Targets: []int{1}}, member: 1, wantState: "dead", within: 6500 * time.Millisecond, recoverWithin: 4 * time.Second},
		{name: "outgoing datagrams lost", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: relaySet(1), To: all(fault.Relays), Partitioned: true}}, member: 1, wantState: "dead", within: 7 * time.Second, recoverWithin: 5 * time.Second},
		{name: "incoming datagrams lost", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: relaySet(1), Partitioned: true}}, member: 1, recoverWithin: 5 * time.Second},
		{name: "datagram loss, duplicates and jitter", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: all(fault.Relays),
			LossRate: 0.2, DuplicateRate: 0.1, Jitter: 500 * time.Millisecond}}, member: 1},
		{name: "two groups connected through a third", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: relaySet(0, 1, 2, 3, 4, 5, 6, 7), To: relaySet(16, 17, 18, 19, 20, 21, 22, 23), Bidirectional: true, Partitioned: true}},
			member: 10, recoverWithin: 5 * time.Second, unreachable: func(i, j int) bool { return i < 8 && j >= 16 || j < 8 && i >= 16 }},
		{name: "one relay reaches a third of the others", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: relaySet(1), To: relaySet(8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23), Partitioned: true}},
			member: 1, recoverWithin: 5 * time.Second},
		{name: "flapping links", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: relaySet(1), To: all(fault.Relays), Bidirectional: true, Partitioned: true}}, member: 1, recoverWithin: 6 * time.Second,
			moreFaults: []fault.Fault{{Kind: "link", Start: 15500 * time.Millisecond, Duration: time.Second, Link: &fault.Link{From: relaySet(1), To: all(fault.Relays), Bidirectional: true, Partitioned: true}}}},
		{name: "partition into two halves", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: relaySet(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11),
			To: relaySet(12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23), Bidirectional: true, Partitioned: true}}, member: 3, recoverWithin: 6 * time.Second, unreachable: func(i, j int) bool { return (i < 12) != (j < 12) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := tc.fault
			f.Start, f.Duration = 6*time.Second, 9*time.Second
			fleet := smallCluster(relays, 4, 24)
			fleet.Membership = true
			var detectedAfter, recoveredAfter time.Duration
			views := &memberViews{relays: spreadIndexes(8, relays), states: map[int][]string{}, queriedAt: map[int]time.Duration{}}
			falseDeaths := map[string]bool{}
			views.each = func(views *memberViews, now time.Duration) {
				if n, answered := views.countState(tc.member, tc.wantState); detectedAfter == 0 && tc.wantState != "" && answered >= 7 && n == answered && now > f.Start {
					detectedAfter = now - f.Start
				}
				if n, answered := views.countState(tc.member, "alive"); recoveredAfter == 0 && answered >= 7 && n == answered && now > f.Start+f.Duration {
					recoveredAfter = now - f.Start - f.Duration
				}
				for i, states := range views.states {
					for j, st := range states {
						if st == "dead" && j != tc.member && i != tc.member && (tc.unreachable == nil || !tc.unreachable(i, j)) {
							falseDeaths[fmt.Sprintf("relay %d considers relay %d dead", i, j)] = true
						}
					}
				}
			}
			res := runCluster(t, Options{Duration: 22 * time.Second, Fleet: fleet, Faults: append([]fault.Fault{f}, tc.moreFaults...), Observe: views.observe})
			t.Logf("detected after %v, recovered after %v; %.0f datagrams per second, %.2f%% of a core per relay", detectedAfter, recoveredAfter, res.Rates.Datagrams, 100*res.Usage.CPUMedian)
			for message := range falseDeaths {
				t.Error(message)
			}
			if tc.wantState != "" && (detectedAfter == 0 || detectedAfter > tc.within) {
				t.Errorf("%s at all others after %v, want within %v", tc.wantState, detectedAfter, tc.within)
			}
			if tc.recoverWithin > 0 && (recoveredAfter == 0 || recoveredAfter > tc.recoverWithin) {
				t.Errorf("alive again at all others after %v, want within %v", recoveredAfter, tc.recoverWithin)
			}
		})
	}
}

// TestCluster_ManyMembers measures membership with hundreds of relays. It runs only if MEMBERS is set, as in MEMBERS=200.
func TestCluster_ManyMembers(t *testing.T) {
	relays, err := strconv.Atoi(os.Getenv("MEMBERS"))
	if err != nil {
		t.Skip("a measurement that runs only if MEMBERS is set, as in MEMBERS=200")
	}
	var deadAt99Percent, deadAtAll, converged []time.Duration
	var fleet simulation.Installation
	for seed := range uint64(3) {
		fleet = smallCluster(relays, 10, 100)
		fleet.Membership = true
		views := &memberViews{relays: spreadIndexes(50, relays), states: map[int][]string{}, queriedAt: map[int]time.Duration{}}
		var most, all, aliveAtAll time.Duration
		views.each = func(views *memberViews, now time.Duration) {
			n, answered := views.countState(1, "dead")
			if now > 12*time.Second && answered >= 49 {
				if most == 0 && float64(n) >= 0.99*float64(answered) {
					most = now - 12*time.Second
				}
				if all == 0 && n == answered {
					all = now - 12*time.Second
				}
			}
			if aliveAtAll == 0 && len(views.states) == 50 {
				agree := true
				for _, states := range views.states {
					for _, st := range states {
						agree = agree && st == "alive"
					}
				}
				if agree {
					aliveAtAll = now
				}
			}
		}
		res := runCluster(t, Options{Duration: 24 * time.Second, Fleet: fleet, Seed: seed + 1, Observe: views.observe, Faults: []fault.Fault{{Kind: "relay killed", Targets: []int{1}, Start: 12 * time.Second, Duration: 10 * time.Second}}})
		t.Logf("all views agree %v after the start of the run, dead at 99%% after %v, at all polled after %v; %.0f datagrams per second, a relay uses %.2f%% of a core (at most %.2f%%), ready after %v",
			aliveAtAll, most, all, res.Rates.Datagrams, 100*res.Usage.CPUMedian, 100*res.Usage.CPUMax, res.ReadyAfter)
		deadAt99Percent, deadAtAll, converged = append(deadAt99Percent, most), append(deadAtAll, all), append(converged, aliveAtAll)
	}
	t.Log(converged, deadAt99Percent, deadAtAll)
}
