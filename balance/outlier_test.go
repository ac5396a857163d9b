package balance

import (
	"testing"
	"time"
)

// One failure may be all that a relay sees of a backend in a minute.
func TestOutlier_OneFailureEjectsUpToAThirdOfBackends(t *testing.T) {
	b, _ := newTestBalancer(t, defaultSettings(), 9)
	for _, s := range b.endpoints.ready {
		b.ejectOnFailure(2*sec, s, StatusError)
	}
	out := 0
	for _, s := range b.endpoints.ready {
		if s.ejection.until > 2*sec {
			out++
		}
	}
	if out != 3 {
		t.Errorf("%d of 9 ejected, want 3", out)
	}
}

// A client migrated off a weak backend would be sent back to it by every relay in turn, as none of them has
// connections there.
func TestOutlier_ReconnectingClientsBypassLateKinds(t *testing.T) {
	atWeak := func(back bool, late int) int {
		list := readyBackends(20)
		for i := range list {
			list[i].Kind = i % 2
		}
		n := 0
		for seed := uint64(1); seed <= 200; seed++ {
			r := &recorder{}
			b := New(sec, seed, defaultSettings(), r)
			b.EndpointsUpdated(sec, UpdateCached, list)
			mustSend(t, b, r, sec, Request{ID: 1, Key: seed})
			weak := b.requests[1].backend
			b.AttemptSucceeded(sec, AttemptResult{ID: 1})
			for now := 2 * sec; now < 32*sec; now += sec {
				if now < sec*time.Duration(2+late) {
					b.LoadReported(now, 1, SignalMessageDelay, 21)
				}
				b.TimerFired(now, maintenanceTimer)
			}
			b.AttemptEnded(32*sec, AttemptResult{ID: 1, Backend: weak.ID, Status: StatusCancelled})
			b.TimerFired(43*sec, maintenanceTimer) // its limit is forgotten, the lateness of its kind is not
			to := mustSend(t, b, r, 43*sec, Request{ID: 2, Key: seed, Reconnecting: back})
			if b.endpoints.byID[to].Kind == weak.Kind {
				n++
			}
		}
		return n
	}
	if calm, fresh, migrated := atWeak(true, 0), atWeak(false, 30), atWeak(true, 30); calm != 200 || fresh != 200 || migrated > 140 {
		t.Errorf("of 200 stayed with the kind: %d of one that was in time, %d new clients, %d reconnecting", calm, fresh, migrated)
	}
}

// A client does not return to the backend that has just reset its connection.
func TestOutlier_BackendThatResetsConnectionsIsEjected(t *testing.T) {
	b, r := newTestBalancer(t, settingsWithoutMessageDelay(), 4)
	for id := BackendID(1); id <= 4; id++ {
		b.HealthCheckDone(sec, HealthCheckResult{Backend: id, Load: []float32{0.3}})
	}
	target := mustSend(t, b, r, sec, Request{ID: 1, Key: 7})
	b.AttemptSucceeded(sec, AttemptResult{ID: 1, Backend: target})
	for id := uint64(2); id <= 3; id++ {
		for s := BackendID(1); s <= 4; s++ {
			b.HealthCheckDone(sec, HealthCheckResult{Backend: s, Load: []float32{0.3}})
		}
		if to := mustSend(t, b, r, sec, Request{ID: id, Key: 7}); to != target {
			t.Fatalf("request %d at %d, the others at %d", id, to, target)
		}
		b.AttemptSucceeded(sec, AttemptResult{ID: id, Backend: target})
	}
	for id := uint64(1); id <= 3; id++ {
		b.AttemptEnded(2*sec, AttemptResult{ID: id, Backend: target, Status: StatusReset, Closed: true})
	}
	if to := mustSend(t, b, r, 2*sec+100*ms, Request{ID: 11, Key: 7}); to == target {
		t.Error("the client went back to the backend that had just dropped it")
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
		{"one stray", false, []time.Duration{1000, 1000, 5000, 1000, 5000, 1000}, false},
		{"two strays", false, []time.Duration{1000, 1000, 5000, 5000, 1000}, false},
		{"slow", false, []time.Duration{1000, 1000, 1050, 1000, 1800, 1900, 1800}, true},
		{"the first ones happen to be quick", false, []time.Duration{1202, 1618, 1884, 1773, 1765}, false},
		{"quick network", false, []time.Duration{50, 50, 120, 130, 120, 140}, false},
		{"message delay is reported", true, []time.Duration{1000, 1000, 1050, 1000, 1800, 1900, 1800}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := settingsWithoutMessageDelay()
			s.ReportsMessageDelay = tc.messageDelay
			b, r := newTestBalancer(t, s, 1)
			connectAfterReport(b, 10, 0.3)
			b.endpoints.byID[1].latency.baseline, b.endpoints.byID[1].latency.samples = 0, 0
			r.clear()
			for i, took := range tc.took {
				b.HealthCheckDone(4*sec+time.Duration(i)*ms, HealthCheckResult{Backend: 1, Latency: took * time.Microsecond, Load: []float32{0.3}})
			}
			if migrates := len(r.take(actionMigrate)); (migrates > 0) != tc.migrates {
				t.Errorf("%d migrations", migrates)
			}
		})
	}
}

// A migrated client came back through another relay, which knew nothing of the backend that it had left
// and sent it there again: half of the migrations on busy days. Without health checks the kind of the
// backend alone shows it.
func TestOutlier_ReconnectingClientBypassIsBounded(t *testing.T) {
	passed := func(checks bool) (most int) {
		s := defaultSettings()
		s.HealthChecks = checks
		for seed := uint64(1); seed <= 60; seed++ {
			r := &recorder{}
			b := New(sec, seed, s, r)
			b.EndpointsUpdated(sec, UpdateCached, readyBackends(12))
			b.outliers.kinds[0] = &kindLateness{late: 95, seconds: 95}
			b.RequestArrived(2*sec, Request{ID: 1, Key: seed, TimeLeft: sec, Reconnecting: true})
			most = max(most, b.requests[1].bypassCount)
		}
		return most
	}
	if with, without := passed(true), passed(false); with != 2 || without != 3 {
		t.Errorf("passed by %d backends with health checks, %d without; want 2 and 3", with, without)
	}
}

// Answers that scatter make three late ones in a row by chance, again and again with many relays.
func TestOutlier_LatencyScatterIsNotLateness(t *testing.T) {
	for _, tc := range []struct {
		name    string
		scatter time.Duration
		slow    time.Duration // from half of the answers on
		found   bool
	}{{"steady", 20, 0, false}, {"scattering", 1200, 0, false}, {"steady, then slow", 20, 800, true}} {
		b, r := newReportingBalancer(t, 1, 1, func(s *Settings) { s.ReportsMessageDelay = false })
		sendAfterChecks(t, b, r, 4*sec, Request{ID: 1}, func(BackendID) float64 { return 0.3 })
		b.AttemptSucceeded(4*sec, AttemptResult{ID: 1, Backend: 1})
		b.endpoints.byID[1].latency.baseline, b.endpoints.byID[1].latency.samples, b.outliers.latencyScatter, b.outliers.scatterSamples = 0, 0, 0, 0
		found := false
		for i := range 600 {
			took := 500 + time.Duration(mixBits(uint64(i))%uint64(tc.scatter))
			if i > 300 {
				took += tc.slow
			}
			b.HealthCheckDone(5*sec+time.Duration(i)*200*ms, HealthCheckResult{Backend: 1, Latency: took * time.Microsecond, Load: []float32{0.3}})
			found = found || b.endpoints.byID[1].latency.consecutiveLate > 2
		}
		if found != tc.found {
			t.Errorf("%s: considered slow: %v", tc.name, found)
		}
	}
}

// A backend that reports errors is found by each of many relays with a request of its own. One that must
// not be repeated is lost by that, so it goes to the next of its order. Two at most are passed by: where
// all fail it still goes somewhere.
func TestOutlier_NonIdempotentBypassesBackendsReportingErrors(t *testing.T) {
	const n = 8
	for _, tc := range []struct {
		name        string
		idempotency Idempotency
		failing     int     // backends that report errors, from the first on
		errs        float32 // so many a second
		least       int     // of 200 requests at the failing ones
		most        int
	}{
		{"not idempotent", NonIdempotent, 2, 5, 0, 0},
		{"idempotent with key", IdempotentWithKey, 2, 5, 0, 0},
		{"idempotent goes there", Idempotent, 2, 5, 30, 70},
		{"all report errors", NonIdempotent, n, 5, 200, 200},
		{"one in 25 attempts", NonIdempotent, 2, 1, 30, 70},
	} {
		b, r := newReportingBalancer(t, n, 3, func(s *Settings) {
			s.ReportFields = []ReportField{FieldLoadShare, FieldErrors}
			s.Classes[0].Idempotency, s.Classes[0].DedupWindow = tc.idempotency, 5*sec
		})
		b.pacer.usualInterval = sec // 200 relays, eight backends: 25 attempts a second at each
		now, at := 2*sec, 0
		for id := uint64(1); id <= 200; id++ {
			for s := BackendID(1); s <= n; s++ {
				errs := float32(0)
				if int(s) <= tc.failing {
					errs = tc.errs
				}
				b.HealthCheckDone(now-ms, HealthCheckResult{Backend: s, Latency: ms, Load: []float32{0.3, errs}})
			}
			if to := mustSend(t, b, r, now, Request{ID: id, Key: id * 77, TimeLeft: 2 * sec}); int(to) <= tc.failing {
				at++
			}
			b.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
			b.pacer.usualInterval = sec
		}
		if at < tc.least || at > tc.most {
			t.Errorf("%s: %d of 200 went to backends that report errors", tc.name, at)
		}
	}
}
