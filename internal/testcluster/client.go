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
)

// client is a visit in progress.
type client struct {
	visit
	cluster      *cluster
	random       *rand.Rand
	returning    bool
	attempts     int
	connected    atomic.Bool
	slowResponse atomic.Bool
	pendingSince atomic.Int64 // when the oldest unanswered line was sent; 0: none
}

// served reports whether the client has a connection on which its lines are answered in time.
func (c *client) served(now time.Duration) bool {
	said := time.Duration(c.pendingSince.Load())
	return c.connected.Load() && !c.slowResponse.Load() && (said == 0 || now-said <= lineLatencyObjective)
}

func (c *client) randomDuration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

// run connects, and reconnects when a connection ends, until the visit is over.
func (c *client) run(ctx context.Context) {
	cluster := c.cluster
	ctx, cancel := context.WithTimeout(ctx, c.end-cluster.elapsed())
	defer cancel()
	wished := time.Now()
	for ctx.Err() == nil {
		pause := c.connect(ctx, &wished)
		c.connected.Store(false)
		if !sleepContext(ctx, pause) {
			return
		}
	}
}

// connect makes one attempt, stays as long as the connection lasts, and returns how long to wait before the next
// attempt.
func (c *client) connect(ctx context.Context, wished *time.Time) (pause time.Duration) {
	cluster := c.cluster
	n := cluster.frontend.pick(c.random)
	if n < 0 {
		return 500 * time.Millisecond
	}
	conn, pause := c.dial(ctx, n)
	if conn == nil {
		return pause
	}
	id := cluster.connectionIDs.Add(1)
	var watch *invariant.ClientConn
	cluster.withChecker(func() { watch = cluster.checker.ClientAccepted(int(id), n, cluster.checker.RelayProcess(n)) })
	relayConn := newRelayConn(cluster, conn, node{fault.Relays, n}, node{fault.Clients, n}, watch)
	said, read := receiveLines(relayConn)
	defer c.closeInBackground(relayConn, said, read)
	relayConn.sendLine(c.request(id))
	select {
	case answer, ok := <-said:
		if !ok {
			cluster.incrementCount("connection ended without an answer")
			return c.retryDelay()
		}
		return c.handleAnswer(ctx, answer, relayConn, said, wished)
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
func (c *client) dial(ctx context.Context, n int) (conn *net.TCPConn, pause time.Duration) {
	cluster := c.cluster
	late, ok := cluster.links.connectDelay(node{fault.Clients, n}, node{fault.Relays, n})
	if !ok {
		sleepContext(ctx, time.Second)
		return nil, c.retryDelay()
	}
	if late > 0 && !sleepContext(ctx, late) {
		return nil, 0
	}
	up, err := net.DialTimeout("tcp", cluster.ports.relayAddr(n), 2*time.Second)
	if err != nil {
		cluster.incrementCount("client not let in")
		return nil, c.retryDelay()
	}
	return up.(*net.TCPConn), 0
}

// request is the line that requests a connection.
func (c *client) request(id uint64) string {
	name := fmt.Sprintf("%016x", id*0x9e3779b97f4a7c15+c.cluster.options.Seed)
	class := requestClasses[c.class]
	line := fmt.Sprintf("OPEN %s %016x c=%s,d=%d", name, c.key, class.name, class.clientTimeout.Milliseconds())
	if c.attempts > 0 {
		line += ",r=1"
	}
	if c.returning {
		line += ",again=1"
	}
	return line
}

// receiveLines receives lines from a connection in the background. It closes said after the last line, and then
// read.
func receiveLines(conn *relayConn) (said chan string, read chan struct{}) {
	said, read = make(chan string, 64), make(chan struct{})
	go func() {
		defer close(read)
		defer close(said)
		var l lineSplitter
		conn.receive(func(b []byte) {
			l.feed(b, func(line string) {
				select {
				case said <- line:
				case <-conn.ctx.Done():
				}
			})
		})
	}()
	return said, read
}

// closeInBackground closes a connection gracefully without blocking the client.
func (c *client) closeInBackground(conn *relayConn, said <-chan string, read <-chan struct{}) {
	c.cluster.clients.wg.Add(1) // clients.stop waits for this too
	go func() {
		defer c.cluster.clients.wg.Done()
		go func() {
			for range said { // discard what still arrives
			}
		}()
		conn.closeGracefully(read)
	}()
}

// handleAnswer handles the answer to a request, holds the connection if it is UP, and returns how long to wait
// before the next attempt.
func (c *client) handleAnswer(ctx context.Context, answer string, conn *relayConn, said <-chan string, wished *time.Time) (pause time.Duration) {
	cluster := c.cluster
	switch word, rest, _ := strings.Cut(answer, " "); word {
	case "UP":
		cluster.incrementCount("served")
		cluster.recordConnectLatency(time.Since(*wished))
		c.attempts, c.returning = 0, false
		c.connected.Store(true)
		c.slowResponse.Store(false)
		c.pendingSince.Store(0)
		pause = c.holdConnection(ctx, conn, said)
		*wished = time.Now()
		return pause
	case "BUSY":
		cluster.incrementCount("refused")
		c.attempts++
		if v, err := strconv.Atoi(rest); err == nil {
			return time.Duration(v) * time.Millisecond
		}
		return c.randomDuration(100*time.Millisecond, 600*time.Millisecond)
	}
	cluster.incrementCount("failed")
	cluster.incrementCount("failed " + requestClasses[c.class].name)
	return c.retryDelay()
}

// holdConnection sends lines at intervals until the visit or the connection ends, and returns how long to wait
// before the next attempt.
func (c *client) holdConnection(ctx context.Context, conn *relayConn, said <-chan string) (pause time.Duration) {
	cluster := c.cluster
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	sent, heard := 0, time.Now()
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
			return 0
		case <-ticker.C:
			if time.Since(heard) > silenceTimeout {
				return c.connectionLost("connection silent")
			}
			send()
		case line, ok := <-said:
			heard = time.Now()
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
	c.cluster.incrementCount(reason)
	c.returning = true
	return c.reconnectDelay()
}

// reconnectDelay is how long a client waits after it has lost a connection.
func (c *client) reconnectDelay() time.Duration {
	if d := c.cluster.options.Fleet.ReconnectWindow; d > 0 {
		return c.randomDuration(0, d)
	}
	return c.randomDuration(30*time.Millisecond, 300*time.Millisecond)
}
