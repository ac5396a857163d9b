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

// The dial was allowed; it comes up when its backend has long begun to drain, or is gone: no byte goes there.
func TestAttempt_DialOutlastingDrainSendsNothing(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"draining", "gone"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			d := newScriptedDiscovery(t)
			addr, empty := listenFullQueue(t)
			one := fake.Endpoint{ID: "s-0", Addr: addr, Zone: "east", State: "ready", Weight: 1}
			cfg := plainConfig(d.address(), one)
			cfg.Settings.DialTimeout, cfg.Settings.DrainGrace = time.Minute, 20*time.Millisecond // SYNs after 1, 3, 7 and 15 s
			r, _, _ := startRelay(t, cfg)
			d.nextRequest().respond(fake.EncodeList(1, []fake.Endpoint{one}))
			c := openSession(t, r, 1, "")
			eventually(t, "the balancer counts it", r.connectionCountIs(1))
			eventually(t, "its dial is out", dialIsPending(t, addr))
			d.nextRequest().respond(encodeChange(2, "s-0", state))
			eventually(t, "it is heard", func() bool {
				return onEventLoop(r, func() bool {
					listed, avoided := r.controller.Balancer().CountUnavailable(r.now())
					return listed == avoided
				})
			})
			heard := make(chan string, 1)
			go func() {
				line, err := c.reader.ReadString('\n')
				heard <- fmt.Sprint(line, err)
			}()
			l := empty()
			_ = l.SetDeadline(time.Now().Add(2 * testTimeout))
			late, err := l.AcceptTCP()
			if err != nil {
				t.Fatalf("the dial does not come up: %v; its client heard %q", err, <-heard)
			}
			_ = late.SetDeadline(time.Now().Add(testTimeout))
			(&backendConn{late, t, bufio.NewReader(late)}).expectClosed()
			_ = late.Close()
		})
	}
}

// Whether a request is retried depends on how its backend ended the attempt and on the request's idempotency.
func TestAttempt_RetriedOnlyWhereAllowed(t *testing.T) {
	t.Parallel()
	reset := func(c *backendConn) { _ = c.SetLinger(0); _ = c.Close() }
	for _, tc := range []struct {
		name string
		does func(c *backendConn)
		ran  bool // it may have acted
	}{
		{"reset after the line", func(c *backendConn) { c.expectLine("OPEN"); reset(c) }, true},
		{"FIN after the line", func(c *backendConn) { c.expectLine("OPEN"); _ = c.Close() }, true},
		{"reset inside UP", func(c *backendConn) { c.expectLine("OPEN"); c.write("UP i"); reset(c) }, true},
		{"FIN inside UP", func(c *backendConn) { c.expectLine("OPEN"); c.write("UP i"); _ = c.Close() }, true},
		{"ERR and then UP", func(c *backendConn) { c.expectLine("OPEN"); c.write("ERR\r\nUP it\r\n") }, true},
		{"an answer that never ends", func(c *backendConn) {
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
		for _, effect := range []balance.Idempotency{balance.Idempotent, balance.IdempotentWithKey, balance.NonIdempotent} {
			t.Run(fmt.Sprint(tc.name, " ", effect), func(t *testing.T) {
				t.Parallel()
				one, two := newScriptedBackend(t), newScriptedBackend(t)
				cfg := plainConfig("127.0.0.1:9", one.endpoint("s-0"), two.endpoint("s-1"))
				// The other backend is in another zone: a keyed request that may have run has nowhere to go.
				cfg.Settings.ZoneNames = []string{"east", "west"}
				list := []fake.Endpoint{one.endpoint("s-0"), two.endpoint("s-1")}
				list[1].Zone = "west"
				cfg.CachedEndpoints = fake.EncodeList(1, list)
				cfg.Settings.Classes[0].Idempotency, cfg.Settings.Classes[0].DedupScope = effect, balance.ScopeZone
				cfg.Settings.Classes[0].DedupWindow, cfg.Settings.Classes[0].ClientTimeout = time.Minute, 9*time.Second
				r, _, _ := startRelay(t, cfg)
				c := openSession(t, r, 1, "")
				conns := make(chan *backendConn, 4)
				for _, s := range []*scriptedBackend{one, two} {
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
				next := func() *backendConn {
					select {
					case c := <-conns:
						return c
					case <-time.After(testTimeout):
						t.Fatal("no attempt is made")
						return nil
					}
				}
				first := next()
				tc.does(first)
				if tc.ran && effect != balance.Idempotent {
					c.expectLine("ERR")
					c.expectEOF()
				} else {
					second := next()
					_, _ = io.Copy(io.Discard, first.reader) // its end comes before the next begins
					second.expectLine("OPEN")
					second.write("UP it\r\nmore\r\n") // in one segment
					c.expectLine("UP it")
					c.expectLine("more")
				}
				_ = c.Close()
				eventually(t, "nobody is in the books", func() bool { return r.hasNoSessions(t) })
				if len(conns) != 0 {
					t.Error("an attempt too many")
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
		name string
		addr string
		left time.Duration
		want balance.Status
		sent int
	}{
		{"ready", b.Addr(), testTimeout, balance.StatusOK, 1},
		{"no time left", b.Addr(), 0, balance.StatusConnectFailed, 0},
		{"nobody listens", unusedAddress(t), testTimeout, balance.StatusConnectFailed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			was := len(b.OpenLines())
			r, f, a := newAttempt(t, tc.addr, tc.left)
			l, n, fail := r.attempt(context.Background(), newWaitingClient(t), a)
			if l != nil {
				up, _ := l.reader.R.Peek(n)
				if string(up) != "UP 0000000000000001\r\n" {
					t.Errorf("%q", up)
				}
				_ = l.conn.Close()
			}
			if got := f.AttemptDone(r.now(), a, fail).Event.Result.Status; got != tc.want || len(b.OpenLines())-was != tc.sent {
				t.Errorf("%v (%v), %d sent", got, fail, len(b.OpenLines())-was)
			}
		})
	}
}

func TestAttempt_Cancelled(t *testing.T) {
	seen := make(chan struct{}, 1)
	b := &fake.Backend{Answer: func(string) []string { seen <- struct{}{}; return nil }}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	r, f, a := newAttempt(t, b.Addr(), testTimeout)
	ctx, stop := context.WithCancel(context.Background())
	go func() { <-seen; stop() }()
	_, _, fail := r.attempt(ctx, newWaitingClient(t), a)
	if got := f.AttemptDone(r.now(), a, fail).Event.Result.Status; got != balance.StatusCancelled {
		t.Errorf("%v: %v", got, fail)
	}
}
