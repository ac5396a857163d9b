package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/session"
)

// backendSession is one connection of a relay's to a backend.
type backendSession struct {
	backend     *backend
	conn        *connEnd
	established bool
	opening     bool // an OPEN is being worked on
	counted     bool // among those that the machine works for
	receipt     string
	lineCount   int
	clientKey   uint64 // the client's
}

// readLines handles the lines that have arrived, unless a request is being worked on.
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

// releaseLoad ends what holdLoad has begun, and the count of connections without a model.
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

// writeLine writes a line.
func (s *backendSession) writeLine(line string) { s.conn.write([]byte(line+"\r\n"), func(bool) {}) }

// handleLine answers one line of the relay's.
func (s *backendSession) handleLine(line string) {
	b := s.backend
	const probeTime = 100 * time.Microsecond
	switch {
	case s.established:
		s.echo(line)
	case line == "PING":
		b.afterServiceTime(probeTime, func() { s.writeLine("PONG") })
	case line == "STATS":
		b.run.count("probe")
		load := b.reportedLoad(float64(b.sessionCount) / b.run.nominalConnections * 0.4 * b.slowdown)
		b.afterServiceTime(probeTime, func() { s.writeLine(fmt.Sprintf("PONG x0=%.3f", load)) })
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

// echo answers a client's line, now and then with a load report after it.
func (s *backendSession) echo(line string) {
	b := s.backend
	s.lineCount++
	number := s.lineCount
	latency := 100 * time.Microsecond
	if b.model != nil { // afterServiceTime multiplies by the slowdowns, which the model has counted in
		modelled := b.model.MessageLatency(b.engine.now, b.run.options.Installation.LineWork)
		latency = time.Duration(float64(modelled) / b.slowdown / b.run.slowdown)
	}
	b.afterServiceTime(latency, func() {
		s.writeLine(fmt.Sprintf("R %s %d %s", s.receipt, number, line))
		if b.engine.rng.IntN(10) == 0 {
			s.writeLine(fmt.Sprintf("LOAD %.2f", 0.5+b.engine.rng.Float64()))
		}
	})
}

// handleOpen works on a request. It takes longer the more the backend holds.
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
		if s.clientGone() {
			s.readLines()
			return
		}
		s.answerOpen()
	})
}

// openOnModel has the model work on a request.
func (s *backendSession) openOnModel() {
	b := s.backend
	installation := b.run.options.Installation
	s.opening = true
	b.submitWork(installation.SetupWork*(0.5+b.engine.rng.Float64()), func(rejected bool) {
		s.opening = false
		switch {
		case s.clientGone():
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

func (s *backendSession) clientGone() bool {
	return s.conn.remoteEnd != session.NoEnd || s.conn.closed
}

// holdLoad has the model bear the load of an established connection.
func (s *backendSession) holdLoad(load float64) {
	b, id := s.backend, uint64(s.conn.id)
	s.counted = true
	b.sessionCount++
	b.model.SetConnection(b.engine.now, id, load, 0)
	b.run.loadRecorder.ConnectionOpened(id, loadstats.Connection{
		Key: s.clientKey, Backend: b.id, Load: load, Opened: b.engine.now - epoch,
	})
}

// answerOpen answers a request that has been worked on.
func (s *backendSession) answerOpen() {
	b := s.backend
	rng := b.engine.rng
	ends := true
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
		ends = false
		b.receiptCount++
		s.receipt = fmt.Sprintf("%d-%d-%d", b.id, b.incarnation, b.receiptCount)
		s.established = true
		s.writeLine("UP " + s.receipt)
		s.scheduleClose()
	}
	if ends {
		s.releaseLoad()
		s.conn.closeWrite()
	}
	s.readLines()
}

// scheduleClose has some connections end from the backend's side.
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
