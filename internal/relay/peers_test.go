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
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	freeSocket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := freeSocket.LocalAddr()
	_ = freeSocket.Close()
	cfg := testConfig("127.0.0.1:9")
	cfg.PeerListen = address.String()
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
		if _, err := peer.WriteTo(make([]byte, size), address); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		select {
		case <-r.events:
		case <-time.After(testTimeout):
			t.Fatalf("no datagram of a peer is received within %v", testTimeout)
		}
	}
	r.peers.queue(peer.LocalAddr().String(), []byte("answer"))
	r.peers.queue(peer.LocalAddr().String(), []byte("more"))
	buf := make([]byte, 512)
	_ = peer.SetReadDeadline(time.Now().Add(testTimeout))
	for _, want := range []string{"answer", "more"} {
		if n, _, err := peer.ReadFrom(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("the peer received %q, error %v, want %q", buf[:n], err, want)
		}
	}
	if len(r.events) != 0 {
		t.Errorf("%d more datagrams, want none", len(r.events))
	}
}
