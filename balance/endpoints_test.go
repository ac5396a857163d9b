package balance

import (
	"testing"
)

// Draining and removed backends get no new request.
func TestEndpoints_NothingNewToDrainingOrRemoved(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 3)
	list := readyBackends(3)
	list[0].State = StateDraining
	b.EndpointsUpdated(2*sec, UpdateDelta, list[:1])
	b.EndpointsUpdated(2*sec, UpdateDelta, []Backend{{ID: 2, State: StateRemoved, Weight: 1}})
	for id := uint64(1); id < 50; id++ {
		if to := mustSend(t, b, r, 2*sec, Request{ID: id, Key: id}); to != 3 {
			t.Fatalf("request %d went to %d", id, to)
		}
	}
}

// A failed request for the endpoint list is repeated after a backoff.
func TestEndpoints_PollingBacksOffAndRetries(t *testing.T) {
	s := defaultSettings()
	s.PollEndpoints = true
	r := &recorder{}
	b := New(sec, 1, s, r)
	if len(r.take(actionWatch)) != 1 {
		t.Fatal("did not ask for the list")
	}
	r.clear()
	b.EndpointsUpdated(2*sec, UpdateFailed, nil)
	if len(r.take(actionWatch)) != 0 {
		t.Fatal("requested again at once")
	}
	for now := 2 * sec; now < 5*sec; now += sec {
		b.TimerFired(now, maintenanceTimer)
	}
	if n := len(r.take(actionWatch)); n != 1 {
		t.Fatalf("requested %d times in 3 s", n)
	}
}

// A backend that restarts under the same ID is cold and inherits neither ejection nor limit.
func TestEndpoints_RestartUnderSameIDForgetsHistory(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 4)
	s := b.endpoints.byID[1]
	s.concurrency.limit, s.ejection.until, s.ejection.duration = 3, 60*sec, 16*sec
	b.EndpointsUpdated(30*sec, UpdateDelta, []Backend{{ID: 1, State: StateReady, Weight: 1, ReadyAt: 29 * sec}})
	if s.concurrency.limit != 0 || s.ejection.until != 0 || s.ejection.duration != 0 {
		t.Errorf("old state is left: %+v", s)
	}
	n := 0
	for id := uint64(1); id <= 100; id++ {
		if mustSend(t, b, r, 30*sec, Request{ID: id, Key: id}) == 1 {
			n++
		}
	}
	if n > 2 {
		t.Errorf("a restarted backend got %d connections at once", n)
	}
}
