package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
)

// A lost segment delays an established connection by retransmissionDelay, a lost SYN delays the opening of one by
// synRetransmissionDelay.
const (
	retransmissionDelay    = 200 * time.Millisecond
	synRetransmissionDelay = time.Second
)

// linkFault is a link fault in force. Without one, no random numbers are drawn for link faults, so that a run without
// them is the same as in a build that does not have them. The bytes of a connection are delayed, never lost or
// reordered.
type linkFault struct {
	link  *fault.Link
	until time.Duration
}

// activeLinkFaults returns the faults in force on the link from one host to another.
func (e *engine) activeLinkFaults(from, to *host) (active []linkFault) {
	if len(e.linkFaults) == 0 || from.nodeKind == "" || to.nodeKind == "" {
		return nil
	}
	fromIndex, toIndex := from.nodeIndex, to.nodeIndex
	if from.nodeKind == fault.Clients { // clients have the index of the relay at the other end
		fromIndex = toIndex
	}
	if to.nodeKind == fault.Clients {
		toIndex = fromIndex
	}
	for _, l := range e.linkFaults {
		if l.until > e.now && l.link.Affects(from.nodeKind, fromIndex, to.nodeKind, toIndex) {
			active = append(active, l)
		}
	}
	return active
}

// linkDelay draws the delay of a link fault, including its jitter.
func (e *engine) linkDelay(l *fault.Link) time.Duration {
	return l.Delay + e.randomDuration(0, l.Jitter)
}

// streamDelay draws the additional delay of a segment of a connection. A partition delays it until the partition ends.
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

// connectDelay draws the additional delay of establishing a connection, or reports that faults block it.
func (e *engine) connectDelay(from, to *host) (delay time.Duration, blocked bool) {
	for _, direction := range [2][2]*host{{from, to}, {to, from}} {
		for _, l := range e.activeLinkFaults(direction[0], direction[1]) {
			if l.link.Partitioned || l.link.Buffered {
				return 0, true
			}
			if delay += e.linkDelay(l.link); e.randomChance(l.link.LossRate) {
				delay += synRetransmissionDelay
			}
		}
	}
	return delay, false
}

// datagramDelay draws the additional delay of a datagram, or reports that it is lost.
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

// datagramDuplicated draws whether link faults duplicate a datagram.
func (e *engine) datagramDuplicated(from, to *host) (duplicated bool) {
	for _, l := range e.activeLinkFaults(from, to) {
		duplicated = e.randomChance(l.link.DuplicateRate) || duplicated
	}
	return duplicated
}

// discoveryDelay draws the additional round-trip delay of a request to discovery.
func (e *engine) discoveryDelay(relay int) (delay time.Duration) {
	if len(e.linkFaults) == 0 {
		return 0
	}
	relayHost, agentHost := &host{nodeKind: fault.Relays, nodeIndex: relay}, &host{nodeKind: fault.Discovery, nodeIndex: relay}
	return e.streamDelay(relayHost, agentHost) + e.streamDelay(agentHost, relayHost)
}
