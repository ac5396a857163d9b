package machine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
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
		{"it may have run", 4500 * time.Millisecond, balance.NonIdempotent, false, 10 * time.Millisecond, AnswerFailed},
		{"packets pass through", 4500 * time.Millisecond, balance.Idempotent, true, 10 * time.Millisecond, "BUSY 1000\r\n"},
		{"it came late", 4500 * time.Millisecond, balance.Idempotent, false, -400 * time.Millisecond, "BUSY 1000\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n, h := node(t, lone(tc.patience, tc.effect, tc.pass))
			term := 2 * time.Second
			var a *Attempt
			f := greeted(t, n, 1, says(1))
			begin := func(at time.Duration) {
				f.Came = at
				n.Opened(at, f)
				a = f.Order(at, h.orders[1][0]).Try
			}
			if tc.came >= 0 {
				begin(term - tc.came)
				n.Leave(term)
			} else {
				n.Leave(term)
				begin(term - tc.came)
			}
			if by := term + 3500*time.Millisecond; tc.came < 0 && a.Until > by {
				t.Errorf("the attempt may last until %v, the relay until %v", a.Until, by)
			}
			// The backend hangs: nothing but the relay's own word ends the attempt.
			for at, ok := n.Next(); ok && at <= term+3500*time.Millisecond && len(h.orders[1]) == 1; at, ok = n.Next() {
				n.Due(at)
			}
			if tc.came >= 0 {
				if len(h.orders[1]) != 2 || !h.orders[1][1].Cancel {
					t.Fatalf("the attempt is not given up: %+v", h.orders[1])
				}
			} else if h.left != 0 {
				t.Fatal("left while an answer is owed")
			}
			now := min(a.Until, term+3450*time.Millisecond)
			fail := a.Broke(0, true, errDrained, true)
			if tc.came >= 0 {
				fail.GivenUp()
			}
			n.Heard(now, 1, f.Tried(now, a, fail).Event)
			if got := h.orders[1][len(h.orders[1])-1].Answer; got != tc.want {
				t.Errorf("the answer is %q, want %q", got, tc.want)
			}
		})
	}
}

// A request that nothing was sent for yet, since no list names a ready server, is answered before the end as well.
func TestALeavingRelayAnswersWhoeverWaitsForAList(t *testing.T) {
	cfg := lone(8*time.Second, balance.Idempotent, true)
	cfg.Known = nil
	n, h := node(t, cfg)
	f := greeted(t, n, 1, says(1))
	n.Opened(time.Second, f)
	n.Leave(time.Second)
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
		n.Opened(time.Second, f)
		a := f.Order(time.Second, h.orders[seq][0]).Try
		n.Heard(time.Second, seq, f.Tried(time.Second, a, nil).Event)
	}
	n.Leave(time.Second)
	played(n, time.Second+710*time.Millisecond)
	moved := map[uint64]bool{}
	for _, seq := range h.moved {
		moved[seq] = true
	}
	if len(moved) != 30 {
		t.Errorf("%d of 30 are moved before the end", len(moved))
	}
	f := greeted(t, n, 99, says(99))
	f.Came = time.Second + 715*time.Millisecond
	n.Opened(f.Came, f)
	a := f.Order(f.Came, h.orders[99][0]).Try
	n.Heard(f.Came, 99, f.Tried(f.Came, a, nil).Event)
	f = greeted(t, n, 98, says(98))
	f.Came = time.Second + 715*time.Millisecond
	n.Opened(f.Came, f)
	unheard := f.Tried(f.Came, f.Order(f.Came, h.orders[98][0]).Try, nil) // UP is out, the books will hear of it
	h.moved = nil
	played(n, time.Second+760*time.Millisecond)
	for _, seq := range []uint64{98, 99} {
		if !slices.Contains(h.moved, seq) {
			t.Errorf("flow %d came up at the last moment and is cut off without MOVE", seq)
		}
	}
	n.Heard(time.Second+760*time.Millisecond, 98, unheard.Event)
	if err := n.Balancer().(*balance.Balancer).CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// Someone may come between the look that found nothing owed and the end; and in the end itself, when the queue is
// emptied: what is begun then would never be answered.
func TestWhoComesWhileARelayEndsIsAnswered(t *testing.T) {
	n, h := node(t, lone(time.Second, balance.Idempotent, true))
	n.Leave(time.Second)
	played(n, time.Second+620*time.Millisecond) // nothing is owed: the end is set
	f := greeted(t, n, 1, says(1))
	f.Came = time.Second + 630*time.Millisecond
	n.Opened(f.Came, f)
	played(n, time.Second+700*time.Millisecond)
	if h.left != 0 {
		t.Fatal("left while an answer is owed")
	}
	n.Heard(time.Second+700*time.Millisecond, 1, f.Left(false).Event)
	n.Closed(time.Second+700*time.Millisecond, 1)
	played(n, time.Second+900*time.Millisecond)
	if h.left != 1 {
		t.Fatalf("left %d times", h.left)
	}
	n.Opened(time.Second+900*time.Millisecond, greeted(t, n, 2, says(2)))
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
	n.Opened(time.Second, f)
	next := with([]string{"short"}, cfg.Settings.Classes[1:], 4)
	next.Settings.PassThrough = false
	if err := n.Reload(time.Second, next, 256); err != nil {
		t.Fatal(err)
	}
	n.Leave(time.Second)
	played(n, time.Second+860*time.Millisecond)
	if o := h.orders[1]; len(o) != 2 || !o[1].Cancel || h.left != 1 {
		t.Errorf("orders %+v, left %d times", o, h.left)
	}
}

// asks is an agent of a relay whose lists come on request, or unasked.
func asks(request bool) *Agent {
	s := testConfig().Settings
	s.PollEndpoints = request
	return NewAgent("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
}

// One spoilt entry costs its own backend: a drain beside it has been told and counts. The list is asked for again, and
// nobody is taken for gone by half of one.
func TestASpoiltEntryCostsItsOwnBackendAlone(t *testing.T) {
	n, _ := node(t, testConfig())
	a := asks(false)
	if c, ok := a.Next(); !ok || !c.Whole {
		t.Fatalf("%+v, %v", c, ok)
	}
	news, err := a.Answered([]byte(`{"version":7,"full":true,"servers":[{"id":"a","addr":"h:1","state":"draining"},` +
		`{"id":"b","addr":"h:2","state":"asleep"},{"id":"c","cell":"x"},3]}`))
	if err == nil || !news.Any || news.Pause <= 0 {
		t.Fatalf("%+v, %v", news, err)
	}
	n.Listed(2*time.Second, news.Members, news.Kind)
	for i, want := range []bool{true, false, false} {
		if b := n.Backends()[i]; (b.closed.Load() != 0) != want {
			t.Errorf("backend %s is closed: %v", b.Name, !want)
		}
	}
	if c, ok := a.Next(); !ok || !c.Whole {
		t.Errorf("the list is not asked for again: %+v, %v", c, ok)
	}
}

// Versions that go back are those of an agent that has begun anew: what it knew in between is asked for.
func TestAnAgentThatBeganAnewIsAskedForAll(t *testing.T) {
	for _, request := range []bool{false, true} {
		a := asks(request)
		a.Want(true)
		a.Next()
		if _, err := a.Answered([]byte(three)); err != nil {
			t.Fatal(err)
		}
		a.Next()
		if _, err := a.Answered([]byte(`{"version":41,"full":false,"servers":[]}`)); err != nil {
			t.Fatal(err)
		}
		if c, _ := a.Next(); c.Whole || !strings.HasPrefix(c.Query, "index=41&") {
			t.Fatalf("%+v", c)
		}
		if _, err := a.Answered([]byte(`{"version":2,"full":false,"servers":[{"id":"b","state":"draining"}]}`)); err != nil {
			t.Fatal(err)
		}
		if c, ok := a.Next(); !ok || !c.Whole {
			t.Errorf("on request %v: %+v, %v", request, c, ok)
		}
	}
}

// Where lists are asked for, a whole list and then a watch were two calls of each relay that starts; discovery has room
// for one of each, turned half of the watches away, and drains were not heard of.
func TestAStartingRelayMakesOneCallWhereListsAreAskedFor(t *testing.T) {
	a := asks(true)
	a.Knows(41)
	a.Want(true)
	if c, ok := a.Next(); !ok || c.Whole || !strings.HasPrefix(c.Query, "index=41&") {
		t.Fatalf("%+v, %v", c, ok)
	}
	if news, err := a.Answered([]byte(`{"version":41,"full":false,"servers":[]}`)); err != nil || !news.Any {
		t.Errorf("the first word of discovery is no news: %+v, %v", news, err)
	}
	if c, ok := a.Next(); !ok || c.Whole {
		t.Errorf("the watch does not go on: %+v, %v", c, ok)
	}
	b := asks(false) // where changes come unasked the whole list costs nothing, and may be newer
	b.Knows(41)
	if c, ok := b.Next(); !ok || !c.Whole {
		t.Errorf("%+v, %v", c, ok)
	}
	h := &host{orders: map[uint64][]Order{}}
	n, err := NewNode(time.Second, testConfig(), h, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := n.Cached(); !ok || v != 1 {
		t.Errorf("the list of the configuration has version %d, %v", v, ok)
	}
}

// A watch that has fallen silent is opened anew at once: between two watches drains count as told, unheard.
func TestASilentWatchIsOpenedAnewAtOnce(t *testing.T) {
	for _, request := range []bool{false, true} {
		a := asks(request)
		a.Knows(1)
		a.Want(true)
		a.Next()
		if _, err := a.Answered([]byte(three)); err != nil {
			t.Fatal(err)
		}
		for range 12 {
			if c, ok := a.Next(); !ok || c.Whole {
				t.Fatalf("%+v, %v", c, ok)
			}
			if news := a.Failed(true); news.Pause != 0 || news.Any {
				t.Errorf("on request %v: %+v", request, news)
			}
		}
	}
}

// Whatever became of the calls before, and of as many as may be: from the moment from which discovery can be reached what
// it has is heard within 6 s, and a relay that is turned away at once does not hammer. All sequences of five endings of a
// call, from each state in which a relay may be when they begin.
func TestAChangeIsHeardInTimeAfterAnyFailures(t *testing.T) {
	const drain = `{"version":9,"full":false,"servers":[{"id":"b","state":"draining"}]}`
	endings := []struct {
		name   string
		lasts  func(limit time.Duration) time.Duration
		silent bool
		body   string
	}{
		{name: "refused", lasts: func(time.Duration) time.Duration { return 0 }},
		{name: "a dial that never comes up", lasts: func(limit time.Duration) time.Duration { return min(limit, Lagging) }, silent: true},
		{name: "no word, or headers, or half a body, to the end", lasts: func(limit time.Duration) time.Duration { return limit }, silent: true},
		{name: "broken off just before the end", lasts: func(limit time.Duration) time.Duration { return limit - time.Millisecond }},
		{name: "no list", lasts: func(time.Duration) time.Duration { return time.Millisecond }, body: "<html>"},
		{name: "a spoilt entry", lasts: func(limit time.Duration) time.Duration { return limit - time.Millisecond },
			body: `{"version":3,"full":false,"servers":[{"id":"x","state":7}]}`},
	}
	states := map[string]func(request bool, rng *rand.Rand) *Agent{
		"before the first list": func(request bool, rng *rand.Rand) *Agent { return asksBy(request, false, rng) },
		"with the configuration's list": func(request bool, rng *rand.Rand) *Agent {
			a := asksBy(request, false, rng)
			a.Knows(1)
			return a
		},
		"between two watches": func(request bool, rng *rand.Rand) *Agent {
			a := asksBy(request, false, rng)
			a.Next()
			if _, err := a.Answered([]byte(three)); err != nil {
				t.Fatal(err)
			}
			return a
		},
		"moved to another agent": func(request bool, rng *rand.Rand) *Agent { return asksBy(request, true, rng) },
	}
	const long = 5
	worst, count := time.Duration(0), 1
	for range long {
		count *= len(endings)
	}
	for name, begin := range states {
		for _, request := range []bool{false, true} {
			for sequence := range count {
				a := begin(request, rand.New(rand.NewPCG(uint64(sequence), 1)))
				var took time.Duration // from the beginning of the call that came just too early
				for left, step := sequence, 0; step < long; left, step = left/len(endings), step+1 {
					call, ok := a.Next()
					if !ok {
						t.Fatalf("%s, on request %v, sequence %d: no further call after %d", name, request, sequence, step)
					}
					e := endings[left%len(endings)]
					var news News
					if e.body != "" {
						news, _ = a.Answered([]byte(e.body))
					} else {
						news = a.Failed(e.silent)
					}
					took = e.lasts(call.Limit) + news.Pause
				}
				call, ok := a.Next()
				if !ok {
					t.Fatalf("%s, on request %v, sequence %d: no call at the end", name, request, sequence)
				}
				if news, err := a.Answered([]byte(drain)); err != nil || !news.Any || len(news.Members.entries) != 1 {
					t.Fatalf("%s, on request %v, sequence %d: %+v, %v", name, request, sequence, news, err)
				}
				if call.Whole {
					took += call.Limit
				}
				worst = max(worst, took)
			}
		}
	}
	if worst > toldWithin-time.Second || worst > worstTold || worst < worstTold-wholeLimit-mostPause/2 {
		t.Errorf("heard after %v at worst, %v derived, %v allowed", worst, worstTold, toldWithin)
	}
	for _, request := range []bool{false, true} { // and at rest: half a minute of an agent that turns all away at once
		a, now, calls := states["between two watches"](request, rand.New(rand.NewPCG(7, 1))), time.Duration(0), 0
		for ; now < 30*time.Second; calls++ {
			if _, ok := a.Next(); !ok {
				t.Fatalf("on request %v: no call after %v", request, now)
			}
			now += a.Failed(false).Pause
		}
		if calls > 40 {
			t.Errorf("on request %v: %d calls in %v at an agent that turns all away", request, calls, now)
		}
	}
}

// asksBy is an agent whose module has asked for a watch.
func asksBy(request, moved bool, rng *rand.Rand) *Agent {
	s := testConfig().Settings
	s.PollEndpoints = request
	a := NewAgent("d:1", &s, moved, rng)
	a.Want(true)
	return a
}

// A reload that shortens the idle time holds for connections that were kept before it too.
func TestAKeptConnectionIsUsedWithinTheIdleTimeInForce(t *testing.T) {
	n, _ := node(t, testConfig())
	p := NewProbes(n.Settings(), 4)
	b := n.Backends()[0]
	pr, step := p.Begin(0, b)
	if !step.Dial {
		t.Fatalf("%+v", step)
	}
	pr.Dialled(0, "first")
	if step = pr.Answered(0, "PONG"); step.Keep == nil {
		t.Fatalf("%+v", step)
	}
	shorter := *n.Settings()
	shorter.IdleTimeout = time.Second
	p.Under(&shorter)
	if _, step = p.Begin(800*time.Millisecond, b); !step.Dial || len(step.Close) != 1 || step.Close[0] != "first" || p.Connections() != 1 {
		t.Errorf("%+v, %d connections", step, p.Connections())
	}
}

// Entries of the configuration's list that cannot be read cost their own backends; the relay starts, and asks for all.
func TestASpoiltEntryOfTheKnownListCostsItsOwnBackendAlone(t *testing.T) {
	cfg := testConfig()
	cfg.Known = []byte(`{"version":4,"full":true,"servers":[{"id":"a","addr":"h:1","state":"asleep"},` +
		`{"id":"b","addr":"h:2","state":"ready"}]}`)
	var logged []string
	n, err := NewNode(time.Second, cfg, &host{orders: map[uint64][]Order{}}, zap.New(logTo(func(msg string) { logged = append(logged, msg) })))
	if err != nil {
		t.Fatal(err)
	}
	if len(n.Backends()) != 1 || n.Backends()[0].Name != "b" || len(logged) != 1 {
		t.Errorf("%d backends, %q", len(n.Backends()), logged)
	}
	if v, ok := n.Cached(); ok {
		t.Errorf("changes since version %d would leave the other out", v)
	}
	if err := n.Reload(time.Second, cfg, 256); err == nil {
		t.Error("taken at a reload")
	}
}

// Who lay in the accept queue while others were heard has been waiting since before any clock of the relay's saw it: its
// patience counts from when the queue began to fill, half a second at most. An acceptor that finds nobody has an empty queue.
func TestPatienceCountsInTheAcceptQueue(t *testing.T) {
	l := NewLobby(1)
	now := time.Second
	enter := func(conn string) *Guest {
		for {
			in, _, wait := l.Enter(now, conn)
			if now += wait; in != nil {
				return in
			}
		}
	}
	n, _ := node(t, testConfig())
	came := func(g *Guest, after time.Duration) time.Duration {
		f := NewFlow(1, n.Settings(), n.Ledger())
		f.Entered(g)
		if _, err := f.Hello(now+after, []byte("OPEN 0000000000000009 0000000000000009 c=chat,d=1000\r\n"), true); err != nil {
			t.Fatal(err)
		}
		return now + after - f.Came
	}
	for i, want := range []time.Duration{0, 30 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond} {
		if got := came(enter("a silent one"), 0); got != want {
			t.Errorf("number %d in the queue counts from %v before it was heard, %v is due", i, got, want)
		}
	}
	if got := came(enter("slow to speak"), hearing); got != 0 {
		t.Errorf("what was sent after its connection was taken in counts from %v before", got)
	}
	for range 30 {
		enter("a silent one")
	}
	if got := came(enter("long"), 0); got != mostQueued {
		t.Errorf("after a second of crowd: %v", got)
	}
	now += hearing
	if got := came(enter("later"), 0); got != 0 {
		t.Errorf("with an empty queue again: %v", got)
	}
}
