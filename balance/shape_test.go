package balance

import (
	"testing"
	"time"
)

// ends reports the end of a request's only attempt so far.
func ends(b *Balancer, now time.Duration, id uint64, at BackendID, st Status) {
	b.Outcome(now, Outcome{ID: id, Backend: at, Status: st})
}

// flood asks for one place after the other, one each step, and answers each attempt as how says, after took. It
// returns how many attempts went out.
func flood(b *Balancer, r *recorder, now *time.Duration, id *uint64, n int, took time.Duration,
	how func(at BackendID) Status) (sends int) {
	for range n {
		*id++
		*now += 20 * ms
		r.clear()
		b.Request(*now, Request{ID: *id, Key: *id, Left: 2 * sec})
		for got := r.take("send"); len(got) > 0; got = r.take("send") {
			sends++
			r.clear()
			if st := how(got[0].to); st == OK {
				b.Began(*now+took, Outcome{ID: *id, Backend: got[0].to, Attempt: got[0].attempt, Latency: took})
				b.Outcome(*now+took, Outcome{ID: *id, Backend: got[0].to, Status: OK, Closed: true})
			} else {
				ends(b, *now+took, *id, got[0].to, st)
			}
		}
	}
	return sends
}

// A store that all set-ups need was jammed by clients that came back: 260 relays went on with some 500 attempts a
// second, more than it could do, and for the rest of the day not one set-up came through.
func TestSetUpsThatFailEverywhereAreSpacedOut(t *testing.T) {
	for name, slow := range map[string]bool{"errors": false, "slow": true} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.TryLimit, s.RetryAfter = 1, true
			b, r := start(t, s, 12)
			now, id := sec, uint64(0)
			how, took := func(BackendID) Status { return OK }, 10*ms
			if n := flood(b, r, &now, &id, 100, took, how); n != 100 {
				t.Fatalf("%d of 100 attempts with all well", n)
			}
			if slow {
				took = 400 * ms // of 500 in which a set-up is wanted
			} else {
				how = func(BackendID) Status { return Error }
			}
			if n := flood(b, r, &now, &id, 200, took, how); n > 40 {
				t.Errorf("%d of 200 attempts while all set-ups fail", n)
			}
			if got := r.take("refuse"); len(got) != 1 || got[0].wait <= 0 {
				t.Errorf("refused as %v, want one with a time to come back", got)
			}
			how, took = func(BackendID) Status { return OK }, 10*ms
			now += longestGap * 2
			flood(b, r, &now, &id, 2000, took, how)
			if n := flood(b, r, &now, &id, 100, took, how); n != 100 {
				t.Errorf("%d of 100 attempts once all is well again", n)
			}
		})
	}
}

func TestOneServersTroubleSpacesNothingOut(t *testing.T) {
	s := settings()
	s.TryLimit = 1
	b, r := start(t, s, 12)
	now, id := sec, uint64(0)
	flood(b, r, &now, &id, 400, 10*ms, func(at BackendID) Status {
		if at == 3 {
			return Error
		}
		return OK
	})
	if b.gap != 0 {
		t.Errorf("attempts are spaced out by %v", b.gap)
	}
}
