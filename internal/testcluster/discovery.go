package testcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"aspenbarrow/internal/fault"
)

// endpoint is one backend in the endpoint list of a relay.
type endpoint struct {
	ID           string  `json:"id"`
	Addr         string  `json:"addr"`
	Zone         string  `json:"zone"`
	Kind         string  `json:"kind"`
	Cell         int     `json:"cell"`
	State        string  `json:"state"`
	Weight       float64 `json:"weight"`
	Started      int64   `json:"started_ms"`
	backend      int
	port         int
	revision     int // of the discovery service
	sinceVersion int // version of the agent's list since which the entry is unchanged
}

// discoveryAgent is the discovery service of one relay. Faults delay or suppress the updates it receives and the answers
// it sends.
type discoveryAgent struct {
	mu        sync.Mutex
	relay     int
	version   int
	endpoints []endpoint
	changed   chan struct{} // closed on a change, and when the agent is no longer silent
	silent    bool
	frozen    bool // ignores changes
}

// discoveryService publishes the state of the backends to all agents and serves the HTTP requests of all relays.
type discoveryService struct {
	cluster    *cluster
	agents     []*discoveryAgent
	mu         sync.Mutex
	revision   int
	extraDelay time.Duration
	server     *http.Server // serves the relays' requests; another one after each interruption
	down       bool         // connections are refused
}

// agentContextKey is the context key of the agent that a connection belongs to.
type agentContextKey struct{}

func newDiscoveryService(owner *cluster, relays int) *discoveryService {
	service := &discoveryService{cluster: owner}
	for i := range relays {
		service.agents = append(service.agents, &discoveryAgent{relay: i, changed: make(chan struct{})})
	}
	return service
}

// listen serves requests on the port reserved for discovery until stopListening is called.
func (service *discoveryService) listen() error {
	c := service.cluster
	listenConfig := net.ListenConfig{Control: prepareWildcardSocket}
	listener, err := listenConfig.Listen(c.ctx, "tcp4", hostPort(netip.IPv4Unspecified(), c.ports.discovery))
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	server := service.newServer()
	service.mu.Lock()
	service.server, service.down = server, false
	service.mu.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && c.ctx.Err() == nil {
			c.reportError(fmt.Errorf("discovery: %w", err))
		}
	}()
	if c.ctx.Err() != nil { // the cluster has shut down meanwhile
		service.stopListening()
	}
	return nil
}

// stopListening breaks all connections off and refuses new ones. It returns false if that is already so.
func (service *discoveryService) stopListening() bool {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.down || service.server == nil {
		return false
	}
	service.down = true
	_ = service.server.Close()
	return true
}

// newServer returns a server that assigns each connection to the agent with the address that the relay connected to.
func (service *discoveryService) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", service.handleMembers)
	return &http.Server{Handler: mux, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		if a, ok := conn.LocalAddr().(*net.TCPAddr); ok {
			if n, ok := indexInNet(a.AddrPort().Addr(), discoveryNet); ok && n < len(service.agents) {
				return context.WithValue(ctx, agentContextKey{}, service.agents[n])
			}
		}
		return ctx
	}}
}

// publish sends the new entry of a backend to all agents: to each after a random delay, or to all immediately.
func (service *discoveryService) publish(e endpoint, timing publishTiming) {
	service.mu.Lock()
	service.revision++
	e.revision = service.revision
	extraDelay := service.extraDelay
	service.mu.Unlock()
	for _, agent := range service.agents {
		if timing == publishImmediately {
			agent.applyUpdate(service.cluster, e)
			continue
		}
		service.cluster.runAfter(service.cluster.links.randomDuration(200*time.Millisecond, 900*time.Millisecond)+extraDelay, func() { agent.applyUpdate(service.cluster, e) })
	}
}

// publishTiming selects whether agents receive a change immediately or after a delay.
type publishTiming bool

const (
	publishImmediately publishTiming = true
	publishDelayed     publishTiming = false
)

// applyUpdate adds a new entry to the agent's list, unless the agent is frozen or already has a newer entry.
func (agent *discoveryAgent) applyUpdate(c *cluster, e endpoint) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.frozen {
		return
	}
	i := 0
	for i < len(agent.endpoints) && agent.endpoints[i].ID != e.ID {
		i++
	}
	if i < len(agent.endpoints) && agent.endpoints[i].revision > e.revision { // a late update must not undo a newer one
		return
	}
	agent.version++
	e.Addr, e.sinceVersion = hostPort(loopbackAddress(backendNet, agent.relay<<backendBits|e.backend), e.port), agent.version
	if i < len(agent.endpoints) {
		agent.endpoints[i] = e
	} else {
		agent.endpoints = append(agent.endpoints, e)
	}
	c.withChecker(func() { c.checker.AgentStateChanged(agent.relay, c.ports.discoveryAddr(agent.relay), e.ID, e.State) })
	if !agent.silent {
		agent.notifyWatchers()
	}
}

// notifyWatchers wakes the requests that wait for a change. It is called with the lock held.
func (agent *discoveryAgent) notifyWatchers() {
	close(agent.changed)
	agent.changed = make(chan struct{})
}

// setSilent makes the agent stop answering requests, or answer them again.
func (agent *discoveryAgent) setSilent(c *cluster, silent bool) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.silent == silent {
		return
	}
	agent.silent = silent
	if !silent {
		agent.notifyWatchers()
	}
	c.withChecker(func() { c.checker.SetAgentSilent(agent.relay, c.ports.discoveryAddr(agent.relay), silent) })
}

// handleMembers answers a long poll of the endpoint list.
func (service *discoveryService) handleMembers(w http.ResponseWriter, req *http.Request) {
	agent, ok := req.Context().Value(agentContextKey{}).(*discoveryAgent)
	if !ok {
		http.Error(w, "no discovery agent has this address", http.StatusNotFound)
		return
	}
	cluster, ctx := service.cluster, req.Context()
	cluster.countTraffic(agent.relay, &cluster.traffic.discoveryCalls)
	relay, discovery := node{fault.Relays, agent.relay}, node{fault.Discovery, agent.relay}
	if !cluster.links.passStream(ctx, relay, discovery) {
		return
	}
	from, full := 0, true
	if v, err := strconv.Atoi(req.URL.Query().Get("index")); err == nil {
		from, full = v, false
	}
	waitMilliseconds, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	version, endpoints, ok := agent.waitForUpdate(ctx, from, full, time.Duration(waitMilliseconds)*time.Millisecond)
	if ok && cluster.links.passStream(ctx, discovery, relay) {
		service.reply(w, agent, version, full, endpoints)
	}
}

// waitForUpdate waits until the list is newer than version from, or maxWait is over; a full list is returned at once. While
// the agent is silent, nothing is returned. It returns false if ctx is done first.
func (agent *discoveryAgent) waitForUpdate(ctx context.Context, from int, full bool, maxWait time.Duration) (version int, endpoints []endpoint, ok bool) {
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	answerUnchanged := full
	for {
		agent.mu.Lock()
		changed := agent.changed
		if !agent.silent && (agent.version > from || answerUnchanged) {
			defer agent.mu.Unlock()
			return agent.version, agent.endpointsSince(from, full), true
		}
		agent.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			answerUnchanged = true
		case <-ctx.Done():
			return 0, nil, false
		}
	}
}

// endpointsSince returns the entries changed after a version, or the full list without the backends that are gone. It is
// called with the lock held.
func (agent *discoveryAgent) endpointsSince(from int, full bool) []endpoint {
	endpoints := make([]endpoint, 0, 8)
	for _, e := range agent.endpoints {
		if full && e.State != "gone" || !full && e.sinceVersion > from {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// endpointList is the JSON form of an endpoint list, or of its changes.
type endpointList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// cachedList returns the agent's full list, for the configuration of a relay, and the states of the backends in it.
func (agent *discoveryAgent) cachedList() (list endpointList, states map[string]string) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	list = endpointList{agent.version, true, agent.endpointsSince(0, true)}
	states = map[string]string{}
	for _, e := range list.Servers {
		states[e.ID] = e.State
	}
	return list, states
}

// reply writes the answer to a request and reports the endpoints in it to the checker.
func (service *discoveryService) reply(w http.ResponseWriter, agent *discoveryAgent, version int, full bool, list []endpoint) {
	text, err := json.Marshal(endpointList{version, full, list})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	states, starts := map[string]string{}, map[string]time.Duration{}
	for _, e := range list {
		states[e.ID] = e.State
		if e.Started > 0 {
			starts[e.ID] = time.Duration(e.Started) * time.Millisecond
		}
	}
	service.cluster.withChecker(func() { service.cluster.checker.EndpointsReceived(agent.relay, full, states, starts) })
	_, _ = w.Write(text)
}
