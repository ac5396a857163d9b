package balance

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// restart returns the successor process of a relay, which has restored the predecessor's snapshot by way of JSON.
func restart(t *testing.T, settings Settings, n int, now time.Duration, snapshot Snapshot) (*Balancer, *recorder) {
	t.Helper()
	text, err := json.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Snapshot
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	rec := &recorder{}
	balancer := New(now, 2, settings, rec)
	balancer.EndpointsUpdated(now, UpdateCached, readyBackends(n))
	balancer.Restore(now, decoded)
	balancer.UpdatePredecessor(now, decoded)
	rec.clear()
	return balancer, rec
}

// The successor starts with the state of the predecessor: ejections, sticky overrides, the loads of classes, and
// the slow start tokens that are left for a cold backend.
func TestSnapshot_RestoresBackendsOverridesAndLoads(t *testing.T) {
	settings := defaultSettings()
	settings.PassThrough = true
	balancer, rec := newTestBalancer(t, settings, 6)
	to := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 11})
	balancer.AttemptEnded(sec, AttemptResult{ID: 1, Backend: to, Status: StatusError})
	balancer.sticky.store(sec, 77, balancer.endpoints.byID[5])
	mustSend(t, balancer, rec, sec, Request{ID: 2, Key: 12, Class: 1})
	balancer.LoadReported(sec, 2, SignalConnectionLoad, 40)
	cold := balancer.endpoints.byID[2]
	cold.ReadyAt, cold.slowStart.refillAt, cold.slowStart.tokens = sec, sec+500*ms, 2
	successor, _ := restart(t, settings, 6, sec+10*ms, balancer.Snapshot())
	if got := successor.endpoints.byID[to]; got.ejection.until != balancer.endpoints.byID[to].ejection.until || got.ejection.until <= sec || len(successor.outliers.ejected) != 1 {
		t.Errorf("backend %d is ejected until %v, was until %v; %d are ejected", to, got.ejection.until, balancer.endpoints.byID[to].ejection.until, len(successor.outliers.ejected))
	}
	if got := successor.endpoints.byID[2]; got.slowStart.tokens != 2 || got.slowStart.refillAt != sec+500*ms {
		t.Errorf("the cold backend has %v slow start tokens until %v, want 2 until 1.5 s", got.slowStart.tokens, got.slowStart.refillAt)
	}
	if restored := successor.sticky.overrides[77]; restored.backend == nil || restored.backend.ID != 5 || len(successor.sticky.order) != 1 {
		t.Errorf("the sticky override is %+v", restored)
	}
	if successor.loads.classLoads[1] != balancer.loads.classLoads[1] || successor.loads.classSamples[1] != balancer.loads.classSamples[1] {
		t.Errorf("the mean load of class 1 is %v, was %v", successor.loads.classLoads[1], balancer.loads.classLoads[1])
	}
}

// While both processes run, the successor counts the tracked load T of the predecessor. The predecessor migrates
// clients off a full backend; they reconnect through the successor, which would otherwise send them back to it.
// An empty snapshot ends this.
func TestSnapshot_PredecessorCountsAsOwnLoad(t *testing.T) {
	balancer, rec := newTestBalancer(t, defaultSettings(), 2)
	openConnections(t, balancer, rec, 40)
	successor, successorRec := restart(t, defaultSettings(), 2, 2*sec, balancer.Snapshot())
	full := balancer.endpoints.byID[1]
	balancer.lowerLimit(2*sec, full, 0.5)
	successor.UpdatePredecessor(2*sec+100*ms, balancer.Snapshot())
	for id := uint64(1); id <= 30; id++ {
		if to := mustSend(t, successor, successorRec, 2*sec+200*ms, Request{ID: id, Key: id}); to == 1 {
			t.Fatalf("request %d goes to the backend that the predecessor migrates clients off", id)
		}
	}
	successor.UpdatePredecessor(3*sec, Snapshot{})
	if successor.endpoints.byID[1].predecessorLoad != 0 || successor.endpoints.byID[2].predecessorLoad != 0 {
		t.Error("the predecessor's load still counts though it has ended")
	}
}

// Restoring a snapshot leaves out impossible values or bounds them.
func TestSnapshot_RestoreRejectsImpossibleValues(t *testing.T) {
	now := 100 * sec
	successor, _ := restart(t, defaultSettings(), 2, now, Snapshot{Backends: []BackendSnapshot{
		{ID: 1, EjectedUntil: 1 << 60, EjectionTime: 1 << 60, LastOverload: 1 << 60, LastHealthCheck: 1 << 60, SlowStartRefill: -5, ConcurrencyLimit: -1, SlowStartTokens: 1e300, LatencySamples: 1 << 30, TrackedLoad: -7},
		{ID: 99, EjectedUntil: 1 << 60}}, StickyOverrides: []StickyOverride{{1, 99, now}, {2, 1, 1 << 60}}, ClassLoads: []float64{1}, ClassLoadSamples: []float64{1},
		KindLateness: map[int][2]float64{0: {1, -1}, 1: {-1, 1}}, MeanUtilization: 1e9, UtilizationReports: -4, LastBackendLoss: 1 << 60})
	target := successor.endpoints.byID[1]
	if target.ejection.until > now+maxEjection || target.ejection.duration > maxEjection || target.concurrency.lastOverload > now || target.health.lastResultAt > now || target.slowStart.refillAt < 0 || target.concurrency.limit != 0 || target.slowStart.tokens > maxSlowStartTokens ||
		target.latency.samples > minLatencySamples+1 || target.predecessorLoad != 0 || math.IsInf(target.slowStart.tokens, 0) {
		t.Errorf("restored backend: %+v", target)
	}
	if len(successor.sticky.overrides) != 1 || successor.sticky.overrides[2].storedAt > now || len(successor.outliers.kinds) != 0 || successor.health.meanUtilization > 2 || successor.health.reports < 0 || successor.endpoints.lastLoss > now {
		t.Errorf("overrides %v, kinds %v, mean utilization %v, %d reports, last loss %v", successor.sticky.overrides, successor.outliers.kinds, successor.health.meanUtilization, successor.health.reports, successor.endpoints.lastLoss)
	}
}
