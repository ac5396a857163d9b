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
	defaultDescriptors = 1024
	defaultMemoryMB    = 64               // in megabytes
	cleanupPeriod      = 14 * time.Second // after its length a run has so long for everything to end
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
	name    string
	timeout time.Duration
	weight  float64
}

// run is what a seed's world holds.
type run struct {
	engine               *engine
	options              Options
	checker              *invariant.Checker
	classes              []class
	settings             settings.Settings
	relays               []*relay
	backends             []*backend
	backendsByAddress    map[string]*backend
	catalog              *catalog
	loadBalancer         *loadBalancer
	clientHost           *host
	clients              []*client
	counts               map[string]int
	faultPairs           map[string]int
	servedByClass        []int
	lastRequestID        int
	slowdown             float64 // of everything that all backends share
	nominalConnections   float64 // connections that a backend holds when all is well
	closing              bool
	baseClassesOnly      bool // clients keep to the first classes
	dependency           *emulator.Dependency
	dependencyTimer      time.Duration
	dependencyWaiters    map[uint64]func()
	lastDependencyWaiter uint64
	serviceBySecond      []ServiceSecond
	serviceByClass       []ServiceSecond
	loadRecorder         loadstats.Recorder // of what modelled backends hold
}

func (run *run) count(what string) { run.counts[what]++ }

func (run *run) fair() float64 { return run.nominalConnections }

// opens is how many requests a second a warm backend can do.
func (run *run) warmRequestRate() float64 { return max(4, run.nominalConnections/3) }

func (run *run) backendAt(addr string) *backend { return run.backendsByAddress[addr] }

// Run plays one seed to its end and reports what came of it. It panics if the options
// make no installation, such as timings that contradict one another.
func Run(options Options) Result {
	if options.Duration == 0 {
		options.Duration = time.Minute
	}
	engine := newEngine(options.Seed, options.Trace)
	run := &run{engine: engine, options: options, backendsByAddress: map[string]*backend{}, counts: map[string]int{}, faultPairs: map[string]int{}, slowdown: 1}
	run.drawSettings()
	engine.receiveWindow = 1 << (9 + engine.rng.IntN(6))
	n := run.drawSize()
	if options.Installation != nil {
		run.prepareModel(options.Installation)
	}
	run.startChecker(n)
	run.populate(n)
	script := options.Script
	drawn := run.drawScript() // drawn in any case: the rest of the run's chances come after it
	if script == nil {
		script = drawn
	}
	run.scheduleFaults(script)
	run.scheduleReleases(n.backends)
	engine.schedule(time.Second, run.checkPeriodically)
	end := epoch + options.Duration
	engine.scheduleAt(end, run.closeClients)
	for engine.runNext(end + cleanupPeriod) {
	}
	run.audit()
	if engine.trace != nil {
		engine.tracef("end after %d steps", engine.eventCount)
		_ = engine.trace.Flush()
	}
	return run.summarize(n, script)
}

// size is how many there are of each party.
type installationSize struct{ relays, backends, clients int }

// size draws the installation's size, which a script overrules.
func (run *run) drawSize() installationSize {
	rng := run.engine.rng
	n := installationSize{relays: 2 + rng.IntN(6), backends: 6 + rng.IntN(27), clients: 100 + rng.IntN(41)}
	if f := run.options.Installation; f != nil {
		n = installationSize{f.Relays, f.Backends, f.Clients}
	}
	return n
}

// model prepares what only a script's installation has: a shared dependency and the measure of the service.
func (run *run) prepareModel(f *Installation) {
	run.dependencyWaiters = map[uint64]func(){}
	if f.DependencySlots > 0 {
		run.dependency = emulator.NewDependency(f.DependencySlots)
	}
	run.serviceByClass = make([]ServiceSecond, len(run.classes))
	run.engine.schedule(time.Second, run.measureService)
}

// watch starts the checker.
func (run *run) startChecker(n installationSize) {
	engine := run.engine
	run.nominalConnections = float64(n.clients) / float64(n.backends)
	rules := run.limits()
	run.checker = invariant.New(rules, n.relays, func() time.Duration { return engine.now }, func(d time.Duration, do func()) { engine.schedule(d, do) })
}

// populate brings all parties up: discovery and backends first, then relays, then the clients' first visits.
func (run *run) populate(n installationSize) {
	engine := run.engine
	run.catalog = &catalog{run: run}
	run.clientHost = engine.newHost("outside", "").withNode(fault.Clients, 0)
	run.clientHost.start()
	for i := range n.relays {
		for _, which := range []string{"a", "b"} {
			run.catalog.agents = append(run.catalog.agents, &discoveryAgent{catalog: run.catalog, relay: i,
				address: fmt.Sprintf("10.2.%s.%d:8500", map[string]string{"a": "0", "b": "1"}[which], i)})
		}
	}
	for range n.backends {
		run.addBackend()
	}
	run.loadBalancer = &loadBalancer{run: run, healthy: make([]bool, n.relays)}
	for i := range n.relays {
		run.addRelay(i, n.relays)
	}
	for range n.clients {
		rush := 2500 * time.Millisecond
		if f := run.options.Installation; f != nil {
			rush = f.ArrivalWindow
		}
		run.addClient().connectAfter(500*time.Millisecond + engine.randomDuration(0, rush))
	}
}

// releases has up to three of the first backends released in an ordinary way, whatever else goes on.
func (run *run) scheduleReleases(backends int) {
	engine := run.engine
	releases := engine.rng.IntN(4)
	if run.options.Installation != nil {
		releases = 0 // a script says all that happens
	}
	for range releases {
		at, long := engine.randomDuration(4*time.Second, 36*time.Second), engine.randomDuration(6*time.Second, 14*time.Second)
		b := run.backends[engine.rng.IntN(backends)]
		engine.schedule(at, func() { b.release(long, time.Second) })
	}
}

// sweep looks, every second, for what should have happened by now and for figures that do not come out even.
func (run *run) checkPeriodically() {
	run.checker.CheckOverdue()
	for _, r := range run.relays {
		if n := len(r.conns); r.up && r.lowDescriptors && n > r.cfg.MaxDescriptors {
			run.reportViolation("descriptors", "%s holds %d sockets of %d", r.name, n, r.cfg.MaxDescriptors)
		}
		if r.up {
			if err := checkBalancer(r.controller); err != nil {
				run.reportViolation("books", "%s: %v", r.name, err)
			}
		}
		run.checkMetrics(r)
	}
	run.engine.schedule(time.Second, run.checkPeriodically)
}

// settle draws the settings of an installation.
func (run *run) drawSettings() {
	rng := run.engine.rng
	run.classes = []class{{"watch", 2 * time.Second, 1}, {"fetch", 1800 * time.Millisecond, 2}, {"submit", 3 * time.Second, 5}}
	if run.options.Installation == nil {
		run.classes = append(run.classes, class{"extra", 1500 * time.Millisecond, 3}) // only while the settings have it
	}
	run.servedByClass = make([]int, len(run.classes))
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
	if f := run.options.Installation; f != nil { // a script's installation is the same whatever the seed
		if f.NoLoadReports {
			s.ReportFields = nil
		}
		s.HealthChecks, s.Gossip, s.RetryAfter, s.Groups, s.PollEndpoints = true, f.Gossip, true, false, false
	}
	run.settings = s
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
			return b.model.Utilization(run.engine.now)
		}
		return float64(b.sessionCount) * b.slowdown
	}
	return 1e9
}

// rules are what the checker holds, from the settings and what sockets are allowed.
func (run *run) limits() invariant.Limits {
	const allowed = 50 * time.Millisecond
	s := &run.settings
	return invariant.Limits{Classes: run.classLimits(), MaxAttempts: 4, AnswerSlack: s.AnswerSlack + allowed, DrainGrace: s.DrainGrace + allowed, DiscoveryDelay: 6 * time.Second,
		MaxLineDelay: time.Second + allowed, SilenceTimeout: 7*time.Second + allowed, DepartureGrace: 100 * time.Millisecond,
		FirstLineTimeout: 2*time.Second + s.AnswerSlack + allowed,
		ColdCapacity:     s.SlowStartFloor, WarmUp: s.SlowStartWindow, OverloadFactor: s.OverloadMultiple, OverloadWindow: s.OverloadWindow,
		WarmRate: run.warmRequestRate()}
}

// classRules are the classes as the checker holds them.
func (run *run) classLimits() []invariant.Class {
	s := &run.settings
	classes := []invariant.Class{{Name: "watch", ClientTimeout: 2 * time.Second, Idempotency: invariant.Idempotent},
		{Name: "fetch", ClientTimeout: 1800 * time.Millisecond, Idempotency: invariant.IdempotentWithKey, ScopedToCell: true, DedupWindow: 3 * time.Second},
		{Name: "submit", ClientTimeout: 3 * time.Second, Idempotency: invariant.NonIdempotent}}
	for i := range classes {
		classes[i].LatencyObjective = s.Classes[i].LatencyObjective
		if i < len(run.options.RetryPolicies) {
			classes[i].MaxAttempts, classes[i].TotalTimeout = run.options.RetryPolicies[i].MaxAttempts, run.options.RetryPolicies[i].RequestTimeout
		}
	}
	return classes
}

// retune has all relays read settings with a class more, other effects of two of them and fewer attempts, or the first
// ones again. Clients use the new class a while after it came, and no more a while before it goes.
func (run *run) changeSettings(on bool, effect balance.Idempotency, attempts int) {
	classes, set := run.classLimits(), run.settings
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
		r.cfg.Settings, r.cfg.Routes = s, run.routingTable()
		if on && r.cfg.Routes != nil { // the file's classes stand in another order
			r.cfg.Routes = r.cfg.Routes.RemapClasses([]int{1, 2, 3})
		}
		run.checker.RelayReconfigured(r.number, classes, set.MaxAttempts)
		if r.up {
			r.reload(r.cfg)
		}
	}
	run.engine.schedule(classRolloutDelay, func() {
		for i, c := range run.clients {
			if on && i%3 == 0 && !run.baseClassesOnly {
				c.class = len(run.classes) - 1
			}
		}
	})
}

// newClass is how long after a reload clients use a new class.
const classRolloutDelay = 1200 * time.Millisecond

func (run *run) addBackend() {
	id := len(run.backends)
	b := &backend{run: run, id: id, name: fmt.Sprintf("s-%02d", id), zone: id % 2,
		serviceTime: run.engine.randomDuration(2*time.Millisecond, 30*time.Millisecond),
		host:        run.engine.newHost(fmt.Sprintf("s-%02d", id), fmt.Sprintf("10.1.0.%d:5000", id)).withNode(fault.Backends, id)}
	if f := run.options.Installation; f != nil {
		b.relativeSize = 1
		if len(f.BackendSizes) > 0 {
			b.relativeSize = f.BackendSizes[id%len(f.BackendSizes)]
		}
		server := f.Server
		server.Cores, server.WarmRequestRate = server.Cores*b.relativeSize, server.WarmRequestRate*b.relativeSize
		if id%100 >= 100-int(f.LateReportShare*100) {
			server.ReportDelay = f.LateReportDelay
		}
		b.model, b.pendingJobs = emulator.New(server, run.engine.rng.Uint64(), run.engine.now), map[uint64]func(bool){}
	}
	run.backends = append(run.backends, b)
	run.backendsByAddress[b.addr] = b
	run.checker.AddBackend(b.name, id%2)
	b.launch()
	if run.engine.now == epoch {
		for _, a := range run.catalog.agents {
			a.learn(b.entry())
		}
	}
}

func (run *run) addRelay(i, of int) {
	cfg := controller.Config{Name: fmt.Sprintf("n%d", i), Discovery: fmt.Sprintf("10.2.0.%d:8500", i), MemoryMB: defaultMemoryMB,
		MaxDescriptors: defaultDescriptors, BroadcastPeer: broadcastAddress, Settings: run.settings, AdminListen: "here"}
	cfg.Routes = run.routingTable()
	cfg.NewDecider = baseline.Lookup(run.options.Policy, run.trueLoad)
	cfg.Settings.RelayIndex, cfg.Settings.RelayCount, cfg.Settings.Zone = i, of, i%2
	for j := range of {
		cfg.Peers = append(cfg.Peers, gossipAddress(j).String())
	}
	r := &relay{host: run.engine.newHost(cfg.Name, "").withNode(fault.Relays, i), run: run, number: i, cfg: cfg}
	r.onAccept = r.acceptConn
	r.lowDescriptors = run.engine.rng.IntN(12) == 0 && run.options.Installation == nil
	run.relays = append(run.relays, r)
	run.startRelay(r)
	run.loadBalancer.checkRelay(r)
}

// routes gives each class its timing.
func (run *run) routingTable() *routing.Table {
	var all []routing.Route
	for i, t := range run.options.RetryPolicies {
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
	rng := run.engine.rng
	stay := [2]time.Duration{2 * time.Second, 25 * time.Second}
	if run.options.Installation != nil {
		stay = run.options.Installation.StayRange
	}
	c := &client{run: run, number: len(run.clients), key: rng.Uint64(), class: []int{0, 0, 1, 1, 2}[rng.IntN(5)],
		stayDuration: run.engine.randomDuration(stay[0], stay[1]), sendsBursts: rng.IntN(12) == 0}
	if f := run.options.Installation; f != nil && f.HotKeyShare > 0 && rng.Float64() < f.HotKeyShare {
		c.key = 0x407
	}
	if run.settings.Groups {
		c.group = uint64(1 + rng.IntN(40))
	}
	run.clients = append(run.clients, c)
	return c
}

// bring starts a relay's process, unless it runs.
func (run *run) startRelay(r *relay) {
	if r.up {
		return
	}
	states := map[string]string{}
	for _, e := range r.knownEndpoints {
		states[e.id] = e.state
	}
	run.checker.RelayStarted(r.number, r.cfg.Discovery, states)
	if r.lowDescriptors {
		r.cfg.MaxDescriptors = 80
	}
	if len(r.knownEndpoints) > 0 {
		r.cfg.CachedEndpoints = encodeEndpoints(0, true, r.knownEndpoints)
	}
	r.boot()
	run.count("relay up")
}

// stop ends a relay's process at once, or takes its machine off the network.
func (run *run) stopRelay(r *relay, vanish bool) {
	if !r.up {
		return
	}
	run.checker.RelayStopped(r.number)
	if predecessor := r.predecessor; predecessor != nil && predecessor.up { // it is the same machine's
		r.predecessor = nil
		if vanish {
			predecessor.disconnect()
		} else {
			predecessor.kill()
		}
	}
	if vanish {
		r.disconnect()
	} else {
		r.kill()
	}
}

// restart asks a relay to leave and starts it again once it has.
func (run *run) restartRelay(r *relay) {
	r = run.relays[r.number] // there may have been an upgrade since: a former process never comes back
	if !r.up || r.shuttingDown || run.closing {
		return
	}
	r.shuttingDown = true
	run.count("relay leaves")
	r.post(r.controller.Shutdown)
	life := r.incarnation
	var look func()
	look = func() {
		if r.incarnation != life {
			run.engine.schedule(300*time.Millisecond, func() { run.startRelay(r) })
			return
		}
		run.engine.schedule(50*time.Millisecond, look)
	}
	run.engine.schedule(50*time.Millisecond, look)
	run.engine.schedule(3700*time.Millisecond, func() {
		if r.incarnation == life {
			run.stopRelay(r, false)
		}
	})
}

// reload has a relay read a new configuration: perhaps its other agent, other limits.
func (run *run) reloadRelay(r *relay, other bool, descriptors, memoryMB int) {
	// there may have been an upgrade since
	r = run.relays[r.number]
	if !r.up || r.lowDescriptors && !other {
		return
	}
	cfg := r.cfg
	if other {
		for _, a := range run.catalog.agents {
			if a.relay == r.number && a.address != r.cfg.Discovery {
				cfg.Discovery = a.address
				a.frozen = false
				for _, b := range run.backends { // it has kept up meanwhile
					e := b.entry()
					e.revision = run.catalog.revision
					a.learn(e)
				}
				break
			}
		}
		for _, a := range run.catalog.agents { // the old one goes
			if a.relay == r.number && a.address == r.cfg.Discovery {
				a.frozen = true
			}
		}
	}
	cfg.MaxDescriptors, cfg.MemoryMB = descriptors, memoryMB
	r.cfg = cfg
	run.count("reload")
	run.checker.RelayFollowsAgent(r.number, cfg.Discovery)
	r.reload(cfg)
}

// drain has a relay send its clients away, or take them again.
func (run *run) setRelayDrained(r *relay, on bool) {
	// there may have been an upgrade since
	r = run.relays[r.number]
	if predecessor := r.predecessor; predecessor != nil && predecessor.up { // what is told to one process is told to both
		predecessor.controller.SetDrained(on)
		predecessor.handOff(func() {
			predecessor.controller.ApplyDrain(run.engine.now)
			predecessor.scheduleTimer()
		})
	}
	if !r.up {
		return
	}
	if on && !r.shuttingDown { // a leaving relay has its own time
		run.count("relay drained")
	}
	run.checker.SetRelayDraining(r.number, on && !r.shuttingDown)
	r.controller.SetDrained(on)
	r.handOff(func() {
		r.controller.ApplyDrain(run.engine.now)
		r.scheduleTimer()
	})
}

// told says what an answer of discovery brought to a relay.
func (run *run) endpointsDelivered(relay int, full bool, list []endpointEntry) {
	states, starts := make(map[string]string, len(list)), make(map[string]time.Duration, len(list))
	for _, e := range list {
		states[e.id], starts[e.id] = e.state, e.started
	}
	run.checker.EndpointsReceived(relay, full, states, starts)
	r := run.relays[relay]
	if run.engine.trace != nil {
		for _, e := range list {
			run.engine.tracef("%s told %s %s, full list %v", r.name, e.id, e.state, full)
		}
	}
	if full {
		r.knownEndpoints = r.knownEndpoints[:0]
	}
	for _, e := range list {
		i := slices.IndexFunc(r.knownEndpoints, func(o endpointEntry) bool { return o.id == e.id })
		switch {
		case i >= 0 && e.state == "gone":
			r.knownEndpoints = slices.Delete(r.knownEndpoints, i, i+1)
		case i >= 0:
			r.knownEndpoints[i] = e
		case e.state != "gone":
			r.knownEndpoints = append(r.knownEndpoints, e)
		}
	}
}

// measure weighs the second that has just passed, from the first on: what clients
// asked for and what they had, whether or not they could say so.
func (run *run) measureService() {
	if run.closing {
		return
	}
	var sum ServiceSecond
	for _, c := range run.clients {
		if !c.wantsConnection {
			continue
		}
		worth := run.classes[c.class].weight
		sum.Requested += worth
		run.serviceByClass[c.class].Requested += worth
		if c.established && c.conn != nil && c.meetsObjective() {
			sum.Served += worth
			run.serviceByClass[c.class].Served += worth
		}
	}
	run.serviceBySecond = append(run.serviceBySecond, sum)
	run.engine.schedule(time.Second, run.measureService)
}

// shares has somebody wait for its turn at the shared dependency.
func (run *run) acquireDependency(then func()) {
	run.lastDependencyWaiter++
	run.dependencyWaiters[run.lastDependencyWaiter] = then
	run.dependency.Acquire(run.engine.now, run.lastDependencyWaiter, run.options.Installation.DependencyHoldTime)
	run.scheduleDependencyRelease()
}

func (run *run) scheduleDependencyRelease() {
	at, ok := run.dependency.NextRelease()
	if !ok || run.dependencyTimer > run.engine.now && run.dependencyTimer <= at {
		return
	}
	run.dependencyTimer = max(at, run.engine.now)
	run.engine.scheduleAt(run.dependencyTimer, func() {
		run.dependencyTimer = 0
		for _, id := range run.dependency.Release(run.engine.now) {
			then := run.dependencyWaiters[id]
			delete(run.dependencyWaiters, id)
			then()
		}
		run.scheduleDependencyRelease()
	})
}

// close has everything come to an end.
func (run *run) closeClients() {
	run.closing = true
	for _, c := range run.clients {
		c.visit++
		if c.conn != nil {
			c.conn.close()
			c.conn = nil
		}
	}
}

// fail is a rule broken that no wire shows.
func (run *run) reportViolation(rule, format string, args ...any) {
	run.checker.Violations = append(run.checker.Violations, invariant.Violation{Rule: rule, At: run.engine.now - epoch,
		Detail: fmt.Sprintf(format, args...)})
}

// figures holds what a relay reports to what an onlooker counted.
func (run *run) checkMetrics(r *relay) {
	if !r.up {
		return
	}
	f, seen := r.controller.Metrics().Snapshot(), run.checker.Observed(r.number)
	spare := seen.Ambiguous
	within := func(what string, told int64, counted int) {
		over := int(told) - counted
		if over < 0 || over > spare {
			run.reportViolation("figures", "%s reports %d %s, an onlooker counted %d, and %d in any way", r.name, told, what, counted, seen.Ambiguous)
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
		run.reportViolation("figures", "%s reports %d dispatches, backends got %d", r.name, f.Dispatches, seen.Attempts)
	}
	if n := float64(f.Concurrent); n < 0.9*float64(seen.MinConnections)-3 || n > 1.1*float64(seen.MaxConnections)+3 {
		run.reportViolation("figures", "%s reports %d connections, an onlooker sees %d to %d", r.name, f.Concurrent, seen.MinConnections, seen.MaxConnections)
	}
	if seen.ListStable && (int(f.Targets) != seen.Listed || f.TargetsDisabled > f.Targets || int(f.TargetsDisabled) < seen.Draining) {
		run.reportViolation("figures", "%s reports %d backends, %d avoided; it was told of %d, %d draining", r.name, f.Targets,
			f.TargetsDisabled, seen.Listed, seen.Draining)
	}
	if int(f.ReloadSuccess) != r.reloadCount || int(f.ReloadFailure) != r.rejectedReloads {
		run.reportViolation("figures", "%s reports %d files taken and %d turned down, of %d and %d", r.name, f.ReloadSuccess,
			f.ReloadFailure, r.reloadCount, r.rejectedReloads)
	}
}

// books says what does not come out even in the module's books; a baseline's are not held to that.
func checkBalancer(n *controller.Controller) error {
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
		for _, c := range r.healthChecks.DropAllIdle() {
			c.(*connEnd).close()
		}
		fail := func(rule, format string, args ...any) { run.reportViolation(rule, r.name+": "+format, args...) }
		if n := r.controller.SessionCount(); n != 0 || r.sessionCount != 0 || r.handshakes.Len() != 0 || len(r.sessions) != 0 {
			fail("leak", "%d flows in the books, %d counted, %d driven, %d guests", n, r.sessionCount, len(r.sessions), r.handshakes.Len())
		}
		if n := run.checker.OpenConnections(r.number); n != 0 {
			fail("leak", "%d connections are open", n)
		}
		if err := checkBalancer(r.controller); err != nil {
			fail("books", "%v", err)
		}
		if all, byServer := r.controller.Balancer().Connections(); all != 0 || byServer != 0 {
			fail("books", "T counts %d connections, by server %d", all, byServer)
		}
		if n := r.controller.TimerCount(); n > 2 { // the module's upkeep and the figures
			fail("leak", "%d timers", n)
		}
		if n := r.controller.Metrics().Snapshot().Concurrent; n != 0 {
			fail("figures", "%d connections are reported when none is left", n)
		}
	}
}

// result sums the run up.
func (run *run) summarize(n installationSize, script []Fault) Result {
	res := Result{Seed: run.options.Seed, Relays: n.relays, Backends: n.backends, Clients: n.clients, Faults: script,
		Violations: run.checker.Violations, Counts: run.counts, FaultPairs: run.faultPairs, Events: run.engine.eventCount}
	res.ServiceBySecond, res.ServiceByClass = run.serviceBySecond, run.serviceByClass
	if run.options.Installation != nil {
		res.Evenness = run.loadRecorder.PerSecond(run.options.Duration)
	}
	for i, n := range run.servedByClass {
		res.ServedWeight += float64(n) * run.classes[i].weight
	}
	for what, n := range run.checker.Counts {
		res.Counts[what] += n
		if strings.HasPrefix(what, "answer ") {
			res.Answered += n
		}
	}
	res.Refused, res.Failed = res.Counts["answer BUSY"], res.Counts["answer ERR"]
	res.Attempts = run.checker.Counts["attempt"]
	return res
}

// The taps turn the network's words into the checker's own.
type clientObserver struct{ *invariant.ClientConn }

func (t clientObserver) ReceivedEnd(how session.EndKind) {
	t.ClientConn.ReceivedEnd(invariant.EndKind(how))
}
func (t clientObserver) WrittenEnd(how session.EndKind) {
	t.ClientConn.WrittenEnd(invariant.EndKind(how))
}

type backendObserver struct{ *invariant.BackendConn }

func (t backendObserver) ReceivedEnd(how session.EndKind) {
	t.BackendConn.ReceivedEnd(invariant.EndKind(how))
}
func (t backendObserver) WrittenEnd(how session.EndKind) {
	t.BackendConn.WrittenEnd(invariant.EndKind(how))
}
