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

// A deadline shorter than the time to connect, one attempt, no grace, an idle time of some milliseconds: it serves, and
// what cannot be served is answered in its time.
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
	came := time.Now()
	try := b.accept()
	try.expectLine("OPEN")
	c.expectLine("ERR") // it may have run
	c.expectEOF()
	if took := time.Since(came); took < 250*time.Millisecond || took > 600*time.Millisecond { // the rule's 50 ms are the seeds' to hold
		t.Errorf("answered after %v", took)
	}
	addr, _ := listenFullQueue(t)
	cfg.CachedEndpoints = fake.EncodeList(1, []fake.Endpoint{{ID: "s-0", Addr: addr, Zone: "east", State: "ready", Weight: 1}})
	r, _, _ = startRelay(t, cfg)
	c = openSession(t, r, 3, "")
	came = time.Now()
	c.expectLine("BUSY\r\n") // it cannot have run
	c.expectEOF()
	if took := time.Since(came); took > 600*time.Millisecond {
		t.Errorf("answered after %v", took)
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
	eventually(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before })
	if n := r.sessionCount.Load(); n != 0 {
		t.Errorf("%d flows are still counted", n)
	}
}
