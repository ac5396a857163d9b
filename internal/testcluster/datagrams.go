package testcluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"aspenbarrow/internal/fault"
)

// datagramForwarder forwards datagrams between relays and applies link faults to them. One wildcard socket receives
// them all and sends each from the address that the receiver has for the sender.
type datagramForwarder struct {
	cluster *cluster
	conn    *ipv4.PacketConn
}

func newDatagramForwarder(owner *cluster) (*datagramForwarder, int, error) {
	lc := net.ListenConfig{Control: prepareWildcardSocket}
	c, err := lc.ListenPacket(context.Background(), "udp4", "0.0.0.0:0")
	if err != nil {
		return nil, 0, err
	}
	_ = c.(*net.UDPConn).SetReadBuffer(8 << 20)
	_ = c.(*net.UDPConn).SetWriteBuffer(8 << 20)
	forwarder := &datagramForwarder{cluster: owner, conn: ipv4.NewPacketConn(c)}
	if err := forwarder.conn.SetControlMessage(ipv4.FlagDst, true); err != nil {
		_ = c.Close()
		return nil, 0, fmt.Errorf("receiving the destination addresses of datagrams: %w", err)
	}
	return forwarder, c.LocalAddr().(*net.UDPAddr).Port, nil
}

func (forwarder *datagramForwarder) close() { _ = forwarder.conn.Close() }

// serve receives datagrams until the socket is closed.
func (forwarder *datagramForwarder) serve(ctx context.Context) {
	buf := make([]byte, 2048)
	serveUntilClosed(ctx, func() error {
		n, cm, src, err := forwarder.conn.ReadFrom(buf)
		if err != nil {
			return err
		}
		from, ok := src.(*net.UDPAddr)
		if cm == nil || !ok {
			return nil
		}
		if dst, ok := netip.AddrFromSlice(cm.Dst.To4()); ok {
			forwarder.route(ctx, from.AddrPort().Addr(), dst, append([]byte(nil), buf[:n]...))
		}
		return nil
	})
}

// route determines the sender and the receivers of a datagram, and forwards it. A relay is accepted as the sender only from
// its own address.
func (forwarder *datagramForwarder) route(ctx context.Context, src, dst netip.Addr, data []byte) {
	c := forwarder.cluster
	sender, ok := indexInNet(src, relayNet)
	if !ok || sender >= len(c.relays) {
		return
	}
	if to, ok := indexInNet(dst, broadcastNet); ok && to == sender {
		c.countTraffic(sender, &c.traffic.datagrams)
		for j := range c.relays {
			if j != sender {
				forwarder.forward(ctx, sender, j, data)
			}
		}
		return
	}
	if pair, ok := indexInNet(dst, peerNet); ok && pair>>peerBits == sender {
		if to := pair & (1<<peerBits - 1); to < len(c.relays) && to != sender {
			c.countTraffic(sender, &c.traffic.datagrams)
			forwarder.forward(ctx, sender, to, data)
		}
	}
}

// forward delivers a datagram, subject to the faults on its link.
func (forwarder *datagramForwarder) forward(ctx context.Context, from, to int, data []byte) {
	c := forwarder.cluster
	delays, held := c.links.datagramDelays(node{fault.Relays, from}, node{fault.Relays, to})
	for _, d := range delays {
		switch {
		case held != nil:
			go func() {
				select {
				case <-held.ended:
					forwarder.deliver(from, to, data)
				case <-ctx.Done():
				}
			}()
		case d > 0:
			c.runAfter(d, func() { forwarder.deliver(from, to, data) })
		default:
			forwarder.deliver(from, to, data)
		}
	}
}

// deliver sends a datagram from the address that its receiver has for the sender.
func (forwarder *datagramForwarder) deliver(from, to int, data []byte) {
	c := forwarder.cluster
	src := loopbackAddress(peerNet, to<<peerBits|from).As4()
	dst := loopbackAddress(relayNet, to)
	_, err := forwarder.conn.WriteTo(data, &ipv4.ControlMessage{Src: net.IP(src[:])},
		net.UDPAddrFromAddrPort(netip.AddrPortFrom(dst, uint16(c.ports.peer))))
	if err != nil { // the receiver is down or its queue is full: datagrams may be lost
		c.traffic.undelivered.Add(1)
	}
}
