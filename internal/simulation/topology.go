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
	"aspenbarrow/internal/membership"
)

// zones are the availability zones. Relays and backends are assigned to them in turn.
var zones = []string{"east", "west"}

// installationSize is the number of nodes of each kind at the start.
type installationSize struct{ relays, backends, clients int }

// drawSize draws the number of nodes, which Options.Installation overrides.
func (run *run) drawSize() installationSize {
	rng := run.engine.rng
	size := installationSize{relays: 2 + rng.IntN(6), backends: 6 + rng.IntN(27), clients: 100 + rng.IntN(41)}
	if installation := run.options.Installation; installation != nil { // drawn in any case, so that later draws are the same
		size = installationSize{installation.Relays, installation.Backends, installation.Clients}
	}
	return size
}

// populate creates all nodes: discovery and backends, then relays, then clients, which first connect within the arrival
// window.
func (run *run) populate(size installationSize) {
	run.catalog = &catalog{run: run}
	run.clientHost = run.engine.newHost("outside", "").withNode(fault.Clients, 0)
	run.clientHost.start()
	for i := range size.relays {
		for agent := range agentsPerRelay {
			run.catalog.agents = append(run.catalog.agents, &discoveryAgent{
				catalog: run.catalog,
				relay:   i,
				address: fmt.Sprintf("10.2.%d.%d:8500", agent, i),
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

// agentsPerRelay is the number of discovery agents that a relay can follow. A relay starts with the first.
const agentsPerRelay = 2

// scheduleDeployments schedules planned restarts of up to three backends, which are not faults. With
// Options.Installation there are only those that the script contains.
func (run *run) scheduleDeployments(backends int) {
	engine := run.engine
	deployments := engine.rng.IntN(4)
	if run.options.Installation != nil {
		deployments = 0
	}
	for range deployments {
		start := engine.randomDuration(4*time.Second, 36*time.Second)
		grace := engine.randomDuration(6*time.Second, 14*time.Second)
		b := run.backends[engine.rng.IntN(backends)]
		engine.schedule(start, func() { b.drainAndRestart(grace, time.Second) })
	}
}

// unavailableLoad is the load of a backend that does not serve. It is higher than that of any other.
const unavailableLoad = 1e9

// trueLoad returns the demand on a backend relative to its capacity. No node can observe it, but a baseline policy may
// use it as an oracle.
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
	if run.engine.now == epoch { // backends that run from the start are in discovery's lists at once
		for _, agent := range run.catalog.agents {
			agent.applyUpdate(b.entry())
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
	b.jobCallbacks = map[uint64]func(bool){}
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
	if run.membership {
		membershipSettings := membership.DefaultSettings(membershipFleet)
		cfg.Membership = &membershipSettings
	}
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

// hotKey is the key that many clients share in runs with a hot key.
const hotKey = 0x407

// addClient creates a client. It does not connect yet.
func (run *run) addClient() *client {
	rng := run.engine.rng
	sessionRange := [2]time.Duration{2 * time.Second, 25 * time.Second}
	if run.options.Installation != nil {
		sessionRange = run.options.Installation.SessionDurationRange
	}
	classes := []int{0, 0, 1, 1, 2} // a class's share of the clients is its share of this list
	c := &client{
		run:             run,
		number:          len(run.clients),
		key:             rng.Uint64(),
		class:           classes[rng.IntN(len(classes))],
		sessionDuration: run.engine.randomDuration(sessionRange[0], sessionRange[1]),
		sendsBursts:     rng.IntN(12) == 0,
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
