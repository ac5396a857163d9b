package balance

import (
	"cmp"
	"time"
)

const (
	// backupLifetime is the interval at which the backups and their flags are cleared (B and F in Maat, section III-C).
	backupLifetime = 10 * time.Second

	// imbalanceConnections is the imbalance threshold Δ in connections of this relay's mean load.
	imbalanceConnections = 4.0

	// reportedImbalanceConnections is Δ in connections of the fleet's mean load. It applies if load reports show
	// the load from all relays.
	reportedImbalanceConnections = 1.25

	// checkBackupAbove is the fraction of the mean utilization above which the load of a primary causes a health
	// check of a backup without a fresh load report.
	checkBackupAbove = 0.9

	// maxGroupSpread is the number of backends that a group may use, from the start of its rendezvous order.
	maxGroupSpread = 3

	// groupFleetDivisor: a group may use one in this many of the ready backends while the fleet has spare capacity.
	groupFleetDivisor = 16
)

// backupSchedule holds when the backups were last cleared.
type backupSchedule struct {
	lastReset time.Duration
}

// isDue reports whether the backups have to be cleared again.
func (s *backupSchedule) isDue(now time.Duration) bool { return now-s.lastReset >= backupLifetime }

// choosePlacement returns the backend for a request, or nil if none can accept it. It applies the power of one
// random choice (Maat, section III, Algorithm 1): the primary keeps the request unless its load exceeds that
// of the backup by the imbalance threshold.
func (b *Balancer) choosePlacement(now time.Duration, req *request) *backend {
	primary := b.choosePrimary(now, req)
	if primary == nil {
		return nil
	}
	if bound := b.boundBackend(now, req, primary); bound != nil {
		return bound
	}
	warming := b.findWarmingBackend(now, req)
	backup := b.chooseBackup(primary, warming, req)
	if backup == nil {
		return primary
	}
	if !b.exceedsImbalanceThreshold(now, primary, backup, req) {
		return primary
	}
	backupIsWarming := backup == warming // it can accept the request, as findWarmingBackend has checked
	if !backupIsWarming && !b.canAccept(now, backup, req) {
		return primary
	}
	req.randomBackup = backup
	if b.needsHealthCheck(now, backup) { // the placement is decided, and recorded, after the check
		return backup
	}
	if !backupIsWarming {
		primary.backup, backup.isBackup = backup, true
	}
	b.sticky.store(now, req.flowKey, backup)
	return backup
}

// choosePrimary returns the first backend in the rendezvous order of the request's key, which is the same on all
// relays, or the backend that the request overflows to.
func (b *Balancer) choosePrimary(now time.Duration, req *request) *backend {
	primary := b.rendezvous.first(req.hashKey, func(*backend) bool { return true })
	if primary == nil || b.canAccept(now, primary, req) {
		return primary
	}
	return b.chooseOverflow(now, req)
}

// boundBackend returns the backend to which a stateful request has to follow its flow, or nil. Any other backend
// would reset packets of an open connection, and the work that a group shares is done twice after it is split.
func (b *Balancer) boundBackend(now time.Duration, req *request, primary *backend) *backend {
	if !req.isFirstMidStreamAttempt() && !req.grouped {
		return nil
	}
	if recorded := b.sticky.lookup(req.flowKey); recorded != nil && b.canFollow(now, recorded, req) {
		return recorded
	}
	if req.MidStream || primary.groupConnections[req.hashKey] > 0 {
		return primary
	}
	return nil
}

// canFollow reports whether a request may go to the backend that its flow was sent to. If that backend has the
// connection already, it carries the load already as well, and slow start does not apply.
func (b *Balancer) canFollow(now time.Duration, recorded *backend, req *request) bool {
	if req.isFirstMidStreamAttempt() && recorded.State == StateReady {
		return true
	}
	return b.canAccept(now, recorded, req)
}

// chooseBackup returns the backup that the primary is compared with: a warming backend, the primary's backup
// or a random one. It returns nil if the random one is the primary or the backup of another backend.
func (b *Balancer) chooseBackup(primary, warming *backend, req *request) *backend {
	if known := cmp.Or(warming, primary.backup); known != nil {
		return known
	}
	ready := b.endpoints.ready
	randomBackend := ready[b.rng.IntN(len(ready))]
	backup := cmp.Or(req.randomBackup, randomBackend)
	if backup.isBackup || backup == primary {
		return nil
	}
	return backup
}

// exceedsImbalanceThreshold reports whether the load T of the primary exceeds that of the backup by Δ. T is the load
// from all relays if load reports show it: with many relays, the connections of one relay are a poor estimate.
func (b *Balancer) exceedsImbalanceThreshold(now time.Duration, primary, backup *backend, req *request) bool {
	checkFirst := b.needsHealthCheck(now, backup)
	if !b.canCompareReports(now, primary, backup, checkFirst, req) {
		return b.relativeLoad(primary)-b.relativeLoad(backup) >= b.imbalanceThreshold()
	}
	// fleetRate is the number of arrivals at one backend from all relays for each arrival at this relay.
	fleetRate := float64(b.settings.RelayCount) / float64(len(b.endpoints.ready))
	utilizationPerConnection := b.health.meanUtilization / (max(1, float64(b.loads.total.connections)-req.recentArrivals) * fleetRate)
	// excess is the utilization of the primary, less that of the backup once it is known.
	excess := primary.health.utilization + float64(primary.health.sentSinceResult)*utilizationPerConnection
	if checkFirst {
		return excess > checkBackupAbove*b.health.meanUtilization
	}
	excess -= backup.health.utilization + float64(backup.health.sentSinceResult)*utilizationPerConnection
	exceeds := excess > reportedImbalanceConnections*utilizationPerConnection
	// All relays use the same report until the next one, so each draws whether the request is in its share of
	// the gap.
	return exceeds && b.rng.Float64()*(1+req.recentArrivals*fleetRate) < excess/utilizationPerConnection
}

// canCompareReports reports whether load reports can be compared instead of the load from this relay alone.
func (b *Balancer) canCompareReports(now time.Duration, primary, backup *backend, checkFirst bool, req *request) bool {
	if req.grouped { // groups are not split because of a load report
		return false
	}
	if !b.health.hasFleetMean() {
		return false
	}
	if !primary.health.hasFreshUtilization(now) {
		return false
	}
	return checkFirst || backup.health.hasFreshUtilization(now)
}

// imbalanceThreshold is Δ, relative to a backend of mean size.
func (b *Balancer) imbalanceThreshold() float64 {
	return imbalanceConnections * b.loads.meanConnection() / b.rendezvous.meanSize
}

// relativeLoad is T relative to the backend's size.
func (b *Balancer) relativeLoad(target *backend) float64 {
	return b.loads.trackedLoad(&target.loadSums) / target.size
}

// chooseOverflow returns the backend for a request that its primary cannot accept: one with connections of its
// group, a warming one, or the next in rendezvous order. It returns nil if its group may not spread further.
func (b *Balancer) chooseOverflow(now time.Duration, req *request) *backend {
	if holder := b.findGroupHolder(now, req); holder != nil {
		return holder
	}
	if warming := b.findWarmingBackend(now, req); warming != nil {
		return warming
	}
	next := b.rendezvous.first(req.hashKey, func(target *backend) bool { return b.canAccept(now, target, req) })
	if next == nil || !req.grouped {
		return next
	}
	if !b.mayGroupSpreadTo(now, next, req) {
		return nil
	}
	return next
}

// findGroupHolder returns the first backend that has connections of the request's group and can accept it.
func (b *Balancer) findGroupHolder(now time.Duration, req *request) *backend {
	if !req.grouped {
		return nil
	}
	return b.rendezvous.first(req.hashKey, func(target *backend) bool {
		return target.groupConnections[req.hashKey] > 0 && b.canAccept(now, target, req)
	})
}

// mayGroupSpreadTo reports whether a group may use a backend at this place in its rendezvous order. In overload,
// spreading a group connection by connection costs more capacity than it gains.
func (b *Balancer) mayGroupSpreadTo(now time.Duration, next *backend, req *request) bool {
	ahead := b.countWarmAhead(now, next, req.hashKey)
	limit := maxGroupSpread
	// Without reports of the utilization, idle backends are unknown. The part of the fleet that a group may use is
	// then half of the group's share of the requests.
	if !b.health.reportsUtilization() {
		if ahead > 0 && b.isFleetOverloaded(now) {
			return false
		}
		limit = max(limit, int(b.groups.share(req.hashKey)*float64(len(b.endpoints.ready))/2))
	}
	if ahead < limit {
		return true
	}
	// In a large fleet with spare capacity, spreading a group is better than rejecting its requests. Without
	// reports of message delay, which cut limits, a group may also use the whole of a small fleet.
	if b.settings.ReportsMessageDelay && ahead >= len(b.endpoints.ready)/groupFleetDivisor {
		return false
	}
	return b.health.meanUtilization <= fillTarget
}

// countWarmAhead counts the warm backends that come before a backend in the rendezvous order of a key.
func (b *Balancer) countWarmAhead(now time.Duration, target *backend, key uint64) int {
	ahead := 0
	score, _ := target.scoreAbove(key, 0)
	for i, slot := range b.rendezvous.slots {
		if _, ok := slot.scoreAbove(key, score); ok && b.slowStartShare(now, b.rendezvous.backends[i]) >= 1 {
			ahead++
		}
	}
	return ahead
}

// findWarmingBackend returns a backend in slow start to which this relay may send one more request now. Few relays
// have a token at a time and few keys have their primary there, so without this search cold backends would stay
// empty while others are full.
func (b *Balancer) findWarmingBackend(now time.Duration, req *request) *backend {
	return b.rendezvous.first(req.hashKey, func(target *backend) bool {
		return b.slowStartShare(now, target) < 1 && b.isEligible(now, target, req) && b.hasSlowStartToken(now, target)
	})
}

// canAccept reports whether a backend can accept a request, slow start included. Slow start applies to mid-stream
// requests as well: when a relay fails, all of its connections arrive at once.
func (b *Balancer) canAccept(now time.Duration, target *backend, req *request) bool {
	return b.isEligible(now, target, req) && b.slowStartAccepts(now, target, req)
}

// isEligible is canAccept without slow start.
func (b *Balancer) isEligible(now time.Duration, target *backend, req *request) bool {
	if target.State != StateReady {
		return false
	}
	if !b.mayRepeatAt(now, target, req) {
		return false
	}
	if req.hasTried(target) {
		return false
	}
	if req.isFirstMidStreamAttempt() { // the backend has the connection already
		return true
	}
	return !target.ejection.isActive(now) && b.isWithinLimit(target, req) && !req.hasBypassed(target)
}

// resetBackups clears the backups and their flags, and halves the weight of the past demand of groups.
func (b *Balancer) resetBackups(now time.Duration) {
	b.backups.lastReset = now
	for _, target := range b.endpoints.ready {
		target.backup, target.isBackup = nil, false
	}
	b.groups.decay()
}
