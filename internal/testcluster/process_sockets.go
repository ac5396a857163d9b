package testcluster

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// connection identifies a TCP connection by its two addresses, as the process that accepted it sees them.
type connection struct{ local, remote netip.AddrPort }

// stopped reports whether all threads of the process have been stopped by a signal.
func (p *process) stopped() bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/[0-9]*/stat", p.cmd.Process.Pid))
	if err != nil || len(paths) == 0 {
		return false
	}
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		// The process name before the state may itself contain parentheses and spaces.
		if state := bytes.TrimSpace(stat[bytes.LastIndexByte(stat, ')')+1:]); len(state) == 0 || state[0] != 'T' {
			return false
		}
	}
	return true
}

// descriptors returns the process's open descriptors and their targets, as /proc names them.
func (p *process) descriptors() (targets map[int]string, err error) {
	directory := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	targets = map[int]string{}
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			return nil, fmt.Errorf("%s: %w", directory, err)
		}
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil { // else it has just been closed
			targets[fd] = target
		}
	}
	return targets, nil
}

// socketDescriptors returns the descriptors of the process's sockets.
func (p *process) socketDescriptors() (sockets []int, err error) {
	targets, err := p.descriptors()
	for fd, target := range targets {
		if strings.HasPrefix(target, "socket:") {
			sockets = append(sockets, fd)
		}
	}
	return sockets, err
}

// connectionsAt returns the process's TCP connections at one of its own addresses. It duplicates the process's sockets for a
// moment, since a list of all TCP connections of the system takes some 100 ms.
func (p *process) connectionsAt(address string) (connections []connection, err error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	pidfd, err := unix.PidfdOpen(p.cmd.Process.Pid, 0)
	if err != nil {
		return nil, fmt.Errorf("relay %d: opening its process: %w", p.relay, err)
	}
	defer func() { _ = unix.Close(pidfd) }()
	sockets, err := p.socketDescriptors()
	if err != nil {
		return nil, err
	}
	for _, fd := range sockets {
		duplicate, err := unix.PidfdGetfd(pidfd, fd, 0)
		if err != nil {
			return nil, fmt.Errorf("relay %d: duplicating its descriptor %d: %w", p.relay, fd, err)
		}
		found := connectionOf(duplicate)
		_ = unix.Close(duplicate)
		if found.local == local && found.remote.IsValid() {
			connections = append(connections, found)
		}
	}
	return connections, nil
}

// connectionOf returns the addresses of a socket. An address is the zero value if the socket has none of IPv4.
func connectionOf(fd int) (found connection) {
	if address, err := unix.Getsockname(fd); err == nil {
		found.local = addrPortOf(address)
	}
	if address, err := unix.Getpeername(fd); err == nil {
		found.remote = addrPortOf(address)
	}
	return found
}

func addrPortOf(address unix.Sockaddr) netip.AddrPort {
	if address, isIPv4 := address.(*unix.SockaddrInet4); isIPv4 {
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
	}
	return netip.AddrPort{}
}
