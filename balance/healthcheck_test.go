package balance

import (
	"slices"
	"testing"
	"time"
)

// With many relays, each holds connections on few backends. The others may be full without a sign of it,
// so one is checked before it gets a connection.
func TestHealthCheck_UnknownBackendIsCheckedFirst(t *testing.T) {
	cases := []struct {
		name   string
		answer func(b *Balancer, id BackendID)
		placed bool
	}{
		{"room", func(b *Balancer, id BackendID) {
			b.HealthCheckDone(sec+10*ms, HealthCheckResult{Backend: id, Load: []float32{0.4}})
		}, true},
		{"full", func(b *Balancer, id BackendID) {
			b.HealthCheckDone(sec+10*ms, HealthCheckResult{Backend: id, Load: []float32{1.2}})
		}, false},
		{"dead", func(b *Balancer, id BackendID) {
			b.HealthCheckDone(sec+10*ms, HealthCheckResult{Backend: id, Status: StatusConnectFailed})
		}, false},
		{"silent", func(b *Balancer, id BackendID) { b.TimerFired(sec+125*ms, 1) }, false},
	}
	for _, c := range cases {
		b, r := newUncheckedBalancer(t, 20)
		b.RequestArrived(sec, Request{ID: 1, Key: 1, Group: 7, TimeLeft: 2 * sec})
		first := r.take(actionCheckHealth)
		if len(first) != 1 || len(r.take(actionSend)) != 0 {
			t.Fatalf("%s: the relay did %v", c.name, r.actions)
		}
		r.clear()
		c.answer(b, first[0].to)
		sends, checks := r.take(actionSend), r.take(actionCheckHealth)
		if c.placed && (len(sends) != 1 || sends[0].to != first[0].to) {
			t.Errorf("%s: %v", c.name, r.actions)
		}
		if !c.placed && (len(sends) != 0 || len(checks) != 1 || checks[0].to == first[0].to) {
			t.Errorf("%s: %v", c.name, r.actions)
		}
	}
}

// Backends of other zones, 20 ms away, could not answer within the 15 ms that a class with a latency
// objective of 60 ms waited. Each counted as full for two seconds, for all classes: 20,000 checks of 300
// relays in a day. A late answer shows the latency of the zone; a backend that is silent beyond it is
// passed by as before.
func TestHealthCheck_TimeoutCoversZoneLatency(t *testing.T) {
	// pendingCheck learns the latency of a zone by one late answer, and then has a check of another
	// backend there pending.
	pendingCheck := func() (b *Balancer, r *recorder, now time.Duration, id uint64, to BackendID) {
		s := manyRelaySettings()
		s.Classes[0].LatencyObjective, s.DialTimeout = 60*ms, 100*ms
		b, r = newTestBalancer(t, s, 20)
		learned := map[int]bool{}
		for now, id = sec, 1; ; now, id = now+3*sec, id+1 {
			r.clear()
			b.RequestArrived(now, Request{ID: id, Key: id, Group: id, TimeLeft: 2 * sec})
			got := r.take(actionCheckHealth)
			if len(got) != 1 {
				t.Fatalf("request %d: %v", id, r.actions)
			}
			if to = got[0].to; learned[b.endpoints.byID[to].Zone] {
				return b, r, now, id, to
			}
			b.TimerFired(now+15*ms, id)
			for _, late := range r.take(actionCheckHealth) {
				learned[b.endpoints.byID[late.to].Zone] = true
				b.HealthCheckDone(now+40*ms, HealthCheckResult{Backend: late.to, Latency: 40 * ms, Load: []float32{0.4}})
			}
		}
	}
	b, r, now, id, to := pendingCheck()
	r.clear()
	b.TimerFired(now+15*ms, id)
	if len(r.actions) != 0 {
		t.Errorf("given up on before it can have answered: %v", r.actions)
	}
	b.HealthCheckDone(now+40*ms, HealthCheckResult{Backend: to, Latency: 40 * ms, Load: []float32{0.4}})
	if got := r.take(actionSend); len(got) != 1 || got[0].to != to {
		t.Errorf("its answer came in time: %v", r.actions)
	}
	b, _, now, id, to = pendingCheck()
	if b.TimerFired(now+80*ms, id); !b.Unavailable(now+80*ms, to) {
		t.Error("one that is silent for twice the latency of its zone is not passed by")
	}
	b, r, now, id, to = pendingCheck() // a latency that grows meanwhile leaves no check without an end
	waits := r.take(actionTimer)
	other := slices.IndexFunc(b.endpoints.ready, func(o *backend) bool { return o.ID != to && o.Zone == b.endpoints.byID[to].Zone })
	b.HealthCheckDone(now+10*ms, HealthCheckResult{Backend: b.endpoints.ready[other].ID, Latency: 300 * ms, Load: []float32{0.4}})
	if by := now + waits[0].delay; by > now+100*ms {
		t.Errorf("waits for %v", waits[0].delay)
	} else if b.TimerFired(by, id); !b.Unavailable(by, to) {
		t.Error("a check is left without an end since the latency has grown")
	}
}

// After a backend is lost, the clients of all relays reconnect within a second, and a load report is as
// old: if each relay sent one to the backend that reports room, it would go from half full to twice its
// load.
func TestHealthCheck_RelaysShareReportedRoomAmongReconnectingClients(t *testing.T) {
	const start = sec
	takes := func(reconnecting bool, since time.Duration, conns uint64, full float32) int {
		n, now := 0, start+since
		for relay := range 80 {
			s := defaultSettings()
			s.RelayCount, s.Groups, s.HealthChecks, s.ReportFields = 80, true, true, []ReportField{FieldLoadShare}
			r := &recorder{}
			b := New(start, uint64(relay), s, r)
			b.EndpointsUpdated(start, UpdateCached, readyBackends(11))
			b.EndpointsUpdated(start, UpdateDelta, []Backend{{ID: 11, State: StateRemoved}})
			ready := b.endpoints.ready
			for i := range conns { // spread over all backends but the checked one
				c := b.newRequest(now, Request{ID: 100 + i, Group: 100 + i})
				b.attach(c, ready[1+i%9])
			}
			for i := range 64 {
				b.HealthCheckDone(now, HealthCheckResult{Backend: ready[1+i%9].ID, Load: []float32{0.5}})
			}
			group := uint64(1)
			for b.ring.first(mixBits(group), func(*backend) bool { return true }) != ready[0] {
				group++
			}
			b.RequestArrived(now, Request{ID: 1, Group: group, TimeLeft: 2 * sec, Reconnecting: reconnecting})
			r.clear()
			b.HealthCheckDone(now+ms, HealthCheckResult{Backend: ready[0].ID, Load: []float32{full}})
			for _, a := range r.take(actionSend) {
				if a.to == ready[0].ID {
					n++
				}
			}
		}
		return n
	}
	if n := takes(true, 0, 3, 0.65); n < 5 || n > 60 {
		t.Errorf("80 relays with 3 connections each sent %d reconnecting clients to a backend at 65%%", n)
	}
	if full, empty := takes(true, 0, 3, 0.7), takes(true, 0, 3, 0.6); full >= empty {
		t.Errorf("%d go to a backend at 70%%, %d to one at 60%%", full, empty)
	}
	if n := takes(true, 0, 90, 0.65); n != 80 {
		t.Errorf("of relays with ten connections on each backend only %d of 80 send another to one at 65%%", n)
	}
	if n := takes(false, 0, 3, 0.65); n != 80 {
		t.Errorf("only %d of 80 new clients went to a backend with room", n)
	}
	// Where relays died and no backend was lost, the reconnecting clients have left their room behind.
	if n := takes(true, backupLifetime, 3, 0.65); n != 80 {
		t.Errorf("%d of 80 reconnecting clients long after the last loss went to a backend with room", n)
	}
}

// A request does not wait for health checks without end, and is answered in time when all backends are
// silent.
func TestHealthCheck_ChecksPerRequestAreBounded(t *testing.T) {
	b, r := newUncheckedBalancer(t, 20)
	b.RequestArrived(sec, Request{ID: 1, Key: 1, Group: 7, TimeLeft: 2 * sec})
	for now := sec; now < 3*sec; now += 125 * ms {
		b.TimerFired(now, 1)
	}
	if n := len(r.take(actionCheckHealth)); n > 2*groupSpread {
		t.Errorf("%d checks for one connection", n)
	}
	if len(r.take(actionSend))+len(r.take(actionReject)) != 1 {
		t.Errorf("not placed or answered once: %v", r.actions)
	}
}

// A relay with few connections on a limited backend checks it seldom: from all relays together the checks
// would cost the backend more than they bring.
func TestHealthCheck_PeriodicChecksScaleWithConnections(t *testing.T) {
	checks := func(conns uint64) int {
		b, r := newUncheckedBalancer(t, 1)
		b.endpoints.ready[0].health.lastResult = sec
		for id := uint64(1); id <= conns; id++ {
			mustSend(t, b, r, sec, Request{ID: id, Key: 1, Group: 7})
			b.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
		r.clear()
		for now := 2 * sec; now < 102*sec; now += sec {
			b.endpoints.ready[0].concurrency.limit, b.endpoints.ready[0].health.checkPending = 1000, false
			b.TimerFired(now, maintenanceTimer)
		}
		return len(r.take(actionCheckHealth))
	}
	if one, many := checks(1), checks(8); one < 10 || one > 40 || many != 100 {
		t.Errorf("%d checks in 100 s with one connection, %d with eight", one, many)
	}
}

// A relay with a connection or two on a backend checks it every few seconds, one with many every second.
func TestHealthCheck_PeriodicChecksReplaceMessageDelayReports(t *testing.T) {
	for _, messageDelay := range []bool{true, false} {
		for _, tc := range []struct{ conns, least, most int }{{1, 4, 20}, {2, 10, 32}, {16, 40, 40}} {
			s := settingsWithoutMessageDelay()
			s.ReportsMessageDelay = messageDelay
			b, r := newTestBalancer(t, s, 1)
			connectAfterReport(b, tc.conns, 0.3)
			checks := 0
			for seconds := 1; seconds <= 40; seconds++ {
				r.clear()
				now := sec + time.Duration(seconds)*sec
				b.TimerFired(now, maintenanceTimer)
				checks += len(r.take(actionCheckHealth))
				b.HealthCheckDone(now, HealthCheckResult{Backend: 1, Load: []float32{0.3}})
			}
			if messageDelay && checks != 0 || !messageDelay && (checks < tc.least || checks > tc.most) {
				t.Errorf("reports of message delay %v: %d checks in 40 s for %d connections", messageDelay, checks, tc.conns)
			}
		}
	}
}

// Without a latency objective for messages no answer to a health check is late for it: each backend would
// count as full for two seconds after every check.
func TestHealthCheck_AnswersAreNotLateWithoutMessageObjective(t *testing.T) {
	s := defaultSettings()
	for i := range s.Classes {
		s.Classes[i].MessageLatencyObjective = 0
	}
	s.HealthChecks, s.ReportFields, s.ReportsMessageDelay = true, nil, false
	b, r := newTestBalancer(t, s, 3)
	b.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 2 * sec})
	checked := r.take(actionCheckHealth)
	if len(checked) != 1 {
		t.Fatalf("did %v", r.actions)
	}
	r.clear()
	b.HealthCheckDone(sec+5*ms, HealthCheckResult{Backend: checked[0].to, Status: StatusOK, Latency: 5 * ms})
	if got := r.take(actionSend); len(got) != 1 || got[0].to != checked[0].to {
		t.Errorf("after an answer in 5 ms it did %v", r.actions)
	}
}

// A request timeout shorter than a health check is not spent on waiting for one.
func TestHealthCheck_SkippedWhenRequestTimeoutIsShort(t *testing.T) {
	s := defaultSettings()
	s.HealthChecks, s.DialTimeout = true, 20*ms
	for total, want := range map[time.Duration]int{0: 1, 80 * ms: 0, sec: 1} {
		b, r := newTestBalancer(t, s, 3)
		b.RequestArrived(10*sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{RequestTimeout: total}})
		if checks, sends := len(r.take(actionCheckHealth)), len(r.take(actionSend)); checks != want || sends != 1-want {
			t.Errorf("a request timeout of %v: %d checks, %d sent", total, checks, sends)
		}
	}
}

// A class whose timeout is no longer than a connection may take has the time for a health check like all
// others: an answer takes a part of its objective. Unchecked its requests would go to backends that fail
// or are full, and those that must not be repeated would be lost.
func TestHealthCheck_ShortTimeoutClassStillChecksFirst(t *testing.T) {
	const n = 8
	for _, tc := range []struct {
		name    string
		left    time.Duration
		checked bool
	}{{"no longer than the dial timeout", 240 * ms, true}, {"no longer than two answers", 48 * ms, false}} {
		b, r := newReportingBalancer(t, n, 3, func(s *Settings) {
			s.ReportFields = []ReportField{FieldLoadShare, FieldErrors}
			s.Classes[1].LatencyObjective, s.Classes[1].ClientTimeout = 100*ms, 240*ms
		})
		failing, checks := 0, 0
		for id := uint64(1); id <= 200; id++ {
			now := 10*sec + time.Duration(id)*3*sec // the last report is too old to count
			b.pacer.usualInterval = sec
			r.clear()
			b.RequestArrived(now, Request{ID: id, Key: id * 77, Class: 1, TimeLeft: tc.left})
			for len(r.take(actionSend)) == 0 {
				pending := r.take(actionCheckHealth)
				if len(pending) == 0 {
					t.Fatalf("%s: request %d is neither sent nor held for a check: %v", tc.name, id, r.actions)
				}
				r.clear()
				for _, check := range pending {
					checks++
					errs := float32(0)
					if check.to <= 2 {
						errs = 5
					}
					b.HealthCheckDone(now+ms, HealthCheckResult{Backend: check.to, Latency: ms, Load: []float32{0.3, errs}})
				}
			}
			if r.take(actionSend)[0].to <= 2 {
				failing++
			}
			b.AttemptEnded(now+2*ms, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
		}
		if tc.checked != (checks >= 200) || tc.checked != (failing == 0) {
			t.Errorf("%s: %d checks, %d of 200 went to backends that fail", tc.name, checks, failing)
		}
	}
}
