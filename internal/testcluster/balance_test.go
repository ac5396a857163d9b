package testcluster

import (
	"testing"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/simulation"
)

// Each case runs twice with the same seed: once as configured, and once with backends that report no load, so that a relay
// sees only the load of its own connections. The first run has to be much more even; the second shows that the load is
// uneven without load reports.
func TestCluster_BalancesLoadAcrossRelays(t *testing.T) {
	const relays, backends, clients = 40, 12, 360
	half := make([]int, relays/2)
	for i := range half {
		half[i] = i
	}
	for _, tc := range []struct {
		name         string
		change       func(f *simulation.Installation)
		script       []fault.Fault
		from         int     // first second measured
		maxRatio     float64 // maximum ratio of the deviation to that without load reports
		minDeviation float64 // minimum deviation without load reports
	}{
		{name: "all relays start in one second", from: 8, maxRatio: 0.75, minDeviation: 0.12},
		{name: "load reports every 3 s", from: 8, maxRatio: 0.85, minDeviation: 0.12, change: func(f *simulation.Installation) { f.Server.ReportInterval = 3 * time.Second }},
		{name: "one relay has a fifth of the traffic", from: 8, maxRatio: 0.75, minDeviation: 0.12, change: func(f *simulation.Installation) { f.HotRelayShare = 0.2 }},
		{name: "one key has a fifth of the traffic", from: 8, maxRatio: 0.5, minDeviation: 0.4, change: func(f *simulation.Installation) { f.HotKeyShare = 0.2 }},
		{name: "half of the relays die and their clients reconnect at once", from: 10, maxRatio: 0.8, minDeviation: 0.12,
			script: []fault.Fault{{Kind: "relays die together", Start: 8 * time.Second, Duration: 4 * time.Second, Targets: half}}},
		{name: "backend sizes 1 to 3, no weights in the endpoint list", from: 8, maxRatio: 0.6, minDeviation: 0.3, change: func(f *simulation.Installation) { f.BackendSizes = []float64{0.5, 1.5} }},
		{name: "half of the load reports 2 s late", from: 8, maxRatio: 0.8, minDeviation: 0.12, change: func(f *simulation.Installation) { f.LateReportShare, f.LateReportDelay = 0.5, 2*time.Second }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var summary [2]loadstats.Summary
			var res [2]Result
			for i := range summary {
				f := smallCluster(relays, backends, clients)
				if tc.change != nil {
					tc.change(&f)
				}
				f.NoLoadReports = i == 1
				res[i] = runCluster(t, Options{Duration: 20 * time.Second, Fleet: f, Faults: tc.script, Seed: 2})
				summary[i] = loadstats.Summarize(res[i].Evenness, tc.from)
			}
			t.Logf("deviation %.3f, without load reports %.3f, with hashing %.3f; lowest load over mean %.2f and %.2f, highest %.2f and %.2f", summary[0].Variation, summary[1].Variation,
				summary[0].HashingVariation, summary[0].LowestOverMean, summary[1].LowestOverMean, summary[0].MaxOverMean, summary[1].MaxOverMean)
			if summary[0].Variation > tc.maxRatio*summary[1].Variation || summary[1].Variation < tc.minDeviation {
				t.Errorf("deviation %.3f, want at most %.2f of that without load reports; that is %.3f, want at least %.2f", summary[0].Variation, tc.maxRatio, summary[1].Variation, tc.minDeviation)
			}
			if summary[0].IdleSeconds > 0 {
				t.Errorf("backends are idle for %.1f s", summary[0].IdleSeconds)
			}
			if herd := loadstats.Summarize(res[0].Evenness, 0); herd.HerdRatio > 1.6*max(herd.HashingHerdRatio, 1) {
				t.Errorf("herd ratio %.2f, with hashing %.2f", herd.HerdRatio, herd.HashingHerdRatio)
			}
			if s := servedShare(res[0], 3, 20); s < 0.9 {
				t.Errorf("served share %.3f, want at least 0.9", s)
			}
		})
	}
}

// The links to the backends are so slow that a connection takes more than half of its class's latency objective, but less
// than the connect timeout. All backends are healthy, so few requests may be refused.
func TestCluster_LongLinkDelayCausesNoRefusals(t *testing.T) {
	t.Parallel()
	// A connection takes four times the delay: a round trip to connect, and one for the request and its answer.
	slowLink := &fault.Link{From: fault.NodeSet{Kind: fault.Relays}, To: fault.NodeSet{Kind: fault.Backends}, Bidirectional: true, Delay: 52 * time.Millisecond}
	fleet := smallCluster(10, 8, 120)
	fleet.SessionDurationRange = [2]time.Duration{time.Second, 3 * time.Second}
	res := runCluster(t, Options{Duration: 15 * time.Second, Fleet: fleet, Faults: []fault.Fault{{Kind: "link", Start: time.Second, Duration: 13 * time.Second, Link: slowLink}}})
	t.Logf("%d served, %d refused, %d failed", res.Counts["served"], res.Counts["refused"], res.Counts["failed"])
	if served, refused := res.Counts["served"], res.Counts["refused"]; served < 500 || 2*refused > served {
		t.Errorf("%d refused and %d served though all backends are healthy, want at least 500 served and at most half as many refused", refused, served)
	}
}

// A backend that fails requests immediately has no load and reports so. It must not attract a larger share of
// requests.
func TestCluster_FastFailingBackendAttractsNoHerd(t *testing.T) {
	t.Parallel()
	res := runCluster(t, Options{Duration: 15 * time.Second, Fleet: smallCluster(40, 12, 360), Faults: []fault.Fault{
		{Kind: "backends failing fast", Start: 4 * time.Second, Duration: 10 * time.Second, Targets: []int{5}, Severity: 1}}})
	others := 0
	for i, n := range res.Attempts {
		if i != 5 {
			others += n
		}
	}
	t.Logf("attempts %v, connect latency %+v", res.Attempts, res.ConnectLatency)
	if n, meanOfOthers := float64(res.Attempts[5]), float64(others)/11; n > 2*meanOfOthers {
		t.Errorf("the failing backend got %v attempts, the others %.0f each", n, meanOfOthers)
	}
	if s := servedShare(res, 3, 15); s < 0.9 {
		t.Errorf("served share %.3f, want at least 0.9", s)
	}
}

// A quarter of the backends fails more than half of its requests. A non-idempotent request cannot be retried, and
// each of forty relays sees only a few failures of its own, so relays have to rely on the error rates that backends
// report. That includes a class whose timeout is no longer than the connect timeout.
func TestCluster_NonIdempotentRequestsAvoidFailingBackends(t *testing.T) {
	for _, tc := range []struct {
		name           string
		connectTimeout time.Duration
	}{{"default connect timeout", 0}, {"connect timeout as long as the client timeout", 3 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := smallCluster(40, 12, 360)
			f.SessionDurationRange, f.ConnectTimeout = [2]time.Duration{2 * time.Second, 6 * time.Second}, tc.connectTimeout
			res := runCluster(t, Options{Duration: 20 * time.Second, Fleet: f, Faults: []fault.Fault{
				{Kind: "backends failing fast", Start: 4 * time.Second, Duration: 14 * time.Second, Targets: []int{2, 5, 9}, Severity: 0.3}}})
			failed, requests, errs := res.Counts["failed submit"], res.Counts["request submit"], res.Counts["backend said ERR"]
			t.Logf("%d of %d non-idempotent requests failed, %d errors in total, attempts %v", failed, requests, errs, res.Attempts)
			if requests < 300 || errs < 50 {
				t.Errorf("%d requests and %d errors, want at least 300 and 50", requests, errs)
			}
			if 13*failed > requests {
				t.Errorf("%d of %d non-idempotent requests failed, want at most 1 in 13", failed, requests)
			}
		})
	}
}
