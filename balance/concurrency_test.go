package balance

import (
	"testing"
)

// An overloaded backend resets connections. Without a concurrency limit, their clients would return to it at
// once.
func TestConcurrency_ResetConnectionsDoNotReturnAtOnce(t *testing.T) {
	settings := defaultSettings()
	settings.Groups = true
	balancer, rec := newTestBalancer(t, settings, 6)
	target := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 1, Group: 7})
	balancer.AttemptSucceeded(sec, AttemptResult{ID: 1})
	balancer.AttemptEnded(2*sec, AttemptResult{ID: 1, Backend: target, Status: StatusReset, Closed: true})
	returned := 0
	for id := uint64(2); id < 12; id++ {
		if mustSend(t, balancer, rec, 2*sec, Request{ID: id, Key: id, Group: 7}) == target {
			returned++
		}
	}
	if returned > 1 {
		t.Errorf("%d of 10 requests went to the backend that had just reset a connection", returned)
	}
}

// A backend with late messages serves no connection in time: its heaviest connections are migrated first.
func TestConcurrency_OverloadMigratesHeaviestFirst(t *testing.T) {
	settings := defaultSettings()
	settings.Groups = true
	balancer, rec := newTestBalancer(t, settings, 6)
	openGroupConnections(t, balancer, rec, 1, 10, 7)
	heaviest := balancer.requests[1]
	balancer.LoadReported(sec, 1, SignalConnectionLoad, 1000)
	for id := uint64(2); id <= 10; id++ {
		balancer.LoadReported(sec, id, SignalConnectionLoad, 500)
	}
	rec.clear()
	balancer.LoadReported(2*sec, 1, SignalMessageDelay, 500)
	migrations := rec.take(actionMigrate)
	if len(migrations) == 0 || migrations[0].id != 1 || len(migrations) >= len(heaviest.backend.openRequests) {
		t.Fatalf("migrated %v of %d connections", migrations, len(heaviest.backend.openRequests))
	}
}

// When a group is migrated as a whole, its shared work moves with it. Splitting a large group adds work.
func TestConcurrency_MigratesSmallGroupsFirst(t *testing.T) {
	settings := defaultSettings()
	settings.Groups = true
	balancer, rec := newTestBalancer(t, settings, 2)
	var target *backend
	for id := uint64(1); id <= 12; id++ { // a large group on one backend
		openGroupConnections(t, balancer, rec, id, 1, 7)
		target = balancer.requests[1].backend
	}
	lone := uint64(0)
	for group := uint64(100); lone == 0; group++ { // and a group of one on the same backend
		openGroupConnections(t, balancer, rec, group, 1, group)
		if balancer.requests[group].backend == target {
			lone = group
		}
	}
	rec.clear()
	balancer.LoadReported(2*sec, 1, SignalMessageDelay, 500)
	if migrations := rec.take(actionMigrate); len(migrations) == 0 || migrations[0].id != lone {
		t.Errorf("migrated %v, want %d first", migrations, lone)
	}
}

// The later messages are, the further a backend is past its capacity, and the lower its limit.
func TestConcurrency_CutGrowsWithMessageDelay(t *testing.T) {
	limit := func(delayMillis float64) float64 {
		settings := defaultSettings()
		settings.Groups = true
		balancer, rec := newTestBalancer(t, settings, 6)
		openGroupConnections(t, balancer, rec, 1, 20, 7)
		balancer.LoadReported(2*sec, 1, SignalMessageDelay, delayMillis)
		return balancer.requests[1].backend.concurrency.limit
	}
	if none, little, much, most := limit(19), limit(25), limit(150), limit(1e9); none != 0 || little <= much ||
		much <= most || most <= 1 {
		t.Errorf("limits %v, %v, %v and %v for message delays of 19, 25, 150 and 1e9 ms", none, little, much, most)
	}
}

// Queued work delays all messages, and a backend that keeps nine tenths of its load takes ten times as long to
// work it off. The load that stays has to leave room for the backlog, whatever the load report says.
func TestConcurrency_BacklogIsWorkedOffWithinOneSecond(t *testing.T) {
	for _, tc := range []struct {
		delayMillis float64
		least, most int // connections that stay, of 20
	}{{100, 15, 20}, {600, 4, 10}, {5000, 1, 4}} {
		settings := defaultSettings()
		settings.Groups, settings.HealthChecks, settings.ReportFields = true, true, []ReportField{FieldLoadShare}
		balancer, rec := newTestBalancer(t, settings, 6)
		for _, target := range balancer.endpoints.ready {
			target.health.lastResultAt = sec
		}
		openGroupConnections(t, balancer, rec, 1, 20, 7)
		target := balancer.requests[1].backend
		balancer.LoadReported(2*sec, 1, SignalMessageDelay, 25)
		balancer.HealthCheckDone(2*sec+10*ms, HealthCheckResult{Backend: target.ID, Load: []float32{0.9}})
		rec.clear()
		balancer.LoadReported(4*sec, 1, SignalMessageDelay, tc.delayMillis)
		if stay := target.connections - len(rec.take(actionMigrate)); stay < tc.least || stay > tc.most {
			t.Errorf("message delay of %v ms: %d of %d connections stay", tc.delayMillis, stay, target.connections)
		}
	}
}

// A stale or wrong load report does not raise the limit of a backend whose messages are late.
func TestConcurrency_LateMessagesOutweighReportedRoom(t *testing.T) {
	settings := defaultSettings()
	settings.Groups, settings.HealthChecks, settings.ReportFields = true, true, []ReportField{FieldLoadShare}
	balancer, rec := newTestBalancer(t, settings, 6)
	for _, target := range balancer.endpoints.ready {
		target.health.lastResultAt = sec
	}
	openGroupConnections(t, balancer, rec, 1, 20, 7)
	target := balancer.requests[1].backend
	report := HealthCheckResult{Backend: target.ID, Load: []float32{0.1}}
	balancer.LoadReported(2*sec, 1, SignalMessageDelay, 100)
	balancer.HealthCheckDone(2*sec+10*ms, report)
	firstLimit := target.concurrency.limit
	balancer.LoadReported(3*sec, 1, SignalMessageDelay, 100)
	balancer.HealthCheckDone(3*sec+10*ms, report)
	if target.concurrency.limit >= firstLimit {
		t.Errorf("limit %v after %v: the message delay did not lower it or the load report raised it", target.concurrency.limit, firstLimit)
	}
	balancer.HealthCheckDone(6*sec, report)
	if target.concurrency.limit <= firstLimit {
		t.Errorf("limit stays at %v though messages are in time", target.concurrency.limit)
	}
}

// Where each relay has one connection on an overloaded backend, none exceeds the limit by a whole connection.
// Some relays have to migrate theirs, most keep it.
func TestConcurrency_MigrationAcrossManyRelaysIsProportional(t *testing.T) {
	migrated := 0
	for seed := uint64(1); seed <= 400; seed++ {
		rec := &recorder{}
		balancer := New(sec, seed, defaultSettings(), rec)
		balancer.EndpointsUpdated(sec, UpdateCached, readyBackends(20))
		mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 1})
		balancer.AttemptSucceeded(sec, AttemptResult{ID: 1})
		// 80 ms is four times the late-message threshold, a third of the objective: the load is 20% too high.
		balancer.LoadReported(2*sec, 1, SignalMessageDelay, 80)
		migrated += len(rec.take(actionMigrate))
	}
	if migrated < 40 || migrated > 140 {
		t.Errorf("%d of 400 relays migrated their connection, want about 80", migrated)
	}
}

// Maintenance visits the backends with connections or a recent limit, not the whole fleet.
func TestConcurrency_IdleBackendsAreNotMaintained(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 20)
	to := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 1})
	balancer.AttemptSucceeded(sec, AttemptResult{ID: 1})
	balancer.LoadReported(2*sec, 1, SignalMessageDelay, 200)
	balancer.AttemptEnded(3*sec, AttemptResult{ID: 1, Backend: to, Status: StatusCancelled, Closed: true})
	if len(balancer.concurrency.maintained) != 1 || balancer.endpoints.byID[to].concurrency.limit == 0 {
		t.Fatalf("%d backends maintained, limit %v right after the connection ended", len(balancer.concurrency.maintained), balancer.endpoints.byID[to].concurrency.limit)
	}
	for now := 4 * sec; now < 20*sec; now += sec {
		balancer.TimerFired(now, maintenanceTimer)
	}
	if len(balancer.concurrency.maintained) != 0 || balancer.endpoints.byID[to].concurrency.limit != 0 {
		t.Errorf("%d backends maintained, limit %v long after the connection ended", len(balancer.concurrency.maintained), balancer.endpoints.byID[to].concurrency.limit)
	}
}

// Where all backends are above the fill target, no backend has room for migrated connections: one above 75%
// keeps its connections, one above 90% does not.
func TestConcurrency_FullFleetKeepsConnections(t *testing.T) {
	for _, tc := range []struct {
		meanUtilization float64
		reports         int
		load            float32
		migrations      bool
	}{{0.3, 50, 0.8, true}, {0.75, 50, 0.8, false}, {0.75, 50, 1.2, true}, {0.75, 3, 0.8, true}} {
		balancer, rec := newTestBalancer(t, settingsWithoutMessageDelay(), 1)
		connectAfterReport(balancer, 10, 0.3)
		rec.clear()
		balancer.health.meanUtilization, balancer.health.reports = tc.meanUtilization, tc.reports
		balancer.HealthCheckDone(4*sec, HealthCheckResult{Backend: 1, Load: []float32{tc.load}})
		if n := len(rec.take(actionMigrate)); (n > 0) != tc.migrations {
			t.Errorf("mean utilization %v, this backend at %v: %d of 10 migrated", tc.meanUtilization, tc.load, n)
		}
	}
}

// Without reports of message delay, the load report of a full backend causes connections to be migrated.
func TestConcurrency_LoadReportRelievesWithoutMessageDelayReports(t *testing.T) {
	for _, tc := range []struct {
		messageDelay bool
		load         float32
		least        int
		most         int
	}{{true, 0.95, 0, 0}, {false, 0.7, 0, 0}, {false, 0.8, 1, 4}, {false, 1.5, 4, 6}} {
		settings := settingsWithoutMessageDelay()
		settings.ReportsMessageDelay = tc.messageDelay
		balancer, rec := newTestBalancer(t, settings, 1)
		connectAfterReport(balancer, 10, 0.3)
		rec.clear()
		balancer.HealthCheckDone(4*sec, HealthCheckResult{Backend: 1, Load: []float32{tc.load}})
		if n := len(rec.take(actionMigrate)); n < tc.least || n > tc.most {
			t.Errorf("reports of message delay %v, load %v: %d of 10 migrated", tc.messageDelay, tc.load, n)
		}
	}
}

// Without reports of message delay, resets are the first sign of overload, and repeated ones cause the remaining
// connections to be migrated. A single reset may be due to the network.
func TestConcurrency_RepeatedResetsMigrateTheRest(t *testing.T) {
	for _, messageDelay := range []bool{true, false} {
		settings := settingsWithoutMessageDelay()
		settings.ReportsMessageDelay = messageDelay
		balancer, rec := newTestBalancer(t, settings, 1)
		connectAfterReport(balancer, 10, 0.3)
		rec.clear()
		balancer.AttemptEnded(4*sec, AttemptResult{ID: 1, Backend: 1, Status: StatusReset, Closed: true})
		if n := len(rec.take(actionMigrate)); !messageDelay && n > 0 { // a single reset may be due to the network
			t.Errorf("a single reset caused %d migrations", n)
		}
		balancer.AttemptEnded(4*sec+300*ms, AttemptResult{ID: 2, Backend: 1, Status: StatusReset, Closed: true})
		if n := len(rec.take(actionMigrate)); messageDelay && n > 2 || !messageDelay && n < 4 {
			t.Errorf("reports of message delay %v: %d of 8 migrated", messageDelay, n)
		}
	}
}

// The limit of a late backend holds for the first connection of a relay, too. Otherwise each of many relays
// without a connection there sends it one more, and it stays late. With health checks, the backend is checked
// first instead.
func TestConcurrency_LimitHoldsForFirstConnectionWithoutHealthChecks(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 2)
	target := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 1})
	balancer.AttemptSucceeded(sec, AttemptResult{ID: 1})
	balancer.LoadReported(2*sec, 1, SignalMessageDelay, 200)
	balancer.AttemptEnded(2*sec, AttemptResult{ID: 1, Backend: target, Status: StatusCancelled, Closed: true})
	if to := mustSend(t, balancer, rec, 3*sec, Request{ID: 2, Key: 1}); to == target {
		t.Error("the request went to a backend that was late a second ago")
	}
}

// Where no load report raises the limit, a cut halves it at most; within seconds the limit is back just below
// the load at overload, and then rises slowly. With the limit cut to a tenth by every relay at once, backends that are
// slightly overloaded stay half empty for half a minute while a quarter of all requests are rejected.
func TestConcurrency_LimitRecoversNearLoadAtOverload(t *testing.T) {
	settings := defaultSettings()
	settings.Groups = true
	balancer, rec := newTestBalancer(t, settings, 6)
	openGroupConnections(t, balancer, rec, 1, 20, 7)
	target := balancer.requests[1].backend
	loadAtOverload := balancer.loads.trackedLoad(&target.loadSums)
	balancer.LoadReported(2*sec, 1, SignalMessageDelay, 5000)
	if target.concurrency.limit < 0.49*loadAtOverload {
		t.Errorf("after the cut the limit is %.0f, the load at overload was %.0f", target.concurrency.limit, loadAtOverload)
	}
	for now := 3 * sec; now <= 9*sec; now += sec {
		balancer.TimerFired(now, maintenanceTimer)
	}
	if target.concurrency.limit < 0.8*loadAtOverload || target.concurrency.limit > 0.95*loadAtOverload {
		t.Errorf("after seven seconds the limit is %.0f, the load at overload was %.0f", target.concurrency.limit, loadAtOverload)
	}
}
