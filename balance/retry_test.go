package balance

import (
	"testing"
	"time"
)

// An attempt that may have executed is repeated only as its class allows.
func TestRetry_RespectsIdempotency(t *testing.T) {
	type step struct {
		class  int
		status Status
		want   string // what follows the end of the first attempt
	}
	for _, tc := range []struct {
		name string
		step
	}{
		{"idempotent after an error", step{0, StatusError, "send"}},
		{"not idempotent after an error", step{1, StatusError, "fail"}},
		{"not idempotent after a timeout", step{1, StatusTimeout, "fail"}},
		{"not idempotent after a rejection", step{1, StatusOverloaded, "send"}},
		{"not idempotent after a failed connect", step{1, StatusConnectFailed, "send"}},
		{"key deduplicated in a cell", step{2, StatusError, "send cell"}},
		{"key deduplicated in a zone", step{3, StatusReset, "send zone"}},
		{"key deduplicated everywhere", step{4, StatusReset, "send"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			balancer, rec := newTestBalancer(t, defaultSettings(), 8)
			first := mustSend(t, balancer, rec, sec, Request{ID: 9, Class: tc.class, Key: 5})
			rec.clear()
			balancer.AttemptEnded(sec+100*ms, AttemptResult{ID: 9, Backend: first, Status: tc.status})
			sends, fails := rec.take(actionSend), rec.take(actionFail)
			if tc.want == "fail" {
				if len(sends) != 0 || len(fails) != 1 {
					t.Fatalf("actions after the first attempt: %v", rec.actions)
				}
				return
			}
			if len(sends) != 1 || sends[0].to == first && tc.want == "send" {
				t.Fatalf("actions after the first attempt: %v", rec.actions)
			}
			cell := func(id BackendID) int { return int(id-1) / 2 }
			zone := func(id BackendID) int { return int(id-1) % 2 }
			if tc.want == "send cell" && cell(sends[0].to) != cell(first) {
				t.Errorf("the retry went to backend %d, outside the cell of %d", sends[0].to, first)
			}
			if tc.want == "send zone" && zone(sends[0].to) != zone(first) {
				t.Errorf("the retry went to backend %d, outside the zone of %d", sends[0].to, first)
			}
		})
	}
}

// A request with an idempotency key is not repeated after its deduplication window.
func TestRetry_EndsWithDedupWindow(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 8)
	first := mustSend(t, balancer, rec, sec, Request{ID: 9, Class: 3, Key: 5})
	rec.clear()
	balancer.AttemptEnded(sec+sec, AttemptResult{ID: 9, Backend: first, Status: StatusReset})
	if len(rec.take(actionSend)) != 0 || len(rec.take(actionFail)) != 1 || len(rec.take(actionReject)) != 0 {
		t.Fatalf("actions after the deduplication window: %v", rec.actions)
	}
	// A retry within the window may establish its connection only after it, and the request could execute twice.
	settings := defaultSettings()
	settings.DialTimeout = 300 * ms
	for _, c := range []struct {
		at   time.Duration
		want int // retries
	}{{sec + settings.Classes[3].DedupWindow - 250*ms, 0}, {sec + settings.Classes[3].DedupWindow - 350*ms, 1}} {
		balancer, rec := newTestBalancer(t, settings, 8)
		first := mustSend(t, balancer, rec, sec, Request{ID: 9, Class: 3, Key: 5})
		rec.clear()
		balancer.AttemptEnded(c.at, AttemptResult{ID: 9, Backend: first, Status: StatusReset})
		if got := len(rec.take(actionSend)); got != c.want {
			t.Errorf("%v before the end of the window: %d retries, want %d", sec+settings.Classes[3].DedupWindow-c.at, got, c.want)
		}
	}
}

// Without a policy, an attempt may take all the time that the request has left. While connections are slow to
// establish everywhere, an attempt that is cut short wastes its work and is repeated.
func TestRetry_AttemptGetsAllTimeLeft(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 8)
	balancer.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 1900 * ms})
	if got := rec.take(actionSend); len(got) != 1 || got[0].delay != 1900*ms {
		t.Errorf("attempts %v, want one with a timeout of 1.9 s", got)
	}
}

// sendSequence passes n requests to the Balancer, one every 20 ms, and ends each attempt after the time took,
// with the status that statusOf returns for its backend. It returns the number of attempts.
func sendSequence(balancer *Balancer, rec *recorder, now *time.Duration, id *uint64, n int, took time.Duration,
	statusOf func(to BackendID) Status) (attempts int) {
	for range n {
		*id++
		*now += 20 * ms
		rec.clear()
		balancer.RequestArrived(*now, Request{ID: *id, Key: *id, TimeLeft: 2 * sec})
		for got := rec.take(actionSend); len(got) > 0; got = rec.take(actionSend) {
			attempts++
			rec.clear()
			if status := statusOf(got[0].to); status == StatusOK {
				balancer.AttemptSucceeded(*now+took, AttemptResult{ID: *id, Backend: got[0].to, Attempt: got[0].attempt, Latency: took})
				balancer.AttemptEnded(*now+took, AttemptResult{ID: *id, Backend: got[0].to, Status: StatusOK, Closed: true})
			} else {
				endAttempt(balancer, *now+took, *id, got[0].to, status)
			}
		}
	}
	return attempts
}

// While connections fail or are slow at all backends, the relay makes fewer attempts. Reconnecting clients can
// overload a store that every connection needs: if 260 relays go on with some 500 attempts a second, more than
// the store can serve, no connection is established any more.
func TestPacing_SlowsDownWhileAllBackendsFail(t *testing.T) {
	for name, slow := range map[string]bool{"errors": false, "slow": true} {
		t.Run(name, func(t *testing.T) {
			settings := defaultSettings()
			settings.MaxAttempts, settings.RetryAfter = 1, true
			balancer, rec := newTestBalancer(t, settings, 12)
			now, id := sec, uint64(0)
			statusOf, took := func(BackendID) Status { return StatusOK }, 10*ms
			if n := sendSequence(balancer, rec, &now, &id, 100, took, statusOf); n != 100 {
				t.Fatalf("%d attempts for 100 requests while all backends answer quickly", n)
			}
			if slow {
				took = 400 * ms // the latency objective is 500
			} else {
				statusOf = func(BackendID) Status { return StatusError }
			}
			if n := sendSequence(balancer, rec, &now, &id, 200, took, statusOf); n > 40 {
				t.Errorf("%d attempts for 200 requests while all backends fail or are slow", n)
			}
			if got := rec.take(actionReject); len(got) != 1 || got[0].delay <= 0 {
				t.Errorf("rejections %v, want one with a retry-after time", got)
			}
			statusOf, took = func(BackendID) Status { return StatusOK }, 10*ms
			now += maxAttemptInterval * 2
			sendSequence(balancer, rec, &now, &id, 2000, took, statusOf)
			if n := sendSequence(balancer, rec, &now, &id, 100, took, statusOf); n != 100 {
				t.Errorf("%d attempts for 100 requests after all backends have recovered", n)
			}
		})
	}
}

// Network latency alone does not slow attempts down. With zones 20 ms apart, each connection to another zone
// takes longer than half of a latency objective of 60 ms though all backends are healthy: pacing for that
// causes nine in ten rejections of 300 relays, 9,200 of 10,700. The attempts of a class with a short
// timeout end before healthy backends can answer.
func TestPacing_IgnoresNetworkLatency(t *testing.T) {
	for _, c := range []struct {
		name   string
		took   time.Duration
		status Status
		paced  bool
	}{
		{"established past its objective, within the dial timeout", 100 * ms, StatusOK, false},
		{"timed out within the dial timeout", 150 * ms, StatusTimeout, false},
		{"established past both", 300 * ms, StatusOK, true},
		{"timed out past both", 300 * ms, StatusTimeout, true},
	} {
		settings := defaultSettings()
		settings.Classes[0].LatencyObjective, settings.DialTimeout, settings.MaxAttempts = 60*ms, 250*ms, 1
		balancer, rec := newTestBalancer(t, settings, 12)
		now, id := sec, uint64(0)
		sendSequence(balancer, rec, &now, &id, 40, c.took, func(BackendID) Status { return c.status })
		if got := balancer.pacer.interval > 0; got != c.paced {
			t.Errorf("%s: attempts are spaced by %v", c.name, balancer.pacer.interval)
		}
	}
}

// A relay that paces its attempts does not reject packets of open connections, which would break them.
func TestPacing_MidStreamIsNotDelayed(t *testing.T) {
	settings := defaultSettings()
	settings.PassThrough, settings.MaxAttempts = true, 1
	balancer, rec := newTestBalancer(t, settings, 12)
	now, id := sec, uint64(0)
	sendSequence(balancer, rec, &now, &id, 40, 10*ms, func(BackendID) Status { return StatusError })
	if now >= balancer.pacer.nextAttempt {
		t.Fatal("attempts are not paced")
	}
	rec.clear()
	balancer.RequestArrived(now, Request{ID: 1 << 20, Key: 1, MidStream: true, TimeLeft: 2 * sec})
	if len(rec.take(actionSend)) != 1 {
		t.Error("packets of an open connection were not sent on")
	}
	balancer.RequestArrived(now, Request{ID: 1 << 21, Key: 1, TimeLeft: 2 * sec})
	if len(rec.take(actionReject)) != 1 {
		t.Error("a new connection was not rejected")
	}
}

// The failures of a single backend cause no pacing.
func TestPacing_IgnoresFailuresOfOneBackend(t *testing.T) {
	settings := defaultSettings()
	settings.MaxAttempts = 1
	balancer, rec := newTestBalancer(t, settings, 12)
	now, id := sec, uint64(0)
	sendSequence(balancer, rec, &now, &id, 400, 10*ms, func(at BackendID) Status {
		if at == 3 {
			return StatusError
		}
		return StatusOK
	})
	if balancer.pacer.interval != 0 {
		t.Errorf("attempts are spaced by %v", balancer.pacer.interval)
	}
}

// A request that fails at one backend after another may itself be the cause: its failures cause no pacing, and
// it gets all its attempts.
func TestPacing_IgnoresFailuresOfOneRequest(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 12)
	sendSequence(balancer, rec, new(time.Duration), new(uint64), 30, 10*ms, func(BackendID) Status { return StatusOK })
	rec.clear()
	balancer.RequestArrived(sec, Request{ID: 99, Key: 99, TimeLeft: 2 * sec})
	for n := range 4 {
		got := rec.take(actionSend)
		if len(got) != n+1 {
			t.Fatalf("%d attempts after %d failures", len(got), n)
		}
		balancer.AttemptEnded(sec+10*ms, AttemptResult{ID: 99, Attempt: n, Backend: got[n].to, Status: StatusError})
	}
}

// newRetryBalancer returns a Balancer with n ready backends and a full retry budget.
func newRetryBalancer(t *testing.T, n int) (*Balancer, *recorder) {
	settings := defaultSettings()
	settings.Cancellation, settings.RetryAfter, settings.MaxRetryAfter = true, true, 2*sec
	balancer, rec := newTestBalancer(t, settings, n)
	balancer.retryBudget.tokens = 10
	return balancer, rec
}

// The timeout of an attempt is the least of the policy's timeouts and the time that the client still waits.
func TestRetry_AttemptTimeoutFollowsPolicy(t *testing.T) {
	for _, tc := range []struct {
		name   string
		policy *RetryPolicy
		left   time.Duration
		want   time.Duration
	}{
		{"no policy", nil, 2 * sec, 2 * sec},
		{"policy without values", &RetryPolicy{}, 2 * sec, 2 * sec},
		{"attempt timeout", &RetryPolicy{AttemptTimeout: 300 * ms}, 2 * sec, 300 * ms},
		{"request timeout", &RetryPolicy{RequestTimeout: 900 * ms}, 2 * sec, 900 * ms},
		{"client waits for less", &RetryPolicy{AttemptTimeout: 3 * sec, RequestTimeout: 4 * sec}, 700 * ms, 700 * ms},
	} {
		balancer, rec := newRetryBalancer(t, 3)
		balancer.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: tc.left, RetryPolicy: tc.policy})
		if got := rec.take(actionSend); len(got) != 1 || got[0].delay != tc.want {
			t.Errorf("%s: attempts %+v", tc.name, got)
		}
	}
}

// An attempt that timed out may have executed and is repeated only where its class allows it.
func TestRetry_TimedOutAttemptMayHaveExecuted(t *testing.T) {
	for class, repeated := range map[int]bool{0: true, 1: false} {
		balancer, rec := newRetryBalancer(t, 4)
		balancer.RequestArrived(sec, Request{ID: 1, Class: class, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{AttemptTimeout: 200 * ms}})
		to := rec.take(actionSend)[0].to
		rec.clear()
		balancer.AttemptEnded(sec+200*ms, AttemptResult{ID: 1, Backend: to, Status: StatusTimeout})
		var sends, fails int
		for _, a := range rec.actions {
			switch a.kind {
			case actionSend:
				sends++
			case actionFail:
				fails++
			}
		}
		if repeated != (sends == 1) || repeated == (fails == 1) {
			t.Errorf("class %d: %d repeated, %d failed", class, sends, fails)
		}
	}
}

// The policy limits the number of attempts, but cannot raise it above that of the settings.
func TestRetry_MaxAttemptsOfPolicyWithinSettings(t *testing.T) {
	for attempts, want := range map[int]int{0: 4, 1: 1, 2: 2, 9: 4} {
		balancer, rec := newRetryBalancer(t, 8)
		balancer.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{MaxAttempts: attempts}})
		n := 0
		for sends := rec.take(actionSend); len(sends) == 1; sends = rec.take(actionSend) {
			n++
			rec.clear()
			balancer.AttemptEnded(sec, AttemptResult{ID: 1, Attempt: n - 1, Backend: sends[0].to, Status: StatusConnectFailed})
		}
		if n != want {
			t.Errorf("policy with %d attempts: %d made", attempts, n)
		}
	}
}

// A retry waits for the backoff, which doubles up to its maximum.
func TestRetry_BackoffDoublesUpToMaximum(t *testing.T) {
	balancer, rec := newRetryBalancer(t, 8)
	balancer.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{BaseBackoff: 100 * ms, MaxBackoff: 150 * ms}})
	now := sec
	for n, longest := range []time.Duration{100 * ms, 150 * ms, 150 * ms} {
		sends := rec.take(actionSend)
		if len(sends) != 1 {
			t.Fatalf("attempt %d: actions %+v, want one attempt", n, rec.actions)
		}
		rec.clear()
		balancer.AttemptEnded(now, AttemptResult{ID: 1, Attempt: n, Backend: sends[0].to, Status: StatusConnectFailed})
		wait := time.Duration(0)
		for _, a := range rec.actions {
			switch {
			case a.kind == actionSend:
				t.Fatalf("attempt %d started without a backoff", n+1)
			case a.kind == actionTimer && a.id == 1:
				wait = a.delay
			}
		}
		if wait < longest/2 || wait > longest {
			t.Errorf("a backoff of %v after attempt %d, want at most %v", wait, n, longest)
		}
		balancer.TimerFired(now+wait/2, 1)
		rec.clear()
		now += wait
		balancer.TimerFired(now, 1)
	}
	// A backoff that would outlast the request is not started.
	balancer, rec = newRetryBalancer(t, 8)
	balancer.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 60 * ms, RetryPolicy: &RetryPolicy{BaseBackoff: 200 * ms}})
	to := rec.take(actionSend)[0].to
	balancer.AttemptEnded(sec, AttemptResult{ID: 1, Backend: to, Status: StatusConnectFailed})
	if len(rec.take(actionReject)) != 1 {
		t.Error("the request was not rejected at once")
	}
}

// A backend that drains during the backoff gets no attempt after it.
func TestRetry_PlacementIsDecidedAfterBackoff(t *testing.T) {
	balancer, rec := newRetryBalancer(t, 3)
	balancer.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{BaseBackoff: 100 * ms}})
	first := rec.take(actionSend)[0].to
	rec.clear()
	balancer.AttemptEnded(sec, AttemptResult{ID: 1, Backend: first, Status: StatusOverloaded})
	list := readyBackends(3)
	for i := range list {
		if list[i].ID != first && len(list) > 0 {
			list[i].State = StateDraining
			balancer.EndpointsUpdated(sec+50*ms, UpdateDelta, list[i:i+1])
			remaining := 6 - int(first) - int(list[i].ID)
			rec.clear()
			balancer.TimerFired(sec+200*ms, 1)
			if got := rec.take(actionSend); len(got) != 1 || int(got[0].to) != remaining {
				t.Errorf("after the backoff: attempts %+v, want one at backend %d", got, remaining)
			}
			return
		}
	}
}

// The hedged attempt starts only once the first is known to have ended, and only if the request may be repeated,
// another backend is ready and the retry budget is not empty.
func TestRetry_HedgeNeverOverlapsFirstAttempt(t *testing.T) {
	for _, tc := range []struct {
		name     string
		class    int
		backends int
		budget   float64
		want     bool
	}{
		{"idempotent", 0, 4, 5, true},
		{"not idempotent", 1, 4, 5, false},
		{"no other backend", 0, 1, 5, false},
		{"empty retry budget", 0, 4, 0.5, false},
	} {
		balancer, rec := newRetryBalancer(t, tc.backends)
		balancer.retryBudget.tokens = tc.budget - 0.2
		balancer.RequestArrived(sec, Request{ID: 1, Class: tc.class, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{HedgeDelay: 300 * ms}})
		to := rec.take(actionSend)[0].to
		rec.clear()
		balancer.TimerFired(sec+200*ms, 1)
		if len(rec.take(actionCancel)) != 0 {
			t.Errorf("%s: cancelled before the hedge delay", tc.name)
		}
		balancer.TimerFired(sec+300*ms, 1)
		balancer.TimerFired(sec+310*ms, 1)
		if got := len(rec.take(actionCancel)); got != map[bool]int{true: 1}[tc.want] {
			t.Errorf("%s: %d cancelled", tc.name, got)
			continue
		}
		if len(rec.take(actionSend)) != 0 {
			t.Errorf("%s: a second attempt started while the first was pending", tc.name)
		}
		if !tc.want {
			continue
		}
		rec.clear()
		balancer.AttemptEnded(sec+312*ms, AttemptResult{ID: 1, Backend: to, Status: StatusCancelled})
		if got := rec.take(actionSend); len(got) != 1 || got[0].to == to {
			t.Errorf("%s: attempts after the first one ended: %+v", tc.name, got)
		}
	}
}

// Where the policy sets the retry budget, a client's retry adds nothing to it.
func TestRetry_ClientRetryEarnsNothingWithPolicyBudget(t *testing.T) {
	balancer, _ := newRetryBalancer(t, 8)
	for _, tc := range []struct {
		policy      *RetryPolicy
		clientRetry bool
		want        float64
	}{{nil, true, 0.2}, {&RetryPolicy{RetryBudget: 0.05}, false, 0.05}, {&RetryPolicy{RetryBudget: 0.05}, true, 0}} {
		balancer.retryBudget.tokens = 1
		balancer.RequestArrived(sec, Request{ID: uint64(100 * tc.want), Key: 7, TimeLeft: sec, RetryPolicy: tc.policy, ClientRetry: tc.clientRetry})
		if got := balancer.retryBudget.tokens - 1; got < tc.want-1e-9 || got > tc.want+1e-9 {
			t.Errorf("%+v earned %v", tc, got)
		}
	}
}
