package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/settings"
)

// class is a request class as the clients use it.
type class struct {
	name    string
	timeout time.Duration
	weight  float64
}

// run is the state of one simulated installation.
type run struct {
	engine               *engine
	options              Options
	checker              *invariant.Checker
	classes              []class
	settings             settings.Settings
	relays               []*relay // the process that accepts new connections, by relay
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
	slowdown             float64 // of work on all backends
	nominalConnections   float64 // connections per backend without faults
	closing              bool    // the load has ended
	baseClassesOnly      bool    // clients do not use the class that a settings change adds
	dependency           *emulator.Dependency
	dependencyTimer      time.Duration
	dependencyWaiters    map[uint64]func()
	lastDependencyWaiter uint64
	serviceBySecond      []ServiceSecond
	serviceByClass       []ServiceSecond
	loadRecorder         loadstats.Recorder // of modelled backends
	membership           bool               // relays detect which of them are running
	membershipRand       *rand.Rand         // decides about membership and its faults
	relayCuts            [][]int            // by sender and receiver, faults of membership that cut the link; nil: no membership
	datagramImpairment   datagramImpairment
}

// count counts an occurrence for Result.Counts.
func (run *run) count(what string) { run.counts[what]++ }

// warmRequestRate is how many requests a second a warm backend can serve.
func (run *run) warmRequestRate() float64 { return max(4, run.nominalConnections/3) }

// backendAt returns the backend at an address, or nil.
func (run *run) backendAt(addr string) *backend { return run.backendsByAddress[addr] }

// Run simulates one seed and reports the outcome. It panics if the options describe no valid installation, for
// instance with retry policies that contradict one another.
func Run(options Options) Result {
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	run := &run{
		engine:            newEngine(options.Seed, options.Trace),
		options:           options,
		backendsByAddress: map[string]*backend{},
		counts:            map[string]int{},
		faultPairs:        map[string]int{},
		slowdown:          1,
	}
	size, script := run.setUp()
	run.runEvents()
	run.audit()
	if run.engine.trace != nil {
		run.engine.tracef("end after %d steps", run.engine.eventCount)
		_ = run.engine.trace.Flush()
	}
	return run.summarize(size, script)
}

// setUp draws the installation and its faults and schedules their events. The order of its steps is the
// order of the random draws, which recorded seeds rely on.
func (run *run) setUp() (installationSize, []Fault) {
	run.drawSettings()
	run.drawMembership()
	run.engine.receiveWindow = 1 << (9 + run.engine.rng.IntN(6))
	size := run.drawSize()
	if run.options.Installation != nil {
		run.prepareModel(run.options.Installation)
	}
	run.startChecker(size)
	run.startMembershipChecks(size.relays)
	run.populate(size)
	script := run.options.Script
	drawn := run.drawScript() // even if unused: all later draws come after it
	if script == nil {
		script = append(drawn, run.drawMembershipFaults()...)
		slices.SortStableFunc(script, func(a, b Fault) int { return int(a.Start - b.Start) })
	}
	run.scheduleFaults(script)
	run.scheduleDeployments(size.backends)
	run.engine.schedule(time.Second, run.checkPeriodically)
	return size, script
}

// runEvents runs all events up to the end of the cleanup period that follows the load.
func (run *run) runEvents() {
	end := epoch + run.options.Duration
	run.engine.scheduleAt(end, run.closeClients)
	for run.engine.runNext(end + cleanupPeriod) {
	}
}

// closeClients ends the load. All sessions must end within the cleanup period that follows.
func (run *run) closeClients() {
	run.closing = true
	for _, c := range run.clients {
		c.connectGeneration++
		if c.conn != nil {
			c.conn.close()
			c.conn = nil
		}
	}
}
