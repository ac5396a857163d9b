package balance

import (
	"cmp"
	"time"
)

const (
	// backupLifetime is how long a backup is kept; B and F of the paper are cleared this often (section
	// III-C).
	backupLifetime = 10 * time.Second

	// imbalanceConnections is the imbalance threshold Δ in usual connections of this relay.
	imbalanceConnections = 4.0

	// reportedImbalanceConnections is Δ in usual connections of any relay, where load reports show what all
	// relays hold on a backend.
	reportedImbalanceConnections = 1.25

	// checkBackupAbove is the fraction of the mean utilization from which a primary has its unknown backup
	// checked.
	checkBackupAbove = 0.9

	// groupSpread bounds the backends that a group may use to the first ones of its rendezvous order.
	groupSpread = 3

	// groupFleetDivisor: a group may use one in so many of the backends while there is room.
	groupFleetDivisor = 16
)

// backupSchedule says when the backups were cleared.
type backupSchedule struct {
	lastReset time.Duration
}

// isDue reports whether the backups have to be cleared again.
func (s *backupSchedule) isDue(now time.Duration) bool { return now-s.lastReset >= backupLifetime }

// choosePlacement returns the backend for a request, or nil if none may take it. It applies the power of one
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
	backupIsWarming := backup == warming // and then known to accept the request
	if !backupIsWarming && !b.canAccept(now, backup, req) {
		return primary
	}
	req.randomBackup = backup
	if b.needsHealthCheck(now, backup) { // only its answer decides: nothing is recorded before
		return backup
	}
	if !backupIsWarming {
		primary.backup, backup.isBackup = backup, true
	}
	b.sticky.remember(now, req.flowKey, backup)
	return backup
}

// choosePrimary returns the first backend in the rendezvous order of the request's key, which all relays
// share, or the one that it overflows to.
func (b *Balancer) choosePrimary(now time.Duration, req *request) *backend {
	primary := b.ring.first(req.hashKey, func(*backend) bool { return true })
	if primary == nil || b.canAccept(now, primary, req) {
		return primary
	}
	return b.chooseOverflow(now, req)
}

// boundBackend returns the backend that a stateful request has to follow its flow to, or nil. Packets of an
// open connection would be reset elsewhere, and a split group costs its shared work twice.
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

// canFollow reports whether a request may go where its flow was sent. A backend that holds the connection
// already carries its load, cold or not.
func (b *Balancer) canFollow(now time.Duration, recorded *backend, req *request) bool {
	if req.isFirstMidStreamAttempt() && recorded.State == StateReady {
		return true
	}
	return b.canAccept(now, recorded, req)
}

// chooseBackup returns the backup that the primary is compared with: a warming backend, the primary's backup
// or a random one. It returns nil where the random one is the primary or another's backup.
func (b *Balancer) chooseBackup(primary, warming *backend, req *request) *backend {
	if known := cmp.Or(warming, primary.backup); known != nil {
		return known
	}
	ready := b.endpoints.ready
	drawn := ready[b.rng.IntN(len(ready))]
	backup := cmp.Or(req.randomBackup, drawn)
	if backup.isBackup || backup == primary {
		return nil
	}
	return backup
}

// exceedsImbalanceThreshold reports whether the load T of the primary exceeds that of the backup by Δ. Where
// load reports show it, T is what all relays hold: with many relays, the connections of one say little.
func (b *Balancer) exceedsImbalanceThreshold(now time.Duration, primary, backup *backend, req *request) bool {
	checkFirst := b.needsHealthCheck(now, backup)
	if !b.canCompareReports(now, primary, backup, checkFirst, req) {
		return b.relativeLoad(primary)-b.relativeLoad(backup) >= b.imbalanceThreshold()
	}
	// fleetRate is the arrivals at one backend from all relays for each arrival at this relay.
	fleetRate := float64(b.settings.RelayCount) / float64(len(b.endpoints.ready))
	perConnection := b.health.meanUtilization / (max(1, float64(b.loads.total.connections)-req.recentArrivals) * fleetRate)
	lead := primary.health.utilization + float64(primary.health.sentSince)*perConnection
	if checkFirst {
		return lead > checkBackupAbove*b.health.meanUtilization
	}
	lead -= backup.health.utilization + float64(backup.health.sentSince)*perConnection
	exceeds := lead > reportedImbalanceConnections*perConnection
	// All relays read the same report until the next one: each fills its part of the gap, by chance.
	return exceeds && b.rng.Float64()*(1+req.recentArrivals*fleetRate) < lead/perConnection
}

// canCompareReports reports whether load reports can be compared instead of this relay's own connections.
func (b *Balancer) canCompareReports(now time.Duration, primary, backup *backend, checkFirst bool, req *request) bool {
	if req.grouped { // a report is no reason to split a group
		return false
	}
	if !b.health.knowsFleet() {
		return false
	}
	if !primary.health.hasFreshUtilization(now) {
		return false
	}
	return checkFirst || backup.health.hasFreshUtilization(now)
}

// imbalanceThreshold is Δ, relative to a backend of mean size.
func (b *Balancer) imbalanceThreshold() float64 {
	return imbalanceConnections * b.loads.meanConnection() / b.ring.meanSize
}

// relativeLoad is T relative to the backend's size.
func (b *Balancer) relativeLoad(target *backend) float64 {
	return b.loads.sum(&target.loadSums) / target.size
}

// chooseOverflow returns the backend for a request that its primary cannot accept: one that holds
// connections of its group, a warming one, or the next in rendezvous order. It returns nil where its group
// may not spread further.
func (b *Balancer) chooseOverflow(now time.Duration, req *request) *backend {
	if holder := b.findGroupHolder(now, req); holder != nil {
		return holder
	}
	if warming := b.findWarmingBackend(now, req); warming != nil {
		return warming
	}
	next := b.ring.first(req.hashKey, func(s *backend) bool { return b.canAccept(now, s, req) })
	if next == nil || !req.grouped {
		return next
	}
	if !b.mayGroupSpreadTo(now, next, req) {
		return nil
	}
	return next
}

// findGroupHolder returns the first backend that holds connections of the request's group and can accept it.
func (b *Balancer) findGroupHolder(now time.Duration, req *request) *backend {
	if !req.grouped {
		return nil
	}
	return b.ring.first(req.hashKey, func(s *backend) bool {
		return s.groupConnections[req.hashKey] > 0 && b.canAccept(now, s, req)
	})
}

// mayGroupSpreadTo reports whether a group may use a backend this far down its rendezvous order. In overload,
// groups that scatter connection by connection cost more than they bring.
func (b *Balancer) mayGroupSpreadTo(now time.Duration, next *backend, req *request) bool {
	ahead := b.countWarmAhead(now, next, req.hashKey)
	limit := groupSpread
	if !b.health.reportsUtilization() { // no report shows idle backends: half its share of the fleet
		if ahead > 0 && b.isFleetLate(now) {
			return false
		}
		limit = max(limit, int(b.groups.share(req.hashKey)*float64(len(b.endpoints.ready))/2))
	}
	if ahead < limit {
		return true
	}
	// A large fleet that has room serves a group better spread out than waiting. Where reports of message
	// delay do not cut limits, a small fleet may be used whole as well.
	if b.settings.ReportsMessageDelay && ahead >= len(b.endpoints.ready)/groupFleetDivisor {
		return false
	}
	return b.health.meanUtilization <= fillTarget
}

// countWarmAhead counts the warm backends before one in the rendezvous order of a key.
func (b *Balancer) countWarmAhead(now time.Duration, target *backend, key uint64) int {
	ahead := 0
	score, _ := target.scoreAbove(key, 0)
	for i, slot := range b.ring.slots {
		if _, ok := slot.scoreAbove(key, score); ok && b.slowStartShare(now, b.ring.backends[i]) >= 1 {
			ahead++
		}
	}
	return ahead
}

// findWarmingBackend returns a backend in slow start that this relay may send one more request now. Few
// relays may at a time, and few keys have their primary there: without it, cold backends stay empty while
// others are full.
func (b *Balancer) findWarmingBackend(now time.Duration, req *request) *backend {
	return b.ring.first(req.hashKey, func(s *backend) bool {
		return b.slowStartShare(now, s) < 1 && b.isEligible(now, s, req) && b.hasSlowStartToken(now, s)
	})
}

// canAccept reports whether a backend can take a request, slow start included. Slow start holds mid-stream
// too: when a relay dies, all its connections arrive at once.
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
	if req.isFirstMidStreamAttempt() { // the backend carries the connection already
		return true
	}
	return !target.ejection.isActive(now) && b.hasRoom(target, req) && !req.hasBypassed(target)
}

// resetBackups clears the backups and their flags, and halves the weight of the groups' past demand.
func (b *Balancer) resetBackups(now time.Duration) {
	b.backups.lastReset = now
	for _, s := range b.endpoints.ready {
		s.backup, s.isBackup = nil, false
	}
	b.groups.decay()
}
