package relay

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/handshake"
)

// bytesAroundAnswer is how much a client sends around the time of its final answer: far more than the relay reads at once,
// and less than it reads at full speed after the answer.
const bytesAroundAnswer = 48 << 10

// dialClient connects a client that sends nothing.
func dialClient(t *testing.T, r *Relay) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{conn.(*net.TCPConn), t, bufio.NewReader(conn)}
}

// send writes text to the relay.
func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("the relay closed its connection: %v", err)
	}
}

// loseIncoming has the system discard every segment that the relay sends to the client, until restoreIncoming: they get
// lost like on a network, and the relay's side has to send them again.
func (c *testClient) loseIncoming() {
	c.t.Helper()
	discardAll := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	c.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &discardAll)
	})
}

// restoreIncoming ends loseIncoming.
func (c *testClient) restoreIncoming() {
	c.t.Helper()
	c.control(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// control sets an option of the client's socket.
func (c *testClient) control(set func(fd int) error) {
	c.t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	var setError error
	if err := raw.Control(func(fd uintptr) { setError = set(int(fd)) }); err != nil || setError != nil {
		c.t.Fatal(err, setError)
	}
}

// answeredRequests returns how many requests were answered BUSY or ERR.
func (r *Relay) answeredRequests() int64 {
	counters := r.controller.Metrics().Class(0)
	return counters.Overload.Load() + counters.Failed.Load()
}

// awaitCloseOrPause waits until the relay counts no connection any more, at most for a fifth of LingerTimeout: a relay that
// reads what its client still sends counts the connection until then.
func (r *Relay) awaitCloseOrPause() {
	for deadline := time.Now().Add(handshake.LingerTimeout / 5); time.Now().Before(deadline); <-time.After(time.Millisecond) {
		if r.handshakes.size() == 0 && r.sessionCount.Load() == 0 {
			return
		}
	}
}

// The segment with the final answer gets lost while the client keeps sending. The relay's system sends it again, unless the
// relay has closed the connection with unread bytes: that resets the connection and discards the answer.
func TestFinalAnswer_DeliveredToClientThatKeepsSending(t *testing.T) {
	t.Parallel()
	const open = "OPEN 0000000000000001 0000000000000001 c=chat,d=60000\r\n"
	more := strings.Repeat("more\r\n", bytesAroundAnswer/len("more\r\n"))
	for _, tc := range []struct {
		name          string
		clientTimeout time.Duration
		act           func(t *testing.T, r *Relay, b *scriptedBackend, shutdown func(), c *testClient)
		want          string // prefix of the final answer
	}{
		{"malformed line", time.Minute, func(_ *testing.T, _ *Relay, _ *scriptedBackend, _ func(), c *testClient) {
			c.loseIncoming()
			c.send("frob\r\n" + more)
		}, "ERR"},
		{"more in the same write as OPEN", time.Minute, func(_ *testing.T, _ *Relay, _ *scriptedBackend, _ func(), c *testClient) {
			c.loseIncoming()
			c.send(open + more)
		}, "ERR"},
		{"relay at its limit", time.Minute, func(t *testing.T, r *Relay, _ *scriptedBackend, _ func(), c *testClient) {
			r.maxSessions.Store(0)
			c.loseIncoming()
			c.send(open)
			eventually(t, "the session is refused", func() bool { return r.answeredRequests() == 1 })
			c.send(more)
		}, "BUSY"},
		{"more before the answer", time.Minute, func(_ *testing.T, _ *Relay, b *scriptedBackend, _ func(), c *testClient) {
			c.send(open)
			b.accept().expectLine("OPEN")
			c.loseIncoming()
			c.send(more)
		}, "ERR"},
		{"no answer in time", 300 * time.Millisecond, func(t *testing.T, r *Relay, b *scriptedBackend, _ func(), c *testClient) {
			c.send(open)
			b.accept().expectLine("OPEN")
			c.loseIncoming()
			eventually(t, "the request has timed out", func() bool { return r.answeredRequests() == 1 })
			c.send(more)
		}, "BUSY"},
		{"shutdown with a request pending", 300 * time.Millisecond, func(t *testing.T, r *Relay, b *scriptedBackend, shutdown func(), c *testClient) {
			c.send(open)
			b.accept().expectLine("OPEN")
			shutdown()
			c.loseIncoming()
			eventually(t, "the request is answered", func() bool { return r.answeredRequests() == 1 })
			c.send(more)
		}, "BUSY"},
		{"shutdown before a complete OPEN line", 300 * time.Millisecond, func(t *testing.T, r *Relay, _ *scriptedBackend, shutdown func(), c *testClient) {
			c.send("PING\r\nOPEN 00000000")
			c.expectLine("PONG")
			c.loseIncoming()
			shutdown()
			eventually(t, "the connection is answered", func() bool { return r.handshakes.size() == 0 })
			c.send(more)
		}, "BUSY"},
		{"migration", 300 * time.Millisecond, func(t *testing.T, r *Relay, b *scriptedBackend, shutdown func(), c *testClient) {
			c.send(open)
			conn := b.accept()
			conn.expectLine("OPEN")
			conn.write("UP it\r\n")
			c.expectLine("UP it")
			c.loseIncoming()
			shutdown()
			conn.expectClosed() // just after MOVE has been written
			c.send(more)
		}, "MOVE"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newScriptedBackend(t)
			cfg := plainConfig("127.0.0.1:9", b.endpoint("s-0"))
			cfg.Settings.PassThrough, cfg.Settings.Classes[0].ClientTimeout = false, tc.clientTimeout
			r, shutdown, _ := startRelay(t, cfg)
			c := dialClient(t, r)
			tc.act(t, r, b, shutdown, c)
			r.awaitCloseOrPause()
			c.restoreIncoming()
			c.expectLine(tc.want)
			c.expectEOF()
		})
	}
}
