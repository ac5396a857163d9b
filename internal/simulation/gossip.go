package simulation

import (
	"net/netip"
	"slices"
	"time"
)

// SendDatagram sends a datagram to one relay or to all others.
func (r *relay) SendDatagram(to string, data []byte) { r.run.deliverDatagram(r, to, data) }

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
		if run.engine.datagramDuplicated(from.host, r.host) {
			copies++
		}
		for range copies {
			run.sendDatagramCopy(from, r, data)
		}
	}
}

func (run *run) sendDatagramCopy(from, to *relay, data []byte) {
	engine := run.engine
	if engine.randomChance(0.02 + engine.conditions.datagramLossRate) {
		run.count("datagram lost")
		return
	}
	delay, lost := engine.datagramDelay(from.host, to.host)
	if lost {
		run.count("datagram lost")
		return
	}
	run.count("datagram")
	engine.schedule(delay+engine.randomDuration(time.Millisecond, 40*time.Millisecond), func() {
		if to.up {
			to.post(func(now time.Duration) {
				to.controller.DatagramReceived(now, gossipAddress(from.number), slices.Clone(data))
			})
		}
	})
}

// broadcastAddress is the address of all relays together.
const broadcastAddress = "10.3.255.1:7946"
