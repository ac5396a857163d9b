package simulation

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/session"
)

// backend is a server that speaks the protocol's lines, takes longer the more it holds,
// starts cold, drains, pauses, fails and vanishes.
type backend struct {
	*host
	run          *run
	id           int
	name         string
	zone         int
	state        string
	started      time.Duration // 0: long ago
	serviceTime  time.Duration // of an OPEN on an idle machine
	slowdown     float64       // everything takes so many times as long
	errorRate    float64       // share of OPENs answered ERR
	busyRate     float64       // share answered BUSY
	resetRate    float64       // share reset
	earlyEndRate float64       // share served to its end at once
	paused       bool
	notReading   bool            // takes nothing off its connections
	coldRequests []time.Duration // when OPENs came in the last span of a cold start
	backlog      []func()
	sessionCount int
	receiptCount int              // receipts
	relativeSize float64          // cores in parts of those that a script gives
	model        *emulator.Server // how long work takes; nil: drawn delays
	pendingJobs  map[uint64]func(full bool)
	lastJob      uint64
	modelTimer   time.Duration
}

func (b *backend) entry() endpointEntry {
	weight := 1.0
	if f := b.run.options.Installation; f != nil && f.ListsWeights {
		weight = b.relativeSize
	}
	return endpointEntry{id: b.name, address: b.addr, zone: zones[b.zone], cell: b.id % 2, state: b.state, weight: weight, started: b.started}
}

// launch starts a new process and, unless it was there before the run, says so.
func (b *backend) launch() {
	b.start()
	b.state, b.slowdown, b.errorRate, b.busyRate, b.resetRate, b.earlyEndRate = "ready", 1, 0, 0, 0, 0
	b.paused, b.notReading, b.backlog, b.sessionCount, b.coldRequests = false, false, nil, 0, nil
	b.onAccept = b.acceptConn
	if b.model != nil && b.engine.now > epoch {
		b.model.Restart(b.engine.now)
		b.pendingJobs, b.modelTimer = map[uint64]func(bool){}, 0
	}
	if b.model != nil {
		b.run.loadRecorder.BackendUp(b.engine.now-epoch, b.id, b.relativeSize*b.run.options.Installation.Server.Cores*b.run.options.Installation.Server.Speed)
	}
	if b.engine.now > epoch {
		b.started = b.engine.now.Truncate(time.Millisecond)
		b.run.checker.BackendStarted(b.id, b.started)
		b.run.catalog.publish(b.entry())
	}
}

// drain takes no new work, sends its clients away after a while and ends.
func (b *backend) drain(within time.Duration) {
	if !b.up || b.state != "ready" {
		return
	}
	b.state = "draining"
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id) // it is to have none any more
	b.run.catalog.publish(b.entry())
	life := b.incarnation
	b.engine.schedule(within, func() {
		if b.incarnation == life {
			b.terminate()
		}
	})
}

// release drains a backend and starts a new process some time after it has ended.
func (b *backend) release(long, pause time.Duration) {
	b.drain(long)
	life := b.incarnation
	b.engine.schedule(long+pause, func() {
		if b.incarnation == life+1 && !b.up {
			b.launch()
		}
	})
}

// die ends the process; the catalog learns of it.
func (b *backend) terminate() {
	if !b.up {
		return
	}
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id)
	b.kill()
	b.state = "gone"
	b.run.catalog.publish(b.entry())
}

// vanish takes its machine off the network.
func (b *backend) disconnect() {
	b.run.loadRecorder.BackendDown(b.engine.now-epoch, b.id)
	b.host.disconnect()
}

// slowDown has everything take so many times as long.
func (b *backend) setSlowdown(times float64) {
	b.slowdown = times
	if b.model != nil {
		b.model.SetSlowdown(b.engine.now, times)
		b.scheduleModel()
	}
}

// pause stops the process; resume lets it go on.
func (b *backend) pause() {
	b.paused = true
	if b.model != nil {
		b.model.Pause(b.engine.now)
	}
}

// works has a piece of work done by the model and, where the run has one, a turn at
// the shared dependency; full says that it was turned away.
func (b *backend) submitWork(work float64, done func(full bool)) {
	b.lastJob++
	id, life := b.lastJob, b.incarnation
	switch b.model.Arrive(b.engine.now, emulator.Request{ID: id, Work: work}) {
	case emulator.Rejected:
		done(true)
	case emulator.Crashed:
		b.run.count("cold backend fell over")
		b.terminate()
	case emulator.Accepted, emulator.Queued:
		b.pendingJobs[id] = func(full bool) {
			switch {
			case b.incarnation != life:
			case full || b.run.dependency == nil:
				done(full)
			default:
				b.run.acquireDependency(func() {
					if b.incarnation == life {
						done(false)
					}
				})
			}
		}
	}
	b.scheduleModel()
}

// tick hears from the model when its next request is done.
func (b *backend) scheduleModel() {
	at, ok := b.model.NextCompletion()
	if !ok || b.modelTimer > b.engine.now && b.modelTimer <= at {
		return
	}
	life := b.incarnation
	b.modelTimer = max(at, b.engine.now)
	b.engine.scheduleAt(b.modelTimer, func() {
		if b.incarnation != life {
			return
		}
		b.modelTimer = 0
		b.finishJobs(b.model.Complete(b.engine.now), false)
		b.scheduleModel()
	})
}

func (b *backend) finishJobs(ids []uint64, full bool) {
	for _, id := range ids {
		if do := b.pendingJobs[id]; do != nil {
			delete(b.pendingJobs, id)
			do(full)
		}
	}
}

// does has something done after a service time, in its turn if the machine pauses.
func (b *backend) afterServiceTime(d time.Duration, do func()) {
	life := b.incarnation
	d = time.Duration(float64(d) * b.slowdown * b.run.slowdown)
	b.engine.schedule(d, func() {
		switch {
		case b.incarnation != life:
		case b.paused:
			b.backlog = append(b.backlog, do)
		default:
			do()
		}
	})
}

// resume releases what has piled up, a bit at a time as a machine that catches up does.
func (b *backend) resume() {
	b.paused = false
	if b.model != nil {
		_, full := b.model.Resume(b.engine.now)
		b.finishJobs(full, true)
		b.scheduleModel()
	}
	backlog := b.backlog
	b.backlog = nil
	for i, do := range backlog {
		b.afterServiceTime(time.Duration(i)*200*time.Microsecond, do)
	}
}

// hear takes up what has come meanwhile.
func (b *backend) resumeReading() {
	b.notReading = false
	for _, conn := range slices.Clone(b.conns) {
		conn.notifyReadable()
	}
}

// push is one more request at a machine that may be cold: pushed too hard it falls
// over and stays down.
func (b *backend) overloadsCold() (falls bool) {
	now, set := b.engine.now, &b.run.settings
	age := now - b.started
	if b.started == 0 || age > set.SlowStartWindow {
		return false
	}
	b.coldRequests = append(b.coldRequests, now)
	for now-b.coldRequests[0] > set.OverloadWindow {
		b.coldRequests = b.coldRequests[1:]
	}
	does := set.SlowStartFloor + (1-set.SlowStartFloor)*age.Seconds()/set.SlowStartWindow.Seconds()
	if float64(len(b.coldRequests)) <= set.OverloadMultiple*does*b.run.warmRequestRate()*set.OverloadWindow.Seconds() {
		return false
	}
	b.run.count("cold backend fell over")
	b.terminate()
	return true
}

func (b *backend) acceptConn(conn *connEnd) {
	s := &backendSession{backend: b, conn: conn}
	conn.onReadable = s.readLines
}

type backendSession struct {
	backend     *backend
	conn        *connEnd
	established bool
	opening     bool // an OPEN is being worked on
	counted     bool // among those that the machine works for
	receipt     string
	lineCount   int
	clientKey   uint64 // the client's
}

func (s *backendSession) readLines() {
	for !s.opening && !s.backend.notReading {
		i := bytes.IndexByte(s.conn.received, '\n')
		if i < 0 {
			break
		}
		line := string(bytes.TrimRight(s.conn.received[:i], "\r\n"))
		s.conn.consume(i + 1)
		s.handleLine(line)
	}
	if s.conn.remoteEnd != session.NoEnd && !s.opening {
		s.releaseLoad()
		s.conn.close()
	}
}

func (s *backendSession) releaseLoad() {
	if s.counted {
		s.counted = false
		s.backend.sessionCount--
		if s.backend.model != nil {
			s.backend.run.loadRecorder.ConnectionClosed(s.backend.engine.now-epoch, uint64(s.conn.id))
			s.backend.model.CloseConnection(s.backend.engine.now, uint64(s.conn.id))
			s.backend.scheduleModel()
		}
	}
}

func (s *backendSession) writeLine(line string) { s.conn.write([]byte(line+"\r\n"), func(bool) {}) }

func (s *backendSession) handleLine(line string) {
	b := s.backend
	switch {
	case s.established:
		s.lineCount++
		n := s.lineCount
		took := 100 * time.Microsecond
		if b.model != nil {
			took = time.Duration(float64(b.model.MessageLatency(b.engine.now, b.run.options.Installation.LineWork)) / b.slowdown / b.run.slowdown)
		}
		b.afterServiceTime(took, func() {
			s.writeLine(fmt.Sprintf("R %s %d %s", s.receipt, n, line))
			if b.engine.rng.IntN(10) == 0 {
				s.writeLine(fmt.Sprintf("LOAD %.2f", 0.5+b.engine.rng.Float64()))
			}
		})
	case line == "PING":
		b.afterServiceTime(100*time.Microsecond, func() { s.writeLine("PONG") })
	case line == "STATS":
		b.run.count("probe")
		load := b.reportedLoad(float64(b.sessionCount) / b.run.fair() * 0.4 * b.slowdown)
		b.afterServiceTime(100*time.Microsecond, func() { s.writeLine(fmt.Sprintf("PONG x0=%.3f", load)) })
	case len(line) > 5 && line[:5] == "OPEN ":
		if words := strings.Fields(line); len(words) > 2 {
			s.clientKey, _ = strconv.ParseUint(words[2], 16, 64)
		}
		s.handleOpen()
	default:
		s.writeLine("SYNTAX")
		s.conn.closeWrite()
	}
}

// modelled is the load that the model reports, or what is said without one.
func (b *backend) reportedLoad(load float64) float64 {
	if b.model != nil {
		return b.model.LoadReport(b.engine.now)
	}
	return load
}

// open works on a request: longer the more the machine holds.
func (s *backendSession) handleOpen() {
	b := s.backend
	if b.model != nil {
		s.opening = true
		b.submitWork(b.run.options.Installation.SetupWork*(0.5+b.engine.rng.Float64()), func(full bool) {
			s.opening = false
			switch {
			case s.conn.remoteEnd != session.NoEnd || s.conn.closed:
				s.readLines()
			case full || b.state != "ready":
				s.writeLine("BUSY")
				s.conn.closeWrite()
			default:
				s.counted = true
				b.sessionCount++
				load := b.run.options.Installation.ConnectionLoad * (0.5 + b.engine.rng.Float64())
				b.model.SetConnection(b.engine.now, uint64(s.conn.id), load, 0)
				b.run.loadRecorder.ConnectionOpened(uint64(s.conn.id), loadstats.Connection{Key: s.clientKey, Backend: b.id, Load: load, Opened: b.engine.now - epoch})
				s.answerOpen()
			}
		})
		return
	}
	if b.overloadsCold() {
		return
	}
	s.opening, s.counted = true, true
	b.sessionCount++
	crowd := 1 + float64(b.sessionCount)/(2*b.run.fair())
	b.afterServiceTime(time.Duration(float64(b.serviceTime)*crowd), func() {
		s.opening = false
		if s.conn.remoteEnd != session.NoEnd || s.conn.closed {
			s.readLines()
			return
		}
		s.answerOpen()
	})
}

// answers says what becomes of a request that has been worked on.
func (s *backendSession) answerOpen() {
	b := s.backend
	rng := b.engine.rng
	ends := true
	switch p := rng.Float64(); {
	case b.state != "ready":
		if rng.IntN(3) == 0 {
			s.writeLine("MOVE")
		} else {
			s.writeLine("BUSY")
		}
	case p < b.errorRate:
		s.writeLine("ERR")
	case p < b.errorRate+b.busyRate:
		s.writeLine("BUSY")
	case p < b.errorRate+b.busyRate+b.resetRate:
		s.releaseLoad()
		s.conn.reset()
		return
	case p < b.errorRate+b.busyRate+b.resetRate+b.earlyEndRate:
		s.writeLine("BYE")
	default:
		ends = false
		b.receiptCount++
		s.receipt = fmt.Sprintf("%d-%d-%d", b.id, b.incarnation, b.receiptCount)
		s.established = true
		s.writeLine("UP " + s.receipt)
		s.scheduleClose()
	}
	if ends {
		s.releaseLoad()
		s.conn.closeWrite()
	}
	s.readLines()
}

// lives ends some connections from the backend's side.
func (s *backendSession) scheduleClose() {
	b := s.backend
	if b.engine.rng.IntN(12) != 0 {
		return
	}
	b.afterServiceTime(b.engine.randomDuration(time.Second, 12*time.Second), func() {
		if s.conn.closed {
			return
		}
		if b.engine.rng.IntN(4) == 0 {
			s.releaseLoad()
			s.conn.reset()
			return
		}
		s.writeLine("BYE")
		s.conn.closeWrite()
	})
}
