package membership

import (
	"math/rand/v2"
	"time"
)

// State is the state of a member in this relay's view.
type State uint8

// The states, by their values on the wire. Of two updates with the same incarnation, the one with the later state wins.
const (
	Joining State = iota // in the list of peers; no datagram from it and no update about it received yet
	Alive
	Suspect // a probe failed; the member is marked dead unless it refutes the suspicion in time
	Dead
	Left // the member announced that it leaves
)

// String returns the state's name as the admin endpoint and logs show it.
func (s State) String() string {
	return [...]string{"joining", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

const (
	// noMember is returned in place of a member's index where no member qualifies.
	noMember = -1

	// maxIncarnationJump is how far one update may raise an incarnation: 50 days of milliseconds. Without a bound, one
	// corrupt update could raise an incarnation so far that the member itself could never exceed it.
	maxIncarnationJump = 1 << 32

	// maxClockIncarnation is always plausible, since incarnations start at a process's start time: Unix time in
	// milliseconds, up to the year 2109.
	maxClockIncarnation = 1 << 42

	// duplicateNamePeriods is for how many protocol periods two processes under one name are reported after their datagrams
	// last alternated.
	duplicateNamePeriods = 10
)

// Member is this relay's view of one member, for display.
type Member struct {
	Index         int           `json:"number"`         // position in the list of peers
	Name          string        `json:"name,omitempty"` // name from the member's own datagrams; empty: none was received
	State         string        `json:"state"`
	Incarnation   uint64        `json:"incarnation"`
	Since         time.Duration `json:"since_ns"`                // how long the member has been in this state
	ReportedBy    int           `json:"by"`                      // index of the member whose report set the state; may be its own
	RoundTrip     time.Duration `json:"round_trip_ns,omitempty"` // last round trip measured; 0: none
	Health        int           `json:"health"`                  // local health score that the member reports; 0 is best, 8 worst
	DuplicateName bool          `json:"twice,omitempty"`         // two processes send datagrams as this member
}

// memberRecord is the mutable state of one member.
type memberRecord struct {
	state            State
	incarnation      uint64
	since            time.Duration // when it entered this state
	lastHeard        time.Duration // when the last datagram from the member itself arrived; 0: never
	reportedBy       int
	name             string
	startMillis      uint64        // start of its process, Unix time in milliseconds
	otherStartMillis uint64        // start of another process that sends under the same index, in the same unit; 0: none
	lastAlternation  time.Duration // when datagrams of the two last alternated
	roundTrip        time.Duration
	health           int
}

// active reports whether the member counts as running: a suspect does until it is marked dead.
func (r *memberRecord) active() bool { return r.state == Alive || r.state == Suspect }

// setState records a change of state.
func (r *memberRecord) setState(state State, incarnation uint64, now time.Duration, reportedBy int) {
	r.state, r.incarnation, r.since, r.reportedBy = state, incarnation, now, reportedBy
}

// implausible reports whether an incarnation is higher than any process can have reached.
func (r *memberRecord) implausible(incarnation uint64) bool {
	return incarnation > max(r.incarnation+maxIncarnationJump, maxClockIncarnation)
}

// observeStart records the start time of the process that sent a datagram, and when that last changed. If datagrams of two
// processes alternate, both are running; after an ordinary restart only the new process sends.
func (r *memberRecord) observeStart(startMillis uint64, now, retention time.Duration) {
	if r.startMillis != 0 && startMillis != r.startMillis {
		if startMillis == r.otherStartMillis && now-r.lastAlternation < retention {
			r.lastAlternation = now
		} else {
			r.otherStartMillis, r.lastAlternation = r.startMillis, now
		}
	}
	r.startMillis = startMillis
}

// memberTable holds the records of all members, by their index in the list of peers.
type memberTable struct {
	records []memberRecord
	local   int // index of this relay
}

// newMemberTable returns a table in which this relay is alive and all other members are joining.
func newMemberTable(size int, local LocalNode, now time.Duration) memberTable {
	t := memberTable{records: make([]memberRecord, size), local: local.Index}
	self := t.self()
	self.setState(Alive, max(local.StartMillis, local.PreviousIncarnation+1), now, local.Index)
	self.name, self.startMillis = local.Name, local.StartMillis
	return t
}

// self returns the record of this relay.
func (t *memberTable) self() *memberRecord { return &t.records[t.local] }

// update returns the update that carries a member's current state.
func (t *memberTable) update(i int) memberUpdate {
	r := &t.records[i]
	return memberUpdate{i, r.state, r.incarnation}
}

// random returns a random eligible member other than this relay, or noMember. It draws a starting index and searches from
// there, so that each call makes exactly one draw.
func (t *memberTable) random(rng *rand.Rand, eligible func(i int) bool) int {
	n := len(t.records)
	start := rng.IntN(n)
	for k := range n {
		if i := (start + k) % n; i != t.local && eligible(i) {
			return i
		}
	}
	return noMember
}

// randomActive returns a random active member other than this relay, or noMember.
func (t *memberTable) randomActive(rng *rand.Rand) int {
	return t.random(rng, func(i int) bool { return t.records[i].active() })
}

// activeExcept counts the active members other than this relay and the given one.
func (t *memberTable) activeExcept(except int) (n int) {
	for i := range t.records {
		if i != except && i != t.local && t.records[i].active() {
			n++
		}
	}
	return n
}

// activeCount implements Memberlist.ActiveCount.
func (t *memberTable) activeCount() int {
	active, left := 0, 0
	for i := range t.records {
		switch {
		case t.records[i].active():
			active++
		case t.records[i].state == Left:
			left++
		}
	}
	if present := len(t.records) - left; 2*active <= present {
		return present
	}
	return active
}

// snapshot returns the table for display.
func (t *memberTable) snapshot(now, duplicateRetention time.Duration) []Member {
	out := make([]Member, len(t.records))
	for i := range t.records {
		r := &t.records[i]
		out[i] = Member{
			Index:         i,
			Name:          r.name,
			State:         r.state.String(),
			Incarnation:   r.incarnation,
			Since:         now - r.since,
			ReportedBy:    r.reportedBy,
			RoundTrip:     r.roundTrip,
			Health:        r.health,
			DuplicateName: r.otherStartMillis != 0 && now-r.lastAlternation < duplicateRetention && r.state != Left,
		}
	}
	return out
}

// ActiveCount returns how many relays are running, this one included; callers divide limits among them by it. When in
// doubt it overestimates: while no more than half of the members that have not left are active, the others may be running
// on the other side of a network partition, so all members that have not left are counted.
func (m *Memberlist) ActiveCount() int { return m.members.activeCount() }

// IsActive reports whether a member is alive or suspect. It is false for indexes outside the list of peers.
func (m *Memberlist) IsActive(i int) bool {
	return i >= 0 && i < len(m.members.records) && m.members.records[i].active()
}

// State returns the state of the member with the given index.
func (m *Memberlist) State(i int) State { return m.members.records[i].state }

// Incarnation returns this relay's own incarnation, which a hot restart hands over to the successor.
func (m *Memberlist) Incarnation() uint64 { return m.members.self().incarnation }

// Members returns this relay's view of all members, by their index in the list of peers.
func (m *Memberlist) Members(now time.Duration) []Member {
	out := m.members.snapshot(now, m.duplicateRetention())
	out[m.local.Index].Health = m.health.score
	return out
}

// duplicateRetention returns for how long two processes under one name are reported after their datagrams last alternated.
func (m *Memberlist) duplicateRetention() time.Duration {
	return duplicateNamePeriods * m.settings.ProtocolPeriod
}
