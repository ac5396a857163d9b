package simulation

import (
	"slices"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
)

// backend simulates a server of the line protocol. It becomes slower with more sessions, starts cold and drains. Faults
// slow it down, pause it, make it fail requests, end its process or disconnect its machine.
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
	notReading   bool               // reads nothing from its connections
	answerDefect fault.AnswerDefect // of the answers to lines of clients
	coldRequests []time.Duration    // arrival times of requests within the latest OverloadWindow, during the slow start
	backlog      []func()           // work that became due while the process was paused
	sessionCount int
	receiptCount int
	relativeSize float64                        // cores relative to Installation.Server.Cores
	model        *emulator.Server               // nil: drawn delays
	jobCallbacks map[uint64]func(rejected bool) // by job ID
	lastJob      uint64
	modelTimerAt time.Duration // when the scheduled completion is due; 0: none is scheduled
}

// entry returns the backend as discovery lists it.
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

// launch starts a new process. One that starts during the run is published to discovery.
func (b *backend) launch() {
	b.start()
	b.state, b.slowdown, b.errorRate, b.busyRate, b.resetRate, b.earlyEndRate = backendReady, 1, 0, 0, 0, 0
	b.paused, b.notReading, b.backlog, b.sessionCount, b.coldRequests = false, false, nil, 0, nil
	b.answerDefect = fault.NoAnswerDefect
	b.onAccept = b.acceptConn
	if b.model != nil && b.engine.now > epoch {
		b.model.Restart(b.engine.now)
		b.jobCallbacks, b.modelTimerAt = map[uint64]func(bool){}, 0
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

// drain publishes the backend as draining and ends its process after the grace period.
func (b *backend) drain(grace time.Duration) {
	if !b.up || b.state != backendReady {
		return
	}
	b.state = backendDraining
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id) // a draining backend should hold no load
	b.run.catalog.publish(b.entry())
	incarnation := b.incarnation
	b.engine.schedule(grace, func() {
		if b.incarnation == incarnation {
			b.terminate()
		}
	})
}

// drainAndRestart drains a backend and starts a new process after a pause.
func (b *backend) drainAndRestart(grace, pause time.Duration) {
	b.drain(grace)
	incarnation := b.incarnation
	b.engine.schedule(grace+pause, func() {
		if b.incarnation == incarnation+1 && !b.up {
			b.launch()
		}
	})
}

// terminate ends the process and publishes that to discovery.
func (b *backend) terminate() {
	if !b.up {
		return
	}
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id)
	b.kill()
	b.state = backendGone
	b.run.catalog.publish(b.entry())
}

// disconnect takes the machine off the network. Discovery is not updated.
func (b *backend) disconnect() {
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id)
	b.host.disconnect()
}

// setSlowdown sets the factor by which all work takes longer.
func (b *backend) setSlowdown(factor float64) {
	b.slowdown = factor
	if b.model != nil {
		b.model.SetSlowdown(b.engine.now, factor)
		b.scheduleModel()
	}
}

// pause suspends the process until resume.
func (b *backend) pause() {
	b.paused = true
	if b.model != nil {
		b.model.Pause(b.engine.now)
	}
}

// submitWork runs work on the model and then, if the run has one, waits for the shared dependency. It calls done
// afterwards, with true if the model has rejected the work, unless the process has ended.
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
		b.jobCallbacks[id] = func(rejected bool) {
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
	if !ok || b.modelTimerAt > b.engine.now && b.modelTimerAt <= at {
		return
	}
	incarnation := b.incarnation
	b.modelTimerAt = max(at, b.engine.now)
	b.engine.scheduleAt(b.modelTimerAt, func() {
		if b.incarnation != incarnation {
			return
		}
		b.modelTimerAt = 0
		b.finishJobs(b.model.Complete(b.engine.now), false)
		b.scheduleModel()
	})
}

// finishJobs calls the callbacks of jobs that are done or rejected.
func (b *backend) finishJobs(ids []uint64, rejected bool) {
	for _, id := range ids {
		if do := b.jobCallbacks[id]; do != nil {
			delete(b.jobCallbacks, id)
			do(rejected)
		}
	}
}

// afterServiceTime calls do after a service time. If the process is paused by then, do is added to the backlog.
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

// resume continues the process. The items of the backlog run one interval apart.
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

// resumeReading reads from the connections again, beginning with what has already arrived.
func (b *backend) resumeReading() {
	b.notReading = false
	for _, conn := range slices.Clone(b.conns) {
		conn.notifyReadable()
	}
}

// overloadsCold records a request during the slow start and terminates the backend if the rate of such requests exceeds
// OverloadMultiple times its current capacity. It reports whether it has done so.
func (b *backend) overloadsCold() (crashed bool) {
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

// acceptConn starts a session on a new connection.
func (b *backend) acceptConn(conn *connEnd) {
	s := &backendSession{backend: b, conn: conn}
	conn.onReadable = s.readLines
}

// reportedLoad returns the load in the model's load report, or the given load without a model.
func (b *backend) reportedLoad(load float64) float64 {
	if b.model != nil {
		return b.model.LoadReport(b.engine.now)
	}
	return load
}
