package simulation

import (
	"time"

	"aspenbarrow/internal/emulator"
)

// prepareModel sets up the shared dependency and the measurement of the service, which only runs with
// Options.Installation have.
func (run *run) prepareModel(installation *Installation) {
	run.dependencyWaiters = map[uint64]func(){}
	if installation.DependencySlots > 0 {
		run.dependency = emulator.NewDependency(installation.DependencySlots)
	}
	run.serviceByClass = make([]ServiceSecond, len(run.classes))
	run.engine.schedule(time.Second, run.measureService)
}

// acquireDependency waits for a slot of the shared dependency, holds it for the hold time and calls then.
func (run *run) acquireDependency(then func()) {
	run.lastDependencyWaiter++
	run.dependencyWaiters[run.lastDependencyWaiter] = then
	run.dependency.Acquire(run.engine.now, run.lastDependencyWaiter, run.options.Installation.DependencyHoldTime)
	run.scheduleDependencyRelease()
}

// scheduleDependencyRelease schedules the next release of a slot.
func (run *run) scheduleDependencyRelease() {
	at, ok := run.dependency.NextRelease()
	if !ok || run.dependencyTimer > run.engine.now && run.dependencyTimer <= at {
		return
	}
	run.dependencyTimer = max(at, run.engine.now)
	run.engine.scheduleAt(run.dependencyTimer, func() {
		run.dependencyTimer = 0
		for _, id := range run.dependency.Release(run.engine.now) {
			then := run.dependencyWaiters[id]
			delete(run.dependencyWaiters, id)
			then()
		}
		run.scheduleDependencyRelease()
	})
}
