package testcluster

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"aspenbarrow/internal/fault"
)

// entry is one backend in an agent's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	backend int
	port    int
	rev     int // counts what was published of the fleet
	since   int // the agent's version that brought it
}

// agent is one relay's discovery service. It tells what it has learnt, late or not at all.
type agent struct {
	mu      sync.Mutex
	relay   int
	version int
	list    []entry
	changed chan struct{} // closed when there is something new, or the silence is over
	out     bool
	strange bool // learns nothing any more
}

// catalog is the truth about the backends, and the server behind which all agents stand.
type catalog struct {
	rig    *rig
	agents []*agent
	mu     sync.Mutex
	rev    int
	late   time.Duration
	server *http.Server
}

type agentOf struct{}

func newCatalog(r *rig, relays int) *catalog {
	c := &catalog{rig: r}
	for i := range relays {
		c.agents = append(c.agents, &agent{relay: i, changed: make(chan struct{})})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", c.members)
	c.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		if a, ok := conn.LocalAddr().(*net.TCPAddr); ok {
			if n, ok := number(a.AddrPort().Addr(), agentNet); ok && n < len(c.agents) {
				return context.WithValue(ctx, agentOf{}, c.agents[n])
			}
		}
		return ctx
	}}
	return c
}

// publish has all agents learn of a backend, each in its own time; at once before the run.
func (c *catalog) publish(e entry, when once) {
	c.mu.Lock()
	c.rev++
	e.rev = c.rev
	late := c.late
	c.mu.Unlock()
	for _, a := range c.agents {
		if when == beforeAll {
			a.learn(c.rig, e)
			continue
		}
		c.rig.in(c.rig.ways.between(200*time.Millisecond, 900*time.Millisecond)+late, func() { a.learn(c.rig, e) })
	}
}

type once bool

const (
	beforeAll once = true
	later     once = false
)

func (a *agent) learn(r *rig, e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.strange {
		return
	}
	i := 0
	for i < len(a.list) && a.list[i].ID != e.ID {
		i++
	}
	if i < len(a.list) && a.list[i].rev > e.rev { // what is late must not undo what is newer
		return
	}
	a.version++
	e.Addr, e.since = at(address(backendNet, a.relay<<backendBits|e.backend), e.port), a.version
	if i < len(a.list) {
		a.list[i] = e
	} else {
		a.list = append(a.list, e)
	}
	r.checked(func() { r.check.AgentLearned(a.relay, r.ports.agentAddr(a.relay), e.ID, e.State) })
	if !a.out {
		a.wake()
	}
}

// wake is called with the lock held.
func (a *agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) setOut(r *rig, out bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.out == out {
		return
	}
	a.out = out
	if !out {
		a.wake()
	}
	r.checked(func() { r.check.SetAgentSilent(a.relay, r.ports.agentAddr(a.relay), out) })
}

func (c *catalog) members(w http.ResponseWriter, q *http.Request) {
	a, ok := q.Context().Value(agentOf{}).(*agent)
	if !ok {
		http.Error(w, "nobody's agent", http.StatusNotFound)
		return
	}
	r, ctx := c.rig, q.Context()
	r.counted(a.relay, &r.tally.calls)
	relay, discovery := party{fault.Relays, a.relay}, party{fault.Discovery, a.relay}
	if !r.ways.stream(ctx, relay, discovery) {
		return
	}
	from, full := 0, true
	if v, err := strconv.Atoi(q.URL.Query().Get("index")); err == nil {
		from, full = v, false
	}
	ms, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	over := full
	for {
		a.mu.Lock()
		out, version, changed := a.out, a.version, a.changed
		if !out && (version > from || over) {
			told := make([]entry, 0, 8)
			for _, e := range a.list {
				if e.since > from && (!full || e.State != "gone") || full && e.State != "gone" {
					told = append(told, e)
				}
			}
			a.mu.Unlock()
			if r.ways.stream(ctx, discovery, relay) {
				c.reply(w, a, version, full, told)
			}
			return
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-ctx.Done():
			return
		}
	}
}

func (c *catalog) reply(w http.ResponseWriter, a *agent, version int, full bool, list []entry) {
	text, err := json.Marshal(map[string]any{"version": version, "full": full, "servers": list})
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
	c.rig.checked(func() { c.rig.check.EndpointsReceived(a.relay, full, states, starts) })
	_, _ = w.Write(text)
}
