package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// countColdSends runs many relays that learn of a start together, each with more of the new
// backend's keys than it can take, and counts what the backend is sent at once.
func countColdSends(t *testing.T, relays int, at time.Duration) int {
	t.Helper()
	n := 0
	for relay := range relays {
		r := &recorder{}
		b := New(sec, uint64(relay), defaultSettings(), r)
		b.EndpointsUpdated(sec, UpdateCached, readyBackends(4))
		for id := uint64(1); id <= 40; id++ {
			mustSend(t, b, r, sec, Request{ID: id, Key: id})
			b.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
		b.EndpointsUpdated(20*sec, UpdateDelta, []Backend{{ID: 9, State: StateReady, Weight: 1, ReadyAt: 20 * sec}})
		for id := uint64(100); id < 160; id++ {
			if mustSend(t, b, r, 20*sec, Request{ID: id, Key: id}) == 9 {
				n++
			}
		}
		for id := uint64(1000); id < 1060; id++ {
			if mustSend(t, b, r, 20*sec+at, Request{ID: id, Key: id}) == 9 {
				n++
			}
		}
	}
	return n
}

// Many relays learn of a start in the same second; one connection from each at once would overload the
// backend.
func TestSlowStart_ManyRelaysDoNotOverload(t *testing.T) {
	if n := countColdSends(t, 18, 100*ms); n > 4 {
		t.Errorf("18 relays sent a backend %d connections in its first tenth of a second", n)
	}
	if n := countColdSends(t, 18, 3*sec); n == 0 {
		t.Error("a cold backend is never filled")
	}
}

// After most relays were killed at once, the restarted ones have no connections to judge a cold backend
// by. If each of them sent it nothing, nobody would fill it.
func TestSlowStart_RelaysWithoutConnectionsFillColdBackend(t *testing.T) {
	n := 0
	for relay := range 240 {
		r := &recorder{}
		s := defaultSettings()
		s.RelayCount = 240
		b := New(sec, uint64(relay), s, r)
		list := readyBackends(10)
		list[0].ReadyAt = sec
		b.EndpointsUpdated(sec, UpdateCached, list)
		for i := uint64(1); i <= 40; i++ { // short ones: none is open when the next comes
			id := uint64(relay)*100 + i
			now := sec + time.Duration(i)*200*ms
			if mustSend(t, b, r, now, Request{ID: id, Key: id}) == 1 {
				n++
			}
			b.AttemptEnded(now, AttemptResult{ID: id, Status: StatusOK, Closed: true})
		}
	}
	if n < 4 || n > 24 { // 240 relays' one connection each on 10 backends
		t.Errorf("240 relays gave a cold backend %d connections over its slow start", n)
	}
}

// coldFleet is many relays with ten warm backends and one that has just started. The relays exchange nothing.
type coldFleet struct {
	relays         int
	callsPerWindow float64       // calls that the backend may get in a window when it has just started
	rushAfter      time.Duration // after the start; from then on each relay has more for it than it can take
	restartHalf    bool          // half of the relays restart a second before the rush
	uneven         bool          // one relay has a third of the connections
	idle           bool          // connections are few: most relays hold none
	midStream      bool          // the requests of the rush are mid-stream: other relays have died
	minFilled      float64       // this part of what fills a backend is to come over its slow start
}

const (
	warmBackends = 10 // warm ones, and one that starts
	coldStart    = 20 * sec
)

// simulate returns when calls reached the cold backend, and how many connections fill one.
func (f coldFleet) simulate(t *testing.T, seed uint64) (at []time.Duration, set Settings, fills float64) {
	t.Helper()
	set = defaultSettings()
	set.RelayCount, set.PassThrough, set.ReportsConnectionLoad, set.ReportsMessageDelay = f.relays, true, false, false
	set.SlowStartFloor, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow = 0.3, 8*sec, 2.5, 3*sec
	fills = f.callsPerWindow / (set.OverloadMultiple * set.SlowStartFloor * set.OverloadWindow.Seconds() / set.SlowStartWindow.Seconds())
	conns := 0.6 * fills * warmBackends
	if f.idle {
		conns = math.Min(conns, 0.3*float64(f.relays))
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	var keys []uint64
	check := New(sec, 1, set, &recorder{})
	check.EndpointsUpdated(sec, UpdateCached, append(readyBackends(warmBackends), Backend{ID: 99, State: StateReady, Weight: 1}))
	for len(keys) < 400 {
		if key := rng.Uint64(); check.ring.first(mixBits(key), func(*backend) bool { return true }).ID == 99 {
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
	begin := func(x *relay, now time.Duration, listed bool) {
		x.r = &recorder{}
		x.b = New(now, rng.Uint64(), set, x.r)
		list := readyBackends(warmBackends)
		if listed {
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
		if f.uneven {
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
			mustSend(t, x.b, x.r, sec, Request{ID: id, Key: rng.Uint64()})
			x.b.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
	}
	for _, x := range relays {
		x.b.EndpointsUpdated(start, UpdateDelta, []Backend{cold})
	}
	for now := start; now < start+set.SlowStartWindow; now += 100 * ms {
		if f.restartHalf && now == start+f.rushAfter-sec {
			for i, x := range relays {
				if i%2 == 1 {
					begin(x, now, true)
				}
			}
		}
		for _, x := range relays {
			n := 0
			if now >= start+f.rushAfter {
				n = 2
			} else if rng.IntN(20) == 0 { // an occasional request
				n = 1
			}
			for range n {
				id++
				x.r.clear()
				x.b.RequestArrived(now, Request{ID: id, Key: keys[rng.IntN(len(keys))], TimeLeft: 2 * sec, MidStream: f.midStream && now >= start+f.rushAfter})
				if got := x.r.take(actionSend); len(got) == 1 {
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

// The sum of what all relays send a cold backend is within its ramp. Beyond the N calls allowed only 2 x
// root of N + 2 are chance, however many relays there are and whatever they hold; and the room is used.
func TestSlowStart_RampHoldsAcrossRelays(t *testing.T) {
	for name, c := range map[string]coldFleet{
		"a rush right after its start":             {rushAfter: 500 * ms, minFilled: 0.15},
		"a rush in the middle":                     {rushAfter: 4 * sec, minFilled: 0.15},
		"a rush near the end":                      {rushAfter: 6500 * ms, minFilled: 0.15},
		"half of the relays restarted":             {rushAfter: 4 * sec, restartHalf: true, minFilled: 0.08},
		"one relay with a third of all":            {rushAfter: 4 * sec, uneven: true, minFilled: 0.15},
		"most relays without connections":          {rushAfter: 4 * sec, idle: true},
		"most without connections, half restarted": {rushAfter: 6500 * ms, idle: true, restartHalf: true},
		"mid-stream":                               {rushAfter: 4 * sec, midStream: true, minFilled: 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, relays := range []int{20, 30, 200, 350} {
				for _, n := range []float64{5, 20, 100} {
					c.relays, c.callsPerWindow = relays, n
					used := 0.0
					for seed := range uint64(3) {
						at, set, fills := c.simulate(t, seed)
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
								t.Fatalf("%d relays, budget %v at the start, seed %d: %d calls in a window where %.1f are allowed",
									relays, n, seed, calls, most)
							}
						}
					}
					if used < c.minFilled {
						t.Errorf("%d relays, budget %v: %.2f of what fills a backend came over its slow start", relays, n, used)
					}
				}
			}
		})
	}
}

// A mid-stream connection that is known to be open at a cold backend goes there, tokens or not: any other
// would reset it. An unknown one takes a token or goes to the next backend of its order.
func TestSlowStart_MidStreamFollowsStickyOverride(t *testing.T) {
	for _, known := range []bool{true, false} {
		s := defaultSettings()
		s.PassThrough = true
		b, r := newTestBalancer(t, s, 4)
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
			if mustSend(t, b, r, 20*sec, q) == 9 {
				sends++
			}
		}
		if known && sends != 40 || !known && sends > 1 {
			t.Errorf("known %v: %d of 40 went to the cold backend", known, sends)
		}
	}
}

// Most backends are replaced at once: those that are left report to be full, and the new ones are cold.
// Few keys have their primary there, and few relays hold a token for one at a time. Whichever does sends
// it any key that finds its primary full; the tokens still hold.
func TestSlowStart_WarmingBackendTakesOverflow(t *testing.T) {
	const warm, cold = 10, 6
	for _, relays := range []int{30, 300} {
		for _, groups := range []bool{false, true} {
			rng := rand.New(rand.NewPCG(uint64(relays), 7))
			set := defaultSettings()
			set.RelayCount, set.HealthChecks, set.ReportFields, set.Groups = relays, true, []ReportField{FieldLoadShare}, groups
			set.SlowStartFloor, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow, set.ReportsMessageDelay = 0.3, 8*sec, 2.5, 3*sec, false
			const fills = 40.0 // connections fill a backend
			type relay struct {
				b *Balancer
				r *recorder
			}
			all := make([]relay, relays)
			id := uint64(0)
			starts := readyBackends(warm)
			for i := range cold {
				starts = append(starts, Backend{ID: BackendID(100 + i), State: StateReady, Weight: 1, ReadyAt: coldStart})
			}
			for i := range all {
				x := relay{r: &recorder{}}
				x.b = New(sec, rng.Uint64(), set, x.r)
				x.b.EndpointsUpdated(sec, UpdateCached, readyBackends(warm))
				for s := range minFleetReports {
					x.b.HealthCheckDone(sec, HealthCheckResult{Backend: BackendID(1 + s%warm), Latency: ms, Load: []float32{0.5}})
				}
				for range int(fills*warm/float64(relays) + rng.Float64()) {
					id++
					mustSend(t, x.b, x.r, sec, Request{ID: id, Key: rng.Uint64(), Group: id})
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
						did := x.r.take(actionCheckHealth)
						x.r.clear()
						for _, p := range did {
							load := float32(1.1)
							if p.to >= 100 {
								load = 0.1
							}
							x.b.HealthCheckDone(now+ms, HealthCheckResult{Backend: p.to, Latency: ms, Load: []float32{load}})
						}
						if to := x.r.take(actionSend); len(to) == 1 {
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
						t.Fatalf("%d relays: %d calls in a window where %.1f are allowed", relays, calls, most)
					}
				}
			}
			part := float64(used) / cold / fills
			t.Logf("%d relays, groups %v: each cold backend got %.2f of what fills it over its slow start", relays, groups, part)
			if part < 0.28 {
				t.Error("cold backends stay empty while the others are full")
			}
		}
	}
}

// All backends have started lately, as after a power cut: no warm one shows what fills a backend, and the
// connections that idle relays count as are those of each backend, not of the whole fleet.
func TestSlowStart_AllBackendsColdAreNotOverloaded(t *testing.T) {
	const relays, backends, fills = 300, 20, 20.0
	set := defaultSettings()
	set.RelayCount, set.SlowStartFloor, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow = relays, 0.3, 8*sec, 2.5, 3*sec
	rng := rand.New(rand.NewPCG(9, 9))
	list := readyBackends(backends)
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
			if to := r.take(actionSend); len(to) == 1 {
				got[to[0].to]++
				b.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
			}
		}
	}
	most := set.OverloadMultiple * set.SlowStartFloor * fills * set.OverloadWindow.Seconds() / set.SlowStartWindow.Seconds()
	total := 0
	for s, n := range got {
		if total += n; float64(n) > most+2*math.Sqrt(most)+2 {
			t.Errorf("backend %d got %d calls in its first span, %.1f are allowed", s, n, most)
		}
	}
	if total == 0 {
		t.Error("nobody is served while all backends are cold")
	}
}
