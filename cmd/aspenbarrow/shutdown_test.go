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
	var standing []*client
	for range 5 {
		c := process.dial()
		c.send(openRequest(""))
		c.expect("UP it")
		standing = append(standing, c)
	}
	pending := process.dial()
	pending.send(openRequest(",slow=1"))
	if err := process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	late := process.dial() // the front goes on sending for a while
	late.send(openRequest(""))
	late.expect("UP it")
	pending.expect("UP it")
	for _, c := range append(standing, pending, late) {
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
	waits := process.dial()
	waits.send(openRequest(",held=1"))
	waitFor(t, "it is sent", func() bool { return len(backend.OpenLines()) == 2 })
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := process.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	process.waitForLog("configuration reloaded", 1)
	process.waitForLog(`"msg":"graceful shutdown started"`, 1)
	close(hold)
	waits.expect("UP it")
	for _, c := range []*client{c, waits} {
		c.expect("MOVE")
		c.expectClosed()
	}
	if err := process.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if n := strings.Count(process.log.String(), `"msg":"graceful shutdown started"`); n != 1 {
		t.Errorf("left %d times", n)
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
