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
	*box
	run     *run
	id      int
	name    string
	zone    int
	state   string
	started time.Duration // 0: long ago
	service time.Duration // of an OPEN on an idle machine
	slow    float64       // everything takes so many times as long
	errs    float64       // share of OPENs answered ERR
	full    float64       // share answered BUSY
	breaks  float64       // share reset
	early   float64       // share served to its end at once
	paused  bool
	deaf    bool            // takes nothing off its connections
	cold    []time.Duration // when OPENs came in the last span of a cold start
	backlog []func()
	conns   int
	opens   int              // receipts
	size    float64          // cores in parts of those that a script gives
	model   *emulator.Server // how long work takes; nil: drawn delays
	jobs    map[uint64]func(full bool)
	job     uint64
	tickAt  time.Duration
}

func (b *backend) entry() entry {
	weight := 1.0
	if f := b.run.opt.Installation; f != nil && f.ListsWeights {
		weight = b.size
	}
	return entry{id: b.name, addr: b.addr, zone: zones[b.zone], cell: b.id % 2, state: b.state, weight: weight, started: b.started}
}

// launch starts a new process and, unless it was there before the run, says so.
func (b *backend) launch() {
	b.start()
	b.state, b.slow, b.errs, b.full, b.breaks, b.early = "ready", 1, 0, 0, 0, 0
	b.paused, b.deaf, b.backlog, b.conns, b.cold = false, false, nil, 0, nil
	b.accept = b.accepted
	if b.model != nil && b.w.now > epoch {
		b.model.Restart(b.w.now)
		b.jobs, b.tickAt = map[uint64]func(bool){}, 0
	}
	if b.model != nil {
		b.run.log.BackendUp(b.w.now-epoch, b.id, b.size*b.run.opt.Installation.Server.Cores*b.run.opt.Installation.Server.Speed)
	}
	if b.w.now > epoch {
		b.started = b.w.now.Truncate(time.Millisecond)
		b.run.check.BackendStarted(b.id, b.started)
		b.run.catalog.publish(b.entry())
	}
}

// drain takes no new work, sends its clients away after a while and ends.
func (b *backend) drain(within time.Duration) {
	if !b.up || b.state != "ready" {
		return
	}
	b.state = "draining"
	b.run.log.BackendDown(b.w.now-epoch, b.id) // it is to have none any more
	b.run.catalog.publish(b.entry())
	life := b.life
	b.w.in(within, func() {
		if b.life == life {
			b.die()
		}
	})
}

// release drains a backend and starts a new process some time after it has ended.
func (b *backend) release(long, pause time.Duration) {
	b.drain(long)
	life := b.life
	b.w.in(long+pause, func() {
		if b.life == life+1 && !b.up {
			b.launch()
		}
	})
}

// die ends the process; the catalog learns of it.
func (b *backend) die() {
	if !b.up {
		return
	}
	b.run.log.BackendDown(b.w.now-epoch, b.id)
	b.kill()
	b.state = "gone"
	b.run.catalog.publish(b.entry())
}

// vanish takes its machine off the network.
func (b *backend) vanish() {
	b.run.log.BackendDown(b.w.now-epoch, b.id)
	b.box.vanish()
}

// slowDown has everything take so many times as long.
func (b *backend) slowDown(times float64) {
	b.slow = times
	if b.model != nil {
		b.model.SetSlowdown(b.w.now, times)
		b.tick()
	}
}

// pause stops the process; resume lets it go on.
func (b *backend) pause() {
	b.paused = true
	if b.model != nil {
		b.model.Pause(b.w.now)
	}
}

// works has a piece of work done by the model and, where the run has one, a turn at
// the shared dependency; full says that it was turned away.
func (b *backend) works(work float64, done func(full bool)) {
	b.job++
	id, life := b.job, b.life
	switch b.model.Arrive(b.w.now, emulator.Request{ID: id, Work: work}) {
	case emulator.Rejected:
		done(true)
	case emulator.Crashed:
		b.run.count("cold backend fell over")
		b.die()
	case emulator.Accepted, emulator.Queued:
		b.jobs[id] = func(full bool) {
			switch {
			case b.life != life:
			case full || b.run.pool == nil:
				done(full)
			default:
				b.run.shares(func() {
					if b.life == life {
						done(false)
					}
				})
			}
		}
	}
	b.tick()
}

// tick hears from the model when its next request is done.
func (b *backend) tick() {
	at, ok := b.model.NextCompletion()
	if !ok || b.tickAt > b.w.now && b.tickAt <= at {
		return
	}
	life := b.life
	b.tickAt = max(at, b.w.now)
	b.w.at(b.tickAt, func() {
		if b.life != life {
			return
		}
		b.tickAt = 0
		b.finish(b.model.Complete(b.w.now), false)
		b.tick()
	})
}

func (b *backend) finish(ids []uint64, full bool) {
	for _, id := range ids {
		if do := b.jobs[id]; do != nil {
			delete(b.jobs, id)
			do(full)
		}
	}
}

// does has something done after a service time, in its turn if the machine pauses.
func (b *backend) does(d time.Duration, do func()) {
	life := b.life
	d = time.Duration(float64(d) * b.slow * b.run.slow)
	b.w.in(d, func() {
		switch {
		case b.life != life:
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
		_, full := b.model.Resume(b.w.now)
		b.finish(full, true)
		b.tick()
	}
	backlog := b.backlog
	b.backlog = nil
	for i, do := range backlog {
		b.does(time.Duration(i)*200*time.Microsecond, do)
	}
}

// hear takes up what has come meanwhile.
func (b *backend) hear() {
	b.deaf = false
	for _, e := range slices.Clone(b.ends) {
		e.woken()
	}
}

// push is one more request at a machine that may be cold: pushed too hard it falls
// over and stays down.
func (b *backend) push() (falls bool) {
	now, set := b.w.now, &b.run.set
	age := now - b.started
	if b.started == 0 || age > set.SlowStartWindow {
		return false
	}
	b.cold = append(b.cold, now)
	for now-b.cold[0] > set.OverloadWindow {
		b.cold = b.cold[1:]
	}
	does := set.SlowStartFloor + (1-set.SlowStartFloor)*age.Seconds()/set.SlowStartWindow.Seconds()
	if float64(len(b.cold)) <= set.OverloadMultiple*does*b.run.opens()*set.OverloadWindow.Seconds() {
		return false
	}
	b.run.count("cold backend fell over")
	b.die()
	return true
}

func (b *backend) accepted(e *end) {
	s := &backendSession{b: b, e: e}
	e.wake = s.heard
}

type backendSession struct {
	b       *backend
	e       *end
	stands  bool
	busy    bool // an OPEN is being worked on
	counted bool // among those that the machine works for
	receipt string
	lines   int
	key     uint64 // the client's
}

func (s *backendSession) heard() {
	for !s.busy && !s.b.deaf {
		i := bytes.IndexByte(s.e.in, '\n')
		if i < 0 {
			break
		}
		line := string(bytes.TrimRight(s.e.in[:i], "\r\n"))
		s.e.take(i + 1)
		s.line(line)
	}
	if s.e.got != session.NoEnd && !s.busy {
		s.gone()
		s.e.close()
	}
}

func (s *backendSession) gone() {
	if s.counted {
		s.counted = false
		s.b.conns--
		if s.b.model != nil {
			s.b.run.log.ConnectionClosed(s.b.w.now-epoch, uint64(s.e.id))
			s.b.model.CloseConnection(s.b.w.now, uint64(s.e.id))
			s.b.tick()
		}
	}
}

func (s *backendSession) say(line string) { s.e.write([]byte(line+"\r\n"), func(bool) {}) }

func (s *backendSession) line(line string) {
	b := s.b
	switch {
	case s.stands:
		s.lines++
		n := s.lines
		took := 100 * time.Microsecond
		if b.model != nil {
			took = time.Duration(float64(b.model.MessageLatency(b.w.now, b.run.opt.Installation.LineWork)) / b.slow / b.run.slow)
		}
		b.does(took, func() {
			s.say(fmt.Sprintf("R %s %d %s", s.receipt, n, line))
			if b.w.rng.IntN(10) == 0 {
				s.say(fmt.Sprintf("LOAD %.2f", 0.5+b.w.rng.Float64()))
			}
		})
	case line == "PING":
		b.does(100*time.Microsecond, func() { s.say("PONG") })
	case line == "STATS":
		b.run.count("probe")
		load := b.modelled(float64(b.conns) / b.run.fair() * 0.4 * b.slow)
		b.does(100*time.Microsecond, func() { s.say(fmt.Sprintf("PONG x0=%.3f", load)) })
	case len(line) > 5 && line[:5] == "OPEN ":
		if words := strings.Fields(line); len(words) > 2 {
			s.key, _ = strconv.ParseUint(words[2], 16, 64)
		}
		s.open()
	default:
		s.say("SYNTAX")
		s.e.closeWrite()
	}
}

// modelled is the load that the model reports, or what is said without one.
func (b *backend) modelled(load float64) float64 {
	if b.model != nil {
		return b.model.LoadReport(b.w.now)
	}
	return load
}

// open works on a request: longer the more the machine holds.
func (s *backendSession) open() {
	b := s.b
	if b.model != nil {
		s.busy = true
		b.works(b.run.opt.Installation.SetupWork*(0.5+b.w.rng.Float64()), func(full bool) {
			s.busy = false
			switch {
			case s.e.got != session.NoEnd || s.e.dead:
				s.heard()
			case full || b.state != "ready":
				s.say("BUSY")
				s.e.closeWrite()
			default:
				s.counted = true
				b.conns++
				load := b.run.opt.Installation.ConnectionLoad * (0.5 + b.w.rng.Float64())
				b.model.SetConnection(b.w.now, uint64(s.e.id), load, 0)
				b.run.log.ConnectionOpened(uint64(s.e.id), loadstats.Connection{Key: s.key, Backend: b.id, Load: load, Opened: b.w.now - epoch})
				s.answers()
			}
		})
		return
	}
	if b.push() {
		return
	}
	s.busy, s.counted = true, true
	b.conns++
	crowd := 1 + float64(b.conns)/(2*b.run.fair())
	b.does(time.Duration(float64(b.service)*crowd), func() {
		s.busy = false
		if s.e.got != session.NoEnd || s.e.dead {
			s.heard()
			return
		}
		s.answers()
	})
}

// answers says what becomes of a request that has been worked on.
func (s *backendSession) answers() {
	b := s.b
	rng := b.w.rng
	ends := true
	switch p := rng.Float64(); {
	case b.state != "ready":
		if rng.IntN(3) == 0 {
			s.say("MOVE")
		} else {
			s.say("BUSY")
		}
	case p < b.errs:
		s.say("ERR")
	case p < b.errs+b.full:
		s.say("BUSY")
	case p < b.errs+b.full+b.breaks:
		s.gone()
		s.e.reset()
		return
	case p < b.errs+b.full+b.breaks+b.early:
		s.say("BYE")
	default:
		ends = false
		b.opens++
		s.receipt = fmt.Sprintf("%d-%d-%d", b.id, b.life, b.opens)
		s.stands = true
		s.say("UP " + s.receipt)
		s.lives()
	}
	if ends {
		s.gone()
		s.e.closeWrite()
	}
	s.heard()
}

// lives ends some connections from the backend's side.
func (s *backendSession) lives() {
	b := s.b
	if b.w.rng.IntN(12) != 0 {
		return
	}
	b.does(b.w.between(time.Second, 12*time.Second), func() {
		if s.e.dead {
			return
		}
		if b.w.rng.IntN(4) == 0 {
			s.gone()
			s.e.reset()
			return
		}
		s.say("BYE")
		s.e.closeWrite()
	})
}
