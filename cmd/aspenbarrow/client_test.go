package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// client is a client connection to a relay.
type client struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

// dial opens a client connection and sends nothing.
func (process *relayProcess) dial() *client {
	process.t.Helper()
	connection, err := net.Dial("tcp", process.address)
	if err != nil {
		process.t.Fatal(err)
	}
	process.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	return &client{process.t, connection.(*net.TCPConn), bufio.NewReader(connection)}
}

// send writes lines.
func (c *client) send(lines ...string) {
	c.t.Helper()
	for _, line := range lines {
		if _, err := io.WriteString(c, line+"\r\n"); err != nil {
			c.t.Fatal(err)
		}
	}
}

// expect reads one line and fails the test if it differs from the given one.
func (c *client) expect(want string) {
	c.t.Helper()
	got, err := c.reader.ReadString('\n')
	if err != nil || got != want+"\r\n" {
		c.t.Fatalf("got %q and %v, want %q", got, err, want)
	}
}

// openSession opens a client connection, sends an OPEN line and expects the answer UP.
func (process *relayProcess) openSession(line string) *client {
	process.t.Helper()
	c := process.dial()
	c.send(line)
	c.expect("UP " + strings.Fields(line)[1])
	return c
}

// openRawSession opens a session on the backend of startWithRawBackend.
func (process *relayProcess) openRawSession() *client {
	process.t.Helper()
	c := process.dial()
	c.send(openRequest(""))
	c.expect("UP here")
	return c
}

// expectClosed fails the test unless the connection ends cleanly with no further data.
func (c *client) expectClosed() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.reader); err != nil || len(rest) != 0 {
		c.t.Fatalf("got %q and %v, want a close without further data", rest, err)
	}
}

// lastRequestID is the id of the last OPEN line.
var lastRequestID = uint64(0x9b1f03aa5c7e0000)

// openRequest returns an OPEN line with a new id and the given text appended.
func openRequest(fields string) string {
	lastRequestID++
	return fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59%s", lastRequestID, fields)
}

// expectRejected fails the test unless the client gets ERR, BUSY or the end of its connection within the given time.
func expectRejected(t *testing.T, c *client, within time.Duration) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	got, err := c.reader.ReadString('\n')
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		t.Errorf("neither an answer nor a close after %v", within)
	} else if err == nil && got != "ERR\r\n" && !strings.HasPrefix(got, "BUSY") {
		t.Errorf("got %q, want ERR, BUSY or a close", got)
	}
}

// connectionLoad opens connections one after the other from concurrent clients and counts the outcomes.
type connectionLoad struct {
	stop       chan struct{}
	clients    sync.WaitGroup
	mu         sync.Mutex // guards the fields below
	accepted   int        // answered with UP
	refused    int        // without an answer
	rejected   int        // with another answer than UP
	firstError error      // error of the first connection refused or rejected
}

// run starts the clients.
func (load *connectionLoad) run(address string, clients int) {
	load.stop = make(chan struct{})
	for i := range clients {
		load.clients.Add(1)
		go func() {
			defer load.clients.Done()
			for n := 0; ; n++ {
				select {
				case <-load.stop:
					return
				default:
					load.openConnection(address, i<<20+n)
				}
			}
		}()
	}
}

// openConnection opens one connection, sends OPEN and counts the outcome.
func (load *connectionLoad) openConnection(address string, id int) {
	answer, err := "", error(nil)
	connection, err := net.Dial("tcp", address)
	if err == nil {
		defer connection.Close()
		_ = connection.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(connection, "OPEN %016x %016x c=chat,d=1500\r\n", id+1, id)
		answer, err = bufio.NewReader(connection).ReadString('\n')
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	switch {
	case err != nil: // refused, reset or closed without an answer
		load.refused++
		if load.firstError == nil {
			load.firstError = err
		}
	case strings.HasPrefix(answer, "UP"):
		load.accepted++
	default:
		load.rejected++
		if load.firstError == nil {
			load.firstError = fmt.Errorf("answer %q", answer)
		}
	}
}

// acceptedCount returns the number of connections answered with UP so far.
func (load *connectionLoad) acceptedCount() int {
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.accepted
}

// waitForAccepted waits until n more connections have been answered with UP.
func (load *connectionLoad) waitForAccepted(t *testing.T, n int) {
	t.Helper()
	before := load.acceptedCount()
	waitFor(t, fmt.Sprintf("%d more connections are accepted", n), func() bool { return load.acceptedCount() >= before+n })
}

// stopAndCheck stops the clients and fails the test if any connection was refused or rejected.
func (load *connectionLoad) stopAndCheck(t *testing.T) {
	t.Helper()
	close(load.stop)
	load.clients.Wait()
	if load.refused+load.rejected > 0 {
		t.Errorf("%d connections accepted, %d refused, %d rejected, first error: %v", load.accepted, load.refused, load.rejected, load.firstError)
	}
}
