package balance

import (
	"testing"
	"time"
)

// A single failure ejects a backend, since it may be all that a relay sees of the backend in a minute. At most a
// third of the backends are ejected.
func TestOutlier_OneFailureEjectsUpToAThirdOfBackends(t *testing.T) {
	balancer, _ := newTestBalancer(t, defaultSettings(), 9)
	for _, target := range balancer.endpoints.ready {
		balancer.ejectOnFailure(2*sec, target, StatusError)
	}
	ejected := 0
	for _, target := range balancer.endpoints.ready {
		if target.ejection.until > 2*sec {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 9 ejected, want 3", ejected)
	}
}

// A client that was migrated off a slow backend would be sent back to it by every relay in turn, as none of them
// has connections there. Reconnecting clients therefore bypass some backends of a kind that is often late.
func TestOutlier_ReconnectingClientsBypassLateKinds(t *testing.T) {
	countSameKind := func(reconnecting bool, lateSeconds int) int {
		list := readyBackends(20)
		for i := range list {
			list[i].Kind = i % 2
		}
		n := 0
		for seed := uint64(1); seed <= 200; seed++ {
			rec := &recorder{}
			balancer := New(sec, seed, defaultSettings(), rec)
			balancer.EndpointsUpdated(sec, UpdateCached, list)
			mustSend(t, balancer, rec, sec, Request{ID: 1, Key: seed})
			slow := balancer.requests[1].backend
			balancer.AttemptSucceeded(sec, AttemptResult{ID: 1})
			for now := 2 * sec; now < 32*sec; now += sec {
				if now < sec*time.Duration(2+lateSeconds) {
					balancer.LoadReported(now, 1, SignalMessageDelay, 21)
				}
				balancer.TimerFired(now, maintenanceTimer)
			}
			balancer.AttemptEnded(32*sec, AttemptResult{ID: 1, Backend: slow.ID, Status: StatusCancelled})
			balancer.TimerFired(43*sec, maintenanceTimer) // the backend's limit has expired, the lateness of its kind has not
			to := mustSend(t, balancer, rec, 43*sec, Request{ID: 2, Key: seed, Reconnecting: reconnecting})
			if balancer.endpoints.byID[to].Kind == slow.Kind {
				n++
			}
		}
		return n
	}
	if inTime, fresh, migrated := countSameKind(true, 0), countSameKind(false, 30), countSameKind(true, 30); inTime != 200 || fresh != 200 || migrated > 140 {
		t.Errorf("of 200 went to a backend of the same kind: %d where it was in time; where it was late, %d new and %d reconnecting clients", inTime, fresh, migrated)
	}
}

// A client does not return to the backend that has just reset its connection.
func TestOutlier_BackendThatResetsConnectionsIsEjected(t *testing.T) {
	balancer, rec := newTestBalancer(t, settingsWithoutMessageDelay(), 4)
	for id := BackendID(1); id <= 4; id++ {
		balancer.HealthCheckDone(sec, HealthCheckResult{Backend: id, Load: []float32{0.3}})
	}
	target := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 7})
	balancer.AttemptSucceeded(sec, AttemptResult{ID: 1, Backend: target})
	for id := uint64(2); id <= 3; id++ {
		for checked := BackendID(1); checked <= 4; checked++ {
			balancer.HealthCheckDone(sec, HealthCheckResult{Backend: checked, Load: []float32{0.3}})
		}
		if to := mustSend(t, balancer, rec, sec, Request{ID: id, Key: 7}); to != target {
			t.Fatalf("request %d went to backend %d, the others to %d", id, to, target)
		}
		balancer.AttemptSucceeded(sec, AttemptResult{ID: id, Backend: target})
	}
	for id := uint64(1); id <= 3; id++ {
		balancer.AttemptEnded(2*sec, AttemptResult{ID: id, Backend: target, Status: StatusReset, Closed: true})
	}
	if to := mustSend(t, balancer, rec, 2*sec+100*ms, Request{ID: 11, Key: 7}); to == target {
		t.Error("the client went back to the backend that had just reset its connection")
	}
}

// Three late answers to health checks in a row show that a backend is slow.
func TestOutlier_ThreeLateHealthChecksShowSlowBackend(t *testing.T) {
	for _, tc := range []struct {
		name         string
		messageDelay bool
		took         []time.Duration
		migrates     bool
	}{
		{"steady", false, []time.Duration{1000, 1100, 950, 1050, 1200, 1000}, false},
		{"late answers, but not in a row", false, []time.Duration{1000, 1000, 5000, 1000, 5000, 1000}, false},
		{"two late answers in a row", false, []time.Duration{1000, 1000, 5000, 5000, 1000}, false},
		{"slow", false, []time.Duration{1000, 1000, 1050, 1000, 1800, 1900, 1800}, true},
		{"the first answer is quick by chance", false, []time.Duration{1202, 1618, 1884, 1773, 1765}, false},
		{"quick network", false, []time.Duration{50, 50, 120, 130, 120, 140}, false},
		{"message delay is reported", true, []time.Duration{1000, 1000, 1050, 1000, 1800, 1900, 1800}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settings := settingsWithoutMessageDelay()
			settings.ReportsMessageDelay = tc.messageDelay
			balancer, rec := newTestBalancer(t, settings, 1)
			connectAfterReport(balancer, 10, 0.3)
			balancer.endpoints.byID[1].latency.baseline, balancer.endpoints.byID[1].latency.samples = 0, 0
			rec.clear()
			for i, took := range tc.took {
				balancer.HealthCheckDone(4*sec+time.Duration(i)*ms, HealthCheckResult{Backend: 1, Latency: took * time.Microsecond, Load: []float32{0.3}})
			}
			if migrates := len(rec.take(actionMigrate)); (migrates > 0) != tc.migrates {
				t.Errorf("%d migrations", migrates)
			}
		})
	}
}

// A migrated client that returns through another relay bypasses backends of a kind that is often late, but only
// a few. Otherwise the relay, which has no record of the backend that the client left, sends it there again:
// half of the migrations on busy days. Without health checks, only the kind of the backend shows its lateness.
func TestOutlier_ReconnectingClientBypassIsBounded(t *testing.T) {
	mostBypasses := func(checks bool) (most int) {
		settings := defaultSettings()
		settings.HealthChecks = checks
		for seed := uint64(1); seed <= 60; seed++ {
			rec := &recorder{}
			balancer := New(sec, seed, settings, rec)
			balancer.EndpointsUpdated(sec, UpdateCached, readyBackends(12))
			balancer.outliers.kinds[0] = &kindLateness{reports: 95, seconds: 95}
			balancer.RequestArrived(2*sec, Request{ID: 1, Key: seed, TimeLeft: sec, Reconnecting: true})
			most = max(most, balancer.requests[1].bypassCount)
		}
		return most
	}
	if with, without := mostBypasses(true), mostBypasses(false); with != 2 || without != 3 {
		t.Errorf("a request bypassed %d backends with health checks, %d without; want 2 and 3", with, without)
	}
}

// Where latencies scatter, three late answers in a row occur by chance, and often with many relays. They do not
// show that the backend is slow.
func TestOutlier_LatencyScatterIsNotLateness(t *testing.T) {
	for _, tc := range []struct {
		name    string
		scatter time.Duration
		slow    time.Duration // added to the second half of the answers
		found   bool
	}{{"steady", 20, 0, false}, {"scattering", 1200, 0, false}, {"steady, then slow", 20, 800, true}} {
		balancer, rec := newReportingBalancer(t, 1, 1, func(settings *Settings) { settings.ReportsMessageDelay = false })
		sendAfterChecks(t, balancer, rec, 4*sec, Request{ID: 1}, func(BackendID) float64 { return 0.3 })
		balancer.AttemptSucceeded(4*sec, AttemptResult{ID: 1, Backend: 1})
		balancer.endpoints.byID[1].latency.baseline, balancer.endpoints.byID[1].latency.samples, balancer.outliers.meanExcess, balancer.outliers.excessSamples = 0, 0, 0, 0
		found := false
		for i := range 600 {
			took := 500 + time.Duration(mixBits(uint64(i))%uint64(tc.scatter))
			if i > 300 {
				took += tc.slow
			}
			balancer.HealthCheckDone(5*sec+time.Duration(i)*200*ms, HealthCheckResult{Backend: 1, Latency: took * time.Microsecond, Load: []float32{0.3}})
			found = found || balancer.endpoints.byID[1].latency.consecutiveLate > 2
		}
		if found != tc.found {
			t.Errorf("%s: considered slow: %v", tc.name, found)
		}
	}
}

// If only failed requests showed that a backend fails, each of many relays would lose one there. A request that
// must not be repeated therefore bypasses a backend that reports errors and goes to the next in its rendezvous
// order. It bypasses two backends at most, so that it is still sent where all fail.
func TestOutlier_NonIdempotentBypassesBackendsReportingErrors(t *testing.T) {
	const n = 8
	for _, tc := range []struct {
		name        string
		idempotency Idempotency
		failing     int     // backends that report errors, from the first on
		errs        float32 // errors a second that they report
		least       int     // of 200 requests, sent to the failing backends
		most        int
	}{
		{"not idempotent", NonIdempotent, 2, 5, 0, 0},
		{"idempotent with key", IdempotentWithKey, 2, 5, 0, 0},
		{"idempotent", Idempotent, 2, 5, 30, 70},
		{"all report errors", NonIdempotent, n, 5, 200, 200},
		{"one in 25 attempts", NonIdempotent, 2, 1, 30, 70},
	} {
		balancer, rec := newReportingBalancer(t, n, 3, func(settings *Settings) {
			settings.ReportFields = []ReportField{FieldLoadShare, FieldErrors}
			settings.Classes[0].Idempotency, settings.Classes[0].DedupWindow = tc.idempotency, 5*sec
		})
		balancer.pacer.meanInterval = sec // 200 relays, eight backends: 25 attempts a second at each
		now, toFailing := 2*sec, 0
		for id := uint64(1); id <= 200; id++ {
			for checked := BackendID(1); checked <= n; checked++ {
				errs := float32(0)
				if int(checked) <= tc.failing {
					errs = tc.errs
				}
				balancer.HealthCheckDone(now-ms, HealthCheckResult{Backend: checked, Latency: ms, Load: []float32{0.3, errs}})
			}
			if to := mustSend(t, balancer, rec, now, Request{ID: id, Key: id * 77, TimeLeft: 2 * sec}); int(to) <= tc.failing {
				toFailing++
			}
			balancer.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
			balancer.pacer.meanInterval = sec
		}
		if toFailing < tc.least || toFailing > tc.most {
			t.Errorf("%s: %d of 200 went to backends that report errors", tc.name, toFailing)
		}
	}
}
