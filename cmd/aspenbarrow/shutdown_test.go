package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestShutdown_AnswersPendingRequestsAndMovesSessions(t *testing.T) {
	b := &fake.Backend{Answer: func(open string) []string {
		if strings.Contains(open, "slow=1") {
			<-time.After(700 * time.Millisecond)
		}
		return []string{"UP it"}
	}}
	p, _, _ := startWithBackends(t, processOptions{}, b)
	var standing []*client
	for range 5 {
		c := p.dial()
		c.send(openRequest(""))
		c.expect("UP it")
		standing = append(standing, c)
	}
	pending := p.dial()
	pending.send(openRequest(",slow=1"))
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	late := p.dial() // the front goes on sending for a while
	late.send(openRequest(""))
	late.expect("UP it")
	pending.expect("UP it")
	for _, c := range append(standing, pending, late) {
		c.expect("MOVE")
		c.expectClosed()
	}
	if err := p.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A second SIGTERM, and a SIGHUP, while the relay leaves end nothing early: who stands is moved, who waits is answered.
func TestShutdown_RepeatedSignalsDoNotInterrupt(t *testing.T) {
	hold := make(chan struct{})
	b := &fake.Backend{Answer: func(open string) []string {
		if strings.Contains(open, "held=1") {
			<-hold
		}
		return []string{"UP it"}
	}}
	p, _, _ := startWithBackends(t, processOptions{}, b)
	c := p.dial()
	c.send(openRequest(""))
	c.expect("UP it")
	waits := p.dial()
	waits.send(openRequest(",held=1"))
	waitFor(t, "it is sent", func() bool { return len(b.OpenLines()) == 2 })
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	p.waitForLog("configuration reloaded", 1)
	p.waitForLog(`"msg":"graceful shutdown started"`, 1)
	close(hold)
	waits.expect("UP it")
	for _, c := range []*client{c, waits} {
		c.expect("MOVE")
		c.expectClosed()
	}
	if err := p.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if n := strings.Count(p.log.String(), `"msg":"graceful shutdown started"`); n != 1 {
		t.Errorf("left %d times", n)
	}
}

// Where packets pass through, a relay that is told to stop goes on for its connections until it is stopped.
func TestShutdown_KeepsPassThroughSessionsUntilClosed(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{mode: "pass"}, &fake.Backend{})
	c := p.openSession(openRequest(""))
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for told := time.Now(); time.Since(told) < 4*time.Second; {
		c.send("still")
		c.expect("echo still")
	}
	_ = c.Close()
	if err := p.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
