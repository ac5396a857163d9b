package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/controller"
)

func TestPeerSocket_SendsAndReceives(t *testing.T) {
	known, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer known.Close()
	ours, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := ours.LocalAddr()
	_ = ours.Close()
	cfg := testConfig("127.0.0.1:9")
	cfg.PeerListen = at.String()
	r, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer r.listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := r.peers.run(ctx); err != nil {
		t.Fatal(err)
	}
	r.peers.startReceiving()
	for _, size := range []int{5, controller.MaxDatagramBytes + 1, 5} { // the one that is too long is dropped
		if _, err := known.WriteTo(make([]byte, size), at); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		select {
		case <-r.events:
		case <-time.After(testTimeout):
			t.Fatal("a peer's datagram is not heard")
		}
	}
	r.peers.queue(known.LocalAddr().String(), []byte("answer"))
	r.peers.queue(known.LocalAddr().String(), []byte("more"))
	buf := make([]byte, 512)
	_ = known.SetReadDeadline(time.Now().Add(testTimeout))
	for _, want := range []string{"answer", "more"} {
		if n, _, err := known.ReadFrom(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("%q, %v", buf[:n], err)
		}
	}
	if len(r.events) != 0 {
		t.Errorf("%d datagrams too many", len(r.events))
	}
}
