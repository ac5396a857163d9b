package controller

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/shadow"
)

func TestController_ReloadAppliesChangeablePartsOnly(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	malformed := testConfig()
	malformed.CachedEndpoints, malformed.Discovery = []byte("{"), "d:2"
	if err := controller.Reload(time.Second, malformed, 256); err == nil || len(driver.discoveryAddresses) != 0 {
		t.Errorf("a malformed configuration: error %v, discovery addresses %v", err, driver.discoveryAddresses)
	} else if unreadable := (*CachedEndpointsError)(nil); !errors.As(err, &unreadable) {
		t.Errorf("%v is no CachedEndpointsError", err)
	}
	cfg := testConfig()
	cfg.Discovery, cfg.MaxDescriptors, cfg.Peers, cfg.Name = "d:2", 128, []string{"127.0.0.1:7"}, "other"
	if err := controller.Reload(time.Second, cfg, 128); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(driver.discoveryAddresses, []string{"d:2"}) || len(driver.limits) != 1 || driver.limits[0] != AllocateDescriptors(128, 64, false) ||
		controller.Config().Name != "n0" || controller.Config().Peers[0] != "127.0.0.1:7" {
		t.Errorf("driver %+v, configuration in force %+v", driver, controller.Config())
	}
}

// A request and its retries follow the class rules under which it arrived. An idempotent request is retried even if a reload has
// made its class non-idempotent or dropped it, and a non-idempotent one is not retried even if its class has become idempotent.
func TestController_ReloadKeepsRulesOfOpenRequests(t *testing.T) {
	names := []string{"look", "act"}
	controller, driver := newTestController(t, configWithClasses(names, []balance.Class{testClass(balance.Idempotent), testClass(balance.NonIdempotent)}, 4))
	for sequence := uint64(100); sequence < 130; sequence++ { // to earn retry tokens
		openSession(t, controller, sequence, "look")
	}
	establish := func(sequence uint64) { // attempts would be paced if all of them failed
		controller.SessionEvent(time.Second, sequence, session.Event{Kind: session.Established, Result: balance.AttemptResult{ID: sequence, Latency: time.Millisecond}})
	}
	idempotent, nonIdempotent, dropped := openSession(t, controller, 1, "look"), openSession(t, controller, 2, "act"), openSession(t, controller, 3, "look")
	if err := controller.Reload(time.Second, configWithClasses(names, []balance.Class{testClass(balance.NonIdempotent), testClass(balance.Idempotent)}, 4), 256); err != nil {
		t.Fatal(err)
	}
	if command := failAttempt(controller, driver, idempotent, time.Second); command.Backend == nil {
		t.Errorf("an idempotent request is not retried: %+v", command)
	}
	if command := failAttempt(controller, driver, nonIdempotent, time.Second); command.Answer != protocol.AnswerFailed {
		t.Errorf("a non-idempotent request gets %+v, want the failure answer", command)
	}
	if err := controller.Reload(time.Second, configWithClasses(names[1:], []balance.Class{testClass(balance.Idempotent)}, 4), 256); err != nil {
		t.Fatal(err)
	}
	establish(100)
	if command := failAttempt(controller, driver, dropped, time.Second); command.Backend == nil {
		t.Errorf("a request of a dropped class is not retried: %+v", command)
	}
	if _, err := session.New(9, controller.Settings(), controller.Metrics()).ReadHandshake(time.Second, []byte("OPEN 0000000000000009 0000000000000009 c=look,d=1000\r\n"), true); err == nil {
		t.Error("a dropped class is still accepted")
	}
	establish(101)
	if command := failAttempt(controller, driver, openSession(t, controller, 10, "act"), time.Second); command.Backend == nil && command.Answer == protocol.AnswerFailed {
		t.Errorf("an idempotent request under the new rules gets %+v", command)
	}
	var counted []string
	for _, class := range controller.Metrics().Snapshot().Classes {
		counted = append(counted, fmt.Sprint(class.Name, class.Error))
	}
	if !slices.Equal(counted, []string{"look0", "act1"}) {
		t.Errorf("errors counted by class: %v, want look0 and act1", counted)
	}
}

// A lower attempt limit applies only to new requests. An open request keeps the limit under which it arrived.
func TestController_ReloadLowersAttemptsOfNewRequests(t *testing.T) {
	names, classes := []string{"chat"}, []balance.Class{testClass(balance.Idempotent)}
	controller, driver := newTestController(t, configWithClasses(names, classes, 3))
	for sequence := uint64(100); sequence < 130; sequence++ { // to earn retry tokens
		openSession(t, controller, sequence, "chat")
	}
	opened := openSession(t, controller, 1, "chat")
	if command := failAttempt(controller, driver, opened, time.Second); command.Backend == nil {
		t.Fatalf("the second attempt is not made: %+v", command)
	}
	if err := controller.Reload(time.Second, configWithClasses(names, classes, 1), 256); err != nil {
		t.Fatal(err)
	}
	if command := failAttempt(controller, driver, opened, time.Second); command.Backend == nil {
		t.Errorf("the third attempt is not made: %+v", command)
	}
	if command := failAttempt(controller, driver, openSession(t, controller, 2, "chat"), time.Second); command.Backend != nil {
		t.Error("a request under the new settings is retried")
	}
}

// Classes that are dropped and added again, in any order, keep their numbers as long as their rules do not change. A change that
// would exceed settings.MaxClasses is refused, and nothing of its configuration is applied.
func TestController_ReloadKeepsClassNumbers(t *testing.T) {
	controller, _ := newTestController(t, configWithClasses([]string{"a", "b"}, []balance.Class{testClass(balance.Idempotent), testClass(balance.NonIdempotent)}, 4))
	table, _ := routing.NewTable([]routing.Route{{Name: "r", Match: routing.Match{Class: 0, Tenant: routing.Any, Zone: routing.Any, Protocol: routing.Any}}})
	cfg := configWithClasses([]string{"b", "a"}, []balance.Class{testClass(balance.NonIdempotent), testClass(balance.Idempotent)}, 4)
	cfg.Routes = table
	for range 5 {
		if err := controller.Reload(time.Second, cfg, 256); err != nil {
			t.Fatal(err)
		}
		if err := controller.Reload(time.Second, configWithClasses([]string{"a"}, []balance.Class{testClass(balance.Idempotent)}, 4), 256); err != nil {
			t.Fatal(err)
		}
	}
	if err := controller.Reload(time.Second, cfg, 256); err != nil || !slices.Equal(controller.Settings().ClassNames, []string{"a", "b"}) {
		t.Errorf("classes %v, error %v; want [a b]", controller.Settings().ClassNames, err)
	}
	if route := controller.Config().Routes.Lookup(routing.Request{Class: 1}); route == nil || controller.Config().Routes.Lookup(routing.Request{Class: 0}) != nil {
		t.Error("the route of class b is not found by b's number")
	}
	var refused error
	for i := 0; refused == nil && i < 2*settings.MaxClasses; i++ {
		class := testClass(balance.Idempotent)
		class.PriorityWeight = float64(i + 2)
		refused = controller.Reload(time.Second, configWithClasses([]string{"a"}, []balance.Class{class}, 2), 256)
	}
	if refused == nil || len(controller.Settings().Classes) > settings.MaxClasses {
		t.Errorf("%d classes, error %v", len(controller.Settings().Classes), refused)
	}
	if limit := (*settings.ClassLimitError)(nil); !errors.As(refused, &limit) || limit.Count <= settings.MaxClasses {
		t.Errorf("%v is no ClassLimitError", refused)
	}
}

// A reload keeps the tracked load. A changed relay index, relay count or zone takes effect only after a restart.
func TestController_ReloadKeepsOpenSessions(t *testing.T) {
	controller, driver := newTestController(t, configWithClasses([]string{"chat"}, []balance.Class{testClass(balance.Idempotent)}, 4))
	for sequence := uint64(1); sequence <= 10; sequence++ {
		establishSession(t, controller, driver, sequence, time.Second)
	}
	cfg := configWithClasses([]string{"other", "chat"}, []balance.Class{testClass(balance.NonIdempotent), testClass(balance.Idempotent)}, 4)
	cfg.Settings.RelayCount, cfg.Settings.ZoneNames = 9, []string{"west"}
	if err := controller.Reload(time.Second, cfg, 256); err != nil {
		t.Fatal(err)
	}
	if total, byBackend := controller.Balancer().Connections(); total != 10 || byBackend != 10 || controller.Settings().RelayCount != 2 || controller.Settings().ZoneNames[0] != "east" {
		t.Errorf("%d connections, %d by backend, want 10; settings %+v", total, byBackend, controller.Settings())
	}
	for sequence := uint64(11); sequence <= 14; sequence++ {
		openSession(t, controller, sequence, "other")
	}
	if total, byBackend := controller.Balancer().Connections(); total != 14 || byBackend != 14 {
		t.Errorf("%d connections, %d by backend, want 14", total, byBackend)
	}
}

// The shape of the shadow evaluation takes effect only at start: a reload that changes it logs a warning and leaves it as it is.
func TestController_ReloadKeepsShadowShape(t *testing.T) {
	for _, initial := range []func(*shadow.Shape){nil, func(*shadow.Shape) {}} {
		t.Run(fmt.Sprint("shadow before: ", initial != nil), func(t *testing.T) {
			controller, _ := newTestController(t, shadowConfig(initial))
			var messages []string
			controller.log = zap.New(messageLogger(func(msg string) { messages = append(messages, msg) }))
			cfg := shadowConfig(func(s *shadow.Shape) { s.HealthChecks = false })
			if err := controller.Reload(2*time.Second, cfg, 256); err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(messages, "configuration changes need a restart") || (controller.Config().Shadow == nil) != (initial == nil) ||
				controller.Config().Shadow.Equal(cfg.Shadow) {
				t.Errorf("logged %q, in force %+v", messages, controller.Config().Shadow)
			}
		})
	}
}
