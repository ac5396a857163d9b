package testcluster

import (
	"math"
	"time"
)

// runAfter calls do after a delay if the same process is still running then. If the process is paused, the call is
// deferred until it resumes. runAfter is called with the lock held.
func (b *backend) runAfter(d time.Duration, do func()) {
	generation := b.generation
	b.cluster.runAfter(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		switch {
		case b.generation != generation || !b.up:
		case b.paused:
			b.deferredCalls = append(b.deferredCalls, do)
		default:
			do()
		}
	})
}

// scheduleCompletion sets the timer for the next request that the model will complete. It is called with the lock
// held.
func (b *backend) scheduleCompletion() {
	at, ok := b.model.NextCompletion()
	if !ok {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	generation := b.generation
	b.timer = time.AfterFunc(max(0, at-b.cluster.now()), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.generation == generation && b.up {
			b.completeJobs(b.model.Complete(b.cluster.now()), false)
			b.scheduleCompletion()
		}
	})
}

// completeJobs finishes requests that the model has completed, or rejected because its queue was full.
func (b *backend) completeJobs(ids []uint64, full bool) {
	for _, id := range ids {
		if do := b.jobs[id]; do != nil {
			delete(b.jobs, id)
			do(full)
		}
	}
}

// updateModel changes the model and sets the timer for its next completion.
func (b *backend) updateModel(do func(now time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do(b.cluster.now())
	b.scheduleCompletion()
}

func (b *backend) slowDown(factor float64) {
	b.updateModel(func(now time.Duration) { b.model.SetSlowdown(now, factor) })
}

func (b *backend) pause() {
	b.updateModel(func(now time.Duration) {
		b.paused = true
		b.model.Pause(now)
	})
}

// resume continues a paused process and makes the calls that were deferred meanwhile.
func (b *backend) resume() {
	b.updateModel(func(now time.Duration) {
		b.paused = false
		_, full := b.model.Resume(now)
		b.completeJobs(full, true)
		for _, do := range b.deferredCalls {
			do()
		}
		b.deferredCalls = nil
	})
}

// utilization returns the backend's demand divided by its capacity, or -1 if it is down.
func (b *backend) utilization() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return -1
	}
	return min(b.model.Utilization(b.cluster.now()), math.MaxFloat32)
}
