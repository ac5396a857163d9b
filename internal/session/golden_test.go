package session

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

var goldenStatuses = map[balance.Status]string{balance.StatusOK: "ok", balance.StatusError: "error", balance.StatusOverloaded: "full", balance.StatusTimeout: "timeout",
	balance.StatusConnectFailed: "connect failed", balance.StatusReset: "reset", balance.StatusCancelled: "cancelled", balance.StatusAbandoned: "moot"}

func goldenLedger() *metrics.Registry {
	l := &metrics.Registry{}
	l.SetClasses(names.ClassNames)
	return l
}

// What clients are answered, and how attempts and sessions end, is as it was.
func TestSession_Golden(t *testing.T) {
	var out strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }

	say("# answers to clients")
	say("failed %q", protocol.AnswerFailed)
	for _, d := range []time.Duration{-time.Second, 0, 1, time.Millisecond, time.Millisecond + 1, 250 * time.Millisecond, 1500 * time.Millisecond, time.Hour} {
		say("busy for %v %q", d, protocol.BusyAnswer(d))
	}
	for _, s := range []settings.Settings{{}, {Settings: balance.Settings{RetryAfter: true, MaxRetryAfter: 300 * time.Millisecond}},
		{Settings: balance.Settings{RetryAfter: true, MaxRetryAfter: time.Minute}}} {
		say("held off, told %v, at most %v: %q", s.RetryAfter, s.MaxRetryAfter, protocol.BusyAnswer(RetryAfter(&s)))
	}
	for _, ready := range []bool{true, false} {
		for _, line := range []string{"PING\r\n", "STATS\r\n"} {
			g, err := New(1, names, goldenLedger()).ReadHandshake(0, []byte(line), ready)
			say("%q, ready %v: %q, %d bytes, %v", line, ready, g.Reply, g.Consumed, err)
		}
	}
	f, pings := New(1, names, goldenLedger()), 0
	for {
		if _, err := f.ReadHandshake(0, []byte("PING\r\n"), true); err != nil {
			say("after %d probes: %v", pings, err)
			break
		}
		pings++
	}
	_, err := New(1, names, goldenLedger()).ReadHandshake(0, []byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1500\r\nhello\r\n"), true)
	say("sent on: %v", err)
	for _, tc := range []struct {
		how  EndKind
		seen int
	}{{EndTimeout, 0}, {EndFIN, 0}, {EndFIN, 3}, {EndReset, 3}} {
		say("ended %v with %d bytes: %v", map[EndKind]string{EndTimeout: "by time", EndFIN: "by FIN", EndReset: "by reset"}[tc.how], tc.seen, f.HandshakeEnded(tc.how, tc.seen))
	}

	say("# a flow's last lines, by what the backend said first")
	flow := func() (*Session, *Attempt) {
		f := New(7, names, goldenLedger())
		g, err := f.ReadHandshake(0, []byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=order,d=1500.5,new=x\r\n"), true)
		if err != nil || !g.Opened {
			t.Fatal(g, err)
		}
		b := &upstream.Backend{ID: 9, Name: "s-9"}
		return f, f.Execute(0, Command{Backend: b, Deadline: 1234567 * time.Microsecond}).Attempt
	}
	for _, line := range []string{"UP r\r\n", "BYE\r\n", "BUSY 20\r\n", "BUSY utilization=0.5,x0=1\r\n", "ERR\r\n", "MOVE\r\n", "SYNTAX\r\n", "WHAT\r\n", "UP\n"} {
		f, a := flow()
		head, fail := a.Connected(0)
		if fail != nil {
			t.Fatal(fail)
		}
		n, fail := a.ReadAnswer([]byte(line))
		do := f.AttemptDone(time.Millisecond, a, fail)
		said := "it stands"
		if fail != nil {
			said = fail.Error()
		}
		say("%q sent, %q back: %d bytes, %s; %s, load %v, stand %v, answer %q", string(head[0])+string(head[1])+string(head[2]), line, n, said,
			goldenStatuses[do.Event.Result.Status], do.Event.Result.Load, do.Establish, do.Answer)
	}
	f, _ = flow()
	say("left %q", f.ClientClosed(false).Answer)
	f, _ = flow()
	do := f.ClientClosed(true)
	say("sent on %q, %v", do.Answer, do.ClientError)
	f, a := flow()
	if _, fail := a.Connected(2 * time.Second); fail != nil {
		say("too late: %v", fail)
	}
	a.Backend.SetState(1, balance.StateDraining)
	a.settings = &settings.Settings{}
	if _, fail := a.Connected(time.Second); fail != nil {
		say("drained: %v", fail)
	}
	for _, fail := range []*AttemptError{a.DialFailed(errors.New("cause"), false), a.ConnectionEnded(0, false, errors.New("cause"), false),
		a.ConnectionEnded(12, false, errors.New("cause"), false), a.ConnectionEnded(0, true, errors.New("cause"), true), a.ConnectionEnded(0, true, errors.New("cause"), false)} {
		say("%v: %s", fail, goldenStatuses[fail.Status()])
	}
	v, now := f.AtLineBoundary()
	say("to move %v: %q, %s", now, v.LastLine, goldenStatuses[v.Status])
	f.Migrate()
	v, now = f.AtLineBoundary()
	say("to move %v: %q, %s", now, v.LastLine, goldenStatuses[v.Status])
	f.BackendBlocked()
	v, now = f.CheckIdle(0)
	say("silent %v: %q, %s", now, v.LastLine, goldenStatuses[v.Status])
	golden(t, "sessions.txt", out.String())
}
