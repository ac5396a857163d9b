package simulation

import (
	"slices"
	"time"

	"aspenbarrow/internal/emulator"
)

// backend is a server of the line protocol. It is slower the more it holds, starts cold, drains, pauses, fails and
// disappears.
type backend struct {
	*host
	run          *run
	id           int
	name         string
	zone         int
	state        string
	started      time.Duration // 0: before the run
	serviceTime  time.Duration // of a request on an idle backend
	slowdown     float64       // multiplies the time of all work
	errorRate    float64       // share of requests answered ERR
	busyRate     float64       // share of requests answered BUSY
	resetRate    float64       // share of requests answered with a reset
	earlyEndRate float64       // share of requests answered BYE, that is, served and ended at once
	paused       bool
	notReading   bool            // reads nothing from its connections
	coldRequests []time.Duration // when requests came within the overload window of a cold start
	backlog      []func()        // work that was due while paused
	sessionCount int
	receiptCount int
	relativeSize float64          // cores relative to Installation.Server.Cores
	model        *emulator.Server // nil: drawn delays
	pendingJobs  map[uint64]func(rejected bool)
	lastJob      uint64
	modelTimer   time.Duration
}

// entry is the backend as discovery lists it.
func (b *backend) entry() endpointEntry {
	weight := 1.0
	if installation := b.run.options.Installation; installation != nil && installation.ListsWeights {
		weight = b.relativeSize
	}
	return endpointEntry{
		id:      b.name,
		address: b.addr,
		zone:    zones[b.zone],
		cell:    b.id % 2,
		state:   b.state,
		weight:  weight,
		started: b.started,
	}
}

// launch starts a new process. Unless it runs from the start, discovery learns of it.
func (b *backend) launch() {
	b.start()
	b.state, b.slowdown, b.errorRate, b.busyRate, b.resetRate, b.earlyEndRate = backendReady, 1, 0, 0, 0, 0
	b.paused, b.notReading, b.backlog, b.sessionCount, b.coldRequests = false, false, nil, 0, nil
	b.onAccept = b.acceptConn
	if b.model != nil && b.engine.now > epoch {
		b.model.Restart(b.engine.now)
		b.pendingJobs, b.modelTimer = map[uint64]func(bool){}, 0
	}
	if b.model != nil {
		server := b.run.options.Installation.Server
		b.run.loadRecorder.BackendUp(b.engine.now-epoch, b.id, b.relativeSize*server.Cores*server.Speed)
	}
	if b.engine.now > epoch {
		b.started = b.engine.now.Truncate(time.Millisecond)
		b.run.checker.BackendStarted(b.id, b.started)
		b.run.catalog.publish(b.entry())
	}
}

// drain announces the end of the process and ends it after a while.
func (b *backend) drain(grace time.Duration) {
	if !b.up || b.state != backendReady {
		return
	}
	b.state = backendDraining
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id) // from now on it should hold no load
	b.run.catalog.publish(b.entry())
	incarnation := b.incarnation
	b.engine.schedule(grace, func() {
		if b.incarnation == incarnation {
			b.terminate()
		}
	})
}

// release drains a backend and starts a new process some time after the old one has ended.
func (b *backend) release(grace, pause time.Duration) {
	b.drain(grace)
	incarnation := b.incarnation
	b.engine.schedule(grace+pause, func() {
		if b.incarnation == incarnation+1 && !b.up {
			b.launch()
		}
	})
}

// terminate ends the process; discovery learns of it.
func (b *backend) terminate() {
	if !b.up {
		return
	}
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id)
	b.kill()
	b.state = backendGone
	b.run.catalog.publish(b.entry())
}

// disconnect takes the machine off the network; discovery does not learn of it by itself.
func (b *backend) disconnect() {
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id)
	b.host.disconnect()
}

// setSlowdown multiplies the time that all work takes.
func (b *backend) setSlowdown(times float64) {
	b.slowdown = times
	if b.model != nil {
		b.model.SetSlowdown(b.engine.now, times)
		b.scheduleModel()
	}
}

// pause suspends the process; resume lets it continue.
func (b *backend) pause() {
	b.paused = true
	if b.model != nil {
		b.model.Pause(b.engine.now)
	}
}

// submitWork has the model do a piece of work and, where the run has one, the shared dependency after it. done says
// whether the work was rejected.
func (b *backend) submitWork(work float64, done func(rejected bool)) {
	b.lastJob++
	id, incarnation := b.lastJob, b.incarnation
	switch b.model.Arrive(b.engine.now, emulator.Request{ID: id, Work: work}) {
	case emulator.Rejected:
		done(true)
	case emulator.Crashed:
		b.run.count("cold backend fell over")
		b.terminate()
	case emulator.Accepted, emulator.Queued:
		b.pendingJobs[id] = func(rejected bool) {
			switch {
			case b.incarnation != incarnation:
			case rejected || b.run.dependency == nil:
				done(rejected)
			default:
				b.run.acquireDependency(func() {
					if b.incarnation == incarnation {
						done(false)
					}
				})
			}
		}
	}
	b.scheduleModel()
}

// scheduleModel schedules the model's next completion.
func (b *backend) scheduleModel() {
	at, ok := b.model.NextCompletion()
	if !ok || b.modelTimer > b.engine.now && b.modelTimer <= at {
		return
	}
	incarnation := b.incarnation
	b.modelTimer = max(at, b.engine.now)
	b.engine.scheduleAt(b.modelTimer, func() {
		if b.incarnation != incarnation {
			return
		}
		b.modelTimer = 0
		b.finishJobs(b.model.Complete(b.engine.now), false)
		b.scheduleModel()
	})
}

// finishJobs calls the callbacks of jobs that were done or rejected.
func (b *backend) finishJobs(ids []uint64, rejected bool) {
	for _, id := range ids {
		if do := b.pendingJobs[id]; do != nil {
			delete(b.pendingJobs, id)
			do(rejected)
		}
	}
}

// afterServiceTime calls do after a service time, or once the process has resumed if it is paused then.
func (b *backend) afterServiceTime(d time.Duration, do func()) {
	incarnation := b.incarnation
	d = time.Duration(float64(d) * b.slowdown * b.run.slowdown)
	b.engine.schedule(d, func() {
		switch {
		case b.incarnation != incarnation:
		case b.paused:
			b.backlog = append(b.backlog, do)
		default:
			do()
		}
	})
}

// resume continues the process. What has piled up is worked off bit by bit.
func (b *backend) resume() {
	b.paused = false
	if b.model != nil {
		_, rejected := b.model.Resume(b.engine.now)
		b.finishJobs(rejected, true)
		b.scheduleModel()
	}
	backlog := b.backlog
	b.backlog = nil
	const interval = 200 * time.Microsecond
	for i, do := range backlog {
		b.afterServiceTime(time.Duration(i)*interval, do)
	}
}

// resumeReading reads what has arrived meanwhile.
func (b *backend) resumeReading() {
	b.notReading = false
	for _, conn := range slices.Clone(b.conns) {
		conn.notifyReadable()
	}
}

// overloadsCold counts one more request on a backend that may be cold, and says whether it crashes under the load.
func (b *backend) overloadsCold() (crashes bool) {
	now, s := b.engine.now, &b.run.settings
	age := now - b.started
	if b.started == 0 || age > s.SlowStartWindow {
		return false
	}
	b.coldRequests = append(b.coldRequests, now)
	for now-b.coldRequests[0] > s.OverloadWindow {
		b.coldRequests = b.coldRequests[1:]
	}
	capacity := s.SlowStartFloor + (1-s.SlowStartFloor)*age.Seconds()/s.SlowStartWindow.Seconds()
	if float64(len(b.coldRequests)) <= s.OverloadMultiple*capacity*b.run.warmRequestRate()*s.OverloadWindow.Seconds() {
		return false
	}
	b.run.count("cold backend fell over")
	b.terminate()
	return true
}

// acceptConn starts a session.
func (b *backend) acceptConn(conn *connEnd) {
	s := &backendSession{backend: b, conn: conn}
	conn.onReadable = s.readLines
}

// reportedLoad is the model's load report, or the given load without a model.
func (b *backend) reportedLoad(load float64) float64 {
	if b.model != nil {
		return b.model.LoadReport(b.engine.now)
	}
	return load
}
