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
func shadowConfig(change func(*shadow.Shape)) Config {
	cfg := configWithClasses([]string{"chat"}, []balance.Class{testClass(balance.Idempotent)}, 3)
	cfg.Settings.PassThrough, cfg.Settings.ReportsMessageDelay = false, true
	cfg.CachedEndpoints = []byte(strings.ReplaceAll(threeEndpoints, `"weight":1}]`, `"weight":6}]`))
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
func serveClients(t *testing.T, cfg Config, during func(controller *Controller, at time.Duration)) (*Controller, []string) {
	t.Helper()
	return serveClientsLogged(t, cfg, zap.NewNop(), during)
}

func serveClientsLogged(t *testing.T, cfg Config, log *zap.Logger, during func(controller *Controller, at time.Duration)) (*Controller, []string) {
	t.Helper()
	controller, driver := newLoggedController(t, cfg, log)
	var did []string
	began, seen := map[uint64]bool{}, map[uint64]int{}
	for step := 1; step <= 400; step++ {
		now := time.Second + time.Duration(step)*25*time.Millisecond
		controller.FireTimers(now)
		if during != nil {
			during(controller, now)
		}
		seq := uint64(step)
		controller.SessionOpened(now, readOpenLine(t, controller, seq, fmt.Sprintf("OPEN %016x %016x c=chat,d=3000\r\n", seq, seq*0x9e3779b97f4a7c15)))
		for id := seq - min(seq-1, 40); id <= seq; id++ {
			for orders := driver.commands[id]; seen[id] < len(orders); orders = driver.commands[id] {
				command := orders[seen[id]]
				seen[id]++
				if command.Backend == nil {
					did = append(did, fmt.Sprintf("%d %d %q", step, id, command.Answer))
					continue
				}
				did = append(did, fmt.Sprintf("%d %d to %s", step, id, command.Backend.Name))
				out := balance.AttemptResult{ID: id, Attempt: controller.sessions.bySequence[id].attempts - 1, Backend: command.Backend.ID, Latency: 5 * time.Millisecond}
				if command.Backend.Name == "b" && id%3 == 0 {
					out.Status = balance.StatusError
					controller.SessionEvent(now, id, session.Event{Kind: session.AttemptEnded, Result: out})
				} else {
					began[id] = true
					controller.SessionEvent(now, id, session.Event{Kind: session.Established, Result: out})
				}
			}
		}
		if began[seq] && controller.sessions.bySequence[seq].backend == "c" && step > 200 && step < 240 {
			controller.SessionEvent(now, seq, session.Event{Kind: session.LoadReported, Load: 40})
		}
		for _, id := range driver.healthChecks {
			controller.HealthCheckDone(now, balance.HealthCheckResult{Backend: id, Latency: time.Millisecond, Load: []float32{0.2}})
		}
		driver.healthChecks = nil
		for _, id := range driver.migrated {
			did = append(did, fmt.Sprintf("%d %d moves", step, id))
			out := balance.AttemptResult{ID: id, Attempt: controller.sessions.bySequence[id].attempts - 1, Status: balance.StatusCancelled, Closed: true}
			controller.SessionEvent(now, id, session.Event{Kind: session.AttemptEnded, Result: out})
		}
		driver.migrated = nil
	}
	return controller, did
}

func shadowDifferences(controller *Controller) (snapshot *metrics.ShadowSnapshot, sum int64) {
	snapshot = controller.Metrics().Snapshot().Shadow
	for _, c := range snapshot.Counts {
		sum += c
	}
	return snapshot, sum
}

func TestShadow_SameShapeHasNoDifferences(t *testing.T) {
	controller, did := serveClients(t, shadowConfig(func(*shadow.Shape) {}), nil)
	snapshot, sum := shadowDifferences(controller)
	if sum != 0 || snapshot.Compared < 350 || snapshot.Failed {
		t.Errorf("%+v", snapshot)
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

func TestShadow_DoesNotChangeActions(t *testing.T) {
	_, plain := serveClients(t, shadowConfig(nil), nil)
	for name, change := range map[string]func(*shadow.Shape){
		"same": func(*shadow.Shape) {}, "no probes": func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil },
		"no weights": func(s *shadow.Shape) { s.Weights = balance.WeightsOff },
	} {
		if _, did := serveClients(t, shadowConfig(change), nil); !slices.Equal(did, plain) {
			t.Errorf("%s: %d things done, %d without watching", name, len(did), len(plain))
		}
	}
}

// Each difference is counted under its kind, and none grows into others: after 400 clients the other half holds
// just what is really open, server by server.
func TestShadow_CountsDifferencesByKind(t *testing.T) {
	controller, _ := serveClients(t, shadowConfig(func(s *shadow.Shape) { s.Weights = balance.WeightsOff }), nil)
	snapshot, _ := shadowDifferences(controller)
	if snapshot.Counts[metrics.DifferentBackend] < 50 || snapshot.Counts[metrics.DifferentBackend] > 300 {
		t.Errorf("no weights: %+v", snapshot)
	}
	controller, _ = serveClients(t, shadowConfig(func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }), nil)
	if snapshot, sum := shadowDifferences(controller); sum == 0 || snapshot.Counts[metrics.MigratedNotKept]+snapshot.Counts[metrics.KeptNotMigrated]+snapshot.Counts[metrics.UnavailableNotUsed]+snapshot.Counts[metrics.UsedNotUnavailable]+
		snapshot.Counts[metrics.RejectedNotAdmitted]+snapshot.Counts[metrics.DifferentBackend] == 0 {
		t.Errorf("no probes: %+v", snapshot)
	}
	really, other := controller.shadow.Snapshot().Backends, controller.shadow.Balancer().Snapshot().Backends
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
func TestShadow_ClientThatLeavesWhileHeldIsNotCounted(t *testing.T) {
	controller, driver := newTestController(t, shadowConfig(func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }))
	now := 9 * time.Second
	opened := session.New(1, controller.Settings(), controller.Metrics())
	if _, err := opened.ReadHandshake(now, []byte("OPEN 0000000000000001 0000000000000001 c=chat,d=1000\r\n"), true); err != nil {
		t.Fatal(err)
	}
	controller.SessionOpened(now, opened)
	if other, _ := controller.shadow.Balancer().Connections(); len(driver.healthChecks) != 1 || len(driver.commands[1]) != 0 || other != 1 {
		t.Fatalf("asked %d, ordered %d, the other half holds %d", len(driver.healthChecks), len(driver.commands[1]), other)
	}
	controller.SessionEvent(now, 1, session.Event{Kind: session.ClientLeft})
	if other, _ := controller.shadow.Balancer().Connections(); other != 0 || controller.shadow.Requests() != 0 {
		t.Errorf("the other half holds %d, flows %d", other, controller.shadow.Requests())
	}
}

func TestShadow_PanicEndsEvaluationOnly(t *testing.T) {
	_, plain := serveClients(t, shadowConfig(nil), nil)
	var lines []string
	log := zap.New(messageLogger(func(msg string) { lines = append(lines, msg) }))
	controller, did := serveClientsLogged(t, shadowConfig(func(s *shadow.Shape) { s.Weights = balance.WeightsOff }), log, func(controller *Controller, at time.Duration) {
		if at == 4*time.Second {
			*controller.shadow.Balancer() = balance.Balancer{} // whatever it decides with is gone
		}
	})
	if snapshot, _ := shadowDifferences(controller); !snapshot.Failed || !slices.Equal(did, plain) {
		t.Errorf("ended %v; %d things done, %d without watching", snapshot.Failed, len(did), len(plain))
	}
	if !slices.Contains(lines, "shadow evaluation stopped after panic") {
		t.Errorf("logged %q", lines)
	}
}

func BenchmarkController_Decision(b *testing.B) {
	for name, change := range map[string]func(*shadow.Shape){"alone": nil, "watched": func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }} {
		b.Run(name, func(b *testing.B) {
			driver := &fakeDriver{commands: map[uint64][]session.Command{}}
			controller, err := New(time.Second, shadowConfig(change), driver, zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				id, now := uint64(i+1), time.Second+time.Duration(i)*time.Millisecond
				controller.balancer.RequestArrived(now, balance.Request{ID: id, Key: id, TimeLeft: time.Second, RetryPolicy: &balance.RetryPolicy{}})
				controller.balancer.ClientClosed(now, id)
			}
		})
	}
}
