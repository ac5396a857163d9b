package testcluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/loadstats"
)

// backend runs the emulator's model of a server in real time, on sockets. One wildcard socket accepts all
// connections; the address that was dialled identifies the relay and the backend.
type backend struct {
	cluster         *cluster
	index           int
	name            string
	zone            int
	size            float64 // factor on the number of cores
	mu              sync.Mutex
	model           *emulator.Server
	up              bool
	silent          bool // the machine is off the network
	state           string
	generation      int
	started         time.Duration
	jobs            map[uint64]func(full bool)
	lastJob         uint64
	timer           *time.Timer
	sessions        map[*session]bool
	errorRate       float64 // share of requests answered ERR, at no cost
	failures        failureRate
	busyRate        float64 // share of requests answered BUSY
	resetRate       float64 // share of requests whose connection is reset
	receipts        int
	paused          bool
	backlog         []func()
	port            int
	listener        *net.TCPListener
	removeBlackhole func() // nil: the address is reachable
	releasePort     func() // nil: no port is reserved yet
}

// newBackend returns a backend that has not been launched yet.
func (c *cluster) newBackend(number int, size float64) *backend {
	b := &backend{cluster: c, index: number, name: fmt.Sprintf("s-%03d", number), zone: number % len(zones), size: size,
		sessions: map[*session]bool{}, state: "ready"}
	cfg := c.options.Fleet.Server
	cfg.Cores *= size
	if number%100 >= 100-int(c.options.Fleet.LateReportShare*100) {
		cfg.ReportDelay = c.options.Fleet.LateReportDelay
	}
	cfg.WarmRequestRate *= size
	b.model = emulator.New(cfg, c.options.Seed*1000+uint64(number), c.now())
	return b
}

// capacity is the work that the backend can do in a second.
func (b *backend) capacity() float64 {
	return b.cluster.options.Fleet.Server.Cores * b.cluster.options.Fleet.Server.Speed * b.size
}

// endpoint is the backend's entry in the endpoint list. It is called with the lock held.
func (b *backend) endpoint() endpoint {
	weight := 1.0
	if b.cluster.options.Fleet.ListsWeights {
		weight = b.size
	}
	return endpoint{ID: b.name, Zone: zones[b.zone], Kind: "k", Cell: b.index % 2, State: b.state, Weight: weight,
		Started: b.started.Milliseconds(), backend: b.index, port: b.port}
}

// launch starts the backend's process, if it is down. A cold one is a new process, which the endpoint list says.
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

// crash ends the process: its connections are reset, and discovery is told.
func (b *backend) crash() {
	if b.stop(false) {
		b.publish("gone")
	}
}

// disappear takes the backend's machine off the network without telling anybody.
func (b *backend) disappear() { b.stop(true) }

// publish has discovery announce a new state of the backend.
func (b *backend) publish(state string) {
	b.mu.Lock()
	b.state = state
	e := b.endpoint()
	b.mu.Unlock()
	b.cluster.discovery.publish(e, publishDelayed)
}

// stop ends the process, or if silent cuts its machine off the network. It returns false if the backend was down.
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
	if silent { // its connections stay open, but nothing passes any more
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

// reappear connects a machine that had disappeared to the network again. Its open connections are reset.
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

// drain has discovery announce that the backend is draining, and ends its process after a while.
func (b *backend) drain(within time.Duration) {
	b.cluster.withLoadRecorder(func(l *loadstats.Recorder) { l.BackendDown(b.cluster.elapsed(), b.index) })
	b.publish("draining")
	b.cluster.runAfter(within, b.crash)
}

// listen opens the backend's port on the addresses for all relays. Each backend has a port of its own, so that
// connections to one that is down are refused.
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
