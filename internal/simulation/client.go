package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/session"
)

// front deals connections out among the relays that it takes for good ones. It goes on
// sending to a relay that has died until it notices.
type loadBalancer struct {
	run     *run
	healthy []bool
}

// look asks a relay with PING until it answers, and from then on whether it still does.
func (lb *loadBalancer) checkRelay(r *relay) {
	engine := lb.run.engine
	r = lb.run.relays[r.number] // the process that takes who comes
	again := func(after time.Duration) { engine.schedule(after, func() { lb.checkRelay(r) }) }
	if lb.healthy[r.number] {
		if !r.up || r.shuttingDown {
			notice := engine.randomDuration(200*time.Millisecond, 2600*time.Millisecond)
			if r.up { // it is leaving, which is known sooner
				notice = engine.randomDuration(200*time.Millisecond, 400*time.Millisecond)
			}
			engine.schedule(notice, func() { lb.healthy[r.number] = false })
			again(3 * time.Second)
			return
		}
		if r.controller.Drained() {
			engine.schedule(engine.randomDuration(0, 200*time.Millisecond), func() { lb.healthy[r.number] = false })
		}
		again(200 * time.Millisecond)
		return
	}
	if r.shuttingDown { // its restart is planned: nobody asks it meanwhile
		again(100 * time.Millisecond)
		return
	}
	lb.run.clientHost.dial(r.host, time.Second, func(conn *connEnd) {
		if conn == nil {
			again(500 * time.Millisecond)
			return
		}
		over := false
		conn.onReadable = func() {
			if over || !bytes.Contains(conn.received, []byte("\n")) && conn.remoteEnd == session.NoEnd {
				return
			}
			over = true
			lb.healthy[r.number] = bytes.HasPrefix(conn.received, []byte("PONG")) && !r.shuttingDown
			conn.consume(len(conn.received))
			conn.close()
			again(300 * time.Millisecond)
		}
		engine.schedule(time.Second, func() {
			if !over {
				over = true
				conn.close()
				again(300 * time.Millisecond)
			}
		})
		conn.write([]byte("PING\r\n"), func(bool) {})
	})
}

// yes holds a relay that takes clients again to saying so within two seconds.
func (run *run) checkReadyAfterDrain(r *relay) {
	r = run.relays[r.number]
	life := r.incarnation
	run.engine.schedule(undrainDeadline, func() {
		if r.incarnation != life || !r.up || r.shuttingDown || r.controller.Drained() || run.closing {
			return
		}
		run.clientHost.dial(r.host, time.Second, func(conn *connEnd) {
			if conn == nil {
				return
			}
			conn.onReadable = func() {
				if bytes.Contains(conn.received, []byte("\n")) {
					if !bytes.HasPrefix(conn.received, []byte("PONG")) && r.controller.Ready() {
						run.reportViolation("drained", "%s says %q though it is drained no more", r.name, conn.received)
					}
					conn.close()
				}
			}
			conn.write([]byte("PING\r\n"), func(bool) {})
			run.engine.schedule(3*time.Second, conn.close)
		})
	})
}

// drainedNoMore is how long after the second call a relay has to say yes.
const undrainDeadline = 2 * time.Second

// pick is a relay for a new connection.
func (lb *loadBalancer) pickRelay() *relay {
	good := make([]*relay, 0, len(lb.healthy))
	for _, r := range lb.run.relays {
		if lb.healthy[r.number] {
			good = append(good, r)
		}
	}
	if len(good) == 0 {
		return nil
	}
	if f := lb.run.options.Installation; f != nil && f.HotRelayShare > 0 && lb.healthy[0] && lb.run.engine.rng.Float64() < f.HotRelayShare {
		return lb.run.relays[0]
	}
	return good[lb.run.engine.rng.IntN(len(good))]
}

type client struct {
	run              *run
	number           int
	key              uint64
	group            uint64
	class            int
	reconnecting     bool // it was moved, or its connection broke
	retries          int
	stayDuration     time.Duration
	notReading       bool // it stops reading for a while, once
	sendsBursts      bool // it sends much at once
	visit            int  // counts connections, so that what belongs to an older one is dropped
	stopped          bool
	conn             *connEnd
	requestID        string
	established      bool
	lineCount        int
	lastReceived     time.Duration
	oldestUnanswered time.Duration // when the oldest line without an answer went out; 0: none
	lastReplyLate    bool          // the last answer took longer than is wanted
	wantsConnection  bool          // a connection, now: from when it meant to have one, not from when it got to ask
}

// lineAim is how soon a line is to come back.
const messageLatencyObjective = 60 * time.Millisecond

// inTime says whether its lines come back as they should.
func (c *client) meetsObjective() bool {
	return !c.lastReplyLate && (c.oldestUnanswered == 0 || c.run.engine.now-c.oldestUnanswered <= messageLatencyObjective)
}

// come opens a connection, after a while.
func (c *client) connectAfter(after time.Duration) {
	c.visit++
	comes := c.visit
	c.run.engine.schedule(after, func() {
		if c.visit == comes && !c.run.closing && !c.stopped {
			c.wantsConnection = true
			c.connect()
		}
	})
}

func (c *client) connect() {
	run := c.run
	r := run.loadBalancer.pickRelay()
	if r == nil {
		c.connectAfter(500 * time.Millisecond)
		return
	}
	comes := c.visit
	run.clientHost.dial(r.host, 2*time.Second, func(conn *connEnd) {
		switch {
		case conn == nil:
			c.connectAfter(run.engine.randomDuration(50*time.Millisecond, 400*time.Millisecond))
			return
		case c.visit != comes || run.closing:
			conn.close()
			return
		}
		c.conn, c.established, c.lineCount, c.oldestUnanswered, c.lastReplyLate = conn, false, 0, 0, false
		run.lastRequestID++
		c.requestID = fmt.Sprintf("%016x", uint64(run.lastRequestID)*0x9e3779b97f4a7c15)
		patience := run.classes[c.class].timeout
		line := fmt.Sprintf("OPEN %s %016x c=%s,d=%d", c.requestID, c.key, run.classes[c.class].name, patience.Milliseconds())
		if c.group != 0 {
			line += fmt.Sprintf(",g=%016x", c.group)
		}
		if c.retries > 0 {
			line += ",r=1"
		}
		if c.reconnecting {
			line += ",again=1"
		}
		conn.onReadable = c.readLines
		conn.write([]byte(line+"\r\n"), func(bool) {})
		if run.engine.rng.IntN(40) == 0 { // impatient
			run.engine.schedule(run.engine.randomDuration(0, 300*time.Millisecond), func() { c.disconnect(conn) })
		}
		run.engine.schedule(patience+500*time.Millisecond, func() {
			if c.conn == conn && !c.established {
				run.count("client gave up")
				c.reconnect(conn)
			}
		})
	})
}

// breakOff ends a connection from this side, now and then without any manners.
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

// lost comes back after a connection that did not hold.
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

func (c *client) handleLine(conn *connEnd, line string) {
	run := c.run
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case !c.established && word == "UP":
		run.count("served")
		run.servedByClass[c.class]++
		c.established, c.retries, c.reconnecting = true, 0, false
		run.engine.schedule(c.stayDuration, func() { c.disconnect(conn) })
		c.sendLines(conn)
	case !c.established && word == "BYE":
		run.count("served to its end")
		run.servedByClass[c.class]++
		conn.close()
		c.conn, c.wantsConnection = nil, false
		c.connectAfter(run.engine.randomDuration(200*time.Millisecond, 2*time.Second))
	case !c.established && word == "BUSY":
		run.count("refused")
		wait := run.engine.randomDuration(100*time.Millisecond, 600*time.Millisecond)
		if ms, err := strconv.Atoi(rest); err == nil {
			wait = time.Duration(ms) * time.Millisecond
		}
		conn.close()
		c.conn = nil
		c.retries++
		c.connectAfter(wait)
	case !c.established:
		run.count("failed")
		c.reconnect(conn)
	case word == "MOVE":
		run.count("moved")
		c.reconnecting = true
		conn.close()
		c.conn = nil
		c.connectAfter(run.engine.randomDuration(20*time.Millisecond, 400*time.Millisecond))
	}
}

// talk sends a line every two seconds.
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

// bad plays one client that does not keep to the protocol.
func (run *run) startMisbehavingClient(kind int) {
	r := run.loadBalancer.pickRelay()
	if r == nil || run.closing {
		return
	}
	engine := run.engine
	run.count("bad client")
	run.clientHost.dial(r.host, 2*time.Second, func(conn *connEnd) {
		if conn == nil {
			return
		}
		conn.onReadable = func() {
			conn.consume(len(conn.received))
			if conn.remoteEnd != session.NoEnd {
				conn.close()
			}
		}
		say := func(text string) { conn.write([]byte(text), func(bool) {}) }
		run.lastRequestID++
		open := fmt.Sprintf("OPEN %016x %016x c=%s,d=900", run.lastRequestID, run.lastRequestID, run.classes[0].name)
		switch kind % 9 {
		case 0:
			say("HELLO\r\n")
		case 1:
			say(open[:20]) // and nothing more
		case 2:
			say(open[:30])
			conn.closeWrite()
		case 3:
			say(open + ",d=5\r\n")
		case 4:
			say(open + "\r\nand more\r\n")
		case 5:
			say(strings.Repeat("PING\r\n", 20))
		case 6:
			say(strings.Repeat("x", 5000))
		case 7: // silence
		case 8: // breaks off at once
			say(open + "\r\n")
			engine.schedule(engine.randomDuration(0, 5*time.Millisecond), conn.reset)
		}
		engine.schedule(6*time.Second, conn.close) // the run lets go for longer
	})
}
