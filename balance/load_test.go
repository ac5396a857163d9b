package balance

import (
	"testing"
)

// The first reported loads change the unit of T a thousandfold. Limits set before are in the old unit:
// nothing is to be migrated for that.
func TestLoad_LimitsFollowUnitOfTrackedLoad(t *testing.T) {
	b, r := newTestBalancer(t, settingsWithoutMessageDelay(), 1)
	connectAfterReport(b, 10, 0.1)
	b.runMaintenance(sec)
	b.endpoints.byID[1].concurrency.limit = 12 * b.loads.meanConnection()
	r.clear()
	for i, load := range []float64{50000, 20000, 80000} {
		b.LoadReported(2*sec, uint64(i+1), SignalConnectionLoad, load)
		b.HealthCheckDone(2*sec, HealthCheckResult{Backend: 1, Latency: ms, Load: []float32{0.4}})
	}
	if n := len(r.take(actionMigrate)); n != 0 {
		t.Errorf("%d migrations", n)
	}
	s := b.endpoints.byID[1]
	if least := b.loads.sum(&s.loadSums); s.concurrency.limit < least || s.concurrency.limit > 20*least {
		t.Errorf("limit %v where T is %v", s.concurrency.limit, least)
	}
	t0 := b.loads.sum(&s.loadSums)
	was := s.concurrency.limit
	b.LoadReported(3*sec, 1, SignalConnectionLoad, 250000) // a change of its own load is one of T
	if grew := b.loads.sum(&s.loadSums) / t0; grew < 1.2 || s.concurrency.limit > was*grew*0.95 {
		t.Errorf("T grew %v times, the limit %v times", grew, s.concurrency.limit/was)
	}
}
