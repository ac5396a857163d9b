package hotrestart

import (
	"errors"
	"slices"
	"testing"
)

// idProcess is one of several processes of a relay whose messages arrive when the test delivers them.
type idProcess struct {
	IDLedger
	open                   map[uint64]bool // IDs of the requests that this process serves
	predecessor, successor *idProcess
	inbox                  []func()
	decisions              []Decision
}

func (p *idProcess) SendIDMessage(to Process, message IDMessage) {
	message, err := ParseIDMessage(message.Encode())
	if err != nil {
		panic(err)
	}
	if other := p.successor; to == Successor && other != nil {
		other.inbox = append(other.inbox, func() {
			other.FromPredecessor(other, message, func(id uint64) bool { return other.open[id] })
		})
	}
	if other := p.predecessor; to == Predecessor && other != nil {
		other.inbox = append(other.inbox, func() {
			if decision, ok := other.FromSuccessor(other, message); ok {
				other.decisions = append(other.decisions, decision)
			}
		})
	}
}

// deliver delivers all messages, those that they cause included.
func deliver(processes ...*idProcess) {
	for delivered := true; delivered; {
		delivered = false
		for _, p := range processes {
			for len(p.inbox) > 0 {
				next := p.inbox[0]
				p.inbox, delivered = p.inbox[1:], true
				next()
			}
		}
	}
}

// newIDProcesses returns three processes of one relay, each the successor of the one before it.
func newIDProcesses() (first, second, third *idProcess) {
	first, second, third = &idProcess{open: map[uint64]bool{}}, &idProcess{open: map[uint64]bool{}}, &idProcess{open: map[uint64]bool{}}
	first.successor, second.predecessor = second, first
	second.successor, third.predecessor = third, second
	return first, second, third
}

// Guards against an ID that two processes grant: the newest of three processes decides for all.
func TestIDLedger_NewestProcessDecides(t *testing.T) {
	first, second, third := newIDProcesses()
	first.open[1] = true
	first.Share(first, []uint64{1})
	deliver(first, second)
	if !second.HeldByPredecessor(1) || len(second.held) != 1 {
		t.Fatalf("the second process knows %d IDs of the first, want ID 1", len(second.held))
	}
	second.open[2] = true
	second.Share(second, []uint64{2})
	third.open[3] = true
	first.Claim(first, 10, 3)
	first.Claim(first, 11, 4)
	second.Claim(second, 20, 4)
	second.Claim(second, 21, 5)
	deliver(first, second, third)
	if !slices.Equal(first.decisions, []Decision{{10, false}, {11, false}}) || !slices.Equal(second.decisions, []Decision{{20, true}, {21, true}}) {
		t.Errorf("decisions: first %v, second %v", first.decisions, second.decisions)
	}
	for _, id := range []uint64{1, 2, 4, 5} {
		if !third.HeldByPredecessor(id) {
			t.Errorf("the third process does not know ID %d", id)
		}
	}
	second.PredecessorExited(second)
	second.Release(second, 2)
	deliver(first, second, third)
	if third.HeldByPredecessor(1) || third.HeldByPredecessor(2) || len(third.held) != 2 {
		t.Errorf("the third process holds %d IDs after the end of requests 1 and 2, want 4 and 5", len(third.held))
	}
}

// Guards against a claim that waits for a process that has exited.
func TestIDLedger_ClaimsAreGrantedOnceSuccessorHasExited(t *testing.T) {
	first, second, third := newIDProcesses()
	first.Share(first, nil)
	second.Share(second, nil)
	first.Claim(first, 10, 4)
	deliver(first, second) // the second process forwards the claim to the third, which does not answer
	second.Claim(second, 20, 5)
	if granted := second.SuccessorExited(second); !slices.Equal(granted, []uint64{20}) || second.Shared() {
		t.Errorf("sessions %v granted, shared %v; want session 20, false", granted, second.Shared())
	}
	deliver(first)
	if !slices.Equal(first.decisions, []Decision{{10, true}}) || !second.HeldByPredecessor(4) {
		t.Errorf("decisions of the first process: %v", first.decisions)
	}
	first.Claim(first, 11, 4)
	deliver(first, second, third)
	if last := first.decisions[len(first.decisions)-1]; last != (Decision{11, false}) {
		t.Errorf("decision %v on an ID that is held, want a denial", last)
	}
}

// Guards against one message that is too long for a line.
func TestIDLedger_SharesAnyNumberOfIDs(t *testing.T) {
	first, second, _ := newIDProcesses()
	var open []uint64
	for id := range uint64(10*maxIDsPerMessage + 1) {
		open = append(open, id)
	}
	first.Share(first, open)
	deliver(first, second)
	if len(second.held) != len(open) {
		t.Errorf("%d IDs shared, want %d", len(second.held), len(open))
	}
}

func TestParseIDMessage_RejectsMalformedLines(t *testing.T) {
	for _, line := range []string{"", "IDS", "IDS ", "IDS FROB", "IDS CLAIM", "IDS CLAIM 1", "IDS CLAIM 1 2 3", "IDS GRANT", "IDS GRANT 1 2", "IDS SHARE 1",
		"IDS RELEASE", "IDS RELEASE 1 2", "IDS HELD x", "IDS HELD 10000000000000000", "IDS HELD  1", "ids SHARE"} {
		if message, err := ParseIDMessage(line); !errors.Is(err, ErrIDMessage) {
			t.Errorf("%q is parsed as %+v, error %v", line, message, err)
		}
	}
}

// Processes of different versions exchange the encoded messages, so their form must not change unnoticed.
func TestIDMessage_Encode(t *testing.T) {
	for _, tc := range []struct {
		message IDMessage
		want    string
	}{
		{IDMessage{Kind: ShareIDs}, "IDS SHARE"},
		{IDMessage{Kind: HeldIDs, IDs: []uint64{1, 0x9b1f03aa5c7e2d41}}, "IDS HELD 1 9b1f03aa5c7e2d41"},
		{IDMessage{Kind: IDsShared}, "IDS SHARED"},
		{IDMessage{Kind: ClaimID, Claim: 16, IDs: []uint64{255}}, "IDS CLAIM 10 ff"},
		{IDMessage{Kind: GrantID, Claim: 16}, "IDS GRANT 10"},
		{IDMessage{Kind: DenyID, Claim: 16}, "IDS DENY 10"},
		{IDMessage{Kind: ReleaseID, IDs: []uint64{255}}, "IDS RELEASE ff"},
	} {
		if got := tc.message.Encode(); got != tc.want {
			t.Errorf("got %q, want %q", got, tc.want)
		}
	}
}
