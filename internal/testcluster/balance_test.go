package testcluster

import (
	"testing"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/simulation"
)

// Each case runs twice on the same seed: once as configured, and once with backends that report no load, so that a
// relay knows only the load it placed itself. The first run has to be much more even; the second shows that the case
// is hard.
func TestCluster_BalancesLoadAcrossRelays(t *testing.T) {
	const relays, backends, clients = 40, 12, 360
	half := make([]int, relays/2)
	for i := range half {
		half[i] = i
	}
	for _, tc := range []struct {
		name   string
		change func(f *simulation.Installation)
		script []fault.Fault
		from   int     // first second measured
		most   float64 // ratio of the deviation to that without reports, at most
		hard   float64 // deviation without reports, at least
	}{
		{name: "all relays start in one second", from: 8, most: 0.75, hard: 0.12},
		{name: "all reports are of the same moment", from: 8, most: 0.85, hard: 0.12, change: func(f *simulation.Installation) { f.Server.ReportInterval = 3 * time.Second }},
		{name: "one relay has a fifth of the traffic", from: 8, most: 0.75, hard: 0.12, change: func(f *simulation.Installation) { f.HotRelayShare = 0.2 }},
		{name: "one key has a fifth of the traffic", from: 8, most: 0.5, hard: 0.4, change: func(f *simulation.Installation) { f.HotKeyShare = 0.2 }},
		{name: "half of the relays die, their clients return at once", from: 10, most: 0.8, hard: 0.12,
			script: []fault.Fault{{Kind: "relays die together", Start: 8 * time.Second, Duration: 4 * time.Second, Targets: half}}},
		{name: "sizes of one and three that no list tells", from: 8, most: 0.6, hard: 0.3, change: func(f *simulation.Installation) { f.BackendSizes = []float64{0.5, 1.5} }},
		{name: "half of the reports late", from: 8, most: 0.8, hard: 0.12, change: func(f *simulation.Installation) { f.LateReportShare, f.LateReportDelay = 0.5, 2*time.Second }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var e [2]loadstats.Summary
			var res [2]Result
			for i := range e {
				f := smallCluster(relays, backends, clients)
				if tc.change != nil {
					tc.change(&f)
				}
				f.NoLoadReports = i == 1
				res[i] = runCluster(t, Options{Duration: 20 * time.Second, Fleet: f, Faults: tc.script, Seed: 2})
				e[i] = loadstats.Summarize(res[i].Evenness, tc.from)
			}
			t.Logf("deviation %.3f, %.3f without reports, hashing %.3f; least %.2f and %.2f, most %.2f and %.2f", e[0].Variation, e[1].Variation,
				e[0].HashingVariation, e[0].LowestOverMean, e[1].LowestOverMean, e[0].MaxOverMean, e[1].MaxOverMean)
			if e[0].Variation > tc.most*e[1].Variation || e[1].Variation < tc.hard {
				t.Errorf("deviation %.3f, without reports %.3f", e[0].Variation, e[1].Variation)
			}
			if e[0].IdleSeconds > 0 {
				t.Errorf("backends are idle for %.1f s", e[0].IdleSeconds)
			}
			if herd := loadstats.Summarize(res[0].Evenness, 0); herd.HerdRatio > 1.6*max(herd.HashingHerdRatio, 1) {
				t.Errorf("a herd of %.2f times its part, hashing makes %.2f", herd.HerdRatio, herd.HashingHerdRatio)
			}
			if s := servedShare(res[0], 3, 20); s < 0.9 {
				t.Errorf("service %.3f", s)
			}
		})
	}
}

// The backends are so far away that a connection takes more than half of its class's latency objective, though less
// than the connect timeout. Nothing is wrong with any backend, so few requests may be refused.
func TestCluster_LongLinkDelayCausesNoRefusals(t *testing.T) {
	t.Parallel()
	// A connection takes four times the delay: a round trip to connect, and one for the request and its answer.
	far := &fault.Link{From: fault.NodeSet{Kind: fault.Relays}, To: fault.NodeSet{Kind: fault.Backends}, Bidirectional: true, Delay: 52 * time.Millisecond}
	fleet := smallCluster(10, 8, 120)
	fleet.SessionDurationRange = [2]time.Duration{time.Second, 3 * time.Second}
	res := runCluster(t, Options{Duration: 15 * time.Second, Fleet: fleet, Faults: []fault.Fault{{Kind: "link", Start: time.Second, Duration: 13 * time.Second, Link: far}}})
	t.Logf("%d served, %d refused, %d failed", res.Counts["served"], res.Counts["refused"], res.Counts["failed"])
	if served, refused := res.Counts["served"], res.Counts["refused"]; served < 500 || 2*refused > served {
		t.Errorf("%d refused beside %d served, though all backends are well", refused, served)
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
	t.Logf("attempts %v, waits %+v", res.Attempts, res.ConnectLatency)
	if n, part := float64(res.Attempts[5]), float64(others)/11; n > 2*part {
		t.Errorf("the broken one got %v attempts, the others %.0f each", n, part)
	}
	if s := servedShare(res, 3, 15); s < 0.9 {
		t.Errorf("service %.3f", s)
	}
}

// A quarter of the backends fails more than half of its requests. A non-idempotent request cannot be retried, and
// each of forty relays sees only a few failures of its own, so relays have to rely on the error rates that backends
// report. That includes a class whose timeout is no longer than the connect timeout.
func TestCluster_NonIdempotentRequestsAvoidFailingBackends(t *testing.T) {
	for _, tc := range []struct {
		name    string
		connect time.Duration
	}{{"as usual", 0}, {"a connection may take as long as the class waits", 3 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := smallCluster(40, 12, 360)
			f.SessionDurationRange, f.ConnectTimeout = [2]time.Duration{2 * time.Second, 6 * time.Second}, tc.connect
			res := runCluster(t, Options{Duration: 20 * time.Second, Fleet: f, Faults: []fault.Fault{
				{Kind: "backends failing fast", Start: 4 * time.Second, Duration: 14 * time.Second, Targets: []int{2, 5, 9}, Severity: 0.3}}})
			lost, asked, errs := res.Counts["failed submit"], res.Counts["request submit"], res.Counts["backend said ERR"]
			t.Logf("%d of %d that may not be repeated failed, %d errors in all, attempts %v", lost, asked, errs, res.Attempts)
			if asked < 300 || errs < 50 {
				t.Errorf("%d requests, %d errors: the case is not hard", asked, errs)
			}
			if 13*lost > asked {
				t.Errorf("%d of %d requests that may not be repeated failed", lost, asked)
			}
		})
	}
}
