package testcluster

import (
	"errors"
	"fmt"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// assignedPorts are the UDP ports that the clusters of this process have assigned to their relays. The system may report
// them as free, since the relays bind them one by one.
var assignedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// reserveDatagramPort finds a UDP port that is free on all addresses, and keeps other clusters of this process from
// using it until ports.release.
func reserveDatagramPort() (port int, err error) {
	for range 100 {
		c, err := net.ListenPacket("udp4", "0.0.0.0:0") // closed immediately: each relay binds the port on its own address
		if err != nil {
			return 0, err
		}
		port = c.LocalAddr().(*net.UDPAddr).Port
		_ = c.Close()
		assignedPorts.Lock()
		free := !assignedPorts.ports[port]
		if free {
			assignedPorts.ports[port] = true
		}
		assignedPorts.Unlock()
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free UDP port found in 100 attempts")
}

// reservePort binds a TCP port on all addresses without listening: no other process can bind it while its owner is down,
// and connections to it are refused.
func reservePort() (port int, release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, nil, err
	}
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err == nil {
			err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1)
		}
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{})
	}
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	if err != nil {
		_ = unix.Close(fd)
		return 0, nil, err
	}
	return bound.(*unix.SockaddrInet4).Port, func() { _ = unix.Close(fd) }, nil
}

// release releases the ports that newPorts reserved.
func (p ports) release() {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	for _, release := range []func(){p.releaseRelay, p.releaseDiscovery} {
		if release != nil {
			release()
		}
	}
	delete(assignedPorts.ports, p.peer)
}

// newPorts chooses the ports of the relays and of discovery. The ports of the cluster's other wildcard sockets are
// chosen when these are bound.
func newPorts() (p ports, err error) {
	if p.relay, p.releaseRelay, err = reservePort(); err == nil {
		p.discovery, p.releaseDiscovery, err = reservePort()
	}
	if err == nil {
		p.peer, err = reserveDatagramPort()
	}
	if err != nil {
		return p, fmt.Errorf("reserving the cluster's ports: %w", err)
	}
	return p, nil
}
