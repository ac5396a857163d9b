package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestShutdown_AnswersPendingRequestsAndMovesSessions(t *testing.T) {
	backend := &fake.Backend{Answer: func(open string) []string {
		if strings.Contains(open, "slow=1") {
			<-time.After(700 * time.Millisecond)
		}
		return []string{"UP it"}
	}}
	process, _, _ := startWithBackends(t, processOptions{}, backend)
	var sessions []*client
	for range 5 {
		c := process.dial()
		c.send(openRequest(""))
		c.expect("UP it")
		sessions = append(sessions, c)
	}
	pending := process.dial()
	pending.send(openRequest(",slow=1"))
	if err := process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	late := process.dial() // the platform sends new clients for a while
	late.send(openRequest(""))
	late.expect("UP it")
	pending.expect("UP it")
	for _, c := range append(sessions, pending, late) {
		c.expect("MOVE")
		c.expectClosed()
	}
	if err := process.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestShutdown_RepeatedSignalsDoNotInterrupt sends SIGTERM and SIGHUP during a graceful shutdown: sessions are
// migrated and pending requests answered as after the first signal.
func TestShutdown_RepeatedSignalsDoNotInterrupt(t *testing.T) {
	hold := make(chan struct{})
	backend := &fake.Backend{Answer: func(open string) []string {
		if strings.Contains(open, "held=1") {
			<-hold
		}
		return []string{"UP it"}
	}}
	process, _, _ := startWithBackends(t, processOptions{}, backend)
	c := process.dial()
	c.send(openRequest(""))
	c.expect("UP it")
	pending := process.dial()
	pending.send(openRequest(",held=1"))
	waitFor(t, "the request is sent", func() bool { return len(backend.OpenLines()) == 2 })
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := process.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	process.waitForLog(logReloaded, 1)
	process.waitForLog(logShutdownStarted, 1)
	close(hold)
	pending.expect("UP it")
	for _, c := range []*client{c, pending} {
		c.expect("MOVE")
		c.expectClosed()
	}
	if err := process.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if n := strings.Count(process.log.String(), logShutdownStarted); n != 1 {
		t.Errorf("%d graceful shutdowns started", n)
	}
}

// TestShutdown_KeepsPassThroughSessionsUntilClosed checks that a relay in pass-through mode keeps its sessions after
// SIGTERM.
func TestShutdown_KeepsPassThroughSessionsUntilClosed(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{mode: "pass"}, &fake.Backend{})
	c := process.openSession(openRequest(""))
	if err := process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for told := time.Now(); time.Since(told) < 4*time.Second; {
		c.send("still")
		c.expect("echo still")
	}
	_ = c.Close()
	if err := process.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
