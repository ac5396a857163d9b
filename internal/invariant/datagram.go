package invariant

// The wire form of membership datagrams: the byte membershipMagic, then a protobuf message. A datagram of
// overloadNoticeSize bytes is no membership datagram, whatever it begins with.
const (
	membershipMagic    = 0xb5
	overloadNoticeSize = 8

	incarnationField = 5
	updatesField     = 9

	wireVarint = 0
	wireBytes  = 2

	stateBits = 3 // low bits of an update's first number: the member's state; the others are its index
)

// reportedMember is an update in a datagram: what the sender holds of a member.
type reportedMember struct {
	member      int
	state       MemberState
	incarnation uint64
}

// datagram is what the rules need of a membership datagram.
type datagram struct {
	incarnation uint64 // of the sender
	updates     []reportedMember
}

// DatagramSent reports a datagram that a relay sent, as it left the relay.
func (c *Checker) DatagramSent(from int, data []byte) {
	if c.membership == nil || !isMembership(data) {
		return
	}
	m := &c.membership.members[from]
	m.sentBytes += len(data)
	if len(data) > maxMembershipDatagram {
		c.reportViolation(RuleMembershipSize, "relay %d sent a datagram of %d bytes, more than %d", from, len(data), maxMembershipDatagram)
	}
	sent, ok := readDatagram(data)
	switch {
	case !ok:
		c.reportViolation(RuleMembershipSize, "relay %d sent a datagram that cannot be read: [%x]", from, data)
	case sent.incarnation < m.incarnation:
		c.reportViolation(RuleMembershipRefutation, "relay %d sent incarnation %d after %d", from, sent.incarnation, m.incarnation)
	case sent.incarnation <= m.refuteAbove && c.now() > m.refutable && m.leftAt == 0:
		c.reportViolation(RuleMembershipRefutation, "relay %d sent incarnation %d after it was told of its suspicion at %d", from, sent.incarnation, m.refuteAbove)
	}
	m.incarnation = max(m.incarnation, sent.incarnation)
}

// DatagramDelivered reports a datagram that a relay is about to handle. A report in it that the relay is not alive must be
// refuted by a higher incarnation in all that the relay sends after this moment.
func (c *Checker) DatagramDelivered(to int, data []byte) {
	if c.membership == nil || !isMembership(data) {
		return
	}
	received, _ := readDatagram(data)
	m := &c.membership.members[to]
	for _, u := range received.updates {
		if u.member == to && u.state >= MemberSuspect && m.leftAt == 0 && u.incarnation > m.refuteAbove {
			m.refuteAbove, m.refutable = u.incarnation, c.now()
		}
	}
}

// checkDatagramRate checks how much a relay sends while nothing happens.
func (c *Checker) checkDatagramRate(relay int) {
	m, now := &c.membership.members[relay], c.now()
	if !c.membership.quiet(now) {
		m.sentBytes, m.sentSince = 0, now
		return
	}
	interval := now - m.sentSince
	if interval < membershipRateInterval {
		return
	}
	if rate := float64(m.sentBytes) / interval.Seconds(); rate > maxMembershipRate {
		c.reportViolation(RuleMembershipSize, "relay %d sent %.0f bytes a second at rest, more than %d", relay, rate, maxMembershipRate)
	}
	m.sentBytes, m.sentSince = 0, now
}

func isMembership(data []byte) bool {
	return len(data) > 0 && len(data) != overloadNoticeSize && data[0] == membershipMagic
}

// readDatagram reads a membership datagram. ok is false if it is malformed.
func readDatagram(data []byte) (d datagram, ok bool) {
	for rest := data[1:]; len(rest) > 0; {
		tag, after, ok := readVarint(rest)
		if !ok {
			return d, false
		}
		value, after, ok := readVarint(after)
		if !ok {
			return d, false
		}
		switch tag & 7 {
		case wireVarint:
			if tag>>3 == incarnationField {
				d.incarnation = value
			}
		case wireBytes:
			if value > uint64(len(after)) {
				return d, false
			}
			if tag>>3 == updatesField {
				d.updates, ok = readUpdates(after[:value])
			}
			after = after[value:]
		default:
			return d, false
		}
		if !ok {
			return d, false
		}
		rest = after
	}
	return d, true
}

// readUpdates reads the list of updates.
func readUpdates(data []byte) (updates []reportedMember, ok bool) {
	for len(data) > 0 {
		memberAndState, after, ok := readVarint(data)
		if !ok {
			return nil, false
		}
		incarnation, after, ok := readVarint(after)
		if !ok {
			return nil, false
		}
		state := MemberState(memberAndState & (1<<stateBits - 1))
		if state > MemberLeft {
			return nil, false
		}
		updates = append(updates, reportedMember{int(memberAndState >> stateBits), state, incarnation})
		data = after
	}
	return updates, true
}

// readVarint reads a number in groups of seven bits, the lowest first.
func readVarint(data []byte) (value uint64, rest []byte, ok bool) {
	const maxBytes = 10
	for i := range min(len(data), maxBytes) {
		value |= uint64(data[i]&0x7f) << (7 * i)
		if data[i] < 0x80 {
			return value, data[i+1:], true
		}
	}
	return 0, nil, false
}
