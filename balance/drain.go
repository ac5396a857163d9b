package balance

import "time"

const (
	// backendDrainTime is the time within which the connections of a draining backend are migrated.
	backendDrainTime = 8 * time.Second

	// drainStepInterval is the interval at which a draining relay migrates connections.
	drainStepInterval = 100 * time.Millisecond
)

// drainState is the progress of draining this relay.
type drainState struct {
	deadline time.Duration // time by which all connections have to be migrated; 0: not draining
	timerSet bool
}

// DrainBy migrates all connections off this relay by a deadline, because it stops or is drained; 0 ends the
// draining. New requests are still served. Nothing is migrated with Settings.PassThrough: another relay takes
// over the connections.
func (b *Balancer) DrainBy(_, deadline time.Duration) {
	if b.settings.PassThrough {
		return
	}
	if deadline > 0 && b.drain.deadline > 0 {
		deadline = min(deadline, b.drain.deadline) // stopping a draining relay does not extend the deadline
	}
	b.drain.deadline = deadline
	if deadline > 0 && !b.drain.timerSet {
		b.drain.timerSet = true
		b.actions.SetTimer(drainTimer, 0)
	}
}

// runDrainStep migrates the connections of one drain step off this relay and sets the timer for the next step.
func (b *Balancer) runDrainStep(now time.Duration) {
	b.drain.timerSet = b.drain.deadline > 0
	if !b.drain.timerSet {
		return
	}
	for _, target := range b.concurrency.maintained {
		b.migrateStep(now, target, b.drain.deadline, drainStepInterval)
	}
	b.actions.SetTimer(drainTimer, drainStepInterval)
}

// migrateStep migrates one step's part of a backend's load, so that equal steps migrate all of it by the deadline.
func (b *Balancer) migrateStep(now time.Duration, target *backend, deadline, step time.Duration) {
	fraction := float64(step) / float64(max(step, deadline-now))
	b.migrateExcess(target, b.loads.trackedLoad(&target.loadSums)*(1-fraction))
}
