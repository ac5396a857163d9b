package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// many is one of 200 relays in front of n servers that report their load when asked.
func many(t *testing.T, n int, seed int, change func(*Settings)) (*Balancer, *recorder) {
	t.Helper()
	s := settings()
	s.RelayCount, s.HealthChecks, s.ReportFields = 200, true, []ReportField{FieldLoadShare}
	if change != nil {
		change(&s)
	}
	b, r := start(t, s, n)
	b.rng = rand.New(rand.NewPCG(uint64(seed), 1))
	for range minFleetReports { // how full the fleet is
		for id := BackendID(1); id <= BackendID(n); id++ {
			b.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.6}})
		}
	}
	return b, r
}

// settles asks for a place, answers each probe with the server's true load and returns where the request went and
// how many were asked.
func settles(t *testing.T, b *Balancer, r *recorder, now time.Duration, q Request, load func(BackendID) float64) (BackendID, int) {
	t.Helper()
	r.clear()
	q.TimeLeft = 2 * sec
	b.RequestArrived(now, q)
	asked := 0
	for range 10 {
		if got := r.take("send"); len(got) > 0 {
			return got[0].to, asked
		}
		probes := r.take("probe")
		r.clear()
		for _, p := range probes {
			asked++
			b.HealthCheckDone(now+ms, HealthCheckResult{Backend: p.to, Latency: ms, Load: []float32{float32(load(p.to))}})
		}
	}
	t.Fatalf("request %d was not sent", q.ID)
	return 0, 0
}

// Among many relays T of one is a connection or none. Where servers report what they hold a home that leads its random
// backup goes without; the same servers without that report get what hashing gives them.
func TestAHomeThatReportsMoreThanItsBackupIsPassedBy(t *testing.T) {
	heavy := func(id BackendID) float64 { return 0.4 + 0.3*float64(id%2) } // odd ones 0.7, even ones 0.4
	for _, tc := range []struct {
		name        string
		change      func(*Settings)
		least, most int // of 400 requests at the heavy half
	}{
		{"reported", nil, 60, 140}, // half of what is at home there finds a light backup
		{"no report tells the load", func(s *Settings) { s.ReportFields = []ReportField{FieldQueue} }, 180, 220},
		{"a group is not split", func(s *Settings) { s.Groups = true }, 180, 220},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := 0
			for i := range 400 {
				b, r := many(t, 20, i, tc.change)
				q := Request{ID: 1, Key: uint64(i)*7919 + 1, Group: uint64(i + 1)}
				b.arrivals.recent, b.arrivals.last = 0.2, 4*sec // two thirds of a request a second and server from all relays
				if to, _ := settles(t, b, r, 4*sec, q, heavy); to%2 == 1 {
					got++
				}
			}
			if got < tc.least || got > tc.most {
				t.Errorf("%d of 400 at the heavy half", got)
			}
		})
	}
}

// What this relay has sent since the report counts in full: with one report of the same moment to go by it would send
// the lightest all.
func TestWhatWasSentSinceTheReportCounts(t *testing.T) {
	b, r := many(t, 2, 1, nil)
	light := func(id BackendID) float64 { return 0.6 - 0.1*float64(id%2) } // both known from here on
	got := map[BackendID]int{}
	for id := uint64(1); id <= 60; id++ {
		to, _ := settles(t, b, r, 4*sec+time.Duration(id)*ms, Request{ID: id, Key: id * 7919}, light)
		got[to]++
	}
	if got[1] < 25 || got[1] > 50 {
		t.Errorf("the light one of two got %d of 60", got[1])
	}
}

// In a rush all relays read the same report: each diverts by chance, so that together they fill the gap, not more.
func TestOfARushEachRelayTakesItsPartOfAGap(t *testing.T) {
	diverted := func(rush float64) (n int) {
		for i := range 300 {
			b, r := many(t, 20, i, nil)
			b.arrivals.recent, b.arrivals.last = rush, 4*sec
			to, _ := settles(t, b, r, 4*sec, Request{ID: 1, Key: uint64(i)*7919 + 1}, func(id BackendID) float64 { return 0.55 + 0.1*float64(id%2) })
			if to%2 == 0 {
				n++
			}
		}
		return n - 150
	}
	if calm, rush := diverted(0.1), diverted(20); calm < 50 || rush > calm/3 {
		t.Errorf("%d diverted at a calm pace, %d in a rush", calm, rush)
	}
}

// What is counted comes out even by server, list, group and tenant, whichever way a connection ends; one that stays in
// any of the counts is told.
func TestBooksComeOutEven(t *testing.T) {
	b, r := many(t, 5, 1, func(s *Settings) { s.Groups = true })
	opened(t, b, r, 20)
	if err := b.CheckInvariants(); err != nil || b.loads.total.connections != 20 {
		t.Fatalf("%d connections: %v", b.loads.total.connections, err)
	}
	for id := uint64(1); id <= 20; id++ {
		b.AttemptEnded(9*sec, AttemptResult{ID: id, Attempt: b.requests[id].attempts - 1, Status: []Status{StatusOK, StatusReset, StatusError, StatusCancelled}[id%4], Closed: true})
		if err := b.CheckInvariants(); err != nil {
			t.Fatalf("after end %d: %v", id, err)
		}
	}
	b.quotas.connections[0]++
	if b.CheckInvariants() == nil {
		t.Error("a connection that stays in its tenant's count is not told")
	}
}

// Answers that scatter make three late ones in a row by chance, again and again among many relays.
func TestScatterIsNotLateness(t *testing.T) {
	for _, tc := range []struct {
		name    string
		scatter time.Duration
		slow    time.Duration // from half of the answers on
		found   bool
	}{{"steady", 20, 0, false}, {"scattering", 1200, 0, false}, {"steady, then slow", 20, 800, true}} {
		b, r := many(t, 1, 1, func(s *Settings) { s.ReportsMessageDelay = false })
		settles(t, b, r, 4*sec, Request{ID: 1}, func(BackendID) float64 { return 0.3 })
		b.AttemptSucceeded(4*sec, AttemptResult{ID: 1, Backend: 1})
		b.endpoints.byID[1].latency.baseline, b.endpoints.byID[1].latency.samples, b.outliers.latencyScatter, b.outliers.scatterSamples = 0, 0, 0, 0
		found := false
		for i := range 600 {
			took := 500 + time.Duration(mixBits(uint64(i))%uint64(tc.scatter))
			if i > 300 {
				took += tc.slow
			}
			b.HealthCheckDone(5*sec+time.Duration(i)*200*ms, HealthCheckResult{Backend: 1, Latency: took * time.Microsecond, Load: []float32{0.3}})
			found = found || b.endpoints.byID[1].latency.consecutiveLate > 2
		}
		if found != tc.found {
			t.Errorf("%s: held to be slow: %v", tc.name, found)
		}
	}
}

// A server that reports errors is found out by each of many relays with a request of its own. One that may not be
// repeated is lost by that, so it goes on to the next in its order. Two at most are passed by: where all
// fail it still goes somewhere.
func TestWhatMayNotBeRepeatedPassesByWhoReportsErrors(t *testing.T) {
	const n = 8
	for _, tc := range []struct {
		name    string
		effect  Idempotency
		failing int     // servers that report errors, from the first on
		errs    float32 // so many a second
		least   int     // of 200 requests at the failing ones
		most    int
	}{
		{"unsafe", NonIdempotent, 2, 5, 0, 0},
		{"keyed", IdempotentWithKey, 2, 5, 0, 0},
		{"safe goes there and finds out", Idempotent, 2, 5, 30, 70},
		{"all report errors", NonIdempotent, n, 5, 200, 200},
		{"one in 25 attempts", NonIdempotent, 2, 1, 30, 70},
	} {
		b, r := many(t, n, 3, func(s *Settings) {
			s.ReportFields = []ReportField{FieldLoadShare, FieldErrors}
			s.Classes[0].Idempotency, s.Classes[0].DedupWindow = tc.effect, 5*sec
		})
		b.pacer.usualInterval = sec // 200 relays, eight servers: 25 attempts a second at each
		now, at := 2*sec, 0
		for id := uint64(1); id <= 200; id++ {
			for s := BackendID(1); s <= n; s++ {
				errs := float32(0)
				if int(s) <= tc.failing {
					errs = tc.errs
				}
				b.HealthCheckDone(now-ms, HealthCheckResult{Backend: s, Latency: ms, Load: []float32{0.3, errs}})
			}
			if to := sent(t, b, r, now, Request{ID: id, Key: id * 77, TimeLeft: 2 * sec}); int(to) <= tc.failing {
				at++
			}
			b.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
			b.pacer.usualInterval = sec
		}
		if at < tc.least || at > tc.most {
			t.Errorf("%s: %d of 200 went to servers that report errors", tc.name, at)
		}
	}
}

// A class that waits no longer than a connection may take to come up has the time to ask a server first, as all others do:
// an answer takes a part of its aim. Unasked it would go to those that fail or are full, and what may not be repeated is lost.
func TestAClassShortOfTimeAsksFirst(t *testing.T) {
	const n = 8
	for _, tc := range []struct {
		name  string
		left  time.Duration
		asked bool
	}{{"no longer than the connect time-out", 240 * ms, true}, {"no longer than two answers", 48 * ms, false}} {
		b, r := many(t, n, 3, func(s *Settings) {
			s.ReportFields = []ReportField{FieldLoadShare, FieldErrors}
			s.Classes[1].LatencyObjective, s.Classes[1].ClientTimeout = 100*ms, 240*ms
		})
		at, asked := 0, 0
		for id := uint64(1); id <= 200; id++ {
			now := 10*sec + time.Duration(id)*3*sec // nothing has been heard for longer than a report lasts
			b.pacer.usualInterval = sec
			r.clear()
			b.RequestArrived(now, Request{ID: id, Key: id * 77, Class: 1, TimeLeft: tc.left})
			for len(r.take("send")) == 0 {
				probes := r.take("probe")
				if len(probes) == 0 {
					t.Fatalf("%s: request %d is neither sent nor asked for: %v", tc.name, id, r.did)
				}
				r.clear()
				for _, p := range probes {
					asked++
					errs := float32(0)
					if p.to <= 2 {
						errs = 5
					}
					b.HealthCheckDone(now+ms, HealthCheckResult{Backend: p.to, Latency: ms, Load: []float32{0.3, errs}})
				}
			}
			if r.take("send")[0].to <= 2 {
				at++
			}
			b.AttemptEnded(now+2*ms, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
		}
		if tc.asked != (asked >= 200) || tc.asked != (at == 0) {
			t.Errorf("%s: %d probes, %d of 200 went to servers that fail", tc.name, asked, at)
		}
	}
}
