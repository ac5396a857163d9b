package balance

import "time"

const (
	// backendDrainTime is the time within which the connections of a draining backend are migrated.
	backendDrainTime = 8 * time.Second

	// drainStep is the time between two migrations off a relay that drains.
	drainStep = 100 * time.Millisecond
)

// drainState is the draining of this relay.
type drainState struct {
	deadline time.Duration // no connection may be left by then; 0: not draining
	timerSet bool
}

// DrainBy migrates all connections off this relay by a time, since it stops or is drained; 0 ends the
// draining. New requests are served meanwhile. Where packets pass through, nothing is migrated: another
// relay continues the connections.
func (b *Balancer) DrainBy(_, deadline time.Duration) {
	if b.settings.PassThrough {
		return
	}
	if deadline > 0 && b.drain.deadline > 0 {
		deadline = min(deadline, b.drain.deadline) // stopping a relay that drains does not prolong it
	}
	b.drain.deadline = deadline
	if deadline > 0 && !b.drain.timerSet {
		b.drain.timerSet = true
		b.actions.SetTimer(drainTimer, 0)
	}
}

// runDrainStep migrates the connections due by now off this relay.
func (b *Balancer) runDrainStep(now time.Duration) {
	b.drain.timerSet = b.drain.deadline > 0
	if !b.drain.timerSet {
		return
	}
	for _, s := range b.concurrency.watched {
		b.migrateStep(now, s, b.drain.deadline, drainStep)
	}
	b.actions.SetTimer(drainTimer, drainStep)
}

// migrateStep migrates a backend's connections by a deadline in equal parts, one in each step.
func (b *Balancer) migrateStep(now time.Duration, target *backend, deadline, step time.Duration) {
	part := float64(step) / float64(max(step, deadline-now))
	b.migrateExcess(target, b.loads.sum(&target.loadSums)*(1-part))
}
