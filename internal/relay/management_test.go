package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/fake"
	"aspenbarrow/internal/shadow"
)

// managed is a relay with a second address and one backend.
func managed(t *testing.T) *Relay {
	t.Helper()
	return managedAs(t, "x0=0.1", func(*Config) {})
}

// managedAs is that under a changed configuration, with what the backend reports.
func managedAs(t *testing.T, report string, change func(*Config)) *Relay {
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
	cfg := config(d.Addr(), entry)
	cfg.Settings.PassThrough, cfg.Management = false, "127.0.0.1:0"
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

// call makes one call at the second address.
func call(t *testing.T, r *Relay, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.adminServer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c, text+"\n")
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return string(got)
}

func pinged(t *testing.T, r *Relay) string {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c, "PING\r\n")
	got, _ := bufio.NewReader(c).ReadString('\n')
	return got
}

func upClient(t *testing.T, r *Relay, id int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", id, id)
	got := make([]byte, 3)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "UP " {
		t.Fatalf("%q, %v", got, err)
	}
	return c
}

// Nothing at the second address waits for the loop: with it held up, and 200 callers that say nothing, each call is
// answered, and PING says no as soon as DRAIN has been answered.
func TestTheSecondAddressWaitsForNobody(t *testing.T) {
	r := managed(t)
	for i := range 5 {
		upClient(t, r, i+1)
	}
	until(t, "five are counted", func() bool { return strings.Contains(call(t, r, "STATS"), "concurrent=5\n") })
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
	stats := call(t, r, "STATS")
	for _, want := range []string{"replies.chat.success=5\n", "replies.chat.overload=0\n", "dispatches=5\n", "concurrent=5\n", "targets=1\n", "EOT\n"} {
		if !strings.Contains(stats, want) {
			t.Errorf("%q lacks %q", stats, want)
		}
	}
	if got := call(t, r, "READY"); got != "SUCCESS serving\n" {
		t.Errorf("%q", got)
	}
	if got := call(t, r, "DRAIN"); got != "SUCCESS draining\n" {
		t.Errorf("%q", got)
	}
	if got := pinged(t, r); got != "ERR\r\n" {
		t.Errorf("a drained relay says %q", got)
	}
	if got := call(t, r, "UNDRAIN"); got != "SUCCESS taking clients\n" {
		t.Errorf("%q", got)
	}
	if got := pinged(t, r); got != "PONG\r\n" {
		t.Errorf("a relay that is drained no more says %q", got)
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("six answers took %v", took)
	}
	close(free)
}

// A drained relay moves all its clients within four seconds, not all at once, serves who still comes, and takes
// clients again when it is told to.
func TestADrainedRelaySendsItsClientsAway(t *testing.T) {
	r := managed(t)
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
		go watch(upClient(t, r, i+1))
	}
	begun = time.Now()
	if got := call(t, r, "DRAIN") + call(t, r, "DRAIN"); got != "SUCCESS draining\nSUCCESS draining\n" {
		t.Errorf("%q", got)
	}
	go watch(upClient(t, r, n)) // it was on its way
	if got := call(t, r, "READY"); !strings.HasPrefix(got, "FAILURE drained") {
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
	until(t, "nobody is left", func() bool { return strings.Contains(call(t, r, "STATS"), "concurrent=0\n") })
	if got := call(t, r, "UNDRAIN"); got != "SUCCESS taking clients\n" {
		t.Errorf("%q", got)
	}
	if got := pinged(t, r); got != "PONG\r\n" {
		t.Errorf("%q", got)
	}
	upClient(t, r, 99)
}

// What other settings would do is told at the second address and done nowhere: under the same ones nothing differs,
// and one that cannot ask would have sent a client to a backend that says it is full.
func TestWatchingTellsAtTheSecondAddress(t *testing.T) {
	if got := call(t, managed(t), "WATCH"); !strings.HasPrefix(got, "FAILURE nothing is watched") {
		t.Errorf("%q", got)
	}
	same := func(cfg *Config) { cfg.Shadow = shadow.ShapeOf(&cfg.Settings.Settings) }
	r := managedAs(t, "x0=0.1", same)
	for i := range 5 {
		upClient(t, r, i+1)
	}
	until(t, "five are compared", func() bool { return strings.Contains(call(t, r, "WATCH"), "watch.compared=5\n") })
	got := call(t, r, "WATCH")
	if !strings.HasSuffix(got, "watch.fault=0\nEOT\n") || strings.Count(got, "=0\n") != strings.Count(got, "=")-1 {
		t.Errorf("the same settings: %q", got)
	}
	r = managedAs(t, "x0=2.0", func(cfg *Config) { same(cfg); cfg.Shadow.Probes, cfg.Shadow.Report = false, nil })
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", 1, 1)
	if answer, _ := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(answer, "BUSY") {
		t.Errorf("%q of a full backend", answer)
	}
	until(t, "it is counted", func() bool { return strings.Contains(call(t, r, "WATCH"), "watch.sent=1\n") })
}
