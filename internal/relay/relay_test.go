package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/fake"
)

// With a client timeout below the dial timeout, one attempt, no drain grace and an idle timeout of some milliseconds the
// relay serves, and a request that it cannot serve is answered at its deadline.
func TestRelay_ServesWithTightSettings(t *testing.T) {
	t.Parallel()
	b := newScriptedBackend(t)
	cfg := plainConfig("127.0.0.1:9", b.endpoint("s-0"))
	s := &cfg.Settings
	s.MaxAttempts, s.DialTimeout, s.DrainGrace, s.IdleTimeout, s.RetryAfter, s.PassThrough = 1, 2*time.Second, 0, 3*time.Millisecond, false, false
	s.Classes[0].ClientTimeout, s.Classes[0].LatencyObjective, s.Classes[0].MessageLatencyObjective, s.Classes[0].Idempotency = 300*time.Millisecond, 100*time.Millisecond, 0, balance.NonIdempotent
	r, _, _ := startRelay(t, cfg)
	expectServed(t, r, b, 1)
	c := openSession(t, r, 2, "")
	start := time.Now()
	conn := b.accept()
	conn.expectLine("OPEN")
	c.expectLine("ERR") // the request may have run
	c.expectEOF()
	if took := time.Since(start); took < 250*time.Millisecond || took > 600*time.Millisecond { // the simulation checks the rule's 50 ms
		t.Errorf("answered after %v, want 250ms to 600ms", took)
	}
	addr, _ := listenFullQueue(t)
	cfg.CachedEndpoints = fake.EncodeList(1, []fake.Endpoint{{ID: "s-0", Addr: addr, Zone: "east", State: "ready", Weight: 1}})
	r, _, _ = startRelay(t, cfg)
	c = openSession(t, r, 3, "")
	start = time.Now()
	c.expectLine("BUSY\r\n") // the request cannot have run
	c.expectEOF()
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Errorf("answered after %v, want at most 600ms", took)
	}
}

func TestRelay_LeavesNoGoroutines(t *testing.T) {
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
	r, err := New(testConfig(d.Addr(), entry), zap.NewNop())
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
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", i+1, i)
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.HasPrefix(line, "UP") {
			t.Fatalf("the client received %q, error %v, want UP", line, err)
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
	eventually(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before })
	if n := r.sessionCount.Load(); n != 0 {
		t.Errorf("%d sessions are still counted", n)
	}
}
