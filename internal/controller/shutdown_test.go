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
		t.Fatal("left while an answer is owed")
	}
	controller.SessionClosed(1700*time.Millisecond, 1)
	play(1800 * time.Millisecond)
	if driver.stopped != 1 {
		t.Errorf("left %d times", driver.stopped)
	}
}

// SIGKILL comes 3.7 s after SIGTERM at the earliest, however long the deadline is. A request at a backend that hangs
// was cut off with the relay at 3.5 s, without any answer, where its class waits for longer than 3 s; so was one that
// came after SIGTERM and so has its whole deadline before it.
func TestController_ShutdownAnswersBeforeItsEnd(t *testing.T) {
	for _, tc := range []struct {
		name     string
		patience time.Duration
		effect   balance.Idempotency
		pass     bool
		came     time.Duration // before SIGTERM; below 0: after it
		want     string
	}{
		{"longer than there is", 4500 * time.Millisecond, balance.Idempotent, false, 10 * time.Millisecond, "BUSY 1000\r\n"},
		{"it may have run", 4500 * time.Millisecond, balance.NonIdempotent, false, 10 * time.Millisecond, protocol.AnswerFailed},
		{"packets pass through", 4500 * time.Millisecond, balance.Idempotent, true, 10 * time.Millisecond, "BUSY 1000\r\n"},
		{"it came late", 4500 * time.Millisecond, balance.Idempotent, false, -400 * time.Millisecond, "BUSY 1000\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller, driver := newTestController(t, oneClassConfig(tc.patience, tc.effect, tc.pass))
			term := 2 * time.Second
			var attempt *session.Attempt
			opened := readOpenLine(t, controller, 1, openLine(1))
			begin := func(at time.Duration) {
				opened.ArrivedAt = at
				controller.SessionOpened(at, opened)
				attempt = opened.Execute(at, driver.commands[1][0]).Attempt
			}
			if tc.came >= 0 {
				begin(term - tc.came)
				controller.Shutdown(term)
			} else {
				controller.Shutdown(term)
				begin(term - tc.came)
			}
			if by := term + 3500*time.Millisecond; tc.came < 0 && attempt.Deadline > by {
				t.Errorf("the attempt may last until %v, the relay until %v", attempt.Deadline, by)
			}
			// The backend hangs: nothing but the relay's own word ends the attempt.
			for at, ok := controller.NextTimer(); ok && at <= term+3500*time.Millisecond && len(driver.commands[1]) == 1; at, ok = controller.NextTimer() {
				controller.FireTimers(at)
			}
			if tc.came >= 0 {
				if len(driver.commands[1]) != 2 || !driver.commands[1][1].Cancel {
					t.Fatalf("the attempt is not given up: %+v", driver.commands[1])
				}
			} else if driver.stopped != 0 {
				t.Fatal("left while an answer is owed")
			}
			now := min(attempt.Deadline, term+3450*time.Millisecond)
			fail := attempt.ConnectionEnded(0, true, session.ErrBackendDraining, true)
			if tc.came >= 0 {
				fail.Abandon()
			}
			controller.SessionEvent(now, 1, opened.AttemptDone(now, attempt, fail).Event)
			if got := driver.commands[1][len(driver.commands[1])-1].Answer; got != tc.want {
				t.Errorf("the answer is %q, want %q", got, tc.want)
			}
		})
	}
}

// A request that nothing was sent for yet, since no list names a ready server, is answered before the end as well.
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

// With short deadlines the moves have to be over before the relay's end, which follows the longest of them: they took
// 1.5 s whatever the settings said, and what was left was cut off without MOVE. One that comes up at the last moment
// is moved too.
func TestController_ShutdownMigratesBeforeItsEnd(t *testing.T) {
	controller, driver := newTestController(t, oneClassConfig(300*time.Millisecond, balance.Idempotent, false))
	for seq := uint64(1); seq <= 30; seq++ {
		opened := readOpenLine(t, controller, seq, openLine(seq))
		controller.SessionOpened(time.Second, opened)
		attempt := opened.Execute(time.Second, driver.commands[seq][0]).Attempt
		controller.SessionEvent(time.Second, seq, opened.AttemptDone(time.Second, attempt, nil).Event)
	}
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+710*time.Millisecond)
	moved := map[uint64]bool{}
	for _, seq := range driver.migrated {
		moved[seq] = true
	}
	if len(moved) != 30 {
		t.Errorf("%d of 30 are moved before the end", len(moved))
	}
	opened := readOpenLine(t, controller, 99, openLine(99))
	opened.ArrivedAt = time.Second + 715*time.Millisecond
	controller.SessionOpened(opened.ArrivedAt, opened)
	attempt := opened.Execute(opened.ArrivedAt, driver.commands[99][0]).Attempt
	controller.SessionEvent(opened.ArrivedAt, 99, opened.AttemptDone(opened.ArrivedAt, attempt, nil).Event)
	opened = readOpenLine(t, controller, 98, openLine(98))
	opened.ArrivedAt = time.Second + 715*time.Millisecond
	controller.SessionOpened(opened.ArrivedAt, opened)
	unheard := opened.AttemptDone(opened.ArrivedAt, opened.Execute(opened.ArrivedAt, driver.commands[98][0]).Attempt, nil) // UP is out, the books will hear of it
	driver.migrated = nil
	fireTimersUntil(controller, time.Second+760*time.Millisecond)
	for _, seq := range []uint64{98, 99} {
		if !slices.Contains(driver.migrated, seq) {
			t.Errorf("flow %d came up at the last moment and is cut off without MOVE", seq)
		}
	}
	controller.SessionEvent(time.Second+760*time.Millisecond, 98, unheard.Event)
	if err := controller.Balancer().(*balance.Balancer).CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// Someone may come between the look that found nothing owed and the end; and in the end itself, when the queue is
// emptied: what is begun then would never be answered.
func TestController_ShutdownAnswersLateSessions(t *testing.T) {
	controller, driver := newTestController(t, oneClassConfig(time.Second, balance.Idempotent, true))
	controller.Shutdown(time.Second)
	fireTimersUntil(controller, time.Second+620*time.Millisecond) // nothing is owed: the end is set
	opened := readOpenLine(t, controller, 1, openLine(1))
	opened.ArrivedAt = time.Second + 630*time.Millisecond
	controller.SessionOpened(opened.ArrivedAt, opened)
	fireTimersUntil(controller, time.Second+700*time.Millisecond)
	if driver.stopped != 0 {
		t.Fatal("left while an answer is owed")
	}
	controller.SessionEvent(time.Second+700*time.Millisecond, 1, opened.ClientClosed(false).Event)
	controller.SessionClosed(time.Second+700*time.Millisecond, 1)
	fireTimersUntil(controller, time.Second+900*time.Millisecond)
	if driver.stopped != 1 {
		t.Fatalf("left %d times", driver.stopped)
	}
	controller.SessionOpened(time.Second+900*time.Millisecond, readOpenLine(t, controller, 2, openLine(2)))
	if o := driver.commands[2]; len(o) != 1 || !strings.HasPrefix(o[0].Answer, "BUSY") {
		t.Errorf("who comes after the end gets %+v", o)
	}
}

// A class that a reload dropped lengthens nobody's leave: SIGKILL comes by the settings in force.
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
		t.Errorf("orders %+v, left %d times", o, driver.stopped)
	}
}
