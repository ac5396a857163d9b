package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/fake"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/session"
)

func TestSession_ClientGoneBeforeEndpointList(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			b, d := newScriptedBackend(t), newScriptedDiscovery(t)
			r, _, _ := startRelay(t, plainConfig(d.address()))
			first := d.nextRequest()
			c := openSession(t, r, 1, "")
			eventually(t, "it waits", func() bool { return onEventLoop(r, r.controller.SessionCount) == 1 })
			closeAndAwaitCleanup(t, r, c, way.how)
			first.respond(fake.EncodeList(1, []fake.Endpoint{b.endpoint("s-0")}))
			expectServed(t, r, b, 2)
		})
	}
}

func TestSession_ClientGoneDuringHealthCheck(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			b := newScriptedBackend(t)
			cfg := testConfig("127.0.0.1:9", b.endpoint("s-0"))
			cfg.Settings.DialTimeout = 20 * time.Second // a probe's answer is waited for as long as it takes
			cfg.Settings.Classes[0].LatencyObjective, cfg.Settings.Classes[0].ClientTimeout = time.Minute, time.Minute
			r, _, _ := startRelay(t, cfg)
			c := openSession(t, r, 1, "")
			probe := b.accept()
			probe.expectLine("STATS")
			closeAndAwaitCleanup(t, r, c, way.how)
			probe.write("PONG x0=0.1\r\n")
			expectServed(t, r, b, 2)
		})
	}
}

// The command to send and the client's end are both pending when the session looks: select takes either by chance.
func TestSession_ClientGoneBeforePendingCommand(t *testing.T) {
	t.Parallel()
	b := newScriptedBackend(t)
	r, _, a := newAttempt(t, b.listener.Addr().String(), testTimeout)
	b.answerHealthCheck(r)
	for i := range 64 {
		near, _ := tcpPipe(t)
		f := &clientSession{relay: r, client: newBufferedConn(near), state: session.New(uint64(i+100), r.settings.Load(), r.controller.Metrics()),
			commands: make(chan session.Command, 16), clientGone: make(chan bool, 1), established: make(chan struct{}), finished: make(chan struct{})}
		if g, err := f.state.ReadHandshake(r.now(), fmt.Appendf(nil, "OPEN %016x %016x c=chat,d=1000\r\n", i+100, i), true); err != nil || !g.Opened {
			t.Fatalf("%+v, %v", g, err)
		}
		f.clientGone <- false
		f.commands <- session.Command{Backend: a.Backend, Deadline: r.now() + testTimeout}
		told := len(r.events)
		if up := f.awaitAnswer(); up != nil {
			t.Fatal("served a client that has left")
		}
		if n := len(r.events) - told; n != 1 { // its leaving, and no attempt's end
			t.Fatalf("an attempt was begun for a client that had left: %d events", n)
		}
	}
}

// The client's end is in the socket and whoever reads it has not come to run, as on a core at its limit: the order is there,
// and nothing is begun.
func TestSession_ClientGoneUnreadStartsNoAttempt(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			b := newScriptedBackend(t)
			r, _, a := newAttempt(t, b.listener.Addr().String(), testTimeout)
			b.answerHealthCheck(r)
			near, far := tcpPipe(t)
			f := &clientSession{relay: r, client: newBufferedConn(near), state: session.New(100, r.settings.Load(), r.controller.Metrics()),
				commands: make(chan session.Command, 16), clientGone: make(chan bool, 1), established: make(chan struct{}), finished: make(chan struct{})}
			if g, err := f.state.ReadHandshake(r.now(), []byte("OPEN 0000000000000064 0000000000000001 c=chat,d=60000\r\n"), true); err != nil || !g.Opened {
				t.Fatalf("%+v, %v", g, err)
			}
			way.how(&testClient{t: t, TCPConn: far})
			eventually(t, "its end has come", f.client.hasPendingInput)
			done := make(chan struct{})
			go func() { defer close(done); f.awaitAnswer() }()
			f.commands <- session.Command{Backend: a.Backend, Deadline: r.now() + testTimeout}
			_ = b.listener.SetDeadline(time.Now().Add(2 * departureTimeout))
			if c, err := b.listener.Accept(); err == nil {
				t.Errorf("an attempt from %v was begun for a client that has left", c.RemoteAddr())
			}
			f.clientGone <- false // now it has
			<-done
		})
	}
}

func TestSession_ClientGoneDuringDial(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			addr, empty := listenFullQueue(t)
			cfg := plainConfig("127.0.0.1:9", fake.Endpoint{ID: "s-0", Addr: addr, Zone: "east", State: "ready", Weight: 1})
			cfg.Settings.DialTimeout = time.Minute
			r, _, _ := startRelay(t, cfg)
			c := openSession(t, r, 1, "")
			eventually(t, "the balancer counts it", r.connectionCountIs(1))
			eventually(t, "its dial is out", dialIsPending(t, addr))
			closeAndAwaitCleanup(t, r, c, way.how)
			expectServed(t, r, &scriptedBackend{t, empty()}, 2)
		})
	}
}

func TestSession_ClientGoneDuringBackoff(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			b := newScriptedBackend(t)
			cfg := plainConfig("127.0.0.1:9", b.endpoint("s-0"), b.endpoint("s-1"), b.endpoint("s-2"))
			table, err := routing.NewTable([]routing.Route{{Name: "r", Match: routing.Match{Class: routing.Any, Tenant: routing.Any, Zone: routing.Any,
				Protocol: routing.Any}, RetryPolicy: balance.RetryPolicy{BaseBackoff: 200 * time.Millisecond, RetryBudget: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			cfg.Routes = table
			cfg.Settings.Classes[0].ClientTimeout = 2 * time.Second // its timer is waited for
			r, _, _ := startRelay(t, cfg)
			expectServed(t, r, b, 9) // what a request earns
			idle := onEventLoop(r, r.controller.TimerCount)
			c := openSession(t, r, 1, "")
			try := b.accept()
			try.expectLine("OPEN")
			try.write("BUSY\r\n")
			try.expectClosed()
			eventually(t, "it pauses", r.connectionCountIs(0))
			closeAndAwaitCleanup(t, r, c, way.how)
			eventually(t, "the pause is over", func() bool { return onEventLoop(r, r.controller.TimerCount) <= idle })
			expectServed(t, r, b, 2)
		})
	}
}

// An attempt that is out ends as soon as its client has left; so does an UP that comes just then.
func TestSession_ClientGoneCancelsAttempt(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		for _, answer := range []string{"", "UP", "UP it\r\n"} {
			t.Run(way.name+" "+strings.TrimSpace(answer), func(t *testing.T) {
				t.Parallel()
				b := newScriptedBackend(t)
				r, _, _ := startRelay(t, plainConfig("127.0.0.1:9", b.endpoint("s-0")))
				c := openSession(t, r, 1, "")
				try := b.accept()
				try.expectLine("OPEN")
				left := time.Now()
				way.how(c)
				if answer != "" { // on its way while the client leaves
					_, _ = io.WriteString(try, answer)
				}
				// Where UP overtook the client's bytes they are its first line.
				if b, err := io.ReadAll(try.reader); errors.Is(err, os.ErrDeadlineExceeded) ||
					len(b) > 0 && (answer != "UP it\r\n" || way.name != "bytes and FIN" || string(b) != "more\r\n") {
					t.Errorf("the backend was sent %q, %v", b, err)
				}
				if took := time.Since(left); took > departureTimeout {
					t.Errorf("ended %v after its client", took)
				}
				eventually(t, "nobody is in the books", func() bool { return r.hasNoSessions(t) })
				expectServed(t, r, b, 2)
			})
		}
	}
}

// A connection from before the start is tried again and again at the backend that holds it, until its client leaves.
func TestSession_ResumedClientGoneIsNotRetried(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			b := newScriptedBackend(t)
			r, _, _ := startRelay(t, plainConfig("127.0.0.1:9", b.endpoint("s-0")))
			c := openSession(t, r, 1, ",at=s-0")
			for range 2 { // it says that it is not ready yet
				try := b.accept()
				try.expectLine("OPEN")
				try.write("BUSY\r\n")
				try.expectClosed()
				_ = try.Close()
			}
			closeAndAwaitCleanup(t, r, c, way.how)
			_ = b.listener.SetDeadline(time.Now().Add(600 * time.Millisecond)) // twice the pause
			if try, err := b.listener.Accept(); err == nil {
				got, _ := bufio.NewReader(try).ReadString('\n')
				t.Errorf("the backend was sent %q", got)
			}
		})
	}
}

// Two hundred clients leave at once; also while discovery keeps the event loop busy with lists of a thousand endpoints.
func TestSession_ManyClientsGoneAtOnceLeaveNoState(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprint(way.name, ", lists come ", busy), func(t *testing.T) {
				b, d := newScriptedBackend(t), newScriptedDiscovery(t)
				list := []fake.Endpoint{b.endpoint("s-0")}
				r, _, _ := startRelay(t, plainConfig(d.address(), list...))
				if busy {
					for i := range 1000 {
						list = append(list, fake.Endpoint{ID: fmt.Sprint("d-", i), Addr: "127.0.0.1:9", Zone: "east", State: "draining", Weight: 1})
					}
					lists, stop := make(chan struct{}), make(chan struct{})
					go func() {
						defer close(lists)
						for version := 1; ; version++ {
							select {
							case q := <-d.requests:
								body := fake.EncodeList(version, list)
								_, _ = fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
							case <-stop:
								return
							}
						}
					}()
					t.Cleanup(func() { close(stop); <-lists })
				}
				var clients []*testClient
				var tries []*backendConn
				for id := range 200 {
					clients = append(clients, openSession(t, r, id+1, ""))
					tries = append(tries, b.accept())
					tries[id].expectLine("OPEN")
				}
				for _, c := range clients {
					way.how(c)
				}
				for _, try := range tries {
					try.expectClosed()
				}
				eventually(t, "nobody is in the books", func() bool { return r.hasNoSessions(t) })
				expectServed(t, r, b, 999)
			})
		}
	}
}
