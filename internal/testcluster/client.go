package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/simulation"
)

// client is one emulated client during its visit.
type client struct {
	visit
	cluster      *cluster
	random       *rand.Rand
	returning    bool
	flow         string // receipt of the present connection or, between two, of the last one; empty: it does not survive its relay
	attempts     int
	current      *clientConn // the last connection
	connected    atomic.Bool
	slowResponse atomic.Bool
	pendingSince atomic.Int64 // when the oldest unanswered line was sent; 0: none
}

// served reports whether the client has a connection on which its lines are answered in time.
func (c *client) served(now time.Duration) bool {
	sentAt := time.Duration(c.pendingSince.Load())
	return c.connected.Load() && !c.slowResponse.Load() && (sentAt == 0 || now-sentAt <= lineLatencyObjective)
}

func (c *client) randomDuration(minimum, maximum time.Duration) time.Duration {
	if maximum <= minimum {
		return minimum
	}
	return minimum + time.Duration(c.random.Int64N(int64(maximum-minimum)))
}

// run connects, and reconnects when a connection ends, until the visit is over.
func (c *client) run(ctx context.Context) {
	cluster := c.cluster
	ctx, cancel := context.WithTimeout(ctx, c.end-cluster.elapsed())
	defer cancel()
	connectStart := time.Now()
	for ctx.Err() == nil {
		pause := c.connect(ctx, &connectStart)
		c.connected.Store(false)
		if !sleepContext(ctx, pause) {
			return
		}
	}
}

// connect makes one attempt, holds the connection as long as it lasts, and returns how long to wait before the next
// attempt.
func (c *client) connect(ctx context.Context, connectStart *time.Time) (pause time.Duration) {
	cluster := c.cluster
	relayIndex := cluster.frontend.pick(c.random)
	if relayIndex < 0 {
		return 500 * time.Millisecond
	}
	conn, pause := c.dial(ctx, relayIndex)
	if conn == nil {
		return pause
	}
	id := cluster.connectionIDs.Add(1)
	var observer *invariant.ClientConn
	cluster.withChecker(func() {
		observer = cluster.checker.ClientAccepted(int(id), relayIndex, cluster.checker.RelayProcess(relayIndex))
	})
	c.current = cluster.clientConns.add(cluster, conn, observer)
	defer cluster.clientConns.remove(c.current)
	relayConn := newRelayConn(cluster, conn, node{fault.Relays, relayIndex}, node{fault.Clients, relayIndex}, observer)
	lines, readDone := receiveLines(relayConn)
	defer c.closeInBackground(relayConn, lines, readDone)
	request := c.request(id)
	cluster.countMidStreamRequest(&request)
	relayConn.sendLine(request.String())
	select {
	case answer, ok := <-lines:
		if !ok {
			c.countEnd("connection ended without an answer")
			c.failFlow()
			return c.retryDelay()
		}
		return c.handleAnswer(ctx, answer, relayConn, lines, connectStart)
	case <-time.After(requestClasses[c.class].clientTimeout + TimingAllowance):
		cluster.incrementCount("client gave up")
		return c.retryDelay()
	case <-ctx.Done():
		return 0
	}
}

// retryDelay counts a failed attempt and returns how long to wait before the next: longer after several in quick
// succession.
func (c *client) retryDelay() time.Duration {
	if c.attempts++; c.attempts > maxQuickAttempts {
		c.attempts = 0
		return c.randomDuration(time.Second, 4*time.Second)
	}
	return c.randomDuration(30*time.Millisecond, 300*time.Millisecond)
}

// dial connects to a relay, subject to the faults on the link. Without a connection it returns how long to wait
// before the next attempt.
func (c *client) dial(ctx context.Context, relayIndex int) (conn *net.TCPConn, pause time.Duration) {
	cluster := c.cluster
	delay, ok := cluster.links.connectDelay(node{fault.Clients, relayIndex}, node{fault.Relays, relayIndex})
	if !ok {
		sleepContext(ctx, time.Second)
		return nil, c.retryDelay()
	}
	if delay > 0 && !sleepContext(ctx, delay) {
		return nil, 0
	}
	dialed, err := net.DialTimeout("tcp", cluster.ports.relayAddr(relayIndex), 2*time.Second)
	if err != nil {
		cluster.incrementCount("client not let in")
		return nil, c.retryDelay()
	}
	return dialed.(*net.TCPConn), 0
}

// request returns the OPEN line that requests a connection: a mid-stream one while a backend still holds the last one.
func (c *client) request(id uint64) simulation.OpenLine {
	class := requestClasses[c.class]
	return simulation.OpenLine{ID: fmt.Sprintf("%016x", id*0x9e3779b97f4a7c15+c.cluster.options.Seed), Key: c.key, Class: class.name,
		Timeout: class.clientTimeout, Retry: c.attempts > 0, Reconnecting: c.returning, MidStream: c.flow != ""}
}

// receiveLines receives lines from a connection in the background. After the last line it closes lines, and then
// readDone.
func receiveLines(conn *relayConn) (lines chan string, readDone chan struct{}) {
	lines, readDone = make(chan string, 64), make(chan struct{})
	go func() {
		defer close(readDone)
		defer close(lines)
		var l lineSplitter
		conn.receive(func(b []byte) {
			l.feed(b, func(line string) {
				select {
				case lines <- line:
				case <-conn.ctx.Done():
				}
			})
		})
	}()
	return lines, readDone
}

// closeInBackground closes a connection gracefully without blocking the client.
func (c *client) closeInBackground(conn *relayConn, lines <-chan string, readDone <-chan struct{}) {
	c.cluster.clients.wg.Add(1) // clients.stop waits for this too
	go func() {
		defer c.cluster.clients.wg.Done()
		go func() {
			for range lines { // discard lines that still arrive
			}
		}()
		conn.closeGracefully(readDone)
	}()
}

// handleAnswer handles the answer to a request, holds the connection if it is UP, and returns how long to wait
// before the next attempt.
func (c *client) handleAnswer(ctx context.Context, answer string, conn *relayConn, lines <-chan string, connectStart *time.Time) (pause time.Duration) {
	cluster := c.cluster
	switch word, rest, _ := strings.Cut(answer, " "); word {
	case "UP":
		cluster.incrementCount("served")
		cluster.recordConnectLatency(time.Since(*connectStart))
		c.attempts, c.returning = 0, false
		c.openFlow(rest)
		c.connected.Store(true)
		c.slowResponse.Store(false)
		c.pendingSince.Store(0)
		pause = c.holdConnection(ctx, conn, lines)
		*connectStart = time.Now()
		return pause
	case "BUSY":
		cluster.incrementCount("refused")
		c.attempts++
		if retryAfterMS, err := strconv.Atoi(rest); err == nil {
			return time.Duration(retryAfterMS) * time.Millisecond
		}
		return c.randomDuration(100*time.Millisecond, 600*time.Millisecond)
	}
	c.failFlow()
	cluster.incrementCount("failed")
	cluster.incrementCount("failed " + requestClasses[c.class].name)
	return c.retryDelay()
}

// holdConnection sends lines at intervals until the visit or the connection ends, and returns how long to wait
// before the next attempt.
func (c *client) holdConnection(ctx context.Context, conn *relayConn, lines <-chan string) (pause time.Duration) {
	cluster := c.cluster
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	sent, lastReceived := 0, time.Now()
	send := func() {
		if c.pendingSince.Load() == 0 {
			c.pendingSince.Store(int64(cluster.now()))
		}
		sent++
		conn.sendLine(fmt.Sprintf("line %d", sent))
	}
	send()
	for {
		select {
		case <-ctx.Done():
			c.closeFlow()
			return 0
		case <-ticker.C:
			if time.Since(lastReceived) > silenceTimeout {
				return c.connectionLost("connection silent")
			}
			send()
		case line, ok := <-lines:
			lastReceived = time.Now()
			switch {
			case !ok:
				return c.connectionLost("connection lost")
			case line == "MOVE":
				cluster.incrementCount("moved by its relay")
				c.returning = true
				return c.randomDuration(20*time.Millisecond, 400*time.Millisecond)
			case strings.HasPrefix(line, "R "):
				c.slowResponse.Store(cluster.now()-time.Duration(c.pendingSince.Load()) > lineLatencyObjective)
				c.pendingSince.Store(0)
			}
		}
	}
}

// connectionLost counts the loss of a connection and returns how long to wait before the next attempt.
func (c *client) connectionLost(reason string) time.Duration {
	c.countEnd(reason)
	c.returning = true
	return c.reconnectDelay()
}

// countEnd counts the end of the current connection; under another name if the process that accepted it was killed in a hot
// restart.
func (c *client) countEnd(reason string) {
	if c.cluster.clientConns.wasKilled(c.current) {
		reason += " to a killed successor"
	}
	c.cluster.incrementCount(reason)
}

// reconnectDelay returns how long a client waits after it has lost a connection.
func (c *client) reconnectDelay() time.Duration {
	if d := c.cluster.options.Fleet.ReconnectWindow; d > 0 {
		return c.randomDuration(0, d)
	}
	return c.randomDuration(30*time.Millisecond, 300*time.Millisecond)
}
