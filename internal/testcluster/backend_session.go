package testcluster

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/protocol"
)

// serve accepts connections until the listener is closed.
func (b *backend) serve(l *net.TCPListener) {
	serveUntilClosed(b.cluster.ctx, func() error {
		c, err := l.AcceptTCP()
		if err != nil {
			return err
		}
		relay, number, ok := backendPair(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr())
		if !ok || number != b.index || relay >= len(b.cluster.relays) { // a connection made by blackhole, or from no relay
			_ = c.Close()
			return nil
		}
		go b.handleConnection(c, relay)
		return nil
	})
}

// session is one connection between a relay and a backend. Its fields are guarded by the backend's lock.
type session struct {
	backend       *backend
	conn          *relayConn
	observer      *invariant.BackendConn
	generation    int
	id            uint64
	disconnected  bool // the backend's machine is cut off the network
	opening       bool
	established   bool
	loadCounted   bool
	receipt       string
	request       string
	key           uint64
	midStream     bool // the request is for an open connection
	load          float64
	splitter      lineSplitter
	linesReceived int
	unfinished    bool // an answer has begun that never ends
}

// handleConnection serves a connection of a relay until it ends.
func (b *backend) handleConnection(c *net.TCPConn, relay int) {
	cluster := b.cluster
	relayNode, backendNode := node{fault.Relays, relay}, node{fault.Backends, b.index}
	delay, ok := cluster.links.connectDelay(relayNode, backendNode)
	if !ok {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	// Reading starts before the delay. If a line were reported to the checker only afterwards, the relay would appear to
	// have sent it for a client that has left since, or to a backend that is draining.
	s := &session{backend: b, id: cluster.connectionIDs.Add(1)}
	cluster.withChecker(func() { s.observer = cluster.checker.BackendConnected(int(s.id), relay, b.index) })
	s.conn = newRelayConn(cluster, c, relayNode, backendNode, s.observer)
	chunks := s.conn.startReading()
	ok = delay == 0 || sleepContext(cluster.ctx, delay)
	b.mu.Lock()
	if !ok || !b.up && !b.disconnected {
		b.mu.Unlock()
		s.conn.close(closedByReset)
		return
	}
	s.generation, s.disconnected = b.generation, b.disconnected
	b.sessions[s] = true
	b.mu.Unlock()
	cluster.countHandshake(relay, b.index)
	s.conn.deliver(chunks, func(chunk []byte) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.generation == s.generation && !s.disconnected {
			s.splitter.feed(chunk, s.handleLine)
		}
	})
	b.mu.Lock()
	s.endOrHold()
	disconnected := s.disconnected
	delete(b.sessions, s)
	b.mu.Unlock()
	cluster.removeAttempt(s)
	if !disconnected {
		s.conn.flush()
	}
	s.conn.close(closedCleanly)
}

// releaseLoad releases the load of a connection that has ended. It is called with the backend's lock held, as are the
// methods below.
func (s *session) releaseLoad() {
	if s.loadCounted {
		s.loadCounted = false
		c := s.backend.cluster
		c.withLoadRecorder(func(l *loadstats.Recorder) { l.ConnectionClosed(c.elapsed(), s.id) })
		if s.backend.generation == s.generation {
			s.backend.model.CloseConnection(c.now(), s.id)
			s.backend.scheduleCompletion()
		}
	}
}

// handleLine handles one line of the protocol.
func (s *session) handleLine(line string) {
	b, c := s.backend, s.backend.cluster
	switch {
	case s.established:
		s.linesReceived++
		n := s.linesReceived
		b.runAfter(b.model.MessageLatency(c.now(), c.options.Fleet.LineWork), func() {
			if b.answerDefect != fault.NoAnswerDefect || s.unfinished {
				s.spoilAnswer()
				return
			}
			s.conn.sendLine(fmt.Sprintf("R %s %d %s", s.receipt, n, line))
		})
	case line == "PING" || line == "STATS":
		c.countHealthCheck(s.conn.relay.index, b.index)
		answer := "PONG"
		if line == "STATS" {
			load := b.model.LoadReport(c.now())
			if b.errorRate > 0 {
				load = 0 // it fails requests immediately and has no load
			}
			answer = fmt.Sprintf("PONG x0=%.3f,errors_per_s=%.3f", load, b.failures.rate(c.now()))
		}
		b.runAfter(100*time.Microsecond, func() { s.conn.sendLine(answer) })
	case strings.HasPrefix(line, "OPEN ") && !s.opening:
		s.open(line)
	default:
		s.conn.sendLine("SYNTAX")
		s.conn.closeWrite()
	}
}

// spoilAnswer sends an answer that has the backend's defect, unless one has begun already: it has no end to follow.
func (s *session) spoilAnswer() {
	if s.unfinished {
		return
	}
	s.unfinished = true
	if s.backend.answerDefect == fault.OverlongAnswer {
		s.backend.cluster.incrementCount(fault.CountOverlongAnswers)
		s.conn.enqueue(outgoing{data: bytes.Repeat([]byte("y"), protocol.MaxLineLength)})
		return
	}
	s.backend.cluster.incrementCount(fault.CountUnfinishedAnswers)
	s.sendNextByte()
}

// sendNextByte sends one byte of an answer that never ends, and the next one after a while, until the connection ends.
func (s *session) sendNextByte() {
	const byteInterval = 100 * time.Millisecond
	if s.conn.ctx.Err() != nil {
		return
	}
	s.conn.enqueue(outgoing{data: []byte("y")})
	s.backend.runAfter(byteInterval, s.sendNextByte)
}

// open handles an OPEN request. The time until the answer depends on the load of the model.
func (s *session) open(line string) {
	b, c := s.backend, s.backend.cluster
	fields := strings.Fields(line)
	if len(fields) != 4 {
		s.conn.sendLine("SYNTAX")
		s.conn.closeWrite()
		return
	}
	s.request = fields[1]
	s.key, _ = strconv.ParseUint(fields[2], 16, 64)
	s.load, s.midStream = c.loadOf(fields[1]), isMidStream(fields[3])
	b.recordRequest(s.midStream)
	c.recordAttempt(s)
	s.opening = true
	if c.chance(b.errorRate) {
		b.failures.add(c.now())
		b.runAfter(500*time.Microsecond, func() { s.answer("ERR", true) })
		return
	}
	b.lastJob++
	jobID, generation := b.lastJob, b.generation
	switch b.model.Arrive(c.now(), emulator.Request{ID: jobID, Work: c.options.Fleet.SetupWork * (0.5 + c.randomFloat())}) {
	case emulator.Rejected:
		s.answer("BUSY", true)
	case emulator.Crashed:
		c.incrementCount("cold backend fell over")
		go b.crash()
	case emulator.Accepted, emulator.Queued:
		b.jobs[jobID] = func(full bool) {
			if b.generation == generation {
				s.completeOpen(full)
			}
		}
	}
	b.scheduleCompletion()
}

// completeOpen answers a request that the model has completed.
func (s *session) completeOpen(full bool) {
	b, c := s.backend, s.backend.cluster
	switch {
	case s.conn.ctx.Err() != nil:
	case full || b.state != "ready" || c.chance(b.busyRate):
		s.answer("BUSY", true)
	case c.chance(b.resetRate):
		s.conn.close(closedByReset)
	case s.midStream && !s.resumeFlow(): // another backend holds the connection, or none
		s.conn.close(closedByReset)
	default:
		s.countConnection()
		s.receipt = b.newReceipt()
		s.answer("UP "+s.receipt, false)
		b.scheduleCompletion()
	}
}

// answer sends the answer to a request. If final, the connection ends with it.
func (s *session) answer(line string, final bool) {
	s.opening, s.established = false, !final
	s.conn.sendLine(line)
	if final {
		s.conn.closeWrite()
	}
}
