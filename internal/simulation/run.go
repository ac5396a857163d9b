package simulation

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/baseline"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
)

var zones = []string{"east", "west"}

const (
	sockets = 1024
	memory  = 64               // in megabytes
	letGo   = 14 * time.Second // after its length a run has so long for everything to end
)

// Options say how a seed is played. Only Seed has to be set.
type Options struct {
	Seed          uint64
	Duration      time.Duration         // virtual; 0: a minute
	RetryPolicies []balance.RetryPolicy // by class; nil: none has a timing of its own
	Script        []Fault               // instead of the seed's own; nil: the seed's
	Installation  *Installation         // a fleet as written, with modelled servers; nil: as the seed has it
	Policy        string                // what decides instead of the module, by a name of package baseline; empty: the module
	Mutation      Mutation              // tests only
	Trace         io.Writer             // nil: none
}

// Fleet is an installation as a script writes it.
type Installation struct {
	Relays, Backends, Clients int
	Server                    emulator.Config  // of each backend, but for Sizes
	SetupWork                 float64          // of a request, in seconds of a nominal core
	LineWork                  float64          // of a line
	ConnectionLoad            float64          // cores that a standing connection takes
	DependencySlots           int              // of a dependency that all set-ups use; 0: none
	DependencyHoldTime        time.Duration    // how long a set-up has its place
	ArrivalWindow             time.Duration    // the first clients come within this
	StayRange                 [2]time.Duration // how long one stays: anything between the two
	ReconnectWindow           time.Duration    // whose connection broke is back within this
	HotKeyShare               float64          // share of the clients that have one key
	HotRelayShare             float64          // share of the clients that come through the first relay; 0: its part
	LateReportShare           float64          // share of the backends whose reports are late by LateBy as well
	LateReportDelay           time.Duration    // how late the reports of those of LateShare are
	BackendSizes              []float64        // of backends by turns, in parts of Server.Cores; nil: all the same
	ListsWeights              bool             // the list gives them
	NoLoadReports             bool             // backends report nothing
	Gossip                    bool             // relays may send one another messages
	Membership                bool             // relays find out who of them is there
	ConnectTimeout            time.Duration    // for a connection to a backend to come up, on processes; 0: 250 ms
}

// Second is the service of one second, in worth.
type ServiceSecond struct {
	Requested float64 `json:"asked"`  // of clients that wanted a connection
	Served    float64 `json:"served"` // of those that had one whose last line came back in time
}

// Result is what a run came to.
type Result struct {
	Seed            uint64                `json:"seed"`
	Relays          int                   `json:"relays"`
	Backends        int                   `json:"backends"`
	Clients         int                   `json:"clients"`
	Faults          []Fault               `json:"faults"`             // as they were played
	Violations      []invariant.Violation `json:"broken,omitempty"`   // rules
	Counts          map[string]int        `json:"counts"`             // how often what came up
	FaultPairs      map[string]int        `json:"pairs,omitempty"`    // how often two kinds of fault overlapped
	ServedWeight    float64               `json:"worth"`              // served, by the classes' worths
	Answered        int                   `json:"asked"`              // final answers
	Refused         int                   `json:"refused"`            // of them BUSY
	Failed          int                   `json:"failed"`             // and ERR
	Attempts        int                   `json:"attempts"`           // OPENs at backends
	Events          int                   `json:"steps"`              // events
	ServiceBySecond []ServiceSecond       `json:"service,omitempty"`  // by second, of a Fleet
	ServiceByClass  []ServiceSecond       `json:"by_class,omitempty"` // of a Fleet: sums of the run
	Evenness        []loadstats.Second    `json:"evenness,omitempty"` // by second, of a Fleet
}

// class is a class of requests as clients know it.
type class struct {
	name   string
	giveUp time.Duration
	worth  float64
}

// run is what a seed's world holds.
type run struct {
	w        *world
	opt      Options
	check    *invariant.Checker
	classes  []class
	set      settings.Settings
	relays   []*relay
	backends []*backend
	byAddr   map[string]*backend
	catalog  *catalog
	front    *front
	outside  *box
	clients  []*client
	counts   map[string]int
	pairs    map[string]int
	served   []int
	ids      int
	slow     float64 // of everything that all backends share
	regular  float64 // connections that a backend holds when all is well
	closing  bool
	plain    bool // clients keep to the first classes
	pool     *emulator.Dependency
	poolAt   time.Duration
	turns    map[uint64]func()
	turn     uint64
	service  []ServiceSecond
	byClass  []ServiceSecond
	log      loadstats.Recorder // of what modelled backends hold
}

func (run *run) count(what string) { run.counts[what]++ }

func (run *run) fair() float64 { return run.regular }

// opens is how many requests a second a warm backend can do.
func (run *run) opens() float64 { return max(4, run.regular/3) }

func (run *run) backendAt(addr string) *backend { return run.byAddr[addr] }

// Run plays one seed to its end and reports what came of it. It panics if the options
// make no installation, such as timings that contradict one another.
func Run(opt Options) Result {
	if opt.Duration == 0 {
		opt.Duration = time.Minute
	}
	w := newWorld(opt.Seed, opt.Trace)
	run := &run{w: w, opt: opt, byAddr: map[string]*backend{}, counts: map[string]int{}, pairs: map[string]int{}, slow: 1}
	run.settle()
	w.window = 1 << (9 + w.rng.IntN(6))
	n := run.size()
	if opt.Installation != nil {
		run.model(opt.Installation)
	}
	run.watch(n)
	run.populate(n)
	script := opt.Script
	drawn := run.script() // drawn in any case: the rest of the run's chances come after it
	if script == nil {
		script = drawn
	}
	run.play(script)
	run.releases(n.backends)
	w.in(time.Second, run.sweep)
	end := epoch + opt.Duration
	w.at(end, run.close)
	for w.step(end + letGo) {
	}
	run.audit()
	if w.trace != nil {
		w.note("end after %d steps", w.steps)
		_ = w.trace.Flush()
	}
	return run.result(n, script)
}

// size is how many there are of each party.
type size struct{ relays, backends, clients int }

// size draws the installation's size, which a script overrules.
func (run *run) size() size {
	rng := run.w.rng
	n := size{relays: 2 + rng.IntN(6), backends: 6 + rng.IntN(27), clients: 100 + rng.IntN(41)}
	if f := run.opt.Installation; f != nil {
		n = size{f.Relays, f.Backends, f.Clients}
	}
	return n
}

// model prepares what only a script's installation has: a shared dependency and the measure of the service.
func (run *run) model(f *Installation) {
	run.turns = map[uint64]func(){}
	if f.DependencySlots > 0 {
		run.pool = emulator.NewDependency(f.DependencySlots)
	}
	run.byClass = make([]ServiceSecond, len(run.classes))
	run.w.in(time.Second, run.measure)
}

// watch starts the checker.
func (run *run) watch(n size) {
	w := run.w
	run.regular = float64(n.clients) / float64(n.backends)
	rules := run.rules()
	run.check = invariant.New(rules, n.relays, func() time.Duration { return w.now }, func(d time.Duration, do func()) { w.in(d, do) })
}

// populate brings all parties up: discovery and backends first, then relays, then the clients' first visits.
func (run *run) populate(n size) {
	w := run.w
	run.catalog = &catalog{run: run}
	run.outside = w.box("outside", "").of(fault.Clients, 0)
	run.outside.start()
	for i := range n.relays {
		for _, which := range []string{"a", "b"} {
			run.catalog.agents = append(run.catalog.agents, &agent{c: run.catalog, relay: i,
				address: fmt.Sprintf("10.2.%s.%d:8500", map[string]string{"a": "0", "b": "1"}[which], i)})
		}
	}
	for range n.backends {
		run.addBackend()
	}
	run.front = &front{run: run, good: make([]bool, n.relays)}
	for i := range n.relays {
		run.addRelay(i, n.relays)
	}
	for range n.clients {
		rush := 2500 * time.Millisecond
		if f := run.opt.Installation; f != nil {
			rush = f.ArrivalWindow
		}
		run.addClient().come(500*time.Millisecond + w.between(0, rush))
	}
}

// releases has up to three of the first backends released in an ordinary way, whatever else goes on.
func (run *run) releases(backends int) {
	w := run.w
	releases := w.rng.IntN(4)
	if run.opt.Installation != nil {
		releases = 0 // a script says all that happens
	}
	for range releases {
		at, long := w.between(4*time.Second, 36*time.Second), w.between(6*time.Second, 14*time.Second)
		b := run.backends[w.rng.IntN(backends)]
		w.in(at, func() { b.release(long, time.Second) })
	}
}

// sweep looks, every second, for what should have happened by now and for figures that do not come out even.
func (run *run) sweep() {
	run.check.CheckOverdue()
	for _, r := range run.relays {
		if n := len(r.ends); r.up && r.few && n > r.cfg.MaxDescriptors {
			run.fail("descriptors", "%s holds %d sockets of %d", r.name, n, r.cfg.MaxDescriptors)
		}
		if r.up {
			if err := books(r.node); err != nil {
				run.fail("books", "%s: %v", r.name, err)
			}
		}
		run.figures(r)
	}
	run.w.in(time.Second, run.sweep)
}

// settle draws the settings of an installation.
func (run *run) settle() {
	rng := run.w.rng
	run.classes = []class{{"watch", 2 * time.Second, 1}, {"fetch", 1800 * time.Millisecond, 2}, {"submit", 3 * time.Second, 5}}
	if run.opt.Installation == nil {
		run.classes = append(run.classes, class{"extra", 1500 * time.Millisecond, 3}) // only while the settings have it
	}
	run.served = make([]int, len(run.classes))
	s := settings.Settings{ClassNames: []string{"watch", "fetch", "submit"}, ZoneNames: zones, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second}
	s.Settings = balance.Settings{RelayCount: 1, Tick: 4 * time.Millisecond, HealthChecks: rng.IntN(8) != 0, Gossip: rng.IntN(4) != 0,
		Cancellation: true, RetryAfter: rng.IntN(4) != 0, MaxRetryAfter: 1500 * time.Millisecond, MaxAttempts: 4,
		DialTimeout: 250 * time.Millisecond, AnswerSlack: 16 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
		SlowStartFloor: 0.3, SlowStartWindow: 8 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 3 * time.Second,
		Groups: rng.IntN(3) == 0, PollEndpoints: rng.IntN(4) == 0, PollInterval: 2 * time.Second,
		ReportFields: []balance.ReportField{balance.FieldLoadShare}, Weights: balance.WeightsNominal, ReportsConnectionLoad: true, OverQuotaPriority: 1,
		Classes: []balance.Class{
			{LatencyObjective: 400 * time.Millisecond, ClientTimeout: 2 * time.Second, MessageLatencyObjective: 60 * time.Millisecond, Idempotency: balance.Idempotent, PriorityWeight: 1},
			{LatencyObjective: 400 * time.Millisecond, ClientTimeout: 1800 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond,
				Idempotency: balance.IdempotentWithKey, DedupScope: balance.ScopeCell, DedupWindow: 3 * time.Second, PriorityWeight: 2},
			{LatencyObjective: 600 * time.Millisecond, ClientTimeout: 3 * time.Second, MessageLatencyObjective: 60 * time.Millisecond, Idempotency: balance.NonIdempotent, PriorityWeight: 5}}}
	if f := run.opt.Installation; f != nil { // a script's installation is the same whatever the seed
		if f.NoLoadReports {
			s.ReportFields = nil
		}
		s.HealthChecks, s.Gossip, s.RetryAfter, s.Groups, s.PollEndpoints = true, f.Gossip, true, false, false
	}
	run.set = s
}

// trueLoad is how much is asked of a backend over what it can do, as nobody on the
// network could know it.
func (run *run) trueLoad(id balance.BackendID) float64 {
	for _, b := range run.backends {
		if discovery.BackendID(b.name) != id {
			continue
		}
		if !b.up || b.paused {
			return 1e9
		}
		if b.model != nil {
			return b.model.Utilization(run.w.now)
		}
		return float64(b.conns) * b.slow
	}
	return 1e9
}

// rules are what the checker holds, from the settings and what sockets are allowed.
func (run *run) rules() invariant.Limits {
	const allowed = 50 * time.Millisecond
	s := &run.set
	return invariant.Limits{Classes: run.classRules(), MaxAttempts: 4, AnswerSlack: s.AnswerSlack + allowed, DrainGrace: s.DrainGrace + allowed, DiscoveryDelay: 6 * time.Second,
		MaxLineDelay: time.Second + allowed, SilenceTimeout: 7*time.Second + allowed, DepartureGrace: 100 * time.Millisecond,
		FirstLineTimeout: 2*time.Second + s.AnswerSlack + allowed,
		ColdCapacity:     s.SlowStartFloor, WarmUp: s.SlowStartWindow, OverloadFactor: s.OverloadMultiple, OverloadWindow: s.OverloadWindow,
		WarmRate: run.opens()}
}

// classRules are the classes as the checker holds them.
func (run *run) classRules() []invariant.Class {
	s := &run.set
	classes := []invariant.Class{{Name: "watch", ClientTimeout: 2 * time.Second, Idempotency: invariant.Idempotent},
		{Name: "fetch", ClientTimeout: 1800 * time.Millisecond, Idempotency: invariant.IdempotentWithKey, ScopedToCell: true, DedupWindow: 3 * time.Second},
		{Name: "submit", ClientTimeout: 3 * time.Second, Idempotency: invariant.NonIdempotent}}
	for i := range classes {
		classes[i].LatencyObjective = s.Classes[i].LatencyObjective
		if i < len(run.opt.RetryPolicies) {
			classes[i].MaxAttempts, classes[i].TotalTimeout = run.opt.RetryPolicies[i].MaxAttempts, run.opt.RetryPolicies[i].RequestTimeout
		}
	}
	return classes
}

// retune has all relays read settings with a class more, other effects of two of them and fewer attempts, or the first
// ones again. Clients use the new class a while after it came, and no more a while before it goes.
func (run *run) retune(on bool, effect balance.Idempotency, attempts int) {
	classes, set := run.classRules(), run.set
	if on {
		effects := map[balance.Idempotency]invariant.Idempotency{balance.Idempotent: invariant.Idempotent, balance.NonIdempotent: invariant.NonIdempotent}
		set.ClassNames = append([]string{"extra"}, set.ClassNames...)
		set.Classes = append([]balance.Class{{LatencyObjective: 400 * time.Millisecond, ClientTimeout: 1500 * time.Millisecond,
			MessageLatencyObjective: 60 * time.Millisecond, Idempotency: effect, PriorityWeight: 3}}, set.Classes...)
		set.Classes[1].Idempotency, set.Classes[3].Idempotency = balance.NonIdempotent, balance.Idempotent
		set.MaxAttempts = attempts
		classes[0].Idempotency, classes[2].Idempotency = invariant.NonIdempotent, invariant.Idempotent
		classes = append(classes, invariant.Class{Name: "extra", ClientTimeout: 1500 * time.Millisecond, Idempotency: effects[effect],
			LatencyObjective: 400 * time.Millisecond})
	}
	run.count("settings changed")
	for _, r := range run.relays {
		s := set
		s.RelayIndex, s.RelayCount, s.Zone = r.cfg.Settings.RelayIndex, r.cfg.Settings.RelayCount, r.cfg.Settings.Zone
		r.cfg.Settings, r.cfg.Routes = s, run.routes()
		if on && r.cfg.Routes != nil { // the file's classes stand in another order
			r.cfg.Routes = r.cfg.Routes.RemapClasses([]int{1, 2, 3})
		}
		run.check.RelayReconfigured(r.number, classes, set.MaxAttempts)
		if r.up {
			r.reload(r.cfg)
		}
	}
	run.w.in(newClass, func() {
		for i, c := range run.clients {
			if on && i%3 == 0 && !run.plain {
				c.class = len(run.classes) - 1
			}
		}
	})
}

// newClass is how long after a reload clients use a new class.
const newClass = 1200 * time.Millisecond

func (run *run) addBackend() {
	id := len(run.backends)
	b := &backend{run: run, id: id, name: fmt.Sprintf("s-%02d", id), zone: id % 2,
		service: run.w.between(2*time.Millisecond, 30*time.Millisecond),
		box:     run.w.box(fmt.Sprintf("s-%02d", id), fmt.Sprintf("10.1.0.%d:5000", id)).of(fault.Backends, id)}
	if f := run.opt.Installation; f != nil {
		b.size = 1
		if len(f.BackendSizes) > 0 {
			b.size = f.BackendSizes[id%len(f.BackendSizes)]
		}
		cfg := f.Server
		cfg.Cores, cfg.WarmRequestRate = cfg.Cores*b.size, cfg.WarmRequestRate*b.size
		if id%100 >= 100-int(f.LateReportShare*100) {
			cfg.ReportDelay = f.LateReportDelay
		}
		b.model, b.jobs = emulator.New(cfg, run.w.rng.Uint64(), run.w.now), map[uint64]func(bool){}
	}
	run.backends = append(run.backends, b)
	run.byAddr[b.addr] = b
	run.check.AddBackend(b.name, id%2)
	b.launch()
	if run.w.now == epoch {
		for _, a := range run.catalog.agents {
			a.learn(b.entry())
		}
	}
}

func (run *run) addRelay(i, of int) {
	cfg := controller.Config{Name: fmt.Sprintf("n%d", i), Discovery: fmt.Sprintf("10.2.0.%d:8500", i), MemoryMB: memory,
		MaxDescriptors: sockets, BroadcastPeer: peersAll, Settings: run.set, AdminListen: "here"}
	cfg.Routes = run.routes()
	cfg.NewDecider = baseline.Lookup(run.opt.Policy, run.trueLoad)
	cfg.Settings.RelayIndex, cfg.Settings.RelayCount, cfg.Settings.Zone = i, of, i%2
	for j := range of {
		cfg.Peers = append(cfg.Peers, peerAddr(j).String())
	}
	r := &relay{box: run.w.box(cfg.Name, "").of(fault.Relays, i), run: run, number: i, cfg: cfg}
	r.accept = r.accepted
	r.few = run.w.rng.IntN(12) == 0 && run.opt.Installation == nil
	run.relays = append(run.relays, r)
	run.bring(r)
	run.front.look(r)
}

// routes gives each class its timing.
func (run *run) routes() *routing.Table {
	var all []routing.Route
	for i, t := range run.opt.RetryPolicies {
		m := routing.MatchAll
		m.Class = i
		all = append(all, routing.Route{Name: run.classes[i].name, Match: m, RetryPolicy: t})
	}
	if all == nil {
		return nil
	}
	table, errs := routing.NewTable(all)
	if len(errs) > 0 {
		panic(errs[0])
	}
	return table
}

func (run *run) addClient() *client {
	rng := run.w.rng
	stay := [2]time.Duration{2 * time.Second, 25 * time.Second}
	if run.opt.Installation != nil {
		stay = run.opt.Installation.StayRange
	}
	c := &client{run: run, number: len(run.clients), key: rng.Uint64(), class: []int{0, 0, 1, 1, 2}[rng.IntN(5)],
		stays: run.w.between(stay[0], stay[1]), bulky: rng.IntN(12) == 0}
	if f := run.opt.Installation; f != nil && f.HotKeyShare > 0 && rng.Float64() < f.HotKeyShare {
		c.key = 0x407
	}
	if run.set.Groups {
		c.group = uint64(1 + rng.IntN(40))
	}
	run.clients = append(run.clients, c)
	return c
}

// bring starts a relay's process, unless it runs.
func (run *run) bring(r *relay) {
	if r.up {
		return
	}
	known := map[string]string{}
	for _, e := range r.last {
		known[e.id] = e.state
	}
	run.check.RelayStarted(r.number, r.cfg.Discovery, known)
	if r.few {
		r.cfg.MaxDescriptors = 80
	}
	if len(r.last) > 0 {
		r.cfg.CachedEndpoints = body(0, true, r.last)
	}
	r.boot()
	run.count("relay up")
}

// stop ends a relay's process at once, or takes its machine off the network.
func (run *run) stop(r *relay, vanish bool) {
	if !r.up {
		return
	}
	run.check.RelayStopped(r.number)
	if o := r.old; o != nil && o.up { // it is the same machine's
		r.old = nil
		if vanish {
			o.vanish()
		} else {
			o.kill()
		}
	}
	if vanish {
		r.vanish()
	} else {
		r.kill()
	}
}

// restart asks a relay to leave and starts it again once it has.
func (run *run) restart(r *relay) {
	r = run.relays[r.number] // there may have been an upgrade since: a former process never comes back
	if !r.up || r.leaving || run.closing {
		return
	}
	r.leaving = true
	run.count("relay leaves")
	r.post(r.node.Shutdown)
	life := r.life
	var look func()
	look = func() {
		if r.life != life {
			run.w.in(300*time.Millisecond, func() { run.bring(r) })
			return
		}
		run.w.in(50*time.Millisecond, look)
	}
	run.w.in(50*time.Millisecond, look)
	run.w.in(3700*time.Millisecond, func() {
		if r.life == life {
			run.stop(r, false)
		}
	})
}

// reload has a relay read a new configuration: perhaps its other agent, other limits.
func (run *run) reload(r *relay, other bool, descriptors, memoryMB int) {
	r = run.relays[r.number] // there may have been an upgrade since
	if !r.up || r.few && !other {
		return
	}
	cfg := r.cfg
	if other {
		for _, a := range run.catalog.agents {
			if a.relay == r.number && a.address != r.cfg.Discovery {
				cfg.Discovery = a.address
				a.deaf = false
				for _, b := range run.backends { // it has kept up meanwhile
					e := b.entry()
					e.rev = run.catalog.rev
					a.learn(e)
				}
				break
			}
		}
		for _, a := range run.catalog.agents { // the old one goes
			if a.relay == r.number && a.address == r.cfg.Discovery {
				a.deaf = true
			}
		}
	}
	cfg.MaxDescriptors, cfg.MemoryMB = descriptors, memoryMB
	r.cfg = cfg
	run.count("reload")
	run.check.RelayFollowsAgent(r.number, cfg.Discovery)
	r.reload(cfg)
}

// drain has a relay send its clients away, or take them again.
func (run *run) drain(r *relay, on bool) {
	r = run.relays[r.number]          // there may have been an upgrade since
	if o := r.old; o != nil && o.up { // what is told to one process is told to both
		o.node.SetDrained(on)
		o.soon(func() {
			o.node.ApplyDrain(run.w.now)
			o.tick()
		})
	}
	if !r.up {
		return
	}
	if on && !r.leaving { // a leaving relay has its own time
		run.count("relay drained")
	}
	run.check.SetRelayDraining(r.number, on && !r.leaving)
	r.node.SetDrained(on)
	r.soon(func() {
		r.node.ApplyDrain(run.w.now)
		r.tick()
	})
}

// told says what an answer of discovery brought to a relay.
func (run *run) told(relay int, full bool, list []entry) {
	states, starts := make(map[string]string, len(list)), make(map[string]time.Duration, len(list))
	for _, e := range list {
		states[e.id], starts[e.id] = e.state, e.started
	}
	run.check.EndpointsReceived(relay, full, states, starts)
	r := run.relays[relay]
	if run.w.trace != nil {
		for _, e := range list {
			run.w.note("%s told %s %s, full list %v", r.name, e.id, e.state, full)
		}
	}
	if full {
		r.last = r.last[:0]
	}
	for _, e := range list {
		i := slices.IndexFunc(r.last, func(o entry) bool { return o.id == e.id })
		switch {
		case i >= 0 && e.state == "gone":
			r.last = slices.Delete(r.last, i, i+1)
		case i >= 0:
			r.last[i] = e
		case e.state != "gone":
			r.last = append(r.last, e)
		}
	}
}

// measure weighs the second that has just passed, from the first on: what clients
// asked for and what they had, whether or not they could say so.
func (run *run) measure() {
	if run.closing {
		return
	}
	var sum ServiceSecond
	for _, c := range run.clients {
		if !c.wants {
			continue
		}
		worth := run.classes[c.class].worth
		sum.Requested += worth
		run.byClass[c.class].Requested += worth
		if c.up && c.e != nil && c.inTime() {
			sum.Served += worth
			run.byClass[c.class].Served += worth
		}
	}
	run.service = append(run.service, sum)
	run.w.in(time.Second, run.measure)
}

// shares has somebody wait for its turn at the shared dependency.
func (run *run) shares(then func()) {
	run.turn++
	run.turns[run.turn] = then
	run.pool.Acquire(run.w.now, run.turn, run.opt.Installation.DependencyHoldTime)
	run.poolTick()
}

func (run *run) poolTick() {
	at, ok := run.pool.NextRelease()
	if !ok || run.poolAt > run.w.now && run.poolAt <= at {
		return
	}
	run.poolAt = max(at, run.w.now)
	run.w.at(run.poolAt, func() {
		run.poolAt = 0
		for _, id := range run.pool.Release(run.w.now) {
			then := run.turns[id]
			delete(run.turns, id)
			then()
		}
		run.poolTick()
	})
}

// close has everything come to an end.
func (run *run) close() {
	run.closing = true
	for _, c := range run.clients {
		c.comes++
		if c.e != nil {
			c.e.close()
			c.e = nil
		}
	}
}

// fail is a rule broken that no wire shows.
func (run *run) fail(rule, format string, args ...any) {
	run.check.Violations = append(run.check.Violations, invariant.Violation{Rule: rule, At: run.w.now - epoch,
		Detail: fmt.Sprintf(format, args...)})
}

// figures holds what a relay reports to what an onlooker counted.
func (run *run) figures(r *relay) {
	if !r.up {
		return
	}
	f, seen := r.node.Metrics().Snapshot(), run.check.Observed(r.number)
	spare := seen.Ambiguous
	within := func(what string, told int64, counted int) {
		over := int(told) - counted
		if over < 0 || over > spare {
			run.fail("figures", "%s reports %d %s, an onlooker counted %d, and %d in any way", r.name, told, what, counted, seen.Ambiguous)
			return
		}
		spare -= over
	}
	for _, c := range f.Classes {
		within(c.Name+" success", c.Success, seen.Success[c.Name])
		within(c.Name+" overload", c.Overload, seen.Overload[c.Name])
		within(c.Name+" error", c.Error, seen.Error[c.Name])
	}
	if int(f.Dispatches) != seen.Attempts {
		run.fail("figures", "%s reports %d dispatches, backends got %d", r.name, f.Dispatches, seen.Attempts)
	}
	if n := float64(f.Concurrent); n < 0.9*float64(seen.MinConnections)-3 || n > 1.1*float64(seen.MaxConnections)+3 {
		run.fail("figures", "%s reports %d connections, an onlooker sees %d to %d", r.name, f.Concurrent, seen.MinConnections, seen.MaxConnections)
	}
	if seen.ListStable && (int(f.Targets) != seen.Listed || f.TargetsDisabled > f.Targets || int(f.TargetsDisabled) < seen.Draining) {
		run.fail("figures", "%s reports %d backends, %d avoided; it was told of %d, %d draining", r.name, f.Targets,
			f.TargetsDisabled, seen.Listed, seen.Draining)
	}
	if int(f.ReloadSuccess) != r.reloads || int(f.ReloadFailure) != r.refusals {
		run.fail("figures", "%s reports %d files taken and %d turned down, of %d and %d", r.name, f.ReloadSuccess,
			f.ReloadFailure, r.reloads, r.refusals)
	}
}

// books says what does not come out even in the module's books; a baseline's are not held to that.
func books(n *controller.Controller) error {
	if b, ok := n.Balancer().(*balance.Balancer); ok {
		return b.CheckInvariants()
	}
	return nil
}

// audit looks for what is left behind at the end.
func (run *run) audit() {
	for _, r := range run.relays {
		if !r.up {
			continue
		}
		for _, c := range r.probes.DropAllIdle() {
			c.(*end).close()
		}
		fail := func(rule, format string, args ...any) { run.fail(rule, r.name+": "+format, args...) }
		if n := r.node.SessionCount(); n != 0 || r.flowing != 0 || r.lobby.Len() != 0 || len(r.flows) != 0 {
			fail("leak", "%d flows in the books, %d counted, %d driven, %d guests", n, r.flowing, len(r.flows), r.lobby.Len())
		}
		if n := run.check.OpenConnections(r.number); n != 0 {
			fail("leak", "%d connections are open", n)
		}
		if err := books(r.node); err != nil {
			fail("books", "%v", err)
		}
		if all, byServer := r.node.Balancer().Connections(); all != 0 || byServer != 0 {
			fail("books", "T counts %d connections, by server %d", all, byServer)
		}
		if n := r.node.TimerCount(); n > 2 { // the module's upkeep and the figures
			fail("leak", "%d timers", n)
		}
		if n := r.node.Metrics().Snapshot().Concurrent; n != 0 {
			fail("figures", "%d connections are reported when none is left", n)
		}
	}
}

// result sums the run up.
func (run *run) result(n size, script []Fault) Result {
	res := Result{Seed: run.opt.Seed, Relays: n.relays, Backends: n.backends, Clients: n.clients, Faults: script,
		Violations: run.check.Violations, Counts: run.counts, FaultPairs: run.pairs, Events: run.w.steps}
	res.ServiceBySecond, res.ServiceByClass = run.service, run.byClass
	if run.opt.Installation != nil {
		res.Evenness = run.log.PerSecond(run.opt.Duration)
	}
	for i, n := range run.served {
		res.ServedWeight += float64(n) * run.classes[i].worth
	}
	for what, n := range run.check.Counts {
		res.Counts[what] += n
		if strings.HasPrefix(what, "answer ") {
			res.Answered += n
		}
	}
	res.Refused, res.Failed = res.Counts["answer BUSY"], res.Counts["answer ERR"]
	res.Attempts = run.check.Counts["attempt"]
	return res
}

// The taps turn the network's words into the checker's own.
type clientTap struct{ *invariant.ClientConn }

func (t clientTap) ReceivedEnd(how session.EndKind) { t.ClientConn.ReceivedEnd(invariant.EndKind(how)) }
func (t clientTap) WrittenEnd(how session.EndKind)  { t.ClientConn.WrittenEnd(invariant.EndKind(how)) }

type backendTap struct{ *invariant.BackendConn }

func (t backendTap) ReceivedEnd(how session.EndKind) {
	t.BackendConn.ReceivedEnd(invariant.EndKind(how))
}
func (t backendTap) WrittenEnd(how session.EndKind) { t.BackendConn.WrittenEnd(invariant.EndKind(how)) }
