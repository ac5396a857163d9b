package balance

import (
	"slices"
	"testing"
	"time"
)

// maintainAndCloseMigrated runs the maintenance, ends the connections that it migrates and returns their
// number.
func maintainAndCloseMigrated(balancer *Balancer, rec *recorder, now time.Duration) int {
	rec.clear()
	balancer.TimerFired(now, maintenanceTimer)
	migrations := rec.take(actionMigrate)
	for _, m := range migrations {
		balancer.AttemptEnded(now, AttemptResult{ID: m.id, Status: StatusCancelled, Closed: true})
	}
	return len(migrations)
}

// The connections of a draining backend are migrated in equal parts.
func TestDrain_DrainingBackendIsEmptiedInEqualParts(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 2)
	opened := openConnections(t, balancer, rec, 40)
	list := readyBackends(2)
	list[0].State = StateDraining
	balancer.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	left, most := opened[1], 0
	for seconds := time.Duration(1); seconds <= backendDrainTime/maintenanceInterval; seconds++ {
		n := maintainAndCloseMigrated(balancer, rec, 2*sec+seconds*sec)
		left, most = left-n, max(most, n)
		// Early migrations load the other backends while this one still serves.
		if seconds == backendDrainTime/maintenanceInterval/2 && left < opened[1]/3 {
			t.Errorf("only %d of %d connections are left at half time", left, opened[1])
		}
	}
	if left != 0 {
		t.Errorf("%d of %d connections are left at the end of the drain", left, opened[1])
	}
	if most > opened[1]/4+1 {
		t.Errorf("%d of %d connections migrated at once", most, opened[1])
	}
	if opened[2] == 0 || len(balancer.endpoints.byID[2].openRequests) != opened[2] {
		t.Errorf("%d of %d connections are left on the other backend", len(balancer.endpoints.byID[2].openRequests), opened[2])
	}
}

// The connections of a removed backend are migrated by the next maintenance.
func TestDrain_RemovedBackendIsEmptiedAtNextMaintenance(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 2)
	opened := openConnections(t, balancer, rec, 20)
	balancer.EndpointsUpdated(2*sec, UpdateFull, readyBackends(2)[1:])
	if n := maintainAndCloseMigrated(balancer, rec, 3*sec); n != opened[1] || n == 0 {
		t.Errorf("%d of %d connections migrated", n, opened[1])
	}
}

// drainAndCloseMigrated runs the drain steps between two times, ends the connections that they migrate and
// returns their number in each.
func drainAndCloseMigrated(balancer *Balancer, rec *recorder, from, to time.Duration) (migrated []int) {
	for now := from; now < to; now += drainStepInterval {
		rec.clear()
		balancer.TimerFired(now, drainTimer)
		got := rec.take(actionMigrate)
		for _, m := range got {
			balancer.AttemptEnded(now, AttemptResult{ID: m.id, Status: StatusCancelled, Closed: true})
		}
		migrated = append(migrated, len(got))
	}
	return migrated
}

func sum(n []int) (sum int) {
	for _, v := range n {
		sum += v
	}
	return sum
}

// A draining relay migrates all its connections by the deadline, in equal parts, unless packets pass through.
func TestDrain_RelayMigratesConnectionsAtAnEvenPace(t *testing.T) {
	for _, passThrough := range []bool{false, true} {
		settings := defaultSettings()
		settings.PassThrough = passThrough
		balancer, rec := newTestBalancer(t, settings, 3)
		openConnections(t, balancer, rec, 90)
		rec.clear()
		balancer.DrainBy(2*sec, 4*sec)
		migrated := drainAndCloseMigrated(balancer, rec, 2*sec, 4*sec)
		switch {
		case passThrough && sum(migrated) != 0: // another relay continues the connections
			t.Errorf("%v migrated though packets pass through", migrated)
		case !passThrough && (sum(migrated) != 90 || slices.Max(migrated) > 15 || sum(migrated[:10]) < 30):
			t.Errorf("%v migrated, of 90", migrated)
		}
		if balancer.TimerFired(4*sec, maintenanceTimer); passThrough {
			continue
		}
		// A connection established after the deadline is migrated at the next step.
		balancer.RequestArrived(4*sec, Request{ID: 200, Key: 9, TimeLeft: 2 * sec})
		balancer.AttemptSucceeded(4*sec, AttemptResult{ID: 200})
		if late := drainAndCloseMigrated(balancer, rec, 4*sec+drainStepInterval, 4*sec+2*drainStepInterval); sum(late) != 1 {
			t.Errorf("%v migrated, want the one connection established after the deadline", late)
		}
	}
}

// A relay whose drain is cancelled migrates no further connections and places requests as before. A second drain
// right after it sets no second timer.
func TestDrain_CancelledDrainMigratesNothingMore(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 3)
	openConnections(t, balancer, rec, 60)
	rec.clear()
	balancer.DrainBy(2*sec, 4*sec)
	first := sum(drainAndCloseMigrated(balancer, rec, 2*sec, 2500*ms))
	if balancer.DrainBy(2500*ms, 9*sec); balancer.drain.deadline != 4*sec { // SIGTERM during a drain postponed its deadline in seed 1193
		t.Errorf("a drain until 4 s ends at %v", balancer.drain.deadline)
	}
	balancer.DrainBy(2500*ms, 0)
	balancer.DrainBy(2500*ms, 5*sec)
	balancer.DrainBy(2500*ms, 0)
	if n := len(rec.take(actionTimer)); n > 1 {
		t.Errorf("%d timers set", n)
	}
	rest := sum(drainAndCloseMigrated(balancer, rec, 2500*ms, 6*sec))
	if first == 0 || first > 30 || rest != 0 {
		t.Errorf("%d migrated before, %d after the drain was cancelled", first, rest)
	}
	for _, target := range balancer.endpoints.byID {
		if target.concurrency.limit != 0 {
			t.Errorf("backend %d has limit %v, though it showed no overload", target.ID, target.concurrency.limit)
		}
	}
}

// The connections on a backend that begins to drain just before the relay are migrated by the relay's deadline.
// If they are migrated over the drain time of the backend, those left are cut off when the relay stops earlier
// (seed 100 of the simulation).
func TestDrain_BackendDrainEndsWithRelayDrain(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 3)
	opened := openConnections(t, balancer, rec, 30)
	list := readyBackends(3)
	list[0].State = StateDraining
	balancer.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	rec.clear()
	balancer.DrainBy(2*sec, 3500*ms)
	drainAndCloseMigrated(balancer, rec, 2*sec, 3500*ms)
	if left := balancer.endpoints.byID[1].connections; opened[1] == 0 || left != 0 {
		t.Errorf("of %d connections on the draining backend %d are left when the relay stops", opened[1], left)
	}
}

// A backend that is ready again after draining has no limit left from the drain.
func TestDrain_BackendReadyAgainHasNoLimit(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 2)
	openConnections(t, balancer, rec, 20)
	list := readyBackends(2)
	list[0].State = StateDraining
	balancer.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	maintainAndCloseMigrated(balancer, rec, 3*sec)
	balancer.EndpointsUpdated(4*sec, UpdateDelta, readyBackends(2)[:1])
	if l := balancer.endpoints.byID[1].concurrency.limit; l != 0 {
		t.Errorf("limit %v is left from the drain", l)
	}
}
