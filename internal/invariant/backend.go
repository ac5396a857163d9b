package invariant

import (
	"bytes"
	"strings"
	"time"
)

// moveLine is the only line that a relay itself sends within a session.
const moveLine = "MOVE\r\n"

// BackendConn is the relay's side of a connection to a backend.
type BackendConn struct {
	checker  *Checker
	id       int
	relay    int
	restarts int // of the relay, when the connection was opened
	backend  int
	unknown  bool // stands for the backend of a forged UP; its bytes are not checked

	written     lineSplitter // by the relay
	received    lineSplitter // from the backend
	openStarted bool         // the relay sent the first byte of OPEN
	openSent    bool         // the relay sent a whole OPEN line
	request     *request
	answer      string // first word of the backend's answer; empty: none yet

	client          *ClientConn    // of the session
	bytesForClient  []byte         // the backend's bytes that have not reached the client
	undelivered     []pendingBytes // lengths and times of the parts of bytesForClient
	bytesForBackend []byte         // the client's bytes that have not reached the backend
	midLine         bool           // the client got part of a line
	unansweredSince time.Duration  // the client's first line after the end of the backend's last line; 0: none
	lastReceivedAt  time.Duration  // when the backend last sent bytes
	ended           bool           // by the backend
	endedAt         time.Duration
	closedByRelay   bool
	blocked         bool          // the backend is not reading
	blockedAt       time.Duration // last change of blocked
}

// BackendConnected reports a connection that a relay has opened to a backend.
func (c *Checker) BackendConnected(id, relay, backend int) *BackendConn {
	b := &BackendConn{checker: c, id: id, relay: relay, restarts: c.relays[relay].restarts, backend: backend, lastReceivedAt: c.now()}
	c.backendConns = append(c.backendConns, b)
	return b
}

// recentlyBlocked reports whether the backend is not reading, or was not reading at some time within the last blockedGrace.
func (b *BackendConn) recentlyBlocked() bool {
	return b.blocked || b.checker.now()-b.blockedAt < blockedGrace
}

// Written reports bytes that the relay has written to the backend.
func (b *BackendConn) Written(data []byte) {
	if b.openSent && b.answer != "" && b.client != nil {
		b.clientBytesDelivered(data)
		return
	}
	if !b.openStarted && data[0] == 'O' { // for a drain's grace period the first byte of OPEN counts
		b.openStarted = true
		b.checkDrain()
	}
	b.written.feed(data, func(line string) {
		if !strings.HasPrefix(line, "OPEN ") || b.openSent {
			return
		}
		b.openSent = true
		b.checkAttempt(strings.Split(strings.TrimRight(line, "\r\n"), " "))
	})
}

// checkDrain checks that the backend accepts requests according to what the relay must have received from discovery.
func (b *BackendConn) checkDrain() {
	c, name := b.checker, b.checker.backends[b.backend].name
	notReadyAt, notReady := c.notReadySince(b.relay, name)
	if !notReady {
		return
	}
	if c.now() > notReadyAt+c.limits.DrainGrace && !c.wasPaused(b.relay, notReadyAt) {
		c.reportViolation(RuleDrain, "relay %d sent a request to %s %v after discovery reported it as not ready",
			b.relay, name, c.now()-notReadyAt)
		return
	}
	c.Counts["sent within a drain's grace"]++
}

// checkAttempt checks an OPEN line, which is passed split into words.
func (b *BackendConn) checkAttempt(words []string) {
	c := b.checker
	if len(words) != 4 {
		c.reportViolation(RuleForged, "a backend got an OPEN line of %d words, want 4: %q", len(words), words)
		return
	}
	r := c.requests[words[1]]
	if r == nil || r.relay != b.relay {
		c.reportViolation(RuleForged, "a backend got request %s, which no client sent to relay %d", words[1], b.relay)
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
	r.pendingAttempt = b
	backend := &c.backends[b.backend]
	c.checkRepeat(r, backend)
	c.checkColdBackend(backend, b.relay)
}

// checkAttemptTime checks that the request may be sent now: no other attempt is pending, it has no final answer, and
// its client has not left.
func (b *BackendConn) checkAttemptTime(r *request) {
	c, client := b.checker, r.client
	if r.pendingAttempt != nil {
		c.reportViolation(RuleOverlap, "request %s was sent again while an attempt was pending", r.id)
	}
	if client.answered && c.now()-client.answeredAt >= c.limits.ObservationDelay {
		c.reportViolation(RuleAfterAnswer, "request %s was sent after its final answer", r.id)
	}
	if client.ended && c.now()-client.endedAt > c.limits.DepartureGrace && !c.wasPaused(b.relay, client.endedAt) {
		c.reportViolation(RuleLeft, "request %s was sent %v after its client had left", r.id, c.now()-client.endedAt)
	}
}

// Received reports bytes that have arrived from the backend.
func (b *BackendConn) Received(data []byte) {
	b.lastReceivedAt = b.checker.now()
	if b.answer == "UP" {
		if bytes.IndexByte(data, '\n') >= 0 { // the bytes of an unfinished line bring the client nothing
			b.unansweredSince = 0
		}
		b.expectAtClient(data)
		return
	}
	if b.request == nil {
		return // connection of a health check
	}
	b.received.feed(data, b.receivedLine)
	if b.answer == "UP" && len(b.received.partial) > 0 {
		b.expectAtClient(b.received.partial)
		b.received.partial = nil
	}
}

// receivedLine handles the backend's answer, and lines that follow it in the same read.
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

// expectAtClient records bytes that the relay has to deliver to the client.
func (b *BackendConn) expectAtClient(data []byte) {
	b.bytesForClient = append(b.bytesForClient, data...)
	b.undelivered = appendPending(b.undelivered, b.checker.now(), data)
}

// attemptEnded records the end of an attempt and whether it may have been executed.
func (b *BackendConn) attemptEnded(mayHaveExecuted bool) {
	r := b.request
	if r == nil || r.pendingAttempt != b {
		return
	}
	r.pendingAttempt = nil
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
		b.undelivered = nil // bytes that the relay had not read are lost; bytes that it had read may still be delivered
	}
	b.attemptEnded(true)
}

// SetBlocked reports that the backend has stopped reading or reads again.
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

// clientBytesReceived records bytes of the client that the relay has to deliver to the backend.
func (b *BackendConn) clientBytesReceived(data []byte) {
	if b.unansweredSince == 0 && bytes.IndexByte(data, '\n') >= 0 {
		b.unansweredSince = b.checker.now()
	}
	b.bytesForBackend = append(b.bytesForBackend, data...)
}

// clientBytesDelivered checks that the bytes a backend gets in a session are the client's next ones.
func (b *BackendConn) clientBytesDelivered(data []byte) {
	c := b.checker
	if !bytes.HasPrefix(b.bytesForBackend, data) {
		c.reportViolation(RuleForged, "a backend got %q, which its client did not send", data)
		return
	}
	b.bytesForBackend = b.bytesForBackend[len(data):]
	if client := b.client; client != nil {
		excused := b.recentlyBlocked() || c.recentlyPaused(b.relay)
		client.undelivered = c.checkDelivered(client.undelivered, len(data), excused, "a client's line")
	}
}

// backendBytesDelivered checks that the bytes a client gets in a session are the backend's next ones, or the
// relay's MOVE between two lines.
func (b *BackendConn) backendBytesDelivered(data []byte, client *ClientConn) {
	c := b.checker
	if client.migrated {
		c.reportViolation(RuleAfterAnswer, "client %d got %q after MOVE", client.id, data)
		return
	}
	if !bytes.HasPrefix(b.bytesForClient, data) {
		b.relayBytesDelivered(data, client)
		return
	}
	b.midLine = data[len(data)-1] != '\n'
	b.bytesForClient = b.bytesForClient[len(data):]
	excused := client.recentlyBlocked() || c.recentlyPaused(client.relay)
	b.undelivered = c.checkDelivered(b.undelivered, len(data), excused, "a backend's line")
}

// relayBytesDelivered checks bytes that the client gets in a session and that its backend did not send.
func (b *BackendConn) relayBytesDelivered(data []byte, client *ClientConn) {
	c, isMove := b.checker, string(data) == moveLine
	switch {
	case isMove && b.midLine:
		c.reportViolation(RuleMoveInLine, "client %d got MOVE within a line", client.id)
	case isMove:
		client.migrated = true
		c.Counts["moved"]++
	case !b.unknown:
		c.reportViolation(RuleForged, "client %d got %q, its backend sent %q", client.id, data, b.bytesForClient)
	}
}
