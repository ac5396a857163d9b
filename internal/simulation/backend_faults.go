package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
)

// stopBackendReading makes a backend stop reading from its connections.
func stopBackendReading(b *backend, _ Fault) (end func()) {
	b.notReading = true
	return func() { b.resumeReading() }
}

// slowBackend slows down a backend.
func slowBackend(b *backend, f Fault) (end func()) {
	b.setSlowdown(4 + 30*f.Severity)
	return func() { b.setSlowdown(1) }
}

// pauseBackend suspends a backend's process.
func pauseBackend(b *backend, _ Fault) (end func()) {
	b.pause()
	return func() {
		if b.paused {
			b.resume()
		}
	}
}

// disconnectBackend takes a backend's machine off the network. Discovery lists it as gone 5 to 12 s later.
func disconnectBackend(b *backend, f Fault) (end func()) {
	b.disconnect()
	incarnation := b.incarnation
	run := b.run
	run.engine.schedule(5*time.Second+time.Duration(f.Severity*float64(7*time.Second)), func() {
		if b.incarnation == incarnation {
			b.state = backendGone
			run.catalog.publish(b.entry())
		}
	})
	return func() {
		if b.incarnation == incarnation {
			b.launch()
		}
	}
}

// crashBackend ends a backend's process.
func crashBackend(b *backend, _ Fault) (end func()) {
	b.terminate()
	incarnation := b.incarnation
	return func() {
		if b.incarnation == incarnation {
			b.launch()
		}
	}
}

// failBackendRequests makes a backend answer a share of its requests with ERR.
func failBackendRequests(b *backend, f Fault) (end func()) {
	b.errorRate = 0.4 + 0.6*f.Severity
	return func() { b.errorRate = 0 }
}

// resetBackendConnections makes a backend answer a share of its requests with a reset.
func resetBackendConnections(b *backend, f Fault) (end func()) {
	b.resetRate = 0.3 + 0.6*f.Severity
	return func() { b.resetRate = 0 }
}

// fillBackend makes a backend answer most requests with BUSY, and a few with BYE.
func fillBackend(b *backend, f Fault) (end func()) {
	b.busyRate, b.earlyEndRate = 0.5+0.4*f.Severity, 0.05
	return func() { b.busyRate, b.earlyEndRate = 0, 0 }
}

// fillAllBackends makes all backends answer most requests with BUSY.
func fillAllBackends(run *run, f Fault) (end func()) {
	for _, b := range run.backends {
		b.busyRate = 0.6 + 0.4*f.Severity
	}
	return func() {
		for _, b := range run.backends {
			b.busyRate = 0
		}
	}
}

// spoilAnswers makes the answers of a backend to its clients' lines defective.
func spoilAnswers(defect fault.AnswerDefect) func(b *backend, f Fault) (end func()) {
	return func(b *backend, _ Fault) (end func()) {
		b.answerDefect = defect
		return func() { b.answerDefect = fault.NoAnswerDefect }
	}
}

// drainAndRestartBackend drains a backend and starts a new process after it.
func drainAndRestartBackend(b *backend, f Fault) (end func()) {
	grace := 4*time.Second + time.Duration(f.Severity*float64(12*time.Second))
	b.drainAndRestart(grace, f.Duration)
	return nil
}

// startBackends adds backends.
func startBackends(run *run, f Fault) (end func()) {
	for range 1 + int(f.Severity*3) {
		run.addBackend()
	}
	return nil
}

// slowAllBackends slows down all work on backends.
func slowAllBackends(run *run, f Fault) (end func()) {
	run.slowdown = 3 + 20*f.Severity
	return func() { run.slowdown = 1 }
}

// slowDependency slows down the dependency that all requests share.
func slowDependency(run *run, f Fault) (end func()) {
	if run.dependency == nil {
		return nil
	}
	run.dependency.SetSlowdown(1 + 20*f.Severity)
	return func() { run.dependency.SetSlowdown(1) }
}

// cutBackendPower ends all backends at once. They start again one after the other, cold.
func cutBackendPower(run *run, f Fault) (end func()) {
	for i, b := range run.backends {
		if b.up {
			b.terminate()
			run.engine.schedule(f.Duration+time.Duration(i)*200*time.Millisecond, b.launch)
		}
	}
	return nil
}

// disconnectZone takes all backends of a zone off the network. Discovery lists them as gone up to 6 s later.
func disconnectZone(run *run, f Fault) (end func()) {
	for _, b := range run.backends {
		if b.up && b.zone == f.Target%len(zones) {
			b.disconnect()
			run.engine.schedule(f.Duration, b.launch)
			run.engine.schedule(time.Duration(f.Severity*float64(6*time.Second)), func() {
				if !b.up {
					b.state = backendGone
					run.catalog.publish(b.entry())
				}
			})
		}
	}
	return nil
}

// onSomeBackends applies a fault of one backend to one backend or, above a severity of 0.4, to up to a third of them.
func onSomeBackends(begin func(b *backend, f Fault) func()) func(run *run, f Fault) func() {
	return func(run *run, f Fault) func() {
		n := 1
		if f.Severity > 0.4 {
			n = max(1, int(f.Severity*float64(len(run.backends))/3))
		}
		var ends []func()
		for i := range n {
			b := run.backends[(f.Target+i)%len(run.backends)]
			if !b.up || b.state != backendReady {
				continue
			}
			if end := begin(b, f); end != nil {
				ends = append(ends, end)
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
}
