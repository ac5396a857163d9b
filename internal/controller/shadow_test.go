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

// shadowConfig returns a configuration with a shadow evaluation whose shape is the one in force, modified by change; nil: without
// a shadow evaluation.
func shadowConfig(change func(*shadow.Shape)) Config {
	cfg := configWithClasses([]string{"chat"}, []balance.Class{testClass(balance.Idempotent)}, 3)
	cfg.Settings.PassThrough, cfg.Settings.ReportsMessageDelay = false, true
	cfg.CachedEndpoints = []byte(strings.ReplaceAll(threeEndpoints, `"weight":1}]`, `"weight":6}]`))
	balancerSettings := cfg.Settings.Settings
	balancerSettings.Weights = balance.WeightsNominal
	cfg.Settings.Settings = balancerSettings
	if change != nil {
		cfg.Shadow = shadow.ShapeOf(&balancerSettings)
		change(cfg.Shadow)
	}
	return cfg
}

// serveClients simulates ten seconds with 400 clients, in which one backend fails attempts, one reports late messages for a while,
// and health checks succeed. It returns all commands and migrations.
func serveClients(t *testing.T, cfg Config, during func(controller *Controller, at time.Duration)) (*Controller, []string) {
	t.Helper()
	return serveClientsLogged(t, cfg, zap.NewNop(), during)
}

func serveClientsLogged(t *testing.T, cfg Config, log *zap.Logger, during func(controller *Controller, at time.Duration)) (*Controller, []string) {
	t.Helper()
	controller, driver := newLoggedController(t, cfg, log)
	var actions []string
	established, handled := map[uint64]bool{}, map[uint64]int{}
	for step := 1; step <= 400; step++ {
		now := time.Second + time.Duration(step)*25*time.Millisecond
		controller.FireTimers(now)
		if during != nil {
			during(controller, now)
		}
		sequence := uint64(step)
		controller.SessionOpened(now, readOpenLine(t, controller, sequence, fmt.Sprintf("OPEN %016x %016x c=chat,d=3000\r\n", sequence, sequence*0x9e3779b97f4a7c15)))
		for id := sequence - min(sequence-1, 40); id <= sequence; id++ {
			for commands := driver.commands[id]; handled[id] < len(commands); commands = driver.commands[id] {
				command := commands[handled[id]]
				handled[id]++
				if command.Backend == nil {
					actions = append(actions, fmt.Sprintf("%d %d %q", step, id, command.Answer))
					continue
				}
				actions = append(actions, fmt.Sprintf("%d %d to %s", step, id, command.Backend.Name))
				result := balance.AttemptResult{ID: id, Attempt: controller.sessions.bySequence[id].attempts - 1, Backend: command.Backend.ID, Latency: 5 * time.Millisecond}
				if command.Backend.Name == "b" && id%3 == 0 {
					result.Status = balance.StatusError
					controller.SessionEvent(now, id, session.Event{Kind: session.AttemptEnded, Result: result})
				} else {
					established[id] = true
					controller.SessionEvent(now, id, session.Event{Kind: session.Established, Result: result})
				}
			}
		}
		if established[sequence] && controller.sessions.bySequence[sequence].backend == "c" && step > 200 && step < 240 {
			controller.SessionEvent(now, sequence, session.Event{Kind: session.LoadReported, Load: 40})
		}
		for _, id := range driver.healthChecks {
			controller.HealthCheckDone(now, balance.HealthCheckResult{Backend: id, Latency: time.Millisecond, Load: []float32{0.2}})
		}
		driver.healthChecks = nil
		for _, id := range driver.migrated {
			actions = append(actions, fmt.Sprintf("%d %d migrates", step, id))
			result := balance.AttemptResult{ID: id, Attempt: controller.sessions.bySequence[id].attempts - 1, Status: balance.StatusCancelled, Closed: true}
			controller.SessionEvent(now, id, session.Event{Kind: session.AttemptEnded, Result: result})
		}
		driver.migrated = nil
	}
	return controller, actions
}

func shadowDifferences(controller *Controller) (snapshot *metrics.ShadowSnapshot, sum int64) {
	snapshot = controller.Metrics().Snapshot().Shadow
	for _, count := range snapshot.Counts {
		sum += count
	}
	return snapshot, sum
}

func TestController_ShadowSameShapeHasNoDifferences(t *testing.T) {
	controller, actions := serveClients(t, shadowConfig(func(*shadow.Shape) {}), nil)
	snapshot, sum := shadowDifferences(controller)
	if sum != 0 || snapshot.Compared < 350 || snapshot.Failed {
		t.Errorf("same shape: %+v, want no differences in at least 350 comparisons", snapshot)
	}
	migrations := 0
	for _, action := range actions {
		if strings.HasSuffix(action, "migrates") {
			migrations++
		}
	}
	if migrations == 0 {
		t.Error("no session was migrated, so the run does not compare migrations")
	}
}

func TestController_ShadowDoesNotChangeActions(t *testing.T) {
	_, plain := serveClients(t, shadowConfig(nil), nil)
	for name, change := range map[string]func(*shadow.Shape){
		"same": func(*shadow.Shape) {}, "no health checks": func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil },
		"no weights": func(s *shadow.Shape) { s.Weights = balance.WeightsOff },
	} {
		t.Run(name, func(t *testing.T) {
			if _, actions := serveClients(t, shadowConfig(change), nil); !slices.Equal(actions, plain) {
				t.Errorf("actions differ: %d with the shadow evaluation, %d without", len(actions), len(plain))
			}
		})
	}
}

// Each difference is counted by its kind and must not cause further ones: after 400 clients the shadow tracks the same load as the
// actual side at each backend.
func TestController_ShadowCountsDifferencesByKind(t *testing.T) {
	controller, _ := serveClients(t, shadowConfig(func(s *shadow.Shape) { s.Weights = balance.WeightsOff }), nil)
	snapshot, _ := shadowDifferences(controller)
	if snapshot.Counts[metrics.DifferentBackend] < 50 || snapshot.Counts[metrics.DifferentBackend] > 300 {
		t.Errorf("no weights: %+v", snapshot)
	}
	controller, _ = serveClients(t, shadowConfig(func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }), nil)
	if snapshot, sum := shadowDifferences(controller); sum == 0 || snapshot.Counts[metrics.MigratedNotKept]+snapshot.Counts[metrics.KeptNotMigrated]+snapshot.Counts[metrics.UnavailableNotUsed]+snapshot.Counts[metrics.UsedNotUnavailable]+
		snapshot.Counts[metrics.RejectedNotAdmitted]+snapshot.Counts[metrics.DifferentBackend] == 0 {
		t.Errorf("no health checks: %+v", snapshot)
	}
	actual, evaluated := controller.shadow.Snapshot().Backends, controller.shadow.Balancer().Snapshot().Backends
	if len(actual) != 3 || len(evaluated) != 3 {
		t.Fatalf("%d actual backends, %d in the shadow; want 3 and 3", len(actual), len(evaluated))
	}
	for i, backend := range actual {
		if shadowBackend := evaluated[i]; shadowBackend.ID != backend.ID || shadowBackend.TrackedLoad != backend.TrackedLoad || backend.TrackedLoad == 0 {
			t.Errorf("tracked load at backend %d: %v, in the shadow %v", backend.ID, backend.TrackedLoad, shadowBackend.TrackedLoad)
		}
	}
}

// The actual side holds the request for a health check, while the shadow, which has none, starts an attempt at once. If the client
// leaves before its answer, neither side may count the request any more.
func TestController_ShadowClientThatLeavesWhileHeldIsNotCounted(t *testing.T) {
	controller, driver := newTestController(t, shadowConfig(func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }))
	now := 9 * time.Second
	opened := session.New(1, controller.Settings(), controller.Metrics())
	if _, err := opened.ReadHandshake(now, []byte("OPEN 0000000000000001 0000000000000001 c=chat,d=1000\r\n"), true); err != nil {
		t.Fatal(err)
	}
	controller.SessionOpened(now, opened)
	if pending, _ := controller.shadow.Balancer().Connections(); len(driver.healthChecks) != 1 || len(driver.commands[1]) != 0 || pending != 1 {
		t.Fatalf("%d health checks, %d commands, %d connections in the shadow", len(driver.healthChecks), len(driver.commands[1]), pending)
	}
	controller.SessionEvent(now, 1, session.Event{Kind: session.ClientLeft})
	if pending, _ := controller.shadow.Balancer().Connections(); pending != 0 || controller.shadow.Requests() != 0 {
		t.Errorf("the shadow still counts %d connections, %d requests", pending, controller.shadow.Requests())
	}
}

func TestController_ShadowPanicEndsEvaluationOnly(t *testing.T) {
	_, plain := serveClients(t, shadowConfig(nil), nil)
	var messages []string
	log := zap.New(messageLogger(func(msg string) { messages = append(messages, msg) }))
	controller, actions := serveClientsLogged(t, shadowConfig(func(s *shadow.Shape) { s.Weights = balance.WeightsOff }), log, func(controller *Controller, at time.Duration) {
		if at == 4*time.Second {
			*controller.shadow.Balancer() = balance.Balancer{} // its next event panics
		}
	})
	if snapshot, _ := shadowDifferences(controller); !snapshot.Failed || !slices.Equal(actions, plain) {
		t.Errorf("evaluation failed: %v; %d actions, %d without a shadow evaluation", snapshot.Failed, len(actions), len(plain))
	}
	if !slices.Contains(messages, "shadow evaluation stopped after panic") {
		t.Errorf("logged %q, want the end of the shadow evaluation", messages)
	}
}

func BenchmarkController_Decision(b *testing.B) {
	for name, change := range map[string]func(*shadow.Shape){"alone": nil, "with a shadow": func(s *shadow.Shape) { s.HealthChecks, s.ReportFields = false, nil }} {
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
