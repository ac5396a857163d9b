package simulation

import (
	"net/netip"
	"slices"
	"time"
)

// SendDatagram sends a datagram to one relay or to all others.
func (r *relay) SendDatagram(to string, data []byte) {
	for _, sent := range r.mutateSentDatagram(to, data) {
		if r.engine.trace != nil && r.run.membership {
			r.engine.tracef("%s sends %s %x", r.name, to, sent)
		}
		r.run.checker.DatagramSent(r.number, sent)
		r.run.deliverDatagram(r, to, sent)
	}
}

// gossipAddress is the address at which a relay receives datagrams.
func gossipAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(number >> 8), byte(number)}), 7946)
}

// deliverDatagram sends a datagram to one relay or to all others. Each may receive it late, twice, out of order or not
// at all.
func (run *run) deliverDatagram(from *relay, to string, data []byte) {
	for _, r := range run.relays {
		if r.number == from.number || to != broadcastAddress && to != gossipAddress(r.number).String() {
			continue
		}
		copies := 1
		if run.engine.randomChance(0.02) {
			copies = 2
		}
		if run.engine.datagramDuplicated(from.host, r.host) || run.engine.randomChance(run.datagramImpairment.duplicateRate) {
			copies++
		}
		for range copies {
			run.sendDatagramCopy(from, r, data)
		}
	}
}

func (run *run) sendDatagramCopy(from, to *relay, data []byte) {
	engine := run.engine
	if engine.randomChance(normalLossRate+engine.conditions.datagramLossRate+run.datagramImpairment.lossRate) || run.relayLinkCut(from.number, to.number) {
		run.count("datagram lost")
		return
	}
	delay, lost := engine.datagramDelay(from.host, to.host)
	if lost {
		run.count("datagram lost")
		return
	}
	run.count("datagram")
	delay += engine.randomDuration(0, run.datagramImpairment.maxDelay)
	engine.schedule(delay+engine.randomDuration(time.Millisecond, normalDatagramDelay), func() {
		to := run.relays[to.number] // a hot restart may have replaced the process
		if to.up {
			to.post(func(now time.Duration) { to.receiveDatagram(now, from.number, data) })
		}
	})
}

// receiveDatagram has the controller handle a datagram of another relay.
func (r *relay) receiveDatagram(now time.Duration, from int, data []byte) {
	if r.engine.trace != nil && r.run.membership {
		r.engine.tracef("%s receives %s %x", r.name, gossipAddress(from), data)
	}
	r.run.checker.DatagramDelivered(r.number, data)
	if data = r.mutateReceivedDatagram(from, data); data != nil {
		r.controller.DatagramReceived(now, gossipAddress(from), slices.Clone(data))
	}
}

// broadcastAddress is the address of all relays together.
const broadcastAddress = "10.3.255.1:7946"
