package balance

import (
	"testing"
	"time"
)

// ends reports the end of a request's only attempt so far.
func ends(b *Balancer, now time.Duration, id uint64, at BackendID, st Status) {
	b.AttemptEnded(now, AttemptResult{ID: id, Backend: at, Status: st})
}

// flood asks for one place after the other, one each step, and answers each attempt as how says, after took. It
// returns how many attempts went out.
func flood(b *Balancer, r *recorder, now *time.Duration, id *uint64, n int, took time.Duration,
	how func(at BackendID) Status) (sends int) {
	for range n {
		*id++
		*now += 20 * ms
		r.clear()
		b.RequestArrived(*now, Request{ID: *id, Key: *id, TimeLeft: 2 * sec})
		for got := r.take("send"); len(got) > 0; got = r.take("send") {
			sends++
			r.clear()
			if st := how(got[0].to); st == StatusOK {
				b.AttemptSucceeded(*now+took, AttemptResult{ID: *id, Backend: got[0].to, Attempt: got[0].attempt, Latency: took})
				b.AttemptEnded(*now+took, AttemptResult{ID: *id, Backend: got[0].to, Status: StatusOK, Closed: true})
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
			s.MaxAttempts, s.RetryAfter = 1, true
			b, r := start(t, s, 12)
			now, id := sec, uint64(0)
			how, took := func(BackendID) Status { return StatusOK }, 10*ms
			if n := flood(b, r, &now, &id, 100, took, how); n != 100 {
				t.Fatalf("%d of 100 attempts with all well", n)
			}
			if slow {
				took = 400 * ms // of 500 in which a set-up is wanted
			} else {
				how = func(BackendID) Status { return StatusError }
			}
			if n := flood(b, r, &now, &id, 200, took, how); n > 40 {
				t.Errorf("%d of 200 attempts while all set-ups fail", n)
			}
			if got := r.take("refuse"); len(got) != 1 || got[0].wait <= 0 {
				t.Errorf("refused as %v, want one with a time to come back", got)
			}
			how, took = func(BackendID) Status { return StatusOK }, 10*ms
			now += maxAttemptInterval * 2
			flood(b, r, &now, &id, 2000, took, how)
			if n := flood(b, r, &now, &id, 100, took, how); n != 100 {
				t.Errorf("%d of 100 attempts once all is well again", n)
			}
		})
	}
}

// Zones lay 20 ms apart, so that each set-up there took longer than half of what a class with an aim of 60 ms wants, with
// all servers well. Nine in ten refusals of 300 relays were for that, 9,200 of 10,700, and classes whose connections
// last a second or two were hardly served. A class of little patience gave up on sound servers before they could answer.
func TestWhatAWayMayTakeSpacesNothingOut(t *testing.T) {
	for _, c := range []struct {
		what string
		took time.Duration
		st   Status
		gap  bool
	}{
		{"up beyond its aim, within what a way may take", 100 * ms, StatusOK, false},
		{"given up within what a way may take", 150 * ms, StatusTimeout, false},
		{"up beyond both", 300 * ms, StatusOK, true},
		{"given up beyond both", 300 * ms, StatusTimeout, true},
	} {
		s := settings()
		s.Classes[0].LatencyObjective, s.DialTimeout, s.MaxAttempts = 60*ms, 250*ms, 1
		b, r := start(t, s, 12)
		now, id := sec, uint64(0)
		flood(b, r, &now, &id, 40, c.took, func(BackendID) Status { return c.st })
		if got := b.pacer.interval > 0; got != c.gap {
			t.Errorf("%s: attempts are spaced out by %v", c.what, b.pacer.interval)
		}
	}
}

// A relay that spaces its set-ups out refused the packets of connections that stood, which broke them.
func TestWhatStandsIsNoSetUpToBeSpacedOut(t *testing.T) {
	s := settings()
	s.PassThrough, s.MaxAttempts = true, 1
	b, r := start(t, s, 12)
	now, id := sec, uint64(0)
	flood(b, r, &now, &id, 40, 10*ms, func(BackendID) Status { return StatusError })
	if now >= b.pacer.nextAttempt {
		t.Fatal("attempts are not spaced out")
	}
	r.clear()
	b.RequestArrived(now, Request{ID: 1 << 20, Key: 1, MidStream: true, TimeLeft: 2 * sec})
	if len(r.take("send")) != 1 {
		t.Error("packets of a connection that stands were refused")
	}
	b.RequestArrived(now, Request{ID: 1 << 21, Key: 1, TimeLeft: 2 * sec})
	if len(r.take("refuse")) != 1 {
		t.Error("a new connection was not refused")
	}
}

func TestOneServersTroubleSpacesNothingOut(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	b, r := start(t, s, 12)
	now, id := sec, uint64(0)
	flood(b, r, &now, &id, 400, 10*ms, func(at BackendID) Status {
		if at == 3 {
			return StatusError
		}
		return StatusOK
	})
	if b.pacer.interval != 0 {
		t.Errorf("attempts are spaced out by %v", b.pacer.interval)
	}
}

// Of many relays each sent a server that was late one connection more, as it had none there itself, and the server
// stayed late. A server that can be asked first is, and tells.
func TestAServerShortOfRoomGetsNoFirstConnectionUnasked(t *testing.T) {
	b, r := start(t, settings(), 2)
	home := sent(t, b, r, sec, Request{ID: 1, Key: 1})
	b.AttemptSucceeded(sec, AttemptResult{ID: 1})
	b.LoadReported(2*sec, 1, SignalMessageDelay, 200)
	b.AttemptEnded(2*sec, AttemptResult{ID: 1, Backend: home, Status: StatusCancelled, Closed: true})
	if to := sent(t, b, r, 3*sec, Request{ID: 2, Key: 1}); to == home {
		t.Error("went to a server that was late a second ago")
	}
}

// Groups that spread while nearly all servers were late cost each of them three connections' worth, and nothing
// was served in time. Without reports only this relay's own servers tell, if they are not too few of the fleet.
func TestAGroupStaysAtHomeWhileHalfOfTheServersAreLate(t *testing.T) {
	for _, c := range []struct {
		late    bool
		servers int
		stays   bool
	}{{false, 12, false}, {true, 12, true}, {true, 200, false}} {
		s := settings()
		s.Groups = true
		b, r := start(t, s, c.servers)
		for id := uint64(1); id <= 8; id++ {
			sent(t, b, r, sec, Request{ID: id, Key: id, Group: 100 + id})
			b.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
		for id := uint64(1); c.late && id <= 8; id++ {
			b.LoadReported(2*sec, id, SignalMessageDelay, 60)
		}
		r.clear()
		q := Request{ID: 99, Key: 99, Group: 99, TimeLeft: 2 * sec}
		b.ring.first(mixBits(q.Group), func(*backend) bool { return true }).ejection.until = 60 * sec
		b.RequestArrived(3*sec, q)
		if got := len(r.take("send")) == 0; got != c.stays {
			t.Errorf("%+v: the group stayed at its home: %v", c, got)
		}
	}
}

// Cut to a tenth by every relay at once, servers that were a little over stood half empty for the next half minute,
// while a quarter of all requests were refused. Where no report will lift the limit, half goes at most, most of it
// is back soon, and the rest is felt for.
func TestALimitIsSoonBackNearWhatAServerBore(t *testing.T) {
	s := settings()
	s.Groups = true
	b, r := start(t, s, 6)
	loaded(t, b, r, 1, 20, 7)
	at := b.requests[1].backend
	bore := b.loads.sum(&at.loadSums)
	b.LoadReported(2*sec, 1, SignalMessageDelay, 5000)
	if at.concurrency.limit < 0.49*bore {
		t.Errorf("%.0f of %.0f are left", at.concurrency.limit, bore)
	}
	for now := 3 * sec; now <= 9*sec; now += sec {
		b.TimerFired(now, maintenanceTimer)
	}
	if at.concurrency.limit < 0.8*bore || at.concurrency.limit > 0.95*bore {
		t.Errorf("after seven seconds the limit is %.0f of %.0f", at.concurrency.limit, bore)
	}
}

// A moved client came back through another relay, which knew nothing of the server that it had left and sent it
// there again: half of what was moved on busy days. With no probe to ask first, the kind alone warns.
func TestAReturningClientPassesAllHomesOfAWeakKindBy(t *testing.T) {
	passed := func(probes bool) (most int) {
		s := settings()
		s.HealthChecks = probes
		for seed := uint64(1); seed <= 60; seed++ {
			r := &recorder{}
			b := New(sec, seed, s, r)
			b.EndpointsUpdated(sec, UpdateCached, fleet(12))
			b.outliers.kinds[0] = &kindLateness{late: 95, seconds: 95}
			b.RequestArrived(2*sec, Request{ID: 1, Key: seed, TimeLeft: sec, Reconnecting: true})
			most = max(most, b.requests[1].bypassCount)
		}
		return most
	}
	if with, without := passed(true), passed(false); with != 2 || without != 3 {
		t.Errorf("passed by %d servers where they can be asked, %d where not; want 2 and 3", with, without)
	}
}

// A request that fails at one server after the other may be the cause itself, and has all its attempts.
func TestARequestsOwnFailuresSpaceNothingOut(t *testing.T) {
	b, r := start(t, settings(), 12)
	flood(b, r, new(time.Duration), new(uint64), 30, 10*ms, func(BackendID) Status { return StatusOK })
	r.clear()
	b.RequestArrived(sec, Request{ID: 99, Key: 99, TimeLeft: 2 * sec})
	for n := range 4 {
		got := r.take("send")
		if len(got) != n+1 {
			t.Fatalf("%d attempts after %d failures", len(got), n)
		}
		b.AttemptEnded(sec+10*ms, AttemptResult{ID: 99, Attempt: n, Backend: got[n].to, Status: StatusError})
	}
}

// A group of which half of all requests are filled its three servers, and its clients were refused beside two
// hundred idle ones. Those who come again do not make it larger.
func TestALargeGroupGoesToItsPartOfTheServers(t *testing.T) {
	went := func(of int) (n int) { // of how many requests one is the group's
		s := settings()
		s.Groups = true
		b, _ := start(t, s, 40)
		for id := uint64(1); id <= 60; id++ {
			group := uint64(7)
			if int(id)%of != 0 {
				group = 100 + id
			}
			b.newRequest(sec, Request{ID: id, Group: group, TimeLeft: sec})
		}
		for id := uint64(100); id < 200; id++ {
			b.newRequest(sec, Request{ID: id, Group: 7, TimeLeft: sec, Reconnecting: true})
		}
		q := b.newRequest(sec, Request{ID: 999, Group: 7, TimeLeft: sec})
		for s := b.choosePlacement(sec, q); s != nil; s = b.choosePlacement(sec, q) {
			s.ejection.until, n = 60*sec, n+1
		}
		return n
	}
	if all, half, few := went(1), went(2), went(30); all != 20 || half < 9 || half > 11 || few != groupSpread {
		t.Errorf("of 40 servers all requests go to %d, half of them to %d, a thirtieth to %d", all, half, few)
	}
}

// What another decides is followed without being counted as asked for a second time, and ends in nobody's T.
func TestFollowingCountsNothingTwice(t *testing.T) {
	s := settings()
	s.Groups = true
	b, _ := start(t, s, 4)
	for _, o := range b.endpoints.ready {
		o.ejection.until = 60 * sec
	}
	q := Request{ID: 1, Group: 7, TimeLeft: 2 * sec}
	b.RequestArrived(2*sec, q) // refused
	b.ReplayDecision(2*sec, q, 0, 3, true)
	if all, at := b.Connections(); all != 1 || at != 1 || b.requests[1].backend.ID != 3 || b.groups.total != 1 {
		t.Errorf("%d connections, %d by server, %v requests counted", all, at, b.groups.total)
	}
	b.ReplayDecision(2*sec, q, 0, 0, false)
	if all, _ := b.Connections(); all != 0 || len(b.requests) != 0 {
		t.Errorf("%d connections and %d calls after its answer", all, len(b.requests))
	}
}

// Where nobody says how soon a message is wanted, an answer to a probe is no late one because of that: each server would
// be passed by as full for two seconds after every question.
func TestWithoutMessageAimsServersThatAnswerAreUsed(t *testing.T) {
	s := settings()
	for i := range s.Classes {
		s.Classes[i].MessageLatencyObjective = 0
	}
	s.HealthChecks, s.ReportFields, s.ReportsMessageDelay = true, nil, false
	b, r := start(t, s, 3)
	b.RequestArrived(sec, Request{ID: 1, Key: 1, TimeLeft: 2 * sec})
	asked := r.take("probe")
	if len(asked) != 1 {
		t.Fatalf("did %v", r.did)
	}
	r.clear()
	b.HealthCheckDone(sec+5*ms, HealthCheckResult{Backend: asked[0].to, Status: StatusOK, Latency: 5 * ms})
	if got := r.take("send"); len(got) != 1 || got[0].to != asked[0].to {
		t.Errorf("after an answer in 5 ms it did %v", r.did)
	}
}
