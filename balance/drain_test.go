package balance

import (
	"slices"
	"testing"
	"time"
)

// maintainAndCloseMigrated runs the maintenance, ends the connections that it migrates and returns their
// number.
func maintainAndCloseMigrated(b *Balancer, r *recorder, now time.Duration) int {
	r.clear()
	b.TimerFired(now, maintenanceTimer)
	migrations := r.take(actionMigrate)
	for _, m := range migrations {
		b.AttemptEnded(now, AttemptResult{ID: m.id, Status: StatusCancelled, Closed: true})
	}
	return len(migrations)
}

// The connections of a draining backend are migrated in equal parts.
func TestDrain_DrainingBackendIsEmptiedInEqualParts(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 2)
	at := openConnections(t, b, r, 40)
	list := readyBackends(2)
	list[0].State = StateDraining
	b.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	left, most := at[1], 0
	for seconds := time.Duration(1); seconds <= backendDrainTime/maintenanceInterval; seconds++ {
		n := maintainAndCloseMigrated(b, r, 2*sec+seconds*sec)
		left, most = left-n, max(most, n)
		if seconds == backendDrainTime/maintenanceInterval/2 && left < at[1]/3 { // early migrations overload others for a backend that still serves
			t.Errorf("%d of %d stay at half time", left, at[1])
		}
	}
	if left != 0 {
		t.Errorf("%d of %d connections still wait for their backend to stop", left, at[1])
	}
	if most > at[1]/4+1 {
		t.Errorf("%d of %d migrated at once", most, at[1])
	}
	if at[2] == 0 || len(b.endpoints.byID[2].openRequests) != at[2] {
		t.Errorf("%d of %d connections of the other backend stay", len(b.endpoints.byID[2].openRequests), at[2])
	}
}

// The connections of a removed backend are migrated by the next maintenance.
func TestDrain_RemovedBackendIsEmptiedAtNextMaintenance(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 2)
	at := openConnections(t, b, r, 20)
	b.EndpointsUpdated(2*sec, UpdateFull, readyBackends(2)[1:])
	if n := maintainAndCloseMigrated(b, r, 3*sec); n != at[1] || n == 0 {
		t.Errorf("%d of %d migrated", n, at[1])
	}
}

// drainAndCloseMigrated runs the drain steps between two times, ends the connections that they migrate and
// returns their number in each.
func drainAndCloseMigrated(b *Balancer, r *recorder, from, to time.Duration) (migrated []int) {
	for now := from; now < to; now += drainStep {
		r.clear()
		b.TimerFired(now, drainTimer)
		got := r.take(actionMigrate)
		for _, m := range got {
			b.AttemptEnded(now, AttemptResult{ID: m.id, Status: StatusCancelled, Closed: true})
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
	for _, pass := range []bool{false, true} {
		s := defaultSettings()
		s.PassThrough = pass
		b, r := newTestBalancer(t, s, 3)
		openConnections(t, b, r, 90)
		r.clear()
		b.DrainBy(2*sec, 4*sec)
		migrated := drainAndCloseMigrated(b, r, 2*sec, 4*sec)
		switch {
		case pass && sum(migrated) != 0: // another relay continues the connections
			t.Errorf("%v migrated though packets pass through", migrated)
		case !pass && (sum(migrated) != 90 || slices.Max(migrated) > 15 || sum(migrated[:10]) < 30):
			t.Errorf("%v migrated, of 90", migrated)
		}
		if b.TimerFired(4*sec, maintenanceTimer); pass {
			continue
		}
		// A connection established after that is migrated at the next step.
		b.RequestArrived(4*sec, Request{ID: 200, Key: 9, TimeLeft: 2 * sec})
		b.AttemptSucceeded(4*sec, AttemptResult{ID: 200})
		if late := drainAndCloseMigrated(b, r, 4*sec+drainStep, 4*sec+2*drainStep); sum(late) != 1 {
			t.Errorf("%v migrated of one late connection", late)
		}
	}
}

// A relay whose drain is cancelled migrates nothing more and places as before; a second drain right after
// it sets no second timer.
func TestDrain_CancelledDrainMigratesNothingMore(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 3)
	openConnections(t, b, r, 60)
	r.clear()
	b.DrainBy(2*sec, 4*sec)
	first := sum(drainAndCloseMigrated(b, r, 2*sec, 2500*ms))
	if b.DrainBy(2500*ms, 9*sec); b.drain.deadline != 4*sec { // seed 1193: SIGTERM within a drain put its end off
		t.Errorf("a drain until 4 s ends at %v", b.drain.deadline)
	}
	b.DrainBy(2500*ms, 0)
	b.DrainBy(2500*ms, 5*sec)
	b.DrainBy(2500*ms, 0)
	if n := len(r.take(actionTimer)); n > 1 {
		t.Errorf("%d timers set", n)
	}
	rest := sum(drainAndCloseMigrated(b, r, 2500*ms, 6*sec))
	if first == 0 || first > 30 || rest != 0 {
		t.Errorf("%d migrated before, %d after the drain was cancelled", first, rest)
	}
	for _, s := range b.endpoints.byID {
		if s.concurrency.limit != 0 {
			t.Errorf("backend %d bears %v, though it showed no trouble", s.ID, s.concurrency.limit)
		}
	}
}

// Seed 100 of the simulation: the connections on a backend that began to drain just before its relay did
// were migrated over the backend's time, and cut off when the relay stopped before it.
func TestDrain_BackendDrainEndsWithRelayDrain(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 3)
	at := openConnections(t, b, r, 30)
	list := readyBackends(3)
	list[0].State = StateDraining
	b.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	r.clear()
	b.DrainBy(2*sec, 3500*ms)
	drainAndCloseMigrated(b, r, 2*sec, 3500*ms)
	if left := b.endpoints.byID[1].connections; at[1] == 0 || left != 0 {
		t.Errorf("of %d on the draining backend %d are left when the relay ends", at[1], left)
	}
}

// A backend that is ready again after draining has no limit left from it.
func TestDrain_BackendReadyAgainHasNoLimit(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 2)
	openConnections(t, b, r, 20)
	list := readyBackends(2)
	list[0].State = StateDraining
	b.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	maintainAndCloseMigrated(b, r, 3*sec)
	b.EndpointsUpdated(4*sec, UpdateDelta, readyBackends(2)[:1])
	if l := b.endpoints.byID[1].concurrency.limit; l != 0 {
		t.Errorf("the limit of the drain, %v, stays", l)
	}
}
