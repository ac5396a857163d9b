package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// backendSession is one connection from a relay to a backend.
type backendSession struct {
	backend     *backend
	conn        *connEnd
	established bool
	opening     bool   // an OPEN is being processed
	unfinished  bool   // an answer has begun that never ends
	counted     bool   // included in the backend's sessionCount
	receipt     string // ID sent with UP and with every reply
	lineCount   int
	clientKey   uint64 // from the OPEN line
}

// readLines handles the lines that have arrived, then the end of the connection. It waits while a request is being
// processed.
func (s *backendSession) readLines() {
	for !s.opening && !s.backend.notReading {
		i := bytes.IndexByte(s.conn.received, '\n')
		if i < 0 {
			break
		}
		line := string(bytes.TrimRight(s.conn.received[:i], "\r\n"))
		s.conn.consume(i + 1)
		s.handleLine(line)
	}
	if s.conn.remoteEnd != session.NoEnd && !s.opening {
		s.releaseLoad()
		s.conn.close()
	}
}

// releaseLoad removes the session from the backend's count and, with a model, its load from the model.
func (s *backendSession) releaseLoad() {
	if !s.counted {
		return
	}
	b, id := s.backend, uint64(s.conn.id)
	s.counted = false
	b.sessionCount--
	if b.model == nil {
		return
	}
	b.run.loadRecorder.ConnectionClosed(b.engine.now-epoch, id)
	b.model.CloseConnection(b.engine.now, id)
	b.scheduleModel()
}

// writeLine writes a line with its line break.
func (s *backendSession) writeLine(line string) { s.conn.write([]byte(line+"\r\n"), func(bool) {}) }

// handleLine answers a line from the relay.
func (s *backendSession) handleLine(line string) {
	b := s.backend
	const healthCheckTime = 100 * time.Microsecond
	switch {
	case s.established:
		s.echo(line)
	case line == "PING":
		b.afterServiceTime(healthCheckTime, func() { s.writeLine("PONG") })
	case line == "STATS":
		b.run.count("probe")
		load := b.reportedLoad(float64(b.sessionCount) / b.run.nominalConnections * 0.4 * b.slowdown)
		b.afterServiceTime(healthCheckTime, func() { s.writeLine(fmt.Sprintf("PONG x0=%.3f", load)) })
	case len(line) > len("OPEN ") && strings.HasPrefix(line, "OPEN "):
		if words := strings.Fields(line); len(words) > 2 {
			s.clientKey, _ = strconv.ParseUint(words[2], 16, 64)
		}
		s.handleOpen()
	default:
		s.writeLine("SYNTAX")
		s.conn.closeWrite()
	}
}

// echo answers a client's line. One reply in ten is followed by a load report.
func (s *backendSession) echo(line string) {
	b := s.backend
	s.lineCount++
	number := s.lineCount
	latency := 100 * time.Microsecond
	if b.model != nil { // cancels what afterServiceTime multiplies by: the model already includes the slowdown
		modelled := b.model.MessageLatency(b.engine.now, b.run.options.Installation.LineWork)
		latency = time.Duration(float64(modelled) / b.slowdown / b.run.slowdown)
	}
	b.afterServiceTime(latency, func() {
		if b.answerDefect != fault.NoAnswerDefect || s.unfinished {
			s.spoilAnswer()
			return
		}
		s.writeLine(fmt.Sprintf("R %s %d %s", s.receipt, number, line))
		if b.engine.rng.IntN(10) == 0 {
			s.writeLine(fmt.Sprintf("LOAD %.2f", 0.5+b.engine.rng.Float64()))
		}
	})
}

// spoilAnswer sends an answer that has the backend's defect, unless one has begun already: it has no end to follow.
func (s *backendSession) spoilAnswer() {
	if s.unfinished {
		return
	}
	s.unfinished = true
	if s.backend.answerDefect == fault.OverlongAnswer {
		s.backend.run.count(fault.CountOverlongAnswers)
		s.conn.write(bytes.Repeat([]byte("y"), protocol.MaxLineLength), func(bool) {})
		return
	}
	s.backend.run.count(fault.CountUnfinishedAnswers)
	s.writeNextByte()
}

// writeNextByte writes one byte of an answer that never ends, and the next one after a while, until the relay closes the
// connection.
func (s *backendSession) writeNextByte() {
	const byteInterval = 100 * time.Millisecond
	if s.connClosed() {
		return
	}
	s.conn.write([]byte("y"), func(bool) {})
	s.backend.afterServiceTime(byteInterval, s.writeNextByte)
}

// handleOpen processes a request. The time grows with the number of sessions.
func (s *backendSession) handleOpen() {
	b := s.backend
	if b.model != nil {
		s.openOnModel()
		return
	}
	if b.overloadsCold() {
		return
	}
	s.opening, s.counted = true, true
	b.sessionCount++
	contention := 1 + float64(b.sessionCount)/(2*b.run.nominalConnections)
	b.afterServiceTime(time.Duration(float64(b.serviceTime)*contention), func() {
		s.opening = false
		if s.connClosed() {
			s.readLines()
			return
		}
		s.answerOpen()
	})
}

// openOnModel processes a request on the model.
func (s *backendSession) openOnModel() {
	b := s.backend
	installation := b.run.options.Installation
	s.opening = true
	b.submitWork(installation.SetupWork*(0.5+b.engine.rng.Float64()), func(rejected bool) {
		s.opening = false
		switch {
		case s.connClosed():
			s.readLines()
		case rejected || b.state != backendReady:
			s.writeLine("BUSY")
			s.conn.closeWrite()
		default:
			s.holdLoad(installation.ConnectionLoad * (0.5 + b.engine.rng.Float64()))
			s.answerOpen()
		}
	})
}

func (s *backendSession) connClosed() bool {
	return s.conn.remoteEnd != session.NoEnd || s.conn.closed
}

// holdLoad adds the load of an established connection to the model.
func (s *backendSession) holdLoad(load float64) {
	b, id := s.backend, uint64(s.conn.id)
	s.counted = true
	b.sessionCount++
	b.model.SetConnection(b.engine.now, id, load, 0)
	b.run.loadRecorder.ConnectionOpened(id, loadstats.Connection{
		Key: s.clientKey, Backend: b.id, Load: load, Opened: b.engine.now - epoch,
	})
}

// answerOpen answers a request that has been processed.
func (s *backendSession) answerOpen() {
	b := s.backend
	rng := b.engine.rng
	closes := true
	switch p := rng.Float64(); {
	case b.state != backendReady:
		if rng.IntN(3) == 0 {
			s.writeLine("MOVE")
		} else {
			s.writeLine("BUSY")
		}
	case p < b.errorRate:
		s.writeLine("ERR")
	case p < b.errorRate+b.busyRate:
		s.writeLine("BUSY")
	case p < b.errorRate+b.busyRate+b.resetRate:
		s.releaseLoad()
		s.conn.reset()
		return
	case p < b.errorRate+b.busyRate+b.resetRate+b.earlyEndRate:
		s.writeLine("BYE")
	default:
		closes = false
		b.receiptCount++
		s.receipt = fmt.Sprintf("%d-%d-%d", b.id, b.incarnation, b.receiptCount)
		s.established = true
		s.writeLine("UP " + s.receipt)
		s.scheduleClose()
	}
	if closes {
		s.releaseLoad()
		s.conn.closeWrite()
	}
	s.readLines()
}

// scheduleClose ends one connection in twelve from the backend's side, a quarter of those with a reset.
func (s *backendSession) scheduleClose() {
	b := s.backend
	if b.engine.rng.IntN(12) != 0 {
		return
	}
	b.afterServiceTime(b.engine.randomDuration(time.Second, 12*time.Second), func() {
		if s.conn.closed {
			return
		}
		if b.engine.rng.IntN(4) == 0 {
			s.releaseLoad()
			s.conn.reset()
			return
		}
		s.writeLine("BYE")
		s.conn.closeWrite()
	})
}
