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
	cluster         *cluster
	index           int
	name            string
	zone            int
	size            float64 // cores over those that the script gives
	mu              sync.Mutex
	model           *emulator.Server
	up              bool
	silent          bool // the machine says nothing and hears nothing
	state           string
	generation      int
	started         time.Duration
	jobs            map[uint64]func(full bool)
	lastJob         uint64
	timer           *time.Timer
	sessions        map[*session]bool
	errorRate       float64 // share of OPENs answered ERR, at no cost
	failures        failureRate
	busyRate        float64 // share answered BUSY
	resetRate       float64 // share reset
	receipts        int
	paused          bool
	backlog         []func()
	port            int
	listener        *net.TCPListener
	removeBlackhole func() // ends it
	releasePort     func() // gives the port back
}

func (c *cluster) newBackend(number int, size float64) *backend {
	b := &backend{cluster: c, index: number, name: fmt.Sprintf("s-%03d", number), zone: number % len(zones), size: size,
		sessions: map[*session]bool{}, state: "ready"}
	cfg := c.options.Fleet.Server
	cfg.Cores *= size
	if number%100 >= 100-int(c.options.Fleet.LateShare*100) {
		cfg.ReportDelay = c.options.Fleet.LateBy
	}
	cfg.WarmRequestRate *= size
	b.model = emulator.New(cfg, c.options.Seed*1000+uint64(number), c.now())
	return b
}

func (b *backend) capacity() float64 {
	return b.cluster.options.Fleet.Server.Cores * b.cluster.options.Fleet.Server.Speed * b.size
}

func (b *backend) endpoint() endpoint {
	weight := 1.0
	if b.cluster.options.Fleet.Weights {
		weight = b.size
	}
	return endpoint{ID: b.name, Zone: zones[b.zone], Kind: "k", Cell: b.index % 2, State: b.state, Weight: weight,
		Started: b.started.Milliseconds(), backend: b.index, port: b.port}
}

// launch starts a process; cold tells that it is new, which the list says.
func (b *backend) launch(cold bool) {
	b.mu.Lock()
	if b.up {
		b.mu.Unlock()
		return
	}
	if b.removeBlackhole != nil {
		b.removeBlackhole()
		b.removeBlackhole = nil
	}
	if err := b.listen(); err != nil {
		b.cluster.reportError(err)
	}
	b.up, b.silent, b.state = true, false, "ready"
	b.generation++
	b.paused, b.backlog = false, nil
	b.errorRate, b.busyRate, b.resetRate = 0, 0, 0
	b.jobs = map[uint64]func(bool){}
	if cold {
		b.model.Restart(b.cluster.now())
		b.started = b.cluster.now().Truncate(time.Millisecond)
		b.cluster.withChecker(func() { b.cluster.checker.BackendStarted(b.index, b.started) })
	}
	e := b.endpoint()
	b.mu.Unlock()
	b.cluster.withLoadRecorder(func(l *loadstats.Recorder) { l.BackendUp(b.cluster.elapsed(), b.index, b.capacity()) })
	when := publishDelayed
	if !cold {
		when = publishImmediately
	}
	b.cluster.discovery.publish(e, when)
}

// crash ends the process, which resets its connections; the catalog learns of it.
func (b *backend) crash() {
	if b.stop(false) {
		b.publish("gone")
	}
}

// failureRate counts the errors of a backend by the second; what it reports is that of the last whole one.
type failureRate struct {
	second            time.Duration
	current, previous float64
}

func (rate *failureRate) advance(at time.Duration) {
	switch second := at.Truncate(time.Second); second {
	case rate.second:
		return
	case rate.second + time.Second:
		rate.second, rate.previous, rate.current = second, rate.current, 0
	default:
		rate.second, rate.previous, rate.current = second, 0, 0
	}
}

func (rate *failureRate) add(at time.Duration) {
	rate.advance(at)
	rate.current++
}

func (rate *failureRate) rate(at time.Duration) float64 {
	rate.advance(at)
	return rate.previous
}

// disappear takes the machine off the network: no word to anybody.
func (b *backend) disappear() { b.stop(true) }

func (b *backend) publish(state string) {
	b.mu.Lock()
	b.state = state
	e := b.endpoint()
	b.mu.Unlock()
	b.cluster.discovery.publish(e, publishDelayed)
}

func (b *backend) stop(silent bool) bool {
	b.mu.Lock()
	if !b.up {
		b.mu.Unlock()
		return false
	}
	b.up, b.silent = false, silent
	b.generation++
	_ = b.listener.Close()
	if silent {
		var err error
		if b.removeBlackhole, err = blackhole(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(b.port))); err != nil {
			b.cluster.reportError(err)
		}
	}
	b.jobs = map[uint64]func(bool){}
	sessions := b.sessions
	b.sessions = map[*session]bool{}
	if silent { // they stay open, and nothing comes any more
		b.sessions = sessions
		for s := range sessions {
			s.muted = true
		}
	}
	b.mu.Unlock()
	b.cluster.withLoadRecorder(func(l *loadstats.Recorder) { l.BackendDown(b.cluster.elapsed(), b.index) })
	if !silent {
		for s := range sessions {
			s.conn.close(closedByReset)
		}
	}
	return true
}

// reappear has a machine that had vanished return: what was open is reset.
func (b *backend) reappear() {
	b.mu.Lock()
	sessions := b.sessions
	b.sessions = map[*session]bool{}
	b.mu.Unlock()
	for s := range sessions {
		s.conn.close(closedByReset)
	}
	b.launch(true)
}

// drain takes no new work, and ends after a while.
func (b *backend) drain(within time.Duration) {
	b.cluster.withLoadRecorder(func(l *loadstats.Recorder) { l.BackendDown(b.cluster.elapsed(), b.index) })
	b.publish("draining")
	b.cluster.runAfter(within, b.crash)
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
		if !ok || number != b.index || relay >= len(b.cluster.relays) { // a wall's own, or nobody's
			_ = c.Close()
			continue
		}
		go b.handleConnection(c, relay)
	}
}

// session is one connection with a relay.
type session struct {
	backend       *backend
	conn          *relayConn
	observer      *invariant.BackendConn
	generation    int
	id            uint64
	muted         bool // its machine has vanished
	opening       bool
	established   bool
	loadCounted   bool
	receipt       string
	request       string
	key           uint64
	load          float64
	splitter      lineSplitter
	linesReceived int
}

func (b *backend) handleConnection(c *net.TCPConn, relay int) {
	cluster := b.cluster
	from, here := node{fault.Relays, relay}, node{fault.Backends, b.index}
	late, ok := cluster.links.connectDelay(from, here)
	if !ok {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	// What the relay writes meanwhile is heard of when it comes: taken for sent only now, a line would seem to go out
	// for a client that has left since, or into a drain.
	s := &session{backend: b, id: cluster.connectionIDs.Add(1)}
	cluster.withChecker(func() { s.observer = cluster.checker.BackendConnected(int(s.id), relay, b.index) })
	s.conn = newRelayConn(cluster, c, from, here, s.observer)
	pieces := s.conn.startReading()
	ok = late == 0 || sleepContext(cluster.ctx, late)
	b.mu.Lock()
	if !ok || !b.up && !b.silent {
		b.mu.Unlock()
		s.conn.close(closedByReset)
		return
	}
	s.generation, s.muted = b.generation, b.silent
	b.sessions[s] = true
	b.mu.Unlock()
	cluster.countHandshake(relay, b.index)
	s.conn.deliver(pieces, func(p []byte) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.generation == s.generation && !s.muted {
			s.splitter.feed(p, s.handleLine)
		}
	})
	b.mu.Lock()
	s.closed()
	mute := s.muted
	delete(b.sessions, s)
	b.mu.Unlock()
	cluster.removeAttempt(s)
	if !mute {
		s.conn.flush()
	}
	s.conn.close(closedCleanly)
}

// The rest is called with the backend's lock held.

func (s *session) closed() {
	if s.loadCounted {
		s.loadCounted = false
		c := s.backend.cluster
		c.withLoadRecorder(func(l *loadstats.Recorder) { l.ConnectionClosed(c.elapsed(), s.id) })
		if s.backend.generation == s.generation {
			s.backend.model.CloseConnection(c.now(), s.id)
			s.backend.scheduleCompletion()
		}
	}
}

func (s *session) handleLine(line string) {
	b, c := s.backend, s.backend.cluster
	switch {
	case s.established:
		s.linesReceived++
		n := s.linesReceived
		b.runAfter(b.model.MessageLatency(c.now(), c.options.Fleet.LineWork), func() {
			s.conn.sendLine(fmt.Sprintf("R %s %d %s", s.receipt, n, line))
		})
	case line == "PING" || line == "STATS":
		c.countHealthCheck(s.conn.relay.index, b.index)
		answer := "PONG"
		if line == "STATS" {
			load := b.model.LoadReport(c.now())
			if b.errorRate > 0 {
				load = 0 // it fails what it gets at once, and looks empty
			}
			answer = fmt.Sprintf("PONG x0=%.3f,errors_per_s=%.3f", load, b.failures.rate(c.now()))
		}
		b.runAfter(100*time.Microsecond, func() { s.conn.sendLine(answer) })
	case strings.HasPrefix(line, "OPEN ") && !s.opening:
		s.open(line)
	default:
		s.conn.sendLine("SYNTAX")
		s.conn.closeWrite()
	}
}

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

// open works on a request: longer the more the machine holds.
func (s *session) open(line string) {
	b, c := s.backend, s.backend.cluster
	words := strings.Fields(line)
	if len(words) != 4 {
		s.conn.sendLine("SYNTAX")
		s.conn.closeWrite()
		return
	}
	s.request = words[1]
	s.key, _ = strconv.ParseUint(words[2], 16, 64)
	s.load = c.loadOf(words[1])
	c.recordAttempt(s)
	s.opening = true
	if c.chance(b.errorRate) {
		b.failures.add(c.now())
		b.runAfter(500*time.Microsecond, func() { s.answer("ERR", true) })
		return
	}
	b.lastJob++
	id, life := b.lastJob, b.generation
	switch b.model.Arrive(c.now(), emulator.Request{ID: id, Work: c.options.Fleet.SetUpWork * (0.5 + c.randomFloat())}) {
	case emulator.Rejected:
		s.answer("BUSY", true)
	case emulator.Crashed:
		c.incrementCount("cold backend fell over")
		go b.crash()
	case emulator.Accepted, emulator.Queued:
		b.jobs[id] = func(full bool) {
			if b.generation == life {
				s.completeOpen(full)
			}
		}
	}
	b.scheduleCompletion()
}

func (s *session) completeOpen(full bool) {
	b, c := s.backend, s.backend.cluster
	switch {
	case s.conn.ctx.Err() != nil:
	case full || b.state != "ready" || c.chance(b.busyRate):
		s.answer("BUSY", true)
	case c.chance(b.resetRate):
		s.conn.close(closedByReset)
	default:
		s.loadCounted = true
		b.model.SetConnection(c.now(), s.id, s.load, 0)
		c.withLoadRecorder(func(l *loadstats.Recorder) {
			l.ConnectionOpened(s.id, loadstats.Connection{Key: s.key, Relay: s.conn.relay.index, Backend: b.index, Load: s.load, Opened: c.elapsed()})
		})
		b.receipts++
		s.receipt = fmt.Sprintf("%d-%d-%d", b.index, b.generation, b.receipts)
		s.answer("UP "+s.receipt, false)
		b.scheduleCompletion()
	}
}

func (s *session) answer(line string, over bool) {
	s.opening, s.established = false, !over
	s.conn.sendLine(line)
	if over {
		s.conn.closeWrite()
	}
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

// blackhole takes an address out: whoever dials it hears nothing, as across a cut. A queue of one that is full answers no
// one; the system drops what comes on top.
func blackhole(addr netip.AddrPort) (end func(), err error) {
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
		if b.port, b.releasePort, err = reservePort(); err != nil {
			return fmt.Errorf("backend %s: %w", b.name, err)
		}
	}
	lc := net.ListenConfig{Control: prepareWildcardSocket}
	l, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", b.port))
	if err != nil {
		return fmt.Errorf("backend %s: %w", b.name, err)
	}
	b.listener = l.(*net.TCPListener)
	go b.serve(b.listener)
	return nil
}
