package balance

import (
	"testing"
)

// Draining and removed backends get no new request.
func TestEndpoints_NothingNewToDrainingOrRemoved(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 3)
	list := readyBackends(3)
	list[0].State = StateDraining
	balancer.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	balancer.EndpointsUpdated(2*sec, UpdateDelta, []Backend{{ID: 2, State: StateRemoved, Weight: 1}})
	for id := uint64(1); id < 50; id++ {
		if to := mustSend(t, balancer, rec, 2*sec, Request{ID: id, Key: id}); to != 3 {
			t.Fatalf("request %d went to %d", id, to)
		}
	}
}

// A failed poll of the endpoint list is repeated after a backoff.
func TestEndpoints_PollingBacksOffAndRetries(t *testing.T) {
	settings := defaultSettings()
	settings.PollEndpoints = true
	rec := &recorder{}
	balancer := New(sec, 1, settings, rec)
	if len(rec.take(actionWatch)) != 1 {
		t.Fatal("the endpoint list was not requested")
	}
	rec.clear()
	balancer.EndpointsUpdated(2*sec, UpdateFailed, nil)
	if len(rec.take(actionWatch)) != 0 {
		t.Fatal("the endpoint list was requested again without a backoff")
	}
	for now := 2 * sec; now < 5*sec; now += sec {
		balancer.TimerFired(now, maintenanceTimer)
	}
	if n := len(rec.take(actionWatch)); n != 1 {
		t.Fatalf("the endpoint list was requested %d times in 3 s", n)
	}
}

// A backend that restarts under the same ID is cold and keeps neither its ejection nor its limit.
func TestEndpoints_RestartUnderSameIDForgetsHistory(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 4)
	target := balancer.endpoints.byID[1]
	target.concurrency.limit, target.ejection.until, target.ejection.duration = 3, 60*sec, 16*sec
	balancer.EndpointsUpdated(30*sec, UpdateDelta, []Backend{{ID: 1, State: StateReady, Weight: 1, ReadyAt: 29 * sec}})
	if target.concurrency.limit != 0 || target.ejection.until != 0 || target.ejection.duration != 0 {
		t.Errorf("state from before the restart is left: %+v", target)
	}
	n := 0
	for id := uint64(1); id <= 100; id++ {
		if mustSend(t, balancer, rec, 30*sec, Request{ID: id, Key: id}) == 1 {
			n++
		}
	}
	if n > 2 {
		t.Errorf("a restarted backend got %d connections at once", n)
	}
}
