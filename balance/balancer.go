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

	// rngStream selects the stream of the generator, apart from its seed.
	rngStream = 0x9e3779b97f4a7c15
)

// Balancer holds the decisions of one relay.
type Balancer struct {
	settings     Settings
	activeRelays int // relays known to run now; 0: unknown, Settings.RelayCount counts
	actions      Actions
	rng          *rand.Rand

	requests    map[uint64]*request
	held        []*request // waiting for an endpoint list or for the result of a health check
	arrivals    arrivalRate
	endpoints   endpointTable
	ring        rendezvousRing
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

// New returns a Balancer that acts through the given Actions. Its random draws follow from the seed alone.
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

// UpdateSettings replaces the settings. Requests and connections keep the class and the number of
// attempts they were accepted with; loads and placements stay.
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

// SetActiveRelays replaces the number of relays in the settings by the number that run at present, this
// one included. With 0 the number is unknown, and that of the next UpdateSettings counts again.
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
	b.retryBudget.earn(retryEarnings(req), len(b.endpoints.ready))
	b.attempt(now, req)
	if !req.answered {
		b.actions.SetTimer(r.ID, max(0, req.deadline-now-b.settings.Tick))
	}
}

// SessionAdopted records a connection that flows through this relay already.
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
	b.pacer.recordSetup(now, req, result.Latency > b.slowSetup(req), b.rng)
}

// AttemptEnded records the end of an attempt or of the connection it established.
func (b *Balancer) AttemptEnded(now time.Duration, result AttemptResult) {
	req := b.pendingAttempt(result)
	if req == nil {
		return
	}
	target, status := req.backend, result.Status
	isolated := b.isIsolatedReset(now, target, status)
	b.limitOnFailure(now, req, status, isolated)
	if b.isFailedSetup(now, req, status) {
		b.pacer.recordSetup(now, req, true, b.rng)
	}
	b.detach(req)
	if !isolated && b.indictsBackend(req, status) {
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

// DeadlineExceeded ends a request at once, whatever time it had left, since this relay is about to stop. A
// pending attempt is cancelled; the answer follows its end.
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

// LoadReported records a load report on a pending attempt or an open connection. The value is in the
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

// HealthCheckDone records the result of a health check and sets the concurrency limit by it.
func (b *Balancer) HealthCheckDone(now time.Duration, result HealthCheckResult) {
	target := b.endpoints.byID[result.Backend]
	if target == nil {
		return
	}
	target.health.recordCheckEnd()
	b.health.recordZoneLatency(target.Zone, result)
	report := b.health.read(result)
	if report.hasUtilization {
		b.limitByReport(now, target, &report, result.Latency)
	}
	target.health.recordReport(&report)
	b.recordUtilization(now, target, report.utilization)
}

// GossipReceived records a message of another relay. A backend that is slow there is checked at once, and
// one late answer here is then enough: without that check one relay's mistake would halve what all relays
// hold on the backend.
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
	b.ring.rebuild(b.endpoints.ready, b.settings.Weights)
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

// handleRequestTimer handles what may be due for a request: its deadline, the end of its backoff, the
// hedge delay, or the end of its wait for a health check. The timeout of an attempt is not among
// them: it is reported by AttemptEnded, no later than the deadline.
func (b *Balancer) handleRequestTimer(now time.Duration, req *request) {
	switch {
	case req == nil || req.answered || req.established:
	case req.backend != nil:
		b.hedge(now, req)
	case now+2*b.settings.Tick >= req.deadline:
		b.answer(req)
	case req.retryAt > 0 && now >= req.retryAt:
		req.retryAt = 0
		b.attempt(now, req)
	case req.awaitedCheck != nil && now >= req.checkDeadline:
		b.recordUtilization(now, req.awaitedCheck, 1) // a silent backend counts as full
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

// resumeHeld attempts the requests that waited for a backend's health check or, with nil, for an endpoint
// list.
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

// ReplayDecision records what another program decided for a request: that it sent the attempt with this
// index to a backend or, with sent false, gave the final answer. It causes no action.
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
		r.ClientRetry = true // its group's demand has counted it when it arrived
		req = b.newRequest(now, r)
	}
	req.replayAttempt(now, attempt, target)
	b.attach(req, target)
}
