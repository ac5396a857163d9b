package testcluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
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
	disconnected    bool // the machine is cut off the network
	state           string
	generation      int
	started         time.Duration
	jobs            map[uint64]func(full bool)
	lastJob         uint64
	timer           *time.Timer
	sessions        map[*session]bool
	held            []*session          // sessions of flows whose relay has died
	coldStarts      []coldStartRecorder // the last one is that of the running process
	errorRate       float64             // share of requests answered ERR, without work on the model
	failures        failureRate
	busyRate        float64 // share of requests answered BUSY
	resetRate       float64 // share of requests whose connection is reset
	answerDefect    fault.AnswerDefect
	receiptCount    int
	paused          bool
	deferredCalls   []func()
	port            int
	listener        *net.TCPListener
	removeBlackhole func() // nil: the address is reachable
	releasePort     func() // nil: no port is reserved yet
}

// newBackend returns a backend that has not been launched yet.
func (c *cluster) newBackend(index int, size float64) *backend {
	b := &backend{cluster: c, index: index, name: fmt.Sprintf("s-%03d", index), zone: index % len(zones), size: size,
		sessions: map[*session]bool{}, state: "ready"}
	cfg := c.options.Fleet.Server
	cfg.Cores *= size
	if index%100 >= 100-int(c.options.Fleet.LateReportShare*100) {
		cfg.ReportDelay = c.options.Fleet.LateReportDelay
	}
	cfg.WarmRequestRate *= size
	b.model = emulator.New(cfg, c.options.Seed*1000+uint64(index), c.now())
	return b
}

// capacity returns the work that the backend can do in a second.
func (b *backend) capacity() float64 {
	return b.cluster.options.Fleet.Server.Cores * b.cluster.options.Fleet.Server.Speed * b.size
}

// endpoint returns the backend's entry in the endpoint list. It is called with the lock held.
func (b *backend) endpoint() endpoint {
	weight := 1.0
	if b.cluster.options.Fleet.ListsWeights {
		weight = b.size
	}
	return endpoint{ID: b.name, Zone: zones[b.zone], Kind: "k", Cell: b.index % 2, State: b.state, Weight: weight,
		Started: b.started.Milliseconds(), backend: b.index, port: b.port}
}

// launch starts the backend if it is down. If cold, it is a new process, and the endpoint list gives its start time.
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
	b.up, b.disconnected, b.state = true, false, "ready"
	b.generation++
	b.paused, b.deferredCalls = false, nil
	b.errorRate, b.busyRate, b.resetRate, b.answerDefect = 0, 0, 0, fault.NoAnswerDefect
	b.jobs = map[uint64]func(bool){}
	if cold {
		b.model.Restart(b.cluster.now())
		b.started = b.cluster.now().Truncate(time.Millisecond)
		b.recordColdStart(b.started)
		b.cluster.withChecker(func() { b.cluster.checker.BackendStarted(b.index, b.started) })
	}
	e := b.endpoint()
	b.mu.Unlock()
	b.cluster.withLoadRecorder(func(l *loadstats.Recorder) { l.BackendUp(b.cluster.elapsed(), b.index, b.capacity()) })
	timing := publishDelayed
	if !cold {
		timing = publishImmediately
	}
	b.cluster.discovery.publish(e, timing)
}

// crash ends the process: its connections are reset, and discovery publishes it as gone.
func (b *backend) crash() {
	if b.stop(false) {
		b.publish("gone")
	}
}

// disconnect cuts the backend's machine off the network. Discovery is not notified.
func (b *backend) disconnect() { b.stop(true) }

// publish sets the backend's state and publishes it through discovery.
func (b *backend) publish(state string) {
	b.mu.Lock()
	b.state = state
	e := b.endpoint()
	b.mu.Unlock()
	b.cluster.discovery.publish(e, publishDelayed)
}

// stop ends the process or, if disconnect is true, cuts its machine off the network. It returns false if the backend is
// already down.
func (b *backend) stop(disconnect bool) bool {
	b.mu.Lock()
	if !b.up {
		b.mu.Unlock()
		return false
	}
	b.up, b.disconnected = false, disconnect
	b.generation++
	_ = b.listener.Close()
	if disconnect {
		var err error
		if b.removeBlackhole, err = blackhole(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(b.port))); err != nil {
			b.cluster.reportError(err)
		}
	}
	b.jobs = map[uint64]func(bool){}
	b.held = nil
	sessions := b.sessions
	b.sessions = map[*session]bool{}
	if disconnect { // its connections stay open, but no more data passes
		b.sessions = sessions
		for s := range sessions {
			s.disconnected = true
		}
	}
	b.mu.Unlock()
	b.cluster.withLoadRecorder(func(l *loadstats.Recorder) { l.BackendDown(b.cluster.elapsed(), b.index) })
	if !disconnect {
		for s := range sessions {
			s.conn.close(closedByReset)
		}
	}
	return true
}

// reconnect connects a disconnected machine to the network again: its open connections are reset, and the process
// starts cold.
func (b *backend) reconnect() {
	b.mu.Lock()
	sessions := b.sessions
	b.sessions = map[*session]bool{}
	b.mu.Unlock()
	for s := range sessions {
		s.conn.close(closedByReset)
	}
	b.launch(true)
}

// drain publishes the backend as draining through discovery, and ends its process after the given time.
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
