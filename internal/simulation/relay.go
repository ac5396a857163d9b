package simulation

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/healthcheck"
	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
)

// relay runs the controller of one relay, as package relay does on sockets. Events take the place of the real
// program's goroutines; the delay of each hand-off between two goroutines is drawn.
type relay struct {
	*host
	run                 *run
	number              int
	cfg                 controller.Config
	controller          *controller.Controller
	handshakes          *handshake.Pool
	healthChecks        *healthcheck.Checker
	sessionLimit        int
	sessionCount        int
	lastSession         uint64
	sessions            map[uint64]*sessionDriver // never ranged over: the order of a map is random
	acceptQueue         []*connEnd                // accepted while the handshake pool is full
	lastPostAt          time.Duration             // keeps posted events in order
	nextTimerAt         time.Duration             // 0: none is scheduled
	discoveryGeneration int                       // number of the current discovery client
	discoveryClient     *discovery.Client
	discoveryBusy       bool // a request is pending, or the delay after one
	shuttingDown        bool
	lowDescriptors      bool            // runs with a low descriptor limit from the start
	processNumber       int             // the checker's number of this process
	predecessor         *relay          // process that this one replaces; nil once that has ended
	successor           *relay          // process that replaces this one
	reloadCount         int             // configurations accepted by this process
	rejectedReloads     int             // configurations rejected by this process
	knownEndpoints      []endpointEntry // delivered by discovery; the next process starts with them as its cached list
	paused              bool            // the controller's goroutine is stopped
	pausedAt            time.Duration
	firstIncarnation    uint64             // of the process, for a mutation
	oldDatagrams        [][]byte           // by sender, for a mutation
	waitingEvents       []func()           // of the controller, until the end of the pause
	heldStates          []membership.State // what this process holds of the relays, as the checker knows; nil: not yet
}

// processLinkDelay is how long a message takes between the two processes of a hot restart.
const processLinkDelay = 100 * time.Microsecond

// mutationSlack is how far beyond the settings' limit a mutation delays an action: 60 ms more than the checker allows.
const mutationSlack = 110 * time.Millisecond

// boot starts a process with the relay's current configuration.
func (r *relay) boot() {
	r.start()
	engine := r.engine
	r.cfg.Seed = engine.rng.Uint64()
	r.sessions, r.acceptQueue, r.sessionCount, r.lastSession, r.shuttingDown = map[uint64]*sessionDriver{}, nil, 0, 0, false
	r.reloadCount, r.rejectedReloads = 0, 0
	r.paused, r.waitingEvents, r.firstIncarnation, r.oldDatagrams = false, nil, 0, nil
	r.processNumber = r.run.checker.RelayProcess(r.number)
	r.lastPostAt, r.nextTimerAt, r.discoveryClient = engine.now, 0, nil
	shares := controller.AllocateDescriptors(r.cfg.MaxDescriptors, r.cfg.MemoryMB, r.cfg.AdminListen != "")
	r.sessionLimit = shares.Sessions
	r.handshakes = handshake.NewPool(shares.Handshakes)
	var err error
	r.controller, err = controller.New(engine.now, r.mutate(r.cfg), r, zap.NewNop())
	if err != nil {
		panic(fmt.Sprintf("simulation: relay %s does not start: %v", r.name, err))
	}
	r.healthChecks = healthcheck.New(r.controller.Settings(), shares.HealthChecks)
	r.startDiscoveryClient(r.cfg.Discovery, false)
	r.scheduleTimer()
	if engine.trace != nil {
		engine.tracef("%s up", r.name)
	}
}

// whileRunning returns a function that calls do if this process is still running by then.
func (r *relay) whileRunning(do func()) func() {
	incarnation := r.incarnation
	return func() {
		if r.incarnation == incarnation {
			do()
		}
	}
}

// handOff runs do as another goroutine of the relay would: after a short drawn delay.
func (r *relay) handOff(do func()) { r.engine.schedule(r.engine.goroutineDelay(), r.whileRunning(do)) }

// post runs an event of the controller. Events run in the order in which they were posted.
func (r *relay) post(handle func(now time.Duration)) {
	r.lastPostAt = max(r.lastPostAt, r.engine.now+r.engine.goroutineDelay())
	r.engine.scheduleAt(r.lastPostAt, r.whileRunning(func() {
		r.whileNotPaused(func() {
			handle(r.engine.now)
			r.scheduleTimer()
			r.observeMembers()
		})
	}))
}

// scheduleTimer schedules the controller's next timer.
func (r *relay) scheduleTimer() {
	at, ok := r.controller.NextTimer()
	if !ok || r.nextTimerAt > r.engine.now && r.nextTimerAt <= at {
		return
	}
	at = max(at, r.engine.now)
	r.nextTimerAt = at
	r.engine.scheduleAt(at, r.whileRunning(func() {
		if r.nextTimerAt == at {
			r.nextTimerAt = 0
		}
		if !r.paused { // resume fires them
			r.fireTimers()
		}
	}))
}

// fireTimers fires the controller's timers that are due, and schedules the next.
func (r *relay) fireTimers() {
	r.replayDatagrams()
	r.controller.FireTimers(r.engine.now)
	r.scheduleTimer()
	r.observeMembers()
}

var _ controller.Driver = (*relay)(nil)

// SendCommand delivers a command of the controller to a session.
func (r *relay) SendCommand(seq uint64, command session.Command) {
	driver := r.sessions[seq]
	if driver == nil {
		return
	}
	driver.lastCommandAt = max(driver.lastCommandAt, r.engine.now+r.engine.goroutineDelay())
	r.engine.scheduleAt(driver.lastCommandAt, r.whileRunning(func() { driver.handleCommand(command) }))
}

// MigrateSession migrates an established session.
func (r *relay) MigrateSession(seq uint64) {
	if r.run.hasMutation(MutationDrainKeepsSessions) && r.controller.Drained() {
		return
	}
	if driver := r.sessions[seq]; driver != nil {
		driver.session.Migrate()
		r.handOff(driver.migrate)
	}
}

// ReportClientError does nothing: the simulation has no log.
func (r *relay) ReportClientError(uint64, error) {}

// EndpointsReceived does nothing: a simulated relay does not wait for the first endpoint list when it starts.
func (r *relay) EndpointsReceived() {}

// SendIDMessage passes a message about request IDs to the other process of a hot restart.
func (r *relay) SendIDMessage(to hotrestart.Process, message hotrestart.IDMessage) {
	r.sendToProcess(to, func(receiver *controller.Controller, now time.Duration) {
		if to == hotrestart.Successor {
			receiver.HandlePredecessorMessage(now, message)
		} else {
			receiver.HandleSuccessorMessage(now, message)
		}
	})
}

// SendEndpointMessage passes a message about endpoints to the other process of a hot restart.
func (r *relay) SendEndpointMessage(to hotrestart.Process, message hotrestart.EndpointMessage) {
	from := hotrestart.Predecessor
	if to == hotrestart.Predecessor {
		from = hotrestart.Successor
	}
	r.sendToProcess(to, func(receiver *controller.Controller, now time.Duration) {
		receiver.HandleEndpointMessage(now, from, message)
	})
}

// sendToProcess has the other process of a hot restart handle a message. A successor whose predecessor has exited drops it.
func (r *relay) sendToProcess(to hotrestart.Process, handle func(receiver *controller.Controller, now time.Duration)) {
	switch successor, predecessor := r.successor, r.predecessor; {
	case to == hotrestart.Successor && successor != nil:
		successor.receiveFromProcess(func(now time.Duration) {
			if successor.predecessor != nil {
				handle(successor.controller, now)
			}
		})
	case to == hotrestart.Predecessor && predecessor != nil:
		predecessor.receiveFromProcess(func(now time.Duration) { handle(predecessor.controller, now) })
	}
}

// receiveFromProcess runs an event that another process of the relay causes. The delay is constant, so that the messages keep
// their order and recorded seeds draw the numbers that they drew before there were messages.
func (r *relay) receiveFromProcess(handle func(now time.Duration)) {
	r.engine.schedule(processLinkDelay, r.whileRunning(func() {
		r.whileNotPaused(func() {
			handle(r.engine.now)
			r.scheduleTimer()
			r.observeMembers()
		})
	}))
}

// RequestIDsReceived does nothing: a simulated relay does not wait for the request IDs of its predecessor.
func (r *relay) RequestIDsReceived() {}

// SetSettings passes reloaded settings on to the health checks.
func (r *relay) SetSettings(s *settings.Settings) { r.healthChecks.SetSettings(s) }

// SetLimits changes the limits of sessions, handshakes and health checks.
func (r *relay) SetLimits(limits controller.Limits) {
	r.sessionLimit = limits.Sessions
	r.handshakes.Resize(limits.Handshakes)
	r.healthChecks.Resize(limits.HealthChecks)
}

// StopAccepting does nothing: a relay serves connections that arrive during its shutdown, which waits for them.
func (r *relay) StopAccepting() {}

// ShutdownFinished ends the process. Its open sessions are reset, which the checker counts as cut off.
func (r *relay) ShutdownFinished() {
	if r.engine.trace != nil {
		r.engine.tracef("%s left", r.name)
	}
	for _, pending := range r.handshakes.RemoveAll() {
		conn := pending.Conn.(*connEnd)
		if pending.AwaitsAnswer() {
			conn.write([]byte(r.busyAnswer()), func(bool) {})
		}
		conn.closeWrite()
	}
	r.kill()
	if predecessor := r.predecessor; predecessor != nil && predecessor.up {
		predecessor.receiveFromProcess(predecessor.controller.SuccessorExited)
	}
	if r.successor != nil {
		r.run.count("old process left")
		r.completeUpgrade()
		return
	}
	r.run.checker.RelayStopped(r.number)
	r.run.count("relay left")
}

// busyAnswer is the refusal with the retry delay of the current settings.
func (r *relay) busyAnswer() string {
	return protocol.BusyAnswer(session.RetryAfter(r.controller.Settings()))
}

// dialBackend dials a backend; the checker observes the connection.
func (r *relay) dialBackend(addr string, timeout time.Duration, done func(*connEnd)) {
	b := r.run.backendAt(addr)
	if b == nil {
		r.handOff(func() { done(nil) })
		return
	}
	r.dial(b.host, timeout, func(conn *connEnd) {
		if conn != nil {
			conn.observer = backendObserver{r.run.checker.BackendConnected(conn.id, r.number, b.id)}
		}
		done(conn)
	})
}
