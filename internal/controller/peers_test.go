package controller

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
)

// The sender is known by its address in the configuration; anybody else is not heard.
func TestController_GossipIsBetweenPeersOnly(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	notice := []byte{0, 0, 0, 0, 0, 0, 0, 1}
	var heard []string
	controller.log = zap.New(messageLogger(func(msg string) { heard = append(heard, msg) }))
	controller.DatagramReceived(time.Second, netip.MustParseAddrPort("127.0.0.1:9"), notice)
	controller.DatagramReceived(time.Second, netip.MustParseAddrPort("[::ffff:127.0.0.1]:2"), notice)
	if !slices.Equal(heard, []string{"datagram from unknown sender"}) {
		t.Errorf("%v", heard)
	}
	a := balancerActions{controller}
	a.SendGossip(1, []byte("more"))
	a.SendGossip(2, []byte("nobody"))
	a.SendGossip(0, make([]byte, MaxDatagramBytes+1))
	if !slices.Equal(driver.datagrams, []string{"127.0.0.1:2 more"}) {
		t.Errorf("%q", driver.datagrams)
	}
}
