// Package relay is the real relay: sockets, the system's clock and goroutines
// under the packages controller, session, handshake, healthcheck and discovery.
//
// This file owns a relay's process-wide life: what it starts and stops and in
// which order, the accepting of connections, and how many it takes. It must never
// run into the limits on descriptors and memory.
package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/admin"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
)

// Config is what a relay is told at its start.
type Config = controller.Config

// Relay is one running relay.
type Relay struct {
	settings             atomic.Pointer[settings.Settings] // in force
	initialConfig        Config                            // what it was told at its start
	seed                 uint64
	log                  *zap.Logger
	startTime            time.Time
	startUnix            time.Duration
	events               chan func(now time.Duration)
	stopped              chan struct{}
	drained              chan struct{} // closed by the loop once nothing is owed any more
	listener             *net.TCPListener
	sessionCount         atomic.Int64 // flows that hold descriptors now
	maxSessions          atomic.Int64 // and how many may
	handshakes           *handshakePool
	connections          sync.WaitGroup // connections from their being accepted to their end
	lastSessionID        atomic.Uint64  // requests' ids
	discovery            *discoveryConn
	healthChecks         *healthChecker
	peers                *peerSocket
	adminServer          *admin.Server // nil: there is no second address
	drainChanged         chan struct{} // whether clients are to be sent away may have changed
	predecessor          *predecessor  // of the process before this one; nil: there is none
	processLinks         processLinks
	endpointsReceived    chan struct{} // closed once there is a list
	accepting            atomic.Bool   // who comes is taken
	resumeAccept         chan struct{} // the acceptor is to look again
	acceptPaused         chan struct{} // the acceptor waits
	stopAcceptingOnce    sync.Once     // is shut once
	listenerClosed       chan struct{} // closed when it is
	auxiliaryDescriptors atomic.Int64  // descriptors of probes and of the second address

	// The loop's own.
	controller *controller.Controller
	sessions   map[uint64]*clientSession
}

// lastWords is how long the end of those who have just had their last line is waited for: who exits over bytes that
// nobody has read resets the connection and takes that line along.
const finalWriteGrace = 50 * time.Millisecond

// New checks a configuration and prepares a relay. Nothing listens yet.
func New(cfg Config, log *zap.Logger) (*Relay, error) {
	s := cfg.Settings
	r := &Relay{initialConfig: cfg, seed: cfg.Seed, log: log, startTime: time.Now(), events: make(chan func(time.Duration), 1024),
		stopped: make(chan struct{}), drained: make(chan struct{}),
		sessions: map[uint64]*clientSession{}, drainChanged: make(chan struct{}, 1), endpointsReceived: make(chan struct{}), resumeAccept: make(chan struct{}, 1),
		acceptPaused: make(chan struct{}, 1), listenerClosed: make(chan struct{})}
	r.settings.Store(&s)
	r.startUnix = time.Duration(r.startTime.UnixNano())
	shares := controller.AllocateDescriptors(descriptorLimit(cfg.Sockets), cfg.MemoryMB, cfg.Management != "")
	r.maxSessions.Store(int64(shares.Sessions))
	r.handshakes = newHandshakePool(shares.Handshakes, r.busyAnswer(), r.now)
	r.discovery = newDiscoveryConn(cfg.Discovery, r)
	r.healthChecks = newHealthChecker(r, shares.HealthChecks)
	r.peers = newPeerSocket(cfg, r)
	var err error
	if r.controller, err = controller.New(r.now(), cfg, driver{r}, log); err != nil {
		return nil, err
	}
	r.settings.Store(r.controller.Settings())
	r.controller.SetDescriptors(descriptorLimit(cfg.Sockets))
	if r.listener, err = r.listen(cfg); err != nil {
		return nil, err
	}
	r.auxiliaryDescriptors.Store(int64(shares.HealthChecks + shares.AdminConnections))
	if cfg.Management != "" {
		if r.adminServer, err = admin.Listen(cfg.Management, shares.AdminConnections, adminRelay{r}, log); err != nil {
			_ = r.listener.Close()
			return nil, err
		}
	}
	return r, nil
}

// listen opens the clients' address, or takes it over from the process before.
func (r *Relay) listen(cfg Config) (*net.TCPListener, error) {
	if r.predecessor = connectPredecessor(&cfg, r.log); r.predecessor != nil {
		if err := r.controller.RestoreState(r.now(), r.predecessor.stateDocument); err != nil {
			r.log.Warn("nothing is taken over", zap.Error(err))
		}
		if c := r.predecessor.peerConn; c != nil && r.peers.listen != "" {
			r.peers.conn = c
		} else if c != nil {
			_ = c.Close()
		}
		return r.predecessor.listener, nil
	}
	lc := net.ListenConfig{}
	if cfg.Management != "" {
		lc = listenShared(r.log)
	}
	l, err := lc.Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// descriptors is how many there are: what the configuration says, within what the
// system allows.
func descriptorLimit(configured int) int {
	var lim syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim) == nil && (configured <= 0 || uint64(configured) > lim.Cur) {
		return int(min(lim.Cur, 1<<20))
	}
	return configured
}

// Reload takes over what may change while the relay runs; see machine.Node.
func (r *Relay) Reload(cfg Config) error {
	sockets, done := descriptorLimit(cfg.Sockets), make(chan error, 1)
	r.post(func(now time.Duration) { done <- r.controller.Reload(now, cfg, sockets) })
	select {
	case err := <-done:
		return err
	case <-r.stopped:
		return errors.New("the relay has ended")
	}
}

// busyLine is how somebody is refused without the module: the relay is full, or leaves.
func (r *Relay) busyAnswer() string {
	return protocol.BusyAnswer(session.RetryAfter(r.settings.Load()))
}

// Reloaded counts a file that was read again, taken or not.
func (r *Relay) Reloaded(ok bool) { r.controller.Metrics().Reloaded(ok) }

// Addr is where the relay listens.
func (r *Relay) Addr() net.Addr { return r.listener.Addr() }

// Run serves until ctx is done, then takes its leave: what still arrives is
// served, every answer owed is given, and clients are asked to move.
func (r *Relay) Run(ctx context.Context) error {
	stop := make(chan struct{})
	helpers, cancel := context.WithCancel(context.Background())
	agent := r.discovery.address
	go r.loop(stop)
	second := ""
	if r.adminServer != nil {
		second = r.adminServer.Addr().String()
		go r.adminServer.Serve()
		defer r.adminServer.Close()
	}
	go r.discovery.run(helpers)
	if err := r.peers.run(helpers); err != nil {
		r.log.Error("peers cannot be heard", zap.Error(err))
	}
	defer r.processLinks.close()
	turn := true
	if g := r.predecessor; g != nil {
		go r.followPredecessor(g)
		turn = r.awaitReadiness(ctx, g)
	}
	accepted := make(chan error, 1)
	if turn {
		r.peers.startReceiving()
		go r.post(r.controller.JoinMembership)
		r.accepting.Store(true)
		go func() { accepted <- r.accept() }()
		if r.predecessor != nil {
			r.predecessor.writeLine(lineServing)
		}
	}
	if cfg := &r.initialConfig; cfg.Management != "" && cfg.Scratch != "" {
		if e, err := newSuccessorListener(cfg, r); err == nil {
			go e.serve()
			defer e.close()
		} else {
			r.log.Warn("a next process will find nothing to take over", zap.Error(err))
		}
	}
	r.log.Info("serving", zap.Stringer("address", r.listener.Addr()), zap.Int64("flows", r.maxSessions.Load()),
		zap.String("discovery", agent), zap.String("management", second))
	var err error
	asked := false
	select {
	case <-ctx.Done():
		asked = true
		if r.predecessor.alive() { // it goes on, and takes who comes from now on
			r.controller.SetReplaced(true)
			_ = r.listener.SetDeadline(time.Unix(1, 0))
			_ = r.predecessor.conn.Close()
		}
		r.post(r.controller.Shutdown)
		<-r.drained
	case err = <-accepted:
	}
	r.closeRemaining(asked)
	cancel()
	close(stop)
	<-r.stopped
	r.healthChecks.closeAll()
	return err
}

// shutDoor takes nobody else in: from here on, where another process shares the address, all come to that one. The loop
// has it done while what has been taken in is still served, so that hardly anybody is left to be turned away at the end.
func (r *Relay) stopAccepting() {
	defer close(r.listenerClosed)
	r.drainAcceptQueue()
	_ = r.listener.Close()
}

// closeDoor takes in whoever still waits in the queue, so that they hear a last word: closing the socket over
// them would reset them. While another process has the queue as well it is left to that one. The acceptor is parked
// first: it may be busy with one of them, and would find its time over with the others still there.
func (r *Relay) drainAcceptQueue() {
	if r.controller.Replaced() || !r.accepting.Load() {
		return
	}
	_ = r.listener.SetDeadline(time.Unix(1, 0))
	busy := time.NewTimer(finalWriteGrace)
	defer busy.Stop()
	select {
	case <-r.acceptPaused:
	case <-busy.C:
	case <-r.stopped:
		return
	}
	_ = r.listener.SetDeadline(time.Now().Add(acceptQueueDrainTime)) // in all: there may be no end of them
	for {
		conn, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		r.serveConnection(conn)
	}
}

// lastOnes ends what is left: who waits in the queue, unless it is lost, and whoever has not said an OPEN, is told BUSY.
func (r *Relay) closeRemaining(queue bool) {
	if queue {
		driver{r}.StopAccepting()
		<-r.listenerClosed
	}
	_ = r.listener.Close()
	r.handshakes.closeAll()
	r.awaitConnections()
}

// part waits until all connections have ended, or for lastWords. The loop still runs: who has said OPEN just now is
// turned away by it.
func (r *Relay) awaitConnections() {
	over := make(chan struct{})
	go func() {
		r.connections.Wait()
		close(over)
	}()
	enough := time.NewTimer(finalWriteGrace)
	defer enough.Stop()
	select {
	case <-over:
	case <-enough.C:
	}
}

// lastArrivals is how long the queue is emptied at the end, all in all.
const acceptQueueDrainTime = 10 * time.Millisecond

// accept takes connections in, all of them at once: who has no whole OPEN yet is
// a guest of the lobby, and only that costs one its place. EMFILE never comes up.
func (r *Relay) accept() error {
	for {
		conn, err := r.listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if isTimeout(err) { // parked
				select {
				case r.acceptPaused <- struct{}{}:
				default:
				}
				select {
				case <-r.resumeAccept:
					select {
					case <-r.acceptPaused: // no more
					default:
					}
					continue
				case <-r.stopped:
					return nil
				}
			}
			r.log.Error("accept", zap.Error(err))
			time.Sleep(5 * time.Millisecond)
			continue
		}
		r.serveConnection(conn)
	}
}

// take has a connection served.
func (r *Relay) serveConnection(conn *net.TCPConn) {
	_ = conn.SetDeadline(time.Now().Add(handshake.HandshakeTimeout))
	f := &clientSession{relay: r, client: newBufferedConn(conn), state: session.New(r.lastSessionID.Add(1), r.settings.Load(), r.controller.Metrics()),
		commands: make(chan session.Command, 16), clientGone: make(chan bool, 1), established: make(chan struct{}),
		finished: make(chan struct{})}
	g := r.handshakes.add(conn)
	f.state.Accepted(g)
	r.connections.Add(1)
	go f.serve(g)
}

// admit counts a flow in, unless the limits are reached.
func (r *Relay) reserveSession() bool {
	if r.sessionCount.Add(1) > r.maxSessions.Load() {
		r.sessionCount.Add(-1)
		return false
	}
	return true
}

// bad counts and logs bad input.
func (r *Relay) logProtocolError(conn net.Conn, err error) {
	r.log.Warn("bad input", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
}

// staff is what the second address asks of a relay. It reads what is published and
// leaves word for the loop; it never waits for it.
type adminRelay struct{ *Relay }

var _ admin.Relay = adminRelay{}

func (s adminRelay) State() admin.State {
	switch n := s.controller; {
	case n.ShuttingDown():
		return admin.ShuttingDown
	case n.Drained():
		return admin.Drained
	case n.Ready() && s.accepting.Load():
		return admin.Serving
	}
	return admin.Starting
}

func (s adminRelay) Metrics() metrics.Snapshot { return s.controller.Metrics().Snapshot() }

func (s adminRelay) SetDrained(on bool) {
	s.setDrained(on)
	word := lineUndrain
	if on {
		word = lineDrain
	}
	s.processLinks.broadcast(word) // while there are two processes the relay is both
}

// drain has clients sent away, or taken again.
func (r *Relay) setDrained(on bool) {
	r.controller.SetDrained(on) // PING says so from now on
	select {
	case r.drainChanged <- struct{}{}:
	default: // the loop will look anyway
	}
}
