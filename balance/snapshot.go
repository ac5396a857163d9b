package balance

import (
	"math"
	"time"
)

const (
	// maxSnapshotOverrides bounds the sticky overrides in a snapshot; the newest are kept.
	maxSnapshotOverrides = 1 << 12

	// maxSnapshotLatency bounds the latency baseline restored from a snapshot.
	maxSnapshotLatency = time.Minute
)

// Snapshot is the state that a process passes to its successor in a hot restart. It keeps the successor from
// sending requests to ejected backends, from using the slow start tokens of a cold backend a second time, and from
// placing known flows elsewhere. Times are on the clock of the relay.
type Snapshot struct {
	Backends           []BackendSnapshot  `json:"Servers"`
	StickyOverrides    []StickyOverride   `json:"Diverted"`
	ClassLoads         []float64          `json:"Usual"` // mean load of a connection by class; last: of all classes
	ClassLoadSamples   []float64          `json:"Seen"`  // number of reports behind ClassLoads
	KindLateness       map[int][2]float64 `json:"Kinds"` // by Backend.Kind: reports of late messages, seconds with connections
	MeanUtilization    float64            `json:"Crowd"`
	UtilizationReports int                `json:"Tells"`
	LastBackendLoss    time.Duration      `json:"Lost"`
}

// BackendSnapshot is the state of one backend in a Snapshot.
type BackendSnapshot struct {
	ID               BackendID     `json:"ID"`
	EjectedUntil     time.Duration `json:"Until"`
	EjectionTime     time.Duration `json:"Bench"` // length of the last ejection
	LastOverload     time.Duration `json:"Hot"`
	LastHealthCheck  time.Duration `json:"Heard"`
	SlowStartRefill  time.Duration `json:"Filled"` // end of the current slow start window
	ConcurrencyLimit float64       `json:"Limit"`  // in the unit of TrackedLoad; 0: none
	SlowStartTokens  float64       `json:"Budget"` // requests that may still be sent in the window
	Utilization      float64       `json:"Full"`   // last reported load over capacity
	TrackedLoad      float64       `json:"Held"`   // T in the process that made the snapshot
	LatencyBaseline  time.Duration `json:"Pace"`   // usual latency of a health check
	LatencySamples   int           `json:"Paces"`  // number of health checks behind LatencyBaseline
}

// StickyOverride records the backend that a flow was sent to instead of its primary.
type StickyOverride struct {
	Flow    uint64        `json:"Flow"`
	Backend BackendID     `json:"To"`
	At      time.Duration `json:"At"`
}

// Snapshot returns the state for the successor. Its slices of class loads are shared with the Balancer and valid
// until the next event.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{
		StickyOverrides:    b.sticky.newest(maxSnapshotOverrides),
		ClassLoads:         b.loads.classLoads,
		ClassLoadSamples:   b.loads.classSamples,
		KindLateness:       map[int][2]float64{},
		MeanUtilization:    b.health.meanUtilization,
		UtilizationReports: b.health.reports,
		LastBackendLoss:    b.endpoints.lastLoss,
	}
	for _, target := range b.endpoints.ready {
		snapshot.Backends = append(snapshot.Backends, b.snapshotBackend(target))
	}
	for kind, lateness := range b.outliers.kinds {
		snapshot.KindLateness[kind] = [2]float64{lateness.reports, lateness.seconds}
	}
	return snapshot
}

func (b *Balancer) snapshotBackend(target *backend) BackendSnapshot {
	return BackendSnapshot{
		ID:               target.ID,
		EjectedUntil:     target.ejection.until,
		EjectionTime:     target.ejection.duration,
		LastOverload:     target.concurrency.lastOverload,
		LastHealthCheck:  target.health.lastResultAt,
		SlowStartRefill:  target.slowStart.refillAt,
		ConcurrencyLimit: target.concurrency.limit,
		SlowStartTokens:  target.slowStart.tokens,
		Utilization:      target.health.utilization,
		TrackedLoad:      b.loads.trackedLoad(&target.loadSums),
		LatencyBaseline:  target.latency.baseline,
		LatencySamples:   target.latency.samples,
	}
}

// UpdatePredecessor records the state of the relay's predecessor process while both run: the predecessor's tracked
// load is added to this process's own, and its later ejections and overloads are adopted. Otherwise one process would
// send the clients that the other migrates off a backend back to it. An empty Snapshot sets the predecessor's load to 0.
func (b *Balancer) UpdatePredecessor(now time.Duration, snapshot Snapshot) {
	for _, target := range b.endpoints.byID {
		target.predecessorLoad = 0
	}
	for _, other := range snapshot.Backends {
		target := b.endpoints.byID[other.ID]
		if target == nil {
			continue
		}
		target.predecessorLoad = positiveFinite(other.TrackedLoad)
		target.ejection.until = max(target.ejection.until, min(other.EjectedUntil, now+maxEjection))
		if target.concurrency.adopt(now, &other) {
			b.concurrency.maintain(target)
		}
	}
}

// adopt takes over the limit of another process if that process has recorded a later overload, and reports whether
// it did.
func (c *concurrencyLimit) adopt(now time.Duration, other *BackendSnapshot) bool {
	if other.LastOverload <= c.lastOverload || positiveFinite(other.ConcurrencyLimit) <= 0 {
		return false
	}
	c.limit, c.lastOverload = other.ConcurrencyLimit, min(other.LastOverload, now)
	return true
}

// Restore takes over the state of the predecessor. It leaves out or bounds invalid values: those that are not finite
// numbers, times further in the future than any that a Balancer sets, and backends that were in no endpoint list.
func (b *Balancer) Restore(now time.Duration, snapshot Snapshot) {
	for i := range snapshot.Backends {
		b.restoreBackend(now, &snapshot.Backends[i])
	}
	overrides := snapshot.StickyOverrides
	for _, entry := range overrides[:min(len(overrides), maxSnapshotOverrides)] {
		if target := b.endpoints.byID[entry.Backend]; target != nil {
			b.sticky.restore(clampToPast(now, entry.At), entry.Flow, target)
		}
	}
	b.loads.restore(snapshot.ClassLoads, snapshot.ClassLoadSamples)
	b.outliers.restoreKinds(snapshot.KindLateness)
	b.health.restoreMean(snapshot.MeanUtilization, snapshot.UtilizationReports)
	b.endpoints.lastLoss = clampToPast(now, snapshot.LastBackendLoss)
}

func (b *Balancer) restoreBackend(now time.Duration, saved *BackendSnapshot) {
	target := b.endpoints.byID[saved.ID]
	if target == nil {
		return
	}
	b.outliers.restoreEjection(now, target, saved)
	target.health.restore(now, saved)
	target.slowStart.restore(now+b.settings.OverloadWindow, saved)
	target.latency.restore(saved)
	target.concurrency.restore(now, saved)
	if target.concurrency.limit > 0 { // the periodic maintenance removes it after limitLifetime
		b.concurrency.maintain(target)
	}
}

func (o *outlierDetector) restoreEjection(now time.Duration, target *backend, saved *BackendSnapshot) {
	target.ejection.duration = clamp(saved.EjectionTime, maxEjection)
	target.ejection.until = clamp(saved.EjectedUntil, now+maxEjection)
	if target.ejection.isActive(now) {
		o.ejected = append(o.ejected, target)
	}
}

func (h *backendHealth) restore(now time.Duration, saved *BackendSnapshot) {
	h.lastResultAt = clampToPast(now, saved.LastHealthCheck)
	h.utilization = positiveFinite(saved.Utilization)
}

func (t *slowStartTokens) restore(latestRefill time.Duration, saved *BackendSnapshot) {
	t.refillAt = clamp(saved.SlowStartRefill, latestRefill)
	t.tokens = min(positiveFinite(saved.SlowStartTokens), maxSlowStartTokens)
}

func (l *latencyBaseline) restore(saved *BackendSnapshot) {
	l.baseline = clamp(saved.LatencyBaseline, maxSnapshotLatency)
	l.samples = max(0, min(saved.LatencySamples, minLatencySamples+1))
}

func (c *concurrencyLimit) restore(now time.Duration, saved *BackendSnapshot) {
	c.lastOverload = clampToPast(now, saved.LastOverload)
	c.limit = positiveFinite(saved.ConcurrencyLimit)
}

// restore takes over the class loads of the predecessor if it has the same number of classes.
func (t *loadTracker) restore(loads, samples []float64) {
	if len(loads) != len(t.classLoads) || len(samples) != len(t.classSamples) {
		return
	}
	for i, load := range loads {
		if positiveFinite(load) > 0 && samples[i] > 0 {
			t.classLoads[i], t.classSamples[i] = load, min(samples[i], maxLoadSamples)
		}
	}
}

// restoreKinds takes over the lateness of kinds, as pairs of late-message reports and seconds with connections.
func (o *outlierDetector) restoreKinds(kinds map[int][2]float64) {
	for kind, saved := range kinds {
		late, seconds := saved[0], saved[1]
		if positiveFinite(seconds) > 0 && late >= 0 && !math.IsInf(late, 0) {
			o.kinds[kind] = &kindLateness{late, seconds}
		}
	}
}

// restoreMean takes over the mean utilization and the number of reports behind it.
func (h *healthChecker) restoreMean(utilization float64, reports int) {
	if positiveFinite(utilization) > 0 {
		h.meanUtilization, h.reports = min(utilization, maxReportedUtilization), max(0, reports)
	}
}

// clamp bounds a time to the range from 0 to a limit.
func clamp(t, limit time.Duration) time.Duration { return max(0, min(t, limit)) }

// clampToPast bounds a time to the range from 0 to now.
func clampToPast(now, t time.Duration) time.Duration { return clamp(t, now) }
