package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
)

// The delays that a lost segment costs an established connection, and a lost SYN one that opens.
const (
	retransmissionDelay    = 200 * time.Millisecond
	synRetransmissionDelay = time.Second
)

// linkFault is a link fault in force. While there is none no random numbers are drawn for it, so that runs without
// link faults are those of a build without them. The bytes of a connection are delayed, never lost or reordered.
type linkFault struct {
	link  *fault.Link
	until time.Duration
}

// activeLinkFaults are the faults in force on the link between two hosts, in one direction.
func (e *engine) activeLinkFaults(from, to *host) (out []linkFault) {
	if len(e.linkFaults) == 0 || from.nodeKind == "" || to.nodeKind == "" {
		return nil
	}
	a, b := from.nodeIndex, to.nodeIndex
	if from.nodeKind == fault.Clients { // a relay's own clients
		a = b
	}
	if to.nodeKind == fault.Clients {
		b = a
	}
	for _, l := range e.linkFaults {
		if l.until > e.now && l.link.Affects(from.nodeKind, a, to.nodeKind, b) {
			out = append(out, l)
		}
	}
	return out
}

// linkDelay draws the delay of a link fault, with its jitter.
func (e *engine) linkDelay(l *fault.Link) time.Duration {
	return l.Delay + e.randomDuration(0, l.Jitter)
}

// streamDelay draws how much longer than usual a segment of a connection takes. A partition holds it until it ends.
func (e *engine) streamDelay(from, to *host) (delay time.Duration) {
	for _, l := range e.activeLinkFaults(from, to) {
		switch {
		case l.link.Partitioned || l.link.Buffered:
			delay = max(delay, l.until-e.now)
		case e.randomChance(l.link.LossRate):
			delay += retransmissionDelay + e.linkDelay(l.link)
		default:
			delay += e.linkDelay(l.link)
		}
	}
	return delay
}

// connectDelay draws how much later a connection comes up, or says that it does not.
func (e *engine) connectDelay(from, to *host) (delay time.Duration, cut bool) {
	for _, d := range [2][2]*host{{from, to}, {to, from}} {
		for _, l := range e.activeLinkFaults(d[0], d[1]) {
			if l.link.Partitioned || l.link.Buffered {
				return 0, true
			}
			if delay += l.link.Delay; e.randomChance(l.link.LossRate) {
				delay += synRetransmissionDelay
			}
		}
	}
	return delay, false
}

// datagramDelay draws how much later a datagram arrives, or says that it is lost.
func (e *engine) datagramDelay(from, to *host) (delay time.Duration, lost bool) {
	for _, l := range e.activeLinkFaults(from, to) {
		switch {
		case l.link.Partitioned, e.randomChance(l.link.LossRate):
			return 0, true
		case l.link.Buffered:
			delay = max(delay, l.until-e.now)
		default:
			if delay += e.linkDelay(l.link); e.randomChance(l.link.ReorderRate) {
				delay += e.randomDuration(5*time.Millisecond, 50*time.Millisecond)
			}
		}
	}
	return delay, false
}

// datagramDuplicated says whether a datagram arrives once more.
func (e *engine) datagramDuplicated(from, to *host) (twice bool) {
	for _, l := range e.activeLinkFaults(from, to) {
		twice = e.randomChance(l.link.DuplicateRate) || twice
	}
	return twice
}

// discoveryDelay draws how much longer a request to discovery takes, there and back.
func (e *engine) discoveryDelay(relay int) (delay time.Duration) {
	if len(e.linkFaults) == 0 {
		return 0
	}
	r, d := &host{nodeKind: fault.Relays, nodeIndex: relay}, &host{nodeKind: fault.Discovery, nodeIndex: relay}
	return e.streamDelay(r, d) + e.streamDelay(d, r)
}
