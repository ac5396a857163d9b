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

func TestController_ShutdownWaitsForPendingAnswers(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.PassThrough = false
	controller, driver := newTestController(t, cfg)
	opened := readOpenLine(t, controller, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n")
	controller.SessionOpened(time.Second, opened)
	controller.Shutdown(time.Second)
	fireUntil := func(until time.Duration) {
		for at, ok := controller.NextTimer(); ok && at <= until; at, ok = controller.NextTimer() {
			controller.FireTimers(at)
		}
	}
	fireUntil(1700 * time.Millisecond)
	if driver.stopped != 0 {
		t.Fatal("stopped before a request was answered")
	}
	controller.SessionClosed(1700*time.Millisecond, 1)
	fireUntil(1800 * time.Millisecond)
	if driver.stopped != 1 {
		t.Errorf("stopped %d times, want 1", driver.stopped)
	}
}

// A request at a backend that hangs must be answered before the relay ends, 3.5 s after SIGTERM, even if its client timeout is over
// 3 s or it arrives after SIGTERM: its attempt would outlast the relay, and the client would get no answer. SIGKILL follows 3.7 s
// after SIGTERM at the earliest, however long the client timeout is.
func TestController_ShutdownAnswersBeforeItsEnd(t *testing.T) {
	for _, tc := range []struct {
		name          string
		clientTimeout time.Duration
		idempotency   balance.Idempotency
		passThrough   bool
		arrived       time.Duration // how long before SIGTERM; below 0: after it
		want          string
	}{
		{"client timeout over the shutdown time", 4500 * time.Millisecond, balance.Idempotent, false, 10 * time.Millisecond, "BUSY 1000\r\n"},
		{"non-idempotent request", 4500 * time.Millisecond, balance.NonIdempotent, false, 10 * time.Millisecond, protocol.AnswerFailed},
		{"pass-through mode", 4500 * time.Millisecond, balance.Idempotent, true, 10 * time.Millisecond, "BUSY 1000\r\n"},
		{"arrival after SIGTERM", 4500 * time.Millisecond, balance.Idempotent, false, -400 * time.Millisecond, "BUSY 1000\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller, driver := newTestController(t, oneClassConfig(tc.clientTimeout, tc.idempotency, tc.passThrough))
			sigtermAt := 2 * time.Second
			var attempt *session.Attempt
			opened := readOpenLine(t, controller, 1, openLine(1))
			arrive := func(at time.Duration) {
				opened.ArrivedAt = at
				controller.SessionOpened(at, opened)
				attempt = opened.Execute(at, driver.commands[1][0]).Attempt
			}
			if tc.arrived >= 0 {
				arrive(sigtermAt - tc.arrived)
				controller.Shutdown(sigtermAt)
			} else {
				controller.Shutdown(sigtermAt)
				arrive(sigtermAt - tc.arrived)
			}
			if end := sigtermAt + 3500*time.Millisecond; tc.arrived < 0 && attempt.Deadline > end {
				t.Errorf("the attempt has deadline %v, the relay ends at %v", attempt.Deadline, end)
			}
			// The backend hangs, so only the relay ends the attempt.
			for at, ok := controller.NextTimer(); ok && at <= sigtermAt+3500*time.Millisecond && len(driver.commands[1]) == 1; at, ok = controller.NextTimer() {
				controller.FireTimers(at)
			}
			if tc.arrived >= 0 {
				if len(driver.commands[1]) != 2 || !driver.commands[1][1].Cancel {
					t.Fatalf("the attempt is not cancelled: %+v", driver.commands[1])
				}
			} else if driver.stopped != 0 {
				t.Fatal("stopped before a request was answered")
			}
			now := min(attempt.Deadline, sigtermAt+3450*time.Millisecond)
			failure := attempt.ConnectionEnded(0, true, session.ErrBackendDraining, true)
			if tc.arrived >= 0 {
				failure.Abandon()
			}
			controller.SessionEvent(now, 1, opened.AttemptDone(now, attempt, failure).Event)
			if got := driver.commands[1][len(driver.commands[1])-1].Answer; got != tc.want {
				t.Errorf("the answer is %q, want %q", got, tc.want)
			}
		})
	}
}

// A request without any attempt, because no endpoint list has a ready backend, is answered before the relay ends.
func TestController_ShutdownAnswersRequestsWithoutEndpoints(t *testing.T) {
	cfg := oneClassConfig(8*time.Second, balance.Idempotent, true)
	cfg.CachedEndpoints = nil
	controller, driver := newTestController(t, cfg)
	opened := readOpenLine(t, controller, 1, openLine(1))
	controller.SessionOpened(time.Second, opened)
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+3460*time.Millisecond)
	if commands := driver.commands[1]; len(commands) != 1 || commands[0].Answer == "" {
		t.Errorf("commands %+v, want one answer", commands)
	}
}

// The time until the relay's end follows from the client timeouts. If they are short, a migration that always took 1.5 s would not
// be complete by then, and the remaining sessions would be cut off without MOVE. A session that is established just before the end
// is migrated as well.
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
		t.Errorf("%d of 30 sessions are migrated before the end", len(migrated))
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
			t.Errorf("session %d, established just before the end, is cut off without MOVE", sequence)
		}
	}
	controller.SessionEvent(time.Second+760*time.Millisecond, 98, unreported.Event)
	if err := controller.Balancer().(*balance.Balancer).CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// A client that arrives between the poll that finds no work and the end is served. One that arrives at the end itself, while the
// event queue is emptied, is refused: a request that began then would never be answered.
func TestController_ShutdownAnswersLateSessions(t *testing.T) {
	controller, driver := newTestController(t, oneClassConfig(time.Second, balance.Idempotent, true))
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+620*time.Millisecond) // no work is left: the stop timer is set
	opened := readOpenLine(t, controller, 1, openLine(1))
	opened.ArrivedAt = time.Second + 630*time.Millisecond
	controller.SessionOpened(opened.ArrivedAt, opened)
	fireTimersUntil(controller, time.Second+700*time.Millisecond)
	if driver.stopped != 0 {
		t.Fatal("stopped before a request was answered")
	}
	controller.SessionEvent(time.Second+700*time.Millisecond, 1, opened.ClientClosed(false).Event)
	controller.SessionClosed(time.Second+700*time.Millisecond, 1)
	fireTimersUntil(controller, time.Second+900*time.Millisecond)
	if driver.stopped != 1 {
		t.Fatalf("stopped %d times, want 1", driver.stopped)
	}
	controller.SessionOpened(time.Second+900*time.Millisecond, readOpenLine(t, controller, 2, openLine(2)))
	if commands := driver.commands[2]; len(commands) != 1 || !strings.HasPrefix(commands[0].Answer, "BUSY") {
		t.Errorf("a client that arrives after the end gets %+v, want BUSY", commands)
	}
}

// A class that a reload has dropped does not lengthen the shutdown: the time of SIGKILL follows from the settings in force.
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
	if commands := driver.commands[1]; len(commands) != 2 || !commands[1].Cancel || driver.stopped != 1 {
		t.Errorf("commands %+v, stopped %d times; want a cancelled attempt, 1", commands, driver.stopped)
	}
}
