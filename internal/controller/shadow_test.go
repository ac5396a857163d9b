package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/shadow"
)

// watched is a configuration with a shape to watch, which differs from the one in force as change says.
func watched(change func(*shadow.Shape)) Config {
	cfg := with([]string{"chat"}, []balance.Class{class(balance.Idempotent)}, 3)
	cfg.Settings.PassThrough, cfg.Settings.ReportsMessageDelay = false, true
	cfg.CachedEndpoints = []byte(strings.ReplaceAll(three, `"weight":1}]`, `"weight":6}]`))
	s := cfg.Settings.Settings
	s.Weights = balance.WeightsNominal
	cfg.Settings.Settings = s
	if change != nil {
		cfg.Shadow = shadow.ShapeOf(&s)
		change(cfg.Shadow)
	}
	return cfg
}

// serve plays ten seconds with 400 clients, in which one backend fails set-ups, one is late for a while, and probes
// are answered. It returns all that was done to the world.
func serve(t *testing.T, cfg Config, during func(n *Controller, at time.Duration)) (*Controller, []string) {
	t.Helper()
	return serveLogged(t, cfg, zap.NewNop(), during)
}

func serveLogged(t *testing.T, cfg Config, log *zap.Logger, during func(n *Controller, at time.Duration)) (*Controller, []string) {
	t.Helper()
	n, h := loggedNode(t, cfg, log)
	var did []string
	began, seen := map[uint64]bool{}, map[uint64]int{}
	for step := 1; step <= 400; step++ {
		now := time.Second + time.Duration(step)*25*time.Millisecond
		n.FireTimers(now)
		if during != nil {
			during(n, now)
		}
		seq := uint64(step)
		n.SessionOpened(now, greeted(t, n, seq, fmt.Sprintf("OPEN %016x %016x c=chat,d=3000\r\n", seq, seq*0x9e3779b97f4a7c15)))
		for id := seq - min(seq-1, 40); id <= seq; id++ {
			for orders := h.orders[id]; seen[id] < len(orders); orders = h.orders[id] {
				o := orders[seen[id]]
				seen[id]++
				if o.Backend == nil {
					did = append(did, fmt.Sprintf("%d %d %q", step, id, o.Answer))
					continue
				}
				did = append(did, fmt.Sprintf("%d %d to %s", step, id, o.Backend.Name))
				out := balance.AttemptResult{ID: id, Attempt: n.sessions.bySequence[id].attempts - 1, Backend: o.Backend.ID, Latency: 5 * time.Millisecond}
				if o.Backend.Name == "b" && id%3 == 0 {
					out.Status = balance.StatusError
					n.SessionEvent(now, id, session.Event{Kind: session.AttemptEnded, Result: out})
				} else {
					began[id] = true
					n.SessionEvent(now, id, session.Event{Kind: session.Established, Result: out})
				}
			}
		}
		if began[seq] && n.sessions.bySequence[seq].backend == "c" && step > 200 && step < 240 {
			n.SessionEvent(now, seq, session.Event{Kind: session.LoadReported, Load: 40})
		}
		for _, id := range h.probed {
			n.HealthCheckDone(now, balance.HealthCheckResult{Backend: id, Latency: time.Millisecond, Load: []float32{0.2}})
		}
		h.probed = nil
		for _, id := range h.moved {
			did = append(did, fmt.Sprintf("%d %d moves", step, id))
			out := balance.AttemptResult{ID: id, Attempt: n.sessions.bySequence[id].attempts - 1, Status: balance.StatusCancelled, Closed: true}
			n.SessionEvent(now, id, session.Event{Kind: session.AttemptEnded, Result: out})
		}
		h.moved = nil
	}
	return n, did
}

func differences(n *Controller) (f *metrics.ShadowSnapshot, sum int64) {
	f = n.Metrics().Snapshot().Shadow
	for _, c := range f.Counts {
		sum += c
	}
	return f, sum
}

func TestWatchingTheSameShapeFindsNoDifference(t *testing.T) {
	n, did := serve(t, watched(func(*shadow.Shape) {}), nil)
	f, sum := differences(n)
	if sum != 0 || f.Compared < 350 || f.Failed {
		t.Errorf("%+v", f)
	}
	moves := 0
	for _, d := range did {
		if strings.HasSuffix(d, "moves") {
			moves++
		}
	}
	if moves == 0 {
		t.Error("nobody was moved: the day shows nothing of moves")
	}
}

func TestWhatIsDoneIsTheSameWithAndWithoutWatching(t *testing.T) {
	_, plain := serve(t, watched(nil), nil)
	for name, change := range map[string]func(*shadow.Shape){
		"same": func(*shadow.Shape) {}, "no probes": func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil },
		"no weights": func(s *shadow.Shape) { s.Weights = balance.WeightsOff },
	} {
		if _, did := serve(t, watched(change), nil); !slices.Equal(did, plain) {
			t.Errorf("%s: %d things done, %d without watching", name, len(did), len(plain))
		}
	}
}

// Each difference is counted under its kind, and none grows into others: after 400 clients the other half holds
// just what is really open, server by server.
func TestWatchingCountsByKind(t *testing.T) {
	n, _ := serve(t, watched(func(s *shadow.Shape) { s.Weights = balance.WeightsOff }), nil)
	f, _ := differences(n)
	if f.Counts[metrics.DifferentBackend] < 50 || f.Counts[metrics.DifferentBackend] > 300 {
		t.Errorf("no weights: %+v", f)
	}
	n, _ = serve(t, watched(func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }), nil)
	if f, sum := differences(n); sum == 0 || f.Counts[metrics.MigratedNotKept]+f.Counts[metrics.KeptNotMigrated]+f.Counts[metrics.UnavailableNotUsed]+f.Counts[metrics.UsedNotUnavailable]+
		f.Counts[metrics.RejectedNotAdmitted]+f.Counts[metrics.DifferentBackend] == 0 {
		t.Errorf("no probes: %+v", f)
	}
	really, other := n.shadow.Snapshot().Backends, n.shadow.Balancer().Snapshot().Backends
	if len(really) != 3 || len(other) != 3 {
		t.Fatalf("%d and %d servers", len(really), len(other))
	}
	for i, s := range really {
		if o := other[i]; o.ID != s.ID || o.TrackedLoad != s.TrackedLoad || s.TrackedLoad == 0 {
			t.Errorf("really open at %d: %v, in the other half's books %v", s.ID, s.TrackedLoad, o.TrackedLoad)
		}
	}
}

// What decides asks the server first; the other half, which cannot, has sent the client by then. When the client leaves
// before the answer neither holds it.
func TestAClientThatLeavesWhileItIsHeldIsInNobodysBooks(t *testing.T) {
	n, h := node(t, watched(func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }))
	now := 9 * time.Second
	f := session.New(1, n.Settings(), n.Metrics())
	if _, err := f.ReadHandshake(now, []byte("OPEN 0000000000000001 0000000000000001 c=chat,d=1000\r\n"), true); err != nil {
		t.Fatal(err)
	}
	n.SessionOpened(now, f)
	if other, _ := n.shadow.Balancer().Connections(); len(h.probed) != 1 || len(h.orders[1]) != 0 || other != 1 {
		t.Fatalf("asked %d, ordered %d, the other half holds %d", len(h.probed), len(h.orders[1]), other)
	}
	n.SessionEvent(now, 1, session.Event{Kind: session.ClientLeft})
	if other, _ := n.shadow.Balancer().Connections(); other != 0 || n.shadow.Requests() != 0 {
		t.Errorf("the other half holds %d, flows %d", other, n.shadow.Requests())
	}
}

func TestAFaultOfTheWatchingHalfEndsItAndTouchesNoRequest(t *testing.T) {
	_, plain := serve(t, watched(nil), nil)
	var lines []string
	log := zap.New(logTo(func(msg string) { lines = append(lines, msg) }))
	n, did := serveLogged(t, watched(func(s *shadow.Shape) { s.Weights = balance.WeightsOff }), log, func(n *Controller, at time.Duration) {
		if at == 4*time.Second {
			*n.shadow.Balancer() = balance.Balancer{} // whatever it decides with is gone
		}
	})
	if f, _ := differences(n); !f.Failed || !slices.Equal(did, plain) {
		t.Errorf("ended %v; %d things done, %d without watching", f.Failed, len(did), len(plain))
	}
	if !slices.Contains(lines, "shadow evaluation stopped after panic") {
		t.Errorf("logged %q", lines)
	}
}

func BenchmarkDecision(b *testing.B) {
	for name, change := range map[string]func(*shadow.Shape){"alone": nil, "watched": func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }} {
		b.Run(name, func(b *testing.B) {
			h := &host{orders: map[uint64][]session.Command{}}
			n, err := New(time.Second, watched(change), h, zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				id, now := uint64(i+1), time.Second+time.Duration(i)*time.Millisecond
				n.balancer.RequestArrived(now, balance.Request{ID: id, Key: id, TimeLeft: time.Second, RetryPolicy: &balance.RetryPolicy{}})
				n.balancer.ClientClosed(now, id)
			}
		})
	}
}

// Watching begins and ends with the process: a reload that changes the shape says so and goes on as before.
func TestAChangedShapeWaitsForARestart(t *testing.T) {
	for _, was := range []func(*shadow.Shape){nil, func(*shadow.Shape) {}} {
		n, _ := node(t, watched(was))
		var lines []string
		n.log = zap.New(logTo(func(msg string) { lines = append(lines, msg) }))
		cfg := watched(func(s *shadow.Shape) { s.HealthChecks = false })
		if err := n.Reload(2*time.Second, cfg, 256); err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(lines, "configuration changes need a restart") || (n.Config().Shadow == nil) != (was == nil) ||
			n.Config().Shadow.Equal(cfg.Shadow) {
			t.Errorf("logged %q, in force %+v", lines, n.Config().Shadow)
		}
	}
}
