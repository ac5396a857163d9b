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

// Clients send a malformed line just as the full handshake pool may evict them: ERR and BUSY are due at the same time. Each
// client receives one final answer, whichever comes first.
func TestHandshakePool_OneFinalAnswerAtEviction(t *testing.T) {
	const (
		clientCount = 40
		duration    = 15 * time.Second
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
