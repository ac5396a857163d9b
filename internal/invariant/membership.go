package invariant

import "time"

// The rules of the relays' membership, by their names in reports.
const (
	RuleMembershipAccuracy     = "membership-accuracy"     // no running, reachable relay is held dead
	RuleMembershipCompleteness = "membership-completeness" // a relay that has ended is held dead or left in time
	RuleMembershipConvergence  = "membership-convergence"  // on a quiet network all views agree in time
	RuleMembershipLeave        = "membership-leave"        // a relay that announced its leave is not held dead
	RuleMembershipRefutation   = "membership-refutation"   // a relay refutes what is false about it, and others accept that in time
	RuleMembershipSize         = "membership-size"         // datagrams are small and few
)

// The bounds follow from the targets of the design, for a protocol period of one second.
const (
	membershipPeriod = time.Second
	membershipTick   = membershipPeriod / 10

	// membershipReachableFor is for how long a relay must have been reachable before marking it dead counts as false.
	membershipReachableFor = 3 * membershipPeriod
	// membershipDetection is how soon a relay that has ended is held dead by those that nothing had disturbed for
	// membershipConvergence; by others within membershipConvergence. A false suspicion ends within the same time.
	membershipDetection = 6*membershipPeriod + membershipTick
	// membershipConvergence is how soon after the last change views agree, and how soon a dead member that is reachable
	// again is held alive.
	membershipConvergence = 10 * membershipPeriod

	maxMembershipDatagram  = 256                  // bytes
	maxMembershipRate      = 2048                 // bytes a second that a relay sends while nothing happens
	membershipRateInterval = 5 * membershipPeriod // over which the rate is taken
)

// MemberState is what one relay holds of another.
type MemberState int

// The states.
const (
	MemberUnknown MemberState = iota // nothing was heard of it
	MemberAlive
	MemberSuspect
	MemberDead
	MemberLeft
)

// String returns the state's name in reports.
func (s MemberState) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[s]
}

// membershipState is what the checker knows of the relays' membership.
type membershipState struct {
	members   []memberState
	links     [][]linkState // by sender and receiver
	views     [][]heldState // by observer and member
	changedAt time.Duration // last change of a process or of the network

	impaired      bool          // datagrams are lost or delayed within the bounds that excuse no false death
	impairedUntil time.Duration // when that last ended
}

// memberState is one relay as a member: its process and its datagrams.
type memberState struct {
	running     bool
	since       time.Duration // when its process started or ended
	lastRun     time.Duration // how long its last process ran
	leftAt      time.Duration // when it announced its leave; 0: it did not
	viewSince   time.Duration // when its newest process started, a successor in a hot restart included
	paused      bool
	resumedAt   time.Duration
	incarnation uint64        // highest in its own datagrams
	refuteAbove uint64        // highest incarnation of a false report about it that it received
	refutable   time.Duration // when it received that report
	sentBytes   int
	sentSince   time.Duration // when sentBytes was last zero
}

// linkState tells whether datagrams from one relay to another pass, and since when.
type linkState struct {
	cut   bool
	since time.Duration
}

// heldState is what an observer holds of a member.
type heldState struct {
	state    MemberState
	since    time.Duration
	reported bool // as a violation; not again until it changes
}

// WatchMembership has the rules of membership apply. Without it, all calls about membership do nothing.
func (c *Checker) WatchMembership() {
	n := len(c.relays)
	m := &membershipState{members: make([]memberState, n), links: make([][]linkState, n), views: make([][]heldState, n), changedAt: c.now()}
	for i := range n {
		m.links[i], m.views[i] = make([]linkState, n), make([]heldState, n)
	}
	c.membership = m
}

// memberStarted resets what a relay holds of the others. A hot restart keeps the member running.
func (c *Checker) memberStarted(relay int, hotRestart bool) {
	if c.membership == nil {
		return
	}
	now, m := c.now(), &c.membership.members[relay]
	if !hotRestart {
		*m = memberState{running: true, since: now, incarnation: m.incarnation, sentSince: now}
	}
	m.viewSince = now
	for i := range c.membership.views[relay] {
		c.membership.views[relay][i] = heldState{since: now}
	}
	c.membership.changedAt = now
}

func (c *Checker) memberStopped(relay int) {
	if c.membership == nil {
		return
	}
	now, m := c.now(), &c.membership.members[relay]
	m.running, m.paused, m.lastRun, m.since = false, false, now-m.since, now
	c.membership.changedAt = now
}

func (c *Checker) memberPaused(relay int, paused bool) {
	if c.membership == nil {
		return
	}
	m := &c.membership.members[relay]
	m.paused = paused
	if !paused {
		m.resumedAt = c.now()
	}
	c.membership.changedAt = c.now()
}

// RelayLeaves reports that a relay begins its shutdown, at which it announces its leave.
func (c *Checker) RelayLeaves(relay int) {
	if c.membership != nil {
		c.membership.members[relay].leftAt, c.membership.changedAt = c.now(), c.now()
	}
}

// SetRelayLink reports whether datagrams from one relay to another are cut off: none pass, more than a fifth are lost, or
// they take longer than half a second.
func (c *Checker) SetRelayLink(from, to int, cut bool) {
	if c.membership == nil || c.membership.links[from][to].cut == cut {
		return
	}
	c.membership.links[from][to] = linkState{cut, c.now()}
	c.membership.changedAt = c.now()
}

// SetRelayLinksImpaired reports whether datagrams between relays are lost or delayed, but no link is cut because of that.
func (c *Checker) SetRelayLinksImpaired(impaired bool) {
	if c.membership != nil && c.membership.impaired != impaired {
		c.membership.impaired, c.membership.impairedUntil, c.membership.changedAt = impaired, c.now(), c.now()
	}
}

// MemberObserved reports what a relay holds of another from now on.
func (c *Checker) MemberObserved(observer, member int, state MemberState) {
	if c.membership == nil || observer == member {
		return
	}
	c.membership.views[observer][member] = heldState{state: state, since: c.now()}
	if state != MemberDead {
		return
	}
	if since, ok := c.membership.reachableSince(observer, member); ok && c.now()-since >= membershipReachableFor {
		c.reportHeld(RuleMembershipAccuracy, observer, member, since)
	}
	if c.membership.heardLeave(observer, member) {
		c.reportHeld(RuleMembershipLeave, observer, member, c.membership.members[member].leftAt)
	}
}

// reportHeld reports a violation by what an observer holds of a member, once until that changes.
func (c *Checker) reportHeld(rule string, observer, member int, since time.Duration) {
	held := &c.membership.views[observer][member]
	if held.reported {
		return
	}
	held.reported = true
	c.reportViolation(rule, "relay %d holds relay %d %v since %.3f; the condition for another state is met since %.3f", observer, member, held.state,
		(held.since - c.epoch).Seconds(), (since - c.epoch).Seconds())
}

// reachableSince returns since when a member runs, is not paused, and exchanges datagrams with an observer in both
// directions. ok is false if it is not so now.
func (m *membershipState) reachableSince(observer, member int) (since time.Duration, ok bool) {
	s, there, back := &m.members[member], m.links[observer][member], m.links[member][observer]
	if !s.running || s.paused || s.leftAt != 0 || there.cut || back.cut {
		return 0, false
	}
	return max(s.since, s.resumedAt, there.since, back.since), true
}

// attentiveSince returns since when an observer runs, is not paused, and is connected with all running relays but the
// given one. ok is false if it is not so now.
func (m *membershipState) attentiveSince(observer, except int) (since time.Duration, ok bool) {
	o := &m.members[observer]
	if !o.running || o.paused || o.leftAt != 0 {
		return 0, false
	}
	since = max(o.viewSince, o.resumedAt)
	for peer := range m.members {
		if peer == observer || peer == except || !m.members[peer].running {
			continue
		}
		there, back := m.links[observer][peer], m.links[peer][observer]
		if there.cut || back.cut {
			return 0, false
		}
		since = max(since, there.since, back.since)
	}
	return since, true
}

// heardLeave reports whether an observer must have heard that a member leaves: both were connected with all relays, and
// running, for some time before and ever since.
func (m *membershipState) heardLeave(observer, member int) bool {
	s := &m.members[member]
	if s.leftAt == 0 || m.impaired || m.links[member][observer].cut {
		return false
	}
	attentive, ok := m.attentiveSince(observer, member)
	return ok && max(attentive, s.resumedAt, m.links[member][observer].since) <= s.leftAt-membershipReachableFor
}

// CheckMembership checks what each relay holds of the others, and the rates of datagrams. The driver calls it at least once
// in each tick of the protocol.
func (c *Checker) CheckMembership() {
	if c.membership == nil {
		return
	}
	for observer := range c.membership.members {
		for member := range c.membership.members {
			if observer != member && c.membership.members[observer].running {
				c.checkHeld(observer, member)
			}
		}
		c.checkDatagramRate(observer)
	}
}

// checkHeld checks what one relay holds of another.
func (c *Checker) checkHeld(observer, member int) {
	m, now := c.membership, c.now()
	held, o := m.views[observer][member], &m.members[observer]
	if o.paused || o.leftAt != 0 {
		return
	}
	if since, ok := m.reachableSince(observer, member); ok {
		since = max(since, held.since, o.since, o.resumedAt)
		switch {
		case held.state == MemberDead && now-since > membershipConvergence:
			c.reportHeld(RuleMembershipAccuracy, observer, member, since)
		case held.state == MemberSuspect && now-since > membershipDetection:
			c.reportHeld(RuleMembershipRefutation, observer, member, since)
		}
	}
	if since, overdue := m.endOverdue(observer, member, now); overdue {
		c.reportHeld(RuleMembershipCompleteness, observer, member, since)
	}
	if m.quiet(now) && !m.agrees(observer, member) {
		c.reportHeld(RuleMembershipConvergence, observer, member, m.changedAt)
	}
}

// endOverdue reports whether an observer should have noticed by now that a member does not run, and since when it could. A
// disturbance lengthens the observer's timeouts, as its design has it: then the time until views agree applies.
func (m *membershipState) endOverdue(observer, member int, now time.Duration) (since time.Duration, overdue bool) {
	attentive, ok := m.attentiveSince(observer, member)
	if !ok || m.impaired || m.members[member].running || m.acceptsEnd(observer, member) {
		return 0, false
	}
	endedAt, undisturbed := m.members[member].since, max(attentive, m.impairedUntil)
	if endedAt-undisturbed >= membershipConvergence {
		return endedAt, now-endedAt > membershipDetection
	}
	since = max(endedAt, undisturbed)
	return since, now-since > membershipConvergence
}

// acceptsEnd reports whether what an observer holds of a member that does not run is right.
func (m *membershipState) acceptsEnd(observer, member int) bool {
	s := &m.members[member]
	switch m.views[observer][member].state {
	case MemberDead:
		return true
	case MemberLeft: // a restart may have been too short to be noticed
		return s.leftAt != 0 || s.lastRun < membershipReachableFor
	case MemberUnknown: // it ended before the observer could hear of it
		return s.since < m.members[observer].since+membershipReachableFor
	default:
		return false
	}
}

// quiet reports whether views must agree: nothing has happened to processes and network for long enough.
func (m *membershipState) quiet(now time.Duration) bool {
	return !m.impaired && now-m.changedAt > membershipConvergence
}

// agrees reports whether what an observer holds of a member is right while nothing happens. A suspicion is not wrong then,
// as single datagrams are lost; that it ends is another rule.
func (m *membershipState) agrees(observer, member int) bool {
	if _, connected := m.attentiveSince(observer, observer); !connected {
		return true
	}
	if !m.members[member].running {
		return m.acceptsEnd(observer, member)
	}
	state := m.views[observer][member].state
	return state == MemberAlive || state == MemberSuspect || m.members[member].paused || m.members[member].leftAt != 0
}
