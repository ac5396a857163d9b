package balance

import (
	"testing"
)

// Without a ready backend a request is held, and answered before its client times out.
func TestBalancer_HoldsRequestWithoutBackendsAndAnswersInTime(t *testing.T) {
	rec := &recorder{}
	balancer := New(sec, 1, defaultSettings(), rec)
	balancer.EndpointsUpdated(sec, UpdateCached, nil)
	rec.clear()
	balancer.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 2 * sec})
	if len(rec.take(actionSend))+len(rec.take(actionReject))+len(rec.take(actionFail)) != 0 {
		t.Fatalf("answered at once: %v", rec.actions)
	}
	timers := rec.take(actionTimer)
	if len(timers) != 1 || timers[0].delay > 2*sec {
		t.Fatalf("actions %v, want one timer within the client's timeout", rec.actions)
	}
	rec.clear()
	balancer.TimerFired(sec+timers[0].delay, timers[0].id)
	if len(rec.take(actionReject)) != 1 {
		t.Fatalf("actions at the timer %v, want one rejection", rec.actions)
	}
	rec.clear()
	balancer.EndpointsUpdated(4*sec, UpdateFull, readyBackends(3))
	if len(rec.take(actionSend)) != 0 {
		t.Fatal("sent after the final answer")
	}
}

// A held request is sent as soon as a backend is ready.
func TestBalancer_SendsHeldRequestWhenBackendAppears(t *testing.T) {
	rec := &recorder{}
	balancer := New(sec, 1, defaultSettings(), rec)
	balancer.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 2 * sec})
	rec.clear()
	balancer.EndpointsUpdated(sec+100*ms, UpdateFull, readyBackends(1))
	if got := rec.take(actionSend); len(got) != 1 {
		t.Fatalf("held request not sent: %v", rec.actions)
	}
}

// Events of unknown requests, backends and attempts cause no action.
func TestBalancer_IgnoresUnknownAndLateEvents(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 3)
	first := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 1})
	rec.clear()
	balancer.AttemptEnded(sec, AttemptResult{ID: 77, Backend: 1, Status: StatusError})
	balancer.AttemptEnded(sec, AttemptResult{ID: 1, Attempt: 3, Backend: first, Status: StatusError})
	balancer.AttemptSucceeded(sec, AttemptResult{ID: 78})
	balancer.ClientClosed(sec, 79)
	balancer.LoadReported(sec, 80, SignalConnectionLoad, 5)
	balancer.TimerFired(sec, 81)
	balancer.HealthCheckDone(sec, HealthCheckResult{Backend: 99})
	balancer.GossipReceived(sec, 7, []byte{1, 2, 3})
	balancer.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: sec})
	if len(rec.actions) != 0 {
		t.Fatalf("actions %v, want none", rec.actions)
	}
}

// Whatever the result of a late attempt, nothing is sent for a client that has left.
func TestBalancer_SendsNothingAfterClientClosed(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 4)
	to := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 1})
	balancer.ClientClosed(sec+10*ms, 1)
	rec.clear()
	balancer.AttemptEnded(sec+20*ms, AttemptResult{ID: 1, Backend: to, Status: StatusError})
	if len(rec.actions) != 0 || len(balancer.requests) != 0 {
		t.Errorf("actions %v, %d requests left, want none", rec.actions, len(balancer.requests))
	}
}

// A replayed decision is not counted as a second request, and its end leaves no load behind.
func TestBalancer_ReplayDecisionCountsNothingTwice(t *testing.T) {
	settings := defaultSettings()
	settings.Groups = true
	balancer, _ := newTestBalancer(t, settings, 4)
	for _, target := range balancer.endpoints.ready {
		target.ejection.until = 60 * sec
	}
	req := Request{ID: 1, Group: 7, TimeLeft: 2 * sec}
	balancer.RequestArrived(2*sec, req) // rejected
	balancer.ReplayDecision(2*sec, req, 0, 3, true)
	if all, at := balancer.Connections(); all != 1 || at != 1 || balancer.requests[1].backend.ID != 3 || balancer.groups.total != 1 {
		t.Errorf("%d connections, %d by backend, %v requests counted", all, at, balancer.groups.total)
	}
	balancer.ReplayDecision(2*sec, req, 0, 0, false)
	if all, _ := balancer.Connections(); all != 0 || len(balancer.requests) != 0 {
		t.Errorf("%d connections and %d requests are left after the final answer", all, len(balancer.requests))
	}
}
