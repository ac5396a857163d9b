package balance

import (
	"slices"
	"time"
)

const (
	// fillTarget is the part of its capacity that a backend is filled to; fillTargetByReports applies
	// where only load reports show overload, since they are old.
	fillTarget          = 0.75
	fillTargetByReports = 0.6

	// relieveAbove is the utilization from which connections are migrated.
	relieveAbove = 0.9

	// keepAfterOverload is the part of its load that a backend keeps after it has shown overload,
	// keepAfterReset where resets are its first sign: reports of message delay would have lowered the
	// limit before, so what it holds is late.
	keepAfterOverload = 0.85
	keepAfterReset    = 0.5

	// keepWhenSlow is the part of its load that a backend keeps after late health checks have shown it to
	// be slow.
	keepWhenSlow = 0.5

	// minKeepByReport is the least part of its load that a backend keeps after a load report.
	minKeepByReport = 0.5

	// keepLostByLateness is the part of its load that a backend loses for each late-message threshold of
	// delay, down to minKeepByLateness.
	keepLostByLateness = 0.05
	minKeepByLateness  = 0.5
	minKeepByBacklog   = 0.1

	// backlogDrainTime is the time within which queued work is to be worked off.
	backlogDrainTime = time.Second

	// minLimitCutInterval is the least time between two cuts of a limit.
	minLimitCutInterval = time.Second

	// quietTime is the time without overload after which a limit rises.
	quietTime = 2 * time.Second

	// limitGrowth is by how much a limit rises in a quiet second; cautiousLimitGrowth near the load at
	// which the backend was overloaded, from fastRecoveryShare of it on, for cautiousTime.
	limitGrowth         = 1.1
	cautiousLimitGrowth = 1.02
	fastRecoveryShare   = 0.8
	cautiousTime        = 8 * time.Second

	// limitLifetime is how long the limit of a backend without connections is kept.
	limitLifetime = 10 * time.Second

	// lateMemory is how long a backend counts as late after it has shown overload.
	lateMemory = 4 * time.Second

	// fleetSampleDivisor: one in so many of the backends may represent the fleet.
	fleetSampleDivisor = 10
)

// concurrencyLimit is the adaptive limit of one backend, in the unit of its tracked load.
type concurrencyLimit struct {
	limit          float64 // highest tracked load that the backend may have; 0: no limit
	loadAtOverload float64 // tracked load that it had when the overload began
	lastOverload   time.Duration
	watched        bool // it is in concurrencyLimiter.watched
}

// raise raises the limit after a quiet second.
func (c *concurrencyLimit) raise(now time.Duration, hasReports bool) {
	if c.limit < fastRecoveryShare*c.loadAtOverload || now-c.lastOverload > cautiousTime || hasReports {
		c.limit *= limitGrowth
	} else {
		c.limit *= cautiousLimitGrowth
	}
}

// remove ends the limit.
func (c *concurrencyLimit) remove() { c.limit = 0 }

// rescale follows a change of the unit of the load.
func (c *concurrencyLimit) rescale(factor float64) {
	c.limit *= factor
	c.loadAtOverload *= factor
}

// concurrencyLimiter holds the backends that need upkeep of their limits.
type concurrencyLimiter struct {
	watched []*backend // with connections of this relay, or that had a limit lately
}

// watch adds a backend to the maintenance.
func (c *concurrencyLimiter) watch(target *backend) {
	if !target.concurrency.watched {
		target.concurrency.watched = true
		c.watched = append(c.watched, target)
	}
}

// dropIdle ends the maintenance of backends without connections whose limit is old, and removes the limit.
func (c *concurrencyLimiter) dropIdle(now time.Duration) {
	c.watched = slices.DeleteFunc(c.watched, func(s *backend) bool {
		s.concurrency.watched = s.connections > 0 || now-s.concurrency.lastOverload < limitLifetime
		if !s.concurrency.watched {
			s.concurrency.remove()
		}
		return !s.concurrency.watched
	})
}

// hasRoom reports whether a backend can take a request within its limit. One that this relay has no
// connection on always can where it is checked first.
func (b *Balancer) hasRoom(target *backend, req *request) bool {
	limit := target.concurrency.limit
	if limit == 0 {
		return true
	}
	if b.settings.HealthChecks && target.connections == 0 && target.otherProcess == 0 {
		return true
	}
	return b.loads.sum(&target.loadSums)+b.loads.of(req) <= limit
}

// countNearLimit counts the backends that are short of room.
func (b *Balancer) countNearLimit() int {
	near := 0
	for _, s := range b.concurrency.watched {
		if limit := s.concurrency.limit; limit > 0 && b.loads.sum(&s.loadSums) >= nearLimit*limit {
			near++
		}
	}
	return near
}

// isFleetLate reports whether half of the backends that this relay has connections on were late recently,
// if they are enough of the fleet to represent it. A single one may be at fault itself.
func (b *Balancer) isFleetLate(now time.Duration) bool {
	late := 0
	for _, s := range b.concurrency.watched {
		if s.concurrency.limit > 0 && now-s.concurrency.lastOverload < lateMemory {
			late++
		}
	}
	return late > 1 && 2*late >= len(b.concurrency.watched) && fleetSampleDivisor*late >= len(b.endpoints.ready)
}

// limitOnFailure lowers the limit of a backend whose attempt or connection ended in a way that shows
// overload. Without that, what it drops comes straight back.
func (b *Balancer) limitOnFailure(now time.Duration, req *request, status Status, isolatedReset bool) {
	switch status {
	case StatusOverloaded:
		b.lowerLimit(now, req.backend, keepAfterOverload)
	case StatusReset:
		if !req.established || req.backend.State != StateReady || isolatedReset {
			return
		}
		keep := keepAfterOverload
		if !b.settings.ReportsMessageDelay {
			keep = keepAfterReset
		}
		b.lowerLimit(now, req.backend, keep)
	}
}

// recordLateMessage lowers the limit of a backend by the delay of its messages, in milliseconds. What is
// queued there keeps all messages late until it is worked off, so what stays has to leave room for that
// within backlogDrainTime.
func (b *Balancer) recordLateMessage(now time.Duration, target *backend, delayMillis float64) {
	b.outliers.kind(target).late++
	keepByLateness := max(minKeepByLateness, 1-keepLostByLateness*delayMillis/b.health.lateMessageMillis)
	keepByBacklog := 1 - delayMillis/float64(backlogDrainTime/time.Millisecond)
	keep := min(keepByLateness, keepByBacklog)
	if !b.health.reportsUtilization() {
		// All relays see the backlog and each lowers its limit: the more relays, the less would stay.
		b.lowerLimit(now, target, max(minKeepByLateness, keep))
		return
	}
	// Where load reports set the limit, reports of message delay would lower it to the floor while
	// everything is slow; one that claims room is stale or wrong.
	if target.concurrency.limit == 0 || target.health.utilization < fillTarget || keepByBacklog < keepByLateness {
		b.lowerLimit(now, target, max(minKeepByBacklog, keep))
	}
}

// lowerLimit limits a backend to a part of its tracked load and migrates what is over.
func (b *Balancer) lowerLimit(now time.Duration, target *backend, keep float64) {
	c := &target.concurrency
	if target.connections == 0 || now-c.lastOverload < minLimitCutInterval && c.limit > 0 {
		return
	}
	load := b.loads.sum(&target.loadSums)
	if c.limit == 0 || now-c.lastOverload > quietTime {
		c.loadAtOverload = load
	}
	c.lastOverload = now
	if c.limit > 0 {
		load = min(load, c.limit)
	}
	c.limit = max(load, b.loads.meanConnection()) * keep
	b.migrateExcess(target, c.limit)
}

// limitByReport sets the limit of a backend by its load report.
func (b *Balancer) limitByReport(now time.Duration, target *backend, report *loadReport, took time.Duration) {
	relieveFrom, fillTo := b.reportThresholds()
	if !b.settings.ReportsMessageDelay && b.isConfirmedSlow(now, target, took) {
		report.utilization = max(report.utilization, 1)
	}
	if report.utilization > 0 && target.connections > 0 {
		b.applyReport(now, target, report.utilization, relieveFrom, fillTo)
	}
}

// reportThresholds returns the utilization from which a backend is relieved, and that which it is then filled
// to. Where load reports alone show overload both are lower, since reports are old; unless the whole fleet is
// known to be fuller: there is nowhere to move to then, and clients would only be turned away.
func (b *Balancer) reportThresholds() (relieveFrom, fillTo float64) {
	if b.settings.ReportsMessageDelay {
		return relieveAbove, fillTarget
	}
	if b.health.knowsFleet() && b.health.meanUtilization > fillTargetByReports {
		return relieveAbove, fillTarget
	}
	return fillTarget, fillTargetByReports
}

// applyReport limits a backend to what fills it to fillTo, and migrates what is over if its utilization exceeds
// relieveFrom. Where reports of message delay show overload, they alone start a limit.
func (b *Balancer) applyReport(now time.Duration, target *backend, utilization, relieveFrom, fillTo float64) {
	c, full := &target.concurrency, utilization > relieveFrom
	if c.limit == 0 && (!full || b.settings.ReportsMessageDelay) {
		return
	}
	quiet := now-c.lastOverload >= quietTime
	limit := b.loads.sum(&target.loadSums) * max(minKeepByReport, fillTo/utilization)
	if c.limit == 0 || limit < c.limit || quiet {
		c.limit = limit
	}
	if full && quiet { // else the last relief may not show in the report yet
		c.lastOverload = now
		b.migrateExcess(target, c.limit)
	}
}

// isConfirmedSlow reports whether late answers to health checks show that a backend works more slowly,
// however low the load in its old report: three in a row, or one and the notice of another relay. It
// lowers the limit then, and checks again after a first one.
func (b *Balancer) isConfirmedSlow(now time.Duration, target *backend, took time.Duration) bool {
	b.outliers.recordLatency(target, took, lateAnswerFactor, b.health.minLateExcess())
	late := target.latency.consecutiveLate
	if late == 0 {
		return false
	}
	gossiped := now-target.latency.gossipedAt < gossipLifetime
	if late < lateAnswersToConfirm && !gossiped {
		b.checkHealth(target)
		return false
	}
	b.lowerLimit(now, target, keepWhenSlow)
	if b.settings.Gossip && late == lateAnswersToConfirm {
		b.actions.SendGossip(allRelays, encodeOverloadNotice(target))
	}
	return true
}

// migrateExcess migrates connections until a backend's tracked load is within a limit. The last one is
// drawn in proportion to what is over: of many relays with a connection or two each, none would ever be
// over by a whole one.
func (b *Balancer) migrateExcess(target *backend, limit float64) {
	for excess := b.loads.sum(&target.loadSums) - limit; excess > 0; {
		req := b.costliestConnection(target)
		if req == nil || b.rng.Float64()*b.loads.of(req) > excess {
			return
		}
		req.migrating = true
		excess -= b.loads.of(req)
		b.actions.Migrate(req.ID)
	}
}

// costliestConnection returns the connection to migrate first: a heavy one, with few others of its group,
// since a split group costs twice.
func (b *Balancer) costliestConnection(target *backend) *request {
	var costliest *request
	highest := 0.0
	for _, req := range target.openRequests {
		if !req.established || req.migrating {
			continue
		}
		if cost := b.loads.of(req) / float64(target.groupConnections[req.hashKey]); cost > highest {
			costliest, highest = req, cost
		}
	}
	return costliest
}

// maintainBackends does the periodic work on the backends with connections or a limit.
func (b *Balancer) maintainBackends(now time.Duration) {
	b.concurrency.dropIdle(now)
	for _, s := range b.concurrency.watched {
		if s.connections > 0 {
			b.outliers.kind(s).seconds++
		}
		switch s.State {
		case StateDraining:
			b.migrateStep(now, s, s.stateSince+backendDrainTime, maintenanceInterval)
		case StateRemoved:
			b.migrateStep(now, s, now, maintenanceInterval)
		case StateReady:
			// Where reports of message delay show overload, a backend without a limit needs nothing.
			if s.concurrency.limit != 0 || !b.settings.ReportsMessageDelay {
				b.maintainLimit(now, s)
			}
		}
	}
}

// maintainLimit raises the limit of a ready backend and checks its health.
func (b *Balancer) maintainLimit(now time.Duration, target *backend) {
	if now-target.concurrency.lastOverload >= quietTime {
		target.concurrency.raise(now, b.health.reportsUtilization())
	}
	if b.isDueForPeriodicCheck(target) {
		b.checkHealth(target)
	}
}
