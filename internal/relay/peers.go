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
	to   string
	data []byte
}

type peers struct {
	relay  *Relay
	listen string // empty: nobody is told or heard
	out    chan datagram
	conn   net.PacketConn // perhaps of the process before this one
	heard  chan struct{}  // this process is to hear, now or again
}

func newPeers(cfg Config, r *Relay) *peers {
	p := &peers{relay: r, out: make(chan datagram, 64), heard: make(chan struct{}, 1)}
	if r.settings.Load().Gossip {
		p.listen = cfg.PeerListen
	}
	return p
}

// tell queues a datagram; with the queue full it is lost, as datagrams may be.
func (p *peers) tell(to string, data []byte) {
	if p.listen == "" {
		return
	}
	select {
	case p.out <- datagram{to, data}:
	default:
	}
}

// run opens the socket and serves it in the background until ctx is done.
func (p *peers) run(ctx context.Context) error {
	if p.listen == "" {
		return nil
	}
	if p.conn == nil {
		lc := net.ListenConfig{}
		if p.relay.second != nil { // a next process may open it as well
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
		case <-p.heard:
			p.receive(ctx, p.conn)
		case <-ctx.Done():
		}
	}()
	return nil
}

// hear begins to take datagrams in. A process that takes over leaves them to the old one until then.
func (p *peers) hear() { p.park(false) }

// park leaves datagrams to another process that has the same socket, or takes them again.
func (p *peers) park(on bool) {
	if p.conn == nil {
		return
	}
	if on {
		_ = p.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = p.conn.SetReadDeadline(time.Time{})
	select {
	case p.heard <- struct{}{}:
	default:
	}
}

// socket is what datagrams come by; nil: nothing.
func (p *peers) socket() net.PacketConn { return p.conn }

func (p *peers) send(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.out:
			addr, err := net.ResolveUDPAddr("udp", d.to)
			if err == nil {
				_, err = conn.WriteTo(d.data, addr)
			}
			if err != nil {
				p.relay.log.Warn("datagram not sent", zap.Error(err))
			}
		}
	}
}

func (p *peers) receive(ctx context.Context, conn net.PacketConn) {
	buf := make([]byte, controller.MaxDatagramBytes+1)
	for {
		n, addr, err := conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if timedOut(err) { // parked
			select {
			case <-p.heard:
			case <-ctx.Done():
				return
			}
			continue
		}
		u, ok := addr.(*net.UDPAddr)
		if err != nil || !ok || n > controller.MaxDatagramBytes {
			continue
		}
		from, data := u.AddrPort(), append([]byte(nil), buf[:n]...)
		p.relay.post(func(now time.Duration) { p.relay.node.DatagramReceived(now, from, data) })
	}
}
