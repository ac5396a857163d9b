package balance

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"
)

// heir is a relay that has taken over what another remembers, by way of its text.
func heir(t *testing.T, s Settings, n int, now time.Duration, m Snapshot) (*Balancer, *recorder) {
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
	b.EndpointsUpdated(now, UpdateCached, fleet(n))
	b.Restore(now, read)
	b.UpdateOtherProcess(now, read)
	r.clear()
	return b, r
}

// A new version starts with what the old one knows: who is suspended, where flows were sent that did not go home,
// and how much a cold server has had of this relay.
func TestANextProcessRemembers(t *testing.T) {
	s := settings()
	s.PassThrough = true
	b, r := start(t, s, 6)
	to := sent(t, b, r, sec, Request{ID: 1, Key: 11})
	b.AttemptEnded(sec, AttemptResult{ID: 1, Backend: to, Status: StatusError})
	b.sticky.remember(sec, 77, b.endpoints.byID[5])
	sent(t, b, r, sec, Request{ID: 2, Key: 12, Class: 1})
	b.LoadReported(sec, 2, SignalConnectionLoad, 40)
	cold := b.endpoints.byID[2]
	cold.ReadyAt, cold.slowStart.refillAt, cold.slowStart.tokens = sec, sec+500*ms, 2
	n, _ := heir(t, s, 6, sec+10*ms, b.Snapshot())
	if got := n.endpoints.byID[to]; got.ejection.until != b.endpoints.byID[to].ejection.until || got.ejection.until <= sec || len(n.outliers.ejected) != 1 {
		t.Errorf("server %d is suspended until %v, was until %v; %d are out", to, got.ejection.until, b.endpoints.byID[to].ejection.until, len(n.outliers.ejected))
	}
	if got := n.endpoints.byID[2]; got.slowStart.tokens != 2 || got.slowStart.refillAt != sec+500*ms {
		t.Errorf("the cold server may get %v more until %v", got.slowStart.tokens, got.slowStart.refillAt)
	}
	if d := n.sticky.overrides[77]; d.backend == nil || d.backend.ID != 5 || len(n.sticky.order) != 1 {
		t.Errorf("the diverted flow goes to %+v", d)
	}
	if n.loads.classLoads[1] != b.loads.classLoads[1] || n.loads.classSamples[1] != b.loads.classSamples[1] {
		t.Errorf("a connection of class 1 loads %v, was %v", n.loads.classLoads[1], b.loads.classLoads[1])
	}
}

// While both run, T at the old one counts: it moves clients off a full server, who come by the new one and were sent
// right back, since that had seen nothing of it. An empty report ends it.
func TestWhatTheOldProcessHoldsCountsWithTheNew(t *testing.T) {
	b, r := start(t, settings(), 2)
	opened(t, b, r, 40)
	n, nr := heir(t, settings(), 2, 2*sec, b.Snapshot())
	full := b.endpoints.byID[1]
	b.lowerLimit(2*sec, full, 0.5)
	n.UpdateOtherProcess(2*sec+100*ms, b.Snapshot())
	for id := uint64(1); id <= 30; id++ {
		if to := sent(t, n, nr, 2*sec+200*ms, Request{ID: id, Key: id}); to == 1 {
			t.Fatalf("request %d goes to the server that the old process moves its clients off", id)
		}
	}
	n.UpdateOtherProcess(3*sec, Snapshot{})
	if n.endpoints.byID[1].otherProcess != 0 || n.endpoints.byID[2].otherProcess != 0 {
		t.Error("the old process's connections still count though it has ended")
	}
}

// Packets of a diverted connection find its server after its class has another number, by a reload or in a next process.
func TestADiversionOutlastsItsClassesNumber(t *testing.T) {
	s := settings()
	s.PassThrough, s.Classes[0].NameHash = true, 0xc0ffee
	b, r := start(t, s, 6)
	home := sent(t, b, r, sec, Request{ID: 1, Key: 5})
	other := b.endpoints.byID[home%6+1]
	b.sticky.remember(sec, b.requests[1].flowKey, other)
	changed := s
	changed.Classes = append(slices.Clone(s.Classes), Class{LatencyObjective: 400 * ms, ClientTimeout: sec, Idempotency: NonIdempotent, NameHash: 0xc0ffee})
	b.UpdateSettings(changed)
	if to := sent(t, b, r, sec, Request{ID: 2, Key: 5, Class: 5, MidStream: true}); to != other.ID {
		t.Errorf("after a reload they go to %d, not to %d", to, other.ID)
	}
	changed.Classes = []Class{s.Classes[1], s.Classes[0]}
	n, nr := heir(t, changed, 6, sec, b.Snapshot())
	if to := sent(t, n, nr, sec, Request{ID: 3, Key: 5, Class: 1, MidStream: true}); to != other.ID {
		t.Errorf("in a next process they go to %d, not to %d", to, other.ID)
	}
}

func TestAMemoryThatCannotBeTrueIsNotBelieved(t *testing.T) {
	now := 100 * sec
	n, _ := heir(t, settings(), 2, now, Snapshot{Backends: []BackendSnapshot{
		{ID: 1, EjectedUntil: 1 << 60, EjectionTime: 1 << 60, LastOverload: 1 << 60, LastHealthCheck: 1 << 60, SlowStartRefill: -5, ConcurrencyLimit: -1, SlowStartTokens: 1e300, LatencySamples: 1 << 30, TrackedLoad: -7},
		{ID: 99, EjectedUntil: 1 << 60}}, StickyOverrides: []StickyOverride{{1, 99, now}, {2, 1, 1 << 60}}, ClassLoads: []float64{1}, ClassLoadSamples: []float64{1},
		KindLateness: map[int][2]float64{0: {1, -1}, 1: {-1, 1}}, MeanUtilization: 1e9, UtilizationReports: -4, LastBackendLoss: 1 << 60})
	s := n.endpoints.byID[1]
	if s.ejection.until > now+maxEjection || s.ejection.duration > maxEjection || s.concurrency.lastOverload > now || s.health.lastResult > now || s.slowStart.refillAt < 0 || s.concurrency.limit != 0 || s.slowStart.tokens > maxSlowStartTokens ||
		s.latency.samples > minLatencySamples+1 || s.otherProcess != 0 || math.IsInf(s.slowStart.tokens, 0) {
		t.Errorf("%+v", s)
	}
	if len(n.sticky.overrides) != 1 || n.sticky.overrides[2].at > now || len(n.outliers.kinds) != 0 || n.health.meanUtilization > 2 || n.health.reports < 0 || n.endpoints.lastLoss > now {
		t.Errorf("diverted %v, kinds %v, crowd %v, %d tells, lost %v", n.sticky.overrides, n.outliers.kinds, n.health.meanUtilization, n.health.reports, n.endpoints.lastLoss)
	}
}

// Packets of a connection that a full or suspended server holds go there: anywhere else they would be reset.
func TestPacketsFollowTheirConnectionToAFullServer(t *testing.T) {
	s := settings()
	s.PassThrough = true
	b, r := start(t, s, 6)
	home := sent(t, b, r, sec, Request{ID: 1, Key: 5})
	b.endpoints.byID[home].concurrency.limit, b.endpoints.byID[home].concurrency.lastOverload = 0.5, sec
	b.endpoints.byID[home].ejection.until = 10 * sec
	if to := sent(t, b, r, sec, Request{ID: 2, Key: 5, MidStream: true}); to != home {
		t.Errorf("they go to %d, not to %d that holds it", to, home)
	}
	if to := sent(t, b, r, sec, Request{ID: 3, Key: 5}); to == home {
		t.Error("a new connection goes to a suspended server")
	}
}
