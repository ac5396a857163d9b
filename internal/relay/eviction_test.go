package relay

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenbarrow/internal/handshake"
)

// A connection of the pool may be due a final answer from its own goroutine, from an eviction and from the end of the relay at
// the same time. Whichever comes first is the only one, and no PONG follows it.
func TestHandshakePool_OneFinalAnswer(t *testing.T) {
	answer := func(pool *handshakePool, pending *handshake.Connection) { pool.sendFinalAnswer(pending, "ERR\r\n") }
	evict := func(pool *handshakePool, pending *handshake.Connection) {
		relayEnd, _ := tcpPipe(t)
		pool.add(relayEnd)
	}
	end := func(pool *handshakePool, pending *handshake.Connection) { pool.closeAll() }
	reply := func(pool *handshakePool, pending *handshake.Connection) { _ = pool.reply(pending, "PONG 1\r\n") }
	for _, tc := range []struct {
		name          string
		first, second func(pool *handshakePool, pending *handshake.Connection)
		want          string
	}{
		{"answer, then eviction", answer, evict, "ERR\r\n"},
		{"eviction, then answer", evict, answer, "BUSY 1000\r\n"},
		{"answer, then the end of the relay", answer, end, "ERR\r\n"},
		{"the end of the relay, then answer", end, answer, "BUSY 1000\r\n"},
		{"two answers", answer, answer, "ERR\r\n"},
		{"PONG, then eviction", reply, evict, "PONG 1\r\nBUSY 1000\r\n"},
		{"eviction, then PONG", evict, reply, "BUSY 1000\r\n"},
		{"answer, then PONG", answer, reply, "ERR\r\n"},
		{"the end of the relay, then PONG", end, reply, "BUSY 1000\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pool := newHandshakePool(1, "BUSY 1000\r\n", relayClock())
			relayEnd, clientEnd := tcpPipe(t)
			pending := pool.add(relayEnd)
			tc.first(pool, pending)
			tc.second(pool, pending)
			if got, err := io.ReadAll(clientEnd); err != nil || string(got) != tc.want {
				t.Errorf("the client received %q, error %v, want %q", got, err, tc.want)
			}
		})
	}
}

// A malformed line is rejected while the pool evicts its connection. The session's goroutine must wait until the eviction is
// complete: without that it sends ERR beside BUSY.
func TestHandshakePool_RejectionWaitsForEviction(t *testing.T) {
	const rejectionTime = 300 * time.Millisecond // far longer than the relay takes to reject a line
	r, _, _ := startRelay(t, plainConfig("127.0.0.1:9", newScriptedBackend(t).endpoint("s-0")))
	client, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	eventually(t, "the connection is in the pool", func() bool { return r.handshakes.size() == 1 })

	r.handshakes.mu.Lock()
	if _, err := io.WriteString(client, "frob\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = client.SetReadDeadline(time.Now().Add(rejectionTime))
	if n, err := client.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("the client received %d bytes, error %v, while its connection is being evicted", n, err)
	}
	evicted := r.handshakes.pool.RemoveAll()[0].Conn.(*net.TCPConn)
	_, _ = evicted.Write(r.handshakes.busyAnswer)
	r.handshakes.mu.Unlock()
	_ = client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, _ := io.ReadAll(client); string(got) != string(r.handshakes.busyAnswer) {
		t.Errorf("the client received %q, want %q", got, r.handshakes.busyAnswer)
	}
}

// Clients send a malformed line just as the full handshake pool may evict them: ERR and BUSY are due at the same time. Each
// client receives one final answer, whichever comes first.
func TestHandshakePool_OneFinalAnswerAtEviction(t *testing.T) {
	t.Parallel()
	const (
		clientCount = 40
		duration    = 5 * time.Second
	)
	cfg := plainConfig("127.0.0.1:9", newScriptedBackend(t).endpoint("s-0"))
	cfg.MaxDescriptors = 48 // five of them for connections that have not sent OPEN
	r, _, _ := startRelay(t, cfg)
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for range clientCount {
		clients.Go(func() {
			for time.Now().Before(end) {
				expectOneAnswerToMalformedLine(t, r)
			}
		})
	}
	clients.Wait()
}

// expectOneAnswerToMalformedLine sends a malformed line at the time of a likely eviction and reads all answers.
func expectOneAnswerToMalformedLine(t *testing.T, r *Relay) {
	conn, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	<-time.After(handshake.EvictionGrace - time.Millisecond)
	_, _ = io.WriteString(conn, "frob\r\n")
	if answers, _ := io.ReadAll(conn); strings.Count(string(answers), "\r\n") > 1 {
		t.Errorf("the client received %q, want one final answer", answers)
	}
}
