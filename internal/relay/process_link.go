package relay

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"

	"aspenbarrow/internal/hotrestart"
)

// processLink is the connection between a predecessor and its successor.
type processLink struct {
	conn   *net.UnixConn
	reader *bufio.Reader

	mu      sync.Mutex // guards the fields below
	queue   []byte     // lines that are not being written yet
	writing bool       // a goroutine writes the queue
	failed  bool       // the link has ended: lines are dropped
}

func newProcessLink(conn *net.UnixConn) *processLink {
	return &processLink{conn: conn, reader: bufio.NewReader(conn)}
}

// send queues a line without waiting. The other process receives all lines in the order in which they were queued.
// Errors are ignored: readLine then fails as well.
func (l *processLink) send(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return
	}
	l.queue = append(append(l.queue, line...), '\n')
	if !l.writing {
		l.writing = true
		go l.writeQueue()
	}
}

// sendIfIdle queues a line unless others wait: a later report replaces it. It reports whether the line is queued.
func (l *processLink) sendIfIdle(line string) bool {
	l.mu.Lock()
	idle := !l.writing
	l.mu.Unlock()
	if idle {
		l.send(line)
	}
	return idle
}

// writeQueue writes the queued lines until none is left. While the other process does not read, it waits; closing the link
// ends the wait.
func (l *processLink) writeQueue() {
	for {
		l.mu.Lock()
		lines := l.queue
		l.queue, l.writing = nil, len(lines) > 0
		l.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		if _, err := l.conn.Write(lines); err != nil {
			l.drop()
			return
		}
	}
}

// drop discards the queue and all later lines.
func (l *processLink) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue, l.failed = nil, true
}

// readLine reads a line of up to hotrestart.MaxDocumentBytes.
func (l *processLink) readLine() (string, error) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return string(line[:len(line)-1]), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		case len(line) > hotrestart.MaxDocumentBytes:
			return "", fmt.Errorf("%w: %d bytes read, at most %d allowed", errLineTooLong, len(line), hotrestart.MaxDocumentBytes)
		}
	}
}

// processLinks are the links to the predecessor and the successor.
type processLinks struct {
	mu    sync.Mutex
	links []*processLink
}

// add adds a link.
func (s *processLinks) add(l *processLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append(s.links, l)
}

// remove removes a link.
func (s *processLinks) remove(l *processLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.links {
		if s.links[i] == l {
			s.links = append(s.links[:i], s.links[i+1:]...)
			return
		}
	}
}

// broadcast sends a line to all links without waiting.
func (s *processLinks) broadcast(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.send(line)
	}
}

// close closes all links.
func (s *processLinks) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		_ = l.conn.Close()
	}
}
