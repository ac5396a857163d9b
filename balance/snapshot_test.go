package balance

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// restart returns a new process of a relay that has restored the snapshot of another, by way of JSON.
func restart(t *testing.T, s Settings, n int, now time.Duration, m Snapshot) (*Balancer, *recorder) {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var read Snapshot
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	b := New(now, 2, s, r)
	b.EndpointsUpdated(now, UpdateCached, readyBackends(n))
	b.Restore(now, read)
	b.UpdateOtherProcess(now, read)
	r.clear()
	return b, r
}

// A new process starts with what the old one knows: ejections, sticky overrides, and the slow start tokens
// that a cold backend has used.
func TestSnapshot_RestoresBackendsOverridesAndLoads(t *testing.T) {
	s := defaultSettings()
	s.PassThrough = true
	b, r := newTestBalancer(t, s, 6)
	to := mustSend(t, b, r, sec, Request{ID: 1, Key: 11})
	b.AttemptEnded(sec, AttemptResult{ID: 1, Backend: to, Status: StatusError})
	b.sticky.remember(sec, 77, b.endpoints.byID[5])
	mustSend(t, b, r, sec, Request{ID: 2, Key: 12, Class: 1})
	b.LoadReported(sec, 2, SignalConnectionLoad, 40)
	cold := b.endpoints.byID[2]
	cold.ReadyAt, cold.slowStart.refillAt, cold.slowStart.tokens = sec, sec+500*ms, 2
	n, _ := restart(t, s, 6, sec+10*ms, b.Snapshot())
	if got := n.endpoints.byID[to]; got.ejection.until != b.endpoints.byID[to].ejection.until || got.ejection.until <= sec || len(n.outliers.ejected) != 1 {
		t.Errorf("backend %d is ejected until %v, was until %v; %d are ejected", to, got.ejection.until, b.endpoints.byID[to].ejection.until, len(n.outliers.ejected))
	}
	if got := n.endpoints.byID[2]; got.slowStart.tokens != 2 || got.slowStart.refillAt != sec+500*ms {
		t.Errorf("the cold backend has %v tokens until %v", got.slowStart.tokens, got.slowStart.refillAt)
	}
	if d := n.sticky.overrides[77]; d.backend == nil || d.backend.ID != 5 || len(n.sticky.order) != 1 {
		t.Errorf("the sticky override is %+v", d)
	}
	if n.loads.classLoads[1] != b.loads.classLoads[1] || n.loads.classSamples[1] != b.loads.classSamples[1] {
		t.Errorf("a connection of class 1 loads %v, was %v", n.loads.classLoads[1], b.loads.classLoads[1])
	}
}

// While both processes run, T of the old one counts. It migrates clients off a full backend, who come by
// the new one and would be sent right back. An empty snapshot ends it.
func TestSnapshot_OtherProcessCountsAsOwnLoad(t *testing.T) {
	b, r := newTestBalancer(t, defaultSettings(), 2)
	openConnections(t, b, r, 40)
	n, nr := restart(t, defaultSettings(), 2, 2*sec, b.Snapshot())
	full := b.endpoints.byID[1]
	b.lowerLimit(2*sec, full, 0.5)
	n.UpdateOtherProcess(2*sec+100*ms, b.Snapshot())
	for id := uint64(1); id <= 30; id++ {
		if to := mustSend(t, n, nr, 2*sec+200*ms, Request{ID: id, Key: id}); to == 1 {
			t.Fatalf("request %d goes to the backend that the old process migrates its clients off", id)
		}
	}
	n.UpdateOtherProcess(3*sec, Snapshot{})
	if n.endpoints.byID[1].otherProcess != 0 || n.endpoints.byID[2].otherProcess != 0 {
		t.Error("the old process's connections still count though it has ended")
	}
}

// Values that cannot be true are left out of a restored snapshot.
func TestSnapshot_RestoreRejectsImpossibleValues(t *testing.T) {
	now := 100 * sec
	n, _ := restart(t, defaultSettings(), 2, now, Snapshot{Backends: []BackendSnapshot{
		{ID: 1, EjectedUntil: 1 << 60, EjectionTime: 1 << 60, LastOverload: 1 << 60, LastHealthCheck: 1 << 60, SlowStartRefill: -5, ConcurrencyLimit: -1, SlowStartTokens: 1e300, LatencySamples: 1 << 30, TrackedLoad: -7},
		{ID: 99, EjectedUntil: 1 << 60}}, StickyOverrides: []StickyOverride{{1, 99, now}, {2, 1, 1 << 60}}, ClassLoads: []float64{1}, ClassLoadSamples: []float64{1},
		KindLateness: map[int][2]float64{0: {1, -1}, 1: {-1, 1}}, MeanUtilization: 1e9, UtilizationReports: -4, LastBackendLoss: 1 << 60})
	s := n.endpoints.byID[1]
	if s.ejection.until > now+maxEjection || s.ejection.duration > maxEjection || s.concurrency.lastOverload > now || s.health.lastResult > now || s.slowStart.refillAt < 0 || s.concurrency.limit != 0 || s.slowStart.tokens > maxSlowStartTokens ||
		s.latency.samples > minLatencySamples+1 || s.otherProcess != 0 || math.IsInf(s.slowStart.tokens, 0) {
		t.Errorf("%+v", s)
	}
	if len(n.sticky.overrides) != 1 || n.sticky.overrides[2].at > now || len(n.outliers.kinds) != 0 || n.health.meanUtilization > 2 || n.health.reports < 0 || n.endpoints.lastLoss > now {
		t.Errorf("overrides %v, kinds %v, mean utilization %v, %d reports, last loss %v", n.sticky.overrides, n.outliers.kinds, n.health.meanUtilization, n.health.reports, n.endpoints.lastLoss)
	}
}
