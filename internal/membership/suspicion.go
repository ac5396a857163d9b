package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSuspicionFactor is the longest suspicion timeout as a multiple of the shortest (Lifeguard's beta). The longest
	// applies while other members could confirm the suspicion and none has.
	maxSuspicionFactor = 4

	// maxConfirmations is how many members, the first included, have to suspect a member for the timeout to reach its
	// minimum (Lifeguard's K).
	maxConfirmations = 2

	// confirmationPings is how many pings this relay sends to a member itself, at the end of a suspicion, before it marks
	// the member dead.
	confirmationPings = 3

	// recentlyHeardFactor is the age below which a datagram from the member dismisses a suspicion at its end, as a multiple
	// of the probe timeout.
	recentlyHeardFactor = 3
)

// suspicion is a running suspicion of one member. It starts with a failed probe, or with a report that the member is suspect
// or dead, and ends with a refutation, a dismissal or the member being marked dead or left.
type suspicion struct {
	startedAt             time.Duration
	minTimeout            time.Duration
	maxTimeout            time.Duration
	confirmers            [maxConfirmations]int // members that suspect it, in the order of their reports
	confirmations         int                   // how many of confirmers are set
	possibleConfirmations int                   // other members that could confirm it, at most maxConfirmations-1
	claim                 memberUpdate          // update sent to the suspected member, which can refute it
	pings                 int                   // sent by this relay at the end of the suspicion
	pingDeadline          time.Duration         // when the last of these pings times out; 0: none was sent
}

// deadline returns when the suspicion times out. Each independent confirmation shortens the timeout, the first ones most
// (Lifeguard, section IV-B).
func (s *suspicion) deadline() time.Duration {
	if s.possibleConfirmations == 0 {
		return s.startedAt + s.minTimeout
	}
	reduction := math.Log(float64(max(1, s.confirmations))) / math.Log(float64(s.possibleConfirmations+1))
	return s.startedAt + s.maxTimeout - time.Duration(min(1, reduction)*float64(s.maxTimeout-s.minTimeout))
}

// pending reports whether the suspicion is still waiting for its timeout or for the ack to a ping. A suspicion from a
// reported death has no timeout: this relay pings the member at once.
func (s *suspicion) pending(now time.Duration) bool {
	if s.pingDeadline > 0 {
		return s.pingDeadline > now
	}
	return now < s.deadline() && s.claim.state != Dead
}

// suspicionSet holds the running suspicions.
type suspicionSet struct {
	byMember []*suspicion // nil: none
	active   []int        // members under suspicion, in the order in which their suspicions started
}

// newSuspicionSet returns an empty set.
func newSuspicionSet(members int) suspicionSet {
	return suspicionSet{byMember: make([]*suspicion, members)}
}

// start adds a suspicion of a member that has none.
func (s *suspicionSet) start(i int, added *suspicion) {
	s.byMember[i] = added
	s.active = append(s.active, i)
}

// clear ends the suspicion of a member, if there is one.
func (s *suspicionSet) clear(i int) {
	s.byMember[i] = nil
	if k := slices.Index(s.active, i); k >= 0 {
		s.active = slices.Delete(s.active, k, k+1)
	}
}

// confirm records that another member confirms a suspicion.
func (s *suspicionSet) confirm(i, confirmer int) {
	running := s.byMember[i]
	if running == nil || running.confirmations == len(running.confirmers) || slices.Contains(running.confirmers[:running.confirmations], confirmer) {
		return
	}
	running.confirmers[running.confirmations] = confirmer
	running.confirmations++
}

// postpone delays all suspicions by the length of a stall, in which this relay received nothing, and discards the
// confirmation pings sent before the stall.
func (s *suspicionSet) postpone(delay time.Duration) {
	for _, i := range s.active {
		running := s.byMember[i]
		running.startedAt += delay
		running.pings, running.pingDeadline = 0, 0
	}
}

// suspect marks a member suspect, because of a failed probe by this relay or a report by another member.
func (m *Memberlist) suspect(i, reporter int, incarnation uint64) {
	m.members.records[i].setState(Suspect, incarnation, m.now, reporter)
	m.stats.Suspicions++
	m.gossip.push(i)
	m.startSuspicion(i, reporter, memberUpdate{i, Suspect, incarnation})
	m.send(i, message{kind: kindGossip}) // Lifeguard's buddy system: this relay notifies the suspected member at once
}

// startSuspicion starts a suspicion, or adds a confirmation to a running one.
func (m *Memberlist) startSuspicion(i, reporter int, claim memberUpdate) {
	if m.suspicions.byMember[i] == nil {
		m.suspicions.start(i, m.newSuspicion(i))
	}
	m.suspicions.byMember[i].claim = claim
	m.suspicions.confirm(i, reporter)
}

// newSuspicion returns a suspicion of a member that starts now.
func (m *Memberlist) newSuspicion(i int) *suspicion {
	s := &suspicion{startedAt: m.now, possibleConfirmations: min(maxConfirmations-1, m.members.activeExcept(i))}
	if m.settings.plainSWIM {
		s.minTimeout = m.settings.MinSuspicionTimeout
		s.maxTimeout = s.minTimeout
		return s
	}
	s.minTimeout = m.health.scaleSuspicionTimeout(m.settings.MinSuspicionTimeout)
	s.maxTimeout = maxSuspicionFactor * s.minTimeout
	return s
}

// checkSuspicions checks all running suspicions.
func (m *Memberlist) checkSuspicions() {
	for _, i := range slices.Clone(m.suspicions.active) {
		m.checkSuspicion(i)
	}
}

// checkSuspicion checks one suspicion. After the timeout this relay pings the member itself, several times, before it marks
// the member dead: it never marks a member dead that it can reach, whatever others report.
func (m *Memberlist) checkSuspicion(i int) {
	s := m.suspicions.byMember[i]
	if s.pending(m.now) {
		return
	}
	if m.settings.plainSWIM {
		m.markDead(i, s.claim)
		return
	}
	switch {
	case m.heardDuring(s, i):
		m.dismissSuspicion(i)
	case s.pings < confirmationPings:
		s.pings++
		s.pingDeadline = m.now + m.probeTimeout()
		m.ping(i)
	default:
		m.markDead(i, s.claim)
	}
}

// heardDuring reports whether a datagram from the member arrived after the suspicion started, and recently.
func (m *Memberlist) heardDuring(s *suspicion, i int) bool {
	lastHeard := m.members.records[i].lastHeard
	return lastHeard > s.startedAt && lastHeard+recentlyHeardFactor*m.probeTimeout() > m.now
}

// dismissSuspicion ends the suspicion of a member that is reachable although its refutation has not arrived.
func (m *Memberlist) dismissSuspicion(i int) {
	m.suspicions.clear(i)
	if r := &m.members.records[i]; r.state == Suspect {
		r.setState(Alive, r.incarnation, m.now, m.local.Index)
	}
}

// markDead ends a suspicion by marking the member dead.
func (m *Memberlist) markDead(i int, claim memberUpdate) {
	m.suspicions.clear(i)
	r := &m.members.records[i]
	r.setState(Dead, max(r.incarnation, claim.incarnation), m.now, r.reportedBy)
	m.stats.Deaths++
	m.gossip.push(i)
}
