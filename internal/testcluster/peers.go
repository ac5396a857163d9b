package testcluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"aspenbarrow/internal/fault"
)

// loopbackOnly binds a socket to the loopback device where the system lets it; whoever comes elsewhere is dropped.
func loopbackOnly(fd uintptr) {
	_ = unix.BindToDevice(int(fd), "lo")
}

// post passes the datagrams between relays on: one wildcard socket takes all of them and sends each from the address
// by which its receiver knows the sender.
type post struct {
	rig  *rig
	conn *ipv4.PacketConn
}

func newPost(r *rig) (*post, int, error) {
	lc := net.ListenConfig{Control: control}
	c, err := lc.ListenPacket(context.Background(), "udp4", "0.0.0.0:0")
	if err != nil {
		return nil, 0, err
	}
	_ = c.(*net.UDPConn).SetReadBuffer(8 << 20)
	_ = c.(*net.UDPConn).SetWriteBuffer(8 << 20)
	p := &post{rig: r, conn: ipv4.NewPacketConn(c)}
	if err := p.conn.SetControlMessage(ipv4.FlagDst, true); err != nil {
		_ = c.Close()
		return nil, 0, fmt.Errorf("datagrams' destinations: %w", err)
	}
	return p, c.LocalAddr().(*net.UDPAddr).Port, nil
}

func (p *post) close() { _ = p.conn.Close() }

// serve takes datagrams until the socket is closed.
func (p *post) serve(ctx context.Context) {
	buf := make([]byte, 2048)
	for {
		n, cm, src, err := p.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		from, ok := src.(*net.UDPAddr)
		if cm == nil || !ok {
			continue
		}
		dst, ok := netip.AddrFromSlice(cm.Dst.To4())
		if !ok {
			continue
		}
		p.take(ctx, from.AddrPort().Addr(), dst, append([]byte(nil), buf[:n]...))
	}
}

// take finds out whose datagram it is and for whom. Only a relay's own address may send as that relay.
func (p *post) take(ctx context.Context, src, dst netip.Addr, data []byte) {
	r := p.rig
	sender, ok := number(src, relayNet)
	if !ok || sender >= len(r.relays) {
		return
	}
	if to, ok := number(dst, everyNet); ok && to == sender {
		r.counted(sender, &r.tally.datagrams)
		for j := range r.relays {
			if j != sender {
				p.pass(ctx, sender, j, data)
			}
		}
		return
	}
	if pair, ok := number(dst, peerNet); ok && pair>>peerBits == sender {
		if to := pair & (1<<peerBits - 1); to < len(r.relays) && to != sender {
			r.counted(sender, &r.tally.datagrams)
			p.pass(ctx, sender, to, data)
		}
	}
}

// pass has a datagram meet what is on its way.
func (p *post) pass(ctx context.Context, from, to int, data []byte) {
	r := p.rig
	late, held := r.ways.datagram(party{fault.Relays, from}, party{fault.Relays, to})
	for _, d := range late {
		switch {
		case held != nil:
			go func() {
				select {
				case <-held.over:
					p.deliver(from, to, data)
				case <-ctx.Done():
				}
			}()
		case d > 0:
			r.in(d, func() { p.deliver(from, to, data) })
		default:
			p.deliver(from, to, data)
		}
	}
}

// deliver sends it from the address that the receiver knows the sender by.
func (p *post) deliver(from, to int, data []byte) {
	r := p.rig
	src := address(peerNet, to<<peerBits|from).As4()
	dst := address(relayNet, to)
	_, err := p.conn.WriteTo(data, &ipv4.ControlMessage{Src: net.IP(src[:])},
		net.UDPAddrFromAddrPort(netip.AddrPortFrom(dst, uint16(r.ports.peer))))
	if err != nil { // nobody there, or its queue is full: datagrams may be lost
		r.tally.undelivered.Add(1)
	}
}
