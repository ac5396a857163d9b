package membership

import (
	"slices"
	"testing"
	"time"
)

func TestGossip_BoundsPacketSizeAndTraffic(t *testing.T) {
	s := newSimulation(80, 1, DefaultSettings("a-fleet-with-a-name-of-32-bytes.."[:maxNameLength]))
	s.startAll()
	s.run(10 * time.Second)
	before := uint64(0)
	for _, node := range s.nodes {
		before += node.list.stats.BytesSent
	}
	s.run(20 * time.Second)
	after := uint64(0)
	for _, node := range s.nodes {
		after += node.list.stats.BytesSent
		if n := len(node.list.detector.probes) + len(node.list.detector.relayed) + len(node.list.suspicions.active); n > 16 {
			t.Errorf("%d probes and suspicions outstanding in a steady fleet, want at most 16", n)
		}
	}
	if rate := float64(after-before) / 20 / 80; rate > 2048 {
		t.Errorf("each relay sends %.0f bytes/s in a steady fleet, want at most 2048", rate)
	}
	if s.largestPacket > MaxPacketSize {
		t.Errorf("largest datagram has %d bytes, want at most %d", s.largestPacket, MaxPacketSize)
	}
}

func TestGossip_QueueOrder(t *testing.T) {
	q := newGossipQueue(3) // retransmitFactor times 2 transmissions each
	q.push(0)
	q.push(1)
	q.push(2)
	q.push(0)
	if want := []int{0, 2, 1}; !slices.Equal(q.pending, want) {
		t.Fatalf("pending %v, want %v", q.pending, want)
	}
	q.transmitted(2)
	if want := []int{1, 0, 2}; !slices.Equal(q.pending, want) {
		t.Errorf("pending %v after two were sent, want %v", q.pending, want)
	}
	sent := 2
	for len(q.pending) > 0 {
		q.transmitted(1)
		sent++
	}
	if want := 3 * retransmitFactor * 2; sent != want {
		t.Errorf("%d transmissions, want %d", sent, want)
	}
}
