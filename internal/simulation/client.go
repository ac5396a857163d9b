package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/session"
)

// client is a client that connects, stays a while, and comes back.
type client struct {
	run              *run
	number           int
	key              uint64
	group            uint64 // 0: none
	class            int
	reconnecting     bool // it was moved, or its connection broke
	retries          int
	stayDuration     time.Duration
	notReading       bool // it has stopped reading for a while
	sendsBursts      bool
	visit            int // number of the latest connection; drops what belongs to an older one
	stopped          bool
	conn             *connEnd
	requestID        string
	established      bool
	lineCount        int
	lastReceived     time.Duration
	oldestUnanswered time.Duration // when the oldest unanswered line was sent; 0: none
	lastReplyLate    bool          // the latest answer missed the latency objective
	wantsConnection  bool          // from when it meant to connect, whether or not it could
}

// messageLatencyObjective is how soon a line should be answered.
const messageLatencyObjective = 60 * time.Millisecond

// meetsObjective says whether the client's lines are answered within the latency objective.
func (c *client) meetsObjective() bool {
	return !c.lastReplyLate && (c.oldestUnanswered == 0 || c.run.engine.now-c.oldestUnanswered <= messageLatencyObjective)
}

// connectAfter starts a new visit after a while.
func (c *client) connectAfter(after time.Duration) {
	c.visit++
	visit := c.visit
	c.run.engine.schedule(after, func() {
		if c.visit == visit && !c.run.closing && !c.stopped {
			c.wantsConnection = true
			c.connect()
		}
	})
}

// connect dials a relay of the load balancer's choice.
func (c *client) connect() {
	run := c.run
	r := run.loadBalancer.pickRelay()
	if r == nil {
		c.connectAfter(500 * time.Millisecond)
		return
	}
	visit := c.visit
	run.clientHost.dial(r.host, 2*time.Second, func(conn *connEnd) {
		switch {
		case conn == nil:
			c.connectAfter(run.engine.randomDuration(50*time.Millisecond, 400*time.Millisecond))
		case c.visit != visit || run.closing:
			conn.close()
		default:
			c.sendRequest(conn)
		}
	})
}

// sendRequest sends the request and waits for the answer up to the class's timeout. Some clients do not wait that long.
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

// requestIDMultiplier spreads the request ids, which are counted, over 64 bits.
const requestIDMultiplier = 0x9e3779b97f4a7c15

func (run *run) nextRequestID() int {
	run.lastRequestID++
	return run.lastRequestID
}

// requestLine is the client's OPEN line.
func (c *client) requestLine() string {
	class := c.run.classes[c.class]
	line := fmt.Sprintf("OPEN %s %016x c=%s,d=%d", c.requestID, c.key, class.name, class.timeout.Milliseconds())
	if c.group != 0 {
		line += fmt.Sprintf(",g=%016x", c.group)
	}
	if c.retries > 0 {
		line += ",r=1"
	}
	if c.reconnecting {
		line += ",again=1"
	}
	return line
}

// disconnect ends a connection from the client's side, sometimes with a reset.
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
	c.retries, c.reconnecting, c.wantsConnection = 0, false, false
	c.connectAfter(c.run.engine.randomDuration(200*time.Millisecond, 4*time.Second))
}

// reconnect connects again after a connection that broke, with a longer pause after several.
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

// readLines handles what has arrived.
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

// handleLine handles one line of the relay's; those of an established connection are handled by readLines, but
// for MOVE.
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
		run.engine.schedule(c.stayDuration, func() { c.disconnect(conn) })
		c.sendLines(conn)
	case "BYE": // served and ended at once
		run.count("served to its end")
		run.servedByClass[c.class]++
		conn.close()
		c.conn, c.wantsConnection = nil, false
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

// sendLines sends a line every two seconds, and notices a relay that has fallen silent.
func (c *client) sendLines(conn *connEnd) {
	if c.conn != conn || conn.closed {
		return
	}
	if !c.notReading && c.run.engine.now-c.lastReceived > 9*time.Second { // its relay has vanished
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
