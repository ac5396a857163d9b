package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSuspicionFactor times the shortest suspicion timeout is the longest: how long a suspicion lasts while nobody
	// else shares it (Lifeguard's beta).
	maxSuspicionFactor = 4

	// maxConfirmations is how many members, the first included, have to suspect a member for the timeout to shrink to
	// its shortest (Lifeguard's K).
	maxConfirmations = 2

	// confirmationPings is how often this relay pings a member itself, at the end of a suspicion, before it marks it
	// dead.
	confirmationPings = 3

	// recentlyHeardFactor times the probe timeout is how recent a datagram from the member has to be to count in its
	// favour at the end of a suspicion.
	recentlyHeardFactor = 3
)

// suspicion is on its way from a failed probe, or a report of a member's death, to the member's death here.
type suspicion struct {
	began         time.Duration
	minTimeout    time.Duration
	maxTimeout    time.Duration
	confirmers    [maxConfirmations]int // members that suspect it, in the order of their reports
	confirmations int                   // how many of confirmers are set
	possible      int                   // how many others could confirm, as far as it matters
	claim         memberUpdate          // what the member is told, so that it can refute it
	pings         int                   // sent by this relay at the end
	nextPing      time.Duration         // when the last of them runs out; 0: none was sent
}

// deadline returns when the suspicion times out. Each independent confirmation brings it nearer, the first ones most
// (Lifeguard, section IV-B).
func (s *suspicion) deadline() time.Duration {
	if s.possible == 0 {
		return s.began + s.minTimeout
	}
	share := math.Log(float64(max(1, s.confirmations))) / math.Log(float64(s.possible+1))
	return s.began + s.maxTimeout - time.Duration(min(1, share)*float64(s.maxTimeout-s.minTimeout))
}

// pending says whether there is nothing to do about the suspicion yet. A reported death has no timeout: this relay
// tries the member at once.
func (s *suspicion) pending(now time.Duration) bool {
	if s.nextPing > 0 {
		return s.nextPing > now
	}
	return now < s.deadline() && s.claim.state != Dead
}

// suspicionSet holds the running suspicions.
type suspicionSet struct {
	byMember []*suspicion // nil: none
	active   []int        // members with a suspicion, in the order in which these began
}

// newSuspicionSet returns an empty set.
func newSuspicionSet(members int) suspicionSet {
	return suspicionSet{byMember: make([]*suspicion, members)}
}

// start adds a suspicion of a member that has none.
func (s *suspicionSet) start(i int, started *suspicion) {
	s.byMember[i] = started
	s.active = append(s.active, i)
}

// clear ends the suspicion of a member, if there is one.
func (s *suspicionSet) clear(i int) {
	s.byMember[i] = nil
	if k := slices.Index(s.active, i); k >= 0 {
		s.active = slices.Delete(s.active, k, k+1)
	}
}

// confirm records that one more member shares a suspicion.
func (s *suspicionSet) confirm(i, by int) {
	c := s.byMember[i]
	if c == nil || c.confirmations == len(c.confirmers) || slices.Contains(c.confirmers[:c.confirmations], by) {
		return
	}
	c.confirmers[c.confirmations] = by
	c.confirmations++
}

// postpone moves all suspicions by a time in which their members could not be heard, and forgets pings sent before it.
func (s *suspicionSet) postpone(by time.Duration) {
	for _, i := range s.active {
		c := s.byMember[i]
		c.began += by
		c.pings, c.nextPing = 0, 0
	}
}

// suspect marks a member suspect, on the report of a member or of this relay itself.
func (m *Memberlist) suspect(i, by int, incarnation uint64) {
	m.members.records[i].setState(Suspect, incarnation, m.now, by)
	m.stats.Suspicions++
	m.gossip.push(i)
	m.startSuspicion(i, by, memberUpdate{i, Suspect, incarnation})
	m.send(i, message{kind: kindGossip}) // Lifeguard's buddy system: the member hears of it from here at once
}

// startSuspicion begins a suspicion, or adds a report to the one that runs.
func (m *Memberlist) startSuspicion(i, by int, claim memberUpdate) {
	if m.suspicions.byMember[i] == nil {
		m.suspicions.start(i, m.newSuspicion(i))
	}
	m.suspicions.byMember[i].claim = claim
	m.suspicions.confirm(i, by)
}

// newSuspicion returns a suspicion of a member that begins now.
func (m *Memberlist) newSuspicion(i int) *suspicion {
	s := &suspicion{began: m.now, possible: min(maxConfirmations-1, m.members.activeExcept(i))}
	if m.settings.plainSWIM {
		s.minTimeout = m.settings.MinSuspicionTimeout
		s.maxTimeout = s.minTimeout
		return s
	}
	s.minTimeout = m.health.scaleSuspicionTimeout(m.settings.MinSuspicionTimeout)
	s.maxTimeout = maxSuspicionFactor * s.minTimeout
	return s
}

// checkSuspicions moves all suspicions on.
func (m *Memberlist) checkSuspicions() {
	for _, i := range slices.Clone(m.suspicions.active) {
		m.checkSuspicion(i)
	}
}

// checkSuspicion moves one suspicion on. At its end this relay pings the member itself, several times, before it marks
// it dead: a member that this relay can reach is never dead to it, whatever others report.
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
		s.nextPing = m.now + m.probeTimeout()
		m.ping(i)
	default:
		m.markDead(i, s.claim)
	}
}

// heardDuring says whether a suspected member has sent something since, and not long ago.
func (m *Memberlist) heardDuring(s *suspicion, i int) bool {
	heard := m.members.records[i].lastHeard
	return heard > s.began && heard+recentlyHeardFactor*m.probeTimeout() > m.now
}

// dismissSuspicion ends the suspicion of a member that is reachable although its refutation has not arrived.
func (m *Memberlist) dismissSuspicion(i int) {
	m.suspicions.clear(i)
	if r := &m.members.records[i]; r.state == Suspect {
		r.setState(Alive, r.incarnation, m.now, m.local.Index)
	}
}

// markDead ends a suspicion with the member's death.
func (m *Memberlist) markDead(i int, claim memberUpdate) {
	m.suspicions.clear(i)
	r := &m.members.records[i]
	r.setState(Dead, max(r.incarnation, claim.incarnation), m.now, r.reportedBy)
	m.stats.Deaths++
	m.gossip.push(i)
}
