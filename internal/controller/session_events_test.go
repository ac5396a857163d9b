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

// Every backend but its own resets a connection that arrives mid-flow; that is no failure of the backend.
func TestController_ResetOfMidFlowConnectionIsNoBackendFailure(t *testing.T) {
	for _, mid := range []string{",mid=1", ""} {
		t.Run(fmt.Sprintf("mid-flow %v", mid != ""), func(t *testing.T) {
			controller, driver := newTestController(t, testConfig())
			const key = "0000000000000007"
			opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 "+key+" c=chat,d=1000"+mid+"\r\n")
			controller.SessionOpened(time.Second, opened)
			first := driver.lastBackend(1)
			controller.SessionOpened(time.Second, readOpenLine(t, controller, 9, "OPEN 0000000000000009 "+key+" c=chat,d=1000\r\n"))
			if driver.lastBackend(9) != first {
				t.Fatal("two connections of one key are apart")
			}
			controller.SessionEvent(time.Second, 9, session.Event{Kind: session.AttemptEnded, Result: balance.AttemptResult{ID: 9, Backend: first.ID,
				Status: balance.StatusReset, Closed: true}})
			do := opened.Execute(time.Second, driver.commands[1][0])
			controller.SessionEvent(time.Second+time.Millisecond, 1, opened.AttemptDone(time.Second, do.Attempt, do.Attempt.ConnectionEnded(9, true, io.EOF, false)).Event)
			// Another connection of that key goes where the first went, unless that backend is ejected.
			controller.SessionOpened(time.Second+2*time.Millisecond, readOpenLine(t, controller, 2, "OPEN 0000000000000002 "+key+" c=chat,d=1000\r\n"))
			if (driver.lastBackend(2) == first) != (mid != "") {
				t.Errorf("%q: the backend is ejected: %v", mid, driver.lastBackend(2) != first)
			}
		})
	}
}

// loadSignalRecorder is a Decider that records load signals and whether its settings promise message delays.
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

// A LOAD line does not say what it measures; the settings do. A late message's milliseconds taken for a connection's load
// would raise the tracked load of the late backend. Message delay counts as reported only once one has been: where it is
// promised and never reported, each overloaded backend would pass for a healthy one.
func TestController_LoadLineIsTheSignalOfTheSettings(t *testing.T) {
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
			opened.AttemptDone(time.Second, opened.Execute(time.Second, driver.commands[1][0]).Attempt, nil) // its UP is written
			next := controller.Config()
			next.Settings.MaxRetryAfter++
			for _, reported := range []bool{false, true} {
				if reported {
					_, ev, err := opened.FromBackend([]byte("LOAD 412.5\r\n"))
					if err != nil || ev.Kind != session.LoadReported {
						t.Fatal(ev, err)
					}
					controller.SessionEvent(time.Second, 1, ev)
				}
				for range 2 { // before a reload and after it, which must not change it
					if want := reported && tc.delay && !tc.load; expectsDelay != want {
						t.Errorf("reported %v: the balancer expects message delays: %v", reported, expectsDelay)
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

// Backends over their capacity report no message delays, though the settings promise them. Their load reports alone show
// the overload, and this relay's sessions there are migrated.
func TestController_OverloadedBackendsAreRelievedWithoutLoadSignals(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.ReportsConnectionLoad, cfg.Settings.ReportsMessageDelay, cfg.Settings.HealthChecks = false, true, true
	cfg.Settings.ReportFields = []balance.ReportField{balance.FieldLoadShare}
	controller, driver := newTestController(t, cfg)
	now := time.Second
	reportOverload := func() { // every health check says that the backend has twice what it can do
		for len(driver.healthChecks) > 0 {
			b := driver.healthChecks[0]
			driver.healthChecks = driver.healthChecks[1:]
			controller.HealthCheckDone(now, balance.HealthCheckResult{Backend: b, Load: []float32{2}, Latency: time.Millisecond})
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
		if o := driver.commands[id]; len(o) > 0 && o[0].Backend != nil {
			controller.SessionEvent(now, id, session.Event{Kind: session.Established, Result: balance.AttemptResult{ID: id, Backend: o[0].Backend.ID}})
		}
	}
	for range 12 {
		now += time.Second
		controller.FireTimers(now)
		reportOverload()
	}
	if len(driver.migrated) == 0 {
		t.Error("twelve seconds over capacity, and no session was migrated")
	}
}

func TestController_DuplicateIDIsRefused(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	openSession(t, controller, 1, "chat")
	duplicate := readOpenLine(t, controller, 2, openLine(1))
	controller.SessionOpened(time.Second, duplicate)
	if commands := driver.commands[2]; len(commands) != 1 || commands[0].Answer != protocol.AnswerFailed {
		t.Errorf("%+v", commands)
	}
	var refused *DuplicateIDError
	if len(driver.clientErrors) != 1 || !errors.As(driver.clientErrors[0], &refused) || refused.ID != 1 {
		t.Errorf("%v", driver.clientErrors)
	}
	if controller.SessionCount() != 1 {
		t.Errorf("%d sessions", controller.SessionCount())
	}
}
