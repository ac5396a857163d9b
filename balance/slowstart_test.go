package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// countColdSends runs many relays that see a backend start at the same time, each with more requests for it
// than it can take. It returns the number of requests sent to it at its start and again after the given time.
func countColdSends(t *testing.T, relays int, after time.Duration) int {
	t.Helper()
	n := 0
	for relay := range relays {
		rec := &recorder{}
		balancer := New(sec, uint64(relay), defaultSettings(), rec)
		balancer.EndpointsUpdated(sec, UpdateCached, readyBackends(4))
		for id := uint64(1); id <= 40; id++ {
			mustSend(t, balancer, rec, sec, Request{ID: id, Key: id})
			balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
		balancer.EndpointsUpdated(20*sec, UpdateDelta, []Backend{{ID: 9, State: StateReady, Weight: 1, ReadyAt: 20 * sec}})
		for id := uint64(100); id < 160; id++ {
			if mustSend(t, balancer, rec, 20*sec, Request{ID: id, Key: id}) == 9 {
				n++
			}
		}
		for id := uint64(1000); id < 1060; id++ {
			if mustSend(t, balancer, rec, 20*sec+after, Request{ID: id, Key: id}) == 9 {
				n++
			}
		}
	}
	return n
}

// Many relays see a backend start in the same second. One connection from each at once would overload it.
func TestSlowStart_ManyRelaysDoNotOverload(t *testing.T) {
	if n := countColdSends(t, 18, 100*ms); n > 4 {
		t.Errorf("18 relays sent a backend %d connections in its first 100 ms", n)
	}
	if n := countColdSends(t, 18, 3*sec); n == 0 {
		t.Error("18 relays sent a cold backend no connection in 3 s")
	}
}

// After most relays were killed at once, the restarted ones have no connections to estimate the capacity of a
// cold backend by. If they sent it nothing, it would stay empty.
func TestSlowStart_RelaysWithoutConnectionsFillColdBackend(t *testing.T) {
	n := 0
	for relay := range 240 {
		rec := &recorder{}
		settings := defaultSettings()
		settings.RelayCount = 240
		balancer := New(sec, uint64(relay), settings, rec)
		list := readyBackends(10)
		list[0].ReadyAt = sec
		balancer.EndpointsUpdated(sec, UpdateCached, list)
		for i := uint64(1); i <= 40; i++ { // short connections: none is open when the next request arrives
			id := uint64(relay)*100 + i
			now := sec + time.Duration(i)*200*ms
			if mustSend(t, balancer, rec, now, Request{ID: id, Key: id}) == 1 {
				n++
			}
			balancer.AttemptEnded(now, AttemptResult{ID: id, Status: StatusOK, Closed: true})
		}
	}
	if n < 4 || n > 24 { // 24: one connection of each of 240 relays, on 10 backends
		t.Errorf("240 relays sent a cold backend %d connections over its slow start", n)
	}
}

// coldFleet describes many relays with ten warm backends and one that has just started. The relays exchange no
// messages.
type coldFleet struct {
	relays            int
	requestsPerWindow float64       // requests that the backend may get in a window when it has just started
	rushAfter         time.Duration // from this time after the start, each relay has more requests for it than it can take
	restartHalf       bool          // half of the relays restart a second before the rush
	uneven            bool          // one relay has a third of the connections
	idle              bool          // connections are few: most relays have none
	midStream         bool          // the requests of the rush are mid-stream: other relays have died
	minFilled         float64       // least fraction of its capacity that the backend gets over its slow start
}

const (
	warmBackends = 10 // besides the one that starts
	coldStart    = 20 * sec
)

// simulate returns the times of the requests sent to the cold backend, the settings, and the number of
// connections that a backend has capacity for.
func (f coldFleet) simulate(t *testing.T, seed uint64) (sentAt []time.Duration, settings Settings, capacity float64) {
	t.Helper()
	settings = defaultSettings()
	settings.RelayCount, settings.PassThrough, settings.ReportsConnectionLoad, settings.ReportsMessageDelay = f.relays, true, false, false
	settings.SlowStartFloor, settings.SlowStartWindow, settings.OverloadMultiple, settings.OverloadWindow = 0.3, 8*sec, 2.5, 3*sec
	capacity = f.requestsPerWindow / (settings.OverloadMultiple * settings.SlowStartFloor * settings.OverloadWindow.Seconds() / settings.SlowStartWindow.Seconds())
	conns := 0.6 * capacity * warmBackends
	if f.idle {
		conns = math.Min(conns, 0.3*float64(f.relays))
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	var coldKeys []uint64
	reference := New(sec, 1, settings, &recorder{})
	reference.EndpointsUpdated(sec, UpdateCached, append(readyBackends(warmBackends), Backend{ID: 99, State: StateReady, Weight: 1}))
	for len(coldKeys) < 400 {
		if key := rng.Uint64(); reference.rendezvous.first(mixBits(key), func(*backend) bool { return true }).ID == 99 {
			coldKeys = append(coldKeys, key)
		}
	}
	type simulatedRelay struct {
		balancer *Balancer
		rec      *recorder
		conns    int
	}
	id := uint64(0)
	start := coldStart
	cold := Backend{ID: 99, State: StateReady, Weight: 1, ReadyAt: start}
	startRelay := func(relay *simulatedRelay, now time.Duration, coldListed bool) {
		relay.rec = &recorder{}
		relay.balancer = New(now, rng.Uint64(), settings, relay.rec)
		list := readyBackends(warmBackends)
		if coldListed {
			list = append(list, cold)
		}
		relay.balancer.EndpointsUpdated(now, UpdateCached, list)
	}
	relays := make([]*simulatedRelay, f.relays)
	for i := range relays {
		relay := &simulatedRelay{}
		relays[i] = relay
		startRelay(relay, sec, false)
		share := conns / float64(f.relays)
		if f.uneven {
			share = conns * 2 / 3 / float64(f.relays-1)
			if i == 0 {
				share = conns / 3
			}
		}
		relay.conns = int(share)
		if rng.Float64() < share-float64(relay.conns) {
			relay.conns++
		}
		for range relay.conns {
			id++
			mustSend(t, relay.balancer, relay.rec, sec, Request{ID: id, Key: rng.Uint64()})
			relay.balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
		}
	}
	for _, relay := range relays {
		relay.balancer.EndpointsUpdated(start, UpdateDelta, []Backend{cold})
	}
	for now := start; now < start+settings.SlowStartWindow; now += 100 * ms {
		if f.restartHalf && now == start+f.rushAfter-sec {
			for i, relay := range relays {
				if i%2 == 1 {
					startRelay(relay, now, true)
				}
			}
		}
		for _, relay := range relays {
			n := 0
			if now >= start+f.rushAfter {
				n = 2
			} else if rng.IntN(20) == 0 { // an occasional request
				n = 1
			}
			for range n {
				id++
				relay.rec.clear()
				relay.balancer.RequestArrived(now, Request{ID: id, Key: coldKeys[rng.IntN(len(coldKeys))], TimeLeft: 2 * sec, MidStream: f.midStream && now >= start+f.rushAfter})
				if got := relay.rec.take(actionSend); len(got) == 1 {
					if got[0].to == 99 {
						sentAt = append(sentAt, now)
					}
					relay.balancer.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
				}
			}
		}
	}
	return sentAt, settings, capacity
}

// The requests that all relays together send a cold backend stay within its slow start, however many relays
// there are and whatever connections they have. A window may by chance have 2*sqrt(N) + 2 requests
// more than the N allowed in it. The room that slow start leaves is used.
func TestSlowStart_RampHoldsAcrossRelays(t *testing.T) {
	for name, c := range map[string]coldFleet{
		"a rush right after its start":              {rushAfter: 500 * ms, minFilled: 0.15},
		"a rush in the middle":                      {rushAfter: 4 * sec, minFilled: 0.15},
		"a rush near the end":                       {rushAfter: 6500 * ms, minFilled: 0.15},
		"half of the relays restarted":              {rushAfter: 4 * sec, restartHalf: true, minFilled: 0.08},
		"one relay with a third of the connections": {rushAfter: 4 * sec, uneven: true, minFilled: 0.15},
		"most relays without connections":           {rushAfter: 4 * sec, idle: true},
		"most without connections, half restarted":  {rushAfter: 6500 * ms, idle: true, restartHalf: true},
		"mid-stream": {rushAfter: 4 * sec, midStream: true, minFilled: 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, relays := range []int{20, 30, 200, 350} {
				for _, budget := range []float64{5, 20, 100} {
					c.relays, c.requestsPerWindow = relays, budget
					filled := 0.0
					for seed := range uint64(3) {
						sentAt, settings, capacity := c.simulate(t, seed)
						filled += float64(len(sentAt)) / capacity / 3
						for i, from := range sentAt {
							requests := 0
							for _, to := range sentAt[i:] {
								if to-from <= settings.OverloadWindow {
									requests++
								}
							}
							age := float64(from-coldStart) / float64(settings.SlowStartWindow)
							allowed := settings.OverloadMultiple * (settings.SlowStartFloor + (1-settings.SlowStartFloor)*age) * capacity * settings.OverloadWindow.Seconds() / settings.SlowStartWindow.Seconds()
							if float64(requests) > allowed+2*math.Sqrt(allowed)+2 {
								t.Fatalf("%d relays, budget %v at the start, seed %d: %d requests in a window where %.1f are allowed",
									relays, budget, seed, requests, allowed)
							}
						}
					}
					if filled < c.minFilled {
						t.Errorf("%d relays, budget %v: the backend got %.2f of its capacity over its slow start", relays, budget, filled)
					}
				}
			}
		})
	}
}

// A mid-stream connection with a sticky override to a cold backend goes there even without a token: any other
// backend would reset it. One without an override takes a token or goes to the next backend in its rendezvous
// order.
func TestSlowStart_MidStreamFollowsStickyOverride(t *testing.T) {
	for _, overridden := range []bool{true, false} {
		settings := defaultSettings()
		settings.PassThrough = true
		balancer, rec := newTestBalancer(t, settings, 4)
		cold := Backend{ID: 9, State: StateReady, Weight: 1, ReadyAt: 20 * sec}
		balancer.EndpointsUpdated(20*sec, UpdateDelta, []Backend{cold})
		sends := 0
		for id := uint64(1); id <= 40; id++ {
			req := Request{ID: id, Key: id, MidStream: true, TimeLeft: 2 * sec}
			created := balancer.newRequest(20*sec, req)
			delete(balancer.requests, id)
			if overridden {
				balancer.sticky.store(20*sec, created.flowKey, balancer.endpoints.byID[9])
			}
			if mustSend(t, balancer, rec, 20*sec, req) == 9 {
				sends++
			}
		}
		if overridden && sends != 40 || !overridden && sends > 1 {
			t.Errorf("sticky override %v: %d of 40 went to the cold backend", overridden, sends)
		}
	}
}

// Most backends are replaced at once: those that are left report that they are full, and the new ones are cold.
// Few keys have their primary on a cold backend, and few relays have a token for one at a time. A relay with a
// token sends the cold backend any request whose primary is full; the tokens still limit the sum.
func TestSlowStart_WarmingBackendTakesOverflow(t *testing.T) {
	const warm, cold = 10, 6
	for _, relays := range []int{30, 300} {
		for _, groups := range []bool{false, true} {
			rng := rand.New(rand.NewPCG(uint64(relays), 7))
			settings := defaultSettings()
			settings.RelayCount, settings.HealthChecks, settings.ReportFields, settings.Groups = relays, true, []ReportField{FieldLoadShare}, groups
			settings.SlowStartFloor, settings.SlowStartWindow, settings.OverloadMultiple, settings.OverloadWindow, settings.ReportsMessageDelay = 0.3, 8*sec, 2.5, 3*sec, false
			const capacity = 40.0 // connections that fill a backend
			type simulatedRelay struct {
				balancer *Balancer
				rec      *recorder
			}
			all := make([]simulatedRelay, relays)
			id := uint64(0)
			list := readyBackends(warm)
			for i := range cold {
				list = append(list, Backend{ID: BackendID(100 + i), State: StateReady, Weight: 1, ReadyAt: coldStart})
			}
			for i := range all {
				relay := simulatedRelay{rec: &recorder{}}
				relay.balancer = New(sec, rng.Uint64(), settings, relay.rec)
				relay.balancer.EndpointsUpdated(sec, UpdateCached, readyBackends(warm))
				for report := range minFleetReports {
					relay.balancer.HealthCheckDone(sec, HealthCheckResult{Backend: BackendID(1 + report%warm), Latency: ms, Load: []float32{0.5}})
				}
				for range int(capacity*warm/float64(relays) + rng.Float64()) {
					id++
					mustSend(t, relay.balancer, relay.rec, sec, Request{ID: id, Key: rng.Uint64(), Group: id})
					relay.balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
				}
				relay.balancer.EndpointsUpdated(coldStart, UpdateDelta, list[warm:])
				all[i] = relay
			}
			sentAt := map[BackendID][]time.Duration{}
			for now := coldStart; now < coldStart+settings.SlowStartWindow; now += 100 * ms {
				for _, relay := range all {
					if rng.IntN(15) != 0 {
						continue
					}
					id++
					relay.rec.clear()
					relay.balancer.RequestArrived(now, Request{ID: id, Key: rng.Uint64(), Group: id, TimeLeft: 2 * sec, Reconnecting: true})
					for range 10 {
						pending := relay.rec.take(actionCheckHealth)
						relay.rec.clear()
						for _, p := range pending {
							load := float32(1.1)
							if p.to >= 100 {
								load = 0.1
							}
							relay.balancer.HealthCheckDone(now+ms, HealthCheckResult{Backend: p.to, Latency: ms, Load: []float32{load}})
						}
						if to := relay.rec.take(actionSend); len(to) == 1 {
							sentAt[to[0].to] = append(sentAt[to[0].to], now)
							relay.balancer.AttemptEnded(now+ms, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
							break
						}
					}
				}
			}
			total := 0
			for coldID := BackendID(100); coldID < 100+cold; coldID++ {
				total += len(sentAt[coldID])
				for i, from := range sentAt[coldID] {
					requests := 0
					for _, to := range sentAt[coldID][i:] {
						if to-from <= settings.OverloadWindow {
							requests++
						}
					}
					age := float64(from-coldStart) / float64(settings.SlowStartWindow)
					allowed := settings.OverloadMultiple * (settings.SlowStartFloor + (1-settings.SlowStartFloor)*age) * capacity * settings.OverloadWindow.Seconds() / settings.SlowStartWindow.Seconds()
					if float64(requests) > allowed+2*math.Sqrt(allowed)+2 {
						t.Fatalf("%d relays: %d requests in a window where %.1f are allowed", relays, requests, allowed)
					}
				}
			}
			filled := float64(total) / cold / capacity
			t.Logf("%d relays, groups %v: each cold backend got %.2f of its capacity over its slow start", relays, groups, filled)
			if filled < 0.28 {
				t.Error("cold backends stay empty while the others are full")
			}
		}
	}
}

// All backends have just started, as after a power cut, and no warm one shows how many connections fill a
// backend. The number of connections that relays without any assume together is that of each backend, not of the
// whole fleet.
func TestSlowStart_AllBackendsColdAreNotOverloaded(t *testing.T) {
	const relays, backends, capacity = 300, 20, 20.0
	settings := defaultSettings()
	settings.RelayCount, settings.SlowStartFloor, settings.SlowStartWindow, settings.OverloadMultiple, settings.OverloadWindow = relays, 0.3, 8*sec, 2.5, 3*sec
	rng := rand.New(rand.NewPCG(9, 9))
	list := readyBackends(backends)
	for i := range list {
		list[i].ReadyAt = coldStart
	}
	got, id := map[BackendID]int{}, uint64(0)
	for range relays {
		rec := &recorder{}
		balancer := New(coldStart, rng.Uint64(), settings, rec)
		balancer.EndpointsUpdated(coldStart, UpdateCached, list)
		for now := coldStart; now < coldStart+settings.OverloadWindow; now += 100 * ms {
			id++
			rec.clear()
			balancer.RequestArrived(now, Request{ID: id, Key: rng.Uint64(), TimeLeft: 2 * sec})
			if to := rec.take(actionSend); len(to) == 1 {
				got[to[0].to]++
				balancer.AttemptEnded(now, AttemptResult{ID: id, Status: StatusCancelled, Closed: true})
			}
		}
	}
	allowed := settings.OverloadMultiple * settings.SlowStartFloor * capacity * settings.OverloadWindow.Seconds() / settings.SlowStartWindow.Seconds()
	total := 0
	for backendID, n := range got {
		if total += n; float64(n) > allowed+2*math.Sqrt(allowed)+2 {
			t.Errorf("backend %d got %d requests in its first window, %.1f are allowed", backendID, n, allowed)
		}
	}
	if total == 0 {
		t.Error("no request is served while all backends are cold")
	}
}
