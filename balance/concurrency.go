package balance

import (
	"slices"
	"time"
)

const (
	// fillTarget is the utilization that a backend is filled to. fillTargetByReports applies if load reports
	// alone show overload, since they lag behind.
	fillTarget          = 0.75
	fillTargetByReports = 0.6

	// migrateAboveUtilization is the utilization above which connections are migrated.
	migrateAboveUtilization = 0.9

	// overloadLimitFactor is the fraction of its tracked load that a backend keeps after it has shown overload.
	// resetLimitFactor applies to a reset if there are no reports of message delay: those would have lowered the
	// limit earlier, so without them messages are late already and the cut has to be deeper.
	overloadLimitFactor = 0.85
	resetLimitFactor    = 0.5

	// slowBackendLimitFactor is the fraction of its tracked load that a backend keeps once late answers to health checks
	// have shown it to be slow.
	slowBackendLimitFactor = 0.5

	// minReportLimitFactor is the minimum fraction of its tracked load that a backend keeps after a load report.
	minReportLimitFactor = 0.5

	// latenessLimitCut is the fraction of its tracked load that a backend loses for each multiple of the
	// late-message threshold in a message's delay. It keeps at least minLatenessLimitFactor, or minBacklogLimitFactor
	// if load reports contain the utilization and the backlog is large.
	latenessLimitCut       = 0.05
	minLatenessLimitFactor = 0.5
	minBacklogLimitFactor  = 0.1

	// backlogDrainTime is the time within which a backend has to finish its queued work.
	backlogDrainTime = time.Second

	// minLimitCutInterval is the minimum time between two cuts of a limit, except those by the utilization in a load
	// report.
	minLimitCutInterval = time.Second

	// overloadRecoveryTime is the time without overload after which an overload has ended and the limit may rise again.
	overloadRecoveryTime = 2 * time.Second

	// limitGrowth is the factor by which a limit rises each second. limitGrowthNearOverload applies for nearOverloadTime
	// after an overload, from nearOverloadFraction of the load at which the backend was overloaded, unless load reports
	// contain the utilization.
	limitGrowth             = 1.1
	limitGrowthNearOverload = 1.02
	nearOverloadFraction    = 0.8
	nearOverloadTime        = 8 * time.Second

	// limitLifetime is how long after its last overload a backend without connections keeps its limit.
	limitLifetime = 10 * time.Second

	// recentOverloadTime is how long after an overload a backend counts as overloaded.
	recentOverloadTime = 4 * time.Second

	// fleetSampleDivisor: one in this many of the ready backends is enough to represent the fleet.
	fleetSampleDivisor = 10
)

// concurrencyLimit is the adaptive limit of one backend, in the unit of the tracked load.
type concurrencyLimit struct {
	limit          float64 // maximum tracked load of the backend; 0: no limit
	loadAtOverload float64 // tracked load when the overload began
	lastOverload   time.Duration
	maintained     bool // the backend is in concurrencyLimiter.maintained
}

// raise raises the limit by the growth of one second.
func (c *concurrencyLimit) raise(now time.Duration, reportsUtilization bool) {
	if c.limit < nearOverloadFraction*c.loadAtOverload || now-c.lastOverload > nearOverloadTime || reportsUtilization {
		c.limit *= limitGrowth
	} else {
		c.limit *= limitGrowthNearOverload
	}
}

// remove removes the limit.
func (c *concurrencyLimit) remove() { c.limit = 0 }

// rescale adapts the limit to a change of the unit of the tracked load.
func (c *concurrencyLimit) rescale(factor float64) {
	c.limit *= factor
	c.loadAtOverload *= factor
}

// concurrencyLimiter holds the backends that need periodic maintenance.
type concurrencyLimiter struct {
	maintained []*backend // with connections of this relay or with a recent overload
}

// maintain adds a backend to those that are maintained.
func (c *concurrencyLimiter) maintain(target *backend) {
	if !target.concurrency.maintained {
		target.concurrency.maintained = true
		c.maintained = append(c.maintained, target)
	}
}

// dropIdle drops the backends without connections and without a recent overload, and removes their limits.
func (c *concurrencyLimiter) dropIdle(now time.Duration) {
	c.maintained = slices.DeleteFunc(c.maintained, func(target *backend) bool {
		target.concurrency.maintained = target.connections > 0 || now-target.concurrency.lastOverload < limitLifetime
		if !target.concurrency.maintained {
			target.concurrency.remove()
		}
		return !target.concurrency.maintained
	})
}

// isWithinLimit reports whether a backend can accept a request within its limit. The limit does not apply to a backend
// on which this relay has no connection if health checks are on: the backend is checked before the request is sent.
func (b *Balancer) isWithinLimit(target *backend, req *request) bool {
	limit := target.concurrency.limit
	if limit == 0 {
		return true
	}
	if b.settings.HealthChecks && target.connections == 0 && target.predecessorLoad == 0 {
		return true
	}
	return b.loads.trackedLoad(&target.loadSums)+b.loads.requestLoad(req) <= limit
}

// countNearLimit counts the backends whose tracked load is close to their limit.
func (b *Balancer) countNearLimit() int {
	near := 0
	for _, target := range b.concurrency.maintained {
		if limit := target.concurrency.limit; limit > 0 && b.loads.trackedLoad(&target.loadSums) >= nearLimit*limit {
			near++
		}
	}
	return near
}

// isFleetOverloaded reports whether at least half of the backends that this relay maintains were overloaded recently
// and are enough to represent the fleet. A single one is never enough: the cause may be the backend itself.
func (b *Balancer) isFleetOverloaded(now time.Duration) bool {
	overloaded := 0
	for _, target := range b.concurrency.maintained {
		if target.concurrency.limit > 0 && now-target.concurrency.lastOverload < recentOverloadTime {
			overloaded++
		}
	}
	return overloaded > 1 && 2*overloaded >= len(b.concurrency.maintained) && fleetSampleDivisor*overloaded >= len(b.endpoints.ready)
}

// lowerLimitOnFailure lowers the limit of a backend if the end of an attempt or a connection shows overload. Otherwise
// the clients that the backend drops would be sent back to it at once.
func (b *Balancer) lowerLimitOnFailure(now time.Duration, req *request, status Status, isolatedReset bool) {
	switch status {
	case StatusOverloaded:
		b.lowerLimit(now, req.backend, overloadLimitFactor)
	case StatusReset:
		if !req.established || req.backend.State != StateReady || isolatedReset {
			return
		}
		factor := overloadLimitFactor
		if !b.settings.ReportsMessageDelay {
			factor = resetLimitFactor
		}
		b.lowerLimit(now, req.backend, factor)
	}
}

// recordLateMessage lowers the limit of a backend after a late message, by the message's delay in milliseconds.
// All messages stay late until the backend has finished its queued work, so the remaining load must leave enough
// capacity to finish it within backlogDrainTime.
func (b *Balancer) recordLateMessage(now time.Duration, target *backend, delayMillis float64) {
	b.outliers.latenessFor(target).reports++
	latenessFactor := max(minLatenessLimitFactor, 1-latenessLimitCut*delayMillis/b.health.lateMessageMillis)
	backlogFactor := 1 - delayMillis/float64(backlogDrainTime/time.Millisecond)
	factor := min(latenessFactor, backlogFactor)
	if !b.health.reportsUtilization() {
		// All relays see the same backlog and each lowers its limit, so the floor is higher here: without it,
		// the backend would keep less load the more relays there are.
		b.lowerLimit(now, target, max(minLatenessLimitFactor, factor))
		return
	}
	// Load reports set the limit here, and late messages would lower it to the floor while all backends are slow.
	// A late message therefore lowers it only if there is no limit yet, if the load report shows spare capacity and so is stale or
	// wrong, or if the backlog requires a lower limit.
	if target.concurrency.limit == 0 || target.health.utilization < fillTarget || backlogFactor < latenessFactor {
		b.lowerLimit(now, target, max(minBacklogLimitFactor, factor))
	}
}

// lowerLimit limits a backend to a fraction of its tracked load and migrates the excess.
func (b *Balancer) lowerLimit(now time.Duration, target *backend, factor float64) {
	c := &target.concurrency
	if target.connections == 0 || now-c.lastOverload < minLimitCutInterval && c.limit > 0 {
		return
	}
	load := b.loads.trackedLoad(&target.loadSums)
	if c.limit == 0 || now-c.lastOverload > overloadRecoveryTime {
		c.loadAtOverload = load
	}
	c.lastOverload = now
	if c.limit > 0 {
		load = min(load, c.limit)
	}
	c.limit = max(load, b.loads.meanConnection()) * factor
	b.migrateExcess(target, c.limit)
}

// limitByReport sets the limit of a backend by its load report.
func (b *Balancer) limitByReport(now time.Duration, target *backend, report *loadReport, latency time.Duration) {
	migrateAbove, fillTo := b.reportThresholds()
	if !b.settings.ReportsMessageDelay && b.confirmSlow(now, target, latency) {
		report.utilization = max(report.utilization, 1)
	}
	if report.utilization > 0 && target.connections > 0 {
		b.applyReport(now, target, report.utilization, migrateAbove, fillTo)
	}
}

// reportThresholds returns the utilization above which connections are migrated off a backend, and the one that
// its limit then aims at. Both are lower if load reports alone show overload, since reports lag behind. They are
// not lowered while the mean utilization of the fleet exceeds fillTargetByReports: the other backends have no
// capacity to spare then, and migrated clients would be rejected.
func (b *Balancer) reportThresholds() (migrateAbove, fillTo float64) {
	if b.settings.ReportsMessageDelay {
		return migrateAboveUtilization, fillTarget
	}
	if b.health.hasFleetMean() && b.health.meanUtilization > fillTargetByReports {
		return migrateAboveUtilization, fillTarget
	}
	return fillTarget, fillTargetByReports
}

// applyReport sets the limit of a backend to the load that fills it to fillTo, and migrates the excess if its
// utilization exceeds migrateAbove. If there are reports of message delay, only those introduce a limit.
func (b *Balancer) applyReport(now time.Duration, target *backend, utilization, migrateAbove, fillTo float64) {
	c, exceeds := &target.concurrency, utilization > migrateAbove
	if c.limit == 0 && (!exceeds || b.settings.ReportsMessageDelay) {
		return
	}
	recovered := now-c.lastOverload >= overloadRecoveryTime
	limit := b.loads.trackedLoad(&target.loadSums) * max(minReportLimitFactor, fillTo/utilization)
	if c.limit == 0 || limit < c.limit || recovered {
		c.limit = limit
	}
	if exceeds && recovered { // otherwise the report may be older than the last migration
		c.lastOverload = now
		b.migrateExcess(target, c.limit)
	}
}

// confirmSlow reports whether late answers to health checks show that a backend has become slow, whatever
// its load report says: three in a row, or one if another relay has sent a notice. It lowers the limit of a slow
// backend and checks a suspected one again at once.
func (b *Balancer) confirmSlow(now time.Duration, target *backend, latency time.Duration) bool {
	b.outliers.recordLatency(target, latency, lateAnswerFactor, b.health.minLateExcess())
	late := target.latency.consecutiveLate
	if late == 0 {
		return false
	}
	gossiped := now-target.latency.gossipedAt < gossipLifetime
	if late < lateAnswersToConfirm && !gossiped {
		b.checkHealth(target)
		return false
	}
	b.lowerLimit(now, target, slowBackendLimitFactor)
	if b.settings.Gossip && late == lateAnswersToConfirm {
		b.actions.SendGossip(allRelays, encodeOverloadNotice(target))
	}
	return true
}

// migrateExcess migrates connections until a backend's tracked load is within a limit. An excess of less than one
// connection migrates one with the probability excess/load: otherwise many relays with a connection or two each
// would never migrate any.
func (b *Balancer) migrateExcess(target *backend, limit float64) {
	for excess := b.loads.trackedLoad(&target.loadSums) - limit; excess > 0; {
		req := b.costliestConnection(target)
		if req == nil || b.rng.Float64()*b.loads.requestLoad(req) > excess {
			return
		}
		req.migrating = true
		excess -= b.loads.requestLoad(req)
		b.actions.Migrate(req.ID)
	}
}

// costliestConnection returns the connection to migrate first: one with a high load and few others of its group
// on the backend, since the work that a group shares is done twice after it is split.
func (b *Balancer) costliestConnection(target *backend) *request {
	var costliest *request
	highest := 0.0
	for _, req := range target.openRequests {
		if !req.established || req.migrating {
			continue
		}
		if cost := b.loads.requestLoad(req) / float64(target.groupConnections[req.hashKey]); cost > highest {
			costliest, highest = req, cost
		}
	}
	return costliest
}

// maintainBackends does the periodic work on the backends with connections or a recent overload.
func (b *Balancer) maintainBackends(now time.Duration) {
	b.concurrency.dropIdle(now)
	for _, target := range b.concurrency.maintained {
		if target.connections > 0 {
			b.outliers.latenessFor(target).seconds++
		}
		switch target.State {
		case StateDraining:
			b.migrateStep(now, target, target.stateSince+backendDrainTime, maintenanceInterval)
		case StateRemoved:
			b.migrateStep(now, target, now, maintenanceInterval)
		case StateReady:
			// With reports of message delay, a backend without a limit needs no maintenance.
			if target.concurrency.limit != 0 || !b.settings.ReportsMessageDelay {
				b.maintainLimit(now, target)
			}
		}
	}
}

// maintainLimit raises the limit of a ready backend if it had no recent overload, and starts its periodic
// health check.
func (b *Balancer) maintainLimit(now time.Duration, target *backend) {
	if now-target.concurrency.lastOverload >= overloadRecoveryTime {
		target.concurrency.raise(now, b.health.reportsUtilization())
	}
	if b.drawPeriodicCheck(target) {
		b.checkHealth(target)
	}
}
