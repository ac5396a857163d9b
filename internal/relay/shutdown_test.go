package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/fake"
)

// The backend hangs and the class waits for longer than there is before SIGKILL: the answer comes before that.
func TestShutdown_AnswersPendingRequestsBeforeKill(t *testing.T) {
	t.Parallel()
	for _, pass := range []bool{false, true} {
		for _, patient := range []time.Duration{300 * time.Millisecond, 9 * time.Second} {
			t.Run(fmt.Sprint(pass, patient), func(t *testing.T) {
				t.Parallel()
				b := newScriptedBackend(t)
				cfg := plainConfig("127.0.0.1:9", b.endpoint("s-0"))
				cfg.Settings.PassThrough, cfg.Settings.Classes[0].ClientTimeout = pass, patient
				r, term, ended := startRelay(t, cfg)
				kill := min(patient, 3*time.Second) + 700*time.Millisecond
				c := openSession(t, r, 1, "")
				try := b.accept()
				try.expectLine("OPEN")
				at := time.Now()
				term()
				late := openSession(t, r, 2, "") // the front goes on sending
				hung := b.accept()
				hung.expectLine("OPEN")
				for _, c := range []*testClient{c, late} {
					c.expectLine("BUSY")
					c.expectEOF()
					_ = c.Close()
				}
				if took := time.Since(at); took > kill {
					t.Errorf("answered %v after SIGTERM, SIGKILL may come after %v", took, kill)
				}
				if err := <-ended; err != nil {
					t.Error(err)
				}
				if took := time.Since(at); took > kill+time.Second { // by then nothing is owed: the machine may be busy
					t.Errorf("ended %v after SIGTERM, SIGKILL may come after %v", took, kill)
				}
			})
		}
	}
}

// The dial is still out when the time is up: nothing has run, so even what may not be repeated is refused, not failed.
func TestShutdown_RefusesRequestsDuringDial(t *testing.T) {
	t.Parallel()
	for _, pass := range []bool{false, true} {
		t.Run(fmt.Sprint(pass), func(t *testing.T) {
			t.Parallel()
			addr, empty := listenFullQueue(t)
			cfg := plainConfig("127.0.0.1:9", fake.Endpoint{ID: "s-0", Addr: addr, Zone: "east", State: "ready", Weight: 1})
			s := &cfg.Settings
			s.PassThrough, s.DialTimeout, s.Classes[0].ClientTimeout, s.Classes[0].Idempotency = pass, 9*time.Second, 9*time.Second, balance.NonIdempotent
			r, term, ended := startRelay(t, cfg)
			c := openSession(t, r, 1, "")
			eventually(t, "the balancer counts it", r.connectionCountIs(1))
			eventually(t, "its dial is out", dialIsPending(t, addr))
			at := time.Now()
			term()
			c.expectLine("BUSY")
			c.expectEOF()
			_ = c.Close()
			if took := time.Since(at); took > 3700*time.Millisecond {
				t.Errorf("answered %v after SIGTERM, SIGKILL may come after 3.7 s", took)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
			l := empty()
			_ = l.SetDeadline(time.Now().Add(time.Second)) // a SYN that was out would be repeated within it
			if late, err := l.Accept(); err == nil {
				t.Errorf("a dial goes on after the relay's end: %v", late.RemoteAddr())
			}
		})
	}
}

// Short deadlines: every standing client is moved before SIGKILL, which comes a second after SIGTERM.
func TestShutdown_MovesAllClientsWithShortDeadlines(t *testing.T) {
	t.Parallel()
	b := &fake.Backend{}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	cfg := plainConfig("127.0.0.1:9", fake.Endpoint{ID: "s-0", Addr: b.Addr(), Zone: "east", State: "ready", Weight: 1})
	cfg.Settings.PassThrough, cfg.Settings.Classes[0].ClientTimeout = false, 300*time.Millisecond
	r, term, ended := startRelay(t, cfg)
	var clients []*testClient
	for id := 1; len(clients) < 40; id++ {
		c := openSession(t, r, id, "")
		if got, err := c.reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		} else if strings.HasPrefix(got, "UP") { // else the machine has stalled for 300 ms
			clients = append(clients, c)
		}
	}
	at := time.Now()
	term()
	moved := make(chan string, len(clients))
	for _, c := range clients {
		go func() {
			all, err := io.ReadAll(c.reader)
			_ = c.Close()
			moved <- fmt.Sprint(string(all), err)
		}()
	}
	for range clients {
		if got := <-moved; got != "MOVE\r\n<nil>" {
			t.Errorf("at the relay's end: %q", got)
		}
	}
	if took := time.Since(at); took > time.Second {
		t.Errorf("the last was moved %v after SIGTERM, SIGKILL may come after a second", took)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// MOVE is due while half of a backend's line is here: it goes out between two lines, and the half is not sent.
func TestShutdown_MovesOnlyBetweenLines(t *testing.T) {
	t.Parallel()
	b := newScriptedBackend(t)
	cfg := plainConfig("127.0.0.1:9", b.endpoint("s-0"))
	cfg.Settings.PassThrough, cfg.Settings.Classes[0].ClientTimeout = false, 300*time.Millisecond
	r, term, _ := startRelay(t, cfg)
	c := openSession(t, r, 1, "")
	try := b.accept()
	try.expectLine("OPEN")
	try.write("UP it\r\nwhole\r\nha")
	c.expectLine("UP it")
	c.expectLine("whole")
	term()
	c.expectLine("MOVE")
	c.expectEOF()
}

// Half an OPEN at the relay's end: BUSY, and no reset that takes it along.
func TestShutdown_PartialOpenAnsweredBusy(t *testing.T) {
	t.Parallel()
	cfg := plainConfig("127.0.0.1:9", newScriptedBackend(t).endpoint("s-0"))
	r, term, ended := startRelay(t, cfg)
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, "PING\r\nOPEN 00000000"); err != nil {
		t.Fatal(err)
	}
	k := &testClient{c.(*net.TCPConn), t, bufio.NewReader(c)}
	k.expectLine("PONG")
	term()
	k.expectLine("BUSY")
	k.expectEOF()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A client waits in the accept queue with a whole OPEN when the listener is about to close and the acceptor has timed
// out. It is accepted and served, and the shutdown waits for it; closing the listener over it would reset it.
func TestShutdown_ServesAcceptQueue(t *testing.T) {
	t.Parallel()
	b := newScriptedBackend(t)
	r, err := New(plainConfig("127.0.0.1:9", b.endpoint("s-0")), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go r.loop(stop)
	r.accepting.Store(true)
	c := openSession(t, r, 1, "") // nobody accepts yet
	_ = r.listener.SetDeadline(time.Unix(1, 0))
	go func() { _ = r.accept() }() // its time is over
	r.post(r.controller.Shutdown)
	try := b.accept()
	try.expectLine("OPEN")
	try.write("UP it\r\nBYE\r\n")
	_ = try.CloseWrite()
	c.expectLine("UP it")
	c.expectLine("BYE")
	c.expectEOF()
	_ = c.Close()
	<-r.drained
	r.closeRemaining(true)
	close(stop)
	<-r.stopped
}

// The rest of an OPEN comes when the relay has just ended: sent on, it was cut off a moment later. It is told BUSY and
// its backend hears nothing.
func TestShutdown_OpenCompletedAfterEndAnsweredBusy(t *testing.T) {
	t.Parallel()
	b := newScriptedBackend(t)
	r, err := New(plainConfig("127.0.0.1:9", b.endpoint("s-0")), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go r.loop(stop)
	r.accepting.Store(true)
	go func() { _ = r.accept() }()
	near, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	_ = near.SetDeadline(time.Now().Add(testTimeout))
	c := &testClient{near.(*net.TCPConn), t, bufio.NewReader(near)}
	_, _ = io.WriteString(c, "PING\r\nOPEN 0000000000000001 00000000")
	c.expectLine("PONG")
	r.post(r.controller.Shutdown)
	<-r.drained
	_, _ = io.WriteString(c, "00000002 c=chat,d=60000\r\n")
	c.expectLine("BUSY")
	c.expectEOF()
	_ = c.Close()
	r.closeRemaining(true)
	close(stop)
	<-r.stopped
	_ = b.listener.SetDeadline(time.Now())
	if c, err := b.listener.Accept(); err == nil {
		got, _ := bufio.NewReader(c).ReadString('\n')
		t.Errorf("the backend was sent %q", got)
	}
}
