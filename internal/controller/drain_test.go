package controller

import (
	"slices"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/session"
)

// DRAIN, UNDRAIN and SIGTERM may arrive in any order. Undraining stops the migration, even one that has begun. A drain migrates
// all sessions within four seconds, and a shutdown migrates all sessions whatever else is called.
func TestController_DrainAndUndrain(t *testing.T) {
	for _, tc := range []struct {
		name     string
		calls    func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool))
		migrated [2]int // at least, at most
		ready    bool
	}{
		{"undrained before the notice time", func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool)) {
			drainAt(0, true)
			drainAt(100*time.Millisecond, false)
		}, [2]int{0, 0}, true},
		{"drained and undrained repeatedly", func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool)) {
			for i := range 10 {
				drainAt(time.Duration(i)*100*time.Millisecond, i%2 == 0)
			}
		}, [2]int{0, 0}, true},
		{"undrained during the migration", func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool)) {
			drainAt(0, true)
			drainAt(1500*time.Millisecond, false)
		}, [2]int{5, 35}, true},
		{"drained to the end", func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool)) {
			drainAt(0, true)
			drainAt(10*time.Millisecond, true)
		}, [2]int{40, 40}, false},
		{"shutdown at the same time", func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool)) {
			drainAt(0, true)
			controller.Shutdown(time.Second)
		}, [2]int{40, 40}, false},
		{"reload at the same time", func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool)) {
			drainAt(0, true)
			next := controller.Config()
			next.Discovery, next.Settings.MaxAttempts = "d:9", 1
			if err := controller.Reload(time.Second, next, 256); err != nil {
				t.Error(err)
			}
		}, [2]int{40, 40}, false},
		{"undrained during a shutdown", func(t *testing.T, controller *Controller, drainAt func(time.Duration, bool)) {
			controller.Shutdown(time.Second)
			drainAt(0, true)
			drainAt(100*time.Millisecond, false)
		}, [2]int{40, 40}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Settings.PassThrough, cfg.Settings.HealthChecks = false, false
			controller, driver := newTestController(t, cfg)
			sessions := map[uint64]*session.Session{}
			for sequence := uint64(1); sequence <= 40; sequence++ {
				sessions[sequence] = establishSession(t, controller, driver, sequence, time.Second)
			}
			endMigrated := func(until time.Duration) { // sessions that are migrated end at once
				for now := controller.now; now < until; now += 10 * time.Millisecond {
					fireTimersUntil(controller, now)
					for _, sequence := range driver.migrated {
						if opened := sessions[sequence]; opened != nil {
							delete(sessions, sequence)
							controller.SessionEvent(now, sequence, opened.Terminated(session.Termination{Status: balance.StatusCancelled}))
							controller.SessionClosed(now, sequence)
						}
					}
				}
			}
			tc.calls(t, controller, func(after time.Duration, on bool) {
				endMigrated(time.Second + after)
				controller.SetDrained(on)
				controller.ApplyDrain(time.Second + after)
				if controller.Ready() == on {
					t.Errorf("ready is %v after SetDrained(%v)", controller.Ready(), on)
				}
			})
			endMigrated(5 * time.Second)
			if count := len(driver.migrated); count < tc.migrated[0] || count > tc.migrated[1] || controller.Ready() != tc.ready {
				t.Errorf("%d migrated, want %v; ready %v", count, tc.migrated, controller.Ready())
			}
		})
	}
}

// A client that waits when its relay is drained gets its answer, and is migrated once its session is established.
func TestController_DrainMigratesSessionEstablishedLater(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.PassThrough, cfg.Settings.HealthChecks = false, false
	controller, driver := newTestController(t, cfg)
	opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=4000\r\n")
	controller.SessionOpened(time.Second, opened)
	controller.SetDrained(true)
	controller.ApplyDrain(time.Second)
	fireTimersUntil(controller, 4500*time.Millisecond)
	actions := opened.Execute(time.Second, driver.commands[1][0])
	controller.SessionEvent(4500*time.Millisecond, 1, opened.AttemptDone(4500*time.Millisecond, actions.Attempt, nil).Event)
	fireTimersUntil(controller, 4700*time.Millisecond)
	if !slices.Equal(driver.migrated, []uint64{1}) {
		t.Errorf("migrated %v, want [1]", driver.migrated)
	}
}
