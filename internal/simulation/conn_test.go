package simulation

import (
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/session"
)

// connectedPair returns the two ends of an established connection whose receive windows hold the given number of bytes.
func connectedPair(t *testing.T, receiveWindow int) (e *engine, near, far *connEnd) {
	t.Helper()
	e = newEngine(1, nil)
	e.receiveWindow = receiveWindow
	client, server := e.newHost("client", "client"), e.newHost("server", "server")
	client.start()
	server.start()
	server.onAccept = func(conn *connEnd) { far = conn }
	client.dial(server, time.Second, func(conn *connEnd) { near = conn })
	e.runFor(2 * time.Second)
	if near == nil || far == nil {
		t.Fatal("no connection was established")
	}
	return e, near, far
}

// runFor runs the events of the given time.
func (e *engine) runFor(d time.Duration) {
	for end := e.now + d; e.runNext(end); {
	}
}

// A FIN was sent while writes still waited for the peer to read. It overtook them: the peer took the stream for ended, and got
// more bytes after that, as no TCP connection delivers them.
func TestConnEnd_FINFollowsPendingWrites(t *testing.T) {
	const window = 10
	e, near, far := connectedPair(t, window)
	first, second := strings.Repeat("a", window), strings.Repeat("b", window)
	near.write([]byte(first), func(bool) {})
	near.write([]byte(second), func(bool) {})
	near.closeWrite()
	e.runFor(time.Second)
	if string(far.received) != first || far.remoteEnd != session.NoEnd {
		t.Fatalf("before the peer reads: received %q, end %v; want %q and no end", far.received, far.remoteEnd, first)
	}
	far.consume(window)
	e.runFor(time.Second)
	if string(far.received) != second || far.remoteEnd != session.EndFIN {
		t.Errorf("after the peer has read: received %q, end %v; want %q and a FIN", far.received, far.remoteEnd, second)
	}
	near.write([]byte("c"), func(ok bool) {
		if ok {
			t.Error("a write behind the FIN was accepted")
		}
	})
}

// A process that gives up on writes that the peer does not read still ends the connection.
func TestConnEnd_CloseSendsPendingFIN(t *testing.T) {
	const window = 10
	e, near, far := connectedPair(t, window)
	near.write([]byte(strings.Repeat("a", window)), func(bool) {})
	near.write([]byte("b"), func(bool) {})
	near.closeWrite()
	near.close()
	e.runFor(time.Second)
	far.consume(window)
	e.runFor(time.Second)
	if len(far.received) > 0 || far.remoteEnd != session.EndFIN {
		t.Errorf("received %q more, end %v; want nothing and a FIN", far.received, far.remoteEnd)
	}
}

// A cancelled write is not waited for.
func TestConnEnd_FINIgnoresCancelledWrites(t *testing.T) {
	const window = 10
	e, near, far := connectedPair(t, window)
	near.write([]byte(strings.Repeat("a", window)), func(bool) {})
	near.write([]byte("b"), func(bool) {}).cancelled = true
	near.closeWrite()
	e.runFor(time.Second)
	if far.remoteEnd != session.EndFIN {
		t.Errorf("end %v, want a FIN", far.remoteEnd)
	}
}
