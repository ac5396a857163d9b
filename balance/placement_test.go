package balance

import (
	"testing"
	"time"
)

// While the fleet is short of room, groups scattered over all backends cost more than they bring: a group
// overflows to the first backends of its order and is then rejected.
func TestPlacement_OverflowKeepsGroupTogether(t *testing.T) {
	s := defaultSettings()
	s.Groups, s.ReportFields = true, []ReportField{FieldLoadShare}
	b, r := newTestBalancer(t, s, 12)
	seen := map[BackendID]bool{}
	rejected := 0
	for id := uint64(1); id <= 60; id++ {
		r.clear()
		b.RequestArrived(2*sec, Request{ID: id, Key: id, Group: 7, TimeLeft: sec})
		for _, a := range r.take(actionSend) {
			seen[a.to] = true
			b.AttemptSucceeded(2*sec, AttemptResult{ID: id})
			b.endpoints.byID[a.to].concurrency.limit = 3
		}
		rejected += len(r.take(actionReject))
	}
	if len(seen) != groupSpread || rejected == 0 {
		t.Errorf("the group is on %d backends, %d rejected", len(seen), rejected)
	}
}

// A large group whose few backends are full waits while a large fleet has room; while the fleet is short
// of room, scattering the group costs more than it brings.
func TestPlacement_GroupSpreadsFurtherOnlyInLargeFleetWithRoom(t *testing.T) {
	cases := []struct {
		backends     int
		utilization  float64
		messageDelay bool // message delay is reported
		want         int  // backends of the order that are tried
	}{{12, 0.5, true, 3}, {12, 1, true, 3}, {96, 0.5, true, 6}, {96, 1, true, 3},
		{4, 0.5, false, 4}, {4, 1, false, 3}} // without reports of message delay even a small fleet is used whole while it has room
	for _, c := range cases {
		s := defaultSettings()
		s.ReportsMessageDelay, s.ReportFields = c.messageDelay, []ReportField{FieldLoadShare}
		b, _ := newTestBalancer(t, s, c.backends)
		b.settings.Groups, b.health.meanUtilization = true, c.utilization
		q := b.newRequest(sec, Request{ID: 1, Group: 7, TimeLeft: 2 * sec})
		n := 0
		for s := b.choosePlacement(sec, q); s != nil; s = b.choosePlacement(sec, q) {
			s.ejection.until, n = 60*sec, n+1
		}
		if n != c.want {
			t.Errorf("%d backends, %.1f full: a group went to %d, want %d", c.backends, c.utilization, n, c.want)
		}
	}
}

// Groups that spread while nearly all backends were late cost each of them three connections' worth, and
// nothing was served in time. Without load reports only this relay's own backends show that, if they are
// enough of the fleet.
func TestPlacement_GroupStaysOnPrimaryWhileFleetIsLate(t *testing.T) {
	for _, c := range []struct {
		late           bool
		backends       int
		staysOnPrimary bool
	}{{false, 12, false}, {true, 12, true}, {true, 200, false}} {
		s := defaultSettings()
		s.Groups = true
		b, r := newTestBalancer(t, s, c.backends)
		for id := uint64(1); id <= 8; id++ {
			mustSend(t, b, r, sec, Request{ID: id, Key: id, Group: 100 + id})
			b.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
		for id := uint64(1); c.late && id <= 8; id++ {
			b.LoadReported(2*sec, id, SignalMessageDelay, 60)
		}
		r.clear()
		q := Request{ID: 99, Key: 99, Group: 99, TimeLeft: 2 * sec}
		b.ring.first(mixBits(q.Group), func(*backend) bool { return true }).ejection.until = 60 * sec
		b.RequestArrived(3*sec, q)
		if got := len(r.take(actionSend)) == 0; got != c.staysOnPrimary {
			t.Errorf("%+v: the group stayed on its primary: %v", c, got)
		}
	}
}

// A group with half of all requests filled its three backends, and its clients were rejected beside two
// hundred idle ones. Clients that come again do not make it larger.
func TestPlacement_LargeGroupUsesItsShareOfBackends(t *testing.T) {
	went := func(of int) (n int) { // of how many requests one is the group's
		s := defaultSettings()
		s.Groups = true
		b, _ := newTestBalancer(t, s, 40)
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
		t.Errorf("of 40 backends all requests go to %d, half of them to %d, a thirtieth to %d", all, half, few)
	}
}

// With many relays, T of one is a connection or none. Where backends report what they hold, a primary
// whose load exceeds that of its random backup is passed by; without that report the same backends get
// what hashing gives them.
func TestPlacement_ReportedLoadDivertsFromPrimary(t *testing.T) {
	heavy := func(id BackendID) float64 { return 0.4 + 0.3*float64(id%2) } // odd ones 0.7, even ones 0.4
	for _, tc := range []struct {
		name        string
		change      func(*Settings)
		least, most int // of 400 requests at the heavy half
	}{
		{"reported", nil, 60, 140}, // half of what has its primary there draws a light backup
		{"no reported utilization", func(s *Settings) { s.ReportFields = []ReportField{FieldQueue} }, 180, 220},
		{"a group is not split", func(s *Settings) { s.Groups = true }, 180, 220},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := 0
			for i := range 400 {
				b, r := newReportingBalancer(t, 20, i, tc.change)
				q := Request{ID: 1, Key: uint64(i)*7919 + 1, Group: uint64(i + 1)}
				b.arrivals.recent, b.arrivals.last = 0.2, 4*sec // two thirds of a request a second and backend from all relays
				if to, _ := sendAfterChecks(t, b, r, 4*sec, q, heavy); to%2 == 1 {
					got++
				}
			}
			if got < tc.least || got > tc.most {
				t.Errorf("%d of 400 at the heavy half", got)
			}
		})
	}
}

// What this relay has sent since the report counts in full: by a report of one moment alone it would send
// everything to the lightest backend.
func TestPlacement_CountsRequestsSentSinceReport(t *testing.T) {
	b, r := newReportingBalancer(t, 2, 1, nil)
	light := func(id BackendID) float64 { return 0.6 - 0.1*float64(id%2) } // both known from here on
	got := map[BackendID]int{}
	for id := uint64(1); id <= 60; id++ {
		to, _ := sendAfterChecks(t, b, r, 4*sec+time.Duration(id)*ms, Request{ID: id, Key: id * 7919}, light)
		got[to]++
	}
	if got[1] < 25 || got[1] > 50 {
		t.Errorf("the light one of two got %d of 60", got[1])
	}
}

// In a rush all relays read the same report: each diverts by chance, so that together they fill the
// imbalance and no more.
func TestPlacement_RelaysShareImbalanceInRush(t *testing.T) {
	diverted := func(rush float64) (n int) {
		for i := range 300 {
			b, r := newReportingBalancer(t, 20, i, nil)
			b.arrivals.recent, b.arrivals.last = rush, 4*sec
			to, _ := sendAfterChecks(t, b, r, 4*sec, Request{ID: 1, Key: uint64(i)*7919 + 1}, func(id BackendID) float64 { return 0.55 + 0.1*float64(id%2) })
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
