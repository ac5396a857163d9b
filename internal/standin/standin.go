// Package standin holds fake backends and a fake discovery service, for tests and for
// the example. They speak the published protocols and no more: nothing here models
// load, and no figure taken with them says anything of real servers.
package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Backend is a toy backend. Its fields are set before it serves.
type Backend struct {
	// Answer returns the lines that answer an OPEN; after one that begins with UP
	// the connection stays and every line is echoed. None: it never answers. An
	// empty line ends the connection, "RESET" breaks it.
	Answer func(open string) []string
	// Report follows PONG where STATS is asked.
	Report string

	listener net.Listener
	mu       sync.Mutex
	opens    []string
	conns    map[net.Conn]bool
	deaf     bool
}

// Listen starts a backend on a loopback address.
func (b *Backend) Listen(addr string) error {
	if b.Answer == nil {
		b.Answer = func(open string) []string { return []string{"UP " + strings.Fields(open)[1]} }
	}
	b.conns = map[net.Conn]bool{}
	var err error
	if b.listener, err = net.Listen("tcp", addr); err != nil {
		return err
	}
	go func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return nil
}

// Addr is where the backend listens.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Opens returns the OPEN lines that have come so far.
func (b *Backend) Opens() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.opens...)
}

// GoSilent leaves all connections open and answers nothing any more, as a machine
// that is cut off.
func (b *Backend) GoSilent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deaf = true
}

// Say sends lines to all clients; an empty one ends their connections.
func (b *Backend) Say(lines ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = say(c, lines)
	}
}

// Close ends the listener and all connections.
func (b *Backend) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}

// say writes lines; it reports whether the connection goes on.
func say(c net.Conn, lines []string) bool {
	for _, l := range lines {
		switch l {
		case "":
			_ = c.(*net.TCPConn).CloseWrite()
			return false
		case "RESET":
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return false
		}
		if _, err := io.WriteString(c, l+"\r\n"); err != nil {
			return false
		}
	}
	return true
}

func (b *Backend) serve(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	in := textproto.NewReader(bufio.NewReader(c))
	stands := false
	for {
		l, err := in.ReadLine()
		if err != nil {
			return
		}
		b.mu.Lock()
		deaf := b.deaf
		if strings.HasPrefix(l, "OPEN ") && !stands {
			b.opens = append(b.opens, l)
		}
		b.mu.Unlock()
		var answer []string
		switch {
		case deaf:
		case stands:
			answer = []string{"echo " + l}
		case l == "PING":
			answer = []string{"PONG"}
		case l == "STATS":
			answer = []string{strings.TrimSpace("PONG " + b.Report)}
		case strings.HasPrefix(l, "OPEN "):
			answer = b.Answer(l)
			stands = len(answer) > 0 && strings.HasPrefix(answer[0], "UP")
		default:
			answer = []string{"SYNTAX", ""}
		}
		if !say(c, answer) {
			return
		}
	}
}

// Entry is one backend in discovery's list, with the JSON keys of the published form.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"` // host:port
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`      // such as "ready" or "draining"
	Weight  float64 `json:"weight"`     // nominal capacity
	Started int64   `json:"started_ms"` // Unix time in milliseconds
}

// Discovery is a toy discovery. It always answers with the whole list.
type Discovery struct {
	mu      sync.Mutex
	changed chan struct{}
	version int
	list    []Entry
	raw     string
	calls   int // that wait for an answer
	server  *http.Server
	addr    string
}

// Listen starts discovery on a loopback address with a first list.
func (d *Discovery) Listen(addr string, list ...Entry) error {
	d.changed, d.version, d.list = make(chan struct{}), 1, list
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.members)
	d.server, d.addr = &http.Server{Handler: mux}, l.Addr().String()
	go func() { _ = d.server.Serve(l) }()
	return nil
}

// Addr is where discovery listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends discovery and every call to it.
func (d *Discovery) Close() { _ = d.server.Close() }

// Calls says how many calls wait for an answer.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// SetVersion sets the version of the present list.
func (d *Discovery) SetVersion(v int) { d.change(func() { d.version = v - 1 }) }

// Set replaces the list.
func (d *Discovery) Set(list ...Entry) { d.change(func() { d.list, d.raw = list, "" }) }

// SetRaw makes every answer this text.
func (d *Discovery) SetRaw(text string) { d.change(func() { d.raw = text }) }

func (d *Discovery) change(how func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	how()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) members(w http.ResponseWriter, r *http.Request) {
	if known, err := strconv.Atoi(r.URL.Query().Get("index")); err == nil {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		d.await(r.Context(), known, time.Duration(wait)*time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.raw != "" {
		_, _ = io.WriteString(w, d.raw)
		return
	}
	_, _ = w.Write(List(d.version, d.list))
}

// await returns when there is something newer than a version, or after a time.
func (d *Discovery) await(ctx context.Context, known int, wait time.Duration) {
	d.mu.Lock()
	newer, changed := d.version > known, d.changed
	d.calls++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.calls--
	}()
	if newer {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// List is a whole list in discovery's form.
func List(version int, list []Entry) []byte {
	if list == nil {
		list = []Entry{}
	}
	text, err := json.Marshal(map[string]any{"version": version, "full": true, "servers": list})
	if err != nil {
		panic(fmt.Sprintf("list: %v", err)) // no entry can fail to be written
	}
	return text
}
