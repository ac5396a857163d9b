package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"aspenbarrow/internal/handshake"
)

func TestHandshakePool_EvictsOldest(t *testing.T) {
	pool := newHandshakePool(2, "BUSY 1000\r\n", relayClock())
	var added []*handshake.Connection
	var clientEnds []*net.TCPConn
	for range 4 {
		relayEnd, clientEnd := tcpPipe(t)
		start := time.Now()
		added, clientEnds = append(added, pool.add(relayEnd)), append(clientEnds, clientEnd)
		if took := time.Since(start); took > time.Second {
			t.Errorf("adding a connection took %v", took)
		}
	}
	for i, connection := range added {
		if remained := pool.remove(connection); remained != (i >= 2) {
			t.Errorf("connection %d was still in the pool: %v, want %v", i, remained, i >= 2)
		}
	}
	for _, clientEnd := range clientEnds[:2] {
		if b, err := io.ReadAll(clientEnd); err != nil || string(b) != "BUSY 1000\r\n" {
			t.Errorf("an evicted client received %q, error %v, want BUSY", b, err)
		}
	}
	// A connection that has had its final answer is evicted first, however late it was added.
	relayEnd, _ := tcpPipe(t)
	oldest := pool.add(relayEnd)
	relayEnd, clientEnd := tcpPipe(t)
	answered := pool.add(relayEnd)
	pool.sendFinalAnswer(answered, "ERR\r\n")
	_ = clientEnd.Close()
	pool.discardInput(answered)
	relayEnd, _ = tcpPipe(t)
	pool.add(relayEnd)
	if pool.remove(answered) || !pool.remove(oldest) {
		t.Error("the older silent connection was evicted, not the one that has had its final answer")
	}
}

func TestHandshakePool_DiscardInputIsBounded(t *testing.T) {
	pool := newHandshakePool(1, "", relayClock())
	relayEnd, clientEnd := tcpPipe(t)
	connection := pool.add(relayEnd)
	go func() {
		for b := make([]byte, 32<<10); ; {
			if _, err := clientEnd.Write(b); err != nil {
				return
			}
		}
	}()
	start := time.Now()
	pool.discardInput(connection)
	if took := time.Since(start); took > handshake.LingerTimeout+time.Second {
		t.Errorf("input was discarded for %v, want at most %v", took, handshake.LingerTimeout+time.Second)
	}
}
