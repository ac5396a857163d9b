package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a load report is valid.
	reportLifetime = 2 * time.Second

	// fullBackendPause is how long a backend without connections of this relay gets no request after a health check
	// has shown it to be full.
	fullBackendPause = 2 * time.Second

	// maxChecksPerRequest bounds the health checks that a request waits for.
	maxChecksPerRequest = 2 * maxGroupSpread

	// connectionsPerCheck is the number of connections on a backend from which this relay checks it every second.
	// With fewer it checks less often: one check a second from each of many relays would cost too much.
	connectionsPerCheck = 4.0

	// lateAnswerFactor is the multiple of a backend's latency baseline from which an answer is late.
	lateAnswerFactor = 1.3

	// lateExcessDivisor: a late answer exceeds the baseline by at least the late-message threshold divided by this.
	lateExcessDivisor = 64

	// minFleetReports is the number of load reports from which the mean utilization represents the fleet.
	minFleetReports = 16

	// meanUtilizationSamples is the weight of past load reports in the mean utilization, in samples.
	meanUtilizationSamples = 8

	// maxReportedUtilization bounds the influence of one report on the mean utilization.
	maxReportedUtilization = 2

	// lateMessageDivisor: a message is late if it takes more than its latency objective divided by this.
	lateMessageDivisor = 3

	// reconnectWindow is how long after the loss of a backend its clients reconnect.
	reconnectWindow = 10 * time.Second

	// minUtilization is the lower bound of the mean utilization where it is a divisor.
	minUtilization = 0.1

	// spareCapacityFactor multiplies this relay's share of a backend's spare capacity, since only one in this many
	// relays checks the backend while a load report is outdated.
	spareCapacityFactor = 8
)

// backendHealth holds the results of the health checks of one backend.
type backendHealth struct {
	checkPending    bool
	lastResultAt    time.Duration // when a check last ended or timed out
	hasUtilization  bool          // by the last result
	utilization     float64       // load over capacity, by the last result
	errorsPerSecond float64       // by the last result
	sentSinceResult int           // requests that this relay has sent since the last result
}

// hasFreshUtilization reports whether there is a recent load report with the utilization.
func (h *backendHealth) hasFreshUtilization(now time.Duration) bool {
	return h.hasUtilization && now-h.lastResultAt < reportLifetime
}

// recordSend counts a request sent since the last result.
func (h *backendHealth) recordSend() { h.sentSinceResult++ }

// recordCheckEnd records that no health check is pending any more.
func (h *backendHealth) recordCheckEnd() { h.checkPending = false }

// recordReport records the result of a health check except the utilization.
func (h *backendHealth) recordReport(report *loadReport) {
	h.hasUtilization = report.hasUtilization
	h.errorsPerSecond = report.errorsPerSecond
}

// recordUtilization records the utilization that is assumed for the backend from now on.
func (h *backendHealth) recordUtilization(now time.Duration, utilization float64) {
	h.lastResultAt, h.utilization, h.sentSinceResult = now, utilization, 0
}

// expire marks the last result as outdated.
func (h *backendHealth) expire(now time.Duration) { h.lastResultAt = now - reportLifetime }

// loadReport is the evaluated result of a health check.
type loadReport struct {
	hasUtilization  bool
	utilization     float64 // load over capacity; without a report 1 for a late answer or none, else 0
	errorsPerSecond float64
}

// healthChecker evaluates health checks and keeps statistics of the fleet.
type healthChecker struct {
	utilizationField  int                   // index in a load report; negative: not reported
	errorsField       int                   // index in a load report; negative: not reported
	meanUtilization   float64               // over recent reports; 1 without any
	reports           int                   // number of reports with a utilization
	zoneLatency       map[int]time.Duration // usual latency of quick answers, by zone
	lateMessageMillis float64               // delay from which a message is late, in milliseconds
}

func newHealthChecker(fields []ReportField) healthChecker {
	return healthChecker{
		utilizationField: slices.Index(fields, FieldLoadShare),
		errorsField:      slices.Index(fields, FieldErrors),
		meanUtilization:  1,
		zoneLatency:      map[int]time.Duration{},
	}
}

// setLateMessageThreshold derives the late-message threshold from the class with the strictest objective. A class
// without an objective for messages counts with its objective for connections: with an objective of 0, every answer
// would be late and every backend would count as full.
func (h *healthChecker) setLateMessageThreshold(classes []Class) {
	h.lateMessageMillis = math.Inf(1)
	for _, class := range classes {
		objective := class.MessageLatencyObjective
		if objective <= 0 {
			objective = class.LatencyObjective
		}
		if !class.Retired && objective > 0 {
			h.lateMessageMillis = min(h.lateMessageMillis, float64(objective)/float64(lateMessageDivisor*time.Millisecond))
		}
	}
}

// minLateExcess returns the minimum by which a late answer to a health check exceeds the latency baseline.
func (h *healthChecker) minLateExcess() time.Duration {
	return time.Duration(h.lateMessageMillis*float64(time.Millisecond)) / lateExcessDivisor
}

// reportsUtilization reports whether load reports contain the utilization.
func (h *healthChecker) reportsUtilization() bool { return h.utilizationField >= 0 }

// hasFleetMean reports whether there were enough load reports for the mean utilization to represent the fleet.
func (h *healthChecker) hasFleetMean() bool { return h.reports >= minFleetReports }

// evaluate evaluates the result of a health check and adds its utilization to the mean.
func (h *healthChecker) evaluate(result HealthCheckResult) loadReport {
	report := loadReport{errorsPerSecond: h.errorsPerSecond(result)}
	ok := result.Status == StatusOK
	switch {
	case ok && h.utilizationField >= 0 && h.utilizationField < len(result.Load):
		report.hasUtilization = true
		report.utilization = positiveFinite(float64(result.Load[h.utilizationField]))
		h.reports++
		h.meanUtilization += (min(report.utilization, maxReportedUtilization) - h.meanUtilization) /
			float64(min(h.reports, meanUtilizationSamples))
	case !ok && result.Status != StatusAbandoned: // an abandoned check was never sent
		report.utilization = 1
	case result.Latency.Seconds()*1000 > h.lateMessageMillis:
		report.utilization = 1
	}
	return report
}

// errorsPerSecond returns the error rate in the result of a health check, or 0 if there is none.
func (h *healthChecker) errorsPerSecond(result HealthCheckResult) float64 {
	if result.Status != StatusOK || h.errorsField < 0 || h.errorsField >= len(result.Load) {
		return 0
	}
	return positiveFinite(float64(result.Load[h.errorsField]))
}

// recordZoneLatency records the latency of an answer from a zone. A quick answer shows the latency of the network;
// a late one has a lower weight, since the backend may be the cause.
func (h *healthChecker) recordZoneLatency(zone int, result HealthCheckResult) {
	if result.Status != StatusOK {
		return
	}
	usual := h.zoneLatency[zone]
	switch latency := max(result.Latency, 1); {
	case usual == 0:
		usual = latency
	case latency < usual:
		usual += (latency - usual) / 4
	default:
		usual += min(latency-usual, usual) / 32
	}
	h.zoneLatency[zone] = usual
}

// checkHealth starts a health check of a backend, unless one is pending.
func (b *Balancer) checkHealth(target *backend) {
	if !target.health.checkPending {
		target.health.checkPending = true
		b.actions.CheckHealth(target.ID)
	}
}

// drawPeriodicCheck draws whether a backend is checked in this second. The probability is proportional to the
// number of connections on it.
func (b *Balancer) drawPeriodicCheck(target *backend) bool {
	if !b.settings.HealthChecks || !b.health.reportsUtilization() {
		return false
	}
	return b.rng.Float64()*connectionsPerCheck < float64(target.connections)
}

// needsHealthCheck reports whether a backend has to be checked before it gets a request. That applies to a backend
// with connections of this relay as well if load reports contain the utilization: reports on those connections show
// only that messages are late, a load report shows the load from all relays.
func (b *Balancer) needsHealthCheck(now time.Duration, target *backend) bool {
	if !b.settings.HealthChecks || now-target.health.lastResultAt < reportLifetime {
		return false
	}
	return target.connections == 0 || b.health.reportsUtilization()
}

// awaitHealthCheck holds a request until its backend has been checked, if that is needed and enough time is left,
// and reports whether it did. With many relays, each has connections on few backends only, and cannot detect without
// a check whether the others are full.
func (b *Balancer) awaitHealthCheck(now time.Duration, target *backend, req *request) bool {
	if !b.needsHealthCheck(now, target) || req.MidStream || req.checks == maxChecksPerRequest {
		return false
	}
	timeout := b.healthCheckTimeout(req, target)
	if req.deadline-now <= 2*timeout {
		return false
	}
	b.checkHealth(target)
	req.awaitedCheck, req.sentAt, req.checkDeadline = target, now, now+timeout
	req.checks++
	b.held = append(b.held, req)
	b.actions.SetTimer(req.ID, timeout)
	return true
}

// healthCheckTimeout returns how long a request waits for a health check: a quarter of its latency objective, which
// leaves the rest for the connection, and at least twice the latency of the backend's zone.
func (b *Balancer) healthCheckTimeout(req *request, target *backend) time.Duration {
	zoneLatency := min(b.health.zoneLatency[target.Zone], b.settings.DialTimeout)
	return max(b.latencyObjective(req)/4, 2*zoneLatency)
}

// recordUtilization records the utilization of a backend after a health check and resumes the requests that waited
// for the check. A full backend without connections of this relay gets no request for fullBackendPause, since no report on
// a connection would show when it has spare capacity again.
func (b *Balancer) recordUtilization(now time.Duration, target *backend, utilization float64) {
	target.health.recordUtilization(now, utilization)
	if target.connections == 0 && (utilization >= fillTarget || b.leavesCapacityToOthers(now, target, utilization)) {
		target.ejection.suspend(now + fullBackendPause)
	}
	b.resumeHeld(now, target)
}

// leavesCapacityToOthers draws whether this relay leaves the spare capacity of a backend to the other relays. After the
// loss of a backend, its clients reconnect through all relays at once, and all relays see the same spare capacity
// in an outdated load report. The probability that a relay uses the backend is therefore its own share of that
// capacity, in connections, times spareCapacityFactor. The number of connections of this relay that fill a backend is their mean number
// on a backend over the mean utilization.
func (b *Balancer) leavesCapacityToOthers(now time.Duration, target *backend, utilization float64) bool {
	if !b.endpoints.lostBackendWithin(now, reconnectWindow) || !b.hasReconnectingClientFor(target) {
		return false
	}
	connectionsPerBackend := max(1, float64(b.loads.total.connections)) / float64(max(1, len(b.endpoints.ready)))
	connectionsToFill := connectionsPerBackend / max(b.health.meanUtilization, minUtilization)
	return b.rng.Float64() > spareCapacityFactor*(fillTarget-utilization)*connectionsToFill
}

// hasReconnectingClientFor reports whether a reconnecting client waits for the health check of a backend.
func (b *Balancer) hasReconnectingClientFor(target *backend) bool {
	return slices.ContainsFunc(b.held, func(req *request) bool {
		return req.awaitedCheck == target && req.Reconnecting && !req.answered
	})
}
