package testcluster

import (
	"fmt"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// Cold backends that join take up their share of the load without being overloaded.
func TestCluster_NewBackendsFillWithoutOverload(t *testing.T) {
	t.Parallel()
	res := runCluster(t, Options{Duration: 28 * time.Second, Fleet: smallCluster(30, 10, 300), Faults: []fault.Fault{
		{Kind: "backends start", Start: 5 * time.Second, Duration: 20 * time.Second, Severity: 0.4}}})
	last := res.Evenness[len(res.Evenness)-1]
	t.Logf("loads %+v, cold backends overloaded %v", last.Loads, res.Counts["cold backend fell over"])
	if res.Counts["cold backend fell over"] != 0 {
		t.Error("a cold backend was overloaded")
	}
	for _, v := range last.Loads[10:] {
		if v < last.MeanLoad*0.5 || v > last.MeanLoad*1.5 {
			t.Errorf("a backend has load %.2f 23 s after its start, where the mean is %.2f", v, last.MeanLoad)
		}
	}
}

// Half of the backends drain and two cold ones start. The remaining ones are full, and only few of the clients' keys
// have a cold backend as their primary. With those keys alone, the cold backends would stay empty while the others
// reject requests. None of them may be overloaded.
func TestCluster_ColdBackendsTakeOverflow(t *testing.T) {
	t.Parallel()
	f := smallCluster(60, 10, 300)
	f.SessionDurationRange = [2]time.Duration{4 * time.Second, 12 * time.Second}
	res := runCluster(t, Options{Duration: 14 * time.Second, Fleet: f, Faults: []fault.Fault{
		{Kind: "backends start", Start: 4 * time.Second, Duration: 9 * time.Second, Severity: 0.5},
		{Kind: "backends drain", Start: 4500 * time.Millisecond, Duration: 9 * time.Second, Targets: []int{0, 1, 2, 3, 4}}}})
	sent := res.Counts["sent to a cold backend"]
	loads := res.Evenness[11].Loads
	t.Logf("%d attempts at cold backends, %d overloaded; loads after seven seconds %.2f; served share %.3f", sent, res.Counts["cold backend fell over"], loads, servedShare(res, 6, 13))
	if res.Counts["cold backend fell over"] != 0 {
		t.Error("a cold backend was overloaded")
	}
	if sent < 56 {
		t.Errorf("%d attempts at the cold backends while the others were full, want at least 56", sent)
	}
}

// Three of ten backends start cold, and meanwhile half of the relays are killed and restart without any state. The
// requests of all relays together stay within what a cold backend can take, at budgets of about 5, 20 and 100
// requests per window.
func TestCluster_SlowStartHoldsAcrossRelays(t *testing.T) {
	for _, tc := range []struct {
		relays int
		budget float64 // requests that a backend can take per window when it has just started
		least  int     // minimum number of attempts at cold backends
	}{{20, 5, 0}, {30, 20, 2}, {20, 100, 60}} {
		t.Run(fmt.Sprintf("%d relays, budget %.0f", tc.relays, tc.budget), func(t *testing.T) {
			t.Parallel()
			const backends, started = 8, 3
			warmRate := tc.budget / (overloadFactor * coldCapacity * overloadWindow.Seconds())
			f := smallCluster(tc.relays, backends, int(3*warmRate*backends))
			f.Server.WarmRequestRate = warmRate
			f.SessionDurationRange = [2]time.Duration{400 * time.Millisecond, 1600 * time.Millisecond} // many clients reconnect while the backends are cold
			var half []int
			for i := range tc.relays {
				if i%2 == 1 {
					half = append(half, i)
				}
			}
			res := runCluster(t, Options{Duration: 16 * time.Second, Fleet: f, Faults: []fault.Fault{
				{Kind: "backends start", Start: 4 * time.Second, Duration: 12 * time.Second, Severity: float64(started) / backends},
				{Kind: "relays die together", Start: 6 * time.Second, Duration: time.Second, Targets: half}}})
			sent := res.Counts["sent to a cold backend"]
			t.Logf("%d attempts at cold backends, %d overloaded, attempts %v", sent, res.Counts["cold backend fell over"], res.Attempts)
			if res.Counts["cold backend fell over"] != 0 {
				t.Error("a cold backend was overloaded")
			}
			if sent < tc.least {
				t.Errorf("%d attempts at cold backends, want at least %d", sent, tc.least)
			}
		})
	}
}
