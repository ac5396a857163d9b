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
	restarts   int  // of the relay, when the connection was accepted
	process    int  // of the relay that accepted it
	killed     bool // the process that accepted it was killed, while another process of the relay runs on
	acceptedAt time.Duration

	received          lineSplitter // from the client
	written           lineSplitter // by the relay
	request           *request
	pendingProbes     int  // probes without an answer
	probeRefused      bool // a probe was answered with ERR
	firstLineReceived bool // the client sent a whole line other than a probe
	violatesProtocol  bool // the client sent data between its request and the answer, or repeated an option of OPEN
	answered          bool
	answeredAt        time.Duration

	backend       *BackendConn   // of the session
	undelivered   []pendingBytes // the client's bytes that have not reached the backend
	migrated      bool           // the client got MOVE
	ended         bool           // by the client
	endedAt       time.Duration
	closedByRelay bool
	blocked       bool          // the client is not reading
	blockedAt     time.Duration // last change of blocked, or last overdue delay reported
}

// ClientAccepted reports a connection that the given process of a relay has accepted.
func (c *Checker) ClientAccepted(id, relay, process int) *ClientConn {
	client := &ClientConn{checker: c, id: id, relay: relay, restarts: c.relays[relay].restarts, process: process, acceptedAt: c.now()}
	c.clientConns = append(c.clientConns, client)
	c.after(c.limits.FirstLineTimeout, client.checkFirstLine)
	return client
}

// checkFirstLine checks that a client that sent no whole line in time has an answer.
func (client *ClientConn) checkFirstLine() {
	if client.firstLineReceived || client.answered || client.probeRefused || client.pendingProbes > 0 {
		return
	}
	if client.open() && !client.ended && !client.checker.wasPaused(client.relay, client.acceptedAt) {
		client.checker.reportViolation(RuleNoAnswer, "client %d sent no whole line and got no answer", client.id)
	}
}

// open reports whether the relay has not closed the connection and its process still runs.
func (client *ClientConn) open() bool {
	return client.relayRuns() && !client.closedByRelay
}

// relayRuns reports whether the process that accepted the connection has been running since.
func (client *ClientConn) relayRuns() bool {
	r := &client.checker.relays[client.relay]
	return r.running && r.restarts == client.restarts && !client.killed
}

// ProcessKilled reports that the process that accepted the connection is being killed while another process of the relay
// runs on, as in a hot restart. The connections of that one are not excused.
func (client *ClientConn) ProcessKilled() { client.killed = true }

// acceptedByNewestProcess reports whether the relay's newest process accepted the connection.
func (client *ClientConn) acceptedByNewestProcess() bool {
	r := &client.checker.relays[client.relay]
	return r.restarts == client.restarts && r.process == client.process
}

// countsAsConnection reports whether a relay may count the connection in its metrics.
func (client *ClientConn) countsAsConnection() bool {
	if !client.open() || client.request == nil || client.request.class == nil {
		return false
	}
	return !client.answered || client.backend != nil
}

// recentlyBlocked reports whether the client is not reading, or was not reading at some time within the last blockedGrace.
func (client *ClientConn) recentlyBlocked() bool {
	return client.blocked || client.checker.now()-client.blockedAt < blockedGrace
}

// Received reports bytes that have arrived from the client.
func (client *ClientConn) Received(data []byte) {
	if client.backend != nil && !client.closedByRelay {
		client.undelivered = appendPending(client.undelivered, client.checker.now(), data)
		client.backend.clientBytesReceived(data)
		return
	}
	hadFirstLine := client.firstLineReceived
	client.received.feed(data, client.receivedLine)
	if client.firstLineReceived && !client.answered && (hadFirstLine || len(client.received.partial) > 0) {
		client.violatesProtocol = true
	}
}

// receivedLine handles a line that the client sends before the session: a probe or the request.
func (client *ClientConn) receivedLine(line string) {
	if client.firstLineReceived {
		client.violatesProtocol = true
		return
	}
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	if words[0] == "PING" || words[0] == "STATS" {
		client.pendingProbes++
		return
	}
	client.firstLineReceived = true
	c := client.checker
	r := &request{relay: client.relay, client: client}
	timeout := c.limits.FirstLineTimeout
	if len(words) == 4 && words[0] == "OPEN" {
		r.id = words[1]
		timeout = client.parseOptions(r, words[3], timeout)
		timeout = c.addRequest(r, timeout)
	}
	client.request = r
	r.deadline = c.now() + timeout + c.limits.AnswerSlack
	c.after(r.deadline-c.now()+time.Nanosecond, client.checkAnswered)
}

// parseOptions reads the options of an OPEN line and returns the client's timeout, or the given one if the line
// states none.
func (client *ClientConn) parseOptions(r *request, options string, timeout time.Duration) time.Duration {
	c := client.checker
	seen := map[string]bool{}
	for _, option := range strings.Split(options, ",") {
		name, value, _ := strings.Cut(option, "=")
		client.violatesProtocol = client.violatesProtocol || seen[name]
		seen[name] = true
		switch name {
		case "c":
			r.class, r.maxAttempts = c.relays[client.relay].policyFor(value, c.now())
		case "d":
			if ms, err := strconv.Atoi(value); err == nil {
				timeout = time.Duration(ms) * time.Millisecond
			}
		}
	}
	return timeout
}

// addRequest registers a request, unless its class is unknown or its id is taken, and returns its timeout.
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
func (client *ClientConn) checkAnswered() {
	if !client.answered && client.open() && !client.ended && !client.checker.wasPaused(client.relay, client.acceptedAt) {
		client.checker.reportViolation(RuleNoAnswer, "client %d got no answer to request %s by its deadline", client.id, client.request.id)
	}
}

// ReceivedEnd reports that the client has ended its side of the connection.
func (client *ClientConn) ReceivedEnd(EndKind) {
	if client.ended {
		return
	}
	client.ended, client.endedAt = true, client.checker.now()
	if !client.answered && client.acceptedByNewestProcess() {
		client.checker.relays[client.relay].observed.Ambiguous++
	}
}

// SetBlocked reports that the client has stopped reading or reads again.
func (client *ClientConn) SetBlocked(blocked bool) {
	client.blocked, client.blockedAt = blocked, client.checker.now()
}

// Written reports bytes that the relay has written to the client.
func (client *ClientConn) Written(data []byte) {
	if client.backend != nil {
		client.backend.backendBytesDelivered(data, client)
		return
	}
	client.written.feed(data, client.writtenLine)
	if len(client.written.partial) > 0 && client.backend != nil { // data that follows UP in the same write
		rest := client.written.partial
		client.written.partial = nil
		client.backend.backendBytesDelivered(rest, client)
	}
}

// writtenLine handles a line that the relay sends before the session: the answer to a probe or the final answer.
func (client *ClientConn) writtenLine(line string) {
	c := client.checker
	word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	if client.answered {
		c.reportViolation(RuleAfterAnswer, "client %d got %q after its final answer", client.id, line)
		return
	}
	if client.pendingProbes > 0 && (word == "PONG" || word == "ERR") { // ERR: no backend is available yet, or there are too many probes
		client.probeAnswered(word)
		return
	}
	client.answered, client.answeredAt = true, c.now()
	client.countAnswer(word)
	c.Counts["answer "+word]++
	client.checkAnswerTime(word, line)
	if word == "UP" {
		client.establish(line, rest)
	}
}

// probeAnswered handles the answer to one of the client's probes.
func (client *ClientConn) probeAnswered(word string) {
	c := client.checker
	client.pendingProbes--
	client.probeRefused = client.probeRefused || word == "ERR"
	if word == "PONG" && c.relays[client.relay].drainedAt != 0 && c.relays[client.relay].restarts == client.restarts {
		c.reportViolation(RuleDrained, "relay %d answered a probe with PONG while draining", client.relay)
	}
}

// countAnswer counts a final answer in the relay's Observed.
func (client *ClientConn) countAnswer(word string) {
	if client.request == nil || client.request.class == nil || !client.acceptedByNewestProcess() {
		return
	}
	observed := &client.checker.relays[client.relay].observed
	switch class := client.request.class.Name; {
	case client.violatesProtocol || client.ended:
		observed.Ambiguous++
	case word == "UP":
		observed.Success[class]++
	case word == "BUSY":
		observed.Overload[class]++
	default:
		observed.Error[class]++
	}
}

// checkAnswerTime checks a final answer against its deadline, and counts requests that were served and that were on time.
func (client *ClientConn) checkAnswerTime(word, line string) {
	c, r := client.checker, client.request
	if r == nil {
		return
	}
	if c.now() > r.deadline && !c.wasPaused(client.relay, client.acceptedAt) {
		c.reportViolation(RuleLateAnswer, "client %d got %q %v after its deadline", client.id, line, c.now()-r.deadline)
	}
	if r.class == nil || word != "UP" && word != "BYE" {
		return
	}
	c.Counts["served "+r.class.Name]++
	if c.now()-r.receivedAt <= r.class.LatencyObjective {
		c.Counts["on time "+r.class.Name]++
	}
}

// establish pairs the client with the backend that sent this UP, and checks that it was sent for this client.
func (client *ClientConn) establish(line, rest string) {
	c := client.checker
	backend := c.sessions[rest]
	switch {
	case backend == nil:
		c.reportViolation(RuleForged, "client %d got %q, which no backend sent", client.id, line)
		backend = &BackendConn{checker: c, unknown: true}
	case backend.request == nil || backend.request.client != client:
		c.reportViolation(RuleForged, "client %d got %q, which a backend sent for another client", client.id, line)
	case backend.client != nil:
		c.reportViolation(RuleForged, "client %d got %q, which was already delivered", client.id, line)
	}
	client.backend, backend.client = backend, client
}

// WrittenEnd reports that the relay has ended its side of the connection.
func (client *ClientConn) WrittenEnd(EndKind) {
	c := client.checker
	if client.closedByRelay {
		return
	}
	client.closedByRelay = true
	c.clientConns = remove(c.clientConns, client)
	if !client.relayRuns() {
		return // the process was killed, and the operating system closed the connection
	}
	if !client.answered && !client.probeRefused && !client.ended {
		c.reportViolation(RuleNoAnswer, "client %d was disconnected without an answer", client.id)
	}
	if client.backend != nil && !client.backend.unknown {
		client.checkCutOff()
	}
}

// checkCutOff checks that the relay did not end a session whose backend is responding.
func (client *ClientConn) checkCutOff() {
	c, b := client.checker, client.backend
	if client.migrated || client.ended || b.ended {
		return
	}
	if c.now()-b.lastReceivedAt < time.Second+c.limits.AnswerSlack && !client.recentlyBlocked() {
		c.reportViolation(RuleCutOff, "client %d was disconnected without MOVE from a backend that responds", client.id)
	}
}
