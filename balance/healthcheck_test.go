package balance

import (
	"slices"
	"testing"
	"time"
)

// With many relays, each has connections on few backends and does not see whether the others are full. It
// checks the health of such a backend before it sends a connection there.
func TestHealthCheck_UnknownBackendIsCheckedFirst(t *testing.T) {
	cases := []struct {
		name   string
		answer func(balancer *Balancer, id BackendID)
		placed bool
	}{
		{"room", func(balancer *Balancer, id BackendID) {
			balancer.HealthCheckDone(sec+10*ms, HealthCheckResult{Backend: id, Load: []float32{0.4}})
		}, true},
		{"full", func(balancer *Balancer, id BackendID) {
			balancer.HealthCheckDone(sec+10*ms, HealthCheckResult{Backend: id, Load: []float32{1.2}})
		}, false},
		{"connect failed", func(balancer *Balancer, id BackendID) {
			balancer.HealthCheckDone(sec+10*ms, HealthCheckResult{Backend: id, Status: StatusConnectFailed})
		}, false},
		{"silent", func(balancer *Balancer, id BackendID) { balancer.TimerFired(sec+125*ms, 1) }, false},
	}
	for _, c := range cases {
		balancer, rec := newUncheckedBalancer(t, 20)
		balancer.RequestArrived(sec, Request{ID: 1, Key: 1, Group: 7, TimeLeft: 2 * sec})
		first := rec.take(actionCheckHealth)
		if len(first) != 1 || len(rec.take(actionSend)) != 0 {
			t.Fatalf("%s: actions %v, want one health check and no attempt", c.name, rec.actions)
		}
		rec.clear()
		c.answer(balancer, first[0].to)
		sends, checks := rec.take(actionSend), rec.take(actionCheckHealth)
		if c.placed && (len(sends) != 1 || sends[0].to != first[0].to) {
			t.Errorf("%s: actions after the check %v, want an attempt at the backend", c.name, rec.actions)
		}
		if !c.placed && (len(sends) != 0 || len(checks) != 1 || checks[0].to == first[0].to) {
			t.Errorf("%s: actions after the check %v, want a check of another backend", c.name, rec.actions)
		}
	}
}

// The timeout of a health check covers the latency of the backend's zone. Backends in zones 20 ms away cannot
// answer within the 15 ms that a class with a latency objective of 60 ms waits, and each would count as full
// for two seconds, for all classes: 20,000 checks of 300 relays in a day. A late answer shows the latency of
// the zone; a backend that is silent for longer gets no request.
func TestHealthCheck_TimeoutCoversZoneLatency(t *testing.T) {
	// pendingCheck measures the latency of a zone by one late answer and returns while a check of another
	// backend in that zone is pending.
	pendingCheck := func() (balancer *Balancer, rec *recorder, now time.Duration, id uint64, to BackendID) {
		settings := manyRelaySettings()
		settings.Classes[0].LatencyObjective, settings.DialTimeout = 60*ms, 100*ms
		balancer, rec = newTestBalancer(t, settings, 20)
		measured := map[int]bool{}
		for now, id = sec, 1; ; now, id = now+3*sec, id+1 {
			rec.clear()
			balancer.RequestArrived(now, Request{ID: id, Key: id, Group: id, TimeLeft: 2 * sec})
			got := rec.take(actionCheckHealth)
			if len(got) != 1 {
				t.Fatalf("request %d: actions %v, want one health check", id, rec.actions)
			}
			if to = got[0].to; measured[balancer.endpoints.byID[to].Zone] {
				return balancer, rec, now, id, to
			}
			balancer.TimerFired(now+15*ms, id)
			for _, late := range rec.take(actionCheckHealth) {
				measured[balancer.endpoints.byID[late.to].Zone] = true
				balancer.HealthCheckDone(now+40*ms, HealthCheckResult{Backend: late.to, Latency: 40 * ms, Load: []float32{0.4}})
			}
		}
	}
	balancer, rec, now, id, to := pendingCheck()
	rec.clear()
	balancer.TimerFired(now+15*ms, id)
	if len(rec.actions) != 0 {
		t.Errorf("the check timed out before the backend could answer: %v", rec.actions)
	}
	balancer.HealthCheckDone(now+40*ms, HealthCheckResult{Backend: to, Latency: 40 * ms, Load: []float32{0.4}})
	if got := rec.take(actionSend); len(got) != 1 || got[0].to != to {
		t.Errorf("actions after an answer in time %v, want an attempt at the backend", rec.actions)
	}
	balancer, _, now, id, to = pendingCheck()
	if balancer.TimerFired(now+80*ms, id); !balancer.Unavailable(now+80*ms, to) {
		t.Error("a backend that is silent for twice the latency of its zone still gets requests")
	}
	balancer, rec, now, id, to = pendingCheck() // a check ends even if the latency of the zone grows meanwhile
	timers := rec.take(actionTimer)
	other := slices.IndexFunc(balancer.endpoints.ready, func(target *backend) bool { return target.ID != to && target.Zone == balancer.endpoints.byID[to].Zone })
	balancer.HealthCheckDone(now+10*ms, HealthCheckResult{Backend: balancer.endpoints.ready[other].ID, Latency: 300 * ms, Load: []float32{0.4}})
	if deadline := now + timers[0].delay; deadline > now+100*ms {
		t.Errorf("the request waits for %v", timers[0].delay)
	} else if balancer.TimerFired(deadline, id); !balancer.Unavailable(deadline, to) {
		t.Error("the check does not end after the latency of the zone has grown")
	}
}

// After a backend is lost, the clients of all relays reconnect within a second, and load reports are as old as
// that. If each relay sent one client to the same backend that reports room, the backend would go from half
// full to twice its load.
func TestHealthCheck_RelaysShareReportedRoomAmongReconnectingClients(t *testing.T) {
	const start = sec
	countSent := func(reconnecting bool, afterLoss time.Duration, conns uint64, utilization float32) int {
		n, now := 0, start+afterLoss
		for relay := range 80 {
			settings := defaultSettings()
			settings.RelayCount, settings.Groups, settings.HealthChecks, settings.ReportFields = 80, true, true, []ReportField{FieldLoadShare}
			rec := &recorder{}
			balancer := New(start, uint64(relay), settings, rec)
			balancer.EndpointsUpdated(start, UpdateCached, readyBackends(11))
			balancer.EndpointsUpdated(start, UpdateDelta, []Backend{{ID: 11, State: StateRemoved}})
			ready := balancer.endpoints.ready
			for i := range conns { // spread over all backends but the checked one
				req := balancer.newRequest(now, Request{ID: 100 + i, Group: 100 + i})
				balancer.attach(req, ready[1+i%9])
			}
			for i := range 64 {
				balancer.HealthCheckDone(now, HealthCheckResult{Backend: ready[1+i%9].ID, Load: []float32{0.5}})
			}
			group := uint64(1)
			for balancer.rendezvous.first(mixBits(group), func(*backend) bool { return true }) != ready[0] {
				group++
			}
			balancer.RequestArrived(now, Request{ID: 1, Group: group, TimeLeft: 2 * sec, Reconnecting: reconnecting})
			rec.clear()
			balancer.HealthCheckDone(now+ms, HealthCheckResult{Backend: ready[0].ID, Load: []float32{utilization}})
			for _, a := range rec.take(actionSend) {
				if a.to == ready[0].ID {
					n++
				}
			}
		}
		return n
	}
	if n := countSent(true, 0, 3, 0.65); n < 5 || n > 60 {
		t.Errorf("80 relays with 3 connections each sent %d reconnecting clients to a backend at 65%%", n)
	}
	if full, empty := countSent(true, 0, 3, 0.7), countSent(true, 0, 3, 0.6); full >= empty {
		t.Errorf("%d go to a backend at 70%%, %d to one at 60%%", full, empty)
	}
	if n := countSent(true, 0, 90, 0.65); n != 80 {
		t.Errorf("only %d of 80 relays with ten connections on each backend sent a client to one at 65%%", n)
	}
	if n := countSent(false, 0, 3, 0.65); n != 80 {
		t.Errorf("only %d of 80 new clients went to a backend with room", n)
	}
	// Where relays died and no backend was lost, the reconnecting clients have left as much room as they take.
	if n := countSent(true, backupLifetime, 3, 0.65); n != 80 {
		t.Errorf("%d of 80 reconnecting clients long after the last loss went to a backend with room", n)
	}
}

// A request waits for a limited number of health checks, and is answered in time when all backends are silent.
func TestHealthCheck_ChecksPerRequestAreBounded(t *testing.T) {
	balancer, rec := newUncheckedBalancer(t, 20)
	balancer.RequestArrived(sec, Request{ID: 1, Key: 1, Group: 7, TimeLeft: 2 * sec})
	for now := sec; now < 3*sec; now += 125 * ms {
		balancer.TimerFired(now, 1)
	}
	if n := len(rec.take(actionCheckHealth)); n > 2*maxGroupSpread {
		t.Errorf("%d health checks for one request", n)
	}
	if len(rec.take(actionSend))+len(rec.take(actionReject)) != 1 {
		t.Errorf("actions %v, want one attempt or one rejection", rec.actions)
	}
}

// A relay with few connections on a backend with a concurrency limit checks it seldom: the checks of all relays
// together would cost the backend more than they bring.
func TestHealthCheck_PeriodicChecksScaleWithConnections(t *testing.T) {
	checks := func(conns uint64) int {
		balancer, rec := newUncheckedBalancer(t, 1)
		balancer.endpoints.ready[0].health.lastResultAt = sec
		for id := uint64(1); id <= conns; id++ {
			mustSend(t, balancer, rec, sec, Request{ID: id, Key: 1, Group: 7})
			balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
		rec.clear()
		for now := 2 * sec; now < 102*sec; now += sec {
			balancer.endpoints.ready[0].concurrency.limit, balancer.endpoints.ready[0].health.checkPending = 1000, false
			balancer.TimerFired(now, maintenanceTimer)
		}
		return len(rec.take(actionCheckHealth))
	}
	if one, many := checks(1), checks(8); one < 10 || one > 40 || many != 100 {
		t.Errorf("%d checks in 100 s with one connection, %d with eight", one, many)
	}
}

// Without reports of message delay, a relay with a connection or two on a backend checks it every few seconds,
// one with many every second.
func TestHealthCheck_PeriodicChecksReplaceMessageDelayReports(t *testing.T) {
	for _, messageDelay := range []bool{true, false} {
		for _, tc := range []struct{ conns, least, most int }{{1, 4, 20}, {2, 10, 32}, {16, 40, 40}} {
			settings := settingsWithoutMessageDelay()
			settings.ReportsMessageDelay = messageDelay
			balancer, rec := newTestBalancer(t, settings, 1)
			connectAfterReport(balancer, tc.conns, 0.3)
			checks := 0
			for seconds := 1; seconds <= 40; seconds++ {
				rec.clear()
				now := sec + time.Duration(seconds)*sec
				balancer.TimerFired(now, maintenanceTimer)
				checks += len(rec.take(actionCheckHealth))
				balancer.HealthCheckDone(now, HealthCheckResult{Backend: 1, Load: []float32{0.3}})
			}
			if messageDelay && checks != 0 || !messageDelay && (checks < tc.least || checks > tc.most) {
				t.Errorf("reports of message delay %v: %d checks in 40 s for %d connections", messageDelay, checks, tc.conns)
			}
		}
	}
}

// Without a latency objective for messages, no answer to a health check counts as late for missing it. Otherwise
// each backend would count as full for two seconds after every check.
func TestHealthCheck_AnswersAreNotLateWithoutMessageObjective(t *testing.T) {
	settings := defaultSettings()
	for i := range settings.Classes {
		settings.Classes[i].MessageLatencyObjective = 0
	}
	settings.HealthChecks, settings.ReportFields, settings.ReportsMessageDelay = true, nil, false
	balancer, rec := newTestBalancer(t, settings, 3)
	balancer.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 2 * sec})
	checked := rec.take(actionCheckHealth)
	if len(checked) != 1 {
		t.Fatalf("actions %v, want one health check", rec.actions)
	}
	rec.clear()
	balancer.HealthCheckDone(sec+5*ms, HealthCheckResult{Backend: checked[0].to, Status: StatusOK, Latency: 5 * ms})
	if got := rec.take(actionSend); len(got) != 1 || got[0].to != checked[0].to {
		t.Errorf("actions after an answer in 5 ms: %v", rec.actions)
	}
}

// A request whose timeout is too short for a health check does not wait for one.
func TestHealthCheck_SkippedWhenRequestTimeoutIsShort(t *testing.T) {
	settings := defaultSettings()
	settings.HealthChecks, settings.DialTimeout = true, 20*ms
	for total, want := range map[time.Duration]int{0: 1, 80 * ms: 0, sec: 1} {
		balancer, rec := newTestBalancer(t, settings, 3)
		balancer.RequestArrived(10*sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{RequestTimeout: total}})
		if checks, sends := len(rec.take(actionCheckHealth)), len(rec.take(actionSend)); checks != want || sends != 1-want {
			t.Errorf("a request timeout of %v: %d checks, %d sent", total, checks, sends)
		}
	}
}

// A request waits for a health check even if its timeout is no longer than the dial timeout, since an answer
// takes only a part of its latency objective. Without the check, requests would go to backends that fail or
// are full, and those that must not be repeated would be lost.
func TestHealthCheck_ShortTimeoutClassStillChecksFirst(t *testing.T) {
	const n = 8
	for _, tc := range []struct {
		name    string
		left    time.Duration
		checked bool
	}{{"no longer than the dial timeout", 240 * ms, true}, {"no longer than two health checks", 48 * ms, false}} {
		balancer, rec := newReportingBalancer(t, n, 3, func(settings *Settings) {
			settings.ReportFields = []ReportField{FieldLoadShare, FieldErrors}
			settings.Classes[1].LatencyObjective, settings.Classes[1].ClientTimeout = 100*ms, 240*ms
		})
		failing, checks := 0, 0
		for id := uint64(1); id <= 200; id++ {
			now := 10*sec + time.Duration(id)*3*sec // the last report is too old to count
			balancer.pacer.meanInterval = sec
			rec.clear()
			balancer.RequestArrived(now, Request{ID: id, Key: id * 77, Class: 1, TimeLeft: tc.left})
			for len(rec.take(actionSend)) == 0 {
				pending := rec.take(actionCheckHealth)
				if len(pending) == 0 {
					t.Fatalf("%s: request %d is neither sent nor waits for a health check: %v", tc.name, id, rec.actions)
				}
				rec.clear()
				for _, check := range pending {
					checks++
					errs := float32(0)
					if check.to <= 2 {
						errs = 5
					}
					balancer.HealthCheckDone(now+ms, HealthCheckResult{Backend: check.to, Latency: ms, Load: []float32{0.3, errs}})
				}
			}
			if rec.take(actionSend)[0].to <= 2 {
				failing++
			}
			balancer.AttemptEnded(now+2*ms, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
		}
		if tc.checked != (checks >= 200) || tc.checked != (failing == 0) {
			t.Errorf("%s: %d checks, %d of 200 went to backends that fail", tc.name, checks, failing)
		}
	}
}
