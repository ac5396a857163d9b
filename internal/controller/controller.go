// Package controller is one relay without I/O, clock or goroutines: it routes the events of sessions, health checks,
// discovery and other relays to what decides, turns decisions into commands, and keeps timers, reloads, drains and
// shuts down. Package relay drives it on sockets, package world on a virtual clock.
package controller

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/shadow"
	"aspenbarrow/internal/upstream"
)

// Config is what a relay is told at its start.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Seed            uint64
	MemoryMB        int
	MaxDescriptors  int // descriptors that the process may hold
	PeerListen      string
	Peers           []string
	BroadcastPeer   string
	CachedEndpoints []byte // the list as this relay last had it, in discovery's form; may be empty
	Settings        settings.Settings
	Routes          *routing.Table       // nil: no request has a timing of its own
	AdminListen     string               // the second address, for staff; empty: there is none
	Shadow          *shadow.Shape        // settings of another shape that decide in vain, to be watched before a switch; nil: none
	Membership      *membership.Settings // how relays find out who of them is there; nil: they don't
	RuntimeDir      string               // a folder that the next version's process sees as well; empty: it starts as a fresh one

	// Decide makes what decides; nil: the module, package balance. Another is for the
	// laboratory alone, which sets the module against simpler policies.
	NewDecider decision.Factory
}

const (
	sessionBytes            = 48 << 10                // what a standing flow may cost in memory, generously
	ReservedDescriptors     = 16                      // descriptors for discovery, peers, the listener and the runtime
	maxHandshakes           = 256                     // connections without a whole OPEN, however many descriptors there are
	maxHealthChecks         = 48                      // connections of probes, kept ones included
	shutdownNotice          = 600 * time.Millisecond  // the front goes on sending so long after SIGTERM
	maxClientTimeout        = 3 * time.Second         // SIGKILL comes no sooner than the longest deadline, or this, and 0.7 s more after SIGTERM
	answerMargin            = 450 * time.Millisecond  // a request that came after SIGTERM ends so long after that deadline: then all are answered,
	finalWriteTime          = 50 * time.Millisecond   // an answer or a MOVE that was just given reaches its socket within this
	shutdownMigrationTime   = 1500 * time.Millisecond // the rest is asked to move within this after the late arrivals, or within what is left
	passThroughShutdownTime = 30 * time.Second        // where packets pass through, connections are held until the relay is stopped or so long
	shutdownPollInterval    = 20 * time.Millisecond   // how often a leaving relay looks whether anything is owed
	maxAdminConnections     = 32                      // connections at the second address
	metricsInterval         = 200 * time.Millisecond  // what the module alone knows is published this often
	drainNotice             = 300 * time.Millisecond  // a client moved before the front has heard of a drain would come right back
	maxWaitForList          = 6 * time.Second         // a relay that has not heard of any list for so long takes clients all the same
	drainMigrationTime      = 2500 * time.Millisecond // a drained relay's clients are asked to move within this after that
)

// MaxDatagram is the longest datagram between relays, in bytes.
const MaxDatagramBytes = 256

// Limits is how the descriptors are dealt out.
type Limits struct{ Sessions, Handshakes, HealthChecks, AdminConnections int }

// AllocateDescriptors deals out the descriptors: each flow has two, a guest of the lobby and a
// probe one. Clients may hold a third of them for requests, so two thirds are the
// flows' whatever else goes on. A relay with a second address keeps a few back for it, so
// that it answers there when all others are used up.
func AllocateDescriptors(sockets, memoryMB int, managed bool) Limits {
	s := Limits{Handshakes: max(1, min(maxHandshakes, sockets/9)), HealthChecks: max(1, min(maxHealthChecks, sockets/10))}
	if managed {
		s.AdminConnections = max(4, min(maxAdminConnections, sockets/20))
	}
	s.Sessions = max(1, (sockets-min(ReservedDescriptors, sockets/4)-s.Handshakes-s.HealthChecks-s.AdminConnections)/2)
	if memoryMB > 0 {
		s.Sessions = min(s.Sessions, max(1, memoryMB<<20/2/sessionBytes))
	}
	return s
}

// Driver is what a Node has done. No call may wait.
type Driver interface {
	SendCommand(flow uint64, o session.Command)
	MigrateSession(flow uint64)
	ReportClientError(flow uint64, err error) // the flow's client is at fault
	StartHealthCheck(b *upstream.Backend)
	ReleaseHealthCheck(id balance.BackendID)
	SendDatagram(to string, data []byte)
	RequestEndpoints(watch bool)        // discovery: a watch, or the whole list once
	SetDiscoveryAddress(address string) // another agent of discovery from now on
	SetLimits(s Limits)
	SetSettings(s *settings.Settings) // in force from now on; what is under others keeps them
	EndpointsReceived()               // there is a list, for the first time
	StopAccepting()                   // nobody else is taken in: the end is near; it may be said again
	Stopped()                         // nothing is owed any more: the relay may end
}

// sessionRecord is what a Node knows of a flow.
type sessionRecord struct {
	seq, id       uint64
	class         int
	resumed       bool
	retryPolicy   *balance.RetryPolicy // nil: none of its own
	backend       string               // the backend of the last attempt
	attempts      int                  // attempts ordered
	attemptsEnded int                  // attempts whose outcome the module has
	answered      bool                 // the module has given its final answer or heard that none is owed
}

// Controller is one relay's books. Its methods are called one at a time.
type Controller struct {
	settings                *settings.Settings
	metrics                 *metrics.Registry
	cfg                     Config // as it is in force
	log                     *zap.Logger
	driver                  Driver
	balancer                decision.Decider
	shadow                  *shadow.Evaluator      // nil: nothing is watched
	membership              *membership.Memberlist // nil: nobody finds out who is there
	activeRelays            int                    // relays that are there, as the module was told
	membershipPublishedAt   time.Duration          // when staff's view of them was made
	inheritedIncarnation    uint64                 // an incarnation that the process before this one had
	startedAt               time.Duration
	now                     time.Duration
	sessions                map[uint64]*sessionRecord
	sessionsByID            map[uint64]*sessionRecord
	backends                map[balance.BackendID]*upstream.Backend
	backendOrder            []*upstream.Backend // all of backends, in the order in which they were first named
	peers                   map[netip.AddrPort]int
	timers                  timers
	timerSeq                uint64
	deferred                []func()
	unanswered              int     // requests that are owed an answer
	newSessionSeen          bool    // a connection has come that is none from before the start
	discoveryAnswered       bool    // discovery itself has given a list
	cachedVersion           *uint64 // the version of the list that the configuration held at the start; nil: it held none
	shutdownDeadline        time.Duration
	answerDeadline          time.Duration // leaving: every answer is given by then; 0: it is not
	stopped                 bool          // it has left: who still comes is turned away
	listReceived            bool          // there has been a list
	messageDelayReported    bool          // a LOAD line has told of a late message, as the settings promise
	classNames              []string      // of all classes by their numbers, dropped ones too
	descriptors             int           // descriptors that there are; 0: not told yet
	otherProcessDescriptors int           // and how many of them another process of this relay has
	drainGeneration         uint64        // counts the calls that changed whether clients are sent away
	drainApplied            bool          // they are, as far as the books know
	ready                   atomic.Bool
	drained                 atomic.Bool // they are to be
	shuttingDown            atomic.Bool
	replaced                atomic.Bool // the next process takes who comes
}

// New checks a configuration and starts the books.
func New(now time.Duration, cfg Config, host Driver, log *zap.Logger) (*Controller, error) {
	cfg.Settings = resolveLoadSignal(cfg.Settings)
	n := &Controller{cfg: cfg, metrics: &metrics.Registry{}, log: log, driver: host, startedAt: now, now: now, sessions: map[uint64]*sessionRecord{}, sessionsByID: map[uint64]*sessionRecord{},
		backends: map[balance.BackendID]*upstream.Backend{}}
	s := cfg.Settings // a copy: a reload replaces cfg whole
	n.settings = &s
	n.classNames = slices.Clone(s.ClassNames)
	n.metrics.SetClasses(n.classNames)
	known, spoilt, err := cfg.knownEndpoints(n.settings)
	if spoilt = errors.Join(err, spoilt); spoilt != nil { // a relay that does not start for it would cost all clients
		log.Warn("known backends cannot be read", zap.Error(spoilt))
	}
	n.setPeers(cfg.Peers)
	n.newDecider(now)
	if len(known.Endpoints) > 0 {
		if spoilt == nil { // else it is fetched whole
			n.cachedVersion = &known.Version
		}
		n.EndpointsUpdated(now, known, balance.UpdateCached)
	}
	if cfg.AdminListen != "" || n.shadow != nil {
		n.setTimer(metricsTimer, 0, 0)
	}
	if !n.ready.Load() {
		n.setTimer(listTimer, 0, maxWaitForList)
	}
	return n, nil
}

// newDecider starts what decides and, where the configuration has it watched, what would decide otherwise.
func (n *Controller) newDecider(now time.Duration) {
	cfg, do := &n.cfg, balance.Actions(actions{n})
	var evaluator *shadow.Evaluator
	if cfg.Shadow != nil {
		evaluator = shadow.New(shadowHost{n}, cfg.Shadow, n.log)
		do = evaluator.Observe(do)
	}
	if cfg.NewDecider != nil {
		n.balancer = cfg.NewDecider(now, cfg.Seed, n.effectiveSettings(), do)
	} else {
		n.balancer = balance.New(now, cfg.Seed, n.effectiveSettings(), do)
	}
	if evaluator != nil {
		evaluator.Start(now, cfg.Seed, n.balancer, n.effectiveSettings(), n.metrics.EnableShadow())
		n.balancer, n.shadow = evaluator, evaluator
	}
}

// shadowHost is what the shadow evaluation sees of its controller.
type shadowHost struct{ *Controller }

func (h shadowHost) Now() time.Duration { return h.now }

func (h shadowHost) SetShadowTimer(token uint64, d time.Duration) { h.setTimer(shadowTimer, token, d) }

// Metrics holds the figures. It may be read from any goroutine.
func (n *Controller) Metrics() *metrics.Registry { return n.metrics }

// resolveLoadSignal settles what a LOAD line means, since it does not say which kind of note it carries: a
// connection's load where backends tell that, else, where the settings promise it, how long a message takes.
func resolveLoadSignal(s settings.Settings) settings.Settings {
	s.ReportsMessageDelay = s.ReportsMessageDelay && !s.ReportsConnectionLoad
	return s
}

// effectiveSettings are the settings that the decisions go by. That backends tell of late messages is believed once one has:
// where they are only said to and none ever does, every server over its capacity would pass for a sound one, for none
// is asked how full it is while no note speaks against it, and what it holds stays late for as long as it stands.
func (n *Controller) effectiveSettings() balance.Settings {
	s := n.settings.Settings
	s.ReportsMessageDelay = s.ReportsMessageDelay && n.messageDelayReported
	return s
}

// knownEndpoints reads the list that a configuration holds, if any, by the names in force.
func (c *Config) knownEndpoints(names *settings.Settings) (l discovery.EndpointList, spoilt, err error) {
	if len(c.CachedEndpoints) == 0 {
		return discovery.EndpointList{}, nil, nil
	}
	if l, spoilt, err = discovery.ParseEndpointsLenient(c.CachedEndpoints, names); err != nil {
		return discovery.EndpointList{}, nil, fmt.Errorf("known backends: %w", err)
	}
	return l, spoilt, nil
}

// Settings are those in force. They never change; a reload puts others in their place.
func (n *Controller) Settings() *settings.Settings { return n.settings }

// Config is the configuration in force.
func (n *Controller) Config() Config { return n.cfg }

// Ready says whether clients may be sent here: a relay that has just started and has no list is not to be used, nor one
// that is drained. Without a list for long it is: where discovery is out for all, somebody has to say so to who comes,
// and nothing at a start waits for the network for good. It may be called from any goroutine.
func (n *Controller) Ready() bool { return n.ready.Load() && !n.drained.Load() }

// SetReplaced says whether another process takes the connections that come, and returns
// whether one did before. It may be called from any goroutine.
func (n *Controller) SetReplaced(on bool) (was bool) { return n.replaced.Swap(on) }

// Replaced says so as well.
func (n *Controller) Replaced() bool { return n.replaced.Load() }

// ShuttingDown says whether the relay is on its way out. It may be called from any goroutine.
func (n *Controller) ShuttingDown() bool { return n.shuttingDown.Load() }

// SetDrained says whether clients are to be sent away, which PING tells at once. It may
// be called from any goroutine; Drain brings the books to it.
func (n *Controller) SetDrained(on bool) { n.drained.Store(on) }

// Drained says whether clients are to be sent away, as SetDrained had it last.
func (n *Controller) Drained() bool { return n.drained.Load() }

// CachedVersion is the version of the list that the configuration held at the start, if it held one.
func (n *Controller) CachedVersion() (version uint64, ok bool) {
	if n.cachedVersion == nil {
		return 0, false
	}
	return *n.cachedVersion, true
}

// Balancer is what decides, for checks.
func (n *Controller) Balancer() decision.Decider { return n.balancer }

// Backends are all that any list has named, in that order.
func (n *Controller) Backends() []*upstream.Backend { return n.backendOrder }

// Timers is how many timers are set: the module's upkeep and those of requests.
func (n *Controller) TimerCount() int { return len(n.timers) }

// Sessions is how many flows are open.
func (n *Controller) SessionCount() int { return len(n.sessions) }

// deliver delivers one event and then what the module's own actions brought about.
// A panic is that event's: the relay lives on.
func (n *Controller) deliver(now time.Duration, event func()) {
	n.now = now
	n.guarded(event)
	for len(n.deferred) > 0 {
		next := n.deferred[0]
		n.deferred = n.deferred[1:]
		n.guarded(next)
	}
}

func (n *Controller) guarded(event func()) {
	defer func() {
		if p := recover(); p != nil {
			n.log.Error("panic in a decision", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	event()
}

// --- time --------------------------------------------------------------------

// The kinds of timer.
const (
	balancerTimer       uint8 = iota
	migrationTimer            // leaving: the front has surely noticed
	shutdownPollTimer         // leaving: is anything owed?
	stopTimer                 // leaving: the last answers are written
	answerDeadlineTimer       // leaving: the time is up for whoever still waits, or stands and cannot be held
	drainTimer                // drained: the front has surely noticed
	metricsTimer              // what the module avoids is to be published
	shadowTimer               // of what decides in vain
	membershipTimer           // of who is there
	listTimer                 // there is still no list
)

type timer struct {
	at    time.Duration
	seq   uint64
	token uint64
	kind  uint8
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (n *Controller) setTimer(kind uint8, token uint64, d time.Duration) {
	n.timerSeq++
	heap.Push(&n.timers, timer{n.now + d, n.timerSeq, token, kind})
}

// NextTimer is when Due wants to be called next.
func (n *Controller) NextTimer() (time.Duration, bool) {
	if len(n.timers) == 0 {
		return 0, false
	}
	return n.timers[0].at, true
}

// FireTimers fires all timers whose time has come.
func (n *Controller) FireTimers(now time.Duration) {
	for len(n.timers) > 0 && n.timers[0].at <= now {
		t := heap.Pop(&n.timers).(timer)
		n.deliver(now, func() { n.fireTimer(t) })
	}
}

func (n *Controller) fireTimer(t timer) {
	switch t.kind {
	case balancerTimer:
		n.balancer.TimerFired(n.now, t.token)
	case migrationTimer:
		n.balancer.DrainBy(n.now, max(n.now, min(n.now+shutdownMigrationTime, n.answerDeadline-finalWriteTime)))
		n.setTimer(shutdownPollTimer, 0, 0)
	case shutdownPollTimer:
		if !n.hasWork() || n.now >= n.shutdownDeadline {
			n.driver.StopAccepting()
			n.setTimer(stopTimer, 0, finalWriteTime) // an answer counts as given when its flow is told, not when it is written
			return
		}
		n.setTimer(shutdownPollTimer, 0, shutdownPollInterval)
	case stopTimer:
		if n.hasWork() && n.now < n.shutdownDeadline { // somebody has come since
			n.setTimer(shutdownPollTimer, 0, shutdownPollInterval)
			return
		}
		n.stopped = true
		n.log.Info("left")
		n.driver.Stopped()
	case answerDeadlineTimer:
		n.endRemaining()
	case drainTimer:
		if n.drainApplied && t.token == n.drainGeneration && !n.shuttingDown.Load() {
			n.balancer.DrainBy(n.now, n.now+drainMigrationTime)
		}
	case metricsTimer:
		n.metrics.SetBackends(n.balancer.CountUnavailable(n.now))
		if n.shadow != nil {
			n.shadow.Sweep(n.now, n.backendOrder)
		}
		n.setTimer(metricsTimer, 0, metricsInterval)
	case shadowTimer:
		n.shadow.ShadowTimerFired(n.now, t.token)
	case membershipTimer:
		n.membershipTick()
	case listTimer:
		if !n.ready.Swap(true) {
			n.log.Warn("ready without a list of backends", zap.Duration("after", maxWaitForList))
		}
	}
}

// --- a relay's life ------------------------------------------------------------

// hasWork says whether anybody is still to be answered or to end.
func (n *Controller) hasWork() bool { return n.unanswered+len(n.sessions) > 0 }

// endRemaining ends what would outlast this relay: SIGKILL is near. Whoever waits at a backend that hangs, or has longer to
// wait than there is, hears a last word; whoever stands where connections end here is moved, one that came up just now
// too, also where these books have not heard of its UP yet. In the order in which they came, which is no matter of chance.
func (n *Controller) endRemaining() {
	for _, seq := range slices.Sorted(maps.Keys(n.sessions)) {
		c := n.sessions[seq]
		if !n.settings.PassThrough {
			n.driver.MigrateSession(seq) // says nothing to one that does not stand
		}
		if !c.answered {
			n.balancer.DeadlineExceeded(n.now, seq)
		}
	}
}

// Shutdown begins to leave: what still arrives is served, every answer owed is given,
// and clients are asked to move. Where packets pass through, others take a relay's
// connections over unbroken once it has been stopped; by ending itself while it
// holds any it would cut them off, and while another relay is away as well there is
// nobody that they could come to.
func (n *Controller) Shutdown(now time.Duration) {
	patience := time.Duration(0)
	for _, c := range n.settings.Classes {
		if !c.Retired { // SIGKILL comes by the settings in force; who came under others has no more time
			patience = max(patience, c.ClientTimeout)
		}
	}
	answers := min(patience, maxClientTimeout) + answerMargin
	within := answers + finalWriteTime
	if n.settings.PassThrough {
		within = passThroughShutdownTime
	}
	n.shuttingDown.Store(true)
	notice := shutdownNotice // a client moved earlier might be sent right back here
	if n.replaced.Load() {
		notice = 0 // the next process takes all who come
	}
	n.deliver(now, func() {
		n.shutdownDeadline, n.answerDeadline = now+within, now+answers
		n.leaveMembership()
		n.setTimer(migrationTimer, 0, notice)
		n.setTimer(answerDeadlineTimer, 0, answers)
	})
	n.log.Info("leaving", zap.Duration("within", within))
}

// ApplyDrain has the books follow SetDrained: clients are asked to move once the front has
// heard, or no longer. Who still comes is served. A relay that is leaving goes on with that.
func (n *Controller) ApplyDrain(now time.Duration) {
	on := n.drained.Load()
	if on == n.drainApplied {
		return
	}
	n.drainApplied = on
	n.drainGeneration++
	n.log.Info("drain", zap.Bool("on", on), zap.Int("connections", len(n.sessions)))
	n.deliver(now, func() {
		switch {
		case on:
			n.setTimer(drainTimer, n.drainGeneration, drainNotice)
		case !n.shuttingDown.Load():
			n.balancer.DrainBy(n.now, 0)
		}
	})
}

// Reload takes over what may change while the relay runs: the agent of discovery,
// the peers' addresses, the limits, the settings, the routes and, until discovery has spoken,
// the known backends; sockets is how many descriptors there are by the new limits. What it
// cannot take over is logged. An unsound configuration changes nothing.
func (n *Controller) Reload(now time.Duration, cfg Config, sockets int) error {
	known, spoilt, err := cfg.knownEndpoints(n.settings)
	if err = errors.Join(err, spoilt); err != nil {
		return err
	}
	was := n.cfg
	cfg.Settings = resolveLoadSignal(cfg.Settings)
	set, names, numbers, err := settings.Merge(n.settings, n.classNames, cfg.Settings)
	if err != nil {
		return err
	}
	cfg.Routes = cfg.Routes.RemapClasses(numbers)
	changed, later := []string{}, []string{}
	n.descriptors = sockets
	shares := AllocateDescriptors(sockets-n.otherProcessDescriptors, cfg.MemoryMB, was.AdminListen != "")
	n.deliver(now, func() {
		if cfg.Discovery != was.Discovery {
			changed = append(changed, "discovery")
			n.driver.SetDiscoveryAddress(cfg.Discovery)
		}
		if !slices.Equal(cfg.Peers, was.Peers) || cfg.BroadcastPeer != was.BroadcastPeer {
			changed = append(changed, "peers")
			n.setPeers(cfg.Peers)
			n.restartMembership(&cfg)
		}
		if !sameMembership(cfg.Membership, was.Membership) {
			changed = append(changed, "membership")
			n.restartMembership(&cfg)
		}
		if cfg.MaxDescriptors != was.MaxDescriptors || cfg.MemoryMB != was.MemoryMB {
			changed = append(changed, "limits")
			n.driver.SetLimits(shares)
		}
		if !bytes.Equal(cfg.CachedEndpoints, was.CachedEndpoints) && len(known.Endpoints) > 0 && !n.discoveryAnswered {
			changed = append(changed, "known") // what discovery says itself is never older
			n.updateEndpoints(known, balance.UpdateCached)
		}
		if !reflect.DeepEqual(set, *n.settings) {
			changed = append(changed, "settings") // what is open keeps those that it was taken under
			n.settings, n.classNames = &set, names
			n.metrics.SetClasses(names)
			n.balancer.UpdateSettings(n.effectiveSettings())
			n.driver.SetSettings(n.settings)
		}
		if !cfg.Routes.Equal(was.Routes) {
			changed = append(changed, "routes") // an open request keeps the timing that it began with
		}
	})
	for _, part := range []struct {
		name string
		same bool
	}{{"listen", cfg.Listen == was.Listen}, {"name", cfg.Name == was.Name},
		{"management", cfg.AdminListen == was.AdminListen}, {"watch", cfg.Shadow.Equal(was.Shadow)},
		{"peer_listen", cfg.PeerListen == was.PeerListen}, {"settings", settings.SameRestartOnly(&cfg.Settings, n.settings)}} {
		if !part.same {
			later = append(later, part.name)
		}
	}
	cfg.Name, cfg.Listen, cfg.PeerListen, cfg.Settings = was.Name, was.Listen, was.PeerListen, *n.settings
	cfg.AdminListen, cfg.RuntimeDir, cfg.Shadow = was.AdminListen, was.RuntimeDir, was.Shadow
	n.cfg = cfg
	n.log.Info("configuration read again", zap.Strings("taken", changed), zap.String("discovery", cfg.Discovery),
		zap.Int("flows", shares.Sessions))
	if len(later) > 0 {
		n.log.Warn("part of the configuration waits for a restart", zap.Strings("parts", later))
	}
	return nil
}

// SetDescriptors says how many descriptors there are, where the configuration alone does not.
func (n *Controller) SetDescriptors(sockets int) { n.descriptors = sockets }

// SetOtherProcessDescriptors hears how many descriptors another process of this relay holds: the limits are on both.
func (n *Controller) SetOtherProcessDescriptors(now time.Duration, held int) {
	held = max(0, min(held, n.descriptors))
	if held == n.otherProcessDescriptors {
		return
	}
	n.otherProcessDescriptors = held
	n.deliver(now, func() {
		n.driver.SetLimits(AllocateDescriptors(n.descriptors-held, n.cfg.MemoryMB, n.cfg.AdminListen != ""))
	})
}

// setPeers takes in the peers' addresses.
func (n *Controller) setPeers(peers []string) {
	n.peers = map[netip.AddrPort]int{}
	for i, name := range peers {
		if a, err := netip.ParseAddrPort(name); err == nil {
			n.peers[a] = i
		}
	}
}

// DatagramReceived takes in what came from an address; only peers are heard.
func (n *Controller) DatagramReceived(now time.Duration, from netip.AddrPort, data []byte) {
	i, known := n.peers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		n.log.Warn("datagram of an unknown sender", zap.Stringer("from", from))
		return
	}
	if n.membership != nil && n.membershipDatagram(now, i, data) {
		return
	}
	n.deliver(now, func() { n.balancer.GossipReceived(n.now, i, data) })
}

// --- flows ---------------------------------------------------------------------

// SessionOpened hears of a flow whose OPEN is whole.
func (n *Controller) SessionOpened(now time.Duration, f *session.Session) {
	n.deliver(now, func() { n.sessionOpened(f) })
}

func (n *Controller) sessionOpened(f *session.Session) {
	defer func() {
		if p := recover(); p != nil { // a client whose request broke a decision is still owed an answer
			n.driver.SendCommand(f.Seq, session.Command{Answer: protocol.AnswerFailed})
			panic(p)
		}
	}()
	c := &sessionRecord{seq: f.Seq, id: f.Open.ID, class: f.Open.Request.Class, resumed: len(f.Open.Holder) > 0}
	if n.stopped { // nothing that is begun now would be brought to its end
		n.driver.SendCommand(c.seq, session.Command{Answer: protocol.BusyAnswer(session.RetryAfter(n.settings))})
		return
	}
	if n.sessionsByID[c.id] != nil { // two answers to one id would be one too many
		n.reject(c, fmt.Errorf("id %016x is in use", c.id))
		return
	}
	if c.resumed && (n.newSessionSeen || n.now-n.startedAt > session.ResumeTimeout) {
		// Connections from before the run are all up before any other comes; to bring one up may
		// take half a minute, for which a client of any other time would hold its place.
		n.reject(c, session.ErrNotResumable)
		return
	}
	n.newSessionSeen = n.newSessionSeen || !c.resumed
	n.sessionsByID[c.id] = c
	n.sessions[c.seq] = c
	q := f.Open.Request
	q.ID = c.seq
	q.TimeLeft = max(0, f.Open.Timeout-(n.now-f.ArrivedAt))
	if by := n.answerDeadline; by > 0 { // nobody is to wait here for longer than this relay is there
		if n.now >= by { // and it still is
			by = n.shutdownDeadline
		}
		q.TimeLeft = max(0, min(q.TimeLeft, by-n.now))
	}
	if !c.resumed {
		if r := n.cfg.Routes.Lookup(routing.Request{Class: q.Class, Tenant: q.Tenant, Zone: n.settings.Zone,
			Protocol: routing.ProtocolLine, Group: q.Group, Key: q.Key}); r != nil {
			c.retryPolicy = &r.RetryPolicy
			q.RetryPolicy = c.retryPolicy
		}
		n.unanswered++
		n.balancer.RequestArrived(n.now, q)
		return
	}
	b := n.backends[discovery.BackendID(string(f.Open.Holder))]
	c.answered = true
	if b == nil {
		n.log.Error("a standing connection's backend is not in the list", zap.ByteString("backend", f.Open.Holder))
		n.driver.SendCommand(c.seq, session.Command{Answer: protocol.AnswerFailed})
		return
	}
	c.attempts, c.backend = 1, b.Name
	n.balancer.SessionAdopted(n.now, q, b.ID)
	n.driver.SendCommand(c.seq, session.Command{Backend: b, Deadline: n.now + session.ResumeTimeout, Resume: true})
}

// reject turns away what the module never hears of.
func (n *Controller) reject(c *sessionRecord, err error) {
	n.driver.ReportClientError(c.seq, err)
	n.driver.SendCommand(c.seq, session.Command{Answer: protocol.AnswerFailed})
}

// SessionEvent takes in an event of a flow.
func (n *Controller) SessionEvent(now time.Duration, flow uint64, e session.Event) {
	n.deliver(now, func() {
		if c := n.sessions[flow]; c != nil {
			n.handleEvent(c, e)
		}
	})
}

func (n *Controller) handleEvent(c *sessionRecord, e session.Event) {
	switch e.Kind {
	case session.ClientLeft:
		n.markAnswered(c)
		n.balancer.ClientClosed(n.now, c.seq)
	case session.Established:
		n.markAnswered(c)
		n.log.Debug("stands", zap.Uint64("flow", c.seq), zap.String("backend", c.backend), zap.Int("class", c.class))
		n.balancer.AttemptSucceeded(n.now, e.Result)
	case session.LoadReported:
		n.log.Debug("told", zap.Uint64("flow", c.seq), zap.String("backend", c.backend), zap.Float64("load", e.Load))
		n.reportLoad(c, e.Load)
	case session.AttemptEnded:
		o := e.Result
		c.attemptsEnded++
		o.Closed = o.Closed || c.resumed
		n.log.Debug("ended", zap.Uint64("flow", c.seq), zap.String("backend", c.backend), zap.Uint8("status", uint8(o.Status)))
		n.balancer.AttemptEnded(n.now, o)
		if c.resumed && o.Status != balance.StatusOK {
			n.driver.SendCommand(c.seq, session.Command{Answer: protocol.AnswerFailed}) // ignored by one that stood
		}
	}
}

// reportLoad passes a LOAD line on as the kind of note that the settings promise. Taken for the connection's own
// load, a late message's milliseconds raise T by orders of magnitude on the very backend that is late.
func (n *Controller) reportLoad(c *sessionRecord, v float64) {
	if n.settings.ReportsMessageDelay {
		if !n.messageDelayReported {
			n.messageDelayReported = true
			n.log.Info("backends tell of late messages", zap.String("first", c.backend))
			n.balancer.UpdateSettings(n.effectiveSettings())
		}
		n.balancer.LoadReported(n.now, c.seq, balance.SignalMessageDelay, v)
		return
	}
	n.balancer.LoadReported(n.now, c.seq, balance.SignalConnectionLoad, v*1000) // in milliseconds of work a second, as a guess in OPEN is
}

// markAnswered counts a request as no longer owed an answer.
func (n *Controller) markAnswered(c *sessionRecord) {
	if !c.answered {
		c.answered = true
		n.unanswered--
	}
}

// SessionClosed closes the books on a flow: what its driver could not report any more (an
// order that came too late, a panic) is settled here.
func (n *Controller) SessionClosed(now time.Duration, flow uint64) {
	n.deliver(now, func() {
		c := n.sessions[flow]
		if c == nil {
			return
		}
		delete(n.sessions, flow)
		delete(n.sessionsByID, c.id)
		if !c.answered {
			n.markAnswered(c)
			n.balancer.ClientClosed(n.now, flow)
		}
		if c.attemptsEnded < c.attempts {
			n.balancer.AttemptEnded(n.now, balance.AttemptResult{ID: flow, Attempt: c.attempts - 1, Status: balance.StatusAbandoned, Closed: true})
		}
	})
}

// --- backends ------------------------------------------------------------------

// EndpointsUpdated takes in news of the backends; order counts: addresses first, since the
// module may send in answer.
func (n *Controller) EndpointsUpdated(now time.Duration, l discovery.EndpointList, kind balance.EndpointUpdateKind) {
	n.deliver(now, func() {
		if kind != balance.UpdateCached && kind != balance.UpdateFailed {
			n.discoveryAnswered = true
		}
		n.updateEndpoints(l, kind)
	})
}

func (n *Controller) updateEndpoints(l discovery.EndpointList, kind balance.EndpointUpdateKind) {
	if kind == balance.UpdateFailed {
		n.balancer.EndpointsUpdated(n.now, kind, nil)
		return
	}
	named := map[*upstream.Backend]bool{}
	lines := make([]balance.Backend, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		b := n.backends[e.Backend.ID]
		if b == nil {
			b = &upstream.Backend{ID: e.Backend.ID, Name: e.Name}
			n.backends[b.ID] = b
			n.backendOrder = append(n.backendOrder, b)
		}
		if b.Name != e.Name {
			n.log.Error("two backends hash alike, one is left out", zap.String("one", b.Name), zap.String("other", e.Name))
			continue
		}
		if e.Address != "" || !b.HasAddress() {
			b.SetAddress(e.Address)
		}
		b.SetState(n.now, e.Backend.State)
		b.Listed = e.Backend
		named[b] = true
		lines = append(lines, e.Backend)
	}
	if kind != balance.UpdateDelta {
		for _, b := range n.backendOrder {
			if !named[b] {
				b.Listed.State = balance.StateRemoved
				b.SetState(n.now, balance.StateRemoved)
			}
		}
	}
	n.balancer.EndpointsUpdated(n.now, kind, lines)
	n.ready.Store(true)
	if !n.listReceived {
		n.listReceived = true
		n.driver.EndpointsReceived()
	}
}

// HealthCheckDone hears a probe's answer.
func (n *Controller) HealthCheckDone(now time.Duration, rep balance.HealthCheckResult) {
	n.deliver(now, func() { n.balancer.HealthCheckDone(n.now, rep) })
}

// --- actions -------------------------------------------------------------------

// actions is what the module does to the world.
type actions struct{ *Controller }

var _ balance.Actions = actions{}

func (a actions) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	c, b := a.sessions[id], a.backends[to]
	if c == nil {
		return
	}
	c.attempts++
	if b == nil {
		o := balance.AttemptResult{ID: id, Attempt: c.attempts - 1, Backend: to, Status: balance.StatusConnectFailed}
		a.deferred = append(a.deferred, func() { a.handleEvent(c, session.Event{Kind: session.AttemptEnded, Result: o}) })
		return
	}
	c.backend = b.Name
	a.log.Debug("sent", zap.Uint64("flow", id), zap.String("backend", b.Name), zap.Duration("timeout", timeout))
	o := session.Command{Backend: b, Deadline: a.now + timeout}
	if c.retryPolicy != nil {
		o.DialTimeout = c.retryPolicy.ConnectTimeout
	}
	a.driver.SendCommand(id, o)
}

func (a actions) Reject(id uint64, after time.Duration) { a.final(id, protocol.BusyAnswer(after)) }
func (a actions) Fail(id uint64)                        { a.final(id, protocol.AnswerFailed) }

func (a actions) final(id uint64, line string) {
	if c := a.sessions[id]; c != nil {
		a.markAnswered(c)
		a.driver.SendCommand(id, session.Command{Answer: line})
	}
}

func (a actions) Cancel(id uint64, attempt int) {
	if c := a.sessions[id]; c != nil && attempt == c.attempts-1 {
		a.driver.SendCommand(id, session.Command{Cancel: true})
	}
}

func (a actions) CheckHealth(to balance.BackendID) {
	if b := a.backends[to]; b != nil {
		a.driver.StartHealthCheck(b)
	}
}

func (a actions) ReleaseHealthCheck(to balance.BackendID) { a.driver.ReleaseHealthCheck(to) }

func (a actions) Migrate(id uint64) {
	if c := a.sessions[id]; c != nil {
		a.log.Debug("client is to move", zap.Uint64("flow", id), zap.String("backend", c.backend))
		a.driver.MigrateSession(id)
	}
}

func (a actions) SendGossip(peer int, data []byte) {
	to := a.cfg.BroadcastPeer
	switch {
	case !a.settings.Gossip || len(data) > MaxDatagramBytes || peer >= len(a.cfg.Peers):
		return
	case peer >= 0:
		to = a.cfg.Peers[peer]
	}
	a.driver.SendDatagram(to, append([]byte(nil), data...))
}

func (a actions) SetTimer(token uint64, d time.Duration) { a.setTimer(balancerTimer, token, d) }
func (a actions) WatchEndpoints(on bool)                 { a.driver.RequestEndpoints(on) }
func (a actions) FetchEndpoints()                        { a.driver.RequestEndpoints(false) }
func (a actions) Log(text string)                        { a.log.Info("module", zap.String("text", text)) }
