package controller

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
)

// A peer is identified by its address in the configuration; datagrams from other addresses are dropped.
func TestController_GossipIsBetweenPeersOnly(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	gossip := []byte{0, 0, 0, 0, 0, 0, 0, 1}
	var messages []string
	controller.log = zap.New(messageLogger(func(msg string) { messages = append(messages, msg) }))
	controller.DatagramReceived(time.Second, netip.MustParseAddrPort("127.0.0.1:9"), gossip)
	controller.DatagramReceived(time.Second, netip.MustParseAddrPort("[::ffff:127.0.0.1]:2"), gossip)
	if !slices.Equal(messages, []string{"datagram from unknown sender"}) {
		t.Errorf("logged %q, want one datagram from an unknown sender", messages)
	}
	actions := balancerActions{controller}
	actions.SendGossip(1, []byte("more"))
	actions.SendGossip(2, []byte("nobody"))
	actions.SendGossip(0, make([]byte, MaxDatagramBytes+1))
	if !slices.Equal(driver.datagrams, []string{"127.0.0.1:2 more"}) {
		t.Errorf("sent %q, want only the datagram to peer 1", driver.datagrams)
	}
}
