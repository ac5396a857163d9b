package testcluster

import (
	"net/netip"
)

// Limits on the number of nodes: the addresses of all pairs are in 127.0.0.0/8, which leaves 24 bits.
const (
	maxRelays   = 1024
	maxBackends = 1024
)

// The second byte of the loopback addresses of each kind of node, and the layout of the bits after it.
const (
	relayNet     = 1  // relays
	discoveryNet = 2  // discovery, one address for each relay
	broadcastNet = 3  // datagrams to all relays, one address for each sender
	adminNet     = 4  // admin endpoints, one address for each of a relay's processes
	backendNet   = 16 // backends, one address for each pair with a relay
	peerNet      = 32 // peers, one address for each pair
	backendBits  = 10
	peerBits     = 10
	relayBits    = 10
	startBits    = 6  // of a process's number in the address of its admin endpoint
	addressBits  = 16 // bits of the index below the second byte
)

// loopbackAddress returns the n-th address of a subnet of 127.0.0.0/8. Each pair of nodes has an address of its own, so
// that a single wildcard socket serves all pairs of a kind and can still distinguish them.
func loopbackAddress(net, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(net + n>>addressBits), byte(n >> 8), byte(n)})
}

// indexInNet is the inverse of loopbackAddress. It returns false if the address is below the subnet or not in
// 127.0.0.0/8.
func indexInNet(a netip.Addr, net int) (int, bool) {
	b := a.Unmap().As4()
	n := (int(b[1])-net)<<addressBits | int(b[2])<<8 | int(b[3])
	return n, b[0] == 127 && int(b[1]) >= net
}

// ports are the port numbers of a cluster, one for each kind of node.
type ports struct {
	relay, peer, discovery, datagram int
	releaseRelay, releaseDiscovery   func()
}

func hostPort(a netip.Addr, port int) string { return netip.AddrPortFrom(a, uint16(port)).String() }

// relayAddr is where a relay listens for clients.
func (p ports) relayAddr(r int) string { return hostPort(loopbackAddress(relayNet, r), p.relay) }

// adminAddr is the admin endpoint of a relay's process: start 0 is its first one. It has the port number of the relay's
// datagrams, which is free for TCP.
func (p ports) adminAddr(r, start int) string {
	return hostPort(loopbackAddress(adminNet, start%(1<<startBits)<<relayBits|r), p.peer)
}

// peerListen is where a relay receives datagrams.
func (p ports) peerListen(r int) string { return hostPort(loopbackAddress(relayNet, r), p.peer) }

// discoveryAddr is the discovery service of a relay.
func (p ports) discoveryAddr(r int) string {
	return hostPort(loopbackAddress(discoveryNet, r), p.discovery)
}

// peerAddr is the address that relay i sends to in order to reach relay j, and that it receives relay j's datagrams
// from.
func (p ports) peerAddr(i, j int) string {
	return hostPort(loopbackAddress(peerNet, i<<peerBits|j), p.datagram)
}

// broadcastAddr is the address that relay i sends to in order to reach all relays.
func (p ports) broadcastAddr(i int) string {
	return hostPort(loopbackAddress(broadcastNet, i), p.datagram)
}

// backendPair returns the relay and the backend that a backend address belongs to.
func backendPair(a netip.Addr) (relay, backend int, ok bool) {
	n, ok := indexInNet(a, backendNet)
	return n >> backendBits, n & (1<<backendBits - 1), ok && n < maxRelays<<backendBits
}
