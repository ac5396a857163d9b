package controller

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
)

// class makes a class with an effect.
func class(effect balance.Idempotency) balance.Class {
	return balance.Class{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second, MessageLatencyObjective: 60 * time.Millisecond, Idempotency: effect}
}

// with is the test's configuration with other classes and attempts.
func with(names []string, classes []balance.Class, attempts int) Config {
	cfg := testConfig()
	cfg.Settings.ClassNames, cfg.Settings.Classes, cfg.Settings.MaxAttempts = names, classes, attempts
	return cfg
}

// fails has the attempt that is out end so that it may have run, and returns what the flow is told then.
func fails(n *Controller, h *host, f *session.Session, now time.Duration) session.Command {
	orders := h.orders[f.Seq]
	do := f.Execute(now, orders[len(orders)-1])
	_, fail := do.Attempt.ReadAnswer([]byte("ERR\r\n"))
	n.SessionEvent(now, f.Seq, f.AttemptDone(now, do.Attempt, fail).Event)
	after := h.orders[f.Seq][len(orders):]
	if len(after) != 1 {
		return session.Command{}
	}
	if after[0].Answer != "" {
		f.Execute(now, after[0])
	}
	return after[0]
}

func opensAs(t *testing.T, n *Controller, seq uint64, name string) *session.Session {
	t.Helper()
	f := greeted(t, n, seq, fmt.Sprintf("OPEN %016x %016x c=%s,d=1000\r\n", seq, seq, name))
	n.SessionOpened(time.Second, f)
	return f
}

// A request goes by the rules that it was taken under, through its retries: one of a safe class is sent again though
// the class is unsafe or gone by now, one of an unsafe class is not though the class is safe by now.
func TestARequestKeepsTheRulesThatItWasTakenUnder(t *testing.T) {
	names := []string{"look", "act"}
	n, h := node(t, with(names, []balance.Class{class(balance.Idempotent), class(balance.NonIdempotent)}, 4))
	for seq := uint64(100); seq < 130; seq++ { // they earn further attempts
		opensAs(t, n, seq, "look")
	}
	stands := func(seq uint64) { // or failures alone would space attempts out
		n.SessionEvent(time.Second, seq, session.Event{Kind: session.Established, Result: balance.AttemptResult{ID: seq, Latency: time.Millisecond}})
	}
	look, act, gone := opensAs(t, n, 1, "look"), opensAs(t, n, 2, "act"), opensAs(t, n, 3, "look")
	if err := n.Reload(time.Second, with(names, []balance.Class{class(balance.NonIdempotent), class(balance.Idempotent)}, 4), 256); err != nil {
		t.Fatal(err)
	}
	if o := fails(n, h, look, time.Second); o.Backend == nil {
		t.Errorf("a safe request is not sent again: %+v", o)
	}
	if o := fails(n, h, act, time.Second); o.Answer != protocol.AnswerFailed {
		t.Errorf("an unsafe request has %+v", o)
	}
	if err := n.Reload(time.Second, with(names[1:], []balance.Class{class(balance.Idempotent)}, 4), 256); err != nil {
		t.Fatal(err)
	}
	stands(100)
	if o := fails(n, h, gone, time.Second); o.Backend == nil {
		t.Errorf("a request of a dropped class is not sent again: %+v", o)
	}
	if _, err := session.New(9, n.Settings(), n.Metrics()).ReadHandshake(time.Second, []byte("OPEN 0000000000000009 0000000000000009 c=look,d=1000\r\n"), true); err == nil {
		t.Error("a dropped class is still taken")
	}
	stands(101)
	if o := fails(n, h, opensAs(t, n, 10, "act"), time.Second); o.Backend == nil && o.Answer == protocol.AnswerFailed {
		t.Errorf("a request under the new rules, which may be repeated, has %+v", o)
	}
	var counted []string
	for _, c := range n.Metrics().Snapshot().Classes {
		counted = append(counted, fmt.Sprint(c.Name, c.Error))
	}
	if !slices.Equal(counted, []string{"look0", "act1"}) {
		t.Errorf("counted are %v", counted)
	}
}

// Attempts lowered below those used end nothing early: the request has as many as it began with, the next one fewer.
func TestLoweredAttemptsAreForTheNextRequests(t *testing.T) {
	names, classes := []string{"chat"}, []balance.Class{class(balance.Idempotent)}
	n, h := node(t, with(names, classes, 3))
	for seq := uint64(100); seq < 130; seq++ { // they earn further attempts
		opensAs(t, n, seq, "chat")
	}
	f := opensAs(t, n, 1, "chat")
	if o := fails(n, h, f, time.Second); o.Backend == nil {
		t.Fatalf("%+v", o)
	}
	if err := n.Reload(time.Second, with(names, classes, 1), 256); err != nil {
		t.Fatal(err)
	}
	if o := fails(n, h, f, time.Second); o.Backend == nil {
		t.Errorf("the third attempt is not made: %+v", o)
	}
	if o := fails(n, h, opensAs(t, n, 2, "chat"), time.Second); o.Backend != nil {
		t.Error("a request under the new settings is sent twice")
	}
}

// Classes that come and go, in any order, keep their numbers as long as they are the same; what changes for ever is
// refused in the end, and nothing of that file is taken.
func TestClassesKeepTheirNumbers(t *testing.T) {
	n, _ := node(t, with([]string{"a", "b"}, []balance.Class{class(balance.Idempotent), class(balance.NonIdempotent)}, 4))
	table, _ := routing.NewTable([]routing.Route{{Name: "r", Match: routing.Match{Class: 0, Tenant: routing.Any, Zone: routing.Any, Protocol: routing.Any}}})
	cfg := with([]string{"b", "a"}, []balance.Class{class(balance.NonIdempotent), class(balance.Idempotent)}, 4)
	cfg.Routes = table
	for range 5 {
		if err := n.Reload(time.Second, cfg, 256); err != nil {
			t.Fatal(err)
		}
		if err := n.Reload(time.Second, with([]string{"a"}, []balance.Class{class(balance.Idempotent)}, 4), 256); err != nil {
			t.Fatal(err)
		}
	}
	if err := n.Reload(time.Second, cfg, 256); err != nil || !slices.Equal(n.Settings().ClassNames, []string{"a", "b"}) {
		t.Errorf("%v, %v", n.Settings().ClassNames, err)
	}
	if r := n.Config().Routes.Lookup(routing.Request{Class: 1}); r == nil || n.Config().Routes.Lookup(routing.Request{Class: 0}) != nil {
		t.Error("the route of class b is not found by b's number")
	}
	var refused error
	for i := 0; refused == nil && i < 2*settings.MaxClasses; i++ {
		c := class(balance.Idempotent)
		c.PriorityWeight = float64(i + 2)
		refused = n.Reload(time.Second, with([]string{"a"}, []balance.Class{c}, 2), 256)
	}
	if refused == nil || len(n.Settings().Classes) > settings.MaxClasses {
		t.Errorf("%d classes, %v", len(n.Settings().Classes), refused)
	}
	if limit := (*settings.ClassLimitError)(nil); !errors.As(refused, &limit) || limit.Count <= settings.MaxClasses {
		t.Errorf("%v is no error of the class limit", refused)
	}
}

// Loads and remembered places outlast a reload, and a relay's place among the others waits for a restart.
func TestAReloadForgetsNothing(t *testing.T) {
	n, h := node(t, with([]string{"chat"}, []balance.Class{class(balance.Idempotent)}, 4))
	for seq := uint64(1); seq <= 10; seq++ {
		standsAt(t, n, h, seq, time.Second)
	}
	cfg := with([]string{"other", "chat"}, []balance.Class{class(balance.NonIdempotent), class(balance.Idempotent)}, 4)
	cfg.Settings.RelayCount, cfg.Settings.ZoneNames = 9, []string{"west"}
	if err := n.Reload(time.Second, cfg, 256); err != nil {
		t.Fatal(err)
	}
	if all, by := n.Balancer().Connections(); all != 10 || by != 10 || n.Settings().RelayCount != 2 || n.Settings().ZoneNames[0] != "east" {
		t.Errorf("T counts %d, %d; %+v", all, by, n.Settings())
	}
	for seq := uint64(11); seq <= 14; seq++ {
		opensAs(t, n, seq, "other")
	}
	if all, by := n.Balancer().Connections(); all != 14 || by != 14 {
		t.Errorf("T counts %d, %d", all, by)
	}
}
