package membership

import (
	"math/bits"
	"slices"
)

const (
	// retransmitFactor is how many times an update is sent, as a multiple of the number of binary digits of the fleet's size,
	// which is about its binary logarithm (SWIM's lambda).
	retransmitFactor = 3

	// maxTransmissions bounds the transmissions of an update, so that the count fits a byte.
	maxTransmissions = 250

	// maxUpdateCandidates is how many queued updates are passed to the encoder for a datagram: about as many as fit into one.
	maxUpdateCandidates = 24

	// tableSegmentSize is how many members a ping covers in the walk over the table while the queue is empty. The walk makes
	// views converge whatever made them differ.
	tableSegmentSize = 6
)

// gossipBursts is how many datagrams with updates only are sent in a tick, by the number of queued updates. Probes alone
// carry too few: when many members start or fail at once, the queue holds an update for each of them.
var gossipBursts = []struct{ moreThan, packets int }{{300, 8}, {100, 4}, {12, 2}, {0, 1}}

// gossipQueue holds the members whose state is still to be disseminated, and the transmissions left for each.
type gossipQueue struct {
	pending   []int   // members; those sent least often come first
	remaining []uint8 // transmissions left, by member; 0: not in pending
	cursor    int     // last member covered by a table segment
}

// newGossipQueue returns an empty queue.
func newGossipQueue(members int) gossipQueue {
	return gossipQueue{remaining: make([]uint8, members)}
}

// push puts a member whose state has changed at the front of the queue.
func (q *gossipQueue) push(i int) {
	if q.remaining[i] > 0 {
		k := slices.Index(q.pending, i)
		q.pending = slices.Delete(q.pending, k, k+1)
	}
	q.remaining[i] = uint8(min(maxTransmissions, retransmitFactor*bits.Len(uint(len(q.remaining)))))
	q.pending = slices.Insert(q.pending, 0, i)
}

// transmitted records that the first n members of the queue were sent, and moves those with transmissions left to its end.
func (q *gossipQueue) transmitted(n int) {
	sent := slices.Clone(q.pending[:n])
	q.pending = slices.Delete(q.pending, 0, n)
	for _, i := range sent {
		q.remaining[i]--
		if q.remaining[i] > 0 {
			q.pending = append(q.pending, i)
		}
	}
}

// nextTableMember returns the next member of the walk over the whole table of members.
func (q *gossipQueue) nextTableMember() int {
	q.cursor = (q.cursor + 1) % len(q.remaining)
	return q.cursor
}

// send adds a datagram to the outbox, with as many updates piggybacked as fit.
func (m *Memberlist) send(to int, msg message) {
	m.stampSender(&msg)
	if u, ok := m.updateForRecipient(to); ok {
		msg.updates = append(msg.updates, u)
	}
	recipientUpdates := len(msg.updates)
	for _, i := range m.gossip.pending[:min(len(m.gossip.pending), maxUpdateCandidates)] {
		msg.updates = append(msg.updates, m.members.update(i))
	}
	queuedEnd := len(msg.updates)
	if msg.kind == kindPing && len(m.gossip.pending) == 0 {
		m.addTableSegment(&msg)
	}
	data, fitted := msg.encode()
	m.gossip.transmitted(max(0, min(fitted, queuedEnd)-recipientUpdates))
	m.stats.PacketsSent++
	m.stats.BytesSent += uint64(len(data))
	m.outbox = append(m.outbox, Packet{to, data})
}

// stampSender sets the fields of a message that describe this relay.
func (m *Memberlist) stampSender(msg *message) {
	msg.fleet = m.settings.Fleet
	msg.name = m.local.Name
	msg.startMillis = m.local.StartMillis
	msg.incarnation = m.Incarnation()
	msg.health = m.health.score
}

// updateForRecipient returns the update about a datagram's recipient if this relay has a running suspicion of it, or has it
// as suspect, dead or left in its view, so that the recipient can refute the update. It is sent before all other updates.
func (m *Memberlist) updateForRecipient(to int) (memberUpdate, bool) {
	if s := m.suspicions.byMember[to]; s != nil {
		return s.claim, true
	}
	switch m.members.records[to].state {
	case Suspect, Dead, Left:
		return m.members.update(to), true
	default:
		return memberUpdate{}, false
	}
}

// addTableSegment adds the states of the next members of the walk over the table.
func (m *Memberlist) addTableSegment(msg *message) {
	for range min(tableSegmentSize, len(m.members.records)) {
		if i := m.gossip.nextTableMember(); m.members.records[i].state != Joining {
			msg.updates = append(msg.updates, m.members.update(i))
		}
	}
}

// gossipPending sends queued updates in datagrams that carry updates only.
func (m *Memberlist) gossipPending() {
	for range burstSize(len(m.gossip.pending)) {
		if len(m.gossip.pending) == 0 {
			return
		}
		i := m.members.random(m.rng, func(i int) bool {
			r := &m.members.records[i]
			return r.active() || r.state == Joining
		})
		if i != noMember {
			m.send(i, message{kind: kindGossip})
		}
	}
}

// burstSize returns how many datagrams with updates only are sent in a tick.
func burstSize(queued int) int {
	for _, b := range gossipBursts {
		if queued > b.moreThan {
			return b.packets
		}
	}
	return 0
}

// gossipToActive sends the newest updates to random active members at once.
func (m *Memberlist) gossipToActive(packets int) {
	for range packets {
		if i := m.members.randomActive(m.rng); i != noMember {
			m.send(i, message{kind: kindGossip})
		}
	}
}
