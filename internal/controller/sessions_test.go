package controller

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/session"
)

// Any backend but its own resets a connection that comes mid-flow; that is no failure of the backend's.
func TestController_ResetOfMidFlowConnectionIsNoBackendFailure(t *testing.T) {
	for _, mid := range []string{",mid=1", ""} {
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
	}
}

// noted is a Decider that keeps the notes it hears, and whether it was told by then to wait for late messages.
type loadSignalRecorder struct {
	decision.Decider
	signals      *[]string
	expectsDelay *bool
}

func (d loadSignalRecorder) LoadReported(_ time.Duration, _ uint64, kind balance.LoadSignal, v float64) {
	*d.signals = append(*d.signals, fmt.Sprint(kind, " ", v))
}

func (d loadSignalRecorder) UpdateSettings(s balance.Settings) {
	*d.expectsDelay = s.ReportsMessageDelay
	d.Decider.UpdateSettings(s)
}

// A LOAD line does not say what it measures; the settings do. A message's milliseconds at a late backend
// taken for a connection's load would swell T there. That late messages are told is believed once one is:
// where it is promised and never told, each server over its capacity would pass for a sound one.
func TestController_LoadLineIsTheSignalOfTheSettings(t *testing.T) {
	for _, tc := range []struct {
		load, delay bool
		want        string
	}{{false, true, "2 412.5"}, {true, false, "1 412500"}, {true, true, "1 412500"}, {false, false, "1 412500"}} {
		cfg := testConfig()
		cfg.Settings.ReportsConnectionLoad, cfg.Settings.ReportsMessageDelay = tc.load, tc.delay
		var notes []string
		var waits bool
		cfg.NewDecider = func(now time.Duration, seed uint64, s balance.Settings, do balance.Actions) decision.Decider {
			waits = s.ReportsMessageDelay
			return loadSignalRecorder{balance.New(now, seed, s, do), &notes, &waits}
		}
		controller, driver := newTestController(t, cfg)
		opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 0000000000000007 c=chat,d=1000\r\n")
		controller.SessionOpened(time.Second, opened)
		opened.AttemptDone(time.Second, opened.Execute(time.Second, driver.commands[1][0]).Attempt, nil) // its UP is through
		reload := controller.Config()
		reload.Settings.MaxRetryAfter++
		for _, told := range []bool{false, true} {
			if told {
				_, ev, err := opened.FromBackend([]byte("LOAD 412.5\r\n"))
				if err != nil || ev.Kind != session.LoadReported {
					t.Fatal(ev, err)
				}
				controller.SessionEvent(time.Second, 1, ev)
			}
			for range 2 { // before a reload and after it, which must not change it
				if want := told && tc.delay && !tc.load; waits != want {
					t.Errorf("load %v, delay %v, told %v: the module waits for late messages: %v", tc.load, tc.delay, told, waits)
				}
				reload.Settings.MaxRetryAfter++
				if err := controller.Reload(time.Second, reload, 256); err != nil {
					t.Fatal(err)
				}
			}
		}
		if !slices.Equal(notes, []string{tc.want}) {
			t.Errorf("load %v, delay %v: notes %q", tc.load, tc.delay, notes)
		}
	}
}

// Servers over their capacity whose late messages nobody tells, though the settings promise it: what they report is what
// tells of them, and this relay's connections there are moved on.
func TestController_OverloadedBackendsAreRelievedWithoutLoadSignals(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.ReportsConnectionLoad, cfg.Settings.ReportsMessageDelay, cfg.Settings.HealthChecks = false, true, true
	cfg.Settings.ReportFields = []balance.ReportField{balance.FieldLoadShare}
	controller, driver := newTestController(t, cfg)
	now := time.Second
	full := func() { // each server that is asked says that it has twice what it can do
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
			full()
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
		full()
	}
	if len(driver.migrated) == 0 {
		t.Error("twelve seconds over their capacity, and nobody was asked to move")
	}
}
