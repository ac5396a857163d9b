package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// ticksPerPeriod is the number of ticks in a protocol period. Timeouts are checked once a tick, and the probes of a period
	// are spread over its ticks.
	ticksPerPeriod = 10

	// stallThreshold is the lateness of a tick above which this process counts as having been stopped rather than busy.
	stallThreshold = 500 * time.Millisecond

	// urgentFanout is how many members are sent a datagram at once after a refutation or a stall. A leave goes to twice as
	// many, because this relay cannot send it again later.
	urgentFanout = 5

	// rngStream selects a PCG stream of this package's own, so that other packages with the same seed draw other numbers.
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
	Name                string // name of the relay, 1 to 32 bytes
	StartMillis         uint64 // start of the process, Unix time in milliseconds
	PreviousIncarnation uint64 // incarnation handed over by the predecessor in a hot restart; 0: none
}

// Memberlist is one relay's view of its fleet, and the protocol that keeps the view up to date. It isn't safe for
// concurrent use.
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

	outbox []Packet // packets queued by the event being handled
	stats  Stats
}

// New returns a Memberlist in which only the local relay is alive and all other members are joining. members is the length
// of the list of peers. The seed determines all random choices.
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

// tickInterval returns the time between two ticks.
func (m *Memberlist) tickInterval() time.Duration { return m.settings.ProtocolPeriod / ticksPerPeriod }

// NextTick returns when Tick is to be called next.
func (m *Memberlist) NextTick() time.Duration { return m.nextTick }

// Stats returns a copy of the counters.
func (m *Memberlist) Stats() Stats { return m.stats }

// Tick handles probes and suspicions whose timeouts have passed, starts new probes, and sends queued updates. The caller
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

// runTick runs one tick of the protocol.
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

// HandlePacket handles a datagram received from a member's address; from is the member's index in the list of peers.
// Datagrams that are malformed, belong to another fleet, or are received after Leave are dropped. The caller sends the
// returned packets.
func (m *Memberlist) HandlePacket(now time.Duration, from int, data []byte) []Packet {
	m.advance(now)
	if msg, ok := m.accept(from, data); ok {
		m.stats.PacketsReceived++
		m.handleMessage(from, &msg)
	}
	return m.takeOutbox()
}

// accept decodes a datagram and reports whether it is to be handled.
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

// handleMessage applies the sender's state and the updates of a message before it answers, so that the answer already
// carries the resulting updates.
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

// Leave announces that this relay leaves the fleet, so that the other members need not detect it as a failure. Afterwards
// the Memberlist handles no datagrams and changes no member's state. The caller sends the returned packets.
func (m *Memberlist) Leave(now time.Duration) []Packet {
	m.advance(now)
	m.members.self().state = Left
	m.gossip.push(m.local.Index)
	m.gossipToActive(2 * urgentFanout)
	m.leaving = true
	return m.takeOutbox()
}

// advance sets the time of the event being handled, and detects that this process was stopped before it.
func (m *Memberlist) advance(now time.Duration) {
	m.now = now
	if stall := now - m.nextTick; stall > stallThreshold && !m.settings.plainSWIM {
		m.recoverFromStall(stall)
	}
}

// recoverFromStall drops outstanding probes and postpones suspicions: while this process was stopped it received nothing,
// so missing acks are no evidence against other members. It also pings some members: those that have marked this relay dead
// report so in their acks, and this relay can refute it.
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

// takeOutbox returns the packets queued by the event and empties the outbox.
func (m *Memberlist) takeOutbox() []Packet {
	out := m.outbox
	m.outbox = nil
	return out
}
