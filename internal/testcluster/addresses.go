package testcluster

import (
	"net/netip"
)

// How many there may be: a pair's address has 24 bits.
const (
	maxRelays   = 1024
	maxBackends = 1024
)

// The first of the bytes after 127 by kind.
const (
	relayNet     = 1  // relays' own addresses
	discoveryNet = 2  // discovery, one address for each relay
	broadcastNet = 3  // datagrams to all, one address for each sender
	backendNet   = 16 // backends, one address for each pair with a relay
	peerNet      = 32 // peers, one address for each pair
	backendBits  = 10
	peerBits     = 10
	addressBits  = 16 // bits within a net's second byte
)

// loopbackAddress is the n-th address of a net. Each pair of parties has one of its own in 127.0.0.0/8, so that one wildcard
// socket of a kind serves all pairs and still knows who speaks to whom.
func loopbackAddress(net, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(net + n>>addressBits), byte(n >> 8), byte(n)})
}

// indexInNet is what an address was made of, within its net.
func indexInNet(a netip.Addr, net int) (int, bool) {
	b := a.Unmap().As4()
	n := (int(b[1])-net)<<addressBits | int(b[2])<<8 | int(b[3])
	return n, b[0] == 127 && int(b[1]) >= net
}

// ports are the cluster's: one of a kind.
type ports struct {
	relay, peer, discovery, datagram int
	releaseRelay                     func()
}

func hostPort(a netip.Addr, port int) string { return netip.AddrPortFrom(a, uint16(port)).String() }

func (p ports) relayAddr(r int) string { return hostPort(loopbackAddress(relayNet, r), p.relay) }

// adminAddr is a relay's second address: the port of its datagrams is free for connections.
func (p ports) adminAddr(r int) string { return hostPort(loopbackAddress(relayNet, r), p.peer) }

func (p ports) peerListen(r int) string { return hostPort(loopbackAddress(relayNet, r), p.peer) }
func (p ports) discoveryAddr(r int) string {
	return hostPort(loopbackAddress(discoveryNet, r), p.discovery)
}

// peerAddr is where relay i sends to have relay j hear it, and from where relay i hears relay j.
func (p ports) peerAddr(i, j int) string {
	return hostPort(loopbackAddress(peerNet, i<<peerBits|j), p.datagram)
}
func (p ports) broadcastAddr(i int) string {
	return hostPort(loopbackAddress(broadcastNet, i), p.datagram)
}

// backendPair is who speaks to whom at a backend's address.
func backendPair(a netip.Addr) (relay, backend int, ok bool) {
	n, ok := indexInNet(a, backendNet)
	return n >> backendBits, n & (1<<backendBits - 1), ok && n < maxRelays<<backendBits
}
