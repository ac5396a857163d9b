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
	settings  atomic.Pointer[settings.Settings] // in force
	started   Config                            // what it was told at its start
	seed      uint64
	log       *zap.Logger
	start     time.Time
	born      time.Duration
	events    chan func(now time.Duration)
	stopped   chan struct{}
	left      chan struct{} // closed by the loop once nothing is owed any more
	listener  *net.TCPListener
	flowing   atomic.Int64 // flows that hold descriptors now
	room      atomic.Int64 // and how many may
	lobby     *lobby
	guests    sync.WaitGroup // connections from their being accepted to their end
	seq       atomic.Uint64  // requests' ids
	discovery *discoveryLoop
	probes    *probes
	peers     *peers
	second    *admin.Server // nil: there is no second address
	drains    chan struct{} // whether clients are to be sent away may have changed
	legacy    *legacy       // of the process before this one; nil: there is none
	links     links
	listed    chan struct{} // closed once there is a list
	serving   atomic.Bool   // who comes is taken
	unpark    chan struct{} // the acceptor is to look again
	parked    chan struct{} // the acceptor waits
	door      sync.Once     // is shut once
	shut      chan struct{} // closed when it is
	spare     atomic.Int64  // descriptors of probes and of the second address

	// The loop's own.
	node  *controller.Controller
	flows map[uint64]*flow
}

// lastWords is how long the end of those who have just had their last line is waited for: who exits over bytes that
// nobody has read resets the connection and takes that line along.
const lastWords = 50 * time.Millisecond

// New checks a configuration and prepares a relay. Nothing listens yet.
func New(cfg Config, log *zap.Logger) (*Relay, error) {
	s := cfg.Settings
	r := &Relay{started: cfg, seed: cfg.Seed, log: log, start: time.Now(), events: make(chan func(time.Duration), 1024),
		stopped: make(chan struct{}), left: make(chan struct{}),
		flows: map[uint64]*flow{}, drains: make(chan struct{}, 1), listed: make(chan struct{}), unpark: make(chan struct{}, 1),
		parked: make(chan struct{}, 1), shut: make(chan struct{})}
	r.settings.Store(&s)
	r.born = time.Duration(r.start.UnixNano())
	shares := controller.AllocateDescriptors(descriptors(cfg.MaxDescriptors), cfg.MemoryMB, cfg.AdminListen != "")
	r.room.Store(int64(shares.Sessions))
	r.lobby = newLobby(shares.Handshakes, r.busyLine(), r.now)
	r.discovery = newDiscovery(cfg.Discovery, r)
	r.probes = newProbes(r, shares.HealthChecks)
	r.peers = newPeers(cfg, r)
	var err error
	if r.node, err = controller.New(r.now(), cfg, host{r}, log); err != nil {
		return nil, err
	}
	r.settings.Store(r.node.Settings())
	r.node.SetDescriptors(descriptors(cfg.MaxDescriptors))
	if r.listener, err = r.listen(cfg); err != nil {
		return nil, err
	}
	r.spare.Store(int64(shares.HealthChecks + shares.AdminConnections))
	if cfg.AdminListen != "" {
		if r.second, err = admin.Listen(cfg.AdminListen, shares.AdminConnections, staff{r}, log); err != nil {
			_ = r.listener.Close()
			return nil, err
		}
	}
	return r, nil
}

// listen opens the clients' address, or takes it over from the process before.
func (r *Relay) listen(cfg Config) (*net.TCPListener, error) {
	if r.legacy = inherit(&cfg, r.log); r.legacy != nil {
		if err := r.node.RestoreState(r.now(), r.legacy.memory); err != nil {
			r.log.Warn("nothing is taken over", zap.Error(err))
		}
		if c := r.legacy.peers; c != nil && r.peers.listen != "" {
			r.peers.conn = c
		} else if c != nil {
			_ = c.Close()
		}
		return r.legacy.listener, nil
	}
	lc := net.ListenConfig{}
	if cfg.AdminListen != "" {
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
func descriptors(configured int) int {
	var lim syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim) == nil && (configured <= 0 || uint64(configured) > lim.Cur) {
		return int(min(lim.Cur, 1<<20))
	}
	return configured
}

// Reload takes over what may change while the relay runs; see machine.Node.
func (r *Relay) Reload(cfg Config) error {
	sockets, done := descriptors(cfg.MaxDescriptors), make(chan error, 1)
	r.post(func(now time.Duration) { done <- r.node.Reload(now, cfg, sockets) })
	select {
	case err := <-done:
		return err
	case <-r.stopped:
		return errors.New("the relay has ended")
	}
}

// busyLine is how somebody is refused without the module: the relay is full, or leaves.
func (r *Relay) busyLine() string { return protocol.BusyAnswer(session.RetryAfter(r.settings.Load())) }

// Reloaded counts a file that was read again, taken or not.
func (r *Relay) Reloaded(ok bool) { r.node.Metrics().Reloaded(ok) }

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
	if r.second != nil {
		second = r.second.Addr().String()
		go r.second.Serve()
		defer r.second.Close()
	}
	go r.discovery.run(helpers)
	if err := r.peers.run(helpers); err != nil {
		r.log.Error("peers cannot be heard", zap.Error(err))
	}
	defer r.links.close()
	turn := true
	if g := r.legacy; g != nil {
		go r.succeed(g)
		turn = r.awaitTurn(ctx, g)
	}
	accepted := make(chan error, 1)
	if turn {
		r.peers.hear()
		go r.post(r.node.JoinMembership)
		r.serving.Store(true)
		go func() { accepted <- r.accept() }()
		if r.legacy != nil {
			r.legacy.say(lineServe)
		}
	}
	if cfg := &r.started; cfg.AdminListen != "" && cfg.RuntimeDir != "" {
		if e, err := newEstate(cfg, r); err == nil {
			go e.serve()
			defer e.close()
		} else {
			r.log.Warn("a next process will find nothing to take over", zap.Error(err))
		}
	}
	r.log.Info("serving", zap.Stringer("address", r.listener.Addr()), zap.Int64("flows", r.room.Load()),
		zap.String("discovery", agent), zap.String("management", second))
	var err error
	asked := false
	select {
	case <-ctx.Done():
		asked = true
		if r.legacy.alive() { // it goes on, and takes who comes from now on
			r.node.SetReplaced(true)
			_ = r.listener.SetDeadline(time.Unix(1, 0))
			_ = r.legacy.conn.Close()
		}
		r.post(r.node.Shutdown)
		<-r.left
	case err = <-accepted:
	}
	r.lastOnes(asked)
	cancel()
	close(stop)
	<-r.stopped
	r.probes.closeAll()
	return err
}

// shutDoor takes nobody else in: from here on, where another process shares the address, all come to that one. The loop
// has it done while what has been taken in is still served, so that hardly anybody is left to be turned away at the end.
func (r *Relay) shutDoor() {
	defer close(r.shut)
	r.closeDoor()
	_ = r.listener.Close()
}

// closeDoor takes in whoever still waits in the queue, so that they hear a last word: closing the socket over
// them would reset them. While another process has the queue as well it is left to that one. The acceptor is parked
// first: it may be busy with one of them, and would find its time over with the others still there.
func (r *Relay) closeDoor() {
	if r.node.Replaced() || !r.serving.Load() {
		return
	}
	_ = r.listener.SetDeadline(time.Unix(1, 0))
	busy := time.NewTimer(lastWords)
	defer busy.Stop()
	select {
	case <-r.parked:
	case <-busy.C:
	case <-r.stopped:
		return
	}
	_ = r.listener.SetDeadline(time.Now().Add(lastArrivals)) // in all: there may be no end of them
	for {
		conn, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		r.take(conn)
	}
}

// lastOnes ends what is left: who waits in the queue, unless it is lost, and whoever has not said an OPEN, is told BUSY.
func (r *Relay) lastOnes(queue bool) {
	if queue {
		host{r}.StopAccepting()
		<-r.shut
	}
	_ = r.listener.Close()
	r.lobby.empty()
	r.part()
}

// part waits until all connections have ended, or for lastWords. The loop still runs: who has said OPEN just now is
// turned away by it.
func (r *Relay) part() {
	over := make(chan struct{})
	go func() {
		r.guests.Wait()
		close(over)
	}()
	enough := time.NewTimer(lastWords)
	defer enough.Stop()
	select {
	case <-over:
	case <-enough.C:
	}
}

// lastArrivals is how long the queue is emptied at the end, all in all.
const lastArrivals = 10 * time.Millisecond

// accept takes connections in, all of them at once: who has no whole OPEN yet is
// a guest of the lobby, and only that costs one its place. EMFILE never comes up.
func (r *Relay) accept() error {
	for {
		conn, err := r.listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if timedOut(err) { // parked
				select {
				case r.parked <- struct{}{}:
				default:
				}
				select {
				case <-r.unpark:
					select {
					case <-r.parked: // no more
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
		r.take(conn)
	}
}

// take has a connection served.
func (r *Relay) take(conn *net.TCPConn) {
	_ = conn.SetDeadline(time.Now().Add(handshake.HandshakeTimeout))
	f := &flow{relay: r, client: newLine(conn), m: session.New(r.seq.Add(1), r.settings.Load(), r.node.Metrics()),
		orders: make(chan session.Command, 16), left: make(chan bool, 1), stands: make(chan struct{}),
		over: make(chan struct{})}
	g := r.lobby.enter(conn)
	f.m.Accepted(g)
	r.guests.Add(1)
	go f.serve(g)
}

// admit counts a flow in, unless the limits are reached.
func (r *Relay) admit() bool {
	if r.flowing.Add(1) > r.room.Load() {
		r.flowing.Add(-1)
		return false
	}
	return true
}

// bad counts and logs bad input.
func (r *Relay) bad(conn net.Conn, err error) {
	r.log.Warn("bad input", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
}

// staff is what the second address asks of a relay. It reads what is published and
// leaves word for the loop; it never waits for it.
type staff struct{ *Relay }

var _ admin.Relay = staff{}

func (s staff) State() admin.State {
	switch n := s.node; {
	case n.ShuttingDown():
		return admin.ShuttingDown
	case n.Drained():
		return admin.Drained
	case n.Ready() && s.serving.Load():
		return admin.Serving
	}
	return admin.Starting
}

func (s staff) Metrics() metrics.Snapshot { return s.node.Metrics().Snapshot() }

func (s staff) SetDrained(on bool) {
	s.drain(on)
	word := lineUndrain
	if on {
		word = lineDrain
	}
	s.links.say(word) // while there are two processes the relay is both
}

// drain has clients sent away, or taken again.
func (r *Relay) drain(on bool) {
	r.node.SetDrained(on) // PING says so from now on
	select {
	case r.drains <- struct{}{}:
	default: // the loop will look anyway
	}
}
