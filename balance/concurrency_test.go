package balance

import (
	"testing"
)

// An overloaded backend resets connections; without a limit they would come straight back.
func TestConcurrency_ResetConnectionsDoNotReturnAtOnce(t *testing.T) {
	s := defaultSettings()
	s.Groups = true
	b, r := newTestBalancer(t, s, 6)
	target := mustSend(t, b, r, sec, Request{ID: 1, Key: 1, Group: 7})
	b.AttemptSucceeded(sec, AttemptResult{ID: 1})
	b.AttemptEnded(2*sec, AttemptResult{ID: 1, Backend: target, Status: StatusReset, Closed: true})
	back := 0
	for id := uint64(2); id < 12; id++ {
		if mustSend(t, b, r, 2*sec, Request{ID: id, Key: id, Group: 7}) == target {
			back++
		}
	}
	if back > 1 {
		t.Errorf("%d of 10 went back to the backend that had dropped one", back)
	}
}

// A backend whose messages are late serves nobody in time: its heaviest connections are migrated.
func TestConcurrency_OverloadMigratesHeaviestFirst(t *testing.T) {
	s := defaultSettings()
	s.Groups = true
	b, r := newTestBalancer(t, s, 6)
	openGroupConnections(t, b, r, 1, 10, 7)
	c := b.requests[1]
	b.LoadReported(sec, 1, SignalConnectionLoad, 1000)
	for id := uint64(2); id <= 10; id++ {
		b.LoadReported(sec, id, SignalConnectionLoad, 500)
	}
	r.clear()
	b.LoadReported(2*sec, 1, SignalMessageDelay, 500)
	migrations := r.take(actionMigrate)
	if len(migrations) == 0 || migrations[0].id != 1 || len(migrations) >= len(c.backend.openRequests) {
		t.Fatalf("migrated %v of %d", migrations, len(c.backend.openRequests))
	}
}

// A group that is migrated whole takes its shared work along; splitting a large one adds work.
func TestConcurrency_MigratesSmallGroupsFirst(t *testing.T) {
	s := defaultSettings()
	s.Groups = true
	b, r := newTestBalancer(t, s, 2)
	var crowded *backend
	for id := uint64(1); id <= 12; id++ { // a large group on one backend
		openGroupConnections(t, b, r, id, 1, 7)
		crowded = b.requests[1].backend
	}
	lone := uint64(0)
	for group := uint64(100); lone == 0; group++ { // and a group of one there
		openGroupConnections(t, b, r, group, 1, group)
		if b.requests[group].backend == crowded {
			lone = group
		}
	}
	r.clear()
	b.LoadReported(2*sec, 1, SignalMessageDelay, 500)
	if migrations := r.take(actionMigrate); len(migrations) == 0 || migrations[0].id != lone {
		t.Errorf("migrated %v, want %d first", migrations, lone)
	}
}

// The later messages are, the further a backend is past its capacity, and the lower its limit.
func TestConcurrency_CutGrowsWithMessageDelay(t *testing.T) {
	limit := func(ms float64) float64 {
		s := defaultSettings()
		s.Groups = true
		b, r := newTestBalancer(t, s, 6)
		openGroupConnections(t, b, r, 1, 20, 7)
		b.LoadReported(2*sec, 1, SignalMessageDelay, ms)
		return b.requests[1].backend.concurrency.limit
	}
	if none, little, much, most := limit(19), limit(25), limit(150), limit(1e9); none != 0 || little <= much ||
		much <= most || most <= 1 {
		t.Errorf("limits %v, %v, %v, %v", none, little, much, most)
	}
}

// Queued work delays all messages, and a backend that keeps nine tenths of its load takes ten times as
// long to work it off: what stays has to leave room for the backlog, whatever the load report says.
func TestConcurrency_BacklogIsWorkedOffWithinOneSecond(t *testing.T) {
	for _, tc := range []struct {
		ms          float64
		least, most int // of 20
	}{{100, 15, 20}, {600, 4, 10}, {5000, 1, 4}} {
		s := defaultSettings()
		s.Groups, s.HealthChecks, s.ReportFields = true, true, []ReportField{FieldLoadShare}
		b, r := newTestBalancer(t, s, 6)
		for _, o := range b.endpoints.ready {
			o.health.lastResult = sec
		}
		openGroupConnections(t, b, r, 1, 20, 7)
		hot := b.requests[1].backend
		b.LoadReported(2*sec, 1, SignalMessageDelay, 25)
		b.HealthCheckDone(2*sec+10*ms, HealthCheckResult{Backend: hot.ID, Load: []float32{0.9}})
		r.clear()
		b.LoadReported(4*sec, 1, SignalMessageDelay, tc.ms)
		if stay := hot.connections - len(r.take(actionMigrate)); stay < tc.least || stay > tc.most {
			t.Errorf("%v ms of backlog: %d of %d stay", tc.ms, stay, hot.connections)
		}
	}
}

// A stale or wrong load report must not lift the limit of a backend whose messages are late.
func TestConcurrency_LateMessagesOutweighReportedRoom(t *testing.T) {
	s := defaultSettings()
	s.Groups, s.HealthChecks, s.ReportFields = true, true, []ReportField{FieldLoadShare}
	b, r := newTestBalancer(t, s, 6)
	for _, o := range b.endpoints.ready {
		o.health.lastResult = sec
	}
	openGroupConnections(t, b, r, 1, 20, 7)
	hot := b.requests[1].backend
	claim := HealthCheckResult{Backend: hot.ID, Load: []float32{0.1}}
	b.LoadReported(2*sec, 1, SignalMessageDelay, 100)
	b.HealthCheckDone(2*sec+10*ms, claim)
	first := hot.concurrency.limit
	b.LoadReported(3*sec, 1, SignalMessageDelay, 100)
	b.HealthCheckDone(3*sec+10*ms, claim)
	if hot.concurrency.limit >= first {
		t.Errorf("limit %v after %v: the message delay did not lower it or the load report lifted it", hot.concurrency.limit, first)
	}
	b.HealthCheckDone(6*sec, claim)
	if hot.concurrency.limit <= first {
		t.Errorf("limit stays %v though messages are in time", hot.concurrency.limit)
	}
}

// With one connection a relay on an overloaded backend, no relay is ever over by a whole one: some of them
// have to migrate theirs, most keep it.
func TestConcurrency_MigrationAcrossManyRelaysIsProportional(t *testing.T) {
	migrated := 0
	for seed := uint64(1); seed <= 400; seed++ {
		r := &recorder{}
		b := New(sec, seed, defaultSettings(), r)
		b.EndpointsUpdated(sec, UpdateCached, readyBackends(20))
		mustSend(t, b, r, sec, Request{ID: 1, Key: 1})
		b.AttemptSucceeded(sec, AttemptResult{ID: 1})
		b.LoadReported(2*sec, 1, SignalMessageDelay, 80) // four times a third of the objective: 20% too much
		migrated += len(r.take(actionMigrate))
	}
	if migrated < 40 || migrated > 140 {
		t.Errorf("%d of 400 relays migrated their connection, want about 80", migrated)
	}
}

// Maintenance visits the backends with connections or a recent limit, not the whole fleet.
func TestConcurrency_IdleBackendsAreNotMaintained(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 20)
	to := mustSend(t, b, r, sec, Request{ID: 1, Key: 1})
	b.AttemptSucceeded(sec, AttemptResult{ID: 1})
	b.LoadReported(2*sec, 1, SignalMessageDelay, 200)
	b.AttemptEnded(3*sec, AttemptResult{ID: 1, Backend: to, Status: StatusCancelled, Closed: true})
	if len(b.concurrency.watched) != 1 || b.endpoints.byID[to].concurrency.limit == 0 {
		t.Fatalf("%d watched, limit %v right after", len(b.concurrency.watched), b.endpoints.byID[to].concurrency.limit)
	}
	for now := 4 * sec; now < 20*sec; now += sec {
		b.TimerFired(now, maintenanceTimer)
	}
	if len(b.concurrency.watched) != 0 || b.endpoints.byID[to].concurrency.limit != 0 {
		t.Errorf("%d watched, limit %v long after", len(b.concurrency.watched), b.endpoints.byID[to].concurrency.limit)
	}
}

// Where all backends are over the fill target there is nowhere to migrate to: one over 75% keeps its
// connections, one over 90% does not.
func TestConcurrency_FullFleetKeepsConnections(t *testing.T) {
	for _, tc := range []struct {
		meanUtilization float64
		reports         int
		load            float32
		migrations      bool
	}{{0.3, 50, 0.8, true}, {0.75, 50, 0.8, false}, {0.75, 50, 1.2, true}, {0.75, 3, 0.8, true}} {
		b, r := newTestBalancer(t, settingsWithoutMessageDelay(), 1)
		connectAfterReport(b, 10, 0.3)
		r.clear()
		b.health.meanUtilization, b.health.reports = tc.meanUtilization, tc.reports
		b.HealthCheckDone(4*sec, HealthCheckResult{Backend: 1, Load: []float32{tc.load}})
		if n := len(r.take(actionMigrate)); (n > 0) != tc.migrations {
			t.Errorf("others at %v, this one at %v: %d of 10 migrated", tc.meanUtilization, tc.load, n)
		}
	}
}

// A load report of a full backend has connections migrated where no report of message delay does.
func TestConcurrency_LoadReportRelievesWithoutMessageDelayReports(t *testing.T) {
	for _, tc := range []struct {
		messageDelay bool
		load         float32
		least        int
		most         int
	}{{true, 0.95, 0, 0}, {false, 0.7, 0, 0}, {false, 0.8, 1, 4}, {false, 1.5, 4, 6}} {
		s := settingsWithoutMessageDelay()
		s.ReportsMessageDelay = tc.messageDelay
		b, r := newTestBalancer(t, s, 1)
		connectAfterReport(b, 10, 0.3)
		r.clear()
		b.HealthCheckDone(4*sec, HealthCheckResult{Backend: 1, Load: []float32{tc.load}})
		if n := len(r.take(actionMigrate)); n < tc.least || n > tc.most {
			t.Errorf("reports of message delay %v, load %v: %d of 10 migrated", tc.messageDelay, tc.load, n)
		}
	}
}

// Resets migrate the rest where they are the first sign of overload; a single one may be the network's.
func TestConcurrency_RepeatedResetsMigrateTheRest(t *testing.T) {
	for _, messageDelay := range []bool{true, false} {
		s := settingsWithoutMessageDelay()
		s.ReportsMessageDelay = messageDelay
		b, r := newTestBalancer(t, s, 1)
		connectAfterReport(b, 10, 0.3)
		r.clear()
		b.AttemptEnded(4*sec, AttemptResult{ID: 1, Backend: 1, Status: StatusReset, Closed: true})
		if n := len(r.take(actionMigrate)); !messageDelay && n > 0 { // one may be the network's
			t.Errorf("one reset migrated %d", n)
		}
		b.AttemptEnded(4*sec+300*ms, AttemptResult{ID: 2, Backend: 1, Status: StatusReset, Closed: true})
		if n := len(r.take(actionMigrate)); messageDelay && n > 2 || !messageDelay && n < 4 {
			t.Errorf("reports of message delay %v: %d of 8 migrated", messageDelay, n)
		}
	}
}

// Each of many relays sent a late backend one more connection, as it had none there itself, and the
// backend stayed late. Where health checks are allowed one is made first.
func TestConcurrency_LimitHoldsForFirstConnectionWithoutHealthChecks(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 2)
	target := mustSend(t, b, r, sec, Request{ID: 1, Key: 1})
	b.AttemptSucceeded(sec, AttemptResult{ID: 1})
	b.LoadReported(2*sec, 1, SignalMessageDelay, 200)
	b.AttemptEnded(2*sec, AttemptResult{ID: 1, Backend: target, Status: StatusCancelled, Closed: true})
	if to := mustSend(t, b, r, 3*sec, Request{ID: 2, Key: 1}); to == target {
		t.Error("went to a backend that was late a second ago")
	}
}

// Cut to a tenth by every relay at once, backends that were slightly over stayed half empty for half a
// minute, while a quarter of all requests were rejected. Where no load report lifts the limit, it loses
// half at most, is soon back at most of the load at overload, and then rises slowly.
func TestConcurrency_LimitRecoversNearLoadAtOverload(t *testing.T) {
	s := defaultSettings()
	s.Groups = true
	b, r := newTestBalancer(t, s, 6)
	openGroupConnections(t, b, r, 1, 20, 7)
	at := b.requests[1].backend
	bore := b.loads.sum(&at.loadSums)
	b.LoadReported(2*sec, 1, SignalMessageDelay, 5000)
	if at.concurrency.limit < 0.49*bore {
		t.Errorf("%.0f of %.0f are left", at.concurrency.limit, bore)
	}
	for now := 3 * sec; now <= 9*sec; now += sec {
		b.TimerFired(now, maintenanceTimer)
	}
	if at.concurrency.limit < 0.8*bore || at.concurrency.limit > 0.95*bore {
		t.Errorf("after seven seconds the limit is %.0f of %.0f", at.concurrency.limit, bore)
	}
}
