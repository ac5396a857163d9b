package balance

import (
	"testing"
)

// Without a ready backend a request is held, and answered before its client gives up.
func TestBalancer_HoldsRequestWithoutBackendsAndAnswersInTime(t *testing.T) {
	r := &recorder{}
	b := New(sec, 1, defaultSettings(), r)
	b.EndpointsUpdated(sec, UpdateCached, nil)
	r.clear()
	b.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 2 * sec})
	if len(r.take(actionSend))+len(r.take(actionReject))+len(r.take(actionFail)) != 0 {
		t.Fatalf("answered at once: %v", r.actions)
	}
	timers := r.take(actionTimer)
	if len(timers) != 1 || timers[0].delay > 2*sec {
		t.Fatalf("no timely timer: %v", r.actions)
	}
	r.clear()
	b.TimerFired(sec+timers[0].delay, timers[0].id)
	if len(r.take(actionReject)) != 1 {
		t.Fatalf("no final answer: %v", r.actions)
	}
	r.clear()
	b.EndpointsUpdated(4*sec, UpdateFull, readyBackends(3))
	if len(r.take(actionSend)) != 0 {
		t.Fatal("sent after the final answer")
	}
}

// A held request is sent as soon as a backend is ready.
func TestBalancer_SendsHeldRequestWhenBackendAppears(t *testing.T) {
	r := &recorder{}
	b := New(sec, 1, defaultSettings(), r)
	b.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 2 * sec})
	r.clear()
	b.EndpointsUpdated(sec+100*ms, UpdateFull, readyBackends(1))
	if got := r.take(actionSend); len(got) != 1 {
		t.Fatalf("held request not sent: %v", r.actions)
	}
}

// Events of unknown requests, backends and attempts cause no action.
func TestBalancer_IgnoresUnknownAndLateEvents(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 3)
	first := mustSend(t, b, r, sec, Request{ID: 1, Key: 1})
	r.clear()
	b.AttemptEnded(sec, AttemptResult{ID: 77, Backend: 1, Status: StatusError})
	b.AttemptEnded(sec, AttemptResult{ID: 1, Attempt: 3, Backend: first, Status: StatusError})
	b.AttemptSucceeded(sec, AttemptResult{ID: 78})
	b.ClientClosed(sec, 79)
	b.LoadReported(sec, 80, SignalConnectionLoad, 5)
	b.TimerFired(sec, 81)
	b.HealthCheckDone(sec, HealthCheckResult{Backend: 99})
	b.GossipReceived(sec, 7, []byte{1, 2, 3})
	b.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: sec})
	if len(r.actions) != 0 {
		t.Fatalf("acted on nothing: %v", r.actions)
	}
}

// Whatever the result of a late attempt, nothing is sent for a client that has left.
func TestBalancer_SendsNothingAfterClientClosed(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 4)
	to := mustSend(t, b, r, sec, Request{ID: 1, Key: 1})
	b.ClientClosed(sec+10*ms, 1)
	r.clear()
	b.AttemptEnded(sec+20*ms, AttemptResult{ID: 1, Backend: to, Status: StatusError})
	if len(r.actions) != 0 || len(b.requests) != 0 {
		t.Errorf("did %v, %d calls left", r.actions, len(b.requests))
	}
}

// A replayed decision is not counted as a second request, and its end leaves no load behind.
func TestBalancer_ReplayDecisionCountsNothingTwice(t *testing.T) {
	s := defaultSettings()
	s.Groups = true
	b, _ := newTestBalancer(t, s, 4)
	for _, o := range b.endpoints.ready {
		o.ejection.until = 60 * sec
	}
	q := Request{ID: 1, Group: 7, TimeLeft: 2 * sec}
	b.RequestArrived(2*sec, q) // rejected
	b.ReplayDecision(2*sec, q, 0, 3, true)
	if all, at := b.Connections(); all != 1 || at != 1 || b.requests[1].backend.ID != 3 || b.groups.total != 1 {
		t.Errorf("%d connections, %d by backend, %v requests counted", all, at, b.groups.total)
	}
	b.ReplayDecision(2*sec, q, 0, 0, false)
	if all, _ := b.Connections(); all != 0 || len(b.requests) != 0 {
		t.Errorf("%d connections and %d calls after its answer", all, len(b.requests))
	}
}
