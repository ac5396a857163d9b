package simulation

import (
	"fmt"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/baseline"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
)

// zones are the availability zones; relays and backends are placed in them by turns.
var zones = []string{"east", "west"}

// installationSize is the number of nodes of each kind at the start.
type installationSize struct{ relays, backends, clients int }

// drawSize draws the number of nodes, which Options.Installation overrides.
func (run *run) drawSize() installationSize {
	rng := run.engine.rng
	size := installationSize{relays: 2 + rng.IntN(6), backends: 6 + rng.IntN(27), clients: 100 + rng.IntN(41)}
	if installation := run.options.Installation; installation != nil { // the draws above are made in any case
		size = installationSize{installation.Relays, installation.Backends, installation.Clients}
	}
	return size
}

// populate creates all nodes: discovery and backends first, then relays, then the clients' first visits.
func (run *run) populate(size installationSize) {
	run.catalog = &catalog{run: run}
	run.clientHost = run.engine.newHost("outside", "").withNode(fault.Clients, 0)
	run.clientHost.start()
	for i := range size.relays {
		for network := range agentsPerRelay {
			run.catalog.agents = append(run.catalog.agents, &discoveryAgent{
				catalog: run.catalog,
				relay:   i,
				address: fmt.Sprintf("10.2.%d.%d:8500", network, i),
			})
		}
	}
	for range size.backends {
		run.addBackend()
	}
	run.loadBalancer = &loadBalancer{run: run, healthy: make([]bool, size.relays)}
	for i := range size.relays {
		run.addRelay(i, size.relays)
	}
	arrivalWindow := 2500 * time.Millisecond
	if installation := run.options.Installation; installation != nil {
		arrivalWindow = installation.ArrivalWindow
	}
	for range size.clients {
		run.addClient().connectAfter(500*time.Millisecond + run.engine.randomDuration(0, arrivalWindow))
	}
}

// agentsPerRelay is how many discovery agents a relay can follow; it starts with the first.
const agentsPerRelay = 2

// scheduleReleases schedules ordinary releases of up to three backends, which are no faults. A scenario has none that
// its script does not list.
func (run *run) scheduleReleases(backends int) {
	engine := run.engine
	releases := engine.rng.IntN(4)
	if run.options.Installation != nil {
		releases = 0
	}
	for range releases {
		start := engine.randomDuration(4*time.Second, 36*time.Second)
		grace := engine.randomDuration(6*time.Second, 14*time.Second)
		b := run.backends[engine.rng.IntN(backends)]
		engine.schedule(start, func() { b.release(grace, time.Second) })
	}
}

// unavailableLoad is the load of a backend that does not serve: more than any other.
const unavailableLoad = 1e9

// trueLoad is the demand on a backend relative to its capacity. No node knows it; a baseline policy may use it as an
// oracle.
func (run *run) trueLoad(id balance.BackendID) float64 {
	for _, b := range run.backends {
		if discovery.BackendID(b.name) != id {
			continue
		}
		if !b.up || b.paused {
			return unavailableLoad
		}
		if b.model != nil {
			return b.model.Utilization(run.engine.now)
		}
		return float64(b.sessionCount) * b.slowdown
	}
	return unavailableLoad
}

// addBackend creates a backend and starts it.
func (run *run) addBackend() {
	id := len(run.backends)
	name := fmt.Sprintf("s-%02d", id)
	b := &backend{
		run:         run,
		id:          id,
		name:        name,
		zone:        id % len(zones),
		serviceTime: run.engine.randomDuration(2*time.Millisecond, 30*time.Millisecond),
		host:        run.engine.newHost(name, fmt.Sprintf("10.1.0.%d:5000", id)).withNode(fault.Backends, id),
	}
	if run.options.Installation != nil {
		run.addModel(b)
	}
	run.backends = append(run.backends, b)
	run.backendsByAddress[b.addr] = b
	run.checker.AddBackend(b.name, b.zone)
	b.launch()
	if run.engine.now == epoch { // backends that were there before the run are known to discovery at once
		for _, agent := range run.catalog.agents {
			agent.learn(b.entry())
		}
	}
}

// addModel gives a backend its model, scaled to the backend's size.
func (run *run) addModel(b *backend) {
	installation := run.options.Installation
	b.relativeSize = 1
	if len(installation.BackendSizes) > 0 {
		b.relativeSize = installation.BackendSizes[b.id%len(installation.BackendSizes)]
	}
	server := installation.Server
	server.Cores, server.WarmRequestRate = server.Cores*b.relativeSize, server.WarmRequestRate*b.relativeSize
	if b.id%100 >= 100-int(installation.LateReportShare*100) {
		server.ReportDelay = installation.LateReportDelay
	}
	b.model = emulator.New(server, run.engine.rng.Uint64(), run.engine.now)
	b.pendingJobs = map[uint64]func(bool){}
}

// addRelay creates a relay and starts its process.
func (run *run) addRelay(number, count int) {
	cfg := controller.Config{
		Name:           fmt.Sprintf("n%d", number),
		Discovery:      fmt.Sprintf("10.2.0.%d:8500", number),
		MemoryMB:       defaultMemoryMB,
		MaxDescriptors: defaultDescriptors,
		BroadcastPeer:  broadcastAddress,
		Settings:       run.settings,
		AdminListen:    "here",
		Routes:         run.routingTable(),
		NewDecider:     baseline.Lookup(run.options.Policy, run.trueLoad),
	}
	cfg.Settings.RelayIndex, cfg.Settings.RelayCount, cfg.Settings.Zone = number, count, number%len(zones)
	for peer := range count {
		cfg.Peers = append(cfg.Peers, gossipAddress(peer).String())
	}
	r := &relay{host: run.engine.newHost(cfg.Name, "").withNode(fault.Relays, number), run: run, number: number, cfg: cfg}
	r.onAccept = r.acceptConn
	r.lowDescriptors = run.engine.rng.IntN(12) == 0 && run.options.Installation == nil
	run.relays = append(run.relays, r)
	run.startRelay(r)
	run.loadBalancer.checkRelay(r)
}

// hotKey is the key that many clients share where some key is to be hot.
const hotKey = 0x407

// addClient creates a client, which does not connect yet.
func (run *run) addClient() *client {
	rng := run.engine.rng
	stay := [2]time.Duration{2 * time.Second, 25 * time.Second}
	if run.options.Installation != nil {
		stay = run.options.Installation.StayRange
	}
	classes := []int{0, 0, 1, 1, 2} // the shares of the classes
	c := &client{
		run:          run,
		number:       len(run.clients),
		key:          rng.Uint64(),
		class:        classes[rng.IntN(len(classes))],
		stayDuration: run.engine.randomDuration(stay[0], stay[1]),
		sendsBursts:  rng.IntN(12) == 0,
	}
	if installation := run.options.Installation; installation != nil && installation.HotKeyShare > 0 {
		if rng.Float64() < installation.HotKeyShare {
			c.key = hotKey
		}
	}
	if run.settings.Groups {
		c.group = uint64(1 + rng.IntN(40))
	}
	run.clients = append(run.clients, c)
	return c
}
