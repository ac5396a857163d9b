package membership

// memberUpdate is what a relay tells others of a member.
type memberUpdate struct {
	member      int
	state       State
	incarnation uint64
}

// observeSender takes in what a datagram says of its sender: it runs, whatever others report.
func (m *Memberlist) observeSender(from int, msg *message) {
	r := &m.members.records[from]
	r.lastHeard, r.health, r.name = m.now, msg.health, msg.name
	r.observeStart(msg.startMillis, m.now, m.duplicateMemory())
	if r.implausible(msg.incarnation) {
		m.stats.RejectedIncarnations++
		return
	}
	switch {
	case r.state == Joining || msg.incarnation > r.incarnation:
		m.markAlive(from, msg.incarnation, from)
	case r.state != Alive:
		m.send(from, message{kind: kindGossip}) // tells it what is believed of it, so that it can refute that
	}
}

// markAlive records that a member runs with an incarnation.
func (m *Memberlist) markAlive(i int, incarnation uint64, by int) {
	m.suspicions.clear(i)
	r := &m.members.records[i]
	since := r.since
	if r.state != Alive {
		since = m.now
	}
	if r.state == Dead {
		m.stats.Recoveries++
	}
	r.setState(Alive, incarnation, since, by)
	m.gossip.push(i)
}

// applyUpdate takes in what a member reports of another. Higher incarnations win; with equal ones the later state does.
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

// applyAlive takes in a report that a member is alive, which says something new only with a new incarnation.
func (m *Memberlist) applyAlive(from int, u memberUpdate, newer bool) {
	if newer || m.members.records[u.member].state == Joining {
		m.markAlive(u.member, u.incarnation, from)
	}
}

// applySuspect takes in a report that a member is suspect: a confirmation where this relay suspects it too.
func (m *Memberlist) applySuspect(from int, u memberUpdate, newer bool) {
	switch state := m.members.records[u.member].state; {
	case state == Suspect && !newer:
		m.suspicions.confirm(u.member, from)
	case state != Dead || newer:
		m.suspect(u.member, from, u.incarnation)
	}
}

// applyDead takes in a report that a member is dead. It only starts a suspicion, since this relay tries the member
// itself before it believes that.
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

// applyLeft takes in a report that a member has left, unless the report is another's and the member was heard from
// within the last period.
func (m *Memberlist) applyLeft(from int, u memberUpdate, newer bool) {
	r := &m.members.records[u.member]
	heardLately := r.lastHeard > 0 && m.now-r.lastHeard < m.settings.ProtocolPeriod
	if from != u.member && !newer && heardLately {
		return
	}
	m.suspicions.clear(u.member)
	r.setState(Left, u.incarnation, m.now, from)
	m.gossip.push(u.member)
}

// refute answers a report about this relay that isn't true with a higher incarnation than the report's.
func (m *Memberlist) refute(u memberUpdate) {
	self := m.members.self()
	known := u.incarnation < self.incarnation || u.incarnation == self.incarnation && u.state == Alive
	if known || m.leaving {
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
