// This file drives the datagrams between relays. It must never wait for a peer or
// read more than the limit; who is heard is the Node's to say.

package relay

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/controller"
)

type datagram struct {
	address string
	data    []byte
}

type peerSocket struct {
	relay  *Relay
	listen string // empty: nobody is told or heard
	outbox chan datagram
	conn   net.PacketConn // perhaps of the process before this one
	resume chan struct{}  // this process is to hear, now or again
}

func newPeerSocket(cfg Config, r *Relay) *peerSocket {
	p := &peerSocket{relay: r, outbox: make(chan datagram, 64), resume: make(chan struct{}, 1)}
	if r.settings.Load().Gossip {
		p.listen = cfg.PeerListen
	}
	return p
}

// tell queues a datagram; with the queue full it is lost, as datagrams may be.
func (p *peerSocket) queue(to string, data []byte) {
	if p.listen == "" {
		return
	}
	select {
	case p.outbox <- datagram{to, data}:
	default:
	}
}

// run opens the socket and serves it in the background until ctx is done.
func (p *peerSocket) run(ctx context.Context) error {
	if p.listen == "" {
		return nil
	}
	if p.conn == nil {
		lc := net.ListenConfig{}
		if p.relay.adminServer != nil { // a next process may open it as well
			lc = listenShared(p.relay.log)
		}
		conn, err := lc.ListenPacket(ctx, "udp", p.listen)
		if err != nil {
			return err
		}
		p.conn = conn
	}
	context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	go p.send(ctx, p.conn)
	go func() {
		select {
		case <-p.resume:
			p.receive(ctx, p.conn)
		case <-ctx.Done():
		}
	}()
	return nil
}

// hear begins to take datagrams in. A process that takes over leaves them to the old one until then.
func (p *peerSocket) startReceiving() { p.setPaused(false) }

// park leaves datagrams to another process that has the same socket, or takes them again.
func (p *peerSocket) setPaused(on bool) {
	if p.conn == nil {
		return
	}
	if on {
		_ = p.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = p.conn.SetReadDeadline(time.Time{})
	select {
	case p.resume <- struct{}{}:
	default:
	}
}

// socket is what datagrams come by; nil: nothing.
func (p *peerSocket) packetConn() net.PacketConn { return p.conn }

func (p *peerSocket) send(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.outbox:
			addr, err := net.ResolveUDPAddr("udp", d.address)
			if err == nil {
				_, err = conn.WriteTo(d.data, addr)
			}
			if err != nil {
				p.relay.log.Warn("datagram not sent", zap.Error(err))
			}
		}
	}
}

func (p *peerSocket) receive(ctx context.Context, conn net.PacketConn) {
	buf := make([]byte, controller.MaxDatagram+1)
	for {
		n, addr, err := conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if isTimeout(err) { // parked
			select {
			case <-p.resume:
			case <-ctx.Done():
				return
			}
			continue
		}
		u, ok := addr.(*net.UDPAddr)
		if err != nil || !ok || n > controller.MaxDatagram {
			continue
		}
		from, data := u.AddrPort(), append([]byte(nil), buf[:n]...)
		p.relay.post(func(now time.Duration) { p.relay.controller.DatagramReceived(now, from, data) })
	}
}
