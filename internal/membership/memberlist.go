package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// ticksPerPeriod divides the protocol period: timeouts are checked, and probes spread, in tenths of it.
	ticksPerPeriod = 10

	// stallThreshold is how late a tick has to be for this process to have been stopped rather than merely busy.
	stallThreshold = 500 * time.Millisecond

	// urgentFanout is how many members hear at once of a refutation or a return from a stall; twice as many of a
	// leave, which nobody can repeat later.
	urgentFanout = 5

	// rngStream tells this package's random numbers apart from those of others seeded alike.
	rngStream = 0x3e3b
)

// Packet is a datagram to send.
type Packet struct {
	To   int    // index of the recipient in the list of peers
	Data []byte // at most MaxPacketSize bytes
}

// LocalNode identifies this relay and its process.
type LocalNode struct {
	Index               int    // position in the list of peers
	Name                string // of the relay, 1 to 32 bytes
	StartMillis         uint64 // start of the process, Unix time in milliseconds
	PreviousIncarnation uint64 // handed over by the process that this one replaces; 0: none
}

// Memberlist is one relay's view of its fleet, and the protocol that keeps it up to date. It isn't safe for concurrent
// use.
type Memberlist struct {
	settings Settings
	local    LocalNode
	rng      *rand.Rand

	now      time.Duration // time of the event being handled
	nextTick time.Duration
	ticks    int
	leaving  bool

	members    memberTable
	detector   failureDetector
	suspicions suspicionSet
	gossip     gossipQueue
	health     localHealth
	roundTrip  roundTripEstimator

	outbox []Packet // sent during the event being handled
	stats  Stats
}

// New returns the view of a relay that knows only itself, in a fleet whose list of peers has the given number of
// members. The seed determines all random choices.
func New(now time.Duration, seed uint64, settings Settings, local LocalNode, members int) *Memberlist {
	m := &Memberlist{
		settings:   settings,
		local:      local,
		rng:        rand.New(rand.NewPCG(seed, rngStream)),
		now:        now,
		members:    newMemberTable(members, local, now),
		suspicions: newSuspicionSet(members),
		gossip:     newGossipQueue(members),
	}
	m.nextTick = now + time.Duration(m.rng.Int64N(int64(m.tickInterval()))) // relays started together don't tick together
	m.gossip.push(local.Index)
	return m
}

// tickInterval is the time between two ticks.
func (m *Memberlist) tickInterval() time.Duration { return m.settings.ProtocolPeriod / ticksPerPeriod }

// NextTick returns when Tick is to be called next.
func (m *Memberlist) NextTick() time.Duration { return m.nextTick }

// Stats returns a copy of the counters.
func (m *Memberlist) Stats() Stats { return m.stats }

// Tick does what is due: it ends probes and suspicions that ran out, begins new probes, and sends updates. The caller
// sends the returned packets.
func (m *Memberlist) Tick(now time.Duration) []Packet {
	m.advance(now)
	if m.leaving {
		m.nextTick = now + m.tickInterval()
		return m.takeOutbox()
	}
	for m.nextTick <= now {
		m.nextTick += m.tickInterval()
		m.ticks++
		m.runTick()
	}
	return m.takeOutbox()
}

// runTick does the work of one tick.
func (m *Memberlist) runTick() {
	m.expireRelayedProbes()
	m.expireProbes()
	m.checkSuspicions()
	ticksPerProbe := max(1, ticksPerPeriod/max(1, m.settings.ProbesPerPeriod))
	if m.ticks%ticksPerProbe == 0 {
		m.probeNext()
	}
	if m.ticks%ticksPerPeriod == 0 {
		m.reconnect()
	}
	m.gossipPending()
}

// HandlePacket takes in a datagram that came from a member's address; from is the member's index in the list of peers.
// Datagrams that are malformed, of another fleet, or received after Leave are dropped. The caller sends the returned
// packets.
func (m *Memberlist) HandlePacket(now time.Duration, from int, data []byte) []Packet {
	m.advance(now)
	if msg, ok := m.accept(from, data); ok {
		m.stats.PacketsReceived++
		m.handleMessage(from, &msg)
	}
	return m.takeOutbox()
}

// accept decodes a datagram and says whether it is to be handled.
func (m *Memberlist) accept(from int, data []byte) (message, bool) {
	msg, err := decodeMessage(data, len(m.members.records))
	if err != nil || from < 0 || from >= len(m.members.records) || from == m.local.Index {
		m.stats.MalformedPackets++
		return message{}, false
	}
	if msg.fleet != m.settings.Fleet {
		m.stats.ForeignPackets++
		return message{}, false
	}
	return msg, !m.leaving
}

// handleMessage takes in what a message says of its sender and of others before it answers, so that the answer already
// carries the consequences.
func (m *Memberlist) handleMessage(from int, msg *message) {
	m.observeSender(from, msg)
	for _, u := range msg.updates {
		m.applyUpdate(from, u)
	}
	switch msg.kind {
	case kindPing:
		m.send(from, message{kind: kindAck, sequence: msg.sequence})
	case kindPingReq:
		m.handlePingReq(from, msg)
	case kindAck:
		m.handleAck(from, msg.sequence)
	case kindNack:
		m.detector.countNack(msg.sequence)
	}
}

// Leave announces that this relay leaves of its own accord, so that the others don't have to find out. Afterwards it
// neither handles datagrams nor judges others. The caller sends the returned packets.
func (m *Memberlist) Leave(now time.Duration) []Packet {
	m.advance(now)
	m.members.self().state = Left
	m.gossip.push(m.local.Index)
	m.gossipToActive(2 * urgentFanout)
	m.leaving = true
	return m.takeOutbox()
}

// advance sets the time of the event being handled, and notices when this process was stopped before it.
func (m *Memberlist) advance(now time.Duration) {
	m.now = now
	if stall := now - m.nextTick; stall > stallThreshold && !m.settings.plainSWIM {
		m.recoverFromStall(stall)
	}
}

// recoverFromStall discards conclusions from silence that was this process's own: while it was stopped it received
// nothing, so unanswered probes and running suspicions say nothing of others. It also pings some members: those that
// think this relay dead say so in their acks, and it can refute that.
func (m *Memberlist) recoverFromStall(stall time.Duration) {
	m.stats.Stalls++
	m.nextTick = m.now
	m.detector.reset()
	m.health.adjust(stallPenalty)
	m.suspicions.postpone(stall)
	for range urgentFanout {
		if i := m.members.randomActive(m.rng); i != noMember {
			m.ping(i)
		}
	}
}

// takeOutbox returns the packets sent during the event.
func (m *Memberlist) takeOutbox() []Packet {
	out := m.outbox
	m.outbox = nil
	return out
}
