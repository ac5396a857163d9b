package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"aspenbarrow/internal/handshake"
)

func TestHandshakePool_EvictsOldest(t *testing.T) {
	l := newHandshakePool(2, "BUSY 1000\r\n", relayClock())
	var guests []*handshake.Connection
	var ends []*net.TCPConn
	for range 4 {
		near, far := tcpPipe(t)
		came := time.Now()
		guests, ends = append(guests, l.add(near)), append(ends, far)
		if took := time.Since(came); took > time.Second {
			t.Errorf("the acceptor waited for %v", took)
		}
	}
	for i, g := range guests {
		if stays := l.remove(g); stays != (i >= 2) {
			t.Errorf("guest %d is still there: %v", i, stays)
		}
	}
	for _, far := range ends[:2] {
		if b, err := io.ReadAll(far); err != nil || string(b) != "BUSY 1000\r\n" {
			t.Errorf("%q, %v", b, err)
		}
	}
	// One that has had its last line goes first, however late it came.
	near, _ := tcpPipe(t)
	old := l.add(near)
	near, far := tcpPipe(t)
	told := l.add(near)
	_ = far.Close()
	l.discardInput(told)
	near, _ = tcpPipe(t)
	l.add(near)
	if l.remove(told) || !l.remove(old) {
		t.Error("a silent one gave way where one was there that had been told")
	}
}

func TestHandshakePool_DiscardInputIsBounded(t *testing.T) {
	l := newHandshakePool(1, "", relayClock())
	near, far := tcpPipe(t)
	g := l.add(near)
	go func() {
		for b := make([]byte, 32<<10); ; {
			if _, err := far.Write(b); err != nil {
				return
			}
		}
	}()
	began := time.Now()
	l.discardInput(g)
	if took := time.Since(began); took > handshake.LingerTimeout+time.Second {
		t.Errorf("read off for %v", took)
	}
}
