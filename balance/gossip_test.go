package balance

import (
	"testing"
	"time"
)

// The overload notice of another relay has a backend checked, and one late answer is then enough to migrate
// connections.
func TestGossip_OverloadNoticeIsConfirmedByOneLateCheck(t *testing.T) {
	s := settingsWithoutMessageDelay()
	s.Gossip = true
	relay := func() (*Balancer, *recorder) {
		b, r := newTestBalancer(t, s, 2)
		for range minLatencySamples + 1 {
			for id := BackendID(1); id <= 2; id++ {
				b.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.3}})
			}
		}
		openConnections(t, b, r, 12)
		r.clear()
		return b, r
	}
	b, r := relay()
	for i := range 3 {
		b.HealthCheckDone(4*sec+time.Duration(i)*ms, HealthCheckResult{Backend: 1, Latency: 2 * ms, Load: []float32{0.3}})
	}
	if n := len(r.take(actionGossip)); n != 1 {
		t.Fatalf("%d messages to the other relays", n)
	}
	other, seen := relay()
	for _, junk := range [][]byte{nil, {1}, make([]byte, 8), make([]byte, 256)} {
		other.GossipReceived(4*sec, 1, junk)
	}
	if n := len(seen.take(actionMigrate)); n != 0 {
		t.Errorf("%d migrated by an invalid message", n)
	}
	other.GossipReceived(4*sec, 1, encodeOverloadNotice(b.endpoints.byID[1]))
	if n := len(seen.take(actionMigrate)); n != 0 || !other.endpoints.byID[1].health.checkPending {
		t.Errorf("by the notice alone %d connections are migrated; health check pending: %v", n, other.endpoints.byID[1].health.checkPending)
	}
	other.HealthCheckDone(4*sec+2*ms, HealthCheckResult{Backend: 1, Latency: 2 * ms, Load: []float32{0.3}})
	if n := len(seen.take(actionMigrate)); n == 0 {
		t.Error("the other relay migrates nothing")
	}
	third, calm := relay()
	third.GossipReceived(4*sec, 1, encodeOverloadNotice(b.endpoints.byID[1]))
	third.HealthCheckDone(4*sec+ms, HealthCheckResult{Backend: 1, Latency: ms, Load: []float32{0.3}})
	if n := len(calm.take(actionMigrate)); n != 0 {
		t.Errorf("the mistake of one relay migrates %d connections at another", n)
	}
}
