package controller

import (
	"slices"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/session"
)

// DRAIN, UNDRAIN and SIGTERM in any order: a drain that is called off moves nobody, even if it is called off within
// its moves; one that goes on moves everybody within four seconds; leaving goes before it.
func TestController_DrainAndUndrain(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls func(controller *Controller, at func(time.Duration, bool))
		moved [2]int // at least, at most
		ready bool
	}{
		{"called off before the front has heard", func(controller *Controller, at func(time.Duration, bool)) {
			at(0, true)
			at(100*time.Millisecond, false)
		}, [2]int{0, 0}, true},
		{"again and again", func(controller *Controller, at func(time.Duration, bool)) {
			for i := range 10 {
				at(time.Duration(i)*100*time.Millisecond, i%2 == 0)
			}
		}, [2]int{0, 0}, true},
		{"called off within its moves", func(controller *Controller, at func(time.Duration, bool)) {
			at(0, true)
			at(1500*time.Millisecond, false)
		}, [2]int{5, 35}, true},
		{"to its end", func(controller *Controller, at func(time.Duration, bool)) {
			at(0, true)
			at(10*time.Millisecond, true)
		}, [2]int{40, 40}, false},
		{"SIGTERM in the same moment", func(controller *Controller, at func(time.Duration, bool)) {
			at(0, true)
			controller.Shutdown(time.Second)
		}, [2]int{40, 40}, false},
		{"SIGHUP in the same moment", func(controller *Controller, at func(time.Duration, bool)) {
			at(0, true)
			next := controller.Config()
			next.Discovery, next.Settings.MaxAttempts = "d:9", 1
			if err := controller.Reload(time.Second, next, 256); err != nil {
				t.Error(err)
			}
		}, [2]int{40, 40}, false},
		{"called off while it leaves", func(controller *Controller, at func(time.Duration, bool)) {
			controller.Shutdown(time.Second)
			at(0, true)
			at(100*time.Millisecond, false)
		}, [2]int{40, 40}, true},
	} {
		cfg := testConfig()
		cfg.Settings.PassThrough, cfg.Settings.HealthChecks = false, false
		controller, driver := newTestController(t, cfg)
		flows := map[uint64]*session.Session{}
		for seq := uint64(1); seq <= 40; seq++ {
			flows[seq] = establishSession(t, controller, driver, seq, time.Second)
		}
		ends := func(until time.Duration) { // whoever is to move ends at once
			for now := controller.now; now < until; now += 10 * time.Millisecond {
				fireTimersUntil(controller, now)
				for _, seq := range driver.migrated {
					if opened := flows[seq]; opened != nil {
						delete(flows, seq)
						controller.SessionEvent(now, seq, opened.Terminated(session.Termination{Status: balance.StatusCancelled}))
						controller.SessionClosed(now, seq)
					}
				}
			}
		}
		c.calls(controller, func(after time.Duration, on bool) {
			ends(time.Second + after)
			controller.SetDrained(on)
			controller.ApplyDrain(time.Second + after)
			if controller.Ready() == on {
				t.Errorf("%s: ready is %v once it is said to be drained: %v", c.name, controller.Ready(), on)
			}
		})
		ends(5 * time.Second)
		if m := len(driver.migrated); m < c.moved[0] || m > c.moved[1] || controller.Ready() != c.ready {
			t.Errorf("%s: %d moved, wanted are %v; ready %v", c.name, m, c.moved, controller.Ready())
		}
	}
}

// A client that waits when its relay is drained has its answer, and is moved once it stands.
func TestController_DrainMigratesSessionEstablishedLater(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.PassThrough, cfg.Settings.HealthChecks = false, false
	controller, driver := newTestController(t, cfg)
	opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=4000\r\n")
	controller.SessionOpened(time.Second, opened)
	controller.SetDrained(true)
	controller.ApplyDrain(time.Second)
	fireTimersUntil(controller, 4500*time.Millisecond)
	do := opened.Execute(time.Second, driver.commands[1][0])
	controller.SessionEvent(4500*time.Millisecond, 1, opened.AttemptDone(4500*time.Millisecond, do.Attempt, nil).Event)
	fireTimersUntil(controller, 4700*time.Millisecond)
	if !slices.Equal(driver.migrated, []uint64{1}) {
		t.Errorf("moved %v", driver.migrated)
	}
}
