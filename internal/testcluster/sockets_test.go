package testcluster

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

func TestBlackhole_AcceptsNoConnections(t *testing.T) {
	lc := net.ListenConfig{Control: prepareWildcardSocket}
	listener, err := lc.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	port := listener.Addr().(*net.TCPAddr).Port
	unreachable := netip.AddrPortFrom(loopbackAddress(backendNet, 7<<backendBits|3), uint16(port))
	remove, err := blackhole(unreachable)
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", unreachable.String(), 300*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection to the unreachable address was established")
	}
	other := hostPort(loopbackAddress(backendNet, 7<<backendBits|4), port)
	c, err := net.DialTimeout("tcp", other, time.Second)
	if err != nil {
		t.Errorf("the address of another pair is unreachable as well: %v", err)
	} else {
		c.Close()
	}
	remove()
	if c, err = net.DialTimeout("tcp", unreachable.String(), time.Second); err != nil {
		t.Errorf("the address is still unreachable after the blackhole was removed: %v", err)
	} else {
		c.Close()
	}
}
