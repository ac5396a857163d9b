package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Silent connections fill the handshake pool, and each stays for a while, so that a client behind them waits in the accept
// queue. The deadline sent to the backend plus the time that the client has waited must not exceed the client's deadline.
func TestAcceptor_QueueTimeCountsAgainstDeadline(t *testing.T) {
	backend := newScriptedBackend(t)
	cfg := plainConfig("", backend.endpoint("b"))
	cfg.MaxDescriptors = 48 // five of them for connections that have not sent OPEN
	r, _, _ := startRelay(t, cfg)
	for range 60 {
		c, err := net.Dial("tcp", r.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	const clientTimeout = 5 * time.Second
	sent := time.Now()
	if _, err := fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=%d\r\n", 7, 7, clientTimeout.Milliseconds()); err != nil {
		t.Fatal(err)
	}
	conn := backend.accept()
	line, err := conn.reader.ReadString('\n')
	waited := time.Since(sent)
	remainingMillis := 0
	if _, scanError := fmt.Sscanf(line, "OPEN 0000000000000007 0000000000000007 c=chat,d=%d", &remainingMillis); err != nil || scanError != nil {
		t.Fatalf("the backend received %q: %v, %v", line, err, scanError)
	}
	if waited < 200*time.Millisecond {
		t.Fatalf("the client waited in the queue for %v, want at least 200ms", waited)
	}
	if excess := time.Duration(remainingMillis)*time.Millisecond + waited - clientTimeout; excess > 150*time.Millisecond {
		t.Errorf("after %v its backend receives a deadline of %d ms: %v more than was left", waited, remainingMillis, excess)
	}
}

// Clients send OPEN before the relay accepts connections, up to 0.7 s before. The deadline sent to the backend must not exceed
// what was left of the client's timeout when the relay started, whenever the relay's goroutines are scheduled, by more than the
// resolution of the kernel's clock. A client that connects as early and sends its OPEN after the start has its whole timeout.
func TestAcceptor_TimeoutCountsFromArrivalOfOpen(t *testing.T) {
	t.Parallel()
	const clientTimeout = time.Minute
	const resolution = kernelTick + time.Millisecond // OPEN tells the remaining time in whole milliseconds
	backend := newScriptedBackend(t)
	r, err := New(plainConfig("127.0.0.1:9", backend.endpoint("s-0")), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	late, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = late.Close() })
	start := time.Now()
	var sent []time.Time
	for i, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 660 * time.Millisecond} {
		eventually(t, "the client's time to send has come", func() bool { return time.Since(start) >= delay })
		openSession(t, r, i, "")
		sent = append(sent, time.Now())
	}
	eventually(t, "the clients have waited", func() bool { return time.Since(start) > 700*time.Millisecond })

	ctx, cancel := context.WithCancel(context.Background())
	ended, started := make(chan error, 1), time.Now()
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	for range sent {
		id, remaining := backend.acceptOpen(t)
		if most := clientTimeout - started.Sub(sent[id]) + kernelTick; remaining > most {
			t.Errorf("client %d: the backend receives a deadline of %v, want at most %v", id, remaining, most)
		}
		if least := clientTimeout - time.Since(sent[id]) - resolution; remaining < least {
			t.Errorf("client %d: the backend receives a deadline of %v, want at least %v", id, remaining, least)
		}
	}
	lateSent := time.Now()
	if _, err := fmt.Fprintf(late, "OPEN %016x %016x c=chat,d=%d\r\n", len(sent), len(sent), clientTimeout.Milliseconds()); err != nil {
		t.Fatal(err)
	}
	if _, remaining := backend.acceptOpen(t); remaining < clientTimeout-time.Since(lateSent)-resolution {
		t.Errorf("a client that sent OPEN %v ago: the backend receives a deadline of %v", time.Since(lateSent), remaining)
	}
}

// acceptOpen accepts a connection and returns the session id and the remaining time of its OPEN line.
func (s *scriptedBackend) acceptOpen(t *testing.T) (id int, remaining time.Duration) {
	t.Helper()
	line, err := s.accept().reader.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	millis := 0
	if _, err := fmt.Sscanf(line, "OPEN %x %x c=chat,d=%d", &id, new(int), &millis); err != nil {
		t.Fatalf("the backend received %q: %v", line, err)
	}
	return id, time.Duration(millis) * time.Millisecond
}

// Clients send OPEN and disconnect before the relay accepts connections. When it does, each has been gone for longer than
// disconnectCleanupTimeout, and nothing may be started for it.
func TestAcceptor_ClientGoneInQueueNotForwarded(t *testing.T) {
	t.Parallel()
	for _, mode := range disconnectModes {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			b := newScriptedBackend(t)
			r, err := New(plainConfig("127.0.0.1:9", b.endpoint("s-0")), zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			for id := range 50 {
				mode.disconnect(openSession(t, r, id+1, ""))
			}
			disconnected := time.Now()
			eventually(t, "the clients have been gone for long", func() bool { return time.Since(disconnected) > disconnectCleanupTimeout })
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- r.Run(ctx) }()
			t.Cleanup(func() {
				cancel()
				if err := <-ended; err != nil {
					t.Error(err)
				}
			})
			expectServed(t, r, b, 999)
		})
	}
}
