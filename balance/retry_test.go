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
		want   string // what follows the first attempt's end
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
			b, r := newTestBalancer(t, defaultSettings(), 8)
			first := mustSend(t, b, r, sec, Request{ID: 9, Class: tc.class, Key: 5})
			r.clear()
			b.AttemptEnded(sec+100*ms, AttemptResult{ID: 9, Backend: first, Status: tc.status})
			sends, fails := r.take(actionSend), r.take(actionFail)
			if tc.want == "fail" {
				if len(sends) != 0 || len(fails) != 1 {
					t.Fatalf("did %v", r.actions)
				}
				return
			}
			if len(sends) != 1 || sends[0].to == first && tc.want == "send" {
				t.Fatalf("did %v", r.actions)
			}
			cell := func(id BackendID) int { return int(id-1) / 2 }
			zone := func(id BackendID) int { return int(id-1) % 2 }
			if tc.want == "send cell" && cell(sends[0].to) != cell(first) {
				t.Errorf("left the cell: %d after %d", sends[0].to, first)
			}
			if tc.want == "send zone" && zone(sends[0].to) != zone(first) {
				t.Errorf("left the zone: %d after %d", sends[0].to, first)
			}
		})
	}
}

// A request with an idempotency key is not repeated after its deduplication window.
func TestRetry_EndsWithDedupWindow(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 8)
	first := mustSend(t, b, r, sec, Request{ID: 9, Class: 3, Key: 5})
	r.clear()
	b.AttemptEnded(sec+sec, AttemptResult{ID: 9, Backend: first, Status: StatusReset})
	if len(r.take(actionSend)) != 0 || len(r.take(actionFail)) != 1 || len(r.take(actionReject)) != 0 {
		t.Fatalf("after the window: %v", r.actions)
	}
	// Within the window, but its connection may be established only after it: it could execute twice.
	s := defaultSettings()
	s.DialTimeout = 300 * ms
	for _, c := range []struct {
		at    time.Duration
		again int
	}{{sec + s.Classes[3].DedupWindow - 250*ms, 0}, {sec + s.Classes[3].DedupWindow - 350*ms, 1}} {
		b, r := newTestBalancer(t, s, 8)
		first := mustSend(t, b, r, sec, Request{ID: 9, Class: 3, Key: 5})
		r.clear()
		b.AttemptEnded(c.at, AttemptResult{ID: 9, Backend: first, Status: StatusReset})
		if got := len(r.take(actionSend)); got != c.again {
			t.Errorf("%v before the window's end: %d sent, want %d", sec+s.Classes[3].DedupWindow-c.at, got, c.again)
		}
	}
}

// While connections are slow to establish everywhere, an attempt cut short is work lost and asked for again.
func TestRetry_AttemptGetsAllTimeLeft(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 8)
	b.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 1900 * ms})
	if got := r.take(actionSend); len(got) != 1 || got[0].delay != 1900*ms {
		t.Errorf("sends %v", got)
	}
}

// sendSequence has n requests arrive one after the other and ends each attempt with the outcome for its
// backend, after the time it took. It returns the number of attempts.
func sendSequence(b *Balancer, r *recorder, now *time.Duration, id *uint64, n int, took time.Duration,
	how func(at BackendID) Status) (sends int) {
	for range n {
		*id++
		*now += 20 * ms
		r.clear()
		b.RequestArrived(*now, Request{ID: *id, Key: *id, TimeLeft: 2 * sec})
		for got := r.take(actionSend); len(got) > 0; got = r.take(actionSend) {
			sends++
			r.clear()
			if st := how(got[0].to); st == StatusOK {
				b.AttemptSucceeded(*now+took, AttemptResult{ID: *id, Backend: got[0].to, Attempt: got[0].attempt, Latency: took})
				b.AttemptEnded(*now+took, AttemptResult{ID: *id, Backend: got[0].to, Status: StatusOK, Closed: true})
			} else {
				endAttempt(b, *now+took, *id, got[0].to, st)
			}
		}
	}
	return sends
}

// A store that every connection needs was jammed by reconnecting clients: 260 relays went on with some 500
// attempts a second, more than it could do, and not one connection was established for the rest of the
// day.
func TestPacing_SlowsDownWhileAllBackendsFail(t *testing.T) {
	for name, slow := range map[string]bool{"errors": false, "slow": true} {
		t.Run(name, func(t *testing.T) {
			s := defaultSettings()
			s.MaxAttempts, s.RetryAfter = 1, true
			b, r := newTestBalancer(t, s, 12)
			now, id := sec, uint64(0)
			how, took := func(BackendID) Status { return StatusOK }, 10*ms
			if n := sendSequence(b, r, &now, &id, 100, took, how); n != 100 {
				t.Fatalf("%d of 100 attempts with all well", n)
			}
			if slow {
				took = 400 * ms // the latency objective is 500
			} else {
				how = func(BackendID) Status { return StatusError }
			}
			if n := sendSequence(b, r, &now, &id, 200, took, how); n > 40 {
				t.Errorf("%d of 200 attempts while all fail", n)
			}
			if got := r.take(actionReject); len(got) != 1 || got[0].delay <= 0 {
				t.Errorf("rejected as %v, want one with a retry-after time", got)
			}
			how, took = func(BackendID) Status { return StatusOK }, 10*ms
			now += maxAttemptInterval * 2
			sendSequence(b, r, &now, &id, 2000, took, how)
			if n := sendSequence(b, r, &now, &id, 100, took, how); n != 100 {
				t.Errorf("%d of 100 attempts once all is well again", n)
			}
		})
	}
}

// Zones were 20 ms apart, so that each connection there took longer than half of a latency objective of 60
// ms, with all backends well: nine in ten rejections of 300 relays, 9,200 of 10,700, were for that. A
// class with a short timeout gave up on sound backends before they could answer.
func TestPacing_IgnoresNetworkLatency(t *testing.T) {
	for _, c := range []struct {
		what  string
		took  time.Duration
		st    Status
		paced bool
	}{
		{"established past its objective, within the dial timeout", 100 * ms, StatusOK, false},
		{"timed out within the dial timeout", 150 * ms, StatusTimeout, false},
		{"established past both", 300 * ms, StatusOK, true},
		{"timed out past both", 300 * ms, StatusTimeout, true},
	} {
		s := defaultSettings()
		s.Classes[0].LatencyObjective, s.DialTimeout, s.MaxAttempts = 60*ms, 250*ms, 1
		b, r := newTestBalancer(t, s, 12)
		now, id := sec, uint64(0)
		sendSequence(b, r, &now, &id, 40, c.took, func(BackendID) Status { return c.st })
		if got := b.pacer.interval > 0; got != c.paced {
			t.Errorf("%s: attempts are paced by %v", c.what, b.pacer.interval)
		}
	}
}

// A relay that paced its attempts rejected the packets of open connections, which broke them.
func TestPacing_MidStreamIsNotDelayed(t *testing.T) {
	s := defaultSettings()
	s.PassThrough, s.MaxAttempts = true, 1
	b, r := newTestBalancer(t, s, 12)
	now, id := sec, uint64(0)
	sendSequence(b, r, &now, &id, 40, 10*ms, func(BackendID) Status { return StatusError })
	if now >= b.pacer.nextAttempt {
		t.Fatal("attempts are not paced")
	}
	r.clear()
	b.RequestArrived(now, Request{ID: 1 << 20, Key: 1, MidStream: true, TimeLeft: 2 * sec})
	if len(r.take(actionSend)) != 1 {
		t.Error("packets of an open connection were rejected")
	}
	b.RequestArrived(now, Request{ID: 1 << 21, Key: 1, TimeLeft: 2 * sec})
	if len(r.take(actionReject)) != 1 {
		t.Error("a new connection was not rejected")
	}
}

// The failures of a single backend cause no pacing.
func TestPacing_IgnoresFailuresOfOneBackend(t *testing.T) {
	s := defaultSettings()
	s.MaxAttempts = 1
	b, r := newTestBalancer(t, s, 12)
	now, id := sec, uint64(0)
	sendSequence(b, r, &now, &id, 400, 10*ms, func(at BackendID) Status {
		if at == 3 {
			return StatusError
		}
		return StatusOK
	})
	if b.pacer.interval != 0 {
		t.Errorf("attempts are paced by %v", b.pacer.interval)
	}
}

// A request that fails at one backend after the other may be the cause itself, and has all its attempts.
func TestPacing_IgnoresFailuresOfOneRequest(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 12)
	sendSequence(b, r, new(time.Duration), new(uint64), 30, 10*ms, func(BackendID) Status { return StatusOK })
	r.clear()
	b.RequestArrived(sec, Request{ID: 99, Key: 99, TimeLeft: 2 * sec})
	for n := range 4 {
		got := r.take(actionSend)
		if len(got) != n+1 {
			t.Fatalf("%d attempts after %d failures", len(got), n)
		}
		b.AttemptEnded(sec+10*ms, AttemptResult{ID: 99, Attempt: n, Backend: got[n].to, Status: StatusError})
	}
}

// newRetryBalancer returns a Balancer with n ready backends and a full retry budget.
func newRetryBalancer(t *testing.T, n int) (*Balancer, *recorder) {
	s := defaultSettings()
	s.Cancellation, s.RetryAfter, s.MaxRetryAfter = true, true, 2*sec
	b, r := newTestBalancer(t, s, n)
	b.retryBudget.tokens = 10
	return b, r
}

// The timeout of an attempt is the least of the policy's and the client's.
func TestRetry_AttemptTimeoutFollowsPolicy(t *testing.T) {
	for _, tc := range []struct {
		name   string
		timing *RetryPolicy
		left   time.Duration
		want   time.Duration
	}{
		{"none", nil, 2 * sec, 2 * sec},
		{"all zero", &RetryPolicy{}, 2 * sec, 2 * sec},
		{"an attempt's", &RetryPolicy{AttemptTimeout: 300 * ms}, 2 * sec, 300 * ms},
		{"the whole's", &RetryPolicy{RequestTimeout: 900 * ms}, 2 * sec, 900 * ms},
		{"the client's patience is less", &RetryPolicy{AttemptTimeout: 3 * sec, RequestTimeout: 4 * sec}, 700 * ms, 700 * ms},
	} {
		b, r := newRetryBalancer(t, 3)
		b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: tc.left, RetryPolicy: tc.timing})
		if got := r.take(actionSend); len(got) != 1 || got[0].delay != tc.want {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}

// An attempt that timed out may have executed and is repeated only where its class allows it.
func TestRetry_TimedOutAttemptMayHaveExecuted(t *testing.T) {
	for class, again := range map[int]bool{0: true, 1: false} {
		b, r := newRetryBalancer(t, 4)
		b.RequestArrived(sec, Request{ID: 1, Class: class, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{AttemptTimeout: 200 * ms}})
		to := r.take(actionSend)[0].to
		r.clear()
		b.AttemptEnded(sec+200*ms, AttemptResult{ID: 1, Backend: to, Status: StatusTimeout})
		var sends, fails int
		for _, a := range r.actions {
			switch a.kind {
			case actionSend:
				sends++
			case actionFail:
				fails++
			}
		}
		if again != (sends == 1) || again == (fails == 1) {
			t.Errorf("class %d: %d sent again, %d failed", class, sends, fails)
		}
	}
}

// The policy limits the attempts, and never beyond the settings.
func TestRetry_MaxAttemptsOfPolicyWithinSettings(t *testing.T) {
	for attempts, want := range map[int]int{0: 4, 1: 1, 2: 2, 9: 4} {
		b, r := newRetryBalancer(t, 8)
		b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{MaxAttempts: attempts}})
		n := 0
		for s := r.take(actionSend); len(s) == 1; s = r.take(actionSend) {
			n++
			r.clear()
			b.AttemptEnded(sec, AttemptResult{ID: 1, Attempt: n - 1, Backend: s[0].to, Status: StatusConnectFailed})
		}
		if n != want {
			t.Errorf("%d attempts by the route: %d made", attempts, n)
		}
	}
}

// The backoff is waited for and doubles up to its maximum.
func TestRetry_BackoffDoublesUpToMaximum(t *testing.T) {
	b, r := newRetryBalancer(t, 8)
	b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{BaseBackoff: 100 * ms, MaxBackoff: 150 * ms}})
	now := sec
	for n, most := range []time.Duration{100 * ms, 150 * ms, 150 * ms} {
		to := r.take(actionSend)
		if len(to) != 1 {
			t.Fatalf("attempt %d: %+v", n, r.actions)
		}
		r.clear()
		b.AttemptEnded(now, AttemptResult{ID: 1, Attempt: n, Backend: to[0].to, Status: StatusConnectFailed})
		wait := time.Duration(0)
		for _, a := range r.actions {
			switch {
			case a.kind == actionSend:
				t.Fatalf("attempt %d went out without a pause", n+1)
			case a.kind == actionTimer && a.id == 1:
				wait = a.delay
			}
		}
		if wait < most/2 || wait > most {
			t.Errorf("a pause of %v after attempt %d, at most %v", wait, n, most)
		}
		b.TimerFired(now+wait/2, 1)
		r.clear()
		now += wait
		b.TimerFired(now, 1)
	}
	// One that would outlast the request is not begun.
	b, r = newRetryBalancer(t, 8)
	b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 60 * ms, RetryPolicy: &RetryPolicy{BaseBackoff: 200 * ms}})
	to := r.take(actionSend)[0].to
	b.AttemptEnded(sec, AttemptResult{ID: 1, Backend: to, Status: StatusConnectFailed})
	if len(r.take(actionReject)) != 1 {
		t.Error("given up, but not answered at once")
	}
}

// A backend that drains during the backoff gets no attempt after it.
func TestRetry_PlacementIsDecidedAfterBackoff(t *testing.T) {
	b, r := newRetryBalancer(t, 3)
	b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{BaseBackoff: 100 * ms}})
	first := r.take(actionSend)[0].to
	r.clear()
	b.AttemptEnded(sec, AttemptResult{ID: 1, Backend: first, Status: StatusOverloaded})
	list := readyBackends(3)
	for i := range list {
		if list[i].ID != first && len(list) > 0 {
			list[i].State = StateDraining
			b.EndpointsUpdated(sec+50*ms, UpdateDelta, list[i:i+1])
			left := 6 - int(first) - int(list[i].ID)
			r.clear()
			b.TimerFired(sec+200*ms, 1)
			if got := r.take(actionSend); len(got) != 1 || int(got[0].to) != left {
				t.Errorf("after the pause: %+v, wanted %d", got, left)
			}
			return
		}
	}
}

// The hedged attempt starts only once the first is known to have ended, and only where it may and can.
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
		{"no budget", 0, 4, 0.5, false},
	} {
		b, r := newRetryBalancer(t, tc.backends)
		b.retryBudget.tokens = tc.budget - 0.2
		b.RequestArrived(sec, Request{ID: 1, Class: tc.class, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{HedgeDelay: 300 * ms}})
		to := r.take(actionSend)[0].to
		r.clear()
		b.TimerFired(sec+200*ms, 1)
		if len(r.take(actionCancel)) != 0 {
			t.Errorf("%s: cancelled before its time", tc.name)
		}
		b.TimerFired(sec+300*ms, 1)
		b.TimerFired(sec+310*ms, 1)
		if got := len(r.take(actionCancel)); got != map[bool]int{true: 1}[tc.want] {
			t.Errorf("%s: %d cancelled", tc.name, got)
			continue
		}
		if len(r.take(actionSend)) != 0 {
			t.Errorf("%s: a second attempt beside the first", tc.name)
		}
		if !tc.want {
			continue
		}
		r.clear()
		b.AttemptEnded(sec+312*ms, AttemptResult{ID: 1, Backend: to, Status: StatusCancelled})
		if got := r.take(actionSend); len(got) != 1 || got[0].to == to {
			t.Errorf("%s: then %+v", tc.name, got)
		}
	}
}

// Where the policy sets the retry budget, a client's retry adds nothing to it.
func TestRetry_ClientRetryEarnsNothingWithPolicyBudget(t *testing.T) {
	b, _ := newRetryBalancer(t, 8)
	for _, tc := range []struct {
		timing *RetryPolicy
		repeat bool
		want   float64
	}{{nil, true, 0.2}, {&RetryPolicy{RetryBudget: 0.05}, false, 0.05}, {&RetryPolicy{RetryBudget: 0.05}, true, 0}} {
		b.retryBudget.tokens = 1
		b.RequestArrived(sec, Request{ID: uint64(100 * tc.want), Key: 7, TimeLeft: sec, RetryPolicy: tc.timing, ClientRetry: tc.repeat})
		if got := b.retryBudget.tokens - 1; got < tc.want-1e-9 || got > tc.want+1e-9 {
			t.Errorf("%+v earned %v", tc, got)
		}
	}
}
