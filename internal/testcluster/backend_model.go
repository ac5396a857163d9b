package testcluster

import (
	"math"
	"time"
)

// after has something done if the process still runs then; a pause holds it.
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

// scheduleCompletion hears from the model when its next request is done.
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

func (b *backend) completeJobs(ids []uint64, full bool) {
	for _, id := range ids {
		if do := b.jobs[id]; do != nil {
			delete(b.jobs, id)
			do(full)
		}
	}
}

// updateModel changes the model.
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

// resume lets it go on with all that has come meanwhile.
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

// utilization is what is asked of the backend over what it can do; below 0: it is down.
func (b *backend) utilization() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return -1
	}
	return min(b.model.Utilization(b.cluster.now()), math.MaxFloat32)
}
