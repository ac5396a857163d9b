package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// lone is a configuration with one class, of a patience, on one backend.
func lone(patience time.Duration, effect balance.Idempotency, pass bool) Config {
	cfg := testConfig()
	cfg.Settings.PassThrough = pass
	cfg.Settings.Classes = []balance.Class{{LatencyObjective: patience / 2, ClientTimeout: patience, Idempotency: effect}}
	return cfg
}

func says(seq uint64) string {
	return fmt.Sprintf("OPEN %016x %016x c=chat,d=9000\r\n", seq, seq)
}

// SIGKILL comes 3.7 s after SIGTERM at the earliest, however long the deadline is. A request at a backend that hangs
// was cut off with the relay at 3.5 s, without any answer, where its class waits for longer than 3 s; so was one that
// came after SIGTERM and so has its whole deadline before it.
func TestALeavingRelayAnswersBeforeItsEndWhateverTheDeadline(t *testing.T) {
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
			n, h := node(t, lone(tc.patience, tc.effect, tc.pass))
			term := 2 * time.Second
			var a *session.Attempt
			f := greeted(t, n, 1, says(1))
			begin := func(at time.Duration) {
				f.ArrivedAt = at
				n.SessionOpened(at, f)
				a = f.Execute(at, h.orders[1][0]).Attempt
			}
			if tc.came >= 0 {
				begin(term - tc.came)
				n.Shutdown(term)
			} else {
				n.Shutdown(term)
				begin(term - tc.came)
			}
			if by := term + 3500*time.Millisecond; tc.came < 0 && a.Deadline > by {
				t.Errorf("the attempt may last until %v, the relay until %v", a.Deadline, by)
			}
			// The backend hangs: nothing but the relay's own word ends the attempt.
			for at, ok := n.NextTimer(); ok && at <= term+3500*time.Millisecond && len(h.orders[1]) == 1; at, ok = n.NextTimer() {
				n.FireTimers(at)
			}
			if tc.came >= 0 {
				if len(h.orders[1]) != 2 || !h.orders[1][1].Cancel {
					t.Fatalf("the attempt is not given up: %+v", h.orders[1])
				}
			} else if h.left != 0 {
				t.Fatal("left while an answer is owed")
			}
			now := min(a.Deadline, term+3450*time.Millisecond)
			fail := a.ConnectionEnded(0, true, session.ErrBackendDraining, true)
			if tc.came >= 0 {
				fail.Abandon()
			}
			n.SessionEvent(now, 1, f.AttemptDone(now, a, fail).Event)
			if got := h.orders[1][len(h.orders[1])-1].Answer; got != tc.want {
				t.Errorf("the answer is %q, want %q", got, tc.want)
			}
		})
	}
}

// A request that nothing was sent for yet, since no list names a ready server, is answered before the end as well.
func TestALeavingRelayAnswersWhoeverWaitsForAList(t *testing.T) {
	cfg := lone(8*time.Second, balance.Idempotent, true)
	cfg.CachedEndpoints = nil
	n, h := node(t, cfg)
	f := greeted(t, n, 1, says(1))
	n.SessionOpened(time.Second, f)
	n.Shutdown(time.Second)
	played(n, time.Second+3460*time.Millisecond)
	if o := h.orders[1]; len(o) != 1 || o[0].Answer == "" {
		t.Errorf("%+v", o)
	}
}

// With short deadlines the moves have to be over before the relay's end, which follows the longest of them: they took
// 1.5 s whatever the settings said, and what was left was cut off without MOVE. One that comes up at the last moment
// is moved too.
func TestMovesFitBeforeTheEndOfALeavingRelay(t *testing.T) {
	n, h := node(t, lone(300*time.Millisecond, balance.Idempotent, false))
	for seq := uint64(1); seq <= 30; seq++ {
		f := greeted(t, n, seq, says(seq))
		n.SessionOpened(time.Second, f)
		a := f.Execute(time.Second, h.orders[seq][0]).Attempt
		n.SessionEvent(time.Second, seq, f.AttemptDone(time.Second, a, nil).Event)
	}
	n.Shutdown(time.Second)
	played(n, time.Second+710*time.Millisecond)
	moved := map[uint64]bool{}
	for _, seq := range h.moved {
		moved[seq] = true
	}
	if len(moved) != 30 {
		t.Errorf("%d of 30 are moved before the end", len(moved))
	}
	f := greeted(t, n, 99, says(99))
	f.ArrivedAt = time.Second + 715*time.Millisecond
	n.SessionOpened(f.ArrivedAt, f)
	a := f.Execute(f.ArrivedAt, h.orders[99][0]).Attempt
	n.SessionEvent(f.ArrivedAt, 99, f.AttemptDone(f.ArrivedAt, a, nil).Event)
	f = greeted(t, n, 98, says(98))
	f.ArrivedAt = time.Second + 715*time.Millisecond
	n.SessionOpened(f.ArrivedAt, f)
	unheard := f.AttemptDone(f.ArrivedAt, f.Execute(f.ArrivedAt, h.orders[98][0]).Attempt, nil) // UP is out, the books will hear of it
	h.moved = nil
	played(n, time.Second+760*time.Millisecond)
	for _, seq := range []uint64{98, 99} {
		if !slices.Contains(h.moved, seq) {
			t.Errorf("flow %d came up at the last moment and is cut off without MOVE", seq)
		}
	}
	n.SessionEvent(time.Second+760*time.Millisecond, 98, unheard.Event)
	if err := n.Balancer().(*balance.Balancer).CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// Someone may come between the look that found nothing owed and the end; and in the end itself, when the queue is
// emptied: what is begun then would never be answered.
func TestWhoComesWhileARelayEndsIsAnswered(t *testing.T) {
	n, h := node(t, lone(time.Second, balance.Idempotent, true))
	n.Shutdown(time.Second)
	played(n, time.Second+620*time.Millisecond) // nothing is owed: the end is set
	f := greeted(t, n, 1, says(1))
	f.ArrivedAt = time.Second + 630*time.Millisecond
	n.SessionOpened(f.ArrivedAt, f)
	played(n, time.Second+700*time.Millisecond)
	if h.left != 0 {
		t.Fatal("left while an answer is owed")
	}
	n.SessionEvent(time.Second+700*time.Millisecond, 1, f.ClientClosed(false).Event)
	n.SessionClosed(time.Second+700*time.Millisecond, 1)
	played(n, time.Second+900*time.Millisecond)
	if h.left != 1 {
		t.Fatalf("left %d times", h.left)
	}
	n.SessionOpened(time.Second+900*time.Millisecond, greeted(t, n, 2, says(2)))
	if o := h.orders[2]; len(o) != 1 || !strings.HasPrefix(o[0].Answer, "BUSY") {
		t.Errorf("who comes after the end gets %+v", o)
	}
}

// A class that a reload dropped lengthens nobody's leave: SIGKILL comes by the settings in force.
func TestADroppedClassDoesNotPutTheEndOff(t *testing.T) {
	cfg := with([]string{"long", "short"}, []balance.Class{class(balance.Idempotent), class(balance.Idempotent)}, 4)
	cfg.Settings.Classes[0].ClientTimeout, cfg.Settings.Classes[1].ClientTimeout = 2800*time.Millisecond, 300*time.Millisecond
	cfg.Settings.PassThrough = false
	n, h := node(t, cfg)
	f := greeted(t, n, 1, strings.Replace(says(1), "chat", "long", 1))
	n.SessionOpened(time.Second, f)
	next := with([]string{"short"}, cfg.Settings.Classes[1:], 4)
	next.Settings.PassThrough = false
	if err := n.Reload(time.Second, next, 256); err != nil {
		t.Fatal(err)
	}
	n.Shutdown(time.Second)
	played(n, time.Second+860*time.Millisecond)
	if o := h.orders[1]; len(o) != 2 || !o[1].Cancel || h.left != 1 {
		t.Errorf("orders %+v, left %d times", o, h.left)
	}
}

// One spoilt entry costs its own backend: a drain beside it has been told and counts. The list is asked for again, and
// nobody is taken for gone by half of one.
func TestASpoiltEntryCostsItsOwnBackendAlone(t *testing.T) {
	n, _ := node(t, testConfig())
	s := testConfig().Settings
	a := discovery.NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
	if c, ok := a.NextRequest(); !ok || !c.FullList {
		t.Fatalf("%+v, %v", c, ok)
	}
	news, err := a.HandleResponse([]byte(`{"version":7,"full":true,"servers":[{"id":"a","addr":"h:1","state":"draining"},` +
		`{"id":"b","addr":"h:2","state":"asleep"},{"id":"c","cell":"x"},3]}`))
	if err == nil || !news.Changed || news.RetryDelay <= 0 {
		t.Fatalf("%+v, %v", news, err)
	}
	n.EndpointsUpdated(2*time.Second, news.Endpoints, news.Kind)
	for i, want := range []bool{true, false, false} {
		if b := n.Backends()[i]; (b.ClosedAt() != 0) != want {
			t.Errorf("backend %s is closed: %v", b.Name, !want)
		}
	}
	if c, ok := a.NextRequest(); !ok || !c.FullList {
		t.Errorf("the list is not asked for again: %+v, %v", c, ok)
	}
}

// Entries of the configuration's list that cannot be read cost their own backends; the relay starts, and asks for all.
func TestASpoiltEntryOfTheKnownListCostsItsOwnBackendAlone(t *testing.T) {
	cfg := testConfig()
	cfg.CachedEndpoints = []byte(`{"version":4,"full":true,"servers":[{"id":"a","addr":"h:1","state":"asleep"},` +
		`{"id":"b","addr":"h:2","state":"ready"}]}`)
	var logged []string
	n, err := New(time.Second, cfg, &host{orders: map[uint64][]session.Command{}}, zap.New(logTo(func(msg string) { logged = append(logged, msg) })))
	if err != nil {
		t.Fatal(err)
	}
	if len(n.Backends()) != 1 || n.Backends()[0].Name != "b" || len(logged) != 1 {
		t.Errorf("%d backends, %q", len(n.Backends()), logged)
	}
	if v, ok := n.CachedVersion(); ok {
		t.Errorf("changes since version %d would leave the other out", v)
	}
	if err := n.Reload(time.Second, cfg, 256); err == nil {
		t.Error("taken at a reload")
	}
}

// The list that the configuration holds has a version, from which a relay whose lists are asked for goes on.
func TestTheKnownListHasAVersion(t *testing.T) {
	h := &host{orders: map[uint64][]session.Command{}}
	n, err := New(time.Second, testConfig(), h, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := n.CachedVersion(); !ok || v != 1 {
		t.Errorf("the list of the configuration has version %d, %v", v, ok)
	}
}
