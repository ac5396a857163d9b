package balance

import (
	"testing"
)

// The connections counted in all, by backend, in the backends' lists, by group and by tenant agree whichever way a
// connection ends. A tenant's count that still includes an ended connection is reported.
func TestCheckInvariants_CountsAgree(t *testing.T) {
	balancer, rec := newReportingBalancer(t, 5, 1, func(settings *Settings) { settings.Groups = true })
	openConnections(t, balancer, rec, 20)
	if err := balancer.CheckInvariants(); err != nil || balancer.loads.total.connections != 20 {
		t.Fatalf("%d connections: %v", balancer.loads.total.connections, err)
	}
	for id := uint64(1); id <= 20; id++ {
		balancer.AttemptEnded(9*sec, AttemptResult{ID: id, Attempt: balancer.requests[id].attempts - 1, Status: []Status{StatusOK, StatusReset, StatusError, StatusCancelled}[id%4], Closed: true})
		if err := balancer.CheckInvariants(); err != nil {
			t.Fatalf("after connection %d ended: %v", id, err)
		}
	}
	balancer.quotas.connections[0]++
	if balancer.CheckInvariants() == nil {
		t.Error("a connection left in its tenant's count is not reported")
	}
}
