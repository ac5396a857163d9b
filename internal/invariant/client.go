package invariant

import (
	"strconv"
	"strings"
	"time"
)

// ClientConn is the relay's side of a client's connection.
type ClientConn struct {
	checker    *Checker
	id         int
	relay      int
	restarts   int // of the relay
	process    int // of the relay
	acceptedAt time.Duration

	received         lineSplitter // from the client
	written          lineSplitter // by the relay
	request          *request
	pendingProbes    int  // probes without an answer
	probeRefused     bool // one was answered ERR
	firstLineRead    bool // the client sent a whole line that is no probe
	violatesProtocol bool // the client sent more before its answer, or what is no line of the protocol
	answered         bool
	answeredAt       time.Duration

	backend       *BackendConn   // of the session
	undelivered   []pendingBytes // the client's bytes that the backend has not got
	migrated      bool           // the client got MOVE
	ended         bool           // by the client
	endedAt       time.Duration
	closedByRelay bool
	blocked       bool // the client takes nothing
	blockedAt     time.Duration
}

// ClientAccepted reports a connection that a process of a relay has accepted.
func (c *Checker) ClientAccepted(id, relay, process int) *ClientConn {
	x := &ClientConn{checker: c, id: id, relay: relay, restarts: c.relays[relay].restarts, process: process, acceptedAt: c.now()}
	c.clientConns = append(c.clientConns, x)
	c.after(c.limits.FirstLineTimeout, x.checkFirstLine)
	return x
}

// checkFirstLine checks that a client that sent nothing whole in time has an answer.
func (x *ClientConn) checkFirstLine() {
	if x.firstLineRead || x.answered || x.probeRefused || x.pendingProbes > 0 {
		return
	}
	if x.open() && !x.ended && !x.checker.wasPaused(x.relay, x.acceptedAt) {
		x.checker.violated(RuleNoAnswer, "client %d said nothing whole and was told nothing", x.id)
	}
}

// open reports whether the relay has not closed the connection and its process still runs.
func (x *ClientConn) open() bool {
	return x.relayRuns() && !x.closedByRelay
}

// relayRuns reports whether the relay has run since the connection was accepted.
func (x *ClientConn) relayRuns() bool {
	r := &x.checker.relays[x.relay]
	return r.running && r.restarts == x.restarts
}

// ofThisProcess reports whether the relay's newest process accepted the connection.
func (x *ClientConn) ofThisProcess() bool {
	r := &x.checker.relays[x.relay]
	return r.restarts == x.restarts && r.process == x.process
}

// countsAsConnection reports whether a relay may count the connection in its metrics.
func (x *ClientConn) countsAsConnection() bool {
	if !x.open() || x.request == nil || x.request.class == nil {
		return false
	}
	return !x.answered || x.backend != nil
}

// blockedLately reports whether the client takes nothing, or did not a short time ago.
func (x *ClientConn) blockedLately() bool {
	return x.blocked || x.checker.now()-x.blockedAt < blockedGrace
}

// Received reports bytes that have arrived from the client.
func (x *ClientConn) Received(data []byte) {
	if x.backend != nil && !x.closedByRelay {
		x.undelivered = append(x.undelivered, pendingBytes{x.checker.now(), len(data)})
		x.backend.clientBytesReceived(data)
		return
	}
	hadFirstLine := x.firstLineRead
	x.received.feed(data, x.receivedLine)
	if x.firstLineRead && !x.answered && (hadFirstLine || len(x.received.partial) > 0) {
		x.violatesProtocol = true
	}
}

// receivedLine handles a line that comes before the session: probes and the request.
func (x *ClientConn) receivedLine(line string) {
	if x.firstLineRead {
		x.violatesProtocol = true
		return
	}
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	if words[0] == "PING" || words[0] == "STATS" {
		x.pendingProbes++
		return
	}
	x.firstLineRead = true
	c := x.checker
	r := &request{relay: x.relay, client: x}
	timeout := c.limits.FirstLineTimeout
	if len(words) == 4 && words[0] == "OPEN" {
		r.id = words[1]
		timeout = x.parseOptions(r, words[3], timeout)
		timeout = c.addRequest(r, timeout)
	}
	x.request = r
	r.deadline = c.now() + timeout + c.limits.AnswerSlack
	c.after(r.deadline-c.now()+time.Nanosecond, x.checkAnswered)
}

// parseOptions reads the options of an OPEN line and returns the client's timeout, or the given one if it
// states none.
func (x *ClientConn) parseOptions(r *request, options string, timeout time.Duration) time.Duration {
	c := x.checker
	seen := map[string]bool{}
	for _, option := range strings.Split(options, ",") {
		name, value, _ := strings.Cut(option, "=")
		x.violatesProtocol = x.violatesProtocol || seen[name]
		seen[name] = true
		switch name {
		case "c":
			r.class, r.maxAttempts = c.relays[x.relay].termsFor(value, c.now())
		case "d":
			if ms, err := strconv.Atoi(value); err == nil {
				timeout = time.Duration(ms) * time.Millisecond
			}
		}
	}
	return timeout
}

// addRequest makes a request known, unless its class or id does not allow that, and returns its timeout.
func (c *Checker) addRequest(r *request, timeout time.Duration) time.Duration {
	if r.class == nil || c.requests[r.id] != nil {
		return timeout
	}
	c.requests[r.id] = r
	c.Counts["request "+r.class.Name]++
	r.receivedAt = c.now()
	if total := r.class.TotalTimeout; total > 0 {
		timeout = min(timeout, total)
	}
	return timeout
}

// checkAnswered checks that the request has an answer by its deadline.
func (x *ClientConn) checkAnswered() {
	if !x.answered && x.open() && !x.ended && !x.checker.wasPaused(x.relay, x.acceptedAt) {
		x.checker.violated(RuleNoAnswer, "client %d's request %s has no answer in time", x.id, x.request.id)
	}
}

// ReceivedEnd reports that the client has ended its side of the connection.
func (x *ClientConn) ReceivedEnd(EndKind) {
	if x.ended {
		return
	}
	x.ended, x.endedAt = true, x.checker.now()
	if !x.answered && x.ofThisProcess() {
		x.checker.relays[x.relay].observed.Ambiguous++
	}
}

// SetBlocked reports that the client takes nothing, or does again.
func (x *ClientConn) SetBlocked(blocked bool) { x.blocked, x.blockedAt = blocked, x.checker.now() }

// Written reports bytes that the relay has written to the client.
func (x *ClientConn) Written(data []byte) {
	if x.backend != nil {
		x.backend.backendBytesDelivered(data, x)
		return
	}
	x.written.feed(data, x.writtenLine)
	if len(x.written.partial) > 0 && x.backend != nil { // what follows UP in the same write
		rest := x.written.partial
		x.written.partial = nil
		x.backend.backendBytesDelivered(rest, x)
	}
}

// writtenLine handles a line that comes before the session: answers to probes and the final answer.
func (x *ClientConn) writtenLine(line string) {
	c := x.checker
	word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	if x.answered {
		c.violated(RuleAfterAnswer, "client %d got %q after its final answer", x.id, line)
		return
	}
	if x.pendingProbes > 0 && (word == "PONG" || word == "ERR") { // ERR: no backend to be used yet, or too many probes
		x.probeAnswered(word)
		return
	}
	x.answered, x.answeredAt = true, c.now()
	x.countAnswer(word)
	c.Counts["answer "+word]++
	x.checkAnswerTime(word, line)
	if word == "UP" {
		x.establish(line, rest)
	}
}

// probeAnswered handles the answer to one of the client's probes.
func (x *ClientConn) probeAnswered(word string) {
	c := x.checker
	x.pendingProbes--
	x.probeRefused = x.probeRefused || word == "ERR"
	if word == "PONG" && c.relays[x.relay].drainedAt != 0 && c.relays[x.relay].restarts == x.restarts {
		c.violated(RuleDrained, "relay %d said yes to a probe though it is drained", x.relay)
	}
}

// countAnswer counts a final answer for what is observed of the relay.
func (x *ClientConn) countAnswer(word string) {
	if x.request == nil || x.request.class == nil || !x.ofThisProcess() {
		return
	}
	observed := &x.checker.relays[x.relay].observed
	switch class := x.request.class.Name; {
	case x.violatesProtocol || x.ended:
		observed.Ambiguous++
	case word == "UP":
		observed.Success[class]++
	case word == "BUSY":
		observed.Overload[class]++
	default:
		observed.Error[class]++
	}
}

// checkAnswerTime checks when a final answer came, and counts what was served and what was on time.
func (x *ClientConn) checkAnswerTime(word, line string) {
	c, r := x.checker, x.request
	if r == nil {
		return
	}
	if c.now() > r.deadline && !c.wasPaused(x.relay, x.acceptedAt) {
		c.violated(RuleLateAnswer, "client %d got %q %v late", x.id, line, c.now()-r.deadline)
	}
	if r.class == nil || word != "UP" && word != "BYE" {
		return
	}
	c.Counts["served "+r.class.Name]++
	if c.now()-r.receivedAt <= r.class.LatencyObjective {
		c.Counts["on time "+r.class.Name]++
	}
}

// establish joins the client with the backend that said the rest of this UP, which must have been said to it.
func (x *ClientConn) establish(line, rest string) {
	c := x.checker
	backend := c.sessions[rest]
	switch {
	case backend == nil:
		c.violated(RuleForged, "client %d got %q, which no backend said", x.id, line)
		backend = &BackendConn{checker: c, unknown: true}
	case backend.request == nil || backend.request.client != x:
		c.violated(RuleForged, "client %d got %q, said to another", x.id, line)
	case backend.client != nil:
		c.violated(RuleForged, "client %d got %q, already given", x.id, line)
	}
	x.backend, backend.client = backend, x
}

// WrittenEnd reports that the relay has ended its side of the connection.
func (x *ClientConn) WrittenEnd(EndKind) {
	c := x.checker
	if x.closedByRelay {
		return
	}
	x.closedByRelay = true
	c.clientConns = remove(c.clientConns, x)
	if !x.relayRuns() {
		return // its process was killed, and the system closed the connection
	}
	if !x.answered && !x.probeRefused && !x.ended {
		c.violated(RuleNoAnswer, "client %d was left without a word", x.id)
	}
	if x.backend != nil && !x.backend.unknown {
		x.checkCutOff()
	}
}

// checkCutOff checks that the relay did not end the session of a client whose backend answers.
func (x *ClientConn) checkCutOff() {
	c, b := x.checker, x.backend
	if x.migrated || x.ended || b.ended || b.violatesProtocol {
		return
	}
	if c.now()-b.heardAt < time.Second+c.limits.AnswerSlack && !x.blockedLately() {
		c.violated(RuleCutOff, "client %d was cut off without MOVE from a backend that answers", x.id)
	}
}
