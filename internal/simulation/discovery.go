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
	revision int           // orders what has been published
}

// catalog is the true state of the backends, from which discovery's agents learn.
type catalog struct {
	run          *run
	agents       []*discoveryAgent // agentsPerRelay for each relay
	publishDelay time.Duration
	revision     int
}

// discoveryAgent is one discovery process. It learns of changes late, numbers its own versions, and answers with what
// it has learned or not at all.
type discoveryAgent struct {
	catalog     *catalog
	relay       int
	address     string
	unavailable bool
	frozen      bool // learns nothing: the relay follows its other agent
	version     int
	entries     []agentEntry // in the order in which the backends became known
	watches     []*pendingWatch
}

// agentEntry is an entry as an agent has learned it.
type agentEntry struct {
	endpointEntry
	version   int // of the agent's list that first had it
	learnedAt time.Duration
}

// pendingWatch is a request that waits for a version newer than fromVersion.
type pendingWatch struct {
	fromVersion int
	answer      func(body []byte, tell func())
	done        bool
}

// agent returns the agent at an address.
func (c *catalog) agent(address string) *discoveryAgent {
	for _, a := range c.agents {
		if a.address == address {
			return a
		}
	}
	panic("no agent at " + address)
}

// publish has all agents learn an entry, each after its own delay.
func (c *catalog) publish(e endpointEntry) {
	engine := c.run.engine
	c.revision++
	e.revision = c.revision
	for _, a := range c.agents {
		engine.schedule(engine.randomDuration(200*time.Millisecond, 900*time.Millisecond)+c.publishDelay, func() { a.learn(e) })
	}
}

// learn takes in an entry unless a newer one is known.
func (a *discoveryAgent) learn(e endpointEntry) {
	if a.frozen {
		return
	}
	for i := range a.entries {
		if a.entries[i].id == e.id && a.entries[i].revision > e.revision { // what is late must not undo what is newer
			return
		}
	}
	a.version++
	engine := a.catalog.run.engine
	a.catalog.run.checker.AgentLearned(a.relay, a.address, e.id, e.state)
	k := agentEntry{e, a.version, engine.now}
	for i := range a.entries {
		if a.entries[i].id == e.id {
			a.entries[i] = k
			k.id = ""
			break
		}
	}
	if k.id != "" {
		a.entries = append(a.entries, k)
	}
	a.answerWatches()
}

// answerWatches answers the watches for which there is a newer version.
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

// request handles a request. answer also receives a function to call when the answer arrives at the relay.
func (a *discoveryAgent) request(request discovery.Request, answer func(body []byte, tell func())) {
	engine := a.catalog.run.engine
	engine.schedule(engine.segmentDelay()/4+engine.discoveryDelay(a.relay), func() {
		if a.unavailable {
			return // silent; the caller gives up by itself
		}
		if request.FullList {
			a.reply(0, true, answer)
			return
		}
		var from, wait int
		if _, err := fmt.Sscanf(request.Query, "index=%d&wait=%d", &from, &wait); err != nil {
			panic("a call that discovery does not know: " + request.Query)
		}
		if a.version > from {
			a.reply(from, false, answer)
			return
		}
		watch := &pendingWatch{fromVersion: from, answer: answer}
		a.watches = append(a.watches, watch)
		engine.schedule(time.Duration(wait)*time.Millisecond, func() {
			if !watch.done && !a.unavailable {
				watch.done = true
				a.reply(from, false, answer)
			}
		})
	})
}

// reply answers with the entries newer than a version, or with the full list.
func (a *discoveryAgent) reply(from int, full bool, answer func(body []byte, tell func())) {
	var entries []endpointEntry
	for i := range a.entries {
		if k := &a.entries[i]; k.version > from && (!full || k.state != backendGone) {
			entries = append(entries, k.endpointEntry)
		}
	}
	relay := a.relay
	answer(encodeEndpoints(a.version, full, entries), func() { a.catalog.run.endpointsDelivered(relay, full, entries) })
}

// setUnavailable has the agent stop or start to answer.
func (a *discoveryAgent) setUnavailable(out bool) {
	a.unavailable = out
	if out {
		a.watches = nil
	} else {
		a.answerWatches()
	}
	a.catalog.run.checker.SetAgentSilent(a.relay, a.address, out)
}

// encodeEndpoints encodes an answer of discovery.
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
