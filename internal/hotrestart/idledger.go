package hotrestart

import (
	"maps"
	"slices"
)

// Process is one of the two other processes that a process of a relay may have.
type Process uint8

// The other processes of a relay.
const (
	Predecessor Process = iota
	Successor
)

// IDSender sends messages to the other processes. A process receives them in the order in which they were sent. No call
// may block.
type IDSender interface {
	SendIDMessage(to Process, message IDMessage)
}

// IDLedger is what a process has agreed with the other processes of its relay about request IDs, so that no two open
// requests of the relay have the same ID.
//
// Before a successor accepts connections it asks for the IDs of the predecessor's open requests (Share). From then on
// the successor decides alone: the predecessor, which still has connections without an OPEN line, asks it for each
// further request and forwards none before the answer (Claim). Requests of the successor need no message. A third
// process is the successor of the second, which forwards the claims of the first.
//
// The zero value belongs to a process without other processes. Its methods must not be called concurrently.
type IDLedger struct {
	held      map[uint64]struct{} // open, or claimed, by the predecessor and its own predecessors
	shared    bool                // the successor decides
	claims    map[uint64]idClaim  // without an answer of the successor, by their numbers
	lastClaim uint64
}

// idClaim is a claim that the successor has not answered.
type idClaim struct {
	id            uint64
	session       uint64 // of this process, unless forwarded is set
	forwarded     bool   // made by the predecessor
	originalClaim uint64 // the predecessor's number of a forwarded claim
}

// HeldByPredecessor reports whether a request of the predecessor has the ID.
func (l *IDLedger) HeldByPredecessor(id uint64) bool {
	_, held := l.held[id]
	return held
}

// Shared reports whether the successor decides, so that each new request needs a claim.
func (l *IDLedger) Shared() bool { return l.shared }

// Share sends the successor the IDs of all open requests, those of the predecessor included, and leaves it to the
// successor to decide from now on. open has the IDs of this process in any order.
func (l *IDLedger) Share(to IDSender, open []uint64) {
	all := slices.AppendSeq(slices.Clone(open), maps.Keys(l.held))
	slices.Sort(all)
	for part := range slices.Chunk(all, maxIDsPerMessage) {
		to.SendIDMessage(Successor, IDMessage{Kind: HeldIDs, IDs: part})
	}
	to.SendIDMessage(Successor, IDMessage{Kind: IDsShared})
	l.shared = true
}

// Claim asks the successor whether a session's request may have its ID.
func (l *IDLedger) Claim(to IDSender, session, id uint64) {
	l.addClaim(to, idClaim{id: id, session: session})
}

func (l *IDLedger) addClaim(to IDSender, claim idClaim) {
	if l.claims == nil {
		l.claims = map[uint64]idClaim{}
	}
	l.lastClaim++
	l.claims[l.lastClaim] = claim
	to.SendIDMessage(Successor, IDMessage{Kind: ClaimID, Claim: l.lastClaim, IDs: []uint64{claim.id}})
}

// Release records that a request of this process has ended, granted or not.
func (l *IDLedger) Release(to IDSender, id uint64) {
	if l.shared {
		to.SendIDMessage(Successor, IDMessage{Kind: ReleaseID, IDs: []uint64{id}})
	}
}

// FromPredecessor applies a message of the predecessor. isOpen reports whether a request of this process has an ID.
func (l *IDLedger) FromPredecessor(to IDSender, message IDMessage, isOpen func(id uint64) bool) {
	switch message.Kind {
	case HeldIDs:
		for _, id := range message.IDs {
			l.hold(id)
		}
	case ClaimID:
		l.decide(to, message.Claim, message.IDs[0], isOpen)
	case ReleaseID:
		delete(l.held, message.IDs[0])
		l.Release(to, message.IDs[0])
	}
}

func (l *IDLedger) hold(id uint64) {
	if l.held == nil {
		l.held = map[uint64]struct{}{}
	}
	l.held[id] = struct{}{}
}

// decide answers a claim of the predecessor, or forwards it to the successor.
func (l *IDLedger) decide(to IDSender, number, id uint64, isOpen func(id uint64) bool) {
	if isOpen(id) || l.HeldByPredecessor(id) {
		to.SendIDMessage(Predecessor, IDMessage{Kind: DenyID, Claim: number})
		return
	}
	l.hold(id) // also while the successor decides: no request of this process may take the ID meanwhile
	if l.shared {
		l.addClaim(to, idClaim{id: id, forwarded: true, originalClaim: number})
		return
	}
	to.SendIDMessage(Predecessor, IDMessage{Kind: GrantID, Claim: number})
}

// Decision is the answer to the claim of a session of this process.
type Decision struct {
	Session uint64
	Granted bool
}

// FromSuccessor applies an answer of the successor. ok is false if it decides no claim of this process itself.
func (l *IDLedger) FromSuccessor(to IDSender, message IDMessage) (decision Decision, ok bool) {
	claim, known := l.claims[message.Claim]
	if !known || message.Kind != GrantID && message.Kind != DenyID {
		return Decision{}, false
	}
	delete(l.claims, message.Claim)
	if !claim.forwarded {
		return Decision{Session: claim.session, Granted: message.Kind == GrantID}, true
	}
	if message.Kind == DenyID {
		delete(l.held, claim.id)
	}
	to.SendIDMessage(Predecessor, IDMessage{Kind: message.Kind, Claim: claim.originalClaim})
	return Decision{}, false
}

// PredecessorExited releases the IDs of the predecessor, whose connections have ended with it, and returns them.
func (l *IDLedger) PredecessorExited(to IDSender) (released []uint64) {
	released = slices.Sorted(maps.Keys(l.held))
	for _, id := range released {
		l.Release(to, id)
	}
	l.held = nil
	maps.DeleteFunc(l.claims, func(_ uint64, claim idClaim) bool { return claim.forwarded })
	return released
}

// SuccessorExited makes this process decide again. It grants the claims that have no answer and returns the sessions of
// this process among them, in the order of their claims.
func (l *IDLedger) SuccessorExited(to IDSender) (granted []uint64) {
	for _, number := range slices.Sorted(maps.Keys(l.claims)) {
		if claim := l.claims[number]; claim.forwarded {
			to.SendIDMessage(Predecessor, IDMessage{Kind: GrantID, Claim: claim.originalClaim})
		} else {
			granted = append(granted, claim.session)
		}
	}
	l.shared, l.claims = false, nil
	return granted
}
