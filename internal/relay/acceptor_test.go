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
