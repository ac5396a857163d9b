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
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
)

const (
	// eventQueueLength is how many events may be queued for the event loop before post blocks.
	eventQueueLength = 1024

	// maxDescriptorLimit caps the system's limit, which may be unlimited.
	maxDescriptorLimit = 1 << 20
)

// ErrStopped is returned for requests to a relay that no longer runs.
var ErrStopped = errors.New("relay has stopped")

// Config is the configuration of a relay.
type Config = controller.Config

// Relay is one running relay. Create it with New and serve with Run.
type Relay struct {
	settings      atomic.Pointer[settings.Settings] // in force
	initialConfig Config
	seed          uint64
	log           *zap.Logger
	startTime     time.Time
	startUnix     time.Duration // startTime as Unix time

	events           chan func(now time.Duration)
	drainChanged     chan struct{} // the admin endpoint has switched draining on or off
	stopped          chan struct{} // closed when the event loop has ended
	shutdownFinished chan struct{} // closed by the event loop when the controller has finished the shutdown

	listener             *net.TCPListener
	sessionCount         atomic.Int64 // sessions that use descriptors now
	maxSessions          atomic.Int64
	auxiliaryDescriptors atomic.Int64   // descriptors reserved for health checks and the admin endpoint
	connections          sync.WaitGroup // client connections from accept to close
	lastSessionID        atomic.Uint64

	accepting         atomic.Bool   // this process accepts connections
	resumeAccept      chan struct{} // signals a paused acceptor to resume
	acceptPaused      chan struct{} // the acceptor has paused
	stopAcceptingOnce sync.Once
	requestIDsOnce    sync.Once
	listenerClosed    chan struct{} // closed when accepting has stopped

	handshakes        *handshakePool
	discovery         *discoveryConn
	endpointsReceived chan struct{} // closed once there is an endpoint list
	healthChecks      *healthChecker
	peers             *peerSocket
	adminServer       *admin.Server // nil: there is no admin endpoint

	predecessor        *predecessor // nil: this process took over from none
	processLinks       processLinks
	successorLink      *processLink  // used by the event loop only; nil: there is no successor
	requestIDsReceived chan struct{} // closed once the predecessor has sent the IDs of its open requests

	// Used by the event loop only, except for the controller's methods that any goroutine may call.
	controller *controller.Controller
	sessions   map[uint64]*clientSession
}

// New checks a configuration and opens the listeners of a relay, or takes them over from a running process of the same
// relay. No connection is accepted before Run.
func New(cfg Config, log *zap.Logger) (*Relay, error) {
	r := newRelay(cfg, log)
	limits := controller.AllocateDescriptors(descriptorLimit(cfg.MaxDescriptors), cfg.MemoryMB, cfg.AdminListen != "")
	r.maxSessions.Store(int64(limits.Sessions))
	r.handshakes = newHandshakePool(limits.Handshakes, r.busyAnswer(), r.now)
	r.discovery = newDiscoveryConn(cfg.Discovery, r)
	r.healthChecks = newHealthChecker(r, limits.HealthChecks)
	r.peers = newPeerSocket(cfg, r)
	var err error
	if r.controller, err = controller.New(r.now(), cfg, driver{r}, log); err != nil {
		return nil, err
	}
	r.settings.Store(r.controller.Settings())
	r.controller.SetDescriptors(descriptorLimit(cfg.MaxDescriptors))
	if r.listener, err = r.listen(cfg); err != nil {
		return nil, err
	}
	r.auxiliaryDescriptors.Store(int64(limits.HealthChecks + limits.AdminConnections))
	if cfg.AdminListen != "" {
		r.adminServer, err = admin.Listen(cfg.AdminListen, limits.AdminConnections, adminRelay{r}, log)
		if err != nil {
			_ = r.listener.Close()
			return nil, err
		}
	}
	return r, nil
}

// newRelay returns a relay with its channels and clock, still without its components.
func newRelay(cfg Config, log *zap.Logger) *Relay {
	r := &Relay{
		initialConfig:      cfg,
		seed:               cfg.Seed,
		log:                log,
		startTime:          time.Now(),
		events:             make(chan func(time.Duration), eventQueueLength),
		drainChanged:       make(chan struct{}, 1),
		stopped:            make(chan struct{}),
		shutdownFinished:   make(chan struct{}),
		resumeAccept:       make(chan struct{}, 1),
		acceptPaused:       make(chan struct{}, 1),
		listenerClosed:     make(chan struct{}),
		endpointsReceived:  make(chan struct{}),
		requestIDsReceived: make(chan struct{}),
		sessions:           map[uint64]*clientSession{},
	}
	r.startUnix = time.Duration(r.startTime.UnixNano())
	initial := cfg.Settings
	r.settings.Store(&initial)
	return r
}

// listen opens the listener for clients, or takes it over from the predecessor.
func (r *Relay) listen(cfg Config) (*net.TCPListener, error) {
	if r.predecessor = connectPredecessor(&cfg, r.log); r.predecessor != nil {
		r.restoreFrom(r.predecessor)
		return r.predecessor.listener, nil
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

// descriptorLimit returns the configured number of descriptors, bounded by what the system allows.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return configured
	}
	if configured <= 0 || uint64(configured) > limit.Cur {
		return int(min(limit.Cur, maxDescriptorLimit))
	}
	return configured
}

// Reload applies what may change while the relay runs; see controller.Controller.Reload. It returns ErrStopped when the
// relay has ended.
func (r *Relay) Reload(cfg Config) error {
	descriptors, done := descriptorLimit(cfg.MaxDescriptors), make(chan error, 1)
	r.post(func(now time.Duration) { done <- r.controller.Reload(now, cfg, descriptors) })
	select {
	case err := <-done:
		return err
	case <-r.stopped:
		return ErrStopped
	}
}

// busyAnswer returns the answer to a client that is refused before it reaches the controller: the relay is full or shuts down.
func (r *Relay) busyAnswer() string {
	return protocol.BusyAnswer(session.RetryAfter(r.settings.Load()))
}

// Reloaded counts a reload of the configuration, which was applied (ok) or rejected.
func (r *Relay) Reloaded(ok bool) { r.controller.Metrics().Reloaded(ok) }

// Addr returns the address the relay listens on.
func (r *Relay) Addr() net.Addr { return r.listener.Addr() }

// Run serves until ctx is done and then shuts down: it still serves new connections, answers all pending
// requests and migrates the remaining sessions.
func (r *Relay) Run(ctx context.Context) error {
	stopLoop := make(chan struct{})
	background, cancel := context.WithCancel(context.Background())
	discoveryAddress := r.discovery.address
	go r.loop(stopLoop)
	adminAddress := ""
	if r.adminServer != nil {
		adminAddress = r.adminServer.Addr().String()
		go r.adminServer.Serve()
		defer r.adminServer.Close()
	}
	go r.discovery.run(background)
	if err := r.peers.run(background); err != nil {
		r.log.Error("peer socket unavailable", zap.Error(err))
	}
	defer r.processLinks.close()
	acceptEnded := r.startServing(ctx)
	if hotRestartListener := r.listenForSuccessor(); hotRestartListener != nil {
		go hotRestartListener.serve()
		defer hotRestartListener.close()
	}
	r.log.Info("serving", zap.Stringer("address", r.listener.Addr()), zap.Int64("flows", r.maxSessions.Load()),
		zap.String("discovery", discoveryAddress), zap.String("management", adminAddress))

	requested, err := r.awaitShutdown(ctx, acceptEnded)
	r.closeRemaining(requested)
	cancel()
	close(stopLoop)
	<-r.stopped
	r.healthChecks.closeAll()
	return err
}

// startServing begins to accept connections; after a hot restart only once this process is ready. The channel
// yields the result of accept.
func (r *Relay) startServing(ctx context.Context) <-chan error {
	acceptEnded := make(chan error, 1)
	if p := r.predecessor; p != nil {
		go r.followPredecessor(p)
		if !r.awaitReadiness(ctx, p) || !r.awaitRequestIDs(ctx, p) {
			return acceptEnded
		}
	}
	r.peers.startReceiving()
	go r.post(r.controller.JoinMembership)
	r.accepting.Store(true)
	go func() { acceptEnded <- r.accept() }()
	if r.predecessor != nil {
		r.predecessor.send(lineServing)
	}
	return acceptEnded
}
