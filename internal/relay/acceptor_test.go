package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
)

// A crowd that says nothing fills the few places that there are for it, and holds each for a while. Who comes behind it lies in
// the accept queue: what a backend is told of its patience, and the time that it has waited already, are no more than it had.
func TestAcceptor_QueueTimeCountsAgainstDeadline(t *testing.T) {
	s := newScriptedBackend(t)
	cfg := plainConfig("", s.endpoint("b"))
	cfg.MaxDescriptors = 48 // five of them for who has said nothing yet
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
	const patience = 5 * time.Second
	sent := time.Now()
	if _, err := fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=%d\r\n", 7, 7, patience.Milliseconds()); err != nil {
		t.Fatal(err)
	}
	b := s.accept()
	line, err := b.reader.ReadString('\n')
	lay := time.Since(sent)
	left := 0
	if _, scan := fmt.Sscanf(line, "OPEN 0000000000000007 0000000000000007 c=chat,d=%d", &left); err != nil || scan != nil {
		t.Fatalf("the backend was asked %q: %v, %v", line, err, scan)
	}
	if lay < 200*time.Millisecond {
		t.Fatalf("it lay in the queue for %v: the case is not hard", lay)
	}
	if over := time.Duration(left)*time.Millisecond + lay - patience; over > 150*time.Millisecond {
		t.Errorf("after %v its backend is told of %d ms: %v more than it had", lay, left, over)
	}
}

// They ask and leave while nobody takes connections in yet: when somebody does, each has been gone for longer than anything
// may be begun for it.
func TestAcceptor_ClientGoneInQueueNotForwarded(t *testing.T) {
	t.Parallel()
	for _, way := range departures {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			b := newScriptedBackend(t)
			r, err := New(plainConfig("127.0.0.1:9", b.endpoint("s-0")), zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			for id := range 50 {
				way.how(openSession(t, r, id+1, ""))
			}
			gone := time.Now()
			eventually(t, "they have been gone for long", func() bool { return time.Since(gone) > departureTimeout })
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
