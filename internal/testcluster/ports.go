package testcluster

import (
	"errors"
	"fmt"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// lentPorts are the ports that this process's clusters have assigned to their relays, which bind them one by one.
var lentPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// lendDatagramPort finds a UDP port that is free on all addresses, and reserves it among the clusters of this
// process until ports.release.
func lendDatagramPort() (port int, err error) {
	for range 100 {
		c, err := net.ListenPacket("udp4", "0.0.0.0:0") // closed again at once: relays bind it on addresses of their own
		if err != nil {
			return 0, err
		}
		port = c.LocalAddr().(*net.UDPAddr).Port
		_ = c.Close()
		lentPorts.Lock()
		free := !lentPorts.ports[port]
		if free {
			lentPorts.ports[port] = true
		}
		lentPorts.Unlock()
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no port is free")
}

// reservePort binds a TCP port on all addresses without listening: no other process can take it while its owner is
// down, and connections to it are refused.
func reservePort() (port int, free func(), err error) {
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

// release returns the ports that newPorts reserved.
func (p ports) release() {
	lentPorts.Lock()
	defer lentPorts.Unlock()
	if p.releaseRelay != nil {
		p.releaseRelay()
	}
	delete(lentPorts.ports, p.peer)
}

// newPorts chooses the ports of the relays. The ports of the cluster's own wildcard sockets are chosen when these
// are bound.
func newPorts() (p ports, err error) {
	if p.relay, p.releaseRelay, err = reservePort(); err == nil {
		p.peer, err = lendDatagramPort()
	}
	if err != nil {
		return p, fmt.Errorf("a free port: %w", err)
	}
	return p, nil
}
