package testcluster

import (
	"errors"
	"fmt"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// blackhole makes an address unreachable: connection attempts get no answer, as across a network partition. It binds a
// listener with the shortest accept queue and fills that; the kernel drops the connection attempts that follow.
func blackhole(addr netip.AddrPort) (end func(), err error) {
	var sockets []int
	end = func() {
		for _, fd := range sockets {
			_ = unix.Close(fd)
		}
	}
	listener, err := nonblockingSocket()
	if err != nil {
		return nil, err
	}
	sockets = append(sockets, listener)
	err = listenWithoutQueue(listener, addr)
	for range 2 { // the queue holds one connection more than its length
		if err != nil {
			break
		}
		var fd int
		if fd, err = nonblockingSocket(); err != nil {
			break
		}
		sockets = append(sockets, fd)
		err = startConnecting(fd, addr)
	}
	if err != nil {
		end()
		return nil, fmt.Errorf("making %v unreachable: %w", addr, err)
	}
	return end, nil
}

func nonblockingSocket() (int, error) {
	return unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
}

func listenWithoutQueue(fd int, addr netip.AddrPort) error {
	bindToLoopback(uintptr(fd))
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		return err
	}
	return unix.Listen(fd, 0)
}

func startConnecting(fd int, addr netip.AddrPort) error {
	target := addr.Addr()
	if target.IsUnspecified() {
		target = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	err := unix.Connect(fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: target.As4()})
	if err == unix.EINPROGRESS {
		return nil
	}
	return err
}

// bindToLoopback binds a socket to the loopback device, if the system permits it, so that traffic from other devices is
// dropped.
func bindToLoopback(fd uintptr) {
	_ = unix.BindToDevice(int(fd), "lo")
}

// prepareWildcardSocket restricts a wildcard socket to this machine and lets blackhole bind one of its addresses.
func prepareWildcardSocket(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		bindToLoopback(fd)
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, optionErr)
}
