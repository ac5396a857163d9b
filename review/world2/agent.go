package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one backend in discovery's list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is a list in discovery's form.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// agent is the discovery agent on the relay's machine.
type agent struct {
	world *world
	addr  string

	mu      sync.Mutex
	changed chan struct{}
	version int
	entries []entry
	since   map[string]int // version in which an entry last changed
	silent  bool           // calls get no answer
	delay   time.Duration  // every answer is that late
}

func (w *world) startAgent(entries []entry) (*agent, error) {
	a := &agent{world: w, changed: make(chan struct{}), version: 1, entries: entries, since: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serve)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return a, nil
}

// whole returns the whole list.
func (a *agent) whole() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return list{Version: a.version, Full: true, Servers: append([]entry{}, a.entries...)}
}

// setState changes the state of a backend.
func (a *agent) setState(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range a.entries {
		if a.entries[i].ID == id {
			a.entries[i].State = state
		}
	}
	a.since[id] = a.version
	a.world.logf("agent     version %d: %s is %s", a.version, id, state)
	a.wake()
}

// setSilent begins or ends an outage.
func (a *agent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.world.logf("agent     silent: %v", silent)
	a.wake()
}

func (a *agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// answer returns the answer to a call, or nil and what to wait for.
func (a *agent) answer(index int, watch, timeOver bool) (*list, chan struct{}, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent || watch && index >= a.version && !timeOver {
		return nil, a.changed, 0
	}
	answer := &list{Version: a.version, Full: !watch, Servers: []entry{}}
	for _, e := range a.entries {
		if !watch || a.since[e.ID] > index {
			answer.Servers = append(answer.Servers, e)
		}
	}
	return answer, nil, a.delay
}

func (a *agent) serve(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	index, err := strconv.Atoi(query.Get("index"))
	watch := err == nil
	wait, _ := strconv.Atoi(query.Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	a.world.logf("agent     is called: %s", request.URL.RawQuery)
	for timeOver := false; ; {
		answer, changed, delay := a.answer(index, watch, timeOver)
		if answer != nil {
			select {
			case <-time.After(delay):
			case <-request.Context().Done():
				a.world.logf("agent     the relay has given up the call before its answer")
				return
			}
			text, _ := json.Marshal(answer)
			_, _ = writer.Write(text)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timeOver = true
		case <-request.Context().Done():
			return
		}
	}
}

// addEntry adds a backend to the list.
func (a *agent) addEntry(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	a.entries = append(a.entries, e)
	a.since[e.ID] = a.version
	a.world.logf("agent     version %d: %s is new", a.version, e.ID)
	a.wake()
}
