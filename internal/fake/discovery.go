package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is one backend in discovery's list, with the JSON keys of the published form.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`      // such as "ready" or "draining"
	Weight    float64 `json:"weight"`     // nominal capacity
	StartedMS int64   `json:"started_ms"` // Unix time in milliseconds
}

// Discovery is a fake discovery service. It answers every request with the whole list. It answers a request that
// names a version when there is a newer one or the request's wait time is over.
type Discovery struct {
	server *http.Server
	addr   string

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at every change
	version   int
	endpoints []Endpoint
	response  string        // body of every response; empty: the list
	waiting   int           // requests that wait for a newer version
	silenced  chan struct{} // closed: requests have no answer
	remaining int           // once silenced: how many further requests are answered
}

// Listen starts discovery on an address with an initial list.
func (d *Discovery) Listen(addr string, endpoints ...Endpoint) error {
	d.changed, d.version, d.endpoints, d.silenced = make(chan struct{}), 1, endpoints, make(chan struct{})
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.serveEndpoints)
	d.server, d.addr = &http.Server{Handler: mux}, listener.Addr().String()
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

// Addr returns the address that discovery listens on.
func (d *Discovery) Addr() string { return d.addr }

// Close stops discovery and closes the connections of all requests to it.
func (d *Discovery) Close() { _ = d.server.Close() }

// WaitingCalls returns how many requests wait for a newer version.
func (d *Discovery) WaitingCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting
}

// SetVersion sets the version of the current list.
func (d *Discovery) SetVersion(version int) {
	d.change(func() { d.version = version - 1 }) // change increments it
}

// SetEndpoints replaces the list.
func (d *Discovery) SetEndpoints(endpoints ...Endpoint) {
	d.change(func() { d.endpoints, d.response = endpoints, "" })
}

// SetResponse makes text the body of every response, until SetEndpoints is called.
func (d *Discovery) SetResponse(text string) { d.change(func() { d.response = text }) }

// Silence leaves the requests that wait without an answer, and all later ones but the given number.
func (d *Discovery) Silence(answered int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remaining = answered
	close(d.silenced)
}

// RemainingAnswers returns how many requests are still answered after Silence.
func (d *Discovery) RemainingAnswers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remaining
}

// admit reports whether a request that arrives has an answer.
func (d *Discovery) admit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.silenced:
	default:
		return true
	}
	d.remaining--
	return d.remaining >= 0
}

// change applies a change, increments the version and wakes the requests that wait for a newer one.
func (d *Discovery) change(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	answered := d.admit()
	if known, err := strconv.Atoi(r.URL.Query().Get("index")); answered && err == nil {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		answered = d.waitForNewer(r.Context(), known, time.Duration(wait)*time.Millisecond)
	}
	if !answered {
		<-r.Context().Done()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.response != "" {
		_, _ = io.WriteString(w, d.response)
		return
	}
	_, _ = w.Write(EncodeList(d.version, d.endpoints))
}

// waitForNewer returns once there is a version newer than known, or after timeout. It reports whether the request is answered.
func (d *Discovery) waitForNewer(ctx context.Context, known int, timeout time.Duration) bool {
	d.mu.Lock()
	newer, changed := d.version > known, d.changed
	d.waiting++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waiting--
	}()
	if newer {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	case <-d.silenced:
		return false
	}
	return true
}

// endpointList is a whole list in the published form. The keys of the encoding are in the order of its fields.
type endpointList struct {
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
	Version   int        `json:"version"`
}

// EncodeList returns a whole list in discovery's published form.
func EncodeList(version int, endpoints []Endpoint) []byte {
	if endpoints == nil {
		endpoints = []Endpoint{} // encodes as an empty list, not as null
	}
	text, err := json.Marshal(endpointList{Full: true, Endpoints: endpoints, Version: version})
	if err != nil {
		panic(fmt.Sprintf("encoding the endpoint list: %v", err)) // only a weight that is NaN or infinite cannot be encoded
	}
	return text
}
