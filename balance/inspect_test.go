package balance

import (
	"testing"
)

// The counts by backend, list, group and tenant agree whichever way a connection ends; one left behind in
// a count is reported.
func TestCheckInvariants_CountsAgree(t *testing.T) {
	b, r := newReportingBalancer(t, 5, 1, func(s *Settings) { s.Groups = true })
	openConnections(t, b, r, 20)
	if err := b.CheckInvariants(); err != nil || b.loads.total.connections != 20 {
		t.Fatalf("%d connections: %v", b.loads.total.connections, err)
	}
	for id := uint64(1); id <= 20; id++ {
		b.AttemptEnded(9*sec, AttemptResult{ID: id, Attempt: b.requests[id].attempts - 1, Status: []Status{StatusOK, StatusReset, StatusError, StatusCancelled}[id%4], Closed: true})
		if err := b.CheckInvariants(); err != nil {
			t.Fatalf("after end %d: %v", id, err)
		}
	}
	b.quotas.connections[0]++
	if b.CheckInvariants() == nil {
		t.Error("a connection left in its tenant's count is not reported")
	}
}
