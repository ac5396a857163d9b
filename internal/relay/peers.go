package relay

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/controller"
)

// datagramQueueLength is how many datagrams may be queued for sending; more are dropped, as the network may drop datagrams too.
const datagramQueueLength = 64

// datagram is a message to a peer.
type datagram struct {
	address string
	data    []byte
}

// peerSocket exchanges datagrams with the other relays. The controller decides whose datagrams it accepts.
type peerSocket struct {
	relay         *Relay
	listenAddress string // empty: no datagrams
	outbox        chan datagram
	conn          net.PacketConn // nil until run, unless taken over from the predecessor
	resume        chan struct{}  // signals receive to start or to resume
}

func newPeerSocket(cfg Config, r *Relay) *peerSocket {
	p := &peerSocket{relay: r, outbox: make(chan datagram, datagramQueueLength), resume: make(chan struct{}, 1)}
	if r.settings.Load().Gossip {
		p.listenAddress = cfg.PeerListen
	}
	return p
}

// queue queues a datagram; a full queue drops it.
func (p *peerSocket) queue(address string, data []byte) {
	if p.listenAddress == "" {
		return
	}
	select {
	case p.outbox <- datagram{address, data}:
	default:
	}
}

// run opens the socket and serves it in the background until ctx is done.
func (p *peerSocket) run(ctx context.Context) error {
	if p.listenAddress == "" {
		return nil
	}
	if p.conn == nil {
		lc := net.ListenConfig{}
		if p.relay.adminServer != nil { // a successor may open it as well
			lc = listenShared(p.relay.log)
		}
		conn, err := lc.ListenPacket(ctx, "udp", p.listenAddress)
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

// startReceiving begins to receive datagrams. Until then a successor leaves them to its predecessor.
func (p *peerSocket) startReceiving() { p.setPaused(false) }

// setPaused pauses receiving, which leaves datagrams to another process that shares the socket, or resumes it.
func (p *peerSocket) setPaused(paused bool) {
	if p.conn == nil {
		return
	}
	if paused {
		_ = p.conn.SetReadDeadline(expired)
		return
	}
	_ = p.conn.SetReadDeadline(time.Time{})
	select {
	case p.resume <- struct{}{}:
	default:
	}
}

// packetConn returns the socket; nil: there is none.
func (p *peerSocket) packetConn() net.PacketConn { return p.conn }

// send sends the queued datagrams until ctx is done.
func (p *peerSocket) send(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.outbox:
			address, err := net.ResolveUDPAddr("udp", d.address)
			if err == nil {
				_, err = conn.WriteTo(d.data, address)
			}
			if err != nil {
				p.relay.log.Warn("sending datagram failed", zap.Error(err))
			}
		}
	}
}

// receive posts datagrams until the socket is closed. Datagrams over MaxDatagramBytes are dropped.
func (p *peerSocket) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, controller.MaxDatagramBytes+1)
	for {
		n, source, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if isTimeout(err) { // setPaused has expired the deadline
			select {
			case <-p.resume:
			case <-ctx.Done():
				return
			}
			continue
		}
		udpSource, ok := source.(*net.UDPAddr)
		if err != nil || !ok || n > controller.MaxDatagramBytes {
			continue
		}
		from, data := udpSource.AddrPort(), append([]byte(nil), buffer[:n]...)
		p.relay.post(func(now time.Duration) { p.relay.controller.DatagramReceived(now, from, data) })
	}
}
