package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestServe_RelaysLinesUnchanged(t *testing.T) {
	b := &fake.Backend{}
	p, _, _ := serving(t, setup{}, b)
	line := open(",r=1,again=1,x-new=1")
	c := p.up(line)
	c.say("hello", "PING", "MOVE along")
	c.hear("echo hello")
	c.hear("echo PING")
	c.hear("echo MOVE along")
	b.Broadcast("LOAD 12.5", "BYE", "")
	c.hear("LOAD 12.5")
	c.hear("BYE")
	c.ends()
	got := b.OpenLines()
	if len(got) != 1 {
		t.Fatalf("the backend saw %q", got)
	}
	m := regexp.MustCompile(`,d=(\d+),`).FindStringSubmatch(got[0])
	if m == nil {
		t.Fatalf("no d in %q", got[0])
	}
	if left, _ := strconv.Atoi(m[1]); left < 1000 || left > 2000 {
		t.Errorf("%d ms left of 2000", left)
	}
	if strings.Replace(got[0], m[0], ",d=2000,", 1) != line {
		t.Errorf("the backend saw %q of %q", got[0], line)
	}
}

func TestServe_PropagatesCloseAndReset(t *testing.T) {
	seen := make(chan error, 2)
	p := raw(t, func(c net.Conn, in *bufio.Reader) {
		_, err := in.ReadString('\n')
		seen <- err
	})
	for _, reset := range []bool{false, true} {
		c := p.dial()
		c.say(open(""))
		c.hear("UP here")
		if reset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
		select {
		case err := <-seen:
			if reset == errors.Is(err, io.EOF) {
				t.Errorf("client reset %v, the backend saw %v", reset, err)
			}
		case <-time.After(patience):
			t.Fatal("the backend's connection stays open")
		}
	}
}

func TestServe_MovesClientOfStalledBackend(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	p := raw(t, func(c net.Conn, in *bufio.Reader) { <-done })
	c := p.dial()
	c.say(open(""))
	c.hear("UP here")
	go func() { // until the connection ends
		for line := strings.Repeat("x", 4000) + "\r\n"; ; {
			if _, err := io.WriteString(c, line); err != nil {
				return
			}
		}
	}()
	c.hear("MOVE")
}

func TestServe_SlowReaderStallsOnlyItsOwnSession(t *testing.T) {
	p := raw(t, func(c net.Conn, in *bufio.Reader) {
		for {
			l, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if l == "flood\r\n" {
				l = strings.Repeat(strings.Repeat("y", 1000)+"\r\n", 20000)
			}
			_, _ = io.WriteString(c, l)
		}
	})
	slow := p.dial()
	slow.say(open(""))
	slow.hear("UP here")
	slow.say("flood")
	c := p.dial()
	c.say(open(""))
	c.hear("UP here")
	for i := range 100 {
		asked := time.Now()
		c.say(strconv.Itoa(i))
		c.hear(strconv.Itoa(i))
		if took := time.Since(asked); took > time.Second {
			t.Fatalf("a line took %v", took)
		}
	}
	n := 0
	for range 20000 { // and what was held up is all there
		l, err := slow.in.ReadString('\n')
		if err != nil || len(l) != 1002 {
			t.Fatalf("%d bytes and %v after %d lines", len(l), err, n)
		}
		n++
	}
}

func TestServe_MigratesClientsOffDrainingBackend(t *testing.T) {
	a, b := &fake.Backend{}, &fake.Backend{}
	p, d, list := serving(t, setup{}, a, b)
	var at []*client
	for range 8 {
		c := p.up(strings.Replace(open(""), "7f3a9c21e0b4d655", fmt.Sprintf("%016x", lastID*7919), 1))
		before := len(a.OpenLines())
		if before > len(at) {
			at = append(at, c)
		}
	}
	if len(at) == 0 {
		t.Fatal("none of 8 keys has the first backend as its home")
	}
	list[0].State = "draining"
	d.SetEndpoints(list...)
	for _, c := range at {
		c.hear("MOVE")
		c.ends()
	}
	was := len(a.OpenLines())
	for range 8 {
		p.up(strings.Replace(open(""), "7f3a9c21e0b4d655", fmt.Sprintf("%016x", lastID*7919), 1))
	}
	if n := len(a.OpenLines()); n != was {
		t.Errorf("%d connections to a draining backend", n-was)
	}
}

func TestServe_MovesClientOfUnresponsiveBackend(t *testing.T) {
	b := &fake.Backend{}
	p, _, _ := serving(t, setup{}, b)
	c := p.up(open(""))
	b.StopResponding()
	asked := time.Now()
	c.say("anyone?")
	c.hear("MOVE")
	c.ends()
	if took := time.Since(asked); took > 6*time.Second {
		t.Errorf("moved after %v", took)
	}
}

func TestServe_ReconnectsSessionToItsBackend(t *testing.T) {
	a, b := &fake.Backend{}, &fake.Backend{}
	p, _, _ := serving(t, setup{mode: "pass"}, a, b)
	for i, want := range []*fake.Backend{a, b, a, b} {
		before := len(want.OpenLines())
		line := open(",at=s-" + strconv.Itoa(i%2))
		p.up(line)
		if len(want.OpenLines()) != before+1 {
			t.Errorf("%q went elsewhere", line)
		}
	}
}

// A backend closes on what it cannot read. That says nothing of the backend: nobody else is moved off it.
func TestServe_ResetCausedByClientDoesNotEjectBackend(t *testing.T) {
	p := raw(t, func(c net.Conn, in *bufio.Reader) {
		for {
			l, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if l == "junk\r\n" {
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.WriteString(c, l)
		}
	})
	up := func() *client {
		c := p.dial()
		c.say(open(""))
		c.hear("UP here")
		return c
	}
	var others []*client
	for range 8 {
		others = append(others, up())
	}
	for range 3 {
		c := up()
		c.say("junk")
		if _, err := c.in.ReadString('\n'); err == nil {
			t.Fatal("the connection goes on")
		}
		for range 20 {
			for _, o := range others {
				o.say("still")
				o.hear("still")
			}
		}
	}
}
