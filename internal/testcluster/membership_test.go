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

// memberViews polls some relays for the states that they hold of all members.
type memberViews struct {
	mu        sync.Mutex
	relays    []int // polled
	states    map[int][]string
	queriedAt map[int]time.Duration
	each      func(v *memberViews, now time.Duration)
}

// observe polls all of them and then calls each with the lock held.
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
			for _, l := range lines[2:] {
				for _, f := range strings.Fields(l) {
					if name, st, _ := strings.Cut(f, "="); name == "state" {
						states = append(states, st)
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

// countState counts the polled relays that hold a member in a state, leaving out the member itself.
func (views *memberViews) countState(of int, state string) (n, asked int) {
	for _, i := range views.relays {
		if st := views.states[i]; i != of && len(st) > of {
			asked++
			if st[of] == state {
				n++
			}
		}
	}
	return n, asked
}

func spreadIndexes(n, of int) (out []int) {
	for i := range n {
		out = append(out, i*of/n)
	}
	return out
}

// Relays are killed, paused, partitioned in one direction and drained while others are polled for their views. No
// relay that runs and can be reached is ever considered dead by another.
func TestCluster_MembershipUnderFaults(t *testing.T) {
	const relays = 24
	all := func(kind fault.NodeKind) fault.NodeSet { return fault.NodeSet{Kind: kind} }
	one := func(who ...int) fault.NodeSet { return fault.NodeSet{Kind: fault.Relays, Indexes: who} }
	for _, tc := range []struct {
		name   string
		fault  fault.Fault
		of     int           // member that the case is about
		during string        // state in which all others hold it during the fault; empty: not checked
		within time.Duration // deadline for that, from the start of the fault
		back   time.Duration // deadline for all others to hold it alive again, from the end of the fault; 0: not checked
		more   []fault.Fault
		apart  func(i, j int) bool // whether two relays cannot reach each other; nil: all can
	}{
		{name: "killed", fault: fault.Fault{Kind: "relay killed", Targets: []int{1}}, of: 1, during: "dead", within: 6500 * time.Millisecond, back: 5 * time.Second},
		{name: "leaves", fault: fault.Fault{Kind: "relays leave", Targets: []int{1}}, of: 1, during: "left", within: 4 * time.Second, back: 5 * time.Second},
		{name: "stopped", fault: fault.Fault{Kind: "relays paused", Targets: []int{1}}, of: 1, during: "dead", within: 6500 * time.Millisecond, back: 4 * time.Second},
		{name: "heard by nobody", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: one(1), To: all(fault.Relays), Partitioned: true}}, of: 1, during: "dead", within: 7 * time.Second, back: 5 * time.Second},
		{name: "hears nobody", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: one(1), Partitioned: true}}, of: 1, back: 5 * time.Second},
		{name: "a fifth lost, doubled, half a second late", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: all(fault.Relays),
			LossRate: 0.2, DuplicateRate: 0.1, Jitter: 500 * time.Millisecond}}, of: 1},
		{name: "a chain", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: one(0, 1, 2, 3, 4, 5, 6, 7), To: one(16, 17, 18, 19, 20, 21, 22, 23), Bidirectional: true, Partitioned: true}},
			of: 10, back: 5 * time.Second, apart: func(i, j int) bool { return i < 8 && j >= 16 || j < 8 && i >= 16 }},
		{name: "a third hears one", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: one(1), To: one(8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23), Partitioned: true}},
			of: 1, back: 5 * time.Second},
		{name: "a way that flaps", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: one(1), To: all(fault.Relays), Bidirectional: true, Partitioned: true}}, of: 1, back: 6 * time.Second,
			more: []fault.Fault{{Kind: "link", Start: 15500 * time.Millisecond, Duration: time.Second, Link: &fault.Link{From: one(1), To: all(fault.Relays), Bidirectional: true, Partitioned: true}}}},
		{name: "two halves", fault: fault.Fault{Kind: "link", Link: &fault.Link{From: one(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11),
			To: one(12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23), Bidirectional: true, Partitioned: true}}, of: 3, back: 6 * time.Second, apart: func(i, j int) bool { return (i < 12) != (j < 12) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := tc.fault
			f.Start, f.Duration = 6*time.Second, 9*time.Second
			fl := smallCluster(relays, 4, 24)
			fl.Membership = true
			var known, back time.Duration
			views := &memberViews{relays: spreadIndexes(8, relays), states: map[int][]string{}, queriedAt: map[int]time.Duration{}}
			wrong := map[string]bool{}
			views.each = func(views *memberViews, now time.Duration) {
				if n, asked := views.countState(tc.of, tc.during); known == 0 && tc.during != "" && asked >= 7 && n == asked && now > f.Start {
					known = now - f.Start
				}
				if n, asked := views.countState(tc.of, "alive"); back == 0 && asked >= 7 && n == asked && now > f.Start+f.Duration {
					back = now - f.Start - f.Duration
				}
				for i, states := range views.states {
					for j, st := range states {
						if st == "dead" && j != tc.of && i != tc.of && (tc.apart == nil || !tc.apart(i, j)) {
							wrong[fmt.Sprintf("%d holds %d dead", i, j)] = true
						}
					}
				}
			}
			res := runCluster(t, Options{Duration: 22 * time.Second, Fleet: fl, Faults: append([]fault.Fault{f}, tc.more...), Observe: views.observe})
			t.Logf("known after %v, back after %v; %.0f datagrams a second, a relay %.2f%% of a core", known, back, res.Rates.Datagrams, 100*res.Usage.CPUMedian)
			for w := range wrong {
				t.Error(w)
			}
			if tc.during != "" && (known == 0 || known > tc.within) {
				t.Errorf("%s to all after %v, wanted is within %v", tc.during, known, tc.within)
			}
			if tc.back > 0 && (back == 0 || back > tc.back) {
				t.Errorf("alive again to all after %v, wanted is within %v", back, tc.back)
			}
		})
	}
}

// TestCluster_ManyMembers is a measurement with hundreds of relays, run on request by MEMBERS=200.
func TestCluster_ManyMembers(t *testing.T) {
	relays, err := strconv.Atoi(os.Getenv("MEMBERS"))
	if err != nil {
		t.Skip("a measurement, asked for by MEMBERS=200")
	}
	var most, every, first []time.Duration
	var fl simulation.Installation
	for seed := range uint64(3) {
		fl = smallCluster(relays, 10, 100)
		fl.Membership = true
		views := &memberViews{relays: spreadIndexes(50, relays), states: map[int][]string{}, queriedAt: map[int]time.Duration{}}
		var a, b, c time.Duration
		views.each = func(views *memberViews, now time.Duration) {
			n, asked := views.countState(1, "dead")
			if now > 12*time.Second && asked >= 49 {
				if a == 0 && float64(n) >= 0.99*float64(asked) {
					a = now - 12*time.Second
				}
				if b == 0 && n == asked {
					b = now - 12*time.Second
				}
			}
			if c == 0 && len(views.states) == 50 {
				one := true
				for _, states := range views.states {
					for _, st := range states {
						one = one && st == "alive"
					}
				}
				if one {
					c = now
				}
			}
		}
		res := runCluster(t, Options{Duration: 24 * time.Second, Fleet: fl, Seed: seed + 1, Observe: views.observe, Faults: []fault.Fault{{Kind: "relay killed", Targets: []int{1}, Start: 12 * time.Second, Duration: 10 * time.Second}}})
		t.Logf("one view %v after the run's beginning, dead to 99%% after %v, to all asked after %v; %.0f datagrams a second, a relay %.2f%% of a core (%.2f%%), ready %v",
			c, a, b, res.Rates.Datagrams, 100*res.Usage.CPUMedian, 100*res.Usage.CPUMax, res.ReadyAfter)
		most, every, first = append(most, a), append(every, b), append(first, c)
	}
	t.Log(first, most, every)
}
