// This file owns a relay's books beside the module's: which flows are open, which
// backends there are, timers and their order, what a reload takes over, how a
// relay leaves. It must never wait for anything, nor decide what the module decides.

package machine

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
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/settings"
)

// Config is what a relay is told at its start.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	MemoryMB   int
	Sockets    int // descriptors that the process may hold
	PeerListen string
	Peers      []string
	PeersAll   string
	Known      []byte // the list as this relay last had it, in discovery's form; may be empty
	Settings   settings.Settings
	Routes     *routing.Table       // nil: no request has a timing of its own
	Management string               // the second address, for staff; empty: there is none
	Watch      *Shape               // settings of another shape that decide in vain, to be watched before a switch; nil: none
	Membership *membership.Settings // how relays find out who of them is there; nil: they don't
	Scratch    string               // a folder that the next version's process sees as well; empty: it starts as a fresh one

	// Decide makes what decides; nil: the module, package balance. Another is for the
	// laboratory alone, which sets the module against simpler policies.
	Decide func(now time.Duration, seed uint64, s balance.Settings, do balance.Actions) Decider
}

// Decider is what makes a relay's decisions: the module, or a policy that it is
// compared with.
type Decider interface {
	RequestArrived(now time.Duration, r balance.Request)
	SessionAdopted(now time.Duration, r balance.Request, id balance.BackendID)
	AttemptSucceeded(now time.Duration, o balance.AttemptResult)
	AttemptEnded(now time.Duration, o balance.AttemptResult)
	ClientClosed(now time.Duration, id uint64)
	LoadReported(now time.Duration, id uint64, kind balance.LoadSignal, v float64)
	TimerFired(now time.Duration, token uint64)
	DrainBy(now, at time.Duration)
	DeadlineExceeded(now time.Duration, id uint64)
	HealthCheckDone(now time.Duration, r balance.HealthCheckResult)
	GossipReceived(now time.Duration, from int, data []byte)
	EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, lines []balance.Backend)
	Connections() (all, byServer int)
	CountUnavailable(now time.Duration) (listed, avoided int)
	UpdateSettings(s balance.Settings)
	SetActiveRelays(relays int)
}

var _ Decider = (*balance.Balancer)(nil)

const (
	flowBytes    = 48 << 10                // what a standing flow may cost in memory, generously
	OwnSockets   = 16                      // descriptors for discovery, peers, the listener and the runtime
	mostGuests   = 256                     // connections without a whole OPEN, however many descriptors there are
	mostProbes   = 48                      // connections of probes, kept ones included
	lateArrivals = 600 * time.Millisecond  // the front goes on sending so long after SIGTERM
	mostPatience = 3 * time.Second         // SIGKILL comes no sooner than the longest deadline, or this, and 0.7 s more after SIGTERM
	afterwards   = 450 * time.Millisecond  // a request that came after SIGTERM ends so long after that deadline: then all are answered,
	lastWrites   = 50 * time.Millisecond   // an answer or a MOVE that was just given reaches its socket within this
	lastMoves    = 1500 * time.Millisecond // the rest is asked to move within this after the late arrivals, or within what is left
	handOver     = 30 * time.Second        // where packets pass through, connections are held until the relay is stopped or so long
	lookAgain    = 20 * time.Millisecond   // how often a leaving relay looks whether anything is owed
	mostCalls    = 32                      // connections at the second address
	figuresEvery = 200 * time.Millisecond  // what the module alone knows is published this often
	drainNotice  = 300 * time.Millisecond  // a client moved before the front has heard of a drain would come right back
	unlisted     = 6 * time.Second         // a relay that has not heard of any list for so long takes clients all the same
	drainMoves   = 2500 * time.Millisecond // a drained relay's clients are asked to move within this after that
)

// MaxDatagram is the longest datagram between relays, in bytes.
const MaxDatagram = 256

// Shares is how the descriptors are dealt out.
type Shares struct{ Flows, Guests, Probes, Calls int }

// Deal deals out the descriptors: each flow has two, a guest of the lobby and a
// probe one. Clients may hold a third of them for requests, so two thirds are the
// flows' whatever else goes on. A relay with a second address keeps a few back for it, so
// that it answers there when all others are used up.
func Deal(sockets, memoryMB int, managed bool) Shares {
	s := Shares{Guests: max(1, min(mostGuests, sockets/9)), Probes: max(1, min(mostProbes, sockets/10))}
	if managed {
		s.Calls = max(4, min(mostCalls, sockets/20))
	}
	s.Flows = max(1, (sockets-min(OwnSockets, sockets/4)-s.Guests-s.Probes-s.Calls)/2)
	if memoryMB > 0 {
		s.Flows = min(s.Flows, max(1, memoryMB<<20/2/flowBytes))
	}
	return s
}

// Host is what a Node has done. No call may wait.
type Host interface {
	Order(flow uint64, o Order)
	Move(flow uint64)
	Bad(flow uint64, err error) // the flow's client is at fault
	Probe(b *Backend)
	Release(id balance.BackendID)
	Datagram(to string, data []byte)
	Ask(watch bool)        // discovery: a watch, or the whole list once
	Follow(address string) // another agent of discovery from now on
	Limits(s Shares)
	Settings(s *settings.Settings) // in force from now on; what is under others keeps them
	Ready()                        // there is a list, for the first time
	Door()                         // nobody else is taken in: the end is near; it may be said again
	Left()                         // nothing is owed any more: the relay may end
}

// call is what a Node knows of a flow.
type call struct {
	seq, id  uint64
	class    int
	resumed  bool
	timing   *balance.RetryPolicy // nil: none of its own
	holder   string               // the backend of the last attempt
	sent     int                  // attempts ordered
	settled  int                  // attempts whose outcome the module has
	finished bool                 // the module has given its final answer or heard that none is owed
}

// Node is one relay's books. Its methods are called one at a time.
type Node struct {
	set        *settings.Settings
	book       *Ledger
	cfg        Config // as it is in force
	log        *zap.Logger
	host       Host
	balancer   Decider
	watch      *watch              // nil: nothing is watched
	members    *membership.Machine // nil: nobody finds out who is there
	here       int                 // relays that are there, as the module was told
	viewed     time.Duration       // when staff's view of them was made
	handed     uint64              // an incarnation that the process before this one had
	born       time.Duration
	now        time.Duration
	flows      map[uint64]*call
	ids        map[uint64]*call
	backends   map[balance.BackendID]*Backend
	named      []*Backend // all of backends, in the order in which they were first named
	peers      map[netip.AddrPort]int
	timers     timers
	timerSeq   uint64
	later      []func()
	pending    int     // requests that are owed an answer
	begun      bool    // a connection has come that is none from before the start
	told       bool    // discovery itself has given a list
	cached     *uint64 // the version of the list that the configuration held at the start; nil: it held none
	leaveBy    time.Duration
	answerBy   time.Duration // leaving: every answer is given by then; 0: it is not
	ended      bool          // it has left: who still comes is turned away
	listedOnce bool          // there has been a list
	noted      bool          // a LOAD line has told of a late message, as the settings promise
	names      []string      // of all classes by their numbers, dropped ones too
	sockets    int           // descriptors that there are; 0: not told yet
	held       int           // and how many of them another process of this relay has
	drains     uint64        // counts the calls that changed whether clients are sent away
	draining   bool          // they are, as far as the books know
	ready      atomic.Bool
	drained    atomic.Bool // they are to be
	leaving    atomic.Bool
	replaced   atomic.Bool // the next process takes who comes
}

// NewNode checks a configuration and starts the books.
func NewNode(now time.Duration, cfg Config, host Host, log *zap.Logger) (*Node, error) {
	cfg.Settings = oneNote(cfg.Settings)
	n := &Node{cfg: cfg, book: &Ledger{}, log: log, host: host, born: now, now: now, flows: map[uint64]*call{}, ids: map[uint64]*call{},
		backends: map[balance.BackendID]*Backend{}}
	s := cfg.Settings // a copy: a reload replaces cfg whole
	n.set = &s
	n.names = slices.Clone(s.ClassNames)
	n.book.name(n.names)
	known, spoilt, err := cfg.known(n.set)
	if spoilt = errors.Join(err, spoilt); spoilt != nil { // a relay that does not start for it would cost all clients
		log.Warn("known backends cannot be read", zap.Error(spoilt))
	}
	n.meet(cfg.Peers)
	n.decide(now)
	if len(known.entries) > 0 {
		if spoilt == nil { // else it is fetched whole
			n.cached = &known.version
		}
		n.Listed(now, known, balance.UpdateCached)
	}
	if cfg.Management != "" || n.watch != nil {
		n.after(figureTimer, 0, 0)
	}
	if !n.ready.Load() {
		n.after(unlistedTimer, 0, unlisted)
	}
	return n, nil
}

// decide starts what decides and, where the configuration has it watched, what would decide otherwise.
func (n *Node) decide(now time.Duration) {
	cfg, do := &n.cfg, balance.Actions(actions{n})
	w := &watch{node: n}
	if cfg.Watch != nil {
		do = seen{actions{n}, w}
	}
	if cfg.Decide != nil {
		n.balancer = cfg.Decide(now, cfg.Seed, n.believed(), do)
	} else {
		n.balancer = balance.New(now, cfg.Seed, n.believed(), do)
	}
	if cfg.Watch != nil {
		w.begin(now, n.balancer)
		n.balancer, n.watch = w, w
	}
}

// Ledger holds the figures. It may be read from any goroutine.
func (n *Node) Ledger() *Ledger { return n.book }

// oneNote settles what a LOAD line means, since it does not say which kind of note it carries: a
// connection's load where backends tell that, else, where the settings promise it, how long a message takes.
func oneNote(s settings.Settings) settings.Settings {
	s.ReportsMessageDelay = s.ReportsMessageDelay && !s.ReportsConnectionLoad
	return s
}

// believed are the settings that the decisions go by. That backends tell of late messages is believed once one has:
// where they are only said to and none ever does, every server over its capacity would pass for a sound one, for none
// is asked how full it is while no note speaks against it, and what it holds stays late for as long as it stands.
func (n *Node) believed() balance.Settings {
	s := n.set.Settings
	s.ReportsMessageDelay = s.ReportsMessageDelay && n.noted
	return s
}

// known reads the list that a configuration holds, if any, by the names in force.
func (c *Config) known(names *settings.Settings) (l Members, spoilt, err error) {
	if len(c.Known) == 0 {
		return Members{}, nil, nil
	}
	if l, spoilt, err = readMembers(c.Known, names); err != nil {
		return Members{}, nil, fmt.Errorf("known backends: %w", err)
	}
	return l, spoilt, nil
}

// Settings are those in force. They never change; a reload puts others in their place.
func (n *Node) Settings() *settings.Settings { return n.set }

// Config is the configuration in force.
func (n *Node) Config() Config { return n.cfg }

// Ready says whether clients may be sent here: a relay that has just started and has no list is not to be used, nor one
// that is drained. Without a list for long it is: where discovery is out for all, somebody has to say so to who comes,
// and nothing at a start waits for the network for good. It may be called from any goroutine.
func (n *Node) Ready() bool { return n.ready.Load() && !n.drained.Load() }

// SetReplaced says whether another process takes the connections that come, and returns
// whether one did before. It may be called from any goroutine.
func (n *Node) SetReplaced(on bool) (was bool) { return n.replaced.Swap(on) }

// Replaced says so as well.
func (n *Node) Replaced() bool { return n.replaced.Load() }

// Leaving says whether the relay is on its way out. It may be called from any goroutine.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// SetDrained says whether clients are to be sent away, which PING tells at once. It may
// be called from any goroutine; Drain brings the books to it.
func (n *Node) SetDrained(on bool) { n.drained.Store(on) }

// Drained says whether clients are to be sent away, as SetDrained had it last.
func (n *Node) Drained() bool { return n.drained.Load() }

// Cached is the version of the list that the configuration held at the start, if it held one.
func (n *Node) Cached() (version uint64, ok bool) {
	if n.cached == nil {
		return 0, false
	}
	return *n.cached, true
}

// Balancer is what decides, for checks.
func (n *Node) Balancer() Decider { return n.balancer }

// Backends are all that any list has named, in that order.
func (n *Node) Backends() []*Backend { return n.named }

// Timers is how many timers are set: the module's upkeep and those of requests.
func (n *Node) Timers() int { return len(n.timers) }

// Flows is how many flows are open.
func (n *Node) Flows() int { return len(n.flows) }

// HoldOff is when to come back to a relay that is full, where clients may be told.
func HoldOff(s *settings.Settings) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(s.MaxRetryAfter, time.Second)
}

// run delivers one event and then what the module's own actions brought about.
// A panic is that event's: the relay lives on.
func (n *Node) run(now time.Duration, event func()) {
	n.now = now
	n.guarded(event)
	for len(n.later) > 0 {
		next := n.later[0]
		n.later = n.later[1:]
		n.guarded(next)
	}
}

func (n *Node) guarded(event func()) {
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
	moduleTimer   uint8 = iota
	lateTimer           // leaving: the front has surely noticed
	lookTimer           // leaving: is anything owed?
	endTimer            // leaving: the last answers are written
	callTimer           // leaving: the time is up for whoever still waits, or stands and cannot be held
	drainTimer          // drained: the front has surely noticed
	figureTimer         // what the module avoids is to be published
	watchTimer          // of what decides in vain
	memberTimer         // of who is there
	unlistedTimer       // there is still no list
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

func (n *Node) after(kind uint8, token uint64, d time.Duration) {
	n.timerSeq++
	heap.Push(&n.timers, timer{n.now + d, n.timerSeq, token, kind})
}

// Next is when Due wants to be called next.
func (n *Node) Next() (time.Duration, bool) {
	if len(n.timers) == 0 {
		return 0, false
	}
	return n.timers[0].at, true
}

// Due fires all timers whose time has come.
func (n *Node) Due(now time.Duration) {
	for len(n.timers) > 0 && n.timers[0].at <= now {
		t := heap.Pop(&n.timers).(timer)
		n.run(now, func() { n.fire(t) })
	}
}

func (n *Node) fire(t timer) {
	switch t.kind {
	case moduleTimer:
		n.balancer.TimerFired(n.now, t.token)
	case lateTimer:
		n.balancer.DrainBy(n.now, max(n.now, min(n.now+lastMoves, n.answerBy-lastWrites)))
		n.after(lookTimer, 0, 0)
	case lookTimer:
		if !n.owes() || n.now >= n.leaveBy {
			n.host.Door()
			n.after(endTimer, 0, lastWrites) // an answer counts as given when its flow is told, not when it is written
			return
		}
		n.after(lookTimer, 0, lookAgain)
	case endTimer:
		if n.owes() && n.now < n.leaveBy { // somebody has come since
			n.after(lookTimer, 0, lookAgain)
			return
		}
		n.ended = true
		n.log.Info("left")
		n.host.Left()
	case callTimer:
		n.lastCall()
	case drainTimer:
		if n.draining && t.token == n.drains && !n.leaving.Load() {
			n.balancer.DrainBy(n.now, n.now+drainMoves)
		}
	case figureTimer:
		n.book.listed(n.balancer.CountUnavailable(n.now))
		if n.watch != nil {
			n.watch.sweep(n.now)
		}
		n.after(figureTimer, 0, figuresEvery)
	case watchTimer:
		n.watch.timer(n.now, t.token)
	case memberTimer:
		n.memberTick()
	case unlistedTimer:
		if !n.ready.Swap(true) {
			n.log.Warn("ready without a list of backends", zap.Duration("after", unlisted))
		}
	}
}

// --- a relay's life ------------------------------------------------------------

// owes says whether anybody is still to be answered or to end.
func (n *Node) owes() bool { return n.pending+len(n.flows) > 0 }

// lastCall ends what would outlast this relay: SIGKILL is near. Whoever waits at a backend that hangs, or has longer to
// wait than there is, hears a last word; whoever stands where connections end here is moved, one that came up just now
// too, also where these books have not heard of its UP yet. In the order in which they came, which is no matter of chance.
func (n *Node) lastCall() {
	for _, seq := range slices.Sorted(maps.Keys(n.flows)) {
		c := n.flows[seq]
		if !n.set.PassThrough {
			n.host.Move(seq) // says nothing to one that does not stand
		}
		if !c.finished {
			n.balancer.DeadlineExceeded(n.now, seq)
		}
	}
}

// Leave begins to leave: what still arrives is served, every answer owed is given,
// and clients are asked to move. Where packets pass through, others take a relay's
// connections over unbroken once it has been stopped; by ending itself while it
// holds any it would cut them off, and while another relay is away as well there is
// nobody that they could come to.
func (n *Node) Leave(now time.Duration) {
	patience := time.Duration(0)
	for _, c := range n.set.Classes {
		if !c.Retired { // SIGKILL comes by the settings in force; who came under others has no more time
			patience = max(patience, c.ClientTimeout)
		}
	}
	answers := min(patience, mostPatience) + afterwards
	within := answers + lastWrites
	if n.set.PassThrough {
		within = handOver
	}
	n.leaving.Store(true)
	notice := lateArrivals // a client moved earlier might be sent right back here
	if n.replaced.Load() {
		notice = 0 // the next process takes all who come
	}
	n.run(now, func() {
		n.leaveBy, n.answerBy = now+within, now+answers
		n.memberLeave()
		n.after(lateTimer, 0, notice)
		n.after(callTimer, 0, answers)
	})
	n.log.Info("leaving", zap.Duration("within", within))
}

// Drain has the books follow SetDrained: clients are asked to move once the front has
// heard, or no longer. Who still comes is served. A relay that is leaving goes on with that.
func (n *Node) Drain(now time.Duration) {
	on := n.drained.Load()
	if on == n.draining {
		return
	}
	n.draining = on
	n.drains++
	n.log.Info("drain", zap.Bool("on", on), zap.Int("connections", len(n.flows)))
	n.run(now, func() {
		switch {
		case on:
			n.after(drainTimer, n.drains, drainNotice)
		case !n.leaving.Load():
			n.balancer.DrainBy(n.now, 0)
		}
	})
}

// Reload takes over what may change while the relay runs: the agent of discovery,
// the peers' addresses, the limits, the settings, the routes and, until discovery has spoken,
// the known backends; sockets is how many descriptors there are by the new limits. What it
// cannot take over is logged. An unsound configuration changes nothing.
func (n *Node) Reload(now time.Duration, cfg Config, sockets int) error {
	known, spoilt, err := cfg.known(n.set)
	if err = errors.Join(err, spoilt); err != nil {
		return err
	}
	was := n.cfg
	cfg.Settings = oneNote(cfg.Settings)
	set, names, numbers, err := n.merged(cfg.Settings)
	if err != nil {
		return err
	}
	cfg.Routes = cfg.Routes.RemapClasses(numbers)
	changed, later := []string{}, []string{}
	n.sockets = sockets
	shares := Deal(sockets-n.held, cfg.MemoryMB, was.Management != "")
	n.run(now, func() {
		if cfg.Discovery != was.Discovery {
			changed = append(changed, "discovery")
			n.host.Follow(cfg.Discovery)
		}
		if !slices.Equal(cfg.Peers, was.Peers) || cfg.PeersAll != was.PeersAll {
			changed = append(changed, "peers")
			n.meet(cfg.Peers)
			n.rejoin(&cfg)
		}
		if !sameMembership(cfg.Membership, was.Membership) {
			changed = append(changed, "membership")
			n.rejoin(&cfg)
		}
		if cfg.Sockets != was.Sockets || cfg.MemoryMB != was.MemoryMB {
			changed = append(changed, "limits")
			n.host.Limits(shares)
		}
		if !bytes.Equal(cfg.Known, was.Known) && len(known.entries) > 0 && !n.told {
			changed = append(changed, "known") // what discovery says itself is never older
			n.listed(known, balance.UpdateCached)
		}
		if !reflect.DeepEqual(set, *n.set) {
			changed = append(changed, "settings") // what is open keeps those that it was taken under
			n.set, n.names = &set, names
			n.book.name(names)
			n.balancer.UpdateSettings(n.believed())
			n.host.Settings(n.set)
		}
		if !cfg.Routes.Equal(was.Routes) {
			changed = append(changed, "routes") // an open request keeps the timing that it began with
		}
	})
	for _, part := range []struct {
		name string
		same bool
	}{{"listen", cfg.Listen == was.Listen}, {"name", cfg.Name == was.Name},
		{"management", cfg.Management == was.Management}, {"watch", cfg.Watch.equal(was.Watch)},
		{"peer_listen", cfg.PeerListen == was.PeerListen}, {"settings", sameLasting(&cfg.Settings, n.set)}} {
		if !part.same {
			later = append(later, part.name)
		}
	}
	cfg.Name, cfg.Listen, cfg.PeerListen, cfg.Settings = was.Name, was.Listen, was.PeerListen, *n.set
	cfg.Management, cfg.Scratch, cfg.Watch = was.Management, was.Scratch, was.Watch
	n.cfg = cfg
	n.log.Info("configuration read again", zap.Strings("taken", changed), zap.String("discovery", cfg.Discovery),
		zap.Int("flows", shares.Flows))
	if len(later) > 0 {
		n.log.Warn("part of the configuration waits for a restart", zap.Strings("parts", later))
	}
	return nil
}

// SetSockets says how many descriptors there are, where the configuration alone does not.
func (n *Node) SetSockets(sockets int) { n.sockets = sockets }

// Elsewhere hears how many descriptors another process of this relay holds: the limits are on both.
func (n *Node) Elsewhere(now time.Duration, held int) {
	held = max(0, min(held, n.sockets))
	if held == n.held {
		return
	}
	n.held = held
	n.run(now, func() { n.host.Limits(Deal(n.sockets-held, n.cfg.MemoryMB, n.cfg.Management != "")) })
}

// meet takes in the peers' addresses.
func (n *Node) meet(peers []string) {
	n.peers = map[netip.AddrPort]int{}
	for i, name := range peers {
		if a, err := netip.ParseAddrPort(name); err == nil {
			n.peers[a] = i
		}
	}
}

// Datagram takes in what came from an address; only peers are heard.
func (n *Node) Datagram(now time.Duration, from netip.AddrPort, data []byte) {
	i, known := n.peers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		n.log.Warn("datagram of an unknown sender", zap.Stringer("from", from))
		return
	}
	if n.members != nil && n.fromMember(now, i, data) {
		return
	}
	n.run(now, func() { n.balancer.GossipReceived(n.now, i, data) })
}

// --- flows ---------------------------------------------------------------------

// Opened hears of a flow whose OPEN is whole.
func (n *Node) Opened(now time.Duration, f *Flow) { n.run(now, func() { n.opened(f) }) }

func (n *Node) opened(f *Flow) {
	defer func() {
		if p := recover(); p != nil { // a client whose request broke a decision is still owed an answer
			n.host.Order(f.Seq, Order{Answer: AnswerFailed})
			panic(p)
		}
	}()
	c := &call{seq: f.Seq, id: f.Open.id, class: f.Open.Request.Class, resumed: len(f.Open.at) > 0}
	if n.ended { // nothing that is begun now would be brought to its end
		n.host.Order(c.seq, Order{Answer: BusyAnswer(HoldOff(n.set))})
		return
	}
	if n.ids[c.id] != nil { // two answers to one id would be one too many
		n.reject(c, fmt.Errorf("id %016x is in use", c.id))
		return
	}
	if c.resumed && (n.begun || n.now-n.born > standing) {
		// Connections from before the run are all up before any other comes; to bring one up may
		// take half a minute, for which a client of any other time would hold its place.
		n.reject(c, errStanding)
		return
	}
	n.begun = n.begun || !c.resumed
	n.ids[c.id] = c
	n.flows[c.seq] = c
	q := f.Open.Request
	q.ID = c.seq
	q.TimeLeft = max(0, f.Open.patience-(n.now-f.Came))
	if by := n.answerBy; by > 0 { // nobody is to wait here for longer than this relay is there
		if n.now >= by { // and it still is
			by = n.leaveBy
		}
		q.TimeLeft = max(0, min(q.TimeLeft, by-n.now))
	}
	if !c.resumed {
		if r := n.cfg.Routes.Lookup(routing.Request{Class: q.Class, Tenant: q.Tenant, Zone: n.set.Zone,
			Protocol: routing.ProtocolLine, Group: q.Group, Key: q.Key}); r != nil {
			c.timing = &r.RetryPolicy
			q.RetryPolicy = c.timing
		}
		n.pending++
		n.balancer.RequestArrived(n.now, q)
		return
	}
	b := n.backends[backendID(string(f.Open.at))]
	c.finished = true
	if b == nil {
		n.log.Error("a standing connection's backend is not in the list", zap.ByteString("backend", f.Open.at))
		n.host.Order(c.seq, Order{Answer: AnswerFailed})
		return
	}
	c.sent, c.holder = 1, b.Name
	n.balancer.SessionAdopted(n.now, q, b.ID)
	n.host.Order(c.seq, Order{To: b, Until: n.now + standing, Resume: true})
}

// reject turns away what the module never hears of.
func (n *Node) reject(c *call, err error) {
	n.host.Bad(c.seq, err)
	n.host.Order(c.seq, Order{Answer: AnswerFailed})
}

// Heard takes in an event of a flow.
func (n *Node) Heard(now time.Duration, flow uint64, e Event) {
	n.run(now, func() {
		if c := n.flows[flow]; c != nil {
			n.heard(c, e)
		}
	})
}

func (n *Node) heard(c *call, e Event) {
	switch e.Kind {
	case ClientLeft:
		n.answered(c)
		n.balancer.ClientClosed(n.now, c.seq)
	case Stood:
		n.answered(c)
		n.log.Debug("stands", zap.Uint64("flow", c.seq), zap.String("backend", c.holder), zap.Int("class", c.class))
		n.balancer.AttemptSucceeded(n.now, e.Outcome)
	case Told:
		n.log.Debug("told", zap.Uint64("flow", c.seq), zap.String("backend", c.holder), zap.Float64("load", e.Load))
		n.note(c, e.Load)
	case AttemptEnded:
		o := e.Outcome
		c.settled++
		o.Closed = o.Closed || c.resumed
		n.log.Debug("ended", zap.Uint64("flow", c.seq), zap.String("backend", c.holder), zap.Uint8("status", uint8(o.Status)))
		n.balancer.AttemptEnded(n.now, o)
		if c.resumed && o.Status != balance.StatusOK {
			n.host.Order(c.seq, Order{Answer: AnswerFailed}) // ignored by one that stood
		}
	}
}

// note passes a LOAD line on as the kind of note that the settings promise. Taken for the connection's own
// load, a late message's milliseconds raise T by orders of magnitude on the very backend that is late.
func (n *Node) note(c *call, v float64) {
	if n.set.ReportsMessageDelay {
		if !n.noted {
			n.noted = true
			n.log.Info("backends tell of late messages", zap.String("first", c.holder))
			n.balancer.UpdateSettings(n.believed())
		}
		n.balancer.LoadReported(n.now, c.seq, balance.SignalMessageDelay, v)
		return
	}
	n.balancer.LoadReported(n.now, c.seq, balance.SignalConnectionLoad, v*1000) // in milliseconds of work a second, as a guess in OPEN is
}

// answered counts a request as no longer owed an answer.
func (n *Node) answered(c *call) {
	if !c.finished {
		c.finished = true
		n.pending--
	}
}

// Closed closes the books on a flow: what its driver could not report any more (an
// order that came too late, a panic) is settled here.
func (n *Node) Closed(now time.Duration, flow uint64) {
	n.run(now, func() {
		c := n.flows[flow]
		if c == nil {
			return
		}
		delete(n.flows, flow)
		delete(n.ids, c.id)
		if !c.finished {
			n.answered(c)
			n.balancer.ClientClosed(n.now, flow)
		}
		if c.settled < c.sent {
			n.balancer.AttemptEnded(n.now, balance.AttemptResult{ID: flow, Attempt: c.sent - 1, Status: balance.StatusAbandoned, Closed: true})
		}
	})
}

// --- backends ------------------------------------------------------------------

// Listed takes in news of the backends; order counts: addresses first, since the
// module may send in answer.
func (n *Node) Listed(now time.Duration, l Members, kind balance.EndpointUpdateKind) {
	n.run(now, func() {
		if kind != balance.UpdateCached && kind != balance.UpdateFailed {
			n.told = true
		}
		n.listed(l, kind)
	})
}

func (n *Node) listed(l Members, kind balance.EndpointUpdateKind) {
	if kind == balance.UpdateFailed {
		n.balancer.EndpointsUpdated(n.now, kind, nil)
		return
	}
	named := map[*Backend]bool{}
	lines := make([]balance.Backend, 0, len(l.entries))
	for _, e := range l.entries {
		b := n.backends[e.line.ID]
		if b == nil {
			b = &Backend{ID: e.line.ID, Name: e.name}
			n.backends[b.ID] = b
			n.named = append(n.named, b)
		}
		if b.Name != e.name {
			n.log.Error("two backends hash alike, one is left out", zap.String("one", b.Name), zap.String("other", e.name))
			continue
		}
		if e.addr != "" || b.addr.Load() == nil {
			addr := e.addr
			b.addr.Store(&addr)
		}
		b.set(n.now, e.line.State)
		b.line = e.line
		named[b] = true
		lines = append(lines, e.line)
	}
	if kind != balance.UpdateDelta {
		for _, b := range n.named {
			if !named[b] {
				b.line.State = balance.StateRemoved
				b.set(n.now, balance.StateRemoved)
			}
		}
	}
	n.balancer.EndpointsUpdated(n.now, kind, lines)
	n.ready.Store(true)
	if !n.listedOnce {
		n.listedOnce = true
		n.host.Ready()
	}
}

// Probed hears a probe's answer.
func (n *Node) Probed(now time.Duration, rep balance.HealthCheckResult) {
	n.run(now, func() { n.balancer.HealthCheckDone(n.now, rep) })
}

// --- actions -------------------------------------------------------------------

// actions is what the module does to the world.
type actions struct{ *Node }

var _ balance.Actions = actions{}

func (a actions) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	c, b := a.flows[id], a.backends[to]
	if c == nil {
		return
	}
	c.sent++
	if b == nil {
		o := balance.AttemptResult{ID: id, Attempt: c.sent - 1, Backend: to, Status: balance.StatusConnectFailed}
		a.later = append(a.later, func() { a.heard(c, Event{Kind: AttemptEnded, Outcome: o}) })
		return
	}
	c.holder = b.Name
	a.log.Debug("sent", zap.Uint64("flow", id), zap.String("backend", b.Name), zap.Duration("timeout", timeout))
	o := Order{To: b, Until: a.now + timeout}
	if c.timing != nil {
		o.Dial = c.timing.ConnectTimeout
	}
	a.host.Order(id, o)
}

func (a actions) Reject(id uint64, after time.Duration) { a.final(id, BusyAnswer(after)) }
func (a actions) Fail(id uint64)                        { a.final(id, AnswerFailed) }

func (a actions) final(id uint64, line string) {
	if c := a.flows[id]; c != nil {
		a.answered(c)
		a.host.Order(id, Order{Answer: line})
	}
}

func (a actions) Cancel(id uint64, attempt int) {
	if c := a.flows[id]; c != nil && attempt == c.sent-1 {
		a.host.Order(id, Order{Cancel: true})
	}
}

func (a actions) CheckHealth(to balance.BackendID) {
	if b := a.backends[to]; b != nil {
		a.host.Probe(b)
	}
}

func (a actions) ReleaseHealthCheck(to balance.BackendID) { a.host.Release(to) }

func (a actions) Migrate(id uint64) {
	if c := a.flows[id]; c != nil {
		a.log.Debug("client is to move", zap.Uint64("flow", id), zap.String("backend", c.holder))
		a.host.Move(id)
	}
}

func (a actions) SendGossip(peer int, data []byte) {
	to := a.cfg.PeersAll
	switch {
	case !a.set.Gossip || len(data) > MaxDatagram || peer >= len(a.cfg.Peers):
		return
	case peer >= 0:
		to = a.cfg.Peers[peer]
	}
	a.host.Datagram(to, append([]byte(nil), data...))
}

func (a actions) SetTimer(token uint64, d time.Duration) { a.after(moduleTimer, token, d) }
func (a actions) WatchEndpoints(on bool)                 { a.host.Ask(on) }
func (a actions) FetchEndpoints()                        { a.host.Ask(false) }
func (a actions) Log(text string)                        { a.log.Info("module", zap.String("text", text)) }
