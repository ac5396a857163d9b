// Package fake provides fake backends and a fake discovery service that speak the relay's protocols on
// loopback sockets, for tests, the demonstration and the example.
//
// They do not model load, so measurements with them do not carry over to real servers. Package emulator models
// load.
package fake

import (
	"bufio"
	"io"
	"net"
	"net/textproto"
	"strings"
	"sync"
)

// Special answers of a Backend, which are not lines of the protocol.
const (
	EndConnection   = ""      // closes the backend's side of the connection
	ResetConnection = "RESET" // resets the connection
)

// Backend is a fake backend, which listens on a socket. Its exported fields must be set before Listen.
type Backend struct {
	// Answer returns the lines that answer an OPEN line; EndConnection and ResetConnection act on the
	// connection. If the first one begins with UP, the session is established and every later line is echoed.
	// If there are none, the backend never answers. Nil establishes every session.
	Answer func(open string) []string
	// LoadReport follows PONG in the answer to STATS.
	LoadReport string

	listener net.Listener

	mu        sync.Mutex
	openLines []string
	conns     map[net.Conn]bool
	silent    bool
	closed    bool
}

// Listen starts the backend on an address.
func (b *Backend) Listen(addr string) error {
	if b.Answer == nil {
		b.Answer = establish
	}
	b.conns, b.closed = map[net.Conn]bool{}, false
	var err error
	b.listener, err = Serve(addr, b.serve)
	return err
}

// establish answers OPEN with UP and the request's id.
func establish(open string) []string { return []string{"UP " + strings.Fields(open)[1]} }

// Addr returns the address that the backend listens on.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// OpenLines returns the OPEN lines received so far.
func (b *Backend) OpenLines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.openLines...)
}

// StopResponding makes the backend answer nothing from now on, with all connections open, like a partitioned machine.
func (b *Backend) StopResponding() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

// Broadcast sends lines to all clients; EndConnection and ResetConnection act on their connections.
func (b *Backend) Broadcast(lines ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = send(conn, lines)
	}
}

// Close closes the listener and all connections.
func (b *Backend) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// send writes lines and reports whether the connection is still open for more.
func send(conn net.Conn, lines []string) bool {
	for _, line := range lines {
		switch line {
		case EndConnection:
			_ = conn.(*net.TCPConn).CloseWrite()
			return false
		case ResetConnection:
			_ = conn.(*net.TCPConn).SetLinger(0) // makes Close send RST
			_ = conn.Close()
			return false
		}
		if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
			return false
		}
	}
	return true
}

// register records a connection, and reports false if the backend has been closed.
func (b *Backend) register(conn net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[conn] = true
	return !b.closed
}

func (b *Backend) serve(conn net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		_ = conn.Close()
	}()
	if !b.register(conn) {
		return
	}
	in := textproto.NewReader(bufio.NewReader(conn))
	established := false
	for {
		line, err := in.ReadLine()
		if err != nil {
			return
		}
		var answer []string
		if !b.received(line, established) {
			answer, established = b.answer(line, established)
		}
		if !send(conn, answer) {
			return
		}
	}
}

// received records a line and reports whether the backend has stopped responding.
func (b *Backend) received(line string, established bool) (silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if strings.HasPrefix(line, "OPEN ") && !established {
		b.openLines = append(b.openLines, line)
	}
	return b.silent
}

// answer returns the answer to a line, and whether the session is established after it.
func (b *Backend) answer(line string, established bool) ([]string, bool) {
	switch {
	case established:
		return []string{"echo " + line}, true
	case line == "PING":
		return []string{"PONG"}, false
	case line == "STATS":
		return []string{strings.TrimSpace("PONG " + b.LoadReport)}, false
	case strings.HasPrefix(line, "OPEN "):
		answer := b.Answer(line)
		return answer, len(answer) > 0 && strings.HasPrefix(answer[0], "UP")
	}
	return []string{"SYNTAX", EndConnection}, false
}
