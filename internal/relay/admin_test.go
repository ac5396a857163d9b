package relay

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/fake"
	"aspenbarrow/internal/shadow"
)

// startAdminRelay starts a relay with an admin endpoint and one backend.
func startAdminRelay(t *testing.T) *Relay {
	t.Helper()
	return startAdminRelayWith(t, "x0=0.1", func(*Config) {})
}

// startAdminRelayWith starts such a relay with a changed configuration and the given load report of the backend.
func startAdminRelayWith(t *testing.T, report string, change func(*Config)) *Relay {
	t.Helper()
	b := &fake.Backend{LoadReport: report}
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	entry := fake.Endpoint{ID: "s-0", Addr: b.Addr(), Zone: "east", State: "ready", Weight: 1}
	var d fake.Discovery
	if err := d.Listen("127.0.0.1:0", entry); err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(d.Addr(), entry)
	cfg.Settings.PassThrough, cfg.AdminListen = false, "127.0.0.1:0"
	change(&cfg)
	r, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		b.Close()
		d.Close()
	})
	return r
}

// adminCall sends one command to the admin endpoint and returns the answer.
func adminCall(t *testing.T, r *Relay, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.adminServer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text+"\n")
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return string(got)
}

// ping returns the answer to PING.
func ping(t *testing.T, r *Relay) string {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, "PING\r\n")
	got, _ := bufio.NewReader(c).ReadString('\n')
	return got
}

// openEstablished opens a session and waits for UP.
func openEstablished(t *testing.T, r *Relay, id int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", id, id)
	got := make([]byte, 3)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "UP " {
		t.Fatalf("the client received %q, error %v, want UP", got, err)
	}
	return c
}

// The admin endpoint never waits for the event loop: with the loop blocked, and 200 idle connections, each command is
// answered, and PING fails as soon as DRAIN has been answered.
func TestAdmin_AnswersWhileEventLoopIsBlocked(t *testing.T) {
	r := startAdminRelay(t)
	for i := range 5 {
		openEstablished(t, r, i+1)
	}
	eventually(t, "five sessions are counted", func() bool { return strings.Contains(adminCall(t, r, "STATS"), "concurrent=5\n") })
	blocked, release := make(chan struct{}), make(chan struct{})
	r.post(func(time.Duration) { close(blocked); <-release })
	<-blocked
	for range 2 * cap(r.events) { // the event queue is full, and posting blocks
		go r.post(func(time.Duration) {})
	}
	for range 200 {
		c, err := net.Dial("tcp", r.adminServer.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	start := time.Now()
	stats := adminCall(t, r, "STATS")
	for _, want := range []string{"replies.chat.success=5\n", "replies.chat.overload=0\n", "dispatches=5\n", "concurrent=5\n", "targets=1\n", "EOT\n"} {
		if !strings.Contains(stats, want) {
			t.Errorf("%q lacks %q", stats, want)
		}
	}
	if got := adminCall(t, r, "READY"); got != "SUCCESS serving\n" {
		t.Errorf("READY is answered with %q", got)
	}
	if got := adminCall(t, r, "DRAIN"); got != "SUCCESS draining\n" {
		t.Errorf("DRAIN is answered with %q", got)
	}
	if got := ping(t, r); got != "ERR\r\n" {
		t.Errorf("a drained relay answers PING with %q", got)
	}
	if got := adminCall(t, r, "UNDRAIN"); got != "SUCCESS taking clients\n" {
		t.Errorf("UNDRAIN is answered with %q", got)
	}
	if got := ping(t, r); got != "PONG\r\n" {
		t.Errorf("after UNDRAIN the relay answers PING with %q", got)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("six answers took %v", took)
	}
	close(release)
}

// A drained relay migrates all its clients within four seconds, not all at once, serves clients that still arrive, and
// accepts clients again after UNDRAIN.
func TestRelay_DrainMovesClients(t *testing.T) {
	r := startAdminRelay(t)
	const clientCount = 30
	migratedAfter := make(chan time.Duration, clientCount)
	start := time.Now()
	awaitMigration := func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			line, err := reader.ReadString('\n')
			if err != nil || line == "MOVE\r\n" {
				migratedAfter <- time.Since(start)
				return
			}
		}
	}
	for i := range clientCount - 1 {
		go awaitMigration(openEstablished(t, r, i+1))
	}
	start = time.Now()
	if got := adminCall(t, r, "DRAIN") + adminCall(t, r, "DRAIN"); got != "SUCCESS draining\nSUCCESS draining\n" {
		t.Errorf("two DRAIN are answered with %q", got)
	}
	go awaitMigration(openEstablished(t, r, clientCount)) // a client that arrives after DRAIN
	if got := adminCall(t, r, "READY"); !strings.HasPrefix(got, "FAILURE drained") {
		t.Errorf("READY is answered with %q while draining", got)
	}
	first, last := time.Duration(0), time.Duration(0)
	for i := range clientCount {
		after := <-migratedAfter
		if i == 0 {
			first = after
		}
		last = after
	}
	if last > 4*time.Second || last-first < 500*time.Millisecond {
		t.Errorf("clients were migrated from %v to %v after DRAIN", first, last)
	}
	eventually(t, "no session is counted", func() bool { return strings.Contains(adminCall(t, r, "STATS"), "concurrent=0\n") })
	if got := adminCall(t, r, "UNDRAIN"); got != "SUCCESS taking clients\n" {
		t.Errorf("UNDRAIN is answered with %q", got)
	}
	if got := ping(t, r); got != "PONG\r\n" {
		t.Errorf("after UNDRAIN the relay answers PING with %q", got)
	}
	openEstablished(t, r, 99)
}

// Shadow evaluation is reported and never acted on: equal settings show no difference, and settings without health
// checks would have sent a client to a backend that reports to be full.
func TestAdmin_ReportsShadowEvaluation(t *testing.T) {
	if got := adminCall(t, startAdminRelay(t), "WATCH"); !strings.HasPrefix(got, "FAILURE nothing is watched") {
		t.Errorf("without shadow evaluation WATCH is answered with %q", got)
	}
	shadowSame := func(cfg *Config) { cfg.Shadow = shadow.ShapeOf(&cfg.Settings.Settings) }
	r := startAdminRelayWith(t, "x0=0.1", shadowSame)
	for i := range 5 {
		openEstablished(t, r, i+1)
	}
	eventually(t, "five decisions are compared", func() bool { return strings.Contains(adminCall(t, r, "WATCH"), "watch.compared=5\n") })
	got := adminCall(t, r, "WATCH")
	if !strings.HasSuffix(got, "watch.fault=0\nEOT\n") || strings.Count(got, "=0\n") != strings.Count(got, "=")-1 {
		t.Errorf("the same settings show a difference: %q", got)
	}
	r = startAdminRelayWith(t, "x0=2.0", func(cfg *Config) { shadowSame(cfg); cfg.Shadow.HealthChecks, cfg.Shadow.ReportFields = false, nil })
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", 1, 1)
	if answer, _ := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(answer, "BUSY") {
		t.Errorf("the client of a full backend received %q, want BUSY", answer)
	}
	eventually(t, "the difference is counted", func() bool { return strings.Contains(adminCall(t, r, "WATCH"), "watch.sent=1\n") })
}

var update = flag.Bool("update", false, "write golden files")

// The answers of a relay with five clients equal the golden file, byte for byte.
func TestAdmin_Golden(t *testing.T) {
	var out bytes.Buffer
	record := func(r *Relay, calls ...string) {
		for _, c := range calls {
			fmt.Fprintf(&out, "--- %q\n%s", c, adminCall(t, r, c))
		}
	}
	plain := startAdminRelay(t)
	eventually(t, "the relay is ready", func() bool { return strings.HasPrefix(adminCall(t, plain, "READY"), "SUCCESS") })
	record(plain, "READY", "WATCH", "MEMBERS", "", "ready")
	r := startAdminRelayWith(t, "x0=0.1", func(cfg *Config) { cfg.Shadow = shadow.ShapeOf(&cfg.Settings.Settings) })
	for i := range 5 {
		openEstablished(t, r, i+1)
	}
	eventually(t, "five decisions are compared", func() bool { return strings.Contains(adminCall(t, r, "WATCH"), "watch.compared=5\n") })
	eventually(t, "the endpoint list is counted", func() bool { return strings.Contains(adminCall(t, r, "STATS"), "\ntargets=1\n") })
	record(r, "STATS", "WATCH", "DRAIN", "READY", "UNDRAIN", "READY")

	name := filepath.Join("testdata", "management.txt")
	if *update {
		if err := os.WriteFile(name, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("%s:\n got %s\nwant %s", name, out.Bytes(), want)
	}
}
