package testcluster

import (
	"math"
	"time"
)

// runAfter calls do after a delay if the same process is still running then. While the process is paused, the call
// waits for its end. It is called with the lock held.
func (b *backend) runAfter(d time.Duration, do func()) {
	life := b.generation
	b.cluster.runAfter(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		switch {
		case b.generation != life || !b.up:
		case b.paused:
			b.backlog = append(b.backlog, do)
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
	life := b.generation
	b.timer = time.AfterFunc(max(0, at-b.cluster.now()), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.generation == life && b.up {
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

func (b *backend) slowDown(times float64) {
	b.updateModel(func(now time.Duration) { b.model.SetSlowdown(now, times) })
}

func (b *backend) pause() {
	b.updateModel(func(now time.Duration) {
		b.paused = true
		b.model.Pause(now)
	})
}

// resume continues a paused process with everything that arrived meanwhile.
func (b *backend) resume() {
	b.updateModel(func(now time.Duration) {
		b.paused = false
		_, full := b.model.Resume(now)
		b.completeJobs(full, true)
		for _, do := range b.backlog {
			do()
		}
		b.backlog = nil
	})
}

// utilization is the backend's demand divided by its capacity; below 0: it is down.
func (b *backend) utilization() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return -1
	}
	return min(b.model.Utilization(b.cluster.now()), math.MaxFloat32)
}
