package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxRelayedProbes bounds the probes made for others at one time, and so what ping-reqs can make a relay send.
	maxRelayedProbes = 64

	// indirectTimeoutFactor times the probe timeout is how long indirect probes may take: there and back twice, with
	// the helper's own timeout between.
	indirectTimeoutFactor = 3

	// joiningGracePeriods is for how many protocol periods after the start only members that were heard from are
	// probed: the others are likely to be starting too.
	joiningGracePeriods = 3
)

// probe is one that this relay began and that has not been answered.
type probe struct {
	target       int
	sequence     uint64
	sent         time.Duration
	deadline     time.Duration
	indirect     bool // ping-reqs were sent
	pingReqsSent int
	nacks        int
}

// relayedProbe is one that this relay makes because another asked for it with a ping-req.
type relayedProbe struct {
	requester         int
	requesterSequence uint64
	sequence          uint64 // of this relay's own ping
	deadline          time.Duration
}

// failureDetector holds the outstanding probes and the order of probing.
type failureDetector struct {
	probes   []probe
	relayed  []relayedProbe
	order    []int // members in the order of the present round
	position int   // of the next member in order
	sequence uint64
}

// nextSequence returns a sequence number for a ping.
func (d *failureDetector) nextSequence() uint64 {
	d.sequence++
	return d.sequence
}

// reset forgets all outstanding probes.
func (d *failureDetector) reset() {
	d.probes, d.relayed = d.probes[:0], d.relayed[:0]
}

// nextTarget returns the next eligible member that isn't being probed, or noMember. Each round visits every member once
// in a new random order, which bounds the time until a member is probed (SWIM, section 4.3).
func (d *failureDetector) nextTarget(rng *rand.Rand, members *memberTable, eligible func(i int) bool) int {
	for range members.records {
		if d.position >= len(d.order) {
			d.startRound(rng, members)
		}
		if len(d.order) == 0 {
			return noMember
		}
		i := d.order[d.position]
		d.position++
		if eligible(i) && !d.probing(i) {
			return i
		}
	}
	return noMember
}

// startRound shuffles all members but this relay.
func (d *failureDetector) startRound(rng *rand.Rand, members *memberTable) {
	d.position = 0
	d.order = d.order[:0]
	for i := range members.records {
		if i != members.local {
			d.order = append(d.order, i)
		}
	}
	rng.Shuffle(len(d.order), func(a, b int) { d.order[a], d.order[b] = d.order[b], d.order[a] })
}

// probing says whether a probe of a member is outstanding.
func (d *failureDetector) probing(i int) bool {
	return slices.ContainsFunc(d.probes, func(p probe) bool { return p.target == i })
}

// countNack records that a helper reached nobody but is itself there.
func (d *failureDetector) countNack(sequence uint64) {
	for i := range d.probes {
		if p := &d.probes[i]; p.sequence == sequence && p.nacks < p.pingReqsSent {
			p.nacks++
		}
	}
}

// takeProbe removes and returns the probe with a sequence number.
func (d *failureDetector) takeProbe(sequence uint64) (probe, bool) {
	k := slices.IndexFunc(d.probes, func(p probe) bool { return p.sequence == sequence })
	if k < 0 {
		return probe{}, false
	}
	p := d.probes[k]
	d.probes = slices.Delete(d.probes, k, k+1)
	return p, true
}

// takeRelayed removes and returns the relayed probe with a sequence number.
func (d *failureDetector) takeRelayed(sequence uint64) (relayedProbe, bool) {
	k := slices.IndexFunc(d.relayed, func(p relayedProbe) bool { return p.sequence == sequence })
	if k < 0 {
		return relayedProbe{}, false
	}
	p := d.relayed[k]
	d.relayed = slices.Delete(d.relayed, k, k+1)
	return p, true
}

// ping sends a ping and returns its sequence number.
func (m *Memberlist) ping(to int) uint64 {
	sequence := m.detector.nextSequence()
	m.send(to, message{kind: kindPing, sequence: sequence})
	return sequence
}

// probeNext begins the probe of the next member of the round.
func (m *Memberlist) probeNext() {
	target := m.detector.nextTarget(m.rng, &m.members, func(i int) bool {
		r := &m.members.records[i]
		return r.active() || r.state == Joining && m.ticks > joiningGracePeriods*ticksPerPeriod
	})
	if target == noMember {
		return
	}
	m.stats.Probes++
	m.detector.probes = append(m.detector.probes, probe{
		target:   target,
		sequence: m.ping(target),
		sent:     m.now,
		deadline: m.now + m.probeTimeout(),
	})
}

// reconnect pings one member that is dead or was never heard from. Partitions heal by it, without state transfers.
func (m *Memberlist) reconnect() {
	i := m.members.random(m.rng, func(i int) bool {
		r := &m.members.records[i]
		return r.state == Joining || r.state == Dead && m.now-r.since < m.settings.ForgetAfter
	})
	if i != noMember {
		m.ping(i)
	}
}

// expireProbes moves probes on whose deadline has passed: from direct to indirect, from indirect to failed.
func (m *Memberlist) expireProbes() {
	probes := m.detector.probes
	m.detector.probes = probes[:0]
	for _, p := range probes {
		if p.deadline <= m.now && p.indirect {
			m.probeFailed(&p)
			continue
		}
		if p.deadline <= m.now {
			m.probeIndirectly(&p)
		}
		m.detector.probes = append(m.detector.probes, p)
	}
}

// probeIndirectly asks other members to probe the target, and pings it once more: either its first answer was lost, or
// the way between the two is broken.
func (m *Memberlist) probeIndirectly(p *probe) {
	p.indirect = true
	p.deadline = m.now + indirectTimeoutFactor*m.probeTimeout()
	m.send(p.target, message{kind: kindPing, sequence: p.sequence})
	for range m.settings.IndirectProbes {
		helper := m.members.random(m.rng, func(i int) bool { return i != p.target && m.members.records[i].state == Alive })
		if helper == noMember {
			continue
		}
		m.stats.IndirectProbes++
		p.pingReqsSent++
		m.send(helper, message{kind: kindPingReq, sequence: p.sequence, target: p.target + 1})
	}
}

// probeFailed handles a probe that nobody answered. Helpers that didn't even send a nack suggest that this relay is the
// one in trouble.
func (m *Memberlist) probeFailed(p *probe) {
	m.stats.FailedProbes++
	if !m.settings.plainSWIM && p.nacks < p.pingReqsSent {
		m.health.adjust(1)
	}
	switch r := &m.members.records[p.target]; r.state {
	case Alive:
		m.suspect(p.target, m.local.Index, r.incarnation)
	case Suspect:
		m.suspicions.confirm(p.target, m.local.Index)
	}
}

// handlePingReq probes a member for another.
func (m *Memberlist) handlePingReq(from int, msg *message) {
	target := msg.target - 1
	if target < 0 || target == m.local.Index || len(m.detector.relayed) >= maxRelayedProbes {
		return
	}
	m.detector.relayed = append(m.detector.relayed, relayedProbe{
		requester:         from,
		requesterSequence: msg.sequence,
		sequence:          m.ping(target),
		deadline:          m.now + m.probeTimeout(),
	})
}

// expireRelayedProbes sends nacks for relayed probes that were not answered, so that the requester knows that its helper
// is there.
func (m *Memberlist) expireRelayedProbes() {
	m.detector.relayed = slices.DeleteFunc(m.detector.relayed, func(p relayedProbe) bool {
		if p.deadline > m.now {
			return false
		}
		m.send(p.requester, message{kind: kindNack, sequence: p.requesterSequence})
		return true
	})
}

// handleAck ends the probe with a sequence number, whether this relay made it for itself or for another.
func (m *Memberlist) handleAck(from int, sequence uint64) {
	if p, ok := m.detector.takeRelayed(sequence); ok {
		m.send(p.requester, message{kind: kindAck, sequence: p.requesterSequence})
		return
	}
	p, ok := m.detector.takeProbe(sequence)
	if !ok || from != p.target { // an ack relayed by a helper says nothing of round trips
		return
	}
	elapsed := m.now - p.sent
	if p.indirect { // late, or lost once: answers take longer than was thought
		m.roundTrip.observe(min(elapsed, maxProbeTimeout))
		return
	}
	m.members.records[from].roundTrip = elapsed
	m.roundTrip.observe(elapsed)
	m.health.adjust(-1)
}
