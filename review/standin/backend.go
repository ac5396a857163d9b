package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Open is an OPEN line that a backend has received.
type Open struct {
	ID        string
	Class     string
	Line      string
	FirstByte time.Duration // when its first byte had come, on the record's clock
	Complete  time.Duration // when its last byte had come
}

// Reply is what a backend does with an OPEN line: it waits for Delay, writes Line and ends the connection in the given way. A
// line that begins with UP brings the connection up, and every later line of the client is answered.
type Reply struct {
	Delay time.Duration
	Line  string // without its line end; empty: none
	Reset bool   // the connection is reset after it
	Close bool   // the connection is closed after it
}

// Backend is a backend on a loopback address.
type Backend struct {
	Name string
	// Answer decides on an OPEN line; nil: UP at once. It is set before Listen.
	Answer func(Open) Reply
	// AnswerLine answers a later line of a connection that is up; nil: a whole line at once. It is set before Listen.
	AnswerLine func(conn net.Conn, line string) error

	record   *Record
	listener net.Listener
	mu       sync.Mutex
	opens    []Open
	conns    map[net.Conn]bool
}

// Listen starts the backend on a free port.
func (b *Backend) Listen(record *Record) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.record, b.listener, b.conns = record, listener, map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.track(conn, true)
			go b.serve(conn.(*net.TCPConn))
		}
	}()
	return nil
}

// Addr returns the backend's address.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Opens returns the OPEN lines received so far.
func (b *Backend) Opens() []Open {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Open(nil), b.opens...)
}

// Close ends the backend and its connections.
func (b *Backend) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *Backend) track(conn net.Conn, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if open {
		b.conns[conn] = true
	} else {
		delete(b.conns, conn)
	}
}

func (b *Backend) serve(conn *net.TCPConn) {
	defer func() {
		b.track(conn, false)
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByte := b.record.Now()
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch word, _, _ := strings.Cut(line, " "); word {
		case "PING":
			_, err = io.WriteString(conn, "PONG\r\n")
		case "STATS":
			_, err = io.WriteString(conn, "PONG utilization=0.3,errors_per_s=0,x0=0.3\r\n")
		case "OPEN":
			if !b.open(conn, line, firstByte) {
				return
			}
			b.answerLines(conn, reader)
			return
		default:
			_, _ = io.WriteString(conn, "SYNTAX\r\n")
			return
		}
		if err != nil {
			return
		}
	}
}

// open answers an OPEN line and reports whether the connection is up.
func (b *Backend) open(conn *net.TCPConn, line string, firstByte time.Duration) bool {
	request := parseOpen(line)
	request.FirstByte, request.Complete = firstByte, b.record.Now()
	b.mu.Lock()
	b.opens = append(b.opens, request)
	b.mu.Unlock()
	b.record.Printf("run     %s receives %s", b.Name, line)
	reply := Reply{Line: "UP " + b.Name}
	if b.Answer != nil {
		reply = b.Answer(request)
	}
	time.Sleep(reply.Delay)
	if reply.Line != "" {
		if _, err := io.WriteString(conn, reply.Line+"\r\n"); err != nil {
			return false
		}
	}
	if reply.Reset {
		_ = conn.SetLinger(0)
	}
	if reply.Reset || reply.Close {
		return false
	}
	return strings.HasPrefix(reply.Line, "UP")
}

// answerLines answers each line of a connection that is up, until the client's side ends.
func (b *Backend) answerLines(conn net.Conn, reader *bufio.Reader) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		b.record.Printf("run     %s receives %s", b.Name, line)
		if b.AnswerLine != nil {
			err = b.AnswerLine(conn, line)
		} else {
			_, err = fmt.Fprintf(conn, "answer to %s\r\n", line)
		}
		b.record.Printf("answer  %s answers %s %s", b.Name, line, errText(err))
		if err != nil {
			return
		}
	}
}

// parseOpen reads the id and the class of an OPEN line.
func parseOpen(line string) Open {
	request := Open{Line: line}
	words := strings.Fields(line)
	if len(words) != 4 {
		return request
	}
	request.ID = words[1]
	for _, pair := range strings.Split(words[3], ",") {
		if value, ok := strings.CutPrefix(pair, "c="); ok {
			request.Class = value
		}
	}
	return request
}
