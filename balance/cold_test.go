package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldFleet is many relays in front of ten warm servers and one that has just started. Nothing passes between them.
type coldFleet struct {
	relays  int
	n       float64       // calls that the server may get in a span of the settings' length when it has just started
	rush    time.Duration // after the start; from then on each relay has more for it than it can bear
	restart bool          // half of the relays start anew a second before the rush
	hot     bool          // one relay has a third of the connections
	idle    bool          // connections are few: most relays hold none
	mid     bool          // what comes in the rush is mid-flow: other relays have died
	least   float64       // this part of what fills a server is to come over its warm-up
}

const (
	coldServers = 10 // warm ones, and one that starts
	coldStart   = 20 * sec
)

// plays returns when calls reached the cold server, and how many connections fill one.
func (f coldFleet) plays(t *testing.T, seed uint64) (at []time.Duration, set Settings, fills float64) {
	t.Helper()
	set = settings()
	set.RelayCount, set.PassThrough, set.ReportsConnectionLoad, set.ReportsMessageDelay = f.relays, true, false, false
	set.SlowStartFloor, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow = 0.3, 8*sec, 2.5, 3*sec
	fills = f.n / (set.OverloadMultiple * set.SlowStartFloor * set.OverloadWindow.Seconds() / set.SlowStartWindow.Seconds())
	conns := 0.6 * fills * coldServers
	if f.idle {
		conns = math.Min(conns, 0.3*float64(f.relays))
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	var keys []uint64
	probe := New(sec, 1, set, &recorder{})
	probe.EndpointsUpdated(sec, UpdateCached, append(fleet(coldServers), Backend{ID: 99, State: StateReady, Weight: 1}))
	for len(keys) < 400 {
		if key := rng.Uint64(); probe.ring.first(mixBits(key), func(*backend) bool { return true }).ID == 99 {
			keys = append(keys, key)
		}
	}
	type relay struct {
		b     *Balancer
		r     *recorder
		conns int
	}
	id := uint64(0)
	start := coldStart
	cold := Backend{ID: 99, State: StateReady, Weight: 1, ReadyAt: start}
	begin := func(x *relay, now time.Duration, told bool) {
		x.r = &recorder{}
		x.b = New(now, rng.Uint64(), set, x.r)
		list := fleet(coldServers)
		if told {
			list = append(list, cold)
		}
		x.b.EndpointsUpdated(now, UpdateCached, list)
	}
	relays := make([]*relay, f.relays)
	for i := range relays {
		x := &relay{}
		relays[i] = x
		begin(x, sec, false)
		part := conns / float64(f.relays)
		if f.hot {
			part = conns * 2 / 3 / float64(f.relays-1)
			if i == 0 {
				part = conns / 3
			}
		}
		x.conns = int(part)
		if rng.Float64() < part-float64(x.conns) {
			x.conns++
		}
		for range x.conns {
			id++
			sent(t, x.b, x.r, sec, Request{ID: id, Key: rng.Uint64()})
			x.b.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
	}
	for _, x := range relays {
		x.b.EndpointsUpdated(start, UpdateDelta, []Backend{cold})
	}
	for now := start; now < start+set.SlowStartWindow; now += 100 * ms {
		if f.restart && now == start+f.rush-sec {
			for i, x := range relays {
				if i%2 == 1 {
					begin(x, now, true)
				}
			}
		}
		for _, x := range relays {
			n := 0
			if now >= start+f.rush {
				n = 2
			} else if rng.IntN(20) == 0 { // it looks at the server now and then
				n = 1
			}
			for range n {
				id++
				x.r.clear()
				x.b.RequestArrived(now, Request{ID: id, Key: keys[rng.IntN(len(keys))], TimeLeft: 2 * sec, MidStream: f.mid && now >= start+f.rush})
				if got := x.r.take("send"); len(got) == 1 {
					if got[0].to == 99 {
						at = append(at, now)
					}
					x.b.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
				}
			}
		}
	}
	return at, set, fills
}

// A cold server falls under the sum of what all relays send. Beyond its budget of N calls only 2 x root of N + 2 are chance,
// however many relays there are and whatever they have; and the room is used.
func TestTheRampOfAColdServerHoldsForTheFleet(t *testing.T) {
	for name, c := range map[string]coldFleet{
		"a rush right after its start": {rush: 500 * ms, least: 0.15},
		"a rush in the middle":         {rush: 4 * sec, least: 0.15},
		"a rush near the end":          {rush: 6500 * ms, least: 0.15},
		"half of the relays restarted": {rush: 4 * sec, restart: true, least: 0.08},
		"one with a third of all":      {rush: 4 * sec, hot: true, least: 0.15},
		"most hold nothing":            {rush: 4 * sec, idle: true},
		"and half of them restarted":   {rush: 6500 * ms, idle: true, restart: true},
		"mid-flow":                     {rush: 4 * sec, mid: true, least: 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, relays := range []int{20, 30, 200, 350} {
				for _, n := range []float64{5, 20, 100} {
					c.relays, c.n = relays, n
					used := 0.0
					for seed := range uint64(3) {
						at, set, fills := c.plays(t, seed)
						used += float64(len(at)) / fills / 3
						for i, from := range at {
							calls := 0
							for _, to := range at[i:] {
								if to-from <= set.OverloadWindow {
									calls++
								}
							}
							age := float64(from-coldStart) / float64(set.SlowStartWindow)
							most := set.OverloadMultiple * (set.SlowStartFloor + (1-set.SlowStartFloor)*age) * fills * set.OverloadWindow.Seconds() / set.SlowStartWindow.Seconds()
							if float64(calls) > most+2*math.Sqrt(most)+2 {
								t.Fatalf("%d relays, budget %v at the start, seed %d: %d calls in a span where %.1f are allowed",
									relays, n, seed, calls, most)
							}
						}
					}
					if used < c.least {
						t.Errorf("%d relays, budget %v: %.2f of what fills a server came over its warm-up", relays, n, used)
					}
				}
			}
		})
	}
}

// A mid-flow connection that is known to stand at a server which has started lately goes there, budget or not: any other
// would reset it. What is not known goes by the budget, to the next in the key's order.
func TestMidFlowGoesToAColdServerThatIsKnownToHoldIt(t *testing.T) {
	for _, known := range []bool{true, false} {
		s := settings()
		s.PassThrough = true
		b, r := start(t, s, 4)
		cold := Backend{ID: 9, State: StateReady, Weight: 1, ReadyAt: 20 * sec}
		b.EndpointsUpdated(20*sec, UpdateDelta, []Backend{cold})
		sends := 0
		for id := uint64(1); id <= 40; id++ {
			q := Request{ID: id, Key: id, MidStream: true, TimeLeft: 2 * sec}
			c := b.newRequest(20*sec, q)
			delete(b.requests, id)
			if known {
				b.sticky.remember(20*sec, c.flowKey, b.endpoints.byID[9])
			}
			if sent(t, b, r, 20*sec, q) == 9 {
				sends++
			}
		}
		if known && sends != 40 || !known && sends > 1 {
			t.Errorf("known %v: %d of 40 went to the cold server", known, sends)
		}
	}
}

// Most of a fleet's servers are replaced at once: those that are left report that they are full, and the new ones are cold.
// Few keys are at home there, and few relays may send one a connection at a time. Whoever may does, whatever the key: left
// empty, the cold ones would be of no use while the others are over their capacity. The budget holds all the same.
func TestColdServersTakeWhoFindsTheirHomeFull(t *testing.T) {
	const warm, cold = 10, 6
	for _, relays := range []int{30, 300} {
		for _, groups := range []bool{false, true} {
			rng := rand.New(rand.NewPCG(uint64(relays), 7))
			set := settings()
			set.RelayCount, set.HealthChecks, set.ReportFields, set.Groups = relays, true, []ReportField{FieldLoadShare}, groups
			set.SlowStartFloor, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow, set.ReportsMessageDelay = 0.3, 8*sec, 2.5, 3*sec, false
			const fills = 40.0 // connections fill a server
			type relay struct {
				b *Balancer
				r *recorder
			}
			all := make([]relay, relays)
			id := uint64(0)
			starts := fleet(warm)
			for i := range cold {
				starts = append(starts, Backend{ID: BackendID(100 + i), State: StateReady, Weight: 1, ReadyAt: coldStart})
			}
			for i := range all {
				x := relay{r: &recorder{}}
				x.b = New(sec, rng.Uint64(), set, x.r)
				x.b.EndpointsUpdated(sec, UpdateCached, fleet(warm))
				for s := range minFleetReports {
					x.b.HealthCheckDone(sec, HealthCheckResult{Backend: BackendID(1 + s%warm), Latency: ms, Load: []float32{0.5}})
				}
				for range int(fills*warm/float64(relays) + rng.Float64()) {
					id++
					sent(t, x.b, x.r, sec, Request{ID: id, Key: rng.Uint64(), Group: id})
					x.b.AttemptSucceeded(sec, AttemptResult{ID: id})
				}
				x.b.EndpointsUpdated(coldStart, UpdateDelta, starts[warm:])
				all[i] = x
			}
			got := map[BackendID][]time.Duration{}
			for now := coldStart; now < coldStart+set.SlowStartWindow; now += 100 * ms {
				for _, x := range all {
					if rng.IntN(15) != 0 {
						continue
					}
					id++
					x.r.clear()
					x.b.RequestArrived(now, Request{ID: id, Key: rng.Uint64(), Group: id, TimeLeft: 2 * sec, Reconnecting: true})
					for range 10 {
						did := x.r.take("probe")
						x.r.clear()
						for _, p := range did {
							load := float32(1.1)
							if p.to >= 100 {
								load = 0.1
							}
							x.b.HealthCheckDone(now+ms, HealthCheckResult{Backend: p.to, Latency: ms, Load: []float32{load}})
						}
						if to := x.r.take("send"); len(to) == 1 {
							got[to[0].to] = append(got[to[0].to], now)
							x.b.AttemptEnded(now+ms, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
							break
						}
					}
				}
			}
			used := 0
			for s := BackendID(100); s < 100+cold; s++ {
				used += len(got[s])
				for i, from := range got[s] {
					calls := 0
					for _, to := range got[s][i:] {
						if to-from <= set.OverloadWindow {
							calls++
						}
					}
					age := float64(from-coldStart) / float64(set.SlowStartWindow)
					most := set.OverloadMultiple * (set.SlowStartFloor + (1-set.SlowStartFloor)*age) * fills * set.OverloadWindow.Seconds() / set.SlowStartWindow.Seconds()
					if float64(calls) > most+2*math.Sqrt(most)+2 {
						t.Fatalf("%d relays: %d calls in a span where %.1f are allowed", relays, calls, most)
					}
				}
			}
			part := float64(used) / cold / fills
			t.Logf("%d relays, groups %v: each cold server got %.2f of what fills it over its warm-up", relays, groups, part)
			if part < 0.28 {
				t.Error("cold servers stay empty while the others are full")
			}
		}
	}
}

// All servers have started lately, as after a power cut: no warm one says what fills a server, and what relays without
// connections count as together is each server's, not the fleet's at each.
func TestAFleetThatIsColdAllOverIsNotPushedOver(t *testing.T) {
	const relays, servers, fills = 300, 20, 20.0
	set := settings()
	set.RelayCount, set.SlowStartFloor, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow = relays, 0.3, 8*sec, 2.5, 3*sec
	rng := rand.New(rand.NewPCG(9, 9))
	list := fleet(servers)
	for i := range list {
		list[i].ReadyAt = coldStart
	}
	got, id := map[BackendID]int{}, uint64(0)
	for range relays {
		r := &recorder{}
		b := New(coldStart, rng.Uint64(), set, r)
		b.EndpointsUpdated(coldStart, UpdateCached, list)
		for now := coldStart; now < coldStart+set.OverloadWindow; now += 100 * ms {
			id++
			r.clear()
			b.RequestArrived(now, Request{ID: id, Key: rng.Uint64(), TimeLeft: 2 * sec})
			if to := r.take("send"); len(to) == 1 {
				got[to[0].to]++
				b.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
			}
		}
	}
	most := set.OverloadMultiple * set.SlowStartFloor * fills * set.OverloadWindow.Seconds() / set.SlowStartWindow.Seconds()
	total := 0
	for s, n := range got {
		if total += n; float64(n) > most+2*math.Sqrt(most)+2 {
			t.Errorf("server %d got %d calls in its first span, %.1f are allowed", s, n, most)
		}
	}
	if total == 0 {
		t.Error("nobody is served while all servers are cold")
	}
}
