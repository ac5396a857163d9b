package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a load report counts.
	reportLifetime = 2 * time.Second

	// fullPause is how long a backend without connections of this relay is passed by after it has reported
	// to be full.
	fullPause = 2 * time.Second

	// maxChecksPerRequest bounds the health checks that a request waits for.
	maxChecksPerRequest = 2 * groupSpread

	// connectionsPerCheck is how many connections on a backend are worth one health check a second: one
	// from each of many relays would cost too much.
	connectionsPerCheck = 4.0

	// lateAnswerFactor is the multiple of its usual latency from which an answer is late.
	lateAnswerFactor = 1.3

	// lateExcessDivisor: a late answer exceeds the usual by the late-message threshold over this at least.
	lateExcessDivisor = 64

	// minFleetReports is how many load reports are needed to know how full the fleet is.
	minFleetReports = 16

	// meanUtilizationSamples is the weight of the mean utilization over past reports.
	meanUtilizationSamples = 8

	// maxReportedUtilization bounds what one report adds to the mean.
	maxReportedUtilization = 2

	// lateMessageDivisor: a message is late from the message latency objective over this.
	lateMessageDivisor = 3

	// reconnectWindow is how long the clients of a lost backend come back.
	reconnectWindow = 10 * time.Second

	// minUtilization bounds the mean utilization below, where it is divided by.
	minUtilization = 0.1

	// roomShareFactor is how many times this relay's part the room of a backend counts: of so many relays
	// one checks it while a report is old.
	roomShareFactor = 8
)

// backendHealth is what the health checks of one backend have shown.
type backendHealth struct {
	checkPending    bool
	lastResult      time.Duration // when a check last ended or was given up
	hasUtilization  bool          // by the last result
	utilization     float64       // load over capacity, by the last result
	errorsPerSecond float64       // by the last result
	sentSince       int           // requests sent from here since the last result
}

// hasFreshUtilization reports whether there is a recent load report with the utilization.
func (h *backendHealth) hasFreshUtilization(now time.Duration) bool {
	return h.hasUtilization && now-h.lastResult < reportLifetime
}

// recordSend counts a request sent since the last result.
func (h *backendHealth) recordSend() { h.sentSince++ }

// recordCheckEnd records that no health check is pending any more.
func (h *backendHealth) recordCheckEnd() { h.checkPending = false }

// recordReport records what a health check has shown besides the utilization.
func (h *backendHealth) recordReport(report *loadReport) {
	h.hasUtilization = report.hasUtilization
	h.errorsPerSecond = report.errorsPerSecond
}

// recordUtilization records how full the backend counts as from now on.
func (h *backendHealth) recordUtilization(now time.Duration, utilization float64) {
	h.lastResult, h.utilization, h.sentSince = now, utilization, 0
}

// expire makes the last result count as old.
func (h *backendHealth) expire(now time.Duration) { h.lastResult = now - reportLifetime }

// loadReport is what a health check has shown.
type loadReport struct {
	hasUtilization  bool
	utilization     float64 // load over capacity; without a report 1 for a late answer or none, else 0
	errorsPerSecond float64
}

// healthChecker reads health checks and keeps what they show of the fleet.
type healthChecker struct {
	utilizationField  int                   // index in a load report; negative: not reported
	errorsField       int                   // index in a load report; negative: not reported
	meanUtilization   float64               // over recent reports; 1 without any
	reports           int                   // reports of a utilization
	zoneLatency       map[int]time.Duration // latency of quick answers, by zone
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

// setLateMessageThreshold derives it from the strictest class. Without an objective for messages that for
// establishing a connection counts: with none at all every answer would be late and every backend full.
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

// minLateExcess is by how much a late answer to a health check has to exceed the usual at least.
func (h *healthChecker) minLateExcess() time.Duration {
	return time.Duration(h.lateMessageMillis*float64(time.Millisecond)) / lateExcessDivisor
}

// reportsUtilization reports whether load reports contain the utilization.
func (h *healthChecker) reportsUtilization() bool { return h.utilizationField >= 0 }

// knowsFleet reports whether enough reports were read to know how full the fleet is.
func (h *healthChecker) knowsFleet() bool { return h.reports >= minFleetReports }

// read reads the result of a health check, and takes its utilization into the mean.
func (h *healthChecker) read(result HealthCheckResult) loadReport {
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

// errorsPerSecond is the error rate in the result of a health check, 0 without any.
func (h *healthChecker) errorsPerSecond(result HealthCheckResult) float64 {
	if result.Status != StatusOK || h.errorsField < 0 || h.errorsField >= len(result.Load) {
		return 0
	}
	return positiveFinite(float64(result.Load[h.errorsField]))
}

// recordZoneLatency records the latency of an answer from a zone. A quick answer shows the network's
// latency, a late one may be due to the backend and counts less.
func (h *healthChecker) recordZoneLatency(zone int, result HealthCheckResult) {
	if result.Status != StatusOK {
		return
	}
	usual := h.zoneLatency[zone]
	switch took := max(result.Latency, 1); {
	case usual == 0:
		usual = took
	case took < usual:
		usual += (took - usual) / 4
	default:
		usual += min(took-usual, usual) / 32
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

// isDueForPeriodicCheck draws whether a watched backend is checked in this second, in proportion to the
// connections there.
func (b *Balancer) isDueForPeriodicCheck(target *backend) bool {
	if !b.settings.HealthChecks || !b.health.reportsUtilization() {
		return false
	}
	return b.rng.Float64()*connectionsPerCheck < float64(target.connections)
}

// needsHealthCheck reports whether a backend is to be checked before it gets a request. Reports on this
// relay's connections show only that messages are late; a load report shows what a backend holds of all
// relays.
func (b *Balancer) needsHealthCheck(now time.Duration, target *backend) bool {
	if !b.settings.HealthChecks || now-target.health.lastResult < reportLifetime {
		return false
	}
	return target.connections == 0 || b.health.reportsUtilization()
}

// awaitHealthCheck holds a request until its backend has been checked, where that is needed and there is
// time. With many relays each has connections on few backends, and the others may be full unseen.
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

// healthCheckTimeout is how long a request waits for a health check: a quarter of its latency objective,
// so that the rest is left for the connection, and at least twice the latency of the backend's zone.
func (b *Balancer) healthCheckTimeout(req *request, target *backend) time.Duration {
	zoneLatency := min(b.health.zoneLatency[target.Zone], b.settings.DialTimeout)
	return max(b.latencyObjective(req)/4, 2*zoneLatency)
}

// recordUtilization records how full a backend has reported to be, and resumes the requests that waited
// for it. A full one without connections of this relay is passed by for a while: no report on a connection
// shows when it has room again.
func (b *Balancer) recordUtilization(now time.Duration, target *backend, utilization float64) {
	target.health.recordUtilization(now, utilization)
	if target.connections == 0 && (utilization >= fillTarget || b.leavesRoomToOthers(now, target, utilization)) {
		target.ejection.passBy(now + fullPause)
	}
	b.resumeHeld(now, target)
}

// leavesRoomToOthers draws whether reconnecting clients pass a backend by though it has room. After a
// backend is lost the clients of all relays return together and read of the same room in an old report:
// each relay fills its part, by chance below a connection. Its own connections on a usual backend show how
// many fill one.
func (b *Balancer) leavesRoomToOthers(now time.Duration, target *backend, utilization float64) bool {
	if !b.endpoints.hasLostWithin(now, reconnectWindow) || !b.hasReconnectingClientFor(target) {
		return false
	}
	connectionsEach := max(1, float64(b.loads.total.connections)) / float64(max(1, len(b.endpoints.ready)))
	toFill := connectionsEach / max(b.health.meanUtilization, minUtilization)
	return b.rng.Float64() > roomShareFactor*(fillTarget-utilization)*toFill
}

// hasReconnectingClientFor reports whether a reconnecting client waits for the health check of a backend.
func (b *Balancer) hasReconnectingClientFor(target *backend) bool {
	return slices.ContainsFunc(b.held, func(req *request) bool {
		return req.awaitedCheck == target && req.Reconnecting && !req.answered
	})
}
