package balance

import (
	"testing"
	"time"
)

// While the fleet is short of room, a group overflows only to the first backends in its rendezvous order;
// further requests are rejected. Groups scattered over all backends would cost more than they bring.
func TestPlacement_OverflowKeepsGroupTogether(t *testing.T) {
	settings := defaultSettings()
	settings.Groups, settings.ReportFields = true, []ReportField{FieldLoadShare}
	balancer, rec := newTestBalancer(t, settings, 12)
	used := map[BackendID]bool{}
	rejected := 0
	for id := uint64(1); id <= 60; id++ {
		rec.clear()
		balancer.RequestArrived(2*sec, Request{ID: id, Key: id, Group: 7, TimeLeft: sec})
		for _, a := range rec.take(actionSend) {
			used[a.to] = true
			balancer.AttemptSucceeded(2*sec, AttemptResult{ID: id})
			balancer.endpoints.byID[a.to].concurrency.limit = 3
		}
		rejected += len(rec.take(actionReject))
	}
	if len(used) != maxGroupSpread || rejected == 0 {
		t.Errorf("the group uses %d backends, %d requests rejected", len(used), rejected)
	}
}

// A large group whose first backends are full spreads further in a large fleet that has room, instead of
// waiting. While the fleet is short of room, scattering the group costs more than it brings.
func TestPlacement_GroupSpreadsFurtherOnlyInLargeFleetWithRoom(t *testing.T) {
	cases := []struct {
		backends     int
		utilization  float64
		messageDelay bool // message delays are reported
		want         int  // backends that the group may use
	}{{12, 0.5, true, 3}, {12, 1, true, 3}, {96, 0.5, true, 6}, {96, 1, true, 3},
		{4, 0.5, false, 4}, {4, 1, false, 3}} // without reports of message delay, a group may use all of a small fleet that has room
	for _, c := range cases {
		settings := defaultSettings()
		settings.ReportsMessageDelay, settings.ReportFields = c.messageDelay, []ReportField{FieldLoadShare}
		balancer, _ := newTestBalancer(t, settings, c.backends)
		balancer.settings.Groups, balancer.health.meanUtilization = true, c.utilization
		req := balancer.newRequest(sec, Request{ID: 1, Group: 7, TimeLeft: 2 * sec})
		used := 0
		for target := balancer.choosePlacement(sec, req); target != nil; target = balancer.choosePlacement(sec, req) {
			target.ejection.until, used = 60*sec, used+1
		}
		if used != c.want {
			t.Errorf("%d backends, utilization %.1f: the group may use %d of them, want %d", c.backends, c.utilization, used, c.want)
		}
	}
}

// While nearly all backends are late, a group stays on its primary: each further backend of a group bears the
// cost of three more connections, and nothing is served in time. Without load reports, only the backends that
// this relay has connections on show the lateness, if they are enough of the fleet.
func TestPlacement_GroupStaysOnPrimaryWhileFleetIsLate(t *testing.T) {
	for _, c := range []struct {
		late           bool
		backends       int
		staysOnPrimary bool
	}{{false, 12, false}, {true, 12, true}, {true, 200, false}} {
		settings := defaultSettings()
		settings.Groups = true
		balancer, rec := newTestBalancer(t, settings, c.backends)
		for id := uint64(1); id <= 8; id++ {
			mustSend(t, balancer, rec, sec, Request{ID: id, Key: id, Group: 100 + id})
			balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
		for id := uint64(1); c.late && id <= 8; id++ {
			balancer.LoadReported(2*sec, id, SignalMessageDelay, 60)
		}
		rec.clear()
		req := Request{ID: 99, Key: 99, Group: 99, TimeLeft: 2 * sec}
		balancer.rendezvous.first(mixBits(req.Group), func(*backend) bool { return true }).ejection.until = 60 * sec
		balancer.RequestArrived(3*sec, req)
		if stayed := len(rec.take(actionSend)) == 0; stayed != c.staysOnPrimary {
			t.Errorf("%+v: the group stayed on its primary: %v", c, stayed)
		}
	}
}

// The number of backends that a group may use grows with its share of the requests. With three at most, a
// group with half of all requests fills them, and its clients are rejected while two hundred other backends
// are idle. Reconnecting clients do not add to the share.
func TestPlacement_LargeGroupUsesItsShareOfBackends(t *testing.T) {
	countUsable := func(every int) (usable int) { // one in so many requests belongs to the group
		settings := defaultSettings()
		settings.Groups = true
		balancer, _ := newTestBalancer(t, settings, 40)
		for id := uint64(1); id <= 60; id++ {
			group := uint64(7)
			if int(id)%every != 0 {
				group = 100 + id
			}
			balancer.newRequest(sec, Request{ID: id, Group: group, TimeLeft: sec})
		}
		for id := uint64(100); id < 200; id++ {
			balancer.newRequest(sec, Request{ID: id, Group: 7, TimeLeft: sec, Reconnecting: true})
		}
		req := balancer.newRequest(sec, Request{ID: 999, Group: 7, TimeLeft: sec})
		for target := balancer.choosePlacement(sec, req); target != nil; target = balancer.choosePlacement(sec, req) {
			target.ejection.until, usable = 60*sec, usable+1
		}
		return usable
	}
	if all, half, few := countUsable(1), countUsable(2), countUsable(30); all != 20 || half < 9 || half > 11 || few != maxGroupSpread {
		t.Errorf("of 40 backends a group may use %d with all requests, %d with half of them, %d with a thirtieth", all, half, few)
	}
}

// With many relays, the tracked load T of one relay on a backend is that of one connection or none. Where
// backends report their utilization, a request goes to the random backup if the primary reports a higher load;
// without that report, requests stay where hashing places them.
func TestPlacement_ReportedLoadDivertsFromPrimary(t *testing.T) {
	utilization := func(id BackendID) float64 { return 0.4 + 0.3*float64(id%2) } // 0.7 for odd IDs, 0.4 for even ones
	for _, tc := range []struct {
		name        string
		change      func(*Settings)
		least, most int // of 400 requests, sent to the half at 0.7
	}{
		{"reported", nil, 60, 140}, // half of the requests with their primary there draw a backup at 0.4
		{"no reported utilization", func(settings *Settings) { settings.ReportFields = []ReportField{FieldQueue} }, 180, 220},
		{"a group is not split", func(settings *Settings) { settings.Groups = true }, 180, 220},
	} {
		t.Run(tc.name, func(t *testing.T) {
			loaded := 0
			for i := range 400 {
				balancer, rec := newReportingBalancer(t, 20, i, tc.change)
				req := Request{ID: 1, Key: uint64(i)*7919 + 1, Group: uint64(i + 1)}
				balancer.arrivals.recent, balancer.arrivals.last = 0.2, 4*sec // two thirds of a request a second and backend from all relays
				if to, _ := sendAfterChecks(t, balancer, rec, 4*sec, req, utilization); to%2 == 1 {
					loaded++
				}
			}
			if loaded < tc.least || loaded > tc.most {
				t.Errorf("%d of 400 requests were sent to the half at 0.7", loaded)
			}
		})
	}
}

// Requests that this relay has sent since the last report count in full. By the report alone, the relay would
// send everything to the backend with the lowest load until the next report.
func TestPlacement_CountsRequestsSentSinceReport(t *testing.T) {
	balancer, rec := newReportingBalancer(t, 2, 1, nil)
	utilization := func(id BackendID) float64 { return 0.6 - 0.1*float64(id%2) } // a report stays fresh for all 60 requests
	got := map[BackendID]int{}
	for id := uint64(1); id <= 60; id++ {
		to, _ := sendAfterChecks(t, balancer, rec, 4*sec+time.Duration(id)*ms, Request{ID: id, Key: id * 7919}, utilization)
		got[to]++
	}
	if got[1] < 25 || got[1] > 50 {
		t.Errorf("the backend with the lower load got %d of 60 requests", got[1])
	}
}

// In a rush all relays read the same report. Each diverts requests to the backup with a probability such that
// all relays together even out the imbalance and do no more.
func TestPlacement_RelaysShareImbalanceInRush(t *testing.T) {
	countDiverted := func(recentArrivals float64) (n int) {
		for i := range 300 {
			balancer, rec := newReportingBalancer(t, 20, i, nil)
			balancer.arrivals.recent, balancer.arrivals.last = recentArrivals, 4*sec
			to, _ := sendAfterChecks(t, balancer, rec, 4*sec, Request{ID: 1, Key: uint64(i)*7919 + 1}, func(id BackendID) float64 { return 0.55 + 0.1*float64(id%2) })
			if to%2 == 0 {
				n++
			}
		}
		return n - 150
	}
	if calm, rush := countDiverted(0.1), countDiverted(20); calm < 50 || rush > calm/3 {
		t.Errorf("%d diverted with few arrivals, %d in a rush", calm, rush)
	}
}
