package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

func TestController_ShutdownWaitsForOwedAnswers(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.PassThrough = false
	controller, driver := newTestController(t, cfg)
	opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n")
	controller.SessionOpened(time.Second, opened)
	controller.Shutdown(time.Second)
	play := func(until time.Duration) {
		for at, ok := controller.NextTimer(); ok && at <= until; at, ok = controller.NextTimer() {
			controller.FireTimers(at)
		}
	}
	play(1700 * time.Millisecond)
	if driver.stopped != 0 {
		t.Fatal("stopped while an answer is owed")
	}
	controller.SessionClosed(1700*time.Millisecond, 1)
	play(1800 * time.Millisecond)
	if driver.stopped != 1 {
		t.Errorf("stopped %d times", driver.stopped)
	}
}

// SIGKILL comes 3.7 s after SIGTERM at the earliest, however long the client timeout is. A request at a backend that hangs
// once went without any answer when the relay stopped at 3.5 s and its client timeout was over 3 s; so did one that came
// after SIGTERM.
func TestController_ShutdownAnswersBeforeItsEnd(t *testing.T) {
	for _, tc := range []struct {
		name          string
		clientTimeout time.Duration
		idempotency   balance.Idempotency
		passThrough   bool
		arrived       time.Duration // before SIGTERM; below 0: after it
		want          string
	}{
		{"longer than there is", 4500 * time.Millisecond, balance.Idempotent, false, 10 * time.Millisecond, "BUSY 1000\r\n"},
		{"it may have run", 4500 * time.Millisecond, balance.NonIdempotent, false, 10 * time.Millisecond, protocol.AnswerFailed},
		{"packets pass through", 4500 * time.Millisecond, balance.Idempotent, true, 10 * time.Millisecond, "BUSY 1000\r\n"},
		{"it came late", 4500 * time.Millisecond, balance.Idempotent, false, -400 * time.Millisecond, "BUSY 1000\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller, driver := newTestController(t, oneClassConfig(tc.clientTimeout, tc.idempotency, tc.passThrough))
			term := 2 * time.Second
			var attempt *session.Attempt
			opened := readOpenLine(t, controller, 1, openLine(1))
			begin := func(at time.Duration) {
				opened.ArrivedAt = at
				controller.SessionOpened(at, opened)
				attempt = opened.Execute(at, driver.commands[1][0]).Attempt
			}
			if tc.arrived >= 0 {
				begin(term - tc.arrived)
				controller.Shutdown(term)
			} else {
				controller.Shutdown(term)
				begin(term - tc.arrived)
			}
			if by := term + 3500*time.Millisecond; tc.arrived < 0 && attempt.Deadline > by {
				t.Errorf("the attempt may last until %v, the relay until %v", attempt.Deadline, by)
			}
			// The backend hangs: only the relay ends the attempt.
			for at, ok := controller.NextTimer(); ok && at <= term+3500*time.Millisecond && len(driver.commands[1]) == 1; at, ok = controller.NextTimer() {
				controller.FireTimers(at)
			}
			if tc.arrived >= 0 {
				if len(driver.commands[1]) != 2 || !driver.commands[1][1].Cancel {
					t.Fatalf("the attempt is not cancelled: %+v", driver.commands[1])
				}
			} else if driver.stopped != 0 {
				t.Fatal("stopped while an answer is owed")
			}
			now := min(attempt.Deadline, term+3450*time.Millisecond)
			fail := attempt.ConnectionEnded(0, true, session.ErrBackendDraining, true)
			if tc.arrived >= 0 {
				fail.Abandon()
			}
			controller.SessionEvent(now, 1, opened.AttemptDone(now, attempt, fail).Event)
			if got := driver.commands[1][len(driver.commands[1])-1].Answer; got != tc.want {
				t.Errorf("the answer is %q, want %q", got, tc.want)
			}
		})
	}
}

// A request without any attempt, since no list names a ready backend, is answered before the end as well.
func TestController_ShutdownAnswersRequestsWithoutEndpoints(t *testing.T) {
	cfg := oneClassConfig(8*time.Second, balance.Idempotent, true)
	cfg.CachedEndpoints = nil
	controller, driver := newTestController(t, cfg)
	opened := readOpenLine(t, controller, 1, openLine(1))
	controller.SessionOpened(time.Second, opened)
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+3460*time.Millisecond)
	if o := driver.commands[1]; len(o) != 1 || o[0].Answer == "" {
		t.Errorf("%+v", o)
	}
}

// With short client timeouts the migration has to be over before the relay's end, which follows from them: it once took 1.5 s
// whatever the settings, and the rest was cut off without MOVE. A session established at the last moment is migrated too.
func TestController_ShutdownMigratesBeforeItsEnd(t *testing.T) {
	controller, driver := newTestController(t, oneClassConfig(300*time.Millisecond, balance.Idempotent, false))
	for sequence := uint64(1); sequence <= 30; sequence++ {
		opened := readOpenLine(t, controller, sequence, openLine(sequence))
		controller.SessionOpened(time.Second, opened)
		attempt := opened.Execute(time.Second, driver.commands[sequence][0]).Attempt
		controller.SessionEvent(time.Second, sequence, opened.AttemptDone(time.Second, attempt, nil).Event)
	}
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+710*time.Millisecond)
	migrated := map[uint64]bool{}
	for _, sequence := range driver.migrated {
		migrated[sequence] = true
	}
	if len(migrated) != 30 {
		t.Errorf("%d of 30 are migrated before the end", len(migrated))
	}
	opened := readOpenLine(t, controller, 99, openLine(99))
	opened.ArrivedAt = time.Second + 715*time.Millisecond
	controller.SessionOpened(opened.ArrivedAt, opened)
	attempt := opened.Execute(opened.ArrivedAt, driver.commands[99][0]).Attempt
	controller.SessionEvent(opened.ArrivedAt, 99, opened.AttemptDone(opened.ArrivedAt, attempt, nil).Event)
	opened = readOpenLine(t, controller, 98, openLine(98))
	opened.ArrivedAt = time.Second + 715*time.Millisecond
	controller.SessionOpened(opened.ArrivedAt, opened)
	unreported := opened.AttemptDone(opened.ArrivedAt, opened.Execute(opened.ArrivedAt, driver.commands[98][0]).Attempt, nil) // UP is written, the event not delivered yet
	driver.migrated = nil
	fireTimersUntil(controller, time.Second+760*time.Millisecond)
	for _, sequence := range []uint64{98, 99} {
		if !slices.Contains(driver.migrated, sequence) {
			t.Errorf("session %d was established at the last moment and is cut off without MOVE", sequence)
		}
	}
	controller.SessionEvent(time.Second+760*time.Millisecond, 98, unreported.Event)
	if err := controller.Balancer().(*balance.Balancer).CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// A client may come between the poll that found no work and the end; and at the end itself, when the event queue is emptied:
// a request that begins then would never be answered.
func TestController_ShutdownAnswersLateSessions(t *testing.T) {
	controller, driver := newTestController(t, oneClassConfig(time.Second, balance.Idempotent, true))
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+620*time.Millisecond) // no work is left: the stop timer is set
	opened := readOpenLine(t, controller, 1, openLine(1))
	opened.ArrivedAt = time.Second + 630*time.Millisecond
	controller.SessionOpened(opened.ArrivedAt, opened)
	fireTimersUntil(controller, time.Second+700*time.Millisecond)
	if driver.stopped != 0 {
		t.Fatal("stopped while an answer is owed")
	}
	controller.SessionEvent(time.Second+700*time.Millisecond, 1, opened.ClientClosed(false).Event)
	controller.SessionClosed(time.Second+700*time.Millisecond, 1)
	fireTimersUntil(controller, time.Second+900*time.Millisecond)
	if driver.stopped != 1 {
		t.Fatalf("stopped %d times", driver.stopped)
	}
	controller.SessionOpened(time.Second+900*time.Millisecond, readOpenLine(t, controller, 2, openLine(2)))
	if o := driver.commands[2]; len(o) != 1 || !strings.HasPrefix(o[0].Answer, "BUSY") {
		t.Errorf("a client that comes after the end gets %+v", o)
	}
}

// A class that a reload dropped does not lengthen the shutdown: SIGKILL comes by the settings in force.
func TestController_ShutdownIgnoresRetiredClasses(t *testing.T) {
	cfg := configWithClasses([]string{"long", "short"}, []balance.Class{testClass(balance.Idempotent), testClass(balance.Idempotent)}, 4)
	cfg.Settings.Classes[0].ClientTimeout, cfg.Settings.Classes[1].ClientTimeout = 2800*time.Millisecond, 300*time.Millisecond
	cfg.Settings.PassThrough = false
	controller, driver := newTestController(t, cfg)
	opened := readOpenLine(t, controller, 1, strings.Replace(openLine(1), "chat", "long", 1))
	controller.SessionOpened(time.Second, opened)
	next := configWithClasses([]string{"short"}, cfg.Settings.Classes[1:], 4)
	next.Settings.PassThrough = false
	if err := controller.Reload(time.Second, next, 256); err != nil {
		t.Fatal(err)
	}
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+860*time.Millisecond)
	if o := driver.commands[1]; len(o) != 2 || !o[1].Cancel || driver.stopped != 1 {
		t.Errorf("commands %+v, stopped %d times", o, driver.stopped)
	}
}
