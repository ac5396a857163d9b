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

// startAdminRelayWith does the same with a changed configuration and load report.
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
		t.Fatalf("%q, %v", got, err)
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
	eventually(t, "five are counted", func() bool { return strings.Contains(adminCall(t, r, "STATS"), "concurrent=5\n") })
	held, free := make(chan struct{}), make(chan struct{})
	r.post(func(time.Duration) { close(held); <-free })
	<-held
	for range 2 * cap(r.events) { // and whoever posts waits
		go r.post(func(time.Duration) {})
	}
	for range 200 {
		c, err := net.Dial("tcp", r.adminServer.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	begun := time.Now()
	stats := adminCall(t, r, "STATS")
	for _, want := range []string{"replies.chat.success=5\n", "replies.chat.overload=0\n", "dispatches=5\n", "concurrent=5\n", "targets=1\n", "EOT\n"} {
		if !strings.Contains(stats, want) {
			t.Errorf("%q lacks %q", stats, want)
		}
	}
	if got := adminCall(t, r, "READY"); got != "SUCCESS serving\n" {
		t.Errorf("%q", got)
	}
	if got := adminCall(t, r, "DRAIN"); got != "SUCCESS draining\n" {
		t.Errorf("%q", got)
	}
	if got := ping(t, r); got != "ERR\r\n" {
		t.Errorf("a drained relay says %q", got)
	}
	if got := adminCall(t, r, "UNDRAIN"); got != "SUCCESS taking clients\n" {
		t.Errorf("%q", got)
	}
	if got := ping(t, r); got != "PONG\r\n" {
		t.Errorf("a relay that is drained no more says %q", got)
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("six answers took %v", took)
	}
	close(free)
}

// A drained relay moves all its clients within four seconds, not all at once, serves clients that still come, and
// accepts clients again after UNDRAIN.
func TestRelay_DrainMovesClients(t *testing.T) {
	r := startAdminRelay(t)
	const n = 30
	moved := make(chan time.Duration, n)
	begun := time.Now()
	watch := func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			l, err := in.ReadString('\n')
			if err != nil || l == "MOVE\r\n" {
				moved <- time.Since(begun)
				return
			}
		}
	}
	for i := range n - 1 {
		go watch(openEstablished(t, r, i+1))
	}
	begun = time.Now()
	if got := adminCall(t, r, "DRAIN") + adminCall(t, r, "DRAIN"); got != "SUCCESS draining\nSUCCESS draining\n" {
		t.Errorf("%q", got)
	}
	go watch(openEstablished(t, r, n)) // it was on its way
	if got := adminCall(t, r, "READY"); !strings.HasPrefix(got, "FAILURE drained") {
		t.Errorf("%q", got)
	}
	first, last := time.Duration(0), time.Duration(0)
	for i := range n {
		at := <-moved
		if i == 0 {
			first = at
		}
		last = at
	}
	if last > 4*time.Second || last-first < 500*time.Millisecond {
		t.Errorf("moved from %v to %v after the call", first, last)
	}
	eventually(t, "nobody is left", func() bool { return strings.Contains(adminCall(t, r, "STATS"), "concurrent=0\n") })
	if got := adminCall(t, r, "UNDRAIN"); got != "SUCCESS taking clients\n" {
		t.Errorf("%q", got)
	}
	if got := ping(t, r); got != "PONG\r\n" {
		t.Errorf("%q", got)
	}
	openEstablished(t, r, 99)
}

// Shadow evaluation is reported and never acted on: equal settings show no difference, and settings without health
// checks would have sent a client to a backend that reports to be full.
func TestAdmin_ReportsShadowEvaluation(t *testing.T) {
	if got := adminCall(t, startAdminRelay(t), "WATCH"); !strings.HasPrefix(got, "FAILURE nothing is watched") {
		t.Errorf("%q", got)
	}
	same := func(cfg *Config) { cfg.Shadow = shadow.ShapeOf(&cfg.Settings.Settings) }
	r := startAdminRelayWith(t, "x0=0.1", same)
	for i := range 5 {
		openEstablished(t, r, i+1)
	}
	eventually(t, "five are compared", func() bool { return strings.Contains(adminCall(t, r, "WATCH"), "watch.compared=5\n") })
	got := adminCall(t, r, "WATCH")
	if !strings.HasSuffix(got, "watch.fault=0\nEOT\n") || strings.Count(got, "=0\n") != strings.Count(got, "=")-1 {
		t.Errorf("the same settings: %q", got)
	}
	r = startAdminRelayWith(t, "x0=2.0", func(cfg *Config) { same(cfg); cfg.Shadow.HealthChecks, cfg.Shadow.ReportFields = false, nil })
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", 1, 1)
	if answer, _ := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(answer, "BUSY") {
		t.Errorf("%q of a full backend", answer)
	}
	eventually(t, "it is counted", func() bool { return strings.Contains(adminCall(t, r, "WATCH"), "watch.sent=1\n") })
}

var update = flag.Bool("update", false, "write golden files")

// The answers of a relay with five clients are the golden file's, byte for byte.
func TestAdmin_Golden(t *testing.T) {
	var out bytes.Buffer
	say := func(r *Relay, calls ...string) {
		for _, c := range calls {
			fmt.Fprintf(&out, "--- %q\n%s", c, adminCall(t, r, c))
		}
	}
	bare := startAdminRelay(t)
	eventually(t, "it serves", func() bool { return strings.HasPrefix(adminCall(t, bare, "READY"), "SUCCESS") })
	say(bare, "READY", "WATCH", "MEMBERS", "", "ready")
	r := startAdminRelayWith(t, "x0=0.1", func(cfg *Config) { cfg.Shadow = shadow.ShapeOf(&cfg.Settings.Settings) })
	for i := range 5 {
		openEstablished(t, r, i+1)
	}
	eventually(t, "five are compared", func() bool { return strings.Contains(adminCall(t, r, "WATCH"), "watch.compared=5\n") })
	eventually(t, "the list is counted", func() bool { return strings.Contains(adminCall(t, r, "STATS"), "\ntargets=1\n") })
	say(r, "STATS", "WATCH", "DRAIN", "READY", "UNDRAIN", "READY")

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
