package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"aspenbarrow/balance"
	"aspenbarrow/internal/fake"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
)

// The tests hold two events that may cross at barriers and release them in a chosen order: every backend, discovery agent
// and client is the test's own and waits for it. docs/crossings.md names the pairs of events.

// departureTimeout is how soon after a client has left nothing may be begun for it.
const departureTimeout = 100 * time.Millisecond

// plainConfig returns a configuration without health checks and peers for the given backends.
func plainConfig(discovery string, list ...fake.Endpoint) Config {
	cfg := testConfig(discovery, list...)
	cfg.Settings.HealthChecks, cfg.Settings.Gossip, cfg.Settings.ReportFields, cfg.Settings.ReportFieldNames = false, false, nil, nil
	cfg.PeerListen, cfg.Peers, cfg.MaxDescriptors = "", nil, 2048
	cfg.MemoryMB = 192
	cfg.Settings.Classes[0].LatencyObjective, cfg.Settings.Classes[0].ClientTimeout = 40*time.Second, time.Minute // a machine that stalls ends nothing
	if len(list) == 0 {
		cfg.CachedEndpoints = nil
	}
	return cfg
}

// startRelay starts a relay; term shuts it down as SIGTERM does, ended yields the result of Run.
func startRelay(t *testing.T, cfg Config) (r *Relay, term func(), ended chan error) {
	t.Helper()
	r, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-r.stopped:
		case <-time.After(testTimeout):
			t.Error("the relay does not end")
		}
	})
	return r, stop, ended
}

// onEventLoop runs a function on the event loop, where the controller's state may be read.
func onEventLoop[T any](r *Relay, read func() T) T {
	got := make(chan T, 1)
	r.post(func(time.Duration) { got <- read() })
	select {
	case v := <-got:
		return v
	case <-r.stopped:
		var none T
		return none
	}
}

// hasNoSessions says whether neither the relay nor its balancer counts a session, and checks the balancer's invariants.
func (r *Relay) hasNoSessions(t *testing.T) bool {
	t.Helper()
	return onEventLoop(r, func() bool {
		b := r.controller.Balancer().(*balance.Balancer)
		if err := b.CheckInvariants(); err != nil {
			t.Error(err)
		}
		all, _ := b.Connections()
		return all == 0 && r.controller.SessionCount() == 0 && r.sessionCount.Load() == 0
	})
}

// connectionCountIs returns a condition: the balancer counts n connections.
func (r *Relay) connectionCountIs(n int) func() bool {
	return func() bool {
		return n == onEventLoop(r, func() int { all, _ := r.controller.Balancer().(*balance.Balancer).Connections(); return all })
	}
}

// testClient is a client on a socket.
type testClient struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// openSession connects and sends an OPEN line, with more fields at its end.
func openSession(t *testing.T, r *Relay, id int, more string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	k := &testClient{c.(*net.TCPConn), t, bufio.NewReader(c)}
	if _, err := fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=60000%s\r\n", id, id, more); err != nil {
		t.Fatal(err)
	}
	return k
}

// expectLine reads a line and checks its prefix.
func (c *testClient) expectLine(want string) {
	c.t.Helper()
	if got, err := c.reader.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
		c.t.Fatalf("heard %q and %v, want %q", got, err, want)
	}
}

// expectEOF checks for a clean end with nothing before it.
func (c *testClient) expectEOF() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.reader); err != nil || len(rest) != 0 {
		c.t.Fatalf("%q and %v before the end", rest, err)
	}
}

// departures are the ways in which a client leaves while it waits.
var departures = []struct {
	name string
	how  func(c *testClient)
}{
	{"FIN", func(c *testClient) { _ = c.Close() }},
	{"half close", func(c *testClient) { _ = c.CloseWrite() }},
	{"reset", func(c *testClient) { _ = c.SetLinger(0); _ = c.Close() }},
	{"bytes and FIN", func(c *testClient) { _, _ = io.WriteString(c, "more\r\n"); _ = c.Close() }},
}

// scriptedBackend is a backend that does only what the test says.
type scriptedBackend struct {
	t        *testing.T
	listener *net.TCPListener
}

func newScriptedBackend(t *testing.T) *scriptedBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &scriptedBackend{t, l.(*net.TCPListener)}
}

// endpoint returns the backend's entry of an endpoint list.
func (s *scriptedBackend) endpoint(id string) fake.Endpoint {
	return fake.Endpoint{ID: id, Addr: s.listener.Addr().String(), Zone: "east", State: "ready", Weight: 1}
}

// answerHealthCheck answers the health check that newAttempt has set off, and closes its connection.
func (s *scriptedBackend) answerHealthCheck(r *Relay) {
	s.t.Helper()
	c := s.accept()
	c.expectLine("STATS")
	c.write("PONG x0=0.1\r\n")
	<-r.events
	r.healthChecks.closeAll()
	c.expectClosed()
}

// backendConn is a connection that a scripted backend has accepted.
type backendConn struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// accept waits for the next connection.
func (s *scriptedBackend) accept() *backendConn {
	s.t.Helper()
	_ = s.listener.SetDeadline(time.Now().Add(testTimeout))
	c, err := s.listener.AcceptTCP()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &backendConn{c, s.t, bufio.NewReader(c)}
}

// expectLine reads a line and checks its prefix.
func (c *backendConn) expectLine(want string) {
	c.t.Helper()
	if got, err := c.reader.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
		c.t.Fatalf("the backend was asked %q and %v, want %q", got, err, want)
	}
}

// write sends text to the relay.
func (c *backendConn) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// expectClosed waits for the relay to close the connection, with nothing more on it.
func (c *backendConn) expectClosed() {
	c.t.Helper()
	b, err := io.ReadAll(c.reader)
	if len(b) != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("the backend was sent %q, %v", b, err)
	}
}

// expectServed checks that the next thing to reach a backend is a later client's OPEN: nothing was sent on before it.
func expectServed(t *testing.T, r *Relay, s *scriptedBackend, id int) {
	t.Helper()
	c := openSession(t, r, id, "")
	b := s.accept()
	b.expectLine(fmt.Sprintf("OPEN %016x", id))
	b.write("UP it\r\n")
	c.expectLine("UP it")
	_ = c.Close()
	b.expectClosed()
	_ = b.Close()
	eventually(t, "nobody is in the books", func() bool { return r.hasNoSessions(t) })
}

// closeAndAwaitCleanup has a client leave and checks that its session is gone within departureTimeout.
func closeAndAwaitCleanup(t *testing.T, r *Relay, c *testClient, how func(*testClient)) {
	t.Helper()
	gone := time.Now()
	how(c)
	eventually(t, "nobody is in the books", func() bool { return r.hasNoSessions(t) })
	if took := time.Since(gone); took > departureTimeout {
		t.Errorf("in the books for %v after it had left", took)
	}
}

// listenFullQueue returns a listener whose accept queue is full: a dial succeeds about a second after it is emptied.
func listenFullQueue(t *testing.T) (addr string, empty func() *net.TCPListener) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = f.Close() }() // of the duplicate; the listener stays
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	l := ln.(*net.TCPListener)
	t.Cleanup(func() { _ = l.Close() })
	fillers := 0
	for limit := testTimeout; ; limit = 200 * time.Millisecond { // until one is not taken in; the first always is
		c, err := net.DialTimeout("tcp", l.Addr().String(), limit)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
		fillers++
	}
	return l.Addr().String(), func() *net.TCPListener {
		for range fillers {
			_ = l.SetDeadline(time.Now().Add(testTimeout))
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
		}
		return l
	}
}

// synSent is the state of a socket in /proc/net/tcp whose connection is being dialled.
const synSent = "02"

// dialIsPending returns a condition: a connection to the IPv4 address is being dialled. That the balancer counts the
// connection says only that the attempt was ordered: on a busy machine its goroutine may dial some milliseconds later.
func dialIsPending(t *testing.T, addr string) func() bool {
	t.Helper()
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	ip := target.Addr().As4()
	remote := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], target.Port())
	return func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line) // number, local address, remote address, state, ...
			if len(fields) > 3 && fields[2] == remote && fields[3] == synSent {
				return true
			}
		}
		return false
	}
}

// scriptedDiscovery is a discovery agent whose requests the test answers.
type scriptedDiscovery struct {
	t        *testing.T
	listener net.Listener
	requests chan *discoveryRequest
}

// discoveryRequest is one request to it.
type discoveryRequest struct {
	t *testing.T
	*http.Request
	conn *net.TCPConn
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	d := &scriptedDiscovery{t, l, make(chan *discoveryRequest, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					d.requests <- &discoveryRequest{t, q, c.(*net.TCPConn)}
				}
			}()
		}
	}()
	return d
}

// address is where it listens.
func (d *scriptedDiscovery) address() string { return d.listener.Addr().String() }

// nextRequest waits for the next request.
func (d *scriptedDiscovery) nextRequest() *discoveryRequest {
	d.t.Helper()
	select {
	case q := <-d.requests:
		return q
	case <-time.After(testTimeout):
		d.t.Fatal("discovery is not asked")
		return nil
	}
}

// isFullList says whether the request is for the whole list.
func (q *discoveryRequest) isFullList() bool { return q.URL.Query().Get("index") == "" }

// writePartial writes the first bytes of a response, or, with a negative limit, all but the last.
func (q *discoveryRequest) writePartial(body []byte, most int) {
	q.t.Helper()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if most < 0 {
		most += len(text)
	}
	if _, err := io.WriteString(q.conn, text[:min(most, len(text))]); err != nil {
		q.t.Fatal(err)
	}
}

// respond writes a whole response.
func (q *discoveryRequest) respond(body []byte) {
	q.t.Helper()
	q.writePartial(body, 1<<20)
}

// respondUnavailable answers a request with status 503.
func respondUnavailable(q *discoveryRequest) {
	_, _ = io.WriteString(q.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// encodeChange returns a body that changes the state of one endpoint.
func encodeChange(version int, id, state string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"full":false,"servers":[{"id":%q,"addr":"127.0.0.1:9","state":%q}]}`, version, id, state)
}

// isUnavailable returns a condition: a backend of the list takes no new sessions.
func isUnavailable(r *Relay, id string) func() bool {
	return func() bool {
		return onEventLoop(r, func() bool {
			for _, b := range r.controller.Backends() {
				if b.Name == id {
					return r.controller.Balancer().(*balance.Balancer).Unavailable(r.now(), b.ID)
				}
			}
			return false
		})
	}
}

// testTimeout bounds what a test waits for where time is not what it tests.
const testTimeout = 15 * time.Second

// testConfig returns a configuration with health checks and peers for the given backends.
func testConfig(discovery string, list ...fake.Endpoint) Config {
	s := settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
	return Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: discovery, Seed: 1, MemoryMB: 64, MaxDescriptors: 256,
		PeerListen: "127.0.0.1:0", Peers: []string{"127.0.0.1:9"}, CachedEndpoints: fake.EncodeList(1, list), Settings: s}
}

// eventually waits for a condition. It sleeps between two looks, to leave the cores to what it waits for.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

// unusedAddress returns an address that nothing listens on.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newAttempt returns an attempt at an address for a client with a deadline, and the relay and session that it belongs to.
func newAttempt(t *testing.T, addr string, patience time.Duration) (*Relay, *session.Session, *session.Attempt) {
	t.Helper()
	cfg := testConfig("127.0.0.1:9", fake.Endpoint{ID: "s", Addr: addr, Zone: "east", State: "ready", Weight: 1})
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
		r.controller.HealthCheckDone(r.now(), balance.HealthCheckResult{Backend: onlyBackend(r), Load: []float32{0.1}})
	}
	o := <-fl.commands
	o.Deadline = r.now() + patience
	return r, f, f.Execute(r.now(), o).Attempt
}

// onlyBackend returns the one backend of a relay's list.
func onlyBackend(r *Relay) balance.BackendID { return r.controller.Backends()[0].ID }

// newWaitingClient returns the connection of a client that waits for its answer.
func newWaitingClient(t *testing.T) *bufferedConn {
	near, _ := tcpPipe(t)
	return newBufferedConn(near)
}

// tcpPipe returns a client's connection as the relay has it, and its other end.
func tcpPipe(t *testing.T) (near, far *net.TCPConn) {
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
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// relayClock returns a relay's clock.
func relayClock() func() time.Duration {
	r := &Relay{startTime: time.Now()}
	return r.now
}
