package balance

import (
	"testing"
	"time"
)

// timed starts a balancer whose servers are all known well enough to send to at once.
func timed(t *testing.T, n int) (*Balancer, *recorder) {
	s := settings()
	s.Cancellation, s.RetryAfter, s.MaxRetryAfter = true, true, 2*sec
	b, r := start(t, s, n)
	b.retryBudget.tokens = 10
	return b, r
}

func TestAnAttemptHasTheTimeThatItsRouteSays(t *testing.T) {
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
		b, r := timed(t, 3)
		b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: tc.left, RetryPolicy: tc.timing})
		if got := r.take("send"); len(got) != 1 || got[0].wait != tc.want {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}

// What may still have run is repeated only where its effect allows it.
func TestWhatTimedOutMayHaveRun(t *testing.T) {
	for class, again := range map[int]bool{0: true, 1: false} {
		b, r := timed(t, 4)
		b.RequestArrived(sec, Request{ID: 1, Class: class, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{AttemptTimeout: 200 * ms}})
		to := r.take("send")[0].to
		r.clear()
		b.AttemptEnded(sec+200*ms, AttemptResult{ID: 1, Backend: to, Status: StatusTimeout})
		var sends, fails int
		for _, a := range r.did {
			switch a.what {
			case "send":
				sends++
			case "fail":
				fails++
			}
		}
		if again != (sends == 1) || again == (fails == 1) {
			t.Errorf("class %d: %d sent again, %d failed", class, sends, fails)
		}
	}
}

func TestAttemptsAreCountedByTheRouteAndNeverOverTheSettings(t *testing.T) {
	for attempts, want := range map[int]int{0: 4, 1: 1, 2: 2, 9: 4} {
		b, r := timed(t, 8)
		b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{MaxAttempts: attempts}})
		n := 0
		for s := r.take("send"); len(s) == 1; s = r.take("send") {
			n++
			r.clear()
			b.AttemptEnded(sec, AttemptResult{ID: 1, Attempt: n - 1, Backend: s[0].to, Status: StatusConnectFailed})
		}
		if n != want {
			t.Errorf("%d attempts by the route: %d made", attempts, n)
		}
	}
}

func TestABackOffIsHeldAndDoublesUpToItsCeiling(t *testing.T) {
	b, r := timed(t, 8)
	b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{BaseBackoff: 100 * ms, MaxBackoff: 150 * ms}})
	now := sec
	for n, most := range []time.Duration{100 * ms, 150 * ms, 150 * ms} {
		to := r.take("send")
		if len(to) != 1 {
			t.Fatalf("attempt %d: %+v", n, r.did)
		}
		r.clear()
		b.AttemptEnded(now, AttemptResult{ID: 1, Attempt: n, Backend: to[0].to, Status: StatusConnectFailed})
		wait := time.Duration(0)
		for _, a := range r.did {
			switch {
			case a.what == "send":
				t.Fatalf("attempt %d went out without a pause", n+1)
			case a.what == "after" && a.id == 1:
				wait = a.wait
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
	b, r = timed(t, 8)
	b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 60 * ms, RetryPolicy: &RetryPolicy{BaseBackoff: 200 * ms}})
	to := r.take("send")[0].to
	b.AttemptEnded(sec, AttemptResult{ID: 1, Backend: to, Status: StatusConnectFailed})
	if len(r.take("refuse")) != 1 {
		t.Error("given up, but not answered at once")
	}
}

// A pause that ends while its server drains finds another; a request keeps what it began with.
func TestAfterAPauseTheFleetIsLookedAtAnew(t *testing.T) {
	b, r := timed(t, 3)
	b.RequestArrived(sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{BaseBackoff: 100 * ms}})
	first := r.take("send")[0].to
	r.clear()
	b.AttemptEnded(sec, AttemptResult{ID: 1, Backend: first, Status: StatusOverloaded})
	list := fleet(3)
	for i := range list {
		if list[i].ID != first && len(list) > 0 {
			list[i].State = StateDraining
			b.EndpointsUpdated(sec+50*ms, UpdateDelta, list[i:i+1])
			left := 6 - int(first) - int(list[i].ID)
			r.clear()
			b.TimerFired(sec+200*ms, 1)
			if got := r.take("send"); len(got) != 1 || int(got[0].to) != left {
				t.Errorf("after the pause: %+v, wanted %d", got, left)
			}
			return
		}
	}
}

// A second copy goes out only once the first is known to have ended, and only where it may and can.
func TestASecondCopyNeverOverlapsTheFirst(t *testing.T) {
	for _, tc := range []struct {
		name    string
		class   int
		servers int
		budget  float64
		want    bool
	}{
		{"safe", 0, 4, 5, true},
		{"unsafe", 1, 4, 5, false},
		{"nobody else", 0, 1, 5, false},
		{"no budget", 0, 4, 0.5, false},
	} {
		b, r := timed(t, tc.servers)
		b.retryBudget.tokens = tc.budget - 0.2
		b.RequestArrived(sec, Request{ID: 1, Class: tc.class, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{HedgeDelay: 300 * ms}})
		to := r.take("send")[0].to
		r.clear()
		b.TimerFired(sec+200*ms, 1)
		if len(r.take("cancel")) != 0 {
			t.Errorf("%s: cancelled before its time", tc.name)
		}
		b.TimerFired(sec+300*ms, 1)
		b.TimerFired(sec+310*ms, 1)
		if got := len(r.take("cancel")); got != map[bool]int{true: 1}[tc.want] {
			t.Errorf("%s: %d cancelled", tc.name, got)
			continue
		}
		if len(r.take("send")) != 0 {
			t.Errorf("%s: a second is out beside the first", tc.name)
		}
		if !tc.want {
			continue
		}
		r.clear()
		b.AttemptEnded(sec+312*ms, AttemptResult{ID: 1, Backend: to, Status: StatusCancelled})
		if got := r.take("send"); len(got) != 1 || got[0].to == to {
			t.Errorf("%s: then %+v", tc.name, got)
		}
	}
}

func TestWhatClientsSendAgainEarnsNothingWhereTheBudgetIsSet(t *testing.T) {
	b, _ := timed(t, 8)
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

// A whole shorter than a probe's answer is not spent on waiting for one.
func TestATotalShorterThanAProbeIsNotSpentOnIt(t *testing.T) {
	s := settings()
	s.HealthChecks, s.DialTimeout = true, 20*ms
	for total, asks := range map[time.Duration]int{0: 1, 80 * ms: 0, sec: 1} {
		b, r := start(t, s, 3)
		b.RequestArrived(10*sec, Request{ID: 1, Key: 7, TimeLeft: 2 * sec, RetryPolicy: &RetryPolicy{RequestTimeout: total}})
		if probes, sends := len(r.take("probe")), len(r.take("send")); probes != asks || sends != 1-asks {
			t.Errorf("a total of %v: %d probes, %d sent", total, probes, sends)
		}
	}
}
