package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxRelayedProbes bounds the outstanding probes on behalf of other members, and thereby the traffic that ping-reqs can
	// cause.
	maxRelayedProbes = 64

	// indirectTimeoutFactor is the timeout of an indirect probe as a multiple of the probe timeout. It allows for two round
	// trips, from this relay to the helper and from the helper to the target, and for the helper's own probe timeout.
	indirectTimeoutFactor = 3

	// joiningGracePeriods is for how many protocol periods after the start joining members are not probed: they are likely
	// to be starting too.
	joiningGracePeriods = 3
)

// probe is an outstanding probe that this relay started for itself.
type probe struct {
	target       int
	sequence     uint64
	sent         time.Duration
	deadline     time.Duration
	indirect     bool // ping-reqs were sent
	pingReqsSent int
	nacks        int
}

// relayedProbe is an outstanding probe that this relay makes on behalf of the member that sent a ping-req.
type relayedProbe struct {
	requester         int
	requesterSequence uint64
	sequence          uint64 // sequence number of this relay's ping to the target
	deadline          time.Duration
}

// failureDetector holds the outstanding probes and the order of probing.
type failureDetector struct {
	probes   []probe
	relayed  []relayedProbe
	order    []int // members in the probe order of the current round
	next     int   // index into order of the next member to probe
	sequence uint64
}

// nextSequence returns a sequence number for a ping.
func (d *failureDetector) nextSequence() uint64 {
	d.sequence++
	return d.sequence
}

// reset discards all outstanding probes.
func (d *failureDetector) reset() {
	d.probes, d.relayed = d.probes[:0], d.relayed[:0]
}

// nextTarget returns the next eligible member that isn't being probed, or noMember. Each round visits every member once
// in a new random order, which bounds the time until a member is probed (SWIM, section 4.3).
func (d *failureDetector) nextTarget(rng *rand.Rand, members *memberTable, eligible func(i int) bool) int {
	for range members.records {
		if d.next >= len(d.order) {
			d.startRound(rng, members)
		}
		if len(d.order) == 0 {
			return noMember
		}
		i := d.order[d.next]
		d.next++
		if eligible(i) && !d.probing(i) {
			return i
		}
	}
	return noMember
}

// startRound puts all members but this relay in a new random order.
func (d *failureDetector) startRound(rng *rand.Rand, members *memberTable) {
	d.next = 0
	d.order = d.order[:0]
	for i := range members.records {
		if i != members.local {
			d.order = append(d.order, i)
		}
	}
	rng.Shuffle(len(d.order), func(a, b int) { d.order[a], d.order[b] = d.order[b], d.order[a] })
}

// probing reports whether a probe of a member is outstanding.
func (d *failureDetector) probing(i int) bool {
	return slices.ContainsFunc(d.probes, func(p probe) bool { return p.target == i })
}

// countNack counts a nack: the helper could not reach the target, but the path from here to the helper works.
func (d *failureDetector) countNack(sequence uint64) {
	for i := range d.probes {
		if p := &d.probes[i]; p.sequence == sequence && p.nacks < p.pingReqsSent {
			p.nacks++
		}
	}
}

// takeProbe removes and returns the probe with the given sequence number.
func (d *failureDetector) takeProbe(sequence uint64) (probe, bool) {
	k := slices.IndexFunc(d.probes, func(p probe) bool { return p.sequence == sequence })
	if k < 0 {
		return probe{}, false
	}
	p := d.probes[k]
	d.probes = slices.Delete(d.probes, k, k+1)
	return p, true
}

// takeRelayed removes and returns the relayed probe with the given sequence number.
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

// probeNext starts a probe of the next member of the round.
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

// reconnect pings one member that is joining, or dead for less than ForgetAfter. This is how views converge after a network
// partition, without state transfers.
func (m *Memberlist) reconnect() {
	i := m.members.random(m.rng, func(i int) bool {
		r := &m.members.records[i]
		return r.state == Joining || r.state == Dead && m.now-r.since < m.settings.ForgetAfter
	})
	if i != noMember {
		m.ping(i)
	}
}

// expireProbes handles probes whose deadline has passed: it turns direct probes into indirect ones and fails indirect ones.
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

// probeIndirectly asks other members to probe the target, and pings it once more. The second ping covers a lost ping or ack,
// the indirect probes a broken path between this relay and the target.
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

// probeFailed handles a probe without a direct or indirect ack. Missing nacks from helpers suggest that this relay itself is
// slow or cut off, so they raise the local health score.
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

// handlePingReq probes a member on behalf of the sender of a ping-req.
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

// expireRelayedProbes sends nacks for relayed probes that were not answered in time. A nack shows the requester that the
// path to its helper works.
func (m *Memberlist) expireRelayedProbes() {
	m.detector.relayed = slices.DeleteFunc(m.detector.relayed, func(p relayedProbe) bool {
		if p.deadline > m.now {
			return false
		}
		m.send(p.requester, message{kind: kindNack, sequence: p.requesterSequence})
		return true
	})
}

// handleAck ends the probe with the given sequence number, whether this relay made it for itself or on behalf of another
// member.
func (m *Memberlist) handleAck(from int, sequence uint64) {
	if p, ok := m.detector.takeRelayed(sequence); ok {
		m.send(p.requester, message{kind: kindAck, sequence: p.requesterSequence})
		return
	}
	p, ok := m.detector.takeProbe(sequence)
	if !ok || from != p.target { // an ack relayed by a helper does not measure the round trip to the target
		return
	}
	elapsed := m.now - p.sent
	if p.indirect { // the first ping or ack was late or lost, so acks take longer than estimated
		m.roundTrip.observe(min(elapsed, maxProbeTimeout))
		return
	}
	m.members.records[from].roundTrip = elapsed
	m.roundTrip.observe(elapsed)
	m.health.adjust(-1)
}
