package testcluster

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sys/unix"
)

// How many there may be: a pair's address has 24 bits.
const (
	maxRelays   = 1024
	maxBackends = 1024
)

// The first of the bytes after 127 by kind.
const (
	relayNet     = 1  // relays' own addresses
	agentNet     = 2  // discovery, one address for each relay
	everyNet     = 3  // datagrams to all, one address for each sender
	backendNet   = 16 // backends, one address for each pair with a relay
	peerNet      = 32 // peers, one address for each pair
	backendBits  = 10
	peerBits     = 10
	addressBytes = 16 // bits within a net's second byte
)

// address is the n-th address of a net. Each pair of parties has one of its own in 127.0.0.0/8, so that one wildcard
// socket of a kind serves all pairs and still knows who speaks to whom.
func address(net, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(net + n>>addressBytes), byte(n >> 8), byte(n)})
}

// number is what an address was made of, within its net.
func number(a netip.Addr, net int) (int, bool) {
	b := a.Unmap().As4()
	n := (int(b[1])-net)<<addressBytes | int(b[2])<<8 | int(b[3])
	return n, b[0] == 127 && int(b[1]) >= net
}

// ports are the rig's: one of a kind.
type ports struct {
	relay, peer, agent, datagram int
	free                         func()
}

func at(a netip.Addr, port int) string { return netip.AddrPortFrom(a, uint16(port)).String() }

func (p ports) relayAddr(r int) string { return at(address(relayNet, r), p.relay) }

// staffAddr is a relay's second address: the port of its datagrams is free for connections.
func (p ports) staffAddr(r int) string { return at(address(relayNet, r), p.peer) }

func (p ports) peerListen(r int) string { return at(address(relayNet, r), p.peer) }
func (p ports) agentAddr(r int) string  { return at(address(agentNet, r), p.agent) }

// peerAddr is where relay i sends to have relay j hear it, and from where relay i hears relay j.
func (p ports) peerAddr(i, j int) string { return at(address(peerNet, i<<peerBits|j), p.datagram) }
func (p ports) everyAddr(i int) string   { return at(address(everyNet, i), p.datagram) }

// backendPair is who speaks to whom at a backend's address.
func backendPair(a netip.Addr) (relay, backend int, ok bool) {
	n, ok := number(a, backendNet)
	return n >> backendBits, n & (1<<backendBits - 1), ok && n < maxRelays<<backendBits
}

// lent are the ports that rigs of this process have given to their relays, which bind them one by one.
var lent = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// freePort finds a port for datagrams that nobody has on any address, and lends it until it is given back.
func freePort() (port int, err error) {
	for range 100 {
		c, err := net.ListenPacket("udp4", "0.0.0.0:0") // for a moment: it is asked on all addresses, since relays have many
		if err != nil {
			return 0, err
		}
		port = c.LocalAddr().(*net.UDPAddr).Port
		_ = c.Close()
		lent.Lock()
		free := !lent.ports[port]
		if free {
			lent.ports[port] = true
		}
		lent.Unlock()
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no port is free")
}

// keep binds a port on all addresses without listening, so that it is nobody else's while who listens there is down:
// whoever dials then is refused.
func keep() (port int, free func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, nil, err
	}
	for _, o := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err == nil {
			err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, o, 1)
		}
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		_ = unix.Close(fd)
		return 0, nil, err
	}
	return at.(*unix.SockaddrInet4).Port, func() { _ = unix.Close(fd) }, nil
}

// giveBack ends the loan of a rig's ports.
func (p ports) giveBack() {
	lent.Lock()
	defer lent.Unlock()
	if p.free != nil {
		p.free()
	}
	delete(lent.ports, p.peer)
}

// newPorts chooses the relays' ports. The rig's wildcard sockets bind theirs at once.
func newPorts() (p ports, err error) {
	if p.relay, p.free, err = keep(); err == nil {
		p.peer, err = freePort()
	}
	if err != nil {
		return p, fmt.Errorf("a free port: %w", err)
	}
	return p, nil
}
