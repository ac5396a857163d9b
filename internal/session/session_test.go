package session

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// sessionSettings are those of a relay with one class.
func sessionSettings() *settings.Settings {
	return &settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
}

// testBackends are two backends that are ready.
func testBackends() []*upstream.Backend {
	return []*upstream.Backend{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}}
}

func newTestSession(seq uint64) *Session {
	s, m := sessionSettings(), &metrics.Registry{}
	m.SetClasses(s.ClassNames)
	return New(seq, s, m)
}

// openSession is a session whose client has sent a line.
func openSession(t *testing.T, seq uint64, line string) *Session {
	t.Helper()
	f := newTestSession(seq)
	g, err := f.ReadHandshake(time.Second, []byte(line), true)
	if err != nil || !g.Opened {
		t.Fatalf("%+v, %v", g, err)
	}
	return f
}

func TestAttemptErrorsTellWhatMayHaveRun(t *testing.T) {
	for _, tc := range []struct {
		e    AttemptError
		want balance.Status
		ran  bool
	}{
		{AttemptError{stage: stageNotSent}, balance.StatusConnectFailed, false},
		{AttemptError{stage: stageNotSent, timeout: true}, balance.StatusConnectFailed, false},
		{AttemptError{stage: stagePartlySent, bytesSent: 12}, balance.StatusConnectFailed, false},
		{AttemptError{stage: stageSent}, balance.StatusReset, true},
		{AttemptError{stage: stageSent, timeout: true}, balance.StatusTimeout, true},
		{AttemptError{stage: stageSent, abandoned: true}, balance.StatusCancelled, true},
		{AttemptError{stage: stagePartlySent, bytesSent: 12, abandoned: true}, balance.StatusAbandoned, false},
		{AttemptError{stage: stageNotSent, abandoned: true}, balance.StatusAbandoned, false},
		{AttemptError{stage: stageAnswered, answer: protocol.KindBusy}, balance.StatusOverloaded, false},
		{AttemptError{stage: stageAnswered, answer: protocol.KindError}, balance.StatusError, true},
		{AttemptError{stage: stageAnswered, answer: protocol.KindMove}, balance.StatusCancelled, true},
		{AttemptError{stage: stageAnswered, answer: protocol.KindBye}, balance.StatusOK, true},
		{AttemptError{stage: stageAnswered, answer: protocol.KindUnknown}, balance.StatusError, true},
		{AttemptError{stage: stageAnswered, answer: protocol.KindSyntax}, balance.StatusCancelled, true},
	} {
		tc.e.err = errors.New("cause")
		if got := tc.e.Status(); got != tc.want || got.MayHaveExecuted() != tc.ran {
			t.Errorf("%v: status %v", &tc.e, got)
		}
		if tc.e.Error() == "" || !errors.Is(&tc.e, tc.e.err) {
			t.Errorf("%+v says nothing of its cause", tc.e)
		}
	}
}

func TestAFullRelaySaysWhenToComeBackWhereItMay(t *testing.T) {
	for _, may := range []bool{true, false} {
		s := *sessionSettings()
		s.RetryAfter = may
		if got, want := protocol.BusyAnswer(RetryAfter(&s)), map[bool]string{true: "BUSY 1000\r\n", false: "BUSY\r\n"}[may]; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

func TestAttemptsAreNotSentLateOrToADrainingBackend(t *testing.T) {
	for _, tc := range []struct {
		name   string
		closed time.Duration // how long ago it was heard to drain; 0: it does not
		left   time.Duration
		cause  error
	}{
		{"ready", 0, time.Second, nil},
		{"no time left", 0, 0, ErrDeadlineExceeded},
		{"drains, its grace not over", 60 * time.Millisecond, time.Second, nil},
		{"drains", 200 * time.Millisecond, time.Second, ErrBackendDraining},
	} {
		b := testBackends()[0]
		now := 10 * time.Second
		if tc.closed > 0 {
			b.SetState(now-tc.closed, balance.StateDraining)
		}
		f := openSession(t, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n")
		head, fail := f.Execute(now, Command{Backend: b, Deadline: now + tc.left}).Attempt.Connected(now)
		switch {
		case tc.cause == nil && fail != nil, tc.cause != nil && !errors.Is(fail, tc.cause):
			t.Errorf("%s: %v", tc.name, fail)
		case tc.cause == nil && string(bytes.Join(head[:], nil)) != "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n":
			t.Errorf("%s: %q", tc.name, head)
		}
	}
}

// What was true of the answer race on sockets holds step by step: one final answer, whatever comes after.
func TestOneFinalAnswerHoweverOrdersAndAttemptsRace(t *testing.T) {
	backends := testBackends()
	const line = "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n"
	for _, tc := range []struct {
		name string
		play func(f *Session, a *Attempt) (answers int)
	}{
		{"refused, then UP", func(f *Session, a *Attempt) (answers int) {
			answers += count(f.Execute(0, Command{Answer: "BUSY\r\n"}))
			late := f.AttemptDone(0, a, nil)
			if !late.CloseBackend || late.Event.Result.Status != balance.StatusCancelled {
				answers = -9
			}
			return answers + count(late)
		}},
		{"UP, then refused", func(f *Session, a *Attempt) int {
			return count(f.AttemptDone(0, a, nil)) + count(f.Execute(0, Command{Answer: "BUSY\r\n"}))
		}},
		{"BYE, then refused", func(f *Session, a *Attempt) int {
			_, fail := a.ReadAnswer([]byte("BYE\r\n"))
			return count(f.AttemptDone(0, a, fail)) + count(f.Execute(0, Command{Answer: "BUSY\r\n"}))
		}},
		{"failed twice over", func(f *Session, _ *Attempt) int {
			return count(f.Execute(0, Command{Answer: protocol.AnswerFailed})) + count(f.Execute(0, Command{Answer: protocol.AnswerFailed}))
		}},
		{"spoke too early, then UP", func(f *Session, a *Attempt) int { return count(f.ClientClosed(true)) + count(f.AttemptDone(0, a, nil)) }},
	} {
		f := openSession(t, 1, line)
		a := f.Execute(time.Second, Command{Backend: backends[0], Deadline: 2 * time.Second}).Attempt
		if again := f.Execute(time.Second, Command{Backend: backends[1], Deadline: 2 * time.Second}); again.Attempt != nil {
			t.Errorf("%s: a second attempt while the first is out", tc.name)
		}
		if _, fail := a.Connected(time.Second); fail != nil {
			t.Fatal(fail)
		}
		if got := tc.play(f, a); got != 1 {
			t.Errorf("%s: %d final answers", tc.name, got)
		}
		if f.AwaitsCommands() && !f.attemptPending {
			t.Errorf("%s: the flow still waits", tc.name)
		}
	}
}

// count is the number of final answers in what a driver is told to do.
func count(d Actions) (n int) {
	if d.Answer != "" {
		n++
	}
	if d.Establish {
		n++
	}
	return n
}

// Who lay in the accept queue while others were heard has been waiting since before any clock of the relay's saw it: its
// patience counts from when the queue began to fill, half a second at most. An acceptor that finds nobody has an empty queue.
func TestPatienceCountsInTheAcceptQueue(t *testing.T) {
	l := handshake.NewPool(1)
	now := time.Second
	enter := func(conn string) *handshake.Connection {
		for {
			in, _, wait := l.Add(now, conn)
			if now += wait; in != nil {
				return in
			}
		}
	}
	came := func(g *handshake.Connection, after time.Duration) time.Duration {
		f := newTestSession(1)
		f.Accepted(g)
		if _, err := f.ReadHandshake(now+after, []byte("OPEN 0000000000000009 0000000000000009 c=chat,d=1000\r\n"), true); err != nil {
			t.Fatal(err)
		}
		return now + after - f.ArrivedAt
	}
	for i, want := range []time.Duration{0, 30 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond} {
		if got := came(enter("a silent one"), 0); got != want {
			t.Errorf("number %d in the queue counts from %v before it was heard, %v is due", i, got, want)
		}
	}
	if got := came(enter("slow to speak"), handshake.EvictionGrace); got != 0 {
		t.Errorf("what was sent after its connection was taken in counts from %v before", got)
	}
	for range 30 {
		enter("a silent one")
	}
	if got := came(enter("long"), 0); got != handshake.MaxQueueTime {
		t.Errorf("after a second of crowd: %v", got)
	}
	now += handshake.EvictionGrace
	if got := came(enter("later"), 0); got != 0 {
		t.Errorf("with an empty queue again: %v", got)
	}
}
