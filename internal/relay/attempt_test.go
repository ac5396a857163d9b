package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/fake"
)

// A dial succeeds long after its backend has begun to drain or has left the endpoint list: no byte is sent there.
func TestAttempt_DialOutlastingDrainSendsNothing(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"draining", "gone"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			d := newScriptedDiscovery(t)
			addr, emptyQueue := listenFullQueue(t)
			entry := fake.Endpoint{ID: "s-0", Addr: addr, Zone: "east", State: "ready", Weight: 1}
			cfg := plainConfig(d.address(), entry)
			cfg.Settings.DialTimeout, cfg.Settings.DrainGrace = time.Minute, 20*time.Millisecond // SYNs after 1, 3, 7 and 15 s
			r, _, _ := startRelay(t, cfg)
			d.nextRequest().respond(fake.EncodeList(1, []fake.Endpoint{entry}))
			c := openSession(t, r, 1, "")
			eventually(t, "the balancer counts the connection", r.connectionCountIs(1))
			eventually(t, "the dial is pending", dialIsPending(t, addr))
			d.nextRequest().respond(encodeChange(2, "s-0", state))
			eventually(t, "the change is applied", func() bool {
				return onEventLoop(r, func() bool {
					listed, avoided := r.controller.Balancer().CountUnavailable(r.now())
					return listed == avoided
				})
			})
			received := make(chan string, 1)
			go func() {
				line, err := c.reader.ReadString('\n')
				received <- fmt.Sprint(line, err)
			}()
			l := emptyQueue()
			_ = l.SetDeadline(time.Now().Add(2 * testTimeout))
			conn, err := l.AcceptTCP()
			if err != nil {
				t.Fatalf("the dial did not succeed: %v; its client received %q", err, <-received)
			}
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			(&backendConn{conn, t, bufio.NewReader(conn)}).expectClosed()
			_ = conn.Close()
		})
	}
}

// Whether a request is retried depends on how its backend ended the attempt and on the request's idempotency.
func TestAttempt_RetriedOnlyWhereAllowed(t *testing.T) {
	t.Parallel()
	reset := func(c *backendConn) { _ = c.SetLinger(0); _ = c.Close() }
	for _, tc := range []struct {
		name       string
		act        func(c *backendConn)
		mayHaveRun bool
	}{
		{"reset after the line", func(c *backendConn) { c.expectLine("OPEN"); reset(c) }, true},
		{"FIN after the line", func(c *backendConn) { c.expectLine("OPEN"); _ = c.Close() }, true},
		{"reset inside UP", func(c *backendConn) { c.expectLine("OPEN"); c.write("UP i"); reset(c) }, true},
		{"FIN inside UP", func(c *backendConn) { c.expectLine("OPEN"); c.write("UP i"); _ = c.Close() }, true},
		{"ERR and then UP", func(c *backendConn) { c.expectLine("OPEN"); c.write("ERR\r\nUP it\r\n") }, true},
		{"an endless answer line", func(c *backendConn) {
			c.expectLine("OPEN")
			for {
				if _, err := io.WriteString(c, strings.Repeat("U", 512)); err != nil {
					return
				}
			}
		}, true},
		{"BUSY", func(c *backendConn) { c.expectLine("OPEN"); c.write("BUSY\r\n") }, false},
		{"BUSY and then UP", func(c *backendConn) { c.expectLine("OPEN"); c.write("BUSY\r\nUP it\r\n") }, false},
	} {
		for _, idempotency := range []balance.Idempotency{balance.Idempotent, balance.IdempotentWithKey, balance.NonIdempotent} {
			t.Run(fmt.Sprint(tc.name, " ", idempotency), func(t *testing.T) {
				t.Parallel()
				eastBackend, westBackend := newScriptedBackend(t), newScriptedBackend(t)
				cfg := plainConfig("127.0.0.1:9", eastBackend.endpoint("s-0"), westBackend.endpoint("s-1"))
				// The other backend is outside the deduplication scope: a keyed request that may have run is not retried there.
				cfg.Settings.ZoneNames = []string{"east", "west"}
				list := []fake.Endpoint{eastBackend.endpoint("s-0"), westBackend.endpoint("s-1")}
				list[1].Zone = "west"
				cfg.CachedEndpoints = fake.EncodeList(1, list)
				cfg.Settings.Classes[0].Idempotency, cfg.Settings.Classes[0].DedupScope = idempotency, balance.ScopeZone
				cfg.Settings.Classes[0].DedupWindow, cfg.Settings.Classes[0].ClientTimeout = time.Minute, 9*time.Second
				r, _, _ := startRelay(t, cfg)
				c := openSession(t, r, 1, "")
				conns := make(chan *backendConn, 4)
				for _, s := range []*scriptedBackend{eastBackend, westBackend} {
					go func() {
						for {
							c, err := s.listener.AcceptTCP()
							if err != nil {
								return
							}
							_ = c.SetDeadline(time.Now().Add(testTimeout))
							conns <- &backendConn{c, t, bufio.NewReader(c)}
						}
					}()
				}
				nextConn := func() *backendConn {
					select {
					case c := <-conns:
						return c
					case <-time.After(testTimeout):
						t.Fatalf("no attempt reached a backend within %v", testTimeout)
						return nil
					}
				}
				firstConn := nextConn()
				tc.act(firstConn)
				if tc.mayHaveRun && idempotency != balance.Idempotent {
					c.expectLine("ERR")
					c.expectEOF()
				} else {
					secondConn := nextConn()
					_, _ = io.Copy(io.Discard, firstConn.reader) // the first attempt ends before the second begins
					secondConn.expectLine("OPEN")
					secondConn.write("UP it\r\nmore\r\n") // in one segment
					c.expectLine("UP it")
					c.expectLine("more")
				}
				_ = c.Close()
				eventually(t, "no session is counted", func() bool { return r.hasNoSessions(t) })
				if len(conns) != 0 {
					t.Errorf("%d more attempts, want none", len(conns))
				}
			})
		}
	}
}

func TestAttempt_Result(t *testing.T) {
	b := &fake.Backend{}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	for _, tc := range []struct {
		name      string
		addr      string
		timeout   time.Duration
		want      balance.Status
		openLines int
	}{
		{"ready", b.Addr(), testTimeout, balance.StatusOK, 1},
		{"no time left", b.Addr(), 0, balance.StatusConnectFailed, 0},
		{"connection refused", unusedAddress(t), testTimeout, balance.StatusConnectFailed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := len(b.OpenLines())
			r, state, a := newAttempt(t, tc.addr, tc.timeout)
			backend, length, failure := r.attempt(context.Background(), newWaitingClient(t), a)
			if backend != nil {
				line, _ := backend.reader.R.Peek(length)
				if string(line) != "UP 0000000000000001\r\n" {
					t.Errorf("the attempt read %q", line)
				}
				_ = backend.conn.Close()
			}
			if got := state.AttemptDone(r.now(), a, failure).Event.Result.Status; got != tc.want || len(b.OpenLines())-before != tc.openLines {
				t.Errorf("%v (%v) and %d OPEN lines, want %v and %d", got, failure, len(b.OpenLines())-before, tc.want, tc.openLines)
			}
		})
	}
}

func TestAttempt_Cancelled(t *testing.T) {
	received := make(chan struct{}, 1)
	b := &fake.Backend{Answer: func(string) []string { received <- struct{}{}; return nil }}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	r, state, a := newAttempt(t, b.Addr(), testTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	_, _, failure := r.attempt(ctx, newWaitingClient(t), a)
	if got := state.AttemptDone(r.now(), a, failure).Event.Result.Status; got != balance.StatusCancelled {
		t.Errorf("%v (%v), want %v", got, failure, balance.StatusCancelled)
	}
}
