package simulation

import (
	"slices"
	"time"

	"aspenbarrow/internal/membership"
)

// The mutations of membership. They are defects of the relay's driver: datagrams are dropped or rewritten between the protocol
// and the network, and the clock steps.
const (
	MutationMembershipNoRefutation      Mutation = "member-mute"             // a relay does not hear what others report of it
	MutationMembershipIncarnationKept   Mutation = "member-same-incarnation" // a refutation does not raise the incarnation
	MutationMembershipNoDeath           Mutation = "member-no-death"         // old datagrams of suspected relays arrive again
	MutationMembershipWrongTarget       Mutation = "member-wrong-target"     // indirect probes go to the relay that asks
	MutationMembershipStallUnnoticed    Mutation = "member-stall"            // a paused process takes its timers as on time
	MutationMembershipSilentLeave       Mutation = "member-silent-leave"     // a leave is not announced
	MutationMembershipDeadNotPinged     Mutation = "member-no-return"        // no datagrams are sent to relays held dead
	MutationMembershipReturnIgnored     Mutation = "member-left-for-good"    // datagrams of relays that have left are dropped
	MutationMembershipLargeDatagrams    Mutation = "member-padding"          // datagrams have 300 bytes
	MutationMembershipRepeatedDatagrams Mutation = "member-chatter"          // each datagram is sent eight times
)

const (
	paddedDatagramSize = 300 // bytes, more than the checker allows
	chatterCopies      = 8
	stalledTimerStep   = 100 * time.Millisecond
)

// mutateSentDatagram returns what a relay sends in place of a datagram to another relay.
func (r *relay) mutateSentDatagram(to string, data []byte) (sent [][]byte) {
	sent = [][]byte{data}
	if !r.run.membership || r.run.options.Mutation == NoMutation || !membership.IsMessage(data) {
		return sent
	}
	switch r.run.options.Mutation {
	case MutationMembershipIncarnationKept:
		return [][]byte{r.keepIncarnation(data)}
	case MutationMembershipSilentLeave:
		if r.shuttingDown {
			return nil
		}
	case MutationMembershipDeadNotPinged:
		for i, state := range r.heldStates {
			if state == membership.Dead && gossipAddress(i).String() == to {
				return nil
			}
		}
	case MutationMembershipLargeDatagrams:
		d := parseDatagram(data)
		d.fields = append(d.fields, wireField{number: paddingField, bytes: make([]byte, paddedDatagramSize)})
		return [][]byte{d.encode()}
	case MutationMembershipRepeatedDatagrams:
		return slices.Repeat(sent, chatterCopies)
	}
	return sent
}

// keepIncarnation returns a datagram with the first incarnation that the process has sent.
func (r *relay) keepIncarnation(data []byte) []byte {
	d := parseDatagram(data)
	own := d.field(incarnationField)
	if r.firstIncarnation == 0 {
		r.firstIncarnation = own.varint
	}
	own.varint = r.firstIncarnation
	d.rewriteUpdates(func(member int, incarnation uint64) (uint64, bool) {
		if member == r.number {
			return r.firstIncarnation, true
		}
		return incarnation, true
	})
	return d.encode()
}

// mutateReceivedDatagram returns what a relay receives in place of another's datagram; nil: nothing.
func (r *relay) mutateReceivedDatagram(from int, data []byte) []byte {
	if !r.run.membership || r.run.options.Mutation == NoMutation || !membership.IsMessage(data) {
		return data
	}
	d := parseDatagram(data)
	switch r.run.options.Mutation {
	case MutationMembershipNoRefutation:
		d.rewriteUpdates(func(member int, incarnation uint64) (uint64, bool) { return incarnation, member != r.number })
		return d.encode()
	case MutationMembershipWrongTarget:
		if d.kind() == pingReqKind {
			d.field(targetField).varint = uint64(from) + 1
		}
		return d.encode()
	case MutationMembershipReturnIgnored:
		if r.heldStates[from] == membership.Left {
			return nil
		}
	case MutationMembershipNoDeath:
		if r.oldDatagrams == nil {
			r.oldDatagrams = make([][]byte, len(r.cfg.Peers))
		}
		d.rewriteUpdates(func(int, uint64) (uint64, bool) { return 0, false })
		d.field(kindField).varint = gossipKind
		r.oldDatagrams[from] = d.encode()
	}
	return data
}

// replayDatagrams has the last datagrams of the relays that this one suspects arrive again.
func (r *relay) replayDatagrams() {
	for i, state := range r.heldStates {
		if state == membership.Suspect && r.oldDatagrams != nil && r.oldDatagrams[i] != nil {
			r.controller.DatagramReceived(r.engine.now, gossipAddress(i), r.oldDatagrams[i])
		}
	}
}

// catchUpTimers fires the timers of a pause one after the other, each with the time at which it was due.
func (r *relay) catchUpTimers() {
	for at := r.pausedAt + stalledTimerStep; at < r.engine.now; at += stalledTimerStep {
		r.controller.FireTimers(at)
		r.observeMembers()
	}
}
