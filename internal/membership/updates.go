package membership

// memberUpdate is a report of a member's state, as disseminated among relays.
type memberUpdate struct {
	member      int
	state       State
	incarnation uint64
}

// observeSender applies the sender's fields of a datagram. The datagram shows that the sender is running, whatever others
// report.
func (m *Memberlist) observeSender(from int, msg *message) {
	r := &m.members.records[from]
	r.lastHeard, r.health, r.name = m.now, msg.health, msg.name
	r.observeStart(msg.startMillis, m.now, m.duplicateRetention())
	if r.implausible(msg.incarnation) {
		m.stats.RejectedIncarnations++
		return
	}
	switch {
	case r.state == Joining || msg.incarnation > r.incarnation:
		m.markAlive(from, msg.incarnation, from)
	case r.state != Alive:
		m.send(from, message{kind: kindGossip}) // carries the sender's state in this relay's view, which the sender can refute
	}
}

// markAlive marks a member alive with the given incarnation.
func (m *Memberlist) markAlive(i int, incarnation uint64, reporter int) {
	m.suspicions.clear(i)
	r := &m.members.records[i]
	since := r.since
	if r.state != Alive {
		since = m.now
	}
	if r.state == Dead {
		m.stats.Recoveries++
	}
	r.setState(Alive, incarnation, since, reporter)
	m.gossip.push(i)
}

// applyUpdate applies a member's report about another. The higher incarnation wins; of equal ones, the later state.
func (m *Memberlist) applyUpdate(from int, u memberUpdate) {
	if u.member == m.local.Index {
		m.refute(u)
		return
	}
	r := &m.members.records[u.member]
	if r.implausible(u.incarnation) {
		m.stats.RejectedIncarnations++
		return
	}
	newer := u.incarnation > r.incarnation
	if !newer && (u.incarnation < r.incarnation || r.state == Left) {
		return
	}
	switch u.state {
	case Alive:
		m.applyAlive(from, u, newer)
	case Suspect:
		m.applySuspect(from, u, newer)
	case Dead:
		m.applyDead(from, u, newer)
	case Left:
		m.applyLeft(from, u, newer)
	}
}

// applyAlive applies a report that a member is alive. It changes a member's state only if the incarnation is higher or the
// member is joining.
func (m *Memberlist) applyAlive(from int, u memberUpdate, newer bool) {
	if newer || m.members.records[u.member].state == Joining {
		m.markAlive(u.member, u.incarnation, from)
	}
}

// applySuspect applies a report that a member is suspect: a confirmation if this relay suspects the member too.
func (m *Memberlist) applySuspect(from int, u memberUpdate, newer bool) {
	switch state := m.members.records[u.member].state; {
	case state == Suspect && !newer:
		m.suspicions.confirm(u.member, from)
	case state != Dead || newer:
		m.suspect(u.member, from, u.incarnation)
	}
}

// applyDead applies a report that a member is dead. It only starts a suspicion, because this relay pings the member itself
// before it marks it dead.
func (m *Memberlist) applyDead(from int, u memberUpdate, newer bool) {
	r := &m.members.records[u.member]
	if r.state == Dead && !newer {
		return
	}
	r.reportedBy = from
	if m.settings.plainSWIM {
		m.markDead(u.member, u)
		return
	}
	m.startSuspicion(u.member, from, u)
}

// applyLeft applies a report that a member has left. It ignores a report by another member, without a higher incarnation,
// if a datagram from the member itself arrived within the last protocol period.
func (m *Memberlist) applyLeft(from int, u memberUpdate, newer bool) {
	r := &m.members.records[u.member]
	recentlyHeard := r.lastHeard > 0 && m.now-r.lastHeard < m.settings.ProtocolPeriod
	if from != u.member && !newer && recentlyHeard {
		return
	}
	m.suspicions.clear(u.member)
	r.setState(Left, u.incarnation, m.now, from)
	m.gossip.push(u.member)
}

// refute answers a false report about this relay with a higher incarnation than the report's.
func (m *Memberlist) refute(u memberUpdate) {
	self := m.members.self()
	consistent := u.incarnation < self.incarnation || u.incarnation == self.incarnation && u.state == Alive
	if consistent || m.leaving {
		return
	}
	if self.implausible(u.incarnation) {
		m.stats.RejectedIncarnations++
		return
	}
	self.incarnation = u.incarnation + 1
	if u.state == Suspect || u.state == Dead {
		m.stats.Refutations++
		m.health.adjust(1) // a suspicion of this relay suggests that it answers too slowly
	}
	m.gossip.push(m.local.Index)
	m.gossipToActive(urgentFanout)
}
