package simulation

import (
	"fmt"
	"strings"
	"time"

	"aspenbarrow/internal/discovery"
)

// The states of a backend in discovery's list.
const (
	backendReady    = "ready"
	backendDraining = "draining"
	backendGone     = "gone"
)

// endpointEntry is a backend in discovery's list.
type endpointEntry struct {
	id       string
	address  string
	zone     string
	cell     int
	state    string
	weight   float64
	started  time.Duration // 0: before the run
	revision int           // orders the published entries
}

// catalog publishes the state of the backends to the discovery agents.
type catalog struct {
	run          *run
	agents       []*discoveryAgent // agentsPerRelay for each relay
	publishDelay time.Duration     // added to the normal delay of an update
	revision     int
}

// discoveryAgent is one discovery process. It receives updates late, numbers its versions independently of other
// agents, and answers from its own list or not at all.
type discoveryAgent struct {
	catalog     *catalog
	relay       int
	address     string
	unavailable bool
	frozen      bool // ignores updates, while the relay follows its other agent
	version     int
	entries     []agentEntry // in the order of the backends' first updates
	watches     []*pendingWatch
}

// agentEntry is an entry in an agent's list.
type agentEntry struct {
	endpointEntry
	version    int // first version of the agent's list that contains the entry
	receivedAt time.Duration
}

// pendingWatch is a request that waits for a version newer than fromVersion.
type pendingWatch struct {
	fromVersion int
	answer      func(body []byte, delivered func())
	done        bool
}

// agent returns the agent at an address.
func (c *catalog) agent(address string) *discoveryAgent {
	for _, a := range c.agents {
		if a.address == address {
			return a
		}
	}
	panic("simulation: no discovery agent at " + address)
}

// publish sends an entry to all agents, each after its own delay.
func (c *catalog) publish(e endpointEntry) {
	engine := c.run.engine
	c.revision++
	e.revision = c.revision
	for _, a := range c.agents {
		engine.schedule(engine.randomDuration(200*time.Millisecond, 900*time.Millisecond)+c.publishDelay, func() { a.applyUpdate(e) })
	}
}

// applyUpdate adds or replaces an entry, unless the list has a newer one.
func (a *discoveryAgent) applyUpdate(e endpointEntry) {
	if a.frozen {
		return
	}
	for i := range a.entries {
		if a.entries[i].id == e.id && a.entries[i].revision > e.revision { // a late update must not overwrite a newer one
			return
		}
	}
	a.version++
	engine := a.catalog.run.engine
	a.catalog.run.checker.AgentStateChanged(a.relay, a.address, e.id, e.state)
	entry := agentEntry{e, a.version, engine.now}
	for i := range a.entries {
		if a.entries[i].id == e.id {
			a.entries[i] = entry
			entry.id = ""
			break
		}
	}
	if entry.id != "" {
		a.entries = append(a.entries, entry)
	}
	a.answerWatches()
}

// answerWatches answers the watches whose version is older than the current one.
func (a *discoveryAgent) answerWatches() {
	if a.unavailable {
		return
	}
	watches := a.watches
	a.watches = nil
	for _, watch := range watches {
		switch {
		case watch.done:
		case a.version > watch.fromVersion:
			watch.done = true
			a.reply(watch.fromVersion, false, watch.answer)
		default:
			a.watches = append(a.watches, watch)
		}
	}
}

// request handles a request. answer receives the body and a function to call when that arrives at the relay.
func (a *discoveryAgent) request(request discovery.Request, answer func(body []byte, delivered func())) {
	engine := a.catalog.run.engine
	engine.schedule(engine.segmentDelay()/4+engine.discoveryDelay(a.relay), func() {
		if a.unavailable {
			return // no answer; the relay's request times out
		}
		if request.FullList {
			a.reply(0, true, answer)
			return
		}
		var from, waitMS int
		if _, err := fmt.Sscanf(request.Query, "index=%d&wait=%d", &from, &waitMS); err != nil {
			panic("simulation: unsupported discovery query: " + request.Query)
		}
		if a.version > from {
			a.reply(from, false, answer)
			return
		}
		watch := &pendingWatch{fromVersion: from, answer: answer}
		a.watches = append(a.watches, watch)
		engine.schedule(time.Duration(waitMS)*time.Millisecond, func() {
			if !watch.done && !a.unavailable {
				watch.done = true
				a.reply(from, false, answer)
			}
		})
	})
}

// reply answers with the entries newer than a version. A full list leaves out backends that are gone.
func (a *discoveryAgent) reply(from int, full bool, answer func(body []byte, delivered func())) {
	var entries []endpointEntry
	for i := range a.entries {
		if entry := &a.entries[i]; entry.version > from && (!full || entry.state != backendGone) {
			entries = append(entries, entry.endpointEntry)
		}
	}
	relay := a.relay
	answer(encodeEndpoints(a.version, full, entries), func() { a.catalog.run.endpointsDelivered(relay, full, entries) })
}

// setUnavailable makes the agent stop answering, or answer again.
func (a *discoveryAgent) setUnavailable(unavailable bool) {
	a.unavailable = unavailable
	if unavailable {
		a.watches = nil
	} else {
		a.answerWatches()
	}
	a.catalog.run.checker.SetAgentSilent(a.relay, a.address, unavailable)
}

// encodeEndpoints encodes the body of a discovery answer.
func encodeEndpoints(version int, full bool, list []endpointEntry) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"full":%v,"servers":[`, version, full)
	for i, e := range list {
		if i > 0 {
			b.WriteByte(',')
		}
		ms := int64(0)
		if e.started > 0 {
			ms = e.started.Milliseconds()
		}
		fmt.Fprintf(&b, `{"id":%q,"addr":%q,"zone":%q,"kind":"k","cell":%d,"state":%q,"weight":%g,"started_ms":%d}`,
			e.id, e.address, e.zone, e.cell, e.state, e.weight, ms)
	}
	b.WriteString("]}")
	return []byte(b.String())
}
