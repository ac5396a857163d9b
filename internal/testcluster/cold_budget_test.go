package testcluster

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/simulation"
)

// midStreamRush is a cluster in which cold backends join, an arrival burst follows, and first one half of the relays and
// then the other is killed and restarts without state. The clients of the killed relays come back mid-stream at the
// others, within a second: all connections of the cluster are placed anew within one overload window.
type midStreamRush struct {
	relays   int
	budget   float64 // N: requests that a backend can take per window when it has just started
	hotShare float64 // share of the connections through the first relay
	deaf     bool    // relays detect which of them are running, but all datagrams between them are lost
}

const (
	rushBackends     = 8 // warm ones
	rushColdBackends = 3 // ones that join
	rushStart        = 3 * time.Second
	rushLength       = rushStart + warmUpTime + 500*time.Millisecond
)

func (r midStreamRush) name() string {
	name := fmt.Sprintf("%d relays, budget %.0f", r.relays, r.budget)
	if r.hotShare > 0 {
		name += fmt.Sprintf(", %.2f of the traffic through one", r.hotShare)
	}
	if r.deaf {
		name += ", no datagrams"
	}
	return name
}

// fleet returns the cluster. The warm backends have the connections that load a backend of this warm rate to 60 percent
// if it fills within its warm-up.
func (r midStreamRush) fleet() simulation.Installation {
	warmRate := r.budget / (overloadFactor * coldCapacity * overloadWindow.Seconds())
	f := smallCluster(r.relays, rushBackends, int(0.6*warmUpTime.Seconds()*warmRate*rushBackends))
	f.Server.WarmRequestRate = warmRate
	f.Server.ColdCrashFactor = math.Inf(1) // a backend that crashed at its budget would end the count
	f.SessionDurationRange = [2]time.Duration{2 * time.Second, 8 * time.Second}
	f.MidStreamShare, f.HotRelayShare, f.Membership = 0.9, r.hotShare, r.deaf
	return f
}

func (r midStreamRush) faults() []fault.Fault {
	var halves [2][]int
	for i := range r.relays {
		halves[i%2] = append(halves[i%2], i)
	}
	faults := []fault.Fault{
		{Kind: "backends start", Start: rushStart, Duration: warmUpTime, Severity: float64(rushColdBackends-1) / 3},
		{Kind: "burst", Start: rushStart + 300*time.Millisecond, Duration: 3 * time.Second, Severity: 0.1},
		{Kind: "relays die together", Start: rushStart + 400*time.Millisecond, Duration: 500 * time.Millisecond, Targets: halves[1]},
		{Kind: "relays die together", Start: rushStart + 1900*time.Millisecond, Duration: 500 * time.Millisecond, Targets: halves[0]},
	}
	if r.deaf {
		everyRelay := fault.NodeSet{Kind: fault.Relays}
		faults = append(faults, fault.Fault{Kind: "link", Start: 100 * time.Millisecond, Duration: rushLength,
			Link: &fault.Link{From: everyRelay, To: everyRelay, LossRate: 1}})
	}
	return faults
}

// checkColdBudget fails the test for each cold backend that got more requests in a window than its budget and chance
// allow.
func checkColdBudget(t *testing.T, res Result) {
	t.Helper()
	for i := range res.ColdStarts {
		t.Log(&res.ColdStarts[i])
		if res.ColdStarts[i].Exceeded > 0 {
			t.Errorf("cold backend %d was sent more requests than its limit", res.ColdStarts[i].Backend)
		}
	}
}

// All relays together stay within the budget of a cold backend, mid-stream requests included. Without a budget for
// these, each of the relays that are left sends a cold backend the open connections of the killed ones whose keys have
// it as their primary, and their sum overloads it.
func TestCluster_MidStreamRushStaysWithinColdBudget(t *testing.T) {
	for _, rush := range []midStreamRush{
		{relays: 20, budget: 5}, {relays: 20, budget: 20}, {relays: 20, budget: 100},
		{relays: 30, budget: 5}, {relays: 30, budget: 20}, {relays: 30, budget: 100},
		{relays: 20, budget: 20, hotShare: 1.0 / 3},
		{relays: 30, budget: 20, deaf: true},
	} {
		t.Run(rush.name(), func(t *testing.T) {
			t.Parallel()
			res, err := Run(context.Background(), Options{Program: program, Seed: 1, Duration: rushLength, Fleet: rush.fleet(), Faults: rush.faults()})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range res.Violations {
				// The checker's rule allows no request beyond the budget. Here the limit that allows for chance applies.
				if !strings.HasPrefix(violation, invariant.RuleCold+" ") {
					t.Error("invariant violated:", violation)
				}
			}
			checkColdBudget(t, res)
			requests, resumed := res.Counts["mid-stream request"], res.Counts["mid-stream resumed"]
			t.Logf("%d mid-stream requests, %d resumed, %d reset; %d served in all", requests, resumed, res.Counts["mid-stream reset"], res.Counts["served"])
			if len(res.ColdStarts) != rushColdBackends {
				t.Errorf("%d cold starts, want %d", len(res.ColdStarts), rushColdBackends)
			}
			if clients := rush.fleet().Clients; requests < clients/2 || resumed < clients/4 {
				t.Errorf("%d mid-stream requests, %d resumed, want at least %d and %d", requests, resumed, clients/2, clients/4)
			}
		})
	}
}

// The worst window is the one with the most requests relative to the limit at the backend's age then, not the one with
// the most requests.
func TestColdStartRecorder_WorstWindow(t *testing.T) {
	const warmRate = 4
	r := coldStartRecorder{backend: 3, startedAt: 10 * time.Second, warmRate: warmRate}
	for _, age := range []time.Duration{0, time.Second, 3 * time.Second, 3001 * time.Millisecond, 8 * time.Second} {
		r.add(r.startedAt+age, age == time.Second)
	}
	got := r.summarize(time.Second)
	if got.Requests != 4 || got.MidStream != 1 || got.StartedAt != 9*time.Second || got.Exceeded != 0 {
		t.Errorf("%+v, want 4 requests, 1 mid-stream, started after 9 s, no window over its limit", got)
	}
	budget := 2.5 * 0.3 * warmRate * 3
	want := ColdWindow{Age: 0, Requests: 3, MidStream: 1, Budget: budget, Limit: budget + 2*math.Sqrt(budget) + 2}
	if fmt.Sprintf("%.6v", got.Worst) != fmt.Sprintf("%.6v", want) {
		t.Errorf("worst window %+v, want %+v", got.Worst, want)
	}
	for range 20 {
		r.requests = append(r.requests, coldRequest{age: 5 * time.Second})
	}
	if got := r.summarize(0); got.Exceeded != 0 || got.Worst.Age != 3*time.Second || got.Worst.Requests != 22 {
		t.Errorf("%+v, want a worst window of 22 requests at 3 s, within its limit", got)
	}
}
