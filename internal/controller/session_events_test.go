package controller

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// A connection that arrives mid-flow is reset by every backend but the one that holds it. The reset is no failure of the backend.
func TestController_ResetOfMidFlowConnectionIsNoBackendFailure(t *testing.T) {
	for _, midParameter := range []string{",mid=1", ""} {
		t.Run(fmt.Sprintf("mid-flow %v", midParameter != ""), func(t *testing.T) {
			controller, driver := newTestController(t, testConfig())
			const key = "0000000000000007"
			opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 "+key+" c=chat,d=1000"+midParameter+"\r\n")
			controller.SessionOpened(time.Second, opened)
			first := driver.lastBackend(1)
			controller.SessionOpened(time.Second, readOpenLine(t, controller, 9, "OPEN 0000000000000009 "+key+" c=chat,d=1000\r\n"))
			if driver.lastBackend(9) != first {
				t.Fatal("two connections with the same key are at different backends")
			}
			controller.SessionEvent(time.Second, 9, session.Event{Kind: session.AttemptEnded, Result: balance.AttemptResult{ID: 9, Backend: first.ID,
				Status: balance.StatusReset, Closed: true}})
			actions := opened.Execute(time.Second, driver.commands[1][0])
			controller.SessionEvent(time.Second+time.Millisecond, 1, opened.AttemptDone(time.Second, actions.Attempt, actions.Attempt.ConnectionEnded(9, true, io.EOF, false)).Event)
			// Another connection with that key goes to the same backend as the first, unless that backend is ejected.
			controller.SessionOpened(time.Second+2*time.Millisecond, readOpenLine(t, controller, 2, "OPEN 0000000000000002 "+key+" c=chat,d=1000\r\n"))
			if (driver.lastBackend(2) == first) != (midParameter != "") {
				t.Errorf("mid-flow parameter %q: the backend is ejected: %v", midParameter, driver.lastBackend(2) != first)
			}
		})
	}
}

// loadSignalRecorder is a Decider that records load signals and whether its settings report message delay.
type loadSignalRecorder struct {
	decision.Decider
	signals      *[]string
	expectsDelay *bool
}

func (d loadSignalRecorder) LoadReported(_ time.Duration, _ uint64, signal balance.LoadSignal, value float64) {
	*d.signals = append(*d.signals, fmt.Sprint(signal, " ", value))
}

func (d loadSignalRecorder) UpdateSettings(s balance.Settings) {
	*d.expectsDelay = s.ReportsMessageDelay
	d.Decider.UpdateSettings(s)
}

// A LOAD line does not state what it measures; the settings do. A message delay in milliseconds, read as a connection's load,
// would raise the tracked load of the slow backend. The balancer expects message delay only once one has been reported: if the
// settings alone decided, every overloaded backend that reports none would be treated as healthy.
func TestController_LoadLineSignalFollowsSettings(t *testing.T) {
	for _, tc := range []struct {
		load, delay bool
		want        string
	}{{false, true, "2 412.5"}, {true, false, "1 412500"}, {true, true, "1 412500"}, {false, false, "1 412500"}} {
		t.Run(fmt.Sprintf("load %v, delay %v", tc.load, tc.delay), func(t *testing.T) {
			cfg := testConfig()
			cfg.Settings.ReportsConnectionLoad, cfg.Settings.ReportsMessageDelay = tc.load, tc.delay
			var signals []string
			var expectsDelay bool
			cfg.NewDecider = func(now time.Duration, seed uint64, s balance.Settings, actions balance.Actions) decision.Decider {
				expectsDelay = s.ReportsMessageDelay
				return loadSignalRecorder{balance.New(now, seed, s, actions), &signals, &expectsDelay}
			}
			controller, driver := newTestController(t, cfg)
			opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 0000000000000007 c=chat,d=1000\r\n")
			controller.SessionOpened(time.Second, opened)
			opened.AttemptDone(time.Second, opened.Execute(time.Second, driver.commands[1][0]).Attempt, nil) // UP is written to the client
			next := controller.Config()
			next.Settings.MaxRetryAfter++
			for _, reported := range []bool{false, true} {
				if reported {
					_, event, err := opened.FromBackend([]byte("LOAD 412.5\r\n"))
					if err != nil || event.Kind != session.LoadReported {
						t.Fatal(event, err)
					}
					controller.SessionEvent(time.Second, 1, event)
				}
				for range 2 { // before and after a reload, which must not change the result
					if want := reported && tc.delay && !tc.load; expectsDelay != want {
						t.Errorf("delay reported %v: the balancer expects message delay: %v", reported, expectsDelay)
					}
					next.Settings.MaxRetryAfter++
					if err := controller.Reload(time.Second, next, 256); err != nil {
						t.Fatal(err)
					}
				}
			}
			if !slices.Equal(signals, []string{tc.want}) {
				t.Errorf("signals %q, want %q", signals, tc.want)
			}
		})
	}
}

// Backends over their capacity report no message delay although the settings state that backends do. Their load reports alone show
// the overload, and this relay must migrate its sessions there.
func TestController_OverloadedBackendsAreRelievedWithoutLoadSignals(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.ReportsConnectionLoad, cfg.Settings.ReportsMessageDelay, cfg.Settings.HealthChecks = false, true, true
	cfg.Settings.ReportFields = []balance.ReportField{balance.FieldLoadShare}
	controller, driver := newTestController(t, cfg)
	now := time.Second
	reportOverload := func() { // every health check reports a backend at twice its capacity
		for len(driver.healthChecks) > 0 {
			backend := driver.healthChecks[0]
			driver.healthChecks = driver.healthChecks[1:]
			controller.HealthCheckDone(now, balance.HealthCheckResult{Backend: backend, Load: []float32{2}, Latency: time.Millisecond})
		}
	}
	for id := uint64(1); id <= 24; id++ {
		opened := readOpenLine(t, controller, id, fmt.Sprintf("OPEN %016x %016x c=chat,d=1000\r\n", id, id))
		controller.SessionOpened(now, opened)
		for range 12 {
			reportOverload()
			if len(driver.commands[id]) > 0 {
				break
			}
			now += 60 * time.Millisecond
			controller.FireTimers(now)
		}
		if commands := driver.commands[id]; len(commands) > 0 && commands[0].Backend != nil {
			controller.SessionEvent(now, id, session.Event{Kind: session.Established, Result: balance.AttemptResult{ID: id, Backend: commands[0].Backend.ID}})
		}
	}
	for range 12 {
		now += time.Second
		controller.FireTimers(now)
		reportOverload()
	}
	if len(driver.migrated) == 0 {
		t.Error("no session is migrated although all backends are over capacity for 12 s")
	}
}

func TestController_DuplicateIDIsRefused(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	openSession(t, controller, 1, "chat")
	duplicate := readOpenLine(t, controller, 2, openLine(1))
	controller.SessionOpened(time.Second, duplicate)
	if commands := driver.commands[2]; len(commands) != 1 || commands[0].Answer != protocol.AnswerFailed {
		t.Errorf("a session with a duplicate ID gets %+v, want the failure answer", commands)
	}
	var refused *DuplicateIDError
	if len(driver.clientErrors) != 1 || !errors.As(driver.clientErrors[0], &refused) || refused.ID != 1 {
		t.Errorf("client errors %v, want one DuplicateIDError for ID 1", driver.clientErrors)
	}
	if controller.SessionCount() != 1 {
		t.Errorf("%d sessions, want 1", controller.SessionCount())
	}
}
