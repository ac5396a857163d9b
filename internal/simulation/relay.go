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
	*box
	run      *run
	number   int
	cfg      controller.Config
	node     *controller.Controller
	lobby    *handshake.Pool
	probes   *healthcheck.Checker
	room     int
	flowing  int
	seq      uint64
	flows    map[uint64]*flow // never ranged over
	queue    []*end           // accepted, while the acceptor waits
	postAt   time.Duration
	timerAt  time.Duration
	follows  int // counts the agents followed
	agent    *discovery.Client
	talking  bool // a call to the agent is out, or the pause after one
	leaving  bool
	few      bool    // it has few descriptors from the start
	process  int     // its number, as the checker counts
	old      *relay  // the process before this one, while it runs
	heir     *relay  // the process after this one
	reloads  int     // files that this process took
	refusals int     // and turned down
	last     []entry // what discovery has told, as its configuration will say it
}

// boot starts a process with the configuration that is at hand.
func (r *relay) boot() {
	r.start()
	w := r.w
	r.cfg.Seed = w.rng.Uint64()
	r.flows, r.queue, r.flowing, r.seq, r.leaving = map[uint64]*flow{}, nil, 0, 0, false
	r.reloads, r.refusals = 0, 0
	r.process = r.run.check.RelayProcess(r.number)
	r.postAt, r.timerAt, r.agent = w.now, 0, nil
	shares := controller.AllocateDescriptors(r.cfg.MaxDescriptors, r.cfg.MemoryMB, r.cfg.AdminListen != "")
	r.room = shares.Sessions
	r.lobby = handshake.NewPool(shares.Handshakes)
	node, err := controller.New(w.now, r.sabotaged(r.cfg), r, zap.NewNop())
	if err != nil {
		panic(fmt.Sprintf("a relay does not start: %v", err))
	}
	r.node = node
	r.probes = healthcheck.New(node.Settings(), shares.HealthChecks)
	r.follow(r.cfg.Discovery, false)
	r.tick()
	if w.trace != nil {
		w.note("%s up", r.name)
	}
}

// alive wraps what is to happen to this process only.
func (r *relay) alive(do func()) func() {
	life := r.life
	return func() {
		if r.life == life {
			do()
		}
	}
}

func (r *relay) soon(do func()) { r.w.in(r.w.handover(), r.alive(do)) }

// post has the Node hear something, in the order in which it was posted.
func (r *relay) post(e func(now time.Duration)) {
	r.postAt = max(r.postAt, r.w.now+r.w.handover())
	r.w.at(r.postAt, r.alive(func() {
		e(r.w.now)
		r.tick()
	}))
}

// tick has the Node's next timer fire.
func (r *relay) tick() {
	at, ok := r.node.NextTimer()
	if !ok || r.timerAt > r.w.now && r.timerAt <= at {
		return
	}
	at = max(at, r.w.now)
	r.timerAt = at
	r.w.at(at, r.alive(func() {
		if r.timerAt == at {
			r.timerAt = 0
		}
		r.node.FireTimers(r.w.now)
		r.tick()
	}))
}

// --- what the Node has done ------------------------------------------------------

var _ controller.Driver = (*relay)(nil)

func (r *relay) SendCommand(seq uint64, o session.Command) {
	f := r.flows[seq]
	if f == nil {
		return
	}
	f.orderAt = max(f.orderAt, r.w.now+r.w.handover())
	r.w.at(f.orderAt, r.alive(func() { f.order(o) }))
}

func (r *relay) MigrateSession(seq uint64) {
	if r.run.broken(MutationDrainKeepsSessions) && r.node.Drained() {
		return
	}
	if f := r.flows[seq]; f != nil {
		f.m.Migrate()
		r.soon(f.moved)
	}
}

func (r *relay) ReportClientError(uint64, error) {}
func (r *relay) EndpointsReceived()              {}

func (r *relay) SetSettings(s *settings.Settings) { r.probes.SetSettings(s) }

func (r *relay) ReleaseHealthCheck(id balance.BackendID) {
	if c := r.probes.DropIdle(id); c != nil {
		c.(*end).close()
	}
}

func (r *relay) SendDatagram(to string, data []byte) { r.run.datagram(r, to, data) }
func (r *relay) SetDiscoveryAddress(address string) {
	if r.run.broken(MutationStaleDiscovery) {
		return
	}
	r.soon(func() { r.follow(address, true) })
}

func (r *relay) SetLimits(s controller.Limits) {
	r.room = s.Sessions
	r.lobby.Resize(s.Handshakes)
	r.probes.Resize(s.HealthChecks)
}

// StopAccepting changes nothing here: who comes before the end is served, and the end waits for it.
func (r *relay) StopAccepting() {}

func (r *relay) Stopped() {
	if r.w.trace != nil {
		r.w.note("%s left", r.name)
	}
	for _, g := range r.lobby.RemoveAll() {
		c := g.Conn.(*end)
		if g.AwaitsAnswer() {
			c.write([]byte(protocol.BusyAnswer(session.RetryAfter(r.node.Settings()))), func(bool) {})
		}
		c.closeWrite()
	}
	r.kill() // what it still holds breaks; the checker counts that as cut off
	if r.heir != nil {
		r.run.count("old process left")
		r.succeeded()
		return
	}
	r.run.check.RelayStopped(r.number)
	r.run.count("relay left")
}

// --- discovery -------------------------------------------------------------------

func (r *relay) RequestEndpoints(watch bool) {
	r.soon(func() {
		r.agent.Schedule(watch)
		r.call()
	})
}

func (r *relay) follow(address string, moved bool) {
	r.follows++
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 0xd15c))
	r.agent = discovery.NewClient(address, r.node.Settings(), moved, rng)
	if v, ok := r.node.CachedVersion(); ok && !moved {
		r.agent.ResumeFrom(v)
	}
	r.talking = false
	r.call()
}

// call makes the next call to the agent, if one is due.
func (r *relay) call() {
	if r.talking {
		return
	}
	c, ok := r.agent.NextRequest()
	if !ok {
		return
	}
	r.talking = true
	life, follows, over := r.life, r.follows, false
	current := func(do func()) func() { // an answer may come after this process has ended
		return func() {
			if r.life == life && r.follows == follows && !over {
				over = true
				do()
			}
		}
	}
	failed := current(func() { r.heardFrom(r.agent.HandleFailure(true)) })
	r.w.in(c.Timeout, failed)
	r.run.catalog.agent(r.agent.Address).ask(c, func(body []byte, tell func()) {
		r.w.in(r.w.delay()/4, current(func() {
			news, err := r.agent.HandleResponse(body)
			if err != nil {
				panic(fmt.Sprintf("a body cannot be read: %v", err))
			}
			tell()
			r.heardFrom(news)
		}))
	})
}

func (r *relay) heardFrom(n discovery.Update) {
	if n.Changed {
		deliver := func(now time.Duration) { r.node.EndpointsUpdated(now, n.Endpoints, n.Kind) }
		if r.run.broken(MutationLateDrain) && n.Kind != balance.UpdateFailed {
			r.w.in(r.node.Settings().DrainGrace+110*time.Millisecond, r.alive(func() { r.post(deliver) }))
		} else {
			r.post(deliver)
		}
	}
	follows := r.follows
	r.w.in(n.RetryDelay, r.alive(func() {
		if r.follows == follows {
			r.talking = false
			r.call()
		}
	}))
}

// --- probes ----------------------------------------------------------------------

func (r *relay) StartHealthCheck(b *upstream.Backend) {
	r.soon(func() {
		p, step := r.probes.Start(r.w.now, b)
		r.probing(p, step)
	})
}

func (r *relay) probing(p *healthcheck.Check, step healthcheck.Step) {
	for _, c := range step.Close {
		c.(*end).close()
	}
	if k := step.Keep; k != nil {
		e := k.Conn.(*end)
		e.wake = nil
		r.w.in(r.probes.IdleTimeout(), r.alive(func() {
			if r.probes.ExpireIdle(k) {
				e.close()
			}
		}))
	}
	switch {
	case step.Done:
		r.post(func(now time.Duration) { r.node.HealthCheckDone(now, p.Result) })
	case step.Dial:
		r.dialBackend(p.Address, r.node.Settings().DialTimeout, func(e *end) {
			if e == nil {
				r.probing(p, p.DialFailed(r.w.now))
				return
			}
			r.probing(p, p.Connected(r.w.now, e))
		})
	default:
		r.ask(p, step.Send.(*end))
	}
}

func (r *relay) ask(p *healthcheck.Check, e *end) {
	over := false
	finish := func(next func(now time.Duration) healthcheck.Step) {
		if !over {
			over = true
			e.wake = nil
			r.probing(p, next(r.w.now))
		}
	}
	e.wake = func() {
		if i := bytes.IndexByte(e.in, '\n'); i >= 0 {
			answer := string(bytes.TrimRight(e.in[:i], "\r\n"))
			e.take(i + 1)
			finish(func(now time.Duration) healthcheck.Step { return p.ReadAnswer(now, answer) })
		} else if e.got != session.NoEnd {
			finish(func(now time.Duration) healthcheck.Step { return p.ConnectionEnded(now, false) })
		}
	}
	r.w.at(max(p.Deadline, r.w.now), r.alive(func() {
		finish(func(now time.Duration) healthcheck.Step { return p.ConnectionEnded(now, true) })
	}))
	e.write([]byte(r.probes.RequestLine()), func(bool) {})
	e.woken()
}

// dialBackend dials an address and has the connection watched.
func (r *relay) dialBackend(addr string, within time.Duration, done func(*end)) {
	b := r.run.backendAt(addr)
	if b == nil {
		r.soon(func() { done(nil) })
		return
	}
	r.dial(b.box, within, func(e *end) {
		if e != nil {
			e.tap = backendTap{r.run.check.BackendConnected(e.id, r.number, b.id)}
		}
		done(e)
	})
}

// --- clients ---------------------------------------------------------------------

func (r *relay) accepted(e *end) {
	e.tap = clientTap{r.run.check.ClientAccepted(e.id, r.number, r.process)}
	r.queue = append(r.queue, e)
	if len(r.queue) == 1 {
		r.admitNext()
	}
}

// admitNext takes the next connection into the lobby, as soon as that has room.
func (r *relay) admitNext() {
	for len(r.queue) > 0 {
		e := r.queue[0]
		in, out, wait := r.lobby.Add(r.w.now, e)
		if out != nil {
			c := out.Conn.(*end)
			if out.AwaitsAnswer() {
				c.write([]byte(protocol.BusyAnswer(session.RetryAfter(r.node.Settings()))), func(bool) {})
			}
			c.close()
		}
		if wait > 0 {
			r.w.in(wait, r.alive(r.admitNext))
			return
		}
		if in == nil {
			continue
		}
		r.queue = r.queue[1:]
		r.seq++
		f := &flow{r: r, m: session.New(r.seq, r.node.Settings(), r.node.Metrics()), c: e, g: in}
		f.m.Accepted(in)
		e.wake = f.hello
		r.w.in(handshake.HandshakeTimeout, r.alive(func() {
			if f.state == greeting {
				f.reject(f.m.HandshakeEnded(session.EndTimeout, len(f.c.in)))
			}
		}))
		r.soon(f.hello)
	}
}

// The states of a flow.
const (
	greeting = iota
	readOff
	waiting
	standing
	ending
	closed
)

type flow struct {
	r        *relay
	m        *session.Session
	c        *end
	g        *handshake.Connection
	state    int
	orderAt  time.Duration
	left     bool
	off      int // bytes read off
	try      *try
	back     *end
	upBusy   bool
	downBusy bool
	glancing bool
	inLine   bool // broken on purpose: MOVE goes out in the middle of a line
	late     bool // broken on purpose: the answer is still to go out
}

func (f *flow) hello() {
	if f.state != greeting {
		return
	}
	for seen := 0; ; {
		if len(f.c.in) == seen {
			switch {
			case f.c.dead: // it had to give way
				f.state = closed
			case f.c.got != session.NoEnd:
				f.reject(f.m.HandshakeEnded(f.c.got, seen))
			}
			return
		}
		f.m.SetSettings(f.r.node.Settings())
		g, err := f.m.ReadHandshake(f.r.w.now, f.c.in, f.r.node.Ready() || f.r.run.broken(MutationDrainedSaysReady))
		switch {
		case err != nil:
			f.reject(err)
			return
		case g.Opened:
			f.opened()
			return
		case g.Consumed == 0:
			seen = len(f.c.in)
			continue
		}
		f.c.take(g.Consumed)
		f.c.write([]byte(g.Reply), func(bool) {})
	}
}

// reject answers what was no request and reads its sender off; without an error
// the client has just left.
func (f *flow) reject(err error) {
	if err == nil {
		f.state = closed
		f.c.close()
		f.r.lobby.Remove(f.g)
		return
	}
	f.turnAway(protocol.AnswerFailed)
}

func (f *flow) turnAway(answer string) {
	f.state = readOff
	f.answer(answer)
	f.r.lobby.MarkAnswered(f.g)
	done := func() {
		if f.state == readOff {
			f.state = closed
			f.c.close()
			f.r.lobby.Remove(f.g)
		}
	}
	f.c.wake = func() {
		if f.off < handshake.MaxLingerBytes {
			f.off += len(f.c.in)
			f.c.take(len(f.c.in))
		}
		if f.c.got != session.NoEnd { // whoever never stops is held up until the time is over
			done()
		}
	}
	f.r.w.in(handshake.LingerTimeout, f.r.alive(done))
	f.c.woken()
}

// answer sends the client's last line and ends our side.
func (f *flow) answer(last string) {
	if f.r.run.broken(MutationLostAnswer) && last == protocol.AnswerFailed {
		last = ""
	}
	if f.r.run.broken(MutationLateAnswer) && f.state == waiting {
		late := f.r.node.Settings().AnswerSlack + 110*time.Millisecond
		f.late = true
		f.r.w.in(f.m.ArrivedAt+f.m.Timeout()+late-f.r.w.now, f.r.alive(func() {
			f.say(last)
			f.wind()
		}))
		return
	}
	f.say(last)
	if f.r.run.broken(MutationSecondAnswer) && last != "" {
		f.c.fin = false
		f.say(last)
	}
}

func (f *flow) say(last string) {
	if last != "" {
		f.c.write([]byte(last), func(bool) {})
	}
	f.c.closeWrite()
}

func (f *flow) opened() {
	r := f.r
	if r.flowing >= r.room {
		if !r.run.broken(MutationRefusalsUncounted) {
			f.m.Refused()
		}
		f.turnAway(protocol.BusyAnswer(session.RetryAfter(r.node.Settings())))
		return
	}
	if !r.lobby.Remove(f.g) {
		f.m.Refused()
		f.state = closed
		return
	}
	r.flowing++
	f.m.Admitted()
	f.state = waiting
	f.c.wake = f.waits
	r.post(func(now time.Duration) {
		r.flows[f.m.Seq] = f
		r.node.SessionOpened(now, f.m)
	})
	f.waits()
}

// waits looks whether the client leaves or goes on before its answer.
func (f *flow) waits() {
	head := f.m.Open.Len()
	if f.left || f.state != waiting || len(f.c.in) <= head && f.c.got == session.NoEnd {
		return
	}
	f.left = true
	spoke := len(f.c.in) > head
	soon := f.r.soon
	if f.r.run.broken(MutationLateClientClose) {
		soon = func(do func()) { f.r.w.in(400*time.Millisecond, f.r.alive(do)) }
	}
	soon(func() {
		switch {
		case f.state == waiting:
			f.carryOut(f.m.ClientClosed(spoke))
			if f.r.run.broken(MutationAbandonedStayCounted) {
				f.m.Admitted()
			}
		case f.state == standing && spoke:
			f.hang(f.m.ClientEnded(session.EndReset))
		case f.state == standing:
			f.hang(f.m.ClientEnded(f.c.got))
		}
	})
}

func (f *flow) order(o session.Command) {
	if f.state != waiting {
		return
	}
	if f.r.run.broken(MutationOverlappingAttempts) && o.Backend != nil && f.try == nil {
		f.carryOut(f.m.Execute(f.r.w.now, o))
		if f.try != nil {
			second := &try{f: f, a: f.try.a}
			second.begin()
		}
		return
	}
	f.carryOut(f.m.Execute(f.r.w.now, o))
}

func (f *flow) carryOut(do session.Actions) {
	if do.CancelAttempt && f.try != nil {
		f.try.cancel()
	}
	if do.Answer != "" {
		f.answer(do.Answer)
	}
	if do.Attempt != nil {
		f.try = &try{f: f, a: do.Attempt}
		f.try.begin()
	}
	f.tell(do.Event)
	if f.state == waiting && !f.m.AwaitsCommands() && !f.late {
		f.wind()
	}
}

func (f *flow) tell(e session.Event) {
	r := f.r
	if e.Kind == session.NoEvent {
		return
	}
	if e.Kind == session.AttemptEnded && e.Result.Status == balance.StatusCancelled && r.run.broken(MutationLoadMiscounted) {
		e.Result.Attempt++ // the module does not know it
	}
	r.post(func(now time.Duration) { r.node.SessionEvent(now, f.m.Seq, e) })
}

// wind waits for the client's end, for a while.
func (f *flow) wind() {
	f.state = ending
	done := func() {
		if f.state == ending {
			f.state = closed
			f.c.close()
			r := f.r
			r.flowing--
			if r.run.broken(MutationSessionLeak) {
				return
			}
			r.post(func(now time.Duration) {
				delete(r.flows, f.m.Seq)
				r.node.SessionClosed(now, f.m.Seq)
			})
		}
	}
	f.c.wake = func() {
		f.c.take(len(f.c.in))
		if f.c.got != session.NoEnd {
			done()
		}
	}
	f.r.w.in(session.CloseTimeout, f.r.alive(done))
	if f.c.dead {
		done()
		return
	}
	f.c.woken()
}

// try is one attempt on its way.
type try struct {
	f      *flow
	a      *session.Attempt
	e      *end
	up     []byte // the UP line
	asking bool
	over   bool
}

func (t *try) begin() {
	r := t.f.r
	t.asking, t.e = false, nil
	r.dialBackend(t.a.Backend.Address(), min(t.a.DialTimeout, t.a.Deadline-r.w.now), func(e *end) {
		switch {
		case t.over:
			if e != nil {
				e.close()
			}
			return
		case e == nil:
			t.finish(t.a.DialFailed(errNotUp, false))
			return
		}
		t.e = e
		head, fail := t.a.Connected(r.w.now)
		if fail != nil {
			t.finish(fail)
			return
		}
		ok := false
		e.write(bytes.Join(head[:], nil), func(sent bool) { ok = sent })
		if !ok {
			t.finish(t.a.ConnectionEnded(0, false, errNotUp, false))
			return
		}
		t.asking = true
		lost := r.run.broken(MutationAttemptsUndercounted) && r.w.rng.IntN(50) == 0 || r.run.broken(MutationShutdownAttemptsUncounted) && r.leaving
		if !lost {
			t.a.RequestSent()
		}
		e.wake = t.heard
		r.w.at(t.a.Deadline, r.alive(func() {
			if t.e == e && t.asking {
				t.finish(t.a.ConnectionEnded(0, true, errNotUp, true))
			}
		}))
		t.heard()
	})
}

func (t *try) heard() {
	if t.over || !t.asking {
		return
	}
	if len(t.e.in) > 0 {
		n, fail := t.a.ReadAnswer(t.e.in)
		if n > 0 || fail != nil {
			t.up = slices.Clone(t.e.in[:n]) // read: a reset takes only what is not
			t.e.take(n)
			t.finish(fail)
			return
		}
	}
	if t.e.got != session.NoEnd {
		t.finish(t.a.ConnectionEnded(0, true, errNotUp, false))
	}
}

// cancel breaks the attempt off.
func (t *try) cancel() {
	if t.over {
		return
	}
	fail := t.a.DialFailed(errNotUp, true)
	if t.asking {
		fail = t.a.ConnectionEnded(0, true, errNotUp, false)
		fail.Abandon()
	}
	t.finish(fail)
}

func (t *try) finish(fail *session.AttemptError) {
	r := t.f.r
	if t.over {
		return
	}
	if fail != nil {
		t.asking = false
		if t.e != nil {
			if !r.run.broken(MutationDescriptorLeak) {
				t.e.close()
			}
			t.e = nil
		}
		if pause, ok := t.a.RetryDelay(r.w.now, fail); ok {
			r.w.in(pause, r.alive(func() {
				if !t.over {
					t.begin()
				}
			}))
			return
		}
	}
	t.over = true
	if t.e != nil {
		t.e.wake = nil
	}
	r.soon(func() { t.f.tried(t, fail) })
}

func (f *flow) tried(t *try, fail *session.AttemptError) {
	if t != f.try || f.state != waiting {
		if t.e != nil {
			t.e.close()
		}
		return
	}
	f.try = nil
	do := f.m.AttemptDone(f.r.w.now, t.a, fail)
	if do.CloseBackend {
		t.e.close()
	}
	if !do.Establish {
		f.carryOut(do)
		return
	}
	f.state, f.back = standing, t.e
	f.c.take(f.m.Open.Len())
	up := t.up
	if f.r.run.broken(MutationForgedUp) {
		up = []byte("UP made-up\r\n")
	}
	f.c.write(up, func(bool) {})
	f.tell(do.Event)
	f.c.wake, f.back.wake = f.up, f.down
	if !f.left {
		f.up()
	}
	f.down()
}

// --- once it stands --------------------------------------------------------------

func (f *flow) up() {
	for f.state == standing && !f.upBusy && !f.left {
		b := f.c.in
		if len(b) > 0 {
			n, err := f.m.FromClient(f.r.w.now, b)
			if err != nil {
				f.left = true
				f.hang(f.m.ClientEnded(session.EndReset))
				return
			}
			if n > 0 {
				f.glance()
				f.upBusy = true
				var p *pendingWrite
				p = f.back.write(b[:n], func(bool) {
					f.upBusy = false
					f.c.take(n)
					if p != nil {
						f.up()
					}
				})
				if p != nil {
					f.r.w.in(session.BackendSilenceTimeout, f.r.alive(func() {
						if f.upBusy && !p.off {
							p.off = true
							f.m.BackendBlocked()
							f.glance()
						}
					}))
				}
				continue
			}
		}
		if f.c.got != session.NoEnd {
			f.left = true
			f.hang(f.m.ClientEnded(f.c.got))
		}
		return
	}
}

func (f *flow) hang(h session.CloseMode) {
	switch h {
	case session.CloseFIN:
		f.back.closeWrite()
		f.glance()
	case session.CloseReset:
		f.back.reset()
		f.c.reset()
		f.over(f.m.BackendEnded(session.EndReset))
	}
}

// glance looks at a flow again and again while there is something to look for.
func (f *flow) glance() {
	if f.glancing || f.state != standing {
		return
	}
	f.glancing = true
	f.r.w.in(session.IdleCheckInterval, f.r.alive(func() {
		f.glancing = false
		if f.state != standing {
			return
		}
		if !f.downBusy {
			if v, over := f.m.CheckIdle(f.r.w.now); over {
				f.over(v)
				return
			}
		}
		if f.downBusy || !f.m.Idle() {
			f.glance()
		}
	}))
}

func (f *flow) moved() {
	if f.r.run.broken(MutationMoveInsideLine) { // not now, but in the middle of the next line
		f.inLine = true
		return
	}
	f.down()
}

func (f *flow) down() {
	for f.state == standing && !f.downBusy {
		if v, now := f.m.AtLineBoundary(); now && !f.inLine {
			if f.r.run.broken(MutationMigrateWithoutMove) {
				v.LastLine = ""
			}
			f.over(v)
			return
		}
		b := f.back.in
		if len(b) > 0 {
			n, told, err := f.m.FromBackend(b)
			if err != nil {
				f.over(f.m.BackendEnded(session.EndReset))
				return
			}
			if n > 0 {
				f.tell(told)
				f.downBusy = true
				if f.r.run.broken(MutationDelayedLines) {
					f.r.w.in(1200*time.Millisecond, f.r.alive(func() { f.pass(n) }))
					return
				}
				f.pass(n)
				continue
			}
		}
		if f.back.got != session.NoEnd {
			f.over(f.m.BackendEnded(f.back.got))
		}
		return
	}
}

// pass writes so many bytes of the backend's to the client.
func (f *flow) pass(n int) {
	if f.state != standing || len(f.back.in) < n {
		f.downBusy = false
		return
	}
	if f.inLine {
		f.c.write(f.back.in[:n/2], func(bool) {})
		f.back.take(n / 2)
		v, _ := f.m.AtLineBoundary()
		f.over(v)
		return
	}
	var p *pendingWrite
	p = f.c.write(f.back.in[:n], func(ok bool) {
		f.downBusy = false
		if f.state != standing {
			return
		}
		if !ok {
			f.deaf()
			return
		}
		f.back.take(n)
		if p != nil {
			f.down()
		}
	})
	if p != nil {
		f.r.w.in(session.ClientWriteTimeout, f.r.alive(func() {
			if f.downBusy && !p.off {
				p.off = true
				f.downBusy = false
				f.deaf()
			}
		}))
	}
}

func (f *flow) deaf() {
	v, h := f.m.ClientBlocked()
	if h == session.CloseReset {
		f.back.reset()
		f.c.reset()
	}
	f.over(v)
}

func (f *flow) over(v session.Termination) {
	if f.state != standing {
		return
	}
	f.state = ending
	switch {
	case v.CloseClient:
		f.say(v.LastLine)
	case v.ResetClient:
		f.c.reset()
	}
	f.tell(f.m.Terminated(v))
	f.back.close()
	f.wind()
}

// reload has the running process read a new configuration.
func (r *relay) reload(cfg controller.Config) {
	r.post(func(now time.Duration) {
		if err := r.node.Reload(now, r.sabotaged(cfg), cfg.MaxDescriptors); err != nil {
			panic(fmt.Sprintf("a sound configuration is not taken: %v", err))
		}
		if r.run.broken(MutationStaleIdempotency) {
			s := r.node.Settings().Settings
			s.Classes = slices.Clone(s.Classes)
			for i := range s.Classes {
				if i >= len(r.run.set.Classes) { // it came with a reload
					s.Classes[i].Idempotency = balance.Idempotent
				}
			}
			r.node.Balancer().UpdateSettings(s)
		}
		r.reloads++
		if !r.run.broken(MutationReloadsUncounted) {
			r.node.Metrics().Reloaded(true)
		}
	})
}

// --- upgrades --------------------------------------------------------------------

// upgrade starts another process of a relay beside this one, as package relay does: it takes over what the old one
// remembers and who comes, and the old one leaves a while later.
func (run *run) upgrade(r *relay, after time.Duration) {
	if !r.up || r.leaving || r.old != nil || run.closing {
		return
	}
	run.count("relay upgraded")
	w := run.w
	text, err := r.node.ExportState(w.now)
	if err != nil {
		panic(fmt.Sprintf("a relay has nothing to hand over: %v", err))
	}
	n := &relay{box: w.box(r.name, "").of(fault.Relays, r.number), run: run, number: r.number, cfg: r.cfg, few: r.few, last: r.last, old: r}
	n.accept = n.accepted
	if len(n.last) > 0 {
		n.cfg.CachedEndpoints = body(0, true, n.last)
	}
	run.check.RelayUpgraded(r.number)
	n.boot()
	if err := n.node.RestoreState(w.now, text); err != nil {
		panic(fmt.Sprintf("what a relay hands over is not taken: %v", err))
	}
	n.node.SetDescriptors(n.cfg.MaxDescriptors)
	run.relays[r.number], r.heir = n, n
	r.node.SetReplaced(true)
	r.tell()
	w.in(after, r.alive(func() {
		r.leaving = true
		if run.broken(MutationUpgradeDropsSessions) {
			r.kill()
			r.succeeded()
			return
		}
		r.post(r.node.Shutdown)
		w.in(3700*time.Millisecond, r.alive(func() {
			r.kill()
			r.succeeded()
		}))
	}))
}

// tell has the next process hear what this one holds and sees.
func (r *relay) tell() {
	n := r.heir
	text, err := r.node.ExportLoad()
	if err != nil {
		panic(err)
	}
	held := min(len(r.ends)+controller.ReservedDescriptors, r.cfg.MaxDescriptors-controller.ReservedDescriptors)
	n.post(func(now time.Duration) {
		n.node.SetOtherProcessDescriptors(now, held)
		_ = n.node.ImportLoad(now, text)
	})
	r.w.in(100*time.Millisecond, r.alive(r.tell))
}

// succeeded says that this process is gone, and the next one alone.
func (r *relay) succeeded() {
	n := r.heir
	n.old = nil
	if n.up {
		n.post(func(now time.Duration) {
			n.node.SetOtherProcessDescriptors(now, 0)
			_ = n.node.ImportLoad(now, nil)
		})
	}
}

// peerAddr is where a relay hears datagrams.
func peerAddr(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(number >> 8), byte(number)}), 7946)
}

// datagram carries one between relays: late, twice, out of order or not at all.
func (run *run) datagram(from *relay, to string, data []byte) {
	w := run.w
	for _, r := range run.relays {
		if r.number == from.number || to != peersAll && to != peerAddr(r.number).String() {
			continue
		}
		copies := 1
		if w.chance(0.02) {
			copies = 2
		}
		if w.doubledWay(from.box, r.box) {
			copies++
		}
		for range copies {
			if w.chance(0.02 + w.net.lossy) {
				run.count("datagram lost")
				continue
			}
			late, lost := w.datagramWay(from.box, r.box)
			if lost {
				run.count("datagram lost")
				continue
			}
			run.count("datagram")
			w.in(late+w.between(time.Millisecond, 40*time.Millisecond), func() {
				if r.up {
					r.post(func(now time.Duration) { r.node.DatagramReceived(now, peerAddr(from.number), slices.Clone(data)) })
				}
			})
		}
	}
}

const peersAll = "10.3.255.1:7946"
