package simulation

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/healthcheck"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

var errNotUp = errors.New("refused, or not up in time")

// relay drives the machines of one relay, as package relay does on sockets. What there
// are goroutines are events here, and how long one waits for another is the seed's.
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
	sessions            map[uint64]*sessionDriver // never ranged over
	acceptQueue         []*connEnd                // accepted, while the acceptor waits
	lastPost            time.Duration
	timerDeadline       time.Duration
	discoveryGeneration int // counts the agents followed
	discoveryClient     *discovery.Client
	discoveryBusy       bool // a call to the agent is out, or the pause after one
	shuttingDown        bool
	lowDescriptors      bool            // it has few descriptors from the start
	processNumber       int             // its number, as the checker counts
	predecessor         *relay          // the process before this one, while it runs
	successor           *relay          // the process after this one
	reloadCount         int             // files that this process took
	rejectedReloads     int             // and turned down
	knownEndpoints      []endpointEntry // what discovery has told, as its configuration will say it
}

// boot starts a process with the configuration that is at hand.
func (r *relay) boot() {
	r.start()
	engine := r.engine
	r.cfg.Seed = engine.rng.Uint64()
	r.sessions, r.acceptQueue, r.sessionCount, r.lastSession, r.shuttingDown = map[uint64]*sessionDriver{}, nil, 0, 0, false
	r.reloadCount, r.rejectedReloads = 0, 0
	r.processNumber = r.run.checker.RelayProcess(r.number)
	r.lastPost, r.timerDeadline, r.discoveryClient = engine.now, 0, nil
	shares := controller.AllocateDescriptors(r.cfg.MaxDescriptors, r.cfg.MemoryMB, r.cfg.AdminListen != "")
	r.sessionLimit = shares.Sessions
	r.handshakes = handshake.NewPool(shares.Handshakes)
	node, err := controller.New(engine.now, r.mutate(r.cfg), r, zap.NewNop())
	if err != nil {
		panic(fmt.Sprintf("a relay does not start: %v", err))
	}
	r.controller = node
	r.healthChecks = healthcheck.New(node.Settings(), shares.HealthChecks)
	r.followAgent(r.cfg.Discovery, false)
	r.scheduleTimer()
	if engine.trace != nil {
		engine.tracef("%s up", r.name)
	}
}

// alive wraps what is to happen to this process only.
func (r *relay) whileRunning(do func()) func() {
	life := r.incarnation
	return func() {
		if r.incarnation == life {
			do()
		}
	}
}

func (r *relay) handOff(do func()) { r.engine.schedule(r.engine.goroutineDelay(), r.whileRunning(do)) }

// post has the Node hear something, in the order in which it was posted.
func (r *relay) post(e func(now time.Duration)) {
	r.lastPost = max(r.lastPost, r.engine.now+r.engine.goroutineDelay())
	r.engine.scheduleAt(r.lastPost, r.whileRunning(func() {
		e(r.engine.now)
		r.scheduleTimer()
	}))
}

// tick has the Node's next timer fire.
func (r *relay) scheduleTimer() {
	at, ok := r.controller.NextTimer()
	if !ok || r.timerDeadline > r.engine.now && r.timerDeadline <= at {
		return
	}
	at = max(at, r.engine.now)
	r.timerDeadline = at
	r.engine.scheduleAt(at, r.whileRunning(func() {
		if r.timerDeadline == at {
			r.timerDeadline = 0
		}
		r.controller.FireTimers(r.engine.now)
		r.scheduleTimer()
	}))
}

// --- what the Node has done ------------------------------------------------------

var _ controller.Driver = (*relay)(nil)

func (r *relay) SendCommand(seq uint64, command session.Command) {
	driver := r.sessions[seq]
	if driver == nil {
		return
	}
	driver.lastCommand = max(driver.lastCommand, r.engine.now+r.engine.goroutineDelay())
	r.engine.scheduleAt(driver.lastCommand, r.whileRunning(func() { driver.handleCommand(command) }))
}

func (r *relay) MigrateSession(seq uint64) {
	if r.run.hasMutation(MutationDrainKeepsSessions) && r.controller.Drained() {
		return
	}
	if driver := r.sessions[seq]; driver != nil {
		driver.session.Migrate()
		r.handOff(driver.migrate)
	}
}

func (r *relay) ReportClientError(uint64, error) {}
func (r *relay) EndpointsReceived()              {}

func (r *relay) SetSettings(s *settings.Settings) { r.healthChecks.SetSettings(s) }

func (r *relay) ReleaseHealthCheck(id balance.BackendID) {
	if c := r.healthChecks.DropIdle(id); c != nil {
		c.(*connEnd).close()
	}
}

func (r *relay) SendDatagram(to string, data []byte) { r.run.deliverDatagram(r, to, data) }
func (r *relay) SetDiscoveryAddress(address string) {
	if r.run.hasMutation(MutationStaleDiscovery) {
		return
	}
	r.handOff(func() { r.followAgent(address, true) })
}

func (r *relay) SetLimits(limits controller.Limits) {
	r.sessionLimit = limits.Sessions
	r.handshakes.Resize(limits.Handshakes)
	r.healthChecks.Resize(limits.HealthChecks)
}

// StopAccepting changes nothing here: who comes before the end is served, and the end waits for it.
func (r *relay) StopAccepting() {}

func (r *relay) Stopped() {
	if r.engine.trace != nil {
		r.engine.tracef("%s left", r.name)
	}
	for _, handshake := range r.handshakes.RemoveAll() {
		c := handshake.Conn.(*connEnd)
		if handshake.AwaitsAnswer() {
			c.write([]byte(protocol.BusyAnswer(session.RetryAfter(r.controller.Settings()))), func(bool) {})
		}
		c.closeWrite()
	}
	r.kill() // what it still holds breaks; the checker counts that as cut off
	if r.successor != nil {
		r.run.count("old process left")
		r.completeUpgrade()
		return
	}
	r.run.checker.RelayStopped(r.number)
	r.run.count("relay left")
}

// --- discovery -------------------------------------------------------------------

func (r *relay) RequestEndpoints(watch bool) {
	r.handOff(func() {
		r.discoveryClient.Schedule(watch)
		r.requestEndpoints()
	})
}

func (r *relay) followAgent(address string, moved bool) {
	r.discoveryGeneration++
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 0xd15c))
	r.discoveryClient = discovery.NewClient(address, r.controller.Settings(), moved, rng)
	if v, ok := r.controller.CachedVersion(); ok && !moved {
		r.discoveryClient.ResumeFrom(v)
	}
	r.discoveryBusy = false
	r.requestEndpoints()
}

// call makes the next call to the agent, if one is due.
func (r *relay) requestEndpoints() {
	if r.discoveryBusy {
		return
	}
	request, ok := r.discoveryClient.NextRequest()
	if !ok {
		return
	}
	r.discoveryBusy = true
	life, follows, over := r.incarnation, r.discoveryGeneration, false
	current := func(do func()) func() { // an answer may come after this process has ended
		return func() {
			if r.incarnation == life && r.discoveryGeneration == follows && !over {
				over = true
				do()
			}
		}
	}
	failed := current(func() { r.handleDiscoveryUpdate(r.discoveryClient.HandleFailure(true)) })
	r.engine.schedule(request.Timeout, failed)
	r.run.catalog.agent(r.discoveryClient.Address).request(request, func(body []byte, tell func()) {
		r.engine.schedule(r.engine.segmentDelay()/4, current(func() {
			news, err := r.discoveryClient.HandleResponse(body)
			if err != nil {
				panic(fmt.Sprintf("a body cannot be read: %v", err))
			}
			tell()
			r.handleDiscoveryUpdate(news)
		}))
	})
}

func (r *relay) handleDiscoveryUpdate(update discovery.Update) {
	if update.Changed {
		deliver := func(now time.Duration) { r.controller.EndpointsUpdated(now, update.Endpoints, update.Kind) }
		if r.run.hasMutation(MutationLateDrain) && update.Kind != balance.UpdateFailed {
			r.engine.schedule(r.controller.Settings().DrainGrace+110*time.Millisecond, r.whileRunning(func() { r.post(deliver) }))
		} else {
			r.post(deliver)
		}
	}
	follows := r.discoveryGeneration
	r.engine.schedule(update.RetryDelay, r.whileRunning(func() {
		if r.discoveryGeneration == follows {
			r.discoveryBusy = false
			r.requestEndpoints()
		}
	}))
}

// --- probes ----------------------------------------------------------------------

func (r *relay) StartHealthCheck(b *upstream.Backend) {
	r.handOff(func() {
		check, step := r.healthChecks.Start(r.engine.now, b)
		r.continueHealthCheck(check, step)
	})
}

func (r *relay) continueHealthCheck(check *healthcheck.Check, step healthcheck.Step) {
	for _, c := range step.Close {
		c.(*connEnd).close()
	}
	if k := step.Keep; k != nil {
		conn := k.Conn.(*connEnd)
		conn.onReadable = nil
		r.engine.schedule(r.healthChecks.IdleTimeout(), r.whileRunning(func() {
			if r.healthChecks.ExpireIdle(k) {
				conn.close()
			}
		}))
	}
	switch {
	case step.Done:
		r.post(func(now time.Duration) { r.controller.HealthCheckDone(now, check.Result) })
	case step.Dial:
		r.dialBackend(check.Address, r.controller.Settings().DialTimeout, func(conn *connEnd) {
			if conn == nil {
				r.continueHealthCheck(check, check.DialFailed(r.engine.now))
				return
			}
			r.continueHealthCheck(check, check.Connected(r.engine.now, conn))
		})
	default:
		r.sendHealthCheck(check, step.Send.(*connEnd))
	}
}

func (r *relay) sendHealthCheck(check *healthcheck.Check, conn *connEnd) {
	over := false
	finish := func(next func(now time.Duration) healthcheck.Step) {
		if !over {
			over = true
			conn.onReadable = nil
			r.continueHealthCheck(check, next(r.engine.now))
		}
	}
	conn.onReadable = func() {
		if i := bytes.IndexByte(conn.received, '\n'); i >= 0 {
			answer := string(bytes.TrimRight(conn.received[:i], "\r\n"))
			conn.consume(i + 1)
			finish(func(now time.Duration) healthcheck.Step { return check.ReadAnswer(now, answer) })
		} else if conn.remoteEnd != session.NoEnd {
			finish(func(now time.Duration) healthcheck.Step { return check.ConnectionEnded(now, false) })
		}
	}
	r.engine.scheduleAt(max(check.Deadline, r.engine.now), r.whileRunning(func() {
		finish(func(now time.Duration) healthcheck.Step { return check.ConnectionEnded(now, true) })
	}))
	conn.write([]byte(r.healthChecks.RequestLine()), func(bool) {})
	conn.notifyReadable()
}

// dialBackend dials an address and has the connection watched.
func (r *relay) dialBackend(addr string, within time.Duration, done func(*connEnd)) {
	b := r.run.backendAt(addr)
	if b == nil {
		r.handOff(func() { done(nil) })
		return
	}
	r.dial(b.host, within, func(conn *connEnd) {
		if conn != nil {
			conn.observer = backendObserver{r.run.checker.BackendConnected(conn.id, r.number, b.id)}
		}
		done(conn)
	})
}

// --- clients ---------------------------------------------------------------------

func (r *relay) acceptConn(conn *connEnd) {
	conn.observer = clientObserver{r.run.checker.ClientAccepted(conn.id, r.number, r.processNumber)}
	r.acceptQueue = append(r.acceptQueue, conn)
	if len(r.acceptQueue) == 1 {
		r.admitQueued()
	}
}

// admitNext takes the next connection into the lobby, as soon as that has room.
func (r *relay) admitQueued() {
	for len(r.acceptQueue) > 0 {
		conn := r.acceptQueue[0]
		in, out, wait := r.handshakes.Add(r.engine.now, conn)
		if out != nil {
			c := out.Conn.(*connEnd)
			if out.AwaitsAnswer() {
				c.write([]byte(protocol.BusyAnswer(session.RetryAfter(r.controller.Settings()))), func(bool) {})
			}
			c.close()
		}
		if wait > 0 {
			r.engine.schedule(wait, r.whileRunning(r.admitQueued))
			return
		}
		if in == nil {
			continue
		}
		r.acceptQueue = r.acceptQueue[1:]
		r.lastSession++
		driver := &sessionDriver{relay: r, session: session.New(r.lastSession, r.controller.Settings(), r.controller.Metrics()), client: conn, handshake: in}
		driver.session.Accepted(in)
		conn.onReadable = driver.readHandshake
		r.engine.schedule(handshake.HandshakeTimeout, r.whileRunning(func() {
			if driver.state == stateHandshake {
				driver.reject(driver.session.HandshakeEnded(session.EndTimeout, len(driver.client.received)))
			}
		}))
		r.handOff(driver.readHandshake)
	}
}

// The states of a flow.
const (
	stateHandshake = iota
	stateLingering
	stateWaiting
	stateEstablished
	stateClosing
	stateClosed
)

type sessionDriver struct {
	relay            *relay
	session          *session.Session
	client           *connEnd
	handshake        *handshake.Connection
	state            int
	lastCommand      time.Duration
	clientDone       bool
	lingeredBytes    int // bytes read off
	attempt          *attemptDriver
	backend          *connEnd
	upstreamBusy     bool
	downstreamBusy   bool
	idleCheckPending bool
	moveInsideLine   bool // broken on purpose: MOVE goes out in the middle of a line
	answerDelayed    bool // broken on purpose: the answer is still to go out
}

func (d *sessionDriver) readHandshake() {
	if d.state != stateHandshake {
		return
	}
	for seen := 0; ; {
		if len(d.client.received) == seen {
			switch {
			case d.client.closed: // it had to give way
				d.state = stateClosed
			case d.client.remoteEnd != session.NoEnd:
				d.reject(d.session.HandshakeEnded(d.client.remoteEnd, seen))
			}
			return
		}
		d.session.SetSettings(d.relay.controller.Settings())
		g, err := d.session.ReadHandshake(d.relay.engine.now, d.client.received, d.relay.controller.Ready() || d.relay.run.hasMutation(MutationDrainedSaysReady))
		switch {
		case err != nil:
			d.reject(err)
			return
		case g.Opened:
			d.openSession()
			return
		case g.Consumed == 0:
			seen = len(d.client.received)
			continue
		}
		d.client.consume(g.Consumed)
		d.client.write([]byte(g.Reply), func(bool) {})
	}
}

// reject answers what was no request and reads its sender off; without an error
// the client has just left.
func (d *sessionDriver) reject(err error) {
	if err == nil {
		d.state = stateClosed
		d.client.close()
		d.relay.handshakes.Remove(d.handshake)
		return
	}
	d.refuse(protocol.AnswerFailed)
}

func (d *sessionDriver) refuse(answer string) {
	d.state = stateLingering
	d.sendAnswer(answer)
	d.relay.handshakes.MarkAnswered(d.handshake)
	done := func() {
		if d.state == stateLingering {
			d.state = stateClosed
			d.client.close()
			d.relay.handshakes.Remove(d.handshake)
		}
	}
	d.client.onReadable = func() {
		if d.lingeredBytes < handshake.MaxLingerBytes {
			d.lingeredBytes += len(d.client.received)
			d.client.consume(len(d.client.received))
		}
		if d.client.remoteEnd != session.NoEnd { // whoever never stops is held up until the time is over
			done()
		}
	}
	d.relay.engine.schedule(handshake.LingerTimeout, d.relay.whileRunning(done))
	d.client.notifyReadable()
}

// answer sends the client's last line and ends our side.
func (d *sessionDriver) sendAnswer(last string) {
	if d.relay.run.hasMutation(MutationLostAnswer) && last == protocol.AnswerFailed {
		last = ""
	}
	if d.relay.run.hasMutation(MutationLateAnswer) && d.state == stateWaiting {
		late := d.relay.controller.Settings().AnswerSlack + 110*time.Millisecond
		d.answerDelayed = true
		d.relay.engine.schedule(d.session.ArrivedAt+d.session.Timeout()+late-d.relay.engine.now, d.relay.whileRunning(func() {
			d.writeLastLine(last)
			d.awaitClientClose()
		}))
		return
	}
	d.writeLastLine(last)
	if d.relay.run.hasMutation(MutationSecondAnswer) && last != "" {
		d.client.writeClosed = false
		d.writeLastLine(last)
	}
}

func (d *sessionDriver) writeLastLine(last string) {
	if last != "" {
		d.client.write([]byte(last), func(bool) {})
	}
	d.client.closeWrite()
}

func (d *sessionDriver) openSession() {
	r := d.relay
	if r.sessionCount >= r.sessionLimit {
		if !r.run.hasMutation(MutationRefusalsUncounted) {
			d.session.Refused()
		}
		d.refuse(protocol.BusyAnswer(session.RetryAfter(r.controller.Settings())))
		return
	}
	if !r.handshakes.Remove(d.handshake) {
		d.session.Refused()
		d.state = stateClosed
		return
	}
	r.sessionCount++
	d.session.Admitted()
	d.state = stateWaiting
	d.client.onReadable = d.watchClient
	r.post(func(now time.Duration) {
		r.sessions[d.session.Seq] = d
		r.controller.SessionOpened(now, d.session)
	})
	d.watchClient()
}

// waits looks whether the client leaves or goes on before its answer.
func (d *sessionDriver) watchClient() {
	head := d.session.Open.Len()
	if d.clientDone || d.state != stateWaiting || len(d.client.received) <= head && d.client.remoteEnd == session.NoEnd {
		return
	}
	d.clientDone = true
	spoke := len(d.client.received) > head
	soon := d.relay.handOff
	if d.relay.run.hasMutation(MutationLateClientClose) {
		soon = func(do func()) { d.relay.engine.schedule(400*time.Millisecond, d.relay.whileRunning(do)) }
	}
	soon(func() {
		switch {
		case d.state == stateWaiting:
			d.perform(d.session.ClientClosed(spoke))
			if d.relay.run.hasMutation(MutationAbandonedStayCounted) {
				d.session.Admitted()
			}
		case d.state == stateEstablished && spoke:
			d.closeBackend(d.session.ClientEnded(session.EndReset))
		case d.state == stateEstablished:
			d.closeBackend(d.session.ClientEnded(d.client.remoteEnd))
		}
	})
}

func (d *sessionDriver) handleCommand(command session.Command) {
	if d.state != stateWaiting {
		return
	}
	if d.relay.run.hasMutation(MutationOverlappingAttempts) && command.Backend != nil && d.attempt == nil {
		d.perform(d.session.Execute(d.relay.engine.now, command))
		if d.attempt != nil {
			second := &attemptDriver{driver: d, attempt: d.attempt.attempt}
			second.start()
		}
		return
	}
	d.perform(d.session.Execute(d.relay.engine.now, command))
}

func (d *sessionDriver) perform(actions session.Actions) {
	if actions.CancelAttempt && d.attempt != nil {
		d.attempt.cancel()
	}
	if actions.Answer != "" {
		d.sendAnswer(actions.Answer)
	}
	if actions.Attempt != nil {
		d.attempt = &attemptDriver{driver: d, attempt: actions.Attempt}
		d.attempt.start()
	}
	d.postEvent(actions.Event)
	if d.state == stateWaiting && !d.session.AwaitsCommands() && !d.answerDelayed {
		d.awaitClientClose()
	}
}

func (d *sessionDriver) postEvent(event session.Event) {
	r := d.relay
	if event.Kind == session.NoEvent {
		return
	}
	if event.Kind == session.AttemptEnded && event.Result.Status == balance.StatusCancelled && r.run.hasMutation(MutationLoadMiscounted) {
		event.Result.Attempt++ // the module does not know it
	}
	r.post(func(now time.Duration) { r.controller.SessionEvent(now, d.session.Seq, event) })
}

// wind waits for the client's end, for a while.
func (d *sessionDriver) awaitClientClose() {
	d.state = stateClosing
	done := func() {
		if d.state == stateClosing {
			d.state = stateClosed
			d.client.close()
			r := d.relay
			r.sessionCount--
			if r.run.hasMutation(MutationSessionLeak) {
				return
			}
			r.post(func(now time.Duration) {
				delete(r.sessions, d.session.Seq)
				r.controller.SessionClosed(now, d.session.Seq)
			})
		}
	}
	d.client.onReadable = func() {
		d.client.consume(len(d.client.received))
		if d.client.remoteEnd != session.NoEnd {
			done()
		}
	}
	d.relay.engine.schedule(session.CloseTimeout, d.relay.whileRunning(done))
	if d.client.closed {
		done()
		return
	}
	d.client.notifyReadable()
}

// try is one attempt on its way.
type attemptDriver struct {
	driver         *sessionDriver
	attempt        *session.Attempt
	conn           *connEnd
	upLine         []byte // the UP line
	awaitingAnswer bool
	done           bool
}

func (a *attemptDriver) start() {
	r := a.driver.relay
	a.awaitingAnswer, a.conn = false, nil
	r.dialBackend(a.attempt.Backend.Address(), min(a.attempt.DialTimeout, a.attempt.Deadline-r.engine.now), func(conn *connEnd) {
		switch {
		case a.done:
			if conn != nil {
				conn.close()
			}
			return
		case conn == nil:
			a.finish(a.attempt.DialFailed(errNotUp, false))
			return
		}
		a.conn = conn
		head, failure := a.attempt.Connected(r.engine.now)
		if failure != nil {
			a.finish(failure)
			return
		}
		ok := false
		conn.write(bytes.Join(head[:], nil), func(sent bool) { ok = sent })
		if !ok {
			a.finish(a.attempt.ConnectionEnded(0, false, errNotUp, false))
			return
		}
		a.awaitingAnswer = true
		lost := r.run.hasMutation(MutationAttemptsUndercounted) && r.engine.rng.IntN(50) == 0 || r.run.hasMutation(MutationShutdownAttemptsUncounted) && r.shuttingDown
		if !lost {
			a.attempt.RequestSent()
		}
		conn.onReadable = a.readAnswer
		r.engine.scheduleAt(a.attempt.Deadline, r.whileRunning(func() {
			if a.conn == conn && a.awaitingAnswer {
				a.finish(a.attempt.ConnectionEnded(0, true, errNotUp, true))
			}
		}))
		a.readAnswer()
	})
}

func (a *attemptDriver) readAnswer() {
	if a.done || !a.awaitingAnswer {
		return
	}
	if len(a.conn.received) > 0 {
		n, failure := a.attempt.ReadAnswer(a.conn.received)
		if n > 0 || failure != nil {
			a.upLine = slices.Clone(a.conn.received[:n]) // read: a reset takes only what is not
			a.conn.consume(n)
			a.finish(failure)
			return
		}
	}
	if a.conn.remoteEnd != session.NoEnd {
		a.finish(a.attempt.ConnectionEnded(0, true, errNotUp, false))
	}
}

// cancel breaks the attempt off.
func (a *attemptDriver) cancel() {
	if a.done {
		return
	}
	failure := a.attempt.DialFailed(errNotUp, true)
	if a.awaitingAnswer {
		failure = a.attempt.ConnectionEnded(0, true, errNotUp, false)
		failure.Abandon()
	}
	a.finish(failure)
}

func (a *attemptDriver) finish(failure *session.AttemptError) {
	r := a.driver.relay
	if a.done {
		return
	}
	if failure != nil {
		a.awaitingAnswer = false
		if a.conn != nil {
			if !r.run.hasMutation(MutationDescriptorLeak) {
				a.conn.close()
			}
			a.conn = nil
		}
		if pause, ok := a.attempt.RetryDelay(r.engine.now, failure); ok {
			r.engine.schedule(pause, r.whileRunning(func() {
				if !a.done {
					a.start()
				}
			}))
			return
		}
	}
	a.done = true
	if a.conn != nil {
		a.conn.onReadable = nil
	}
	r.handOff(func() { a.driver.attemptDone(a, failure) })
}

func (d *sessionDriver) attemptDone(attempt *attemptDriver, failure *session.AttemptError) {
	if attempt != d.attempt || d.state != stateWaiting {
		if attempt.conn != nil {
			attempt.conn.close()
		}
		return
	}
	d.attempt = nil
	actions := d.session.AttemptDone(d.relay.engine.now, attempt.attempt, failure)
	if actions.CloseBackend {
		attempt.conn.close()
	}
	if !actions.Establish {
		d.perform(actions)
		return
	}
	d.state, d.backend = stateEstablished, attempt.conn
	d.client.consume(d.session.Open.Len())
	up := attempt.upLine
	if d.relay.run.hasMutation(MutationForgedUp) {
		up = []byte("UP made-up\r\n")
	}
	d.client.write(up, func(bool) {})
	d.postEvent(actions.Event)
	d.client.onReadable, d.backend.onReadable = d.forwardUpstream, d.forwardDownstream
	if !d.clientDone {
		d.forwardUpstream()
	}
	d.forwardDownstream()
}

// --- once it stands --------------------------------------------------------------

func (d *sessionDriver) forwardUpstream() {
	for d.state == stateEstablished && !d.upstreamBusy && !d.clientDone {
		b := d.client.received
		if len(b) > 0 {
			n, err := d.session.FromClient(d.relay.engine.now, b)
			if err != nil {
				d.clientDone = true
				d.closeBackend(d.session.ClientEnded(session.EndReset))
				return
			}
			if n > 0 {
				d.scheduleIdleCheck()
				d.upstreamBusy = true
				var p *pendingWrite
				p = d.backend.write(b[:n], func(bool) {
					d.upstreamBusy = false
					d.client.consume(n)
					if p != nil {
						d.forwardUpstream()
					}
				})
				if p != nil {
					d.relay.engine.schedule(session.BackendSilenceTimeout, d.relay.whileRunning(func() {
						if d.upstreamBusy && !p.cancelled {
							p.cancelled = true
							d.session.BackendBlocked()
							d.scheduleIdleCheck()
						}
					}))
				}
				continue
			}
		}
		if d.client.remoteEnd != session.NoEnd {
			d.clientDone = true
			d.closeBackend(d.session.ClientEnded(d.client.remoteEnd))
		}
		return
	}
}

func (d *sessionDriver) closeBackend(mode session.CloseMode) {
	switch mode {
	case session.CloseFIN:
		d.backend.closeWrite()
		d.scheduleIdleCheck()
	case session.CloseReset:
		d.backend.reset()
		d.client.reset()
		d.terminate(d.session.BackendEnded(session.EndReset))
	}
}

// glance looks at a flow again and again while there is something to look for.
func (d *sessionDriver) scheduleIdleCheck() {
	if d.idleCheckPending || d.state != stateEstablished {
		return
	}
	d.idleCheckPending = true
	d.relay.engine.schedule(session.IdleCheckInterval, d.relay.whileRunning(func() {
		d.idleCheckPending = false
		if d.state != stateEstablished {
			return
		}
		if !d.downstreamBusy {
			if termination, over := d.session.CheckIdle(d.relay.engine.now); over {
				d.terminate(termination)
				return
			}
		}
		if d.downstreamBusy || !d.session.Idle() {
			d.scheduleIdleCheck()
		}
	}))
}

func (d *sessionDriver) migrate() {
	if d.relay.run.hasMutation(MutationMoveInsideLine) { // not now, but in the middle of the next line
		d.moveInsideLine = true
		return
	}
	d.forwardDownstream()
}

func (d *sessionDriver) forwardDownstream() {
	for d.state == stateEstablished && !d.downstreamBusy {
		if termination, now := d.session.AtLineBoundary(); now && !d.moveInsideLine {
			if d.relay.run.hasMutation(MutationMigrateWithoutMove) {
				termination.LastLine = ""
			}
			d.terminate(termination)
			return
		}
		b := d.backend.received
		if len(b) > 0 {
			n, told, err := d.session.FromBackend(b)
			if err != nil {
				d.terminate(d.session.BackendEnded(session.EndReset))
				return
			}
			if n > 0 {
				d.postEvent(told)
				d.downstreamBusy = true
				if d.relay.run.hasMutation(MutationDelayedLines) {
					d.relay.engine.schedule(1200*time.Millisecond, d.relay.whileRunning(func() { d.writeDownstream(n) }))
					return
				}
				d.writeDownstream(n)
				continue
			}
		}
		if d.backend.remoteEnd != session.NoEnd {
			d.terminate(d.session.BackendEnded(d.backend.remoteEnd))
		}
		return
	}
}

// pass writes so many bytes of the backend's to the client.
func (d *sessionDriver) writeDownstream(n int) {
	if d.state != stateEstablished || len(d.backend.received) < n {
		d.downstreamBusy = false
		return
	}
	if d.moveInsideLine {
		d.client.write(d.backend.received[:n/2], func(bool) {})
		d.backend.consume(n / 2)
		termination, _ := d.session.AtLineBoundary()
		d.terminate(termination)
		return
	}
	var p *pendingWrite
	p = d.client.write(d.backend.received[:n], func(ok bool) {
		d.downstreamBusy = false
		if d.state != stateEstablished {
			return
		}
		if !ok {
			d.clientBlocked()
			return
		}
		d.backend.consume(n)
		if p != nil {
			d.forwardDownstream()
		}
	})
	if p != nil {
		d.relay.engine.schedule(session.ClientWriteTimeout, d.relay.whileRunning(func() {
			if d.downstreamBusy && !p.cancelled {
				p.cancelled = true
				d.downstreamBusy = false
				d.clientBlocked()
			}
		}))
	}
}

func (d *sessionDriver) clientBlocked() {
	termination, mode := d.session.ClientBlocked()
	if mode == session.CloseReset {
		d.backend.reset()
		d.client.reset()
	}
	d.terminate(termination)
}

func (d *sessionDriver) terminate(termination session.Termination) {
	if d.state != stateEstablished {
		return
	}
	d.state = stateClosing
	switch {
	case termination.CloseClient:
		d.writeLastLine(termination.LastLine)
	case termination.ResetClient:
		d.client.reset()
	}
	d.postEvent(d.session.Terminated(termination))
	d.backend.close()
	d.awaitClientClose()
}

// reload has the running process read a new configuration.
func (r *relay) reload(cfg controller.Config) {
	r.post(func(now time.Duration) {
		if err := r.controller.Reload(now, r.mutate(cfg), cfg.MaxDescriptors); err != nil {
			panic(fmt.Sprintf("a sound configuration is not taken: %v", err))
		}
		if r.run.hasMutation(MutationStaleIdempotency) {
			s := r.controller.Settings().Settings
			s.Classes = slices.Clone(s.Classes)
			for i := range s.Classes {
				if i >= len(r.run.settings.Classes) { // it came with a reload
					s.Classes[i].Idempotency = balance.Idempotent
				}
			}
			r.controller.Balancer().UpdateSettings(s)
		}
		r.reloadCount++
		if !r.run.hasMutation(MutationReloadsUncounted) {
			r.controller.Metrics().Reloaded(true)
		}
	})
}

// --- upgrades --------------------------------------------------------------------

// upgrade starts another process of a relay beside this one, as package relay does: it takes over what the old one
// remembers and who comes, and the old one leaves a while later.
func (run *run) upgradeRelay(r *relay, after time.Duration) {
	if !r.up || r.shuttingDown || r.predecessor != nil || run.closing {
		return
	}
	run.count("relay upgraded")
	engine := run.engine
	text, err := r.controller.ExportState(engine.now)
	if err != nil {
		panic(fmt.Sprintf("a relay has nothing to hand over: %v", err))
	}
	successor := &relay{host: engine.newHost(r.name, "").withNode(fault.Relays, r.number), run: run, number: r.number, cfg: r.cfg, lowDescriptors: r.lowDescriptors, knownEndpoints: r.knownEndpoints, predecessor: r}
	successor.onAccept = successor.acceptConn
	if len(successor.knownEndpoints) > 0 {
		successor.cfg.CachedEndpoints = encodeEndpoints(0, true, successor.knownEndpoints)
	}
	run.checker.RelayUpgraded(r.number)
	successor.boot()
	if err := successor.controller.RestoreState(engine.now, text); err != nil {
		panic(fmt.Sprintf("what a relay hands over is not taken: %v", err))
	}
	successor.controller.SetDescriptors(successor.cfg.MaxDescriptors)
	run.relays[r.number], r.successor = successor, successor
	r.controller.SetReplaced(true)
	r.syncSuccessor()
	engine.schedule(after, r.whileRunning(func() {
		r.shuttingDown = true
		if run.hasMutation(MutationUpgradeDropsSessions) {
			r.kill()
			r.completeUpgrade()
			return
		}
		r.post(r.controller.Shutdown)
		engine.schedule(3700*time.Millisecond, r.whileRunning(func() {
			r.kill()
			r.completeUpgrade()
		}))
	}))
}

// tell has the next process hear what this one holds and sees.
func (r *relay) syncSuccessor() {
	successor := r.successor
	text, err := r.controller.ExportLoad()
	if err != nil {
		panic(err)
	}
	held := min(len(r.conns)+controller.ReservedDescriptors, r.cfg.MaxDescriptors-controller.ReservedDescriptors)
	successor.post(func(now time.Duration) {
		successor.controller.SetOtherProcessDescriptors(now, held)
		_ = successor.controller.ImportLoad(now, text)
	})
	r.engine.schedule(100*time.Millisecond, r.whileRunning(r.syncSuccessor))
}

// succeeded says that this process is gone, and the next one alone.
func (r *relay) completeUpgrade() {
	successor := r.successor
	successor.predecessor = nil
	if successor.up {
		successor.post(func(now time.Duration) {
			successor.controller.SetOtherProcessDescriptors(now, 0)
			_ = successor.controller.ImportLoad(now, nil)
		})
	}
}

// peerAddr is where a relay hears datagrams.
func gossipAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(number >> 8), byte(number)}), 7946)
}

// datagram carries one between relays: late, twice, out of order or not at all.
func (run *run) deliverDatagram(from *relay, to string, data []byte) {
	engine := run.engine
	for _, r := range run.relays {
		if r.number == from.number || to != broadcastAddress && to != gossipAddress(r.number).String() {
			continue
		}
		copies := 1
		if engine.randomChance(0.02) {
			copies = 2
		}
		if engine.datagramDuplicated(from.host, r.host) {
			copies++
		}
		for range copies {
			if engine.randomChance(0.02 + engine.conditions.datagramLossRate) {
				run.count("datagram lost")
				continue
			}
			late, lost := engine.datagramDelay(from.host, r.host)
			if lost {
				run.count("datagram lost")
				continue
			}
			run.count("datagram")
			engine.schedule(late+engine.randomDuration(time.Millisecond, 40*time.Millisecond), func() {
				if r.up {
					r.post(func(now time.Duration) {
						r.controller.DatagramReceived(now, gossipAddress(from.number), slices.Clone(data))
					})
				}
			})
		}
	}
}

const broadcastAddress = "10.3.255.1:7946"
