package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// sessionLoad is a steady load: clients open a connection, send lines, each of which must be answered once, and
// close.
type sessionLoad struct {
	address string
	stop    chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex // guards the fields below
	ids     int
	sessionCounts
	firstError error // error of the first failure
}

// sessionCounts counts the events of a load.
type sessionCounts struct {
	up       int // connections answered with UP
	lines    int // lines answered
	migrated int // connections that got MOVE
	repeated int // lines sent again on the client's next connection, since MOVE came before their answer
	refused  int // connections that could not be opened
	rejected int // connections whose OPEN had an answer other than UP
	lost     int // connections that ended without MOVE before the client closed them, or by a reset
	wrong    int // lines other than the expected answer
}

// run starts the clients: some close after a few lines, the others stay until they get MOVE.
func (load *sessionLoad) run(short, staying int) {
	load.stop = make(chan struct{})
	for i := range short + staying {
		load.clients.Go(func() {
			c := &loadClient{load: load, number: i}
			pace := time.NewTicker(2 * time.Millisecond)
			defer pace.Stop()
			for !load.stopped(pace) {
				switch {
				case i < short:
					c.runSession(pace, 4)
				default:
					c.runSession(pace, -1)
				}
			}
		})
	}
}

// stopped waits for the next tick and reports whether the load has been stopped.
func (load *sessionLoad) stopped(pace *time.Ticker) bool {
	select {
	case <-load.stop:
		return true
	case <-pace.C:
		return false
	}
}

// count updates the counts.
func (load *sessionLoad) count(update func(c *sessionCounts)) {
	load.mu.Lock()
	defer load.mu.Unlock()
	update(&load.sessionCounts)
}

// countFailure updates the counts and keeps the first error.
func (load *sessionLoad) countFailure(update func(c *sessionCounts), err error) {
	load.mu.Lock()
	defer load.mu.Unlock()
	update(&load.sessionCounts)
	if load.firstError == nil {
		load.firstError = err
	}
}

// counts returns a copy of the counts.
func (load *sessionLoad) counts() sessionCounts {
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.sessionCounts
}

// nextID returns a new request id.
func (load *sessionLoad) nextID() int {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.ids++
	return load.ids
}

// waitForMore waits for at least the given numbers of further connections answered with UP and further lines answered.
func (load *sessionLoad) waitForMore(t *testing.T, up, lines int) {
	t.Helper()
	before := load.counts()
	waitFor(t, fmt.Sprintf("%d more connections and %d more lines", up, lines), func() bool {
		now := load.counts()
		return now.up >= before.up+up && now.lines >= before.lines+lines
	})
}

// stopAndWait stops the clients and waits for their end.
func (load *sessionLoad) stopAndWait() {
	close(load.stop)
	load.clients.Wait()
}

// loadClient is one client of a load, over all its connections.
type loadClient struct {
	load     *sessionLoad
	number   int
	answered int  // lines answered
	pending  bool // the next line has been sent and not answered
}

// runSession opens a connection, exchanges the given number of lines, or lines until MOVE if it is negative, and closes
// the connection.
func (c *loadClient) runSession(pace *time.Ticker, lines int) {
	load, id, class := c.load, c.load.nextID(), []string{"chat", "order"}[c.number%2]
	connection, err := net.Dial("tcp", load.address)
	if err != nil {
		load.countFailure(func(n *sessionCounts) { n.refused++ }, err)
		return
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(connection)
	fmt.Fprintf(connection, "OPEN %016x %016x c=%s,d=2000\r\n", id, c.number, class)
	switch answer, err := reader.ReadString('\n'); {
	case err != nil:
		load.countFailure(func(n *sessionCounts) { n.lost++ }, fmt.Errorf("no answer to OPEN: %w", err))
		return
	case answer != fmt.Sprintf("UP %016x\r\n", id):
		load.countFailure(func(n *sessionCounts) { n.rejected++ }, fmt.Errorf("answer %q to OPEN %016x", answer, id))
		return
	}
	load.count(func(n *sessionCounts) { n.up++ })
	for n := 0; n != lines && !load.stopped(pace); n++ {
		migrated, err := c.exchangeLine(connection, reader)
		switch {
		case migrated:
			load.count(func(n *sessionCounts) { n.migrated++ })
			c.close(connection, reader)
			return
		case err != nil:
			load.countFailure(func(n *sessionCounts) { n.lost++ }, err)
			return
		}
	}
	c.close(connection, reader)
}

// exchangeLine sends the next line and reads its answer, or MOVE instead of it.
func (c *loadClient) exchangeLine(connection net.Conn, reader *bufio.Reader) (migrated bool, err error) {
	load, text := c.load, fmt.Sprintf("client %d line %d", c.number, c.answered)
	if c.pending {
		load.count(func(n *sessionCounts) { n.repeated++ })
	}
	c.pending = true
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(connection, text+"\r\n") // an error does not discard data received before it, so the answer is read in any case
	answer, readErr := reader.ReadString('\n')
	switch {
	case readErr != nil:
		return false, fmt.Errorf("no answer to %q: %w", text, errors.Join(err, readErr))
	case answer == "MOVE\r\n":
		return true, nil
	case answer != "echo "+text+"\r\n":
		load.countFailure(func(n *sessionCounts) { n.wrong++ }, fmt.Errorf("answer %q to %q", answer, text))
	}
	c.answered, c.pending = c.answered+1, false
	load.count(func(n *sessionCounts) { n.lines++ })
	return false, nil
}

// close closes the sending side and expects the relay to end the connection.
func (c *loadClient) close(connection net.Conn, reader *bufio.Reader) {
	load := c.load
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) { // the relay may have closed first
		load.countFailure(func(n *sessionCounts) { n.lost++ }, err)
		return
	}
	rest, err := io.ReadAll(reader)
	if err != nil {
		load.countFailure(func(n *sessionCounts) { n.lost++ }, fmt.Errorf("connection not closed by the relay: %w", err))
		return
	}
	if text := string(rest); text != "" && text != "MOVE\r\n" {
		load.countFailure(func(n *sessionCounts) { n.wrong++ }, fmt.Errorf("%q before the relay closed the connection", text))
	}
}

// countAttempts counts the attempts that reached backends, by class and request.
func countAttempts(backends []*fake.Backend) map[string]map[string]int {
	attempts := map[string]map[string]int{"chat": {}, "order": {}}
	pattern := regexp.MustCompile(`^OPEN (\w+) \w+ c=(\w+),`)
	for _, backend := range backends {
		for _, line := range backend.OpenLines() {
			if match := pattern.FindStringSubmatch(line); match != nil {
				attempts[match[2]][match[1]]++
			}
		}
	}
	return attempts
}

// check logs the counts. It fails the test on any failure, on a repeated non-idempotent request and if the number of
// requests that reached backends differs from that of the UP answers.
func (load *sessionLoad) check(t *testing.T, attempts map[string]map[string]int) {
	t.Helper()
	counts := load.counts()
	t.Logf("%d connections up, %d lines answered, %d connections migrated, %d lines repeated after a migration, %d attempts for %d idempotent requests; %d lost, %d refused, %d not answered with UP, %d wrong lines",
		counts.up, counts.lines, counts.migrated, counts.repeated, total(attempts["chat"]), len(attempts["chat"]), counts.lost, counts.refused, counts.rejected, counts.wrong)
	if counts.lost+counts.refused+counts.rejected+counts.wrong > 0 {
		t.Errorf("first failure: %v", load.firstError)
	}
	for id, n := range attempts["order"] {
		if n != 1 {
			t.Errorf("non-idempotent request %s reached backends %d times, want once", id, n)
		}
	}
	if got := len(attempts["chat"]) + len(attempts["order"]); got != counts.up {
		t.Errorf("%d requests reached backends, %d were answered with UP", got, counts.up)
	}
}

// total returns the sum of counts.
func total(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}
