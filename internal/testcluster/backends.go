package testcluster

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/loadstats"
)

// backend drives the emulator's model of a server in real time on sockets. One wildcard socket takes all connections;
// the address that was dialled tells the relay and the backend.
type backend struct {
	rig      *rig
	number   int
	name     string
	zone     int
	size     float64 // cores over those that the script gives
	mu       sync.Mutex
	model    *emulator.Server
	up       bool
	silent   bool // the machine says nothing and hears nothing
	state    string
	life     int
	started  time.Duration
	jobs     map[uint64]func(full bool)
	job      uint64
	timer    *time.Timer
	sessions map[*session]bool
	errs     float64 // share of OPENs answered ERR, at no cost
	failures failures
	full     float64 // share answered BUSY
	breaks   float64 // share reset
	receipts int
	paused   bool
	backlog  []func()
	port     int
	listener *net.TCPListener
	wall     func() // ends it
	free     func() // gives the port back
}

func (r *rig) newBackend(number int, size float64) *backend {
	b := &backend{rig: r, number: number, name: fmt.Sprintf("s-%03d", number), zone: number % len(zones), size: size,
		sessions: map[*session]bool{}, state: "ready"}
	cfg := r.opt.Fleet.Server
	cfg.Cores *= size
	if number%100 >= 100-int(r.opt.Fleet.LateReportShare*100) {
		cfg.ReportDelay = r.opt.Fleet.LateReportDelay
	}
	cfg.WarmRequestRate *= size
	b.model = emulator.New(cfg, r.opt.Seed*1000+uint64(number), r.now())
	return b
}

func (b *backend) capacity() float64 {
	return b.rig.opt.Fleet.Server.Cores * b.rig.opt.Fleet.Server.Speed * b.size
}

func (b *backend) entry() entry {
	weight := 1.0
	if b.rig.opt.Fleet.ListsWeights {
		weight = b.size
	}
	return entry{ID: b.name, Zone: zones[b.zone], Kind: "k", Cell: b.number % 2, State: b.state, Weight: weight,
		Started: b.started.Milliseconds(), backend: b.number, port: b.port}
}

// launch starts a process; cold tells that it is new, which the list says.
func (b *backend) launch(cold bool) {
	b.mu.Lock()
	if b.up {
		b.mu.Unlock()
		return
	}
	if b.wall != nil {
		b.wall()
		b.wall = nil
	}
	if err := b.listen(); err != nil {
		b.rig.fail(err)
	}
	b.up, b.silent, b.state = true, false, "ready"
	b.life++
	b.paused, b.backlog = false, nil
	b.errs, b.full, b.breaks = 0, 0, 0
	b.jobs = map[uint64]func(bool){}
	if cold {
		b.model.Restart(b.rig.now())
		b.started = b.rig.now().Truncate(time.Millisecond)
		b.rig.checked(func() { b.rig.check.BackendStarted(b.number, b.started) })
	}
	e := b.entry()
	b.mu.Unlock()
	b.rig.logged(func(l *loadstats.Recorder) { l.BackendUp(b.rig.since(), b.number, b.capacity()) })
	when := later
	if !cold {
		when = beforeAll
	}
	b.rig.catalog.publish(e, when)
}

// die ends the process, which resets its connections; the catalog learns of it.
func (b *backend) die() {
	if b.stop(false) {
		b.publish("gone")
	}
}

// failures counts the errors of a backend by the second; what it reports is that of the last whole one.
type failures struct {
	second    time.Duration
	now, last float64
}

func (f *failures) turn(at time.Duration) {
	switch second := at.Truncate(time.Second); second {
	case f.second:
		return
	case f.second + time.Second:
		f.second, f.last, f.now = second, f.now, 0
	default:
		f.second, f.last, f.now = second, 0, 0
	}
}

func (f *failures) add(at time.Duration) {
	f.turn(at)
	f.now++
}

func (f *failures) rate(at time.Duration) float64 {
	f.turn(at)
	return f.last
}

// vanish takes the machine off the network: no word to anybody.
func (b *backend) vanish() { b.stop(true) }

func (b *backend) publish(state string) {
	b.mu.Lock()
	b.state = state
	e := b.entry()
	b.mu.Unlock()
	b.rig.catalog.publish(e, later)
}

func (b *backend) stop(silent bool) bool {
	b.mu.Lock()
	if !b.up {
		b.mu.Unlock()
		return false
	}
	b.up, b.silent = false, silent
	b.life++
	_ = b.listener.Close()
	if silent {
		var err error
		if b.wall, err = wall(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(b.port))); err != nil {
			b.rig.fail(err)
		}
	}
	b.jobs = map[uint64]func(bool){}
	sessions := b.sessions
	b.sessions = map[*session]bool{}
	if silent { // they stay open, and nothing comes any more
		b.sessions = sessions
		for s := range sessions {
			s.mute = true
		}
	}
	b.mu.Unlock()
	b.rig.logged(func(l *loadstats.Recorder) { l.BackendDown(b.rig.since(), b.number) })
	if !silent {
		for s := range sessions {
			s.wire.end(broken)
		}
	}
	return true
}

// back has a machine that had vanished return: what was open is reset.
func (b *backend) back() {
	b.mu.Lock()
	sessions := b.sessions
	b.sessions = map[*session]bool{}
	b.mu.Unlock()
	for s := range sessions {
		s.wire.end(broken)
	}
	b.launch(true)
}

// drain takes no new work, and ends after a while.
func (b *backend) drain(within time.Duration) {
	b.rig.logged(func(l *loadstats.Recorder) { l.BackendDown(b.rig.since(), b.number) })
	b.publish("draining")
	b.rig.in(within, b.die)
}

// serve takes connections until the listener is closed.
func (b *backend) serve(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		relay, number, ok := backendPair(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr())
		if !ok || number != b.number || relay >= len(b.rig.relays) { // a wall's own, or nobody's
			_ = c.Close()
			continue
		}
		go b.accepted(c, relay)
	}
}

// session is one connection with a relay.
type session struct {
	b       *backend
	wire    *wire
	watch   *invariant.BackendConn
	life    int
	id      uint64
	mute    bool // its machine has vanished
	busy    bool
	stands  bool
	counted bool
	receipt string
	request string
	key     uint64
	load    float64
	lines   lines
	n       int
}

func (b *backend) accepted(c *net.TCPConn, relay int) {
	r := b.rig
	from, here := party{fault.Relays, relay}, party{fault.Backends, b.number}
	late, ok := r.ways.opens(from, here)
	if !ok {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	// What the relay writes meanwhile is heard of when it comes: taken for sent only now, a line would seem to go out
	// for a client that has left since, or into a drain.
	s := &session{b: b, id: r.ids.Add(1)}
	r.checked(func() { s.watch = r.check.BackendConnected(int(s.id), relay, b.number) })
	s.wire = newWire(r, c, from, here, s.watch)
	pieces := s.wire.read()
	ok = late == 0 || wait(r.ctx, late)
	b.mu.Lock()
	if !ok || !b.up && !b.silent {
		b.mu.Unlock()
		s.wire.end(broken)
		return
	}
	s.life, s.mute = b.life, b.silent
	b.sessions[s] = true
	b.mu.Unlock()
	r.handshake(relay, b.number)
	s.wire.deliver(pieces, func(p []byte) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.life == s.life && !s.mute {
			s.lines.feed(p, s.line)
		}
	})
	b.mu.Lock()
	s.gone()
	mute := s.mute
	delete(b.sessions, s)
	b.mu.Unlock()
	r.forget(s)
	if !mute {
		s.wire.drain()
	}
	s.wire.end(orderly)
}

// The rest is called with the backend's lock held.

func (s *session) gone() {
	if s.counted {
		s.counted = false
		r := s.b.rig
		r.logged(func(l *loadstats.Recorder) { l.ConnectionClosed(r.since(), s.id) })
		if s.b.life == s.life {
			s.b.model.CloseConnection(r.now(), s.id)
			s.b.tick()
		}
	}
}

func (s *session) line(line string) {
	b, r := s.b, s.b.rig
	switch {
	case s.stands:
		s.n++
		n := s.n
		b.after(b.model.MessageLatency(r.now(), r.opt.Fleet.LineWork), func() {
			s.wire.say(fmt.Sprintf("R %s %d %s", s.receipt, n, line))
		})
	case line == "PING" || line == "STATS":
		r.probed(s.wire.relay.who, b.number)
		answer := "PONG"
		if line == "STATS" {
			load := b.model.LoadReport(r.now())
			if b.errs > 0 {
				load = 0 // it fails what it gets at once, and looks empty
			}
			answer = fmt.Sprintf("PONG x0=%.3f,errors_per_s=%.3f", load, b.failures.rate(r.now()))
		}
		b.after(100*time.Microsecond, func() { s.wire.say(answer) })
	case strings.HasPrefix(line, "OPEN ") && !s.busy:
		s.open(line)
	default:
		s.wire.say("SYNTAX")
		s.wire.finish()
	}
}

// after has something done if the process still runs then; a pause holds it.
func (b *backend) after(d time.Duration, do func()) {
	life := b.life
	b.rig.in(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		switch {
		case b.life != life || !b.up:
		case b.paused:
			b.backlog = append(b.backlog, do)
		default:
			do()
		}
	})
}

// open works on a request: longer the more the machine holds.
func (s *session) open(line string) {
	b, r := s.b, s.b.rig
	words := strings.Fields(line)
	if len(words) != 4 {
		s.wire.say("SYNTAX")
		s.wire.finish()
		return
	}
	s.request = words[1]
	s.key, _ = strconv.ParseUint(words[2], 16, 64)
	s.load = r.loadOf(words[1])
	r.attempted(s)
	s.busy = true
	if r.chance(b.errs) {
		b.failures.add(r.now())
		b.after(500*time.Microsecond, func() { s.answer("ERR", true) })
		return
	}
	b.job++
	id, life := b.job, b.life
	switch b.model.Arrive(r.now(), emulator.Request{ID: id, Work: r.opt.Fleet.SetupWork * (0.5 + r.roll())}) {
	case emulator.Rejected:
		s.answer("BUSY", true)
	case emulator.Crashed:
		r.count("cold backend fell over")
		go b.die()
	case emulator.Accepted, emulator.Queued:
		b.jobs[id] = func(full bool) {
			if b.life == life {
				s.worked(full)
			}
		}
	}
	b.tick()
}

func (s *session) worked(full bool) {
	b, r := s.b, s.b.rig
	switch {
	case s.wire.ctx.Err() != nil:
	case full || b.state != "ready" || r.chance(b.full):
		s.answer("BUSY", true)
	case r.chance(b.breaks):
		s.wire.end(broken)
	default:
		s.counted = true
		b.model.SetConnection(r.now(), s.id, s.load, 0)
		r.logged(func(l *loadstats.Recorder) {
			l.ConnectionOpened(s.id, loadstats.Connection{Key: s.key, Relay: s.wire.relay.who, Backend: b.number, Load: s.load, Opened: r.since()})
		})
		b.receipts++
		s.receipt = fmt.Sprintf("%d-%d-%d", b.number, b.life, b.receipts)
		s.answer("UP "+s.receipt, false)
		b.tick()
	}
}

func (s *session) answer(line string, over bool) {
	s.busy, s.stands = false, !over
	s.wire.say(line)
	if over {
		s.wire.finish()
	}
}

// tick hears from the model when its next request is done.
func (b *backend) tick() {
	at, ok := b.model.NextCompletion()
	if !ok {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	life := b.life
	b.timer = time.AfterFunc(max(0, at-b.rig.now()), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.life == life && b.up {
			b.finish(b.model.Complete(b.rig.now()), false)
			b.tick()
		}
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

// with changes the model.
func (b *backend) with(do func(now time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do(b.rig.now())
	b.tick()
}

func (b *backend) slowDown(times float64) {
	b.with(func(now time.Duration) { b.model.SetSlowdown(now, times) })
}

func (b *backend) pause() {
	b.with(func(now time.Duration) {
		b.paused = true
		b.model.Pause(now)
	})
}

// resume lets it go on with all that has come meanwhile.
func (b *backend) resume() {
	b.with(func(now time.Duration) {
		b.paused = false
		_, full := b.model.Resume(now)
		b.finish(full, true)
		for _, do := range b.backlog {
			do()
		}
		b.backlog = nil
	})
}

// loadNow is what is asked of the backend over what it can do; below 0: it is down.
func (b *backend) loadNow() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return -1
	}
	return min(b.model.Utilization(b.rig.now()), math.MaxFloat32)
}

// wall takes an address out: whoever dials it hears nothing, as across a cut. A queue of one that is full answers no
// one; the system drops what comes on top.
func wall(addr netip.AddrPort) (end func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	fds := []int{fd}
	end = func() {
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
	}
	loopbackOnly(uintptr(fd))
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		if err = unix.Bind(fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err == nil {
			err = unix.Listen(fd, 0)
		}
	}
	to := addr.Addr()
	if to.IsUnspecified() {
		to = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	for range 2 { // the queue holds one more than its length
		if err != nil {
			break
		}
		var c int
		if c, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0); err != nil {
			break
		}
		fds = append(fds, c)
		if e := unix.Connect(c, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: to.As4()}); e != nil && e != unix.EINPROGRESS {
			err = e
		}
	}
	if err != nil {
		end()
		return nil, fmt.Errorf("a cut at %v: %w", addr, err)
	}
	return end, nil
}

// listen opens the backend's address for all relays: the port is its own, so that a process that is down refuses.
func (b *backend) listen() (err error) {
	if b.port == 0 {
		if b.port, b.free, err = keep(); err != nil {
			return fmt.Errorf("backend %s: %w", b.name, err)
		}
	}
	lc := net.ListenConfig{Control: control}
	l, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", b.port))
	if err != nil {
		return fmt.Errorf("backend %s: %w", b.name, err)
	}
	b.listener = l.(*net.TCPListener)
	go b.serve(b.listener)
	return nil
}
