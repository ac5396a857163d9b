package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maintenanceInterval is the time between two runs of the periodic maintenance.
	maintenanceInterval = time.Second

	// maintenanceTimer and drainTimer are the tokens of the Balancer's own timers.
	// Any other token is the ID of a request.
	maintenanceTimer uint64 = 1 << 63
	drainTimer              = maintenanceTimer + 1

	// rngStream is the second seed value of the random generator, which selects its stream.
	rngStream = 0x9e3779b97f4a7c15
)

// Balancer makes the decisions of one relay.
type Balancer struct {
	settings     Settings
	activeRelays int // number of relays running now; 0: unknown, Settings.RelayCount applies
	actions      Actions
	rng          *rand.Rand

	requests    map[uint64]*request
	held        []*request // waiting for an endpoint list or for the result of a health check
	arrivals    arrivalRate
	endpoints   endpointTable
	rendezvous  rendezvousTable
	backups     backupSchedule
	sticky      stickyTable
	loads       loadTracker
	quotas      quotas
	groups      groupDemand
	retryBudget retryBudget
	pacer       attemptPacer
	outliers    outlierDetector
	concurrency concurrencyLimiter
	health      healthChecker
	drain       drainState
}

// New returns a Balancer that acts through the given Actions. Its random draws depend on the seed alone.
func New(now time.Duration, seed uint64, settings Settings, actions Actions) *Balancer {
	b := &Balancer{
		actions:     actions,
		rng:         rand.New(rand.NewPCG(seed, rngStream)),
		requests:    map[uint64]*request{},
		endpoints:   newEndpointTable(),
		backups:     backupSchedule{lastReset: now},
		sticky:      newStickyTable(),
		loads:       newLoadTracker(),
		quotas:      newQuotas(len(settings.Tenants)),
		groups:      newGroupDemand(),
		retryBudget: retryBudget{tokens: 1},
		outliers:    newOutlierDetector(),
		health:      newHealthChecker(settings.ReportFields),
	}
	b.UpdateSettings(settings)
	if settings.PollEndpoints {
		b.requestEndpoints(now)
	}
	actions.SetTimer(maintenanceTimer, maintenanceInterval)
	return b
}

// UpdateSettings replaces the settings. Requests and connections keep the class and the maximum number of
// attempts with which they were accepted; tracked loads and placements are kept.
func (b *Balancer) UpdateSettings(settings Settings) {
	if !settings.RetryAfter {
		settings.MaxRetryAfter = 0
	}
	if b.activeRelays > 0 {
		settings.RelayCount = b.activeRelays
	}
	b.settings = settings
	b.health.setLateMessageThreshold(settings.Classes)
	b.addClasses(len(settings.Classes))
}

// SetActiveRelays replaces the number of relays in the settings by the number that run at present, including this
// one. 0 means that the number is unknown: the one in the next UpdateSettings applies again.
func (b *Balancer) SetActiveRelays(relays int) {
	b.activeRelays = max(0, relays)
	if b.activeRelays > 0 {
		b.settings.RelayCount = b.activeRelays
	}
}

// RequestArrived accepts a new request.
func (b *Balancer) RequestArrived(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	req := b.newRequest(now, r)
	b.retryBudget.deposit(retryDeposit(req), len(b.endpoints.ready))
	b.attempt(now, req)
	if !req.answered {
		b.actions.SetTimer(r.ID, max(0, req.deadline-now-b.settings.Tick))
	}
}

// SessionAdopted records an open connection that this relay already carries.
func (b *Balancer) SessionAdopted(now time.Duration, r Request, id BackendID) {
	if b.requests[r.ID] != nil {
		return
	}
	target := b.endpoints.byID[id]
	if target == nil {
		target = b.updateEndpoint(now, Backend{ID: id, State: StateRemoved, Weight: 1})
	}
	req := b.newRequest(now, r)
	req.established, req.attempts = true, 1
	b.attach(req, target)
}

// AttemptSucceeded records that an attempt has established its connection.
func (b *Balancer) AttemptSucceeded(now time.Duration, result AttemptResult) {
	req := b.pendingAttempt(result)
	if req == nil {
		return
	}
	req.established = true
	b.ejectOnFailure(now, req.backend, StatusOK)
	b.pacer.recordSetup(now, req, result.Latency > b.slowSetupTime(req), b.rng)
}

// AttemptEnded records the end of an attempt or of the connection it established.
func (b *Balancer) AttemptEnded(now time.Duration, result AttemptResult) {
	req := b.pendingAttempt(result)
	if req == nil {
		return
	}
	target, status := req.backend, result.Status
	isolated := b.isIsolatedReset(now, target, status)
	b.lowerLimitOnFailure(now, req, status, isolated)
	if b.isFailedSetup(now, req, status) {
		b.pacer.recordSetup(now, req, true, b.rng)
	}
	b.detach(req)
	if !isolated && b.isBackendFailure(req, status) {
		b.ejectOnFailure(now, target, status)
	}
	req.recordExecution(status, target)
	b.finishOrRetry(now, req, result.Closed)
}

// ClientClosed records that the client of a request has left.
func (b *Balancer) ClientClosed(_ time.Duration, id uint64) {
	if req := b.requests[id]; req != nil && !req.answered {
		b.finish(req)
	}
}

// DeadlineExceeded ends a request before its deadline, because this relay is about to stop. A pending attempt is
// cancelled; the request is answered when the attempt has ended.
func (b *Balancer) DeadlineExceeded(now time.Duration, id uint64) {
	req := b.requests[id]
	if req == nil || req.answered || req.established {
		return
	}
	req.deadline = min(req.deadline, now)
	if req.backend != nil {
		b.actions.Cancel(id, req.attempts-1)
		return
	}
	b.TimerFired(now, id)
}

// LoadReported records a load report received on a pending attempt or an open connection. The value is in the
// unit of its signal.
func (b *Balancer) LoadReported(now time.Duration, id uint64, signal LoadSignal, value float64) {
	req := b.requests[id]
	if req == nil || req.backend == nil {
		return
	}
	if signal == SignalMessageDelay && value > b.health.lateMessageMillis {
		b.recordLateMessage(now, req.backend, value)
	}
	if signal == SignalConnectionLoad && positiveFinite(value) > 0 {
		b.recordConnectionLoad(req, value)
	}
}

// HealthCheckDone records the result of a health check and adapts the backend's concurrency limit to it.
func (b *Balancer) HealthCheckDone(now time.Duration, result HealthCheckResult) {
	target := b.endpoints.byID[result.Backend]
	if target == nil {
		return
	}
	target.health.recordCheckEnd()
	b.health.recordZoneLatency(target.Zone, result)
	report := b.health.evaluate(result)
	if report.hasUtilization {
		b.limitByReport(now, target, &report, result.Latency)
	}
	target.health.recordReport(&report)
	b.recordUtilization(now, target, report.utilization)
}

// GossipReceived records a message from another relay. A backend that the other relay found to be slow is checked
// at once, and one late answer then confirms it. Without that check, a mistake of one relay would halve the load
// from all relays on the backend.
func (b *Balancer) GossipReceived(now time.Duration, _ int, data []byte) {
	id, ok := decodeOverloadNotice(data)
	if !ok || b.settings.ReportsMessageDelay {
		return
	}
	if target := b.endpoints.byID[id]; target != nil && target.latency.isEstablished() {
		target.latency.gossipedAt = now
		b.checkHealth(target)
	}
}

// EndpointsUpdated records an update of the endpoint list.
func (b *Balancer) EndpointsUpdated(now time.Duration, kind EndpointUpdateKind, entries []Backend) {
	if kind == UpdateFailed {
		b.endpoints.polling.scheduleRetry(now, b.settings.PollInterval, b.rng)
		return
	}
	if kind != UpdateCached {
		b.endpoints.polling.reset()
	}
	b.updateEndpoints(now, kind, entries)
	b.rendezvous.rebuild(b.endpoints.ready, b.settings.Weights)
	b.resetBackups(now)
	b.resumeHeld(now, nil)
}

// TimerFired handles a timer set by Actions.SetTimer.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	switch token {
	case maintenanceTimer:
		b.runMaintenance(now)
		b.actions.SetTimer(maintenanceTimer, maintenanceInterval)
	case drainTimer:
		b.runDrainStep(now)
	default:
		b.handleRequestTimer(now, b.requests[token])
	}
}

// handleRequestTimer handles the timers of a request: its deadline, the end of its backoff, the hedge delay, and
// the end of its wait for a health check. The timeout of an attempt is not one of them: it is reported by
// AttemptEnded, no later than the deadline.
func (b *Balancer) handleRequestTimer(now time.Duration, req *request) {
	switch {
	case req == nil || req.answered || req.established:
	case req.backend != nil:
		b.hedge(now, req)
	case now+2*b.settings.Tick >= req.deadline:
		b.rejectOrFail(req)
	case req.retryAt > 0 && now >= req.retryAt:
		req.retryAt = 0
		b.attempt(now, req)
	case req.awaitedCheck != nil && now >= req.checkDeadline:
		b.recordUtilization(now, req.awaitedCheck, 1) // a backend that does not answer counts as full
	}
}

// runMaintenance does the periodic work.
func (b *Balancer) runMaintenance(now time.Duration) {
	if b.backups.isDue(now) {
		b.resetBackups(now)
	}
	b.sticky.expire(now)
	b.maintainBackends(now)
	if b.endpoints.polling.isDue(now) {
		b.requestEndpoints(now)
	}
}

// resumeHeld starts attempts of the requests that waited for a backend's health check or, if the backend is nil,
// for an endpoint list.
func (b *Balancer) resumeHeld(now time.Duration, checked *backend) {
	held := b.held
	b.held = nil
	for _, req := range held {
		switch {
		case req.answered:
		case req.awaitedCheck != checked:
			b.held = append(b.held, req)
		default:
			req.awaitedCheck = nil
			b.attempt(now, req)
		}
	}
}

// ReplayDecision records the decision of another program for a request: it sent the attempt with this index to a
// backend or, if sent is false, gave the final answer. ReplayDecision causes no action.
func (b *Balancer) ReplayDecision(now time.Duration, r Request, attempt int, to BackendID, sent bool) {
	req, target := b.requests[r.ID], b.endpoints.byID[to]
	if req != nil {
		if req.backend != nil {
			b.detach(req)
		}
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == req })
	}
	if !sent || target == nil {
		if req != nil {
			b.finish(req)
		}
		return
	}
	if req == nil {
		r.ClientRetry = true // the request was counted in the demand of its group when it arrived
		req = b.newRequest(now, r)
	}
	req.replayAttempt(now, attempt, target)
	b.attach(req, target)
}
