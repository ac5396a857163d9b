package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	"go.uber.org/zap"

	"aspenbarrow/internal/fake"
)

// newBenchBackend starts a backend that costs little beside the relay that is measured: it echoes what follows the OPEN
// line, or (with idle) answers UP and keeps the connection open without a goroutine.
func newBenchBackend(b *testing.B, idle bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var held []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				break
			}
			answer := func() bool {
				buf := make([]byte, 4096)
				n, err := c.Read(buf)
				switch {
				case err != nil:
					return false
				case bytes.HasPrefix(buf[:n], []byte("OPEN")):
					_, err = io.WriteString(c, "UP 1\r\n")
				default: // a health check; the relay may send another
					_, err = io.WriteString(c, "PONG x0=0.1\r\n")
				}
				return err == nil
			}
			if idle {
				answer()
				held = append(held, c)
				continue
			}
			go func() {
				defer c.Close()
				if answer() {
					_, _ = io.Copy(c, c)
				}
			}()
		}
		for _, c := range held {
			_ = c.Close()
		}
	}()
	b.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

// newBenchDialer starts a relay with one such backend and returns a function that opens connections through it.
func newBenchDialer(b *testing.B, idle bool) func() net.Conn {
	entry := fake.Endpoint{ID: "s-0", Addr: newBenchBackend(b, idle), Zone: "east", State: "ready", Weight: 1}
	var d fake.Discovery
	if err := d.Listen("127.0.0.1:0", entry); err != nil {
		b.Fatal(err)
	}
	cfg := testConfig(d.Addr(), entry)
	cfg.MemoryMB, cfg.MaxDescriptors = 0, 0
	cfg.Settings.HealthChecks, cfg.Settings.PassThrough, cfg.PeerListen = false, false, ""
	r, err := New(cfg, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			b.Error(err)
		}
		d.Close()
	})
	n := 0
	buf := make([]byte, 64)
	return func() net.Conn {
		c, err := net.Dial("tcp", r.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		n++
		fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1000\r\n", n, n)
		if k, err := c.Read(buf); err != nil || !bytes.HasPrefix(buf[:k], []byte("UP")) {
			b.Fatalf("the client received %q, error %v, want UP", buf[:k], err)
		}
		return c
	}
}

// BenchmarkRelay_OpenSession measures one connection after the other: opened through the relay, answered and closed.
func BenchmarkRelay_OpenSession(b *testing.B) {
	dial := newBenchDialer(b, false)
	b.ReportAllocs()
	for b.Loop() {
		_ = dial().Close()
	}
}

// BenchmarkSession_ForwardLine measures lines on an established connection, there and back.
func BenchmarkSession_ForwardLine(b *testing.B) {
	c := newBenchDialer(b, false)()
	defer c.Close()
	line, buf := []byte("line 00000000000000000000000000000000\r\n"), make([]byte, 64)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(line); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, buf[:len(line)]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSession_Memory measures the heap and stack memory of an established connection, the client's and the backend's
// sockets included. Only the first iteration is exact (-benchtime 1x): later ones run while the one before still frees memory.
func BenchmarkSession_Memory(b *testing.B) {
	dial := newBenchDialer(b, true)
	const connCount = 1000
	used := func() (heap, stack uint64) {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc, m.StackInuse
	}
	for b.Loop() {
		dial().Close()
		heap, stack := used()
		conns := make([]net.Conn, 0, connCount)
		for range connCount {
			conns = append(conns, dial())
		}
		h, s := used()
		b.ReportMetric(float64(h-heap)/connCount, "heap-B/conn")
		b.ReportMetric(float64(s-stack)/connCount, "stack-B/conn")
		b.ReportMetric(float64(h-heap+s-stack)/connCount, "B/conn")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
