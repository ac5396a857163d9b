package balance

import (
	"testing"
)

// The first reported loads change the unit of the tracked load T, and its value a thousandfold. Limits in the old
// unit are rescaled: left as they are, they would cause migrations.
func TestLoad_LimitsFollowUnitOfTrackedLoad(t *testing.T) {
	balancer, rec := newTestBalancer(t, settingsWithoutMessageDelay(), 1)
	connectAfterReport(balancer, 10, 0.1)
	balancer.runMaintenance(sec)
	balancer.endpoints.byID[1].concurrency.limit = 12 * balancer.loads.meanConnection()
	rec.clear()
	for i, load := range []float64{50000, 20000, 80000} {
		balancer.LoadReported(2*sec, uint64(i+1), SignalConnectionLoad, load)
		balancer.HealthCheckDone(2*sec, HealthCheckResult{Backend: 1, Latency: ms, Load: []float32{0.4}})
	}
	if n := len(rec.take(actionMigrate)); n != 0 {
		t.Errorf("%d migrations", n)
	}
	target := balancer.endpoints.byID[1]
	if least := balancer.loads.trackedLoad(&target.loadSums); target.concurrency.limit < least || target.concurrency.limit > 20*least {
		t.Errorf("limit %v with T at %v", target.concurrency.limit, least)
	}
	loadBefore := balancer.loads.trackedLoad(&target.loadSums)
	limitBefore := target.concurrency.limit
	balancer.LoadReported(3*sec, 1, SignalConnectionLoad, 250000) // the connection's own load changes, and not the unit of T
	if growth := balancer.loads.trackedLoad(&target.loadSums) / loadBefore; growth < 1.2 || target.concurrency.limit > limitBefore*growth*0.95 {
		t.Errorf("T grew by a factor of %v, the limit by one of %v", growth, target.concurrency.limit/limitBefore)
	}
}
