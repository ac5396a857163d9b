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
	l, err := lc.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	behind := netip.AddrPortFrom(loopbackAddress(backendNet, 7<<backendBits|3), uint16(port))
	end, err := blackhole(behind)
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", behind.String(), 300*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection came up across a cut")
	}
	other := hostPort(loopbackAddress(backendNet, 7<<backendBits|4), port)
	c, err := net.DialTimeout("tcp", other, time.Second)
	if err != nil {
		t.Errorf("the next pair is cut as well: %v", err)
	} else {
		c.Close()
	}
	end()
	if c, err = net.DialTimeout("tcp", behind.String(), time.Second); err != nil {
		t.Errorf("after the cut: %v", err)
	} else {
		c.Close()
	}
}
