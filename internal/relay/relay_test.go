package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/fake"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
)

const patience = 15 * time.Second

func config(discovery string, list ...fake.Endpoint) Config {
	s := settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
	return Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: discovery, Seed: 1, MemoryMB: 64, Sockets: 256,
		PeerListen: "127.0.0.1:0", Peers: []string{"127.0.0.1:9"}, Known: fake.EncodeList(1, list), Settings: s}
}

// until waits for a condition; between two looks it leaves the cores to what it waits for.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

func TestARelayLeavesNoGoroutineBehind(t *testing.T) {
	before := runtime.NumGoroutine()
	b := &fake.Backend{LoadReport: "x0=0.1"}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	entry := fake.Endpoint{ID: "s-0", Addr: b.Addr(), Zone: "east", State: "ready", Weight: 1}
	var d fake.Discovery
	if err := d.Listen("127.0.0.1:0", entry); err != nil {
		t.Fatal(err)
	}
	r, err := New(config(d.Addr(), entry), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	var conns []net.Conn
	for i := range 20 {
		c, err := net.Dial("tcp", r.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", i+1, i)
		if l, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.HasPrefix(l, "UP") {
			t.Fatalf("%q, %v", l, err)
		}
		conns = append(conns, c)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	b.Close()
	d.Close()
	until(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before })
	if n := r.sessionCount.Load(); n != 0 {
		t.Errorf("%d flows are still counted", n)
	}
}

// dead is a backend address that nobody listens on any more.
func dead(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// attempts prepares an attempt of a client's at an address and a relay to make it.
func attempts(t *testing.T, addr string, patience time.Duration) (*Relay, *session.Session, *session.Attempt) {
	t.Helper()
	cfg := config("127.0.0.1:9", fake.Endpoint{ID: "s", Addr: addr, Zone: "east", State: "ready", Weight: 1})
	r, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	_ = r.listener.Close()
	f := session.New(1, r.settings.Load(), r.controller.Metrics())
	g, err := f.ReadHandshake(r.now(), []byte("OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n"), true)
	if err != nil || !g.Opened {
		t.Fatalf("%+v, %v", g, err)
	}
	fl := &clientSession{relay: r, state: f, commands: make(chan session.Command, 1)}
	r.sessionOpened(r.now(), fl)
	if len(fl.commands) == 0 { // held until its backend has answered a probe
		r.controller.HealthCheckDone(r.now(), balance.HealthCheckResult{Backend: probed(r), Load: []float32{0.1}})
	}
	o := <-fl.commands
	o.Deadline = r.now() + patience
	return r, f, f.Execute(r.now(), o).Attempt
}

// probed is the one backend of a relay's list.
func probed(r *Relay) balance.BackendID { return r.controller.Backends()[0].ID }

func TestAnAttemptOnSocketsEndsAsItWent(t *testing.T) {
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
		{"ready", b.Addr(), patience, balance.StatusOK, 1},
		{"no time left", b.Addr(), 0, balance.StatusConnectFailed, 0},
		{"nobody listens", dead(t), patience, balance.StatusConnectFailed, 0},
	} {
		was := len(b.OpenLines())
		r, f, a := attempts(t, tc.addr, tc.left)
		l, n, fail := r.attempt(context.Background(), waiting(t), a)
		if l != nil {
			up, _ := l.reader.R.Peek(n)
			if string(up) != "UP 0000000000000001\r\n" {
				t.Errorf("%s: %q", tc.name, up)
			}
			_ = l.conn.Close()
		}
		if got := f.AttemptDone(r.now(), a, fail).Event.Result.Status; got != tc.want || len(b.OpenLines())-was != tc.sent {
			t.Errorf("%s: %v (%v), %d sent", tc.name, got, fail, len(b.OpenLines())-was)
		}
	}
}

func TestAnAttemptThatIsGivenUpIsCancelled(t *testing.T) {
	seen := make(chan struct{}, 1)
	b := &fake.Backend{Answer: func(string) []string { seen <- struct{}{}; return nil }}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	r, f, a := attempts(t, b.Addr(), patience)
	ctx, stop := context.WithCancel(context.Background())
	go func() { <-seen; stop() }()
	_, _, fail := r.attempt(ctx, waiting(t), a)
	if got := f.AttemptDone(r.now(), a, fail).Event.Result.Status; got != balance.StatusCancelled {
		t.Errorf("%v: %v", got, fail)
	}
}

func TestDatagramsGoOutAndComeIn(t *testing.T) {
	known, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer known.Close()
	ours, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := ours.LocalAddr()
	_ = ours.Close()
	cfg := config("127.0.0.1:9")
	cfg.PeerListen = at.String()
	r, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer r.listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := r.peers.run(ctx); err != nil {
		t.Fatal(err)
	}
	r.peers.startReceiving()
	for _, size := range []int{5, controller.MaxDatagram + 1, 5} { // the one that is too long is dropped
		if _, err := known.WriteTo(make([]byte, size), at); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		select {
		case <-r.events:
		case <-time.After(patience):
			t.Fatal("a peer's datagram is not heard")
		}
	}
	r.peers.queue(known.LocalAddr().String(), []byte("answer"))
	r.peers.queue(known.LocalAddr().String(), []byte("more"))
	buf := make([]byte, 512)
	_ = known.SetReadDeadline(time.Now().Add(patience))
	for _, want := range []string{"answer", "more"} {
		if n, _, err := known.ReadFrom(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("%q, %v", buf[:n], err)
		}
	}
	if len(r.events) != 0 {
		t.Errorf("%d datagrams too many", len(r.events))
	}
}

// A kept probe connection that its backend has closed since is no answer: the probe goes out anew.
func TestAProbeOutlivesAClosedConnection(t *testing.T) {
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
	r, _, a := attempts(t, l.Addr().String(), patience)
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

// waiting is a client that waits for its answer.
func waiting(t *testing.T) *bufferedConn {
	near, _ := pipe(t)
	return newBufferedConn(near)
}

// pipe is a guest's connection and its other end.
func pipe(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = s.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// clock is a relay's own.
func clock() func() time.Duration {
	r := &Relay{startTime: time.Now()}
	return r.now
}

func TestTheOldestOfACrowdGivesWay(t *testing.T) {
	l := newHandshakePool(2, "BUSY 1000\r\n", clock())
	var guests []*handshake.Connection
	var ends []*net.TCPConn
	for range 4 {
		near, far := pipe(t)
		came := time.Now()
		guests, ends = append(guests, l.add(near)), append(ends, far)
		if took := time.Since(came); took > time.Second {
			t.Errorf("the acceptor waited for %v", took)
		}
	}
	for i, g := range guests {
		if stays := l.remove(g); stays != (i >= 2) {
			t.Errorf("guest %d is still there: %v", i, stays)
		}
	}
	for _, far := range ends[:2] {
		if b, err := io.ReadAll(far); err != nil || string(b) != "BUSY 1000\r\n" {
			t.Errorf("%q, %v", b, err)
		}
	}
	// One that has had its last line goes first, however late it came.
	near, _ := pipe(t)
	old := l.add(near)
	near, far := pipe(t)
	told := l.add(near)
	_ = far.Close()
	l.discardInput(told)
	near, _ = pipe(t)
	l.add(near)
	if l.remove(told) || !l.remove(old) {
		t.Error("a silent one gave way where one was there that had been told")
	}
}

func TestReadingOffHasAnEnd(t *testing.T) {
	l := newHandshakePool(1, "", clock())
	near, far := pipe(t)
	g := l.add(near)
	go func() {
		for b := make([]byte, 32<<10); ; {
			if _, err := far.Write(b); err != nil {
				return
			}
		}
	}()
	began := time.Now()
	l.discardInput(g)
	if took := time.Since(began); took > handshake.LingerTimeout+time.Second {
		t.Errorf("read off for %v", took)
	}
}

// Where no connection is to be had a probe says nothing of the backend; a kept one gives way first.
func TestAProbeWithoutAConnectionIsMoot(t *testing.T) {
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
	cfg := config("127.0.0.1:9", entries...)
	cfg.Settings.DialTimeout = patience
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
