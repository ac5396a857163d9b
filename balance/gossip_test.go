package balance

import (
	"testing"
	"time"
)

// The overload notice of another relay causes a health check of the backend, and one late answer is then enough
// to migrate connections.
func TestGossip_OverloadNoticeIsConfirmedByOneLateCheck(t *testing.T) {
	settings := settingsWithoutMessageDelay()
	settings.Gossip = true
	newRelay := func() (*Balancer, *recorder) {
		balancer, rec := newTestBalancer(t, settings, 2)
		for range minLatencySamples + 1 {
			for id := BackendID(1); id <= 2; id++ {
				balancer.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.3}})
			}
		}
		openConnections(t, balancer, rec, 12)
		rec.clear()
		return balancer, rec
	}
	balancer, rec := newRelay()
	for i := range 3 {
		balancer.HealthCheckDone(4*sec+time.Duration(i)*ms, HealthCheckResult{Backend: 1, Latency: 2 * ms, Load: []float32{0.3}})
	}
	if n := len(rec.take(actionGossip)); n != 1 {
		t.Fatalf("%d messages to other relays, want 1", n)
	}
	other, otherRec := newRelay()
	for _, invalid := range [][]byte{nil, {1}, make([]byte, 8), make([]byte, 256)} {
		other.GossipReceived(4*sec, 1, invalid)
	}
	if n := len(otherRec.take(actionMigrate)); n != 0 {
		t.Errorf("an invalid message migrates %d connections", n)
	}
	other.GossipReceived(4*sec, 1, encodeOverloadNotice(balancer.endpoints.byID[1]))
	if n := len(otherRec.take(actionMigrate)); n != 0 || !other.endpoints.byID[1].health.checkPending {
		t.Errorf("the notice alone migrates %d connections; health check pending: %v", n, other.endpoints.byID[1].health.checkPending)
	}
	other.HealthCheckDone(4*sec+2*ms, HealthCheckResult{Backend: 1, Latency: 2 * ms, Load: []float32{0.3}})
	if n := len(otherRec.take(actionMigrate)); n == 0 {
		t.Error("the other relay migrates no connection after a late answer")
	}
	third, thirdRec := newRelay()
	third.GossipReceived(4*sec, 1, encodeOverloadNotice(balancer.endpoints.byID[1]))
	third.HealthCheckDone(4*sec+ms, HealthCheckResult{Backend: 1, Latency: ms, Load: []float32{0.3}})
	if n := len(thirdRec.take(actionMigrate)); n != 0 {
		t.Errorf("a wrong notice of one relay migrates %d connections at another", n)
	}
}
