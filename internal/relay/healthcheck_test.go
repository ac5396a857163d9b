package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/fake"
)

// A second answer comes some milliseconds late on a kept connection: it is not taken for the next question's.
func TestHealthChecker_LateAnswerNotTakenForNext(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		extra string
		end   bool
	}{{"in the same segment", "PONG x0=0.9\r\n", false}, {"half a line", "PON", false}, {"and the end", "PONG x0=0.9\r\n", true},
		{"the end alone", "", true}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScriptedBackend(t)
			r, _, a := newAttempt(t, s.listener.Addr().String(), testTimeout)
			s.answerHealthCheck(r)
			p := r.healthChecks
			defer p.closeAll()
			for range 2 {
				done := make(chan balance.HealthCheckResult, 1)
				go func() { done <- p.check(a.Backend) }()
				c := s.accept()
				c.expectLine("STATS")
				c.write("PONG x0=0.25\r\n" + tc.extra)
				if rep := <-done; rep.Status != balance.StatusOK || len(rep.Load) != 1 || rep.Load[0] != 0.25 {
					t.Fatalf("%+v", rep)
				}
				if tc.end {
					_ = c.Close()
				}
				t.Cleanup(func() { // one question was asked on it
					if b, _ := io.ReadAll(c.reader); len(b) != 0 {
						t.Errorf("asked again on a spent connection: %q", b)
					}
				})
			}
		})
	}
}

// A kept probe connection that its backend has closed since is no answer: the probe goes out anew.
func TestHealthChecker_RetriesOnClosedIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan struct{}, 4)
	go func() { // answers one question a connection
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if ask, _ := bufio.NewReader(c).ReadString('\n'); ask == "STATS\r\n" {
				_, _ = io.WriteString(c, "PONG x0=0.25\r\n")
			}
			_ = c.Close()
			closed <- struct{}{}
		}
	}()
	r, _, a := newAttempt(t, l.Addr().String(), testTimeout)
	p, b := r.healthChecks, a.Backend
	defer p.closeAll()
	for range 2 {
		rep := p.check(b)
		if rep.Status != balance.StatusOK || len(rep.Load) != 1 || rep.Load[0] != 0.25 {
			t.Errorf("%+v", rep)
		}
		<-closed
	}
	_ = l.Close()
	if rep := p.check(b); rep.Status != balance.StatusConnectFailed {
		t.Errorf("nobody listens: %+v", rep)
	}
}

// Where no connection is to be had a probe says nothing of the backend; a kept one gives way first.
func TestHealthChecker_AbandonsWithoutFreeConnection(t *testing.T) {
	hold := make(chan struct{})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	accepted := make(chan struct{})
	go func() {
		c, err := silent.Accept()
		if err != nil {
			return
		}
		close(accepted)
		<-hold
		_ = c.Close()
	}()
	b := &fake.Backend{LoadReport: "x0=0.5"}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	entries := []fake.Endpoint{}
	for id, addr := range []string{b.Addr(), silent.Addr().String(), b.Addr()} {
		entries = append(entries, fake.Endpoint{ID: fmt.Sprint(id), Addr: addr, Zone: "east", State: "ready", Weight: 1})
	}
	cfg := testConfig("127.0.0.1:9", entries...)
	cfg.Settings.DialTimeout = testTimeout
	r, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer r.listener.Close()
	p, to := newHealthChecker(r, 1), r.controller.Backends()
	defer p.closeAll()
	if rep := p.check(to[0]); rep.Status != balance.StatusOK || p.checker.Connections() != 1 {
		t.Fatalf("%+v with %d connections", rep, p.checker.Connections())
	}
	done := make(chan balance.HealthCheckResult, 1)
	go func() { done <- p.check(to[1]) }() // takes the kept one's place
	<-accepted
	if rep := p.check(to[2]); rep.Status != balance.StatusAbandoned {
		t.Errorf("%+v", rep)
	}
	close(hold)
	if rep := <-done; rep.Status != balance.StatusReset || p.checker.Connections() != 0 {
		t.Errorf("%+v with %d connections", rep, p.checker.Connections())
	}
}
