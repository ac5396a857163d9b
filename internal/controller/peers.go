package controller

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// MaxDatagramBytes is the maximum size of a datagram between relays.
const MaxDatagramBytes = 256

// peerTable maps the address of a peer to its index in the configured list.
type peerTable map[netip.AddrPort]int

// newPeerTable leaves out addresses that cannot be parsed; the indices of the others do not change.
func newPeerTable(peers []string) peerTable {
	table := peerTable{}
	for i, address := range peers {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			table[parsed] = i
		}
	}
	return table
}

// lookup treats an IPv4-mapped IPv6 address as the IPv4 address.
func (p peerTable) lookup(from netip.AddrPort) (peer int, known bool) {
	peer, known = p[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	return peer, known
}

// DatagramReceived handles a datagram of another relay: a membership message or the balancer's gossip. Datagrams of
// unknown senders are dropped.
func (c *Controller) DatagramReceived(now time.Duration, from netip.AddrPort, data []byte) {
	peer, known := c.peers.lookup(from)
	if !known {
		c.log.Warn("datagram from unknown sender", zap.Stringer("from", from))
		return
	}
	if c.membership.list != nil && c.membershipDatagram(now, peer, data) {
		return
	}
	c.deliver(now, func() { c.balancer.GossipReceived(c.now, peer, data) })
}
