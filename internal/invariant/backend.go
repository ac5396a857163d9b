package invariant

import (
	"bytes"
	"strings"
	"time"
)

// moveLine is the relay's own line within a session.
const moveLine = "MOVE\r\n"

// BackendConn is the relay's side of a connection to a backend.
type BackendConn struct {
	checker  *Checker
	id       int
	relay    int
	restarts int // of the relay
	backend  int
	unknown  bool // made up by a relay, so that nothing can be checked of it

	written          lineSplitter // by the relay
	received         lineSplitter // from the backend
	openStarted      bool         // the relay sent the first byte of OPEN
	firstLineRead    bool         // the relay sent a whole OPEN line
	request          *request
	answer           string // the backend's first word; empty: none yet
	violatesProtocol bool   // by the backend

	client          *ClientConn    // of the session
	toClient        []byte         // the backend's bytes that the client has not got
	undelivered     []pendingBytes // and since when
	toBackend       []byte         // the client's bytes that the backend has not got
	midLine         bool           // the client got part of a line
	unansweredSince time.Duration  // of the client's first line without an answer; 0: there is none
	heardAt         time.Duration  // when bytes last came from the backend
	ended           bool           // by the backend
	endedAt         time.Duration
	closedByRelay   bool
	blocked         bool // the backend takes nothing
	blockedAt       time.Duration
}

// BackendConnected reports a connection that a relay has opened to a backend.
func (c *Checker) BackendConnected(id, relay, backend int) *BackendConn {
	b := &BackendConn{checker: c, id: id, relay: relay, restarts: c.relays[relay].restarts, backend: backend, heardAt: c.now()}
	c.backendConns = append(c.backendConns, b)
	return b
}

// blockedLately reports whether the backend takes nothing, or did not a short time ago.
func (b *BackendConn) blockedLately() bool {
	return b.blocked || b.checker.now()-b.blockedAt < blockedGrace
}

// Written reports bytes that the relay has written to the backend.
func (b *BackendConn) Written(data []byte) {
	if b.firstLineRead && b.answer != "" && b.client != nil {
		b.clientBytesDelivered(data)
		return
	}
	if !b.openStarted && data[0] == 'O' { // for drains the first byte of OPEN counts
		b.openStarted = true
		b.checkDrain()
	}
	b.written.feed(data, func(line string) {
		if !strings.HasPrefix(line, "OPEN ") || b.firstLineRead {
			return
		}
		b.firstLineRead = true
		b.checkAttempt(strings.Split(strings.TrimRight(line, "\r\n"), " "))
	})
}

// checkDrain checks that the backend accepts requests, as far as the relay can know.
func (b *BackendConn) checkDrain() {
	c, name := b.checker, b.checker.backends[b.backend].name
	closedAt, closed := c.closedSince(b.relay, name)
	if !closed {
		return
	}
	if c.now() > closedAt+c.limits.DrainGrace && !c.wasPaused(b.relay, closedAt) {
		c.violated(RuleDrain, "relay %d sent to %s %v after it was told to stop", b.relay, name, c.now()-closedAt)
		return
	}
	c.Counts["sent within a drain's grace"]++
}

// checkAttempt checks an OPEN line, given as its words.
func (b *BackendConn) checkAttempt(words []string) {
	c := b.checker
	if len(words) != 4 {
		c.violated(RuleForged, "a backend got %q", words)
		return
	}
	r := c.requests[words[1]]
	if r == nil || r.relay != b.relay {
		c.violated(RuleForged, "a backend got request %s, which no client sent there", words[1])
		return
	}
	b.request = r
	c.Counts["attempt"]++
	if relay := &c.relays[b.relay]; r.client.process == relay.process {
		relay.observed.Attempts++
	}
	c.Counts["attempt "+r.class.Name]++
	c.checkAttemptCount(r)
	b.checkAttemptTime(r)
	r.pending = b
	backend := &c.backends[b.backend]
	c.checkRepeat(r, backend)
	c.checkColdBackend(backend, b.relay)
}

// checkAttemptTime checks that the request waits for this attempt: no other one is pending, it has no answer, and
// its client is there.
func (b *BackendConn) checkAttemptTime(r *request) {
	c, x := b.checker, r.client
	if r.pending != nil {
		c.violated(RuleOverlap, "request %s was sent again while an attempt was out", r.id)
	}
	if x.answered && c.now()-x.answeredAt >= c.limits.ObservationDelay {
		c.violated(RuleAfterAnswer, "request %s was sent after its final answer", r.id)
	}
	if x.ended && c.now()-x.endedAt > c.limits.DepartureGrace && !c.wasPaused(b.relay, x.endedAt) {
		c.violated(RuleLeft, "request %s was sent %v after its client had left", r.id, c.now()-x.endedAt)
	}
}

// Received reports bytes that have arrived from the backend.
func (b *BackendConn) Received(data []byte) {
	b.heardAt = b.checker.now()
	if b.answer == "UP" {
		b.unansweredSince = 0
		b.expectAtClient(data)
		return
	}
	if b.request == nil {
		return // a health check's
	}
	b.received.feed(data, b.receivedLine)
	if b.answer == "UP" && len(b.received.partial) > 0 {
		b.expectAtClient(b.received.partial)
		b.received.partial = nil
	}
}

// receivedLine handles the backend's answer, and what follows it in the same read.
func (b *BackendConn) receivedLine(line string) {
	if b.answer != "" {
		if b.answer == "UP" {
			b.expectAtClient([]byte(line))
		}
		return
	}
	c := b.checker
	word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	b.answer = word
	c.Counts["backend said "+word]++
	if word == "UP" {
		c.sessions[rest] = b
	}
	b.attemptEnded(word != "BUSY")
}

// expectAtClient notes bytes that the client is to get.
func (b *BackendConn) expectAtClient(data []byte) {
	b.toClient = append(b.toClient, data...)
	b.undelivered = append(b.undelivered, pendingBytes{b.checker.now(), len(data)})
}

// attemptEnded notes the end of an attempt and whether it may have been executed.
func (b *BackendConn) attemptEnded(mayHaveExecuted bool) {
	r := b.request
	if r == nil || r.pending != b {
		return
	}
	r.pending = nil
	if mayHaveExecuted && r.executedBy == nil {
		r.executedBy, r.executedAt = b, b.checker.now()
	}
}

// ReceivedEnd reports that the backend has ended its side of the connection.
func (b *BackendConn) ReceivedEnd(kind EndKind) {
	if !b.ended {
		b.ended, b.endedAt = true, b.checker.now()
	}
	if kind == Reset {
		b.undelivered = nil // the relay loses what it had not read; what it had may still be delivered
	}
	b.attemptEnded(true)
}

// SetBlocked reports that the backend takes nothing, or does again.
func (b *BackendConn) SetBlocked(blocked bool) { b.blocked, b.blockedAt = blocked, b.checker.now() }

// WrittenEnd reports that the relay has ended its side of the connection.
func (b *BackendConn) WrittenEnd(EndKind) {
	if b.closedByRelay {
		return
	}
	b.closedByRelay = true
	b.checker.backendConns = remove(b.checker.backendConns, b)
	b.attemptEnded(true)
}

// clientBytesReceived notes bytes of the client that the backend is to get.
func (b *BackendConn) clientBytesReceived(data []byte) {
	if b.unansweredSince == 0 && bytes.IndexByte(data, '\n') >= 0 {
		b.unansweredSince = b.checker.now()
	}
	b.toBackend = append(b.toBackend, data...)
}

// clientBytesDelivered checks bytes that the backend gets in a session: they are the client's next ones.
func (b *BackendConn) clientBytesDelivered(data []byte) {
	c := b.checker
	if !bytes.HasPrefix(b.toBackend, data) {
		c.violated(RuleForged, "a backend got %q, which its client did not say", data)
		return
	}
	b.toBackend = b.toBackend[len(data):]
	if x := b.client; x != nil {
		excused := b.blockedLately() || c.wasPausedLately(b.relay)
		x.undelivered = c.checkDelivered(x.undelivered, len(data), excused, "a client's line")
	}
}

// backendBytesDelivered checks bytes that the client gets in a session: they are the backend's next ones, or
// the relay's MOVE between two lines.
func (b *BackendConn) backendBytesDelivered(data []byte, x *ClientConn) {
	c := b.checker
	if x.migrated {
		c.violated(RuleAfterAnswer, "client %d got %q after MOVE", x.id, data)
		return
	}
	if !bytes.HasPrefix(b.toClient, data) {
		b.relayBytesDelivered(data, x)
		return
	}
	b.midLine = data[len(data)-1] != '\n'
	b.toClient = b.toClient[len(data):]
	excused := x.blockedLately() || c.wasPausedLately(x.relay)
	b.undelivered = c.checkDelivered(b.undelivered, len(data), excused, "a backend's line")
}

// relayBytesDelivered checks bytes that the client gets and that its backend did not send.
func (b *BackendConn) relayBytesDelivered(data []byte, x *ClientConn) {
	c, isMove := b.checker, string(data) == moveLine
	switch {
	case isMove && b.midLine:
		c.violated(RuleMoveInLine, "client %d got MOVE within a line", x.id)
	case isMove:
		x.migrated = true
		c.Counts["moved"]++
	case !b.unknown:
		c.violated(RuleForged, "client %d got %q, its backend said %q", x.id, data, b.toClient)
	}
}
