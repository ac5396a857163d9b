package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is one entry of discovery's list.
type Server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
	version   int     // when it last changed
}

// List is a list in discovery's form.
type List struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Discovery is a discovery agent. It answers a call for the whole list with it, and a watch with the entries that have changed
// since its version, once there are any or its wait is over.
type Discovery struct {
	Name string
	// Latency is how much later than its content was decided each answer is written.
	Latency time.Duration

	record   *Record
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	changed  chan struct{}
	version  int
	servers  []Server
}

// Listen starts the agent on a free port, with a list of the given version.
func (d *Discovery) Listen(record *Record, version int, servers ...Server) error {
	d.record, d.changed, d.version = record, make(chan struct{}), version
	for _, server := range servers {
		server.version = version
		d.servers = append(d.servers, server)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.serve)
	d.listener, d.server = listener, &http.Server{Handler: mux}
	go func() {
		if err := d.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			record.Printf("discovery %s: %v", d.Name, err)
		}
	}()
	return nil
}

// Addr returns the agent's address.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close ends the agent and its connections.
func (d *Discovery) Close() { _ = d.server.Close() }

// Leave has the agent take no new connection from now on and close the open ones after a time.
func (d *Discovery) Leave(after time.Duration) {
	_ = d.listener.Close()
	d.record.Printf("leave   %s takes no new connection", d.Name)
	time.AfterFunc(after, d.Close)
}

// Set gives a backend another state.
func (d *Discovery) Set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i := range d.servers {
		if d.servers[i].ID == id {
			d.servers[i].State, d.servers[i].version = state, d.version
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.Printf("list    %s has version %d: %s is %s", d.Name, d.version, id, state)
}

// List returns the list as the agent has it.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Version: d.version, Full: true, Servers: append([]Server(nil), d.servers...)}
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	list := List{}
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		list = d.List()
	} else {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		list = d.changesSince(r.Context(), index, time.Duration(wait)*time.Millisecond)
	}
	if d.Latency > 0 {
		select {
		case <-time.After(d.Latency):
		case <-r.Context().Done():
			d.record.Printf("call    %s: the relay has given up %s", d.Name, r.URL)
			return
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		d.record.Printf("discovery %s: %v", d.Name, err)
		return
	}
	if _, err := w.Write(text); err != nil {
		return
	}
	if len(list.Servers) > 0 {
		d.record.Printf("told    %s answers %s: %s", d.Name, r.URL, text)
	}
}

// changesSince waits for something newer than a version and returns the entries that have changed since.
func (d *Discovery) changesSince(ctx context.Context, index int, wait time.Duration) List {
	d.mu.Lock()
	version, changed := d.version, d.changed
	d.mu.Unlock()
	if version <= index {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Version: d.version, Servers: []Server{}}
	for _, server := range d.servers {
		if server.version > index {
			list.Servers = append(list.Servers, server)
		}
	}
	return list
}
