package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/session"
)

// client simulates a client that connects, sends lines for a while, disconnects and connects again.
type client struct {
	run                 *run
	number              int
	key                 uint64
	group               uint64 // 0: none
	class               int
	reconnecting        bool // its session was migrated or its connection broke; sent as again=1
	retries             int
	sessionDuration     time.Duration
	notReading          bool // it has stopped reading, for a limited time
	sendsBursts         bool
	connectGeneration   int // incremented for each new connection, so that callbacks of older ones are ignored
	stopped             bool
	conn                *connEnd
	requestID           string
	established         bool
	lineCount           int
	lastReceived        time.Duration
	oldestUnanswered    time.Duration // when the oldest unanswered line was sent; 0: none is unanswered
	lastReplyLate       bool          // the latest reply missed the latency objective
	connectionRequested bool          // from when it first tries to connect, successfully or not, until it disconnects or is served to the end
}

// messageLatencyObjective is the time within which a line should be answered.
const messageLatencyObjective = 60 * time.Millisecond

// meetsObjective reports whether the client's lines are answered within the latency objective.
func (c *client) meetsObjective() bool {
	return !c.lastReplyLate && (c.oldestUnanswered == 0 || c.run.engine.now-c.oldestUnanswered <= messageLatencyObjective)
}

// connectAfter connects after a delay, and invalidates the callbacks of the client's earlier connections.
func (c *client) connectAfter(delay time.Duration) {
	c.connectGeneration++
	generation := c.connectGeneration
	c.run.engine.schedule(delay, func() {
		if c.connectGeneration == generation && !c.run.closing && !c.stopped {
			c.connectionRequested = true
			c.connect()
		}
	})
}

// connect dials the relay that the load balancer picks.
func (c *client) connect() {
	run := c.run
	r := run.loadBalancer.pickRelay()
	if r == nil {
		c.connectAfter(500 * time.Millisecond)
		return
	}
	generation := c.connectGeneration
	run.clientHost.dial(r.host, 2*time.Second, func(conn *connEnd) {
		switch {
		case conn == nil:
			c.connectAfter(run.engine.randomDuration(50*time.Millisecond, 400*time.Millisecond))
		case c.connectGeneration != generation || run.closing:
			conn.close()
		default:
			c.sendRequest(conn)
		}
	})
}

// sendRequest sends the request and reconnects if the answer takes over 0.5 s longer than the class's timeout. One client
// in 40 disconnects within 300 ms, answered or not.
func (c *client) sendRequest(conn *connEnd) {
	run := c.run
	c.conn, c.established, c.lineCount, c.oldestUnanswered, c.lastReplyLate = conn, false, 0, 0, false
	c.requestID = fmt.Sprintf("%016x", uint64(run.nextRequestID())*requestIDMultiplier)
	conn.onReadable = c.readLines
	conn.write([]byte(c.requestLine()+"\r\n"), func(bool) {})
	if run.engine.rng.IntN(40) == 0 {
		run.engine.schedule(run.engine.randomDuration(0, 300*time.Millisecond), func() { c.disconnect(conn) })
	}
	run.engine.schedule(run.classes[c.class].timeout+500*time.Millisecond, func() {
		if c.conn == conn && !c.established {
			run.count("client gave up")
			c.reconnect(conn)
		}
	})
}

// requestIDMultiplier spreads the sequential request IDs over 64 bits.
const requestIDMultiplier = 0x9e3779b97f4a7c15

func (run *run) nextRequestID() int {
	run.lastRequestID++
	return run.lastRequestID
}

// requestLine returns the client's OPEN line.
func (c *client) requestLine() string {
	class := c.run.classes[c.class]
	line := OpenLine{ID: c.requestID, Key: c.key, Class: class.name, Timeout: class.timeout, Group: c.group,
		Retry: c.retries > 0, Reconnecting: c.reconnecting}
	return line.String()
}

// disconnect ends a connection from the client's side, one time in four with a reset, and connects again later.
func (c *client) disconnect(conn *connEnd) {
	if c.conn != conn {
		return
	}
	if c.run.engine.rng.IntN(4) == 0 {
		conn.reset()
	} else {
		conn.closeWrite()
		c.run.engine.schedule(500*time.Millisecond, conn.close)
	}
	c.conn = nil
	c.retries, c.reconnecting, c.connectionRequested = 0, false, false
	c.connectAfter(c.run.engine.randomDuration(200*time.Millisecond, 4*time.Second))
}

// reconnect closes a broken or unanswered connection and connects again, with a longer pause after more
// than four retries in a row.
func (c *client) reconnect(conn *connEnd) {
	conn.close()
	c.conn = nil
	c.retries++
	wait := c.run.engine.randomDuration(30*time.Millisecond, 300*time.Millisecond)
	if c.retries > 4 {
		c.retries = 0
		wait = c.run.engine.randomDuration(time.Second, 4*time.Second)
	}
	c.connectAfter(wait)
}

// readLines handles the lines that have arrived, then the end of the connection.
func (c *client) readLines() {
	conn := c.conn
	if conn == nil || c.notReading {
		return
	}
	for {
		i := bytes.IndexByte(conn.received, '\n')
		if i < 0 {
			break
		}
		line := string(bytes.TrimRight(conn.received[:i], "\r\n"))
		conn.consume(i + 1)
		c.lastReceived = c.run.engine.now
		if c.established && strings.HasPrefix(line, "R ") {
			c.lastReplyLate = c.oldestUnanswered != 0 && c.run.engine.now-c.oldestUnanswered > messageLatencyObjective
			c.oldestUnanswered = 0
		}
		c.handleLine(conn, line)
		if c.conn != conn {
			return
		}
	}
	if conn.remoteEnd != session.NoEnd {
		if c.established {
			c.run.count("connection lost")
			c.reconnecting = true
		}
		c.reconnect(conn)
	}
}

// handleLine handles a line from the relay: the answer to the request or, on an established connection, MOVE. Replies
// to the client's lines are handled by readLines.
func (c *client) handleLine(conn *connEnd, line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case !c.established:
		c.handleAnswer(conn, word, rest)
	case word == "MOVE":
		c.run.count("moved")
		c.reconnecting = true
		conn.close()
		c.conn = nil
		c.connectAfter(c.run.engine.randomDuration(20*time.Millisecond, 400*time.Millisecond))
	}
}

// handleAnswer handles the answer to the request.
func (c *client) handleAnswer(conn *connEnd, word, argument string) {
	run := c.run
	switch word {
	case "UP":
		run.count("served")
		run.servedByClass[c.class]++
		c.established, c.retries, c.reconnecting = true, 0, false
		run.engine.schedule(c.sessionDuration, func() { c.disconnect(conn) })
		c.sendLines(conn)
	case "BYE": // served, and the session ended at once
		run.count("served to its end")
		run.servedByClass[c.class]++
		conn.close()
		c.conn, c.connectionRequested = nil, false
		c.connectAfter(run.engine.randomDuration(200*time.Millisecond, 2*time.Second))
	case "BUSY":
		run.count("refused")
		retryAfter := run.engine.randomDuration(100*time.Millisecond, 600*time.Millisecond)
		if milliseconds, err := strconv.Atoi(argument); err == nil {
			retryAfter = time.Duration(milliseconds) * time.Millisecond
		}
		conn.close()
		c.conn = nil
		c.retries++
		c.connectAfter(retryAfter)
	default:
		run.count("failed")
		c.reconnect(conn)
	}
}

// sendLines sends a line every two seconds, and reconnects if the relay has been silent for over nine seconds. The second
// time, a client with sendsBursts sends 40 lines. After one time in 200 the client stops reading for 1 to 5 s.
func (c *client) sendLines(conn *connEnd) {
	if c.conn != conn || conn.closed {
		return
	}
	if !c.notReading && c.run.engine.now-c.lastReceived > 9*time.Second { // its relay has disappeared without closing the connection
		c.run.count("connection silent")
		c.reconnecting = true
		c.reconnect(conn)
		return
	}
	if c.oldestUnanswered == 0 {
		c.oldestUnanswered = c.run.engine.now
	}
	c.lineCount++
	n := 1
	if c.sendsBursts && c.lineCount == 2 {
		n = 40
	}
	for i := range n {
		conn.write(fmt.Appendf(nil, "line %s %d.%d\r\n", c.requestID, c.lineCount, i), func(bool) {})
	}
	if c.run.engine.rng.IntN(200) == 0 {
		c.notReading = true
		c.run.count("client stopped reading")
		c.run.engine.schedule(c.run.engine.randomDuration(time.Second, 5*time.Second), func() {
			c.notReading = false
			c.readLines()
		})
	}
	c.run.engine.schedule(2*time.Second, func() { c.sendLines(conn) })
}
