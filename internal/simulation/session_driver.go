package simulation

import (
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// sessionState is the stage that a session has reached.
type sessionState int

const (
	stateHandshake   sessionState = iota // the request has not arrived
	stateLingering                       // refused; further bytes from the client are read and discarded
	stateWaiting                         // admitted; waits for a backend's answer
	stateEstablished                     // client and backend are connected
	stateClosing                         // waits for the client to close
	stateClosed
)

// sessionDriver connects one session to the simulated network, as the goroutines of a client connection do in
// package relay.
type sessionDriver struct {
	relay            *relay
	session          *session.Session
	client           *connEnd
	handshake        *handshake.Connection
	state            sessionState
	lastCommandAt    time.Duration // keeps commands in order
	clientDone       bool          // the client has left, or sent more than its request before the answer
	lingeredBytes    int
	attempt          *attemptDriver
	backend          *connEnd
	upstreamBusy     bool
	downstreamBusy   bool
	idleCheckPending bool
	moveInsideLine   bool // mutation: MOVE is sent in the middle of the next line
	answerDelayed    bool // mutation: the answer has not been sent yet
}

// sendAnswer sends the final answer and closes the relay's side.
func (d *sessionDriver) sendAnswer(answer string) {
	if d.relay.run.hasMutation(MutationLostAnswer) && answer == protocol.AnswerFailed {
		answer = ""
	}
	if d.relay.run.hasMutation(MutationLateAnswer) && d.state == stateWaiting {
		lateness := d.relay.controller.Settings().AnswerSlack + mutationSlack
		d.answerDelayed = true
		d.relay.engine.schedule(d.session.ArrivedAt+d.session.Timeout()+lateness-d.relay.engine.now, d.relay.whileRunning(func() {
			d.writeLastLine(answer)
			d.awaitClientClose()
		}))
		return
	}
	d.writeLastLine(answer)
	if d.relay.run.hasMutation(MutationSecondAnswer) && answer != "" {
		d.client.writeClosed = false
		d.writeLastLine(answer)
	}
}

// writeLastLine writes the last line, unless it is empty, and closes the relay's side.
func (d *sessionDriver) writeLastLine(line string) {
	if line != "" {
		d.client.write([]byte(line), func(bool) {})
	}
	d.client.closeWrite()
}

// watchClient detects a client that closes the connection, or sends more than its request, before it has an answer.
func (d *sessionDriver) watchClient() {
	requestLength := d.session.Open.Len()
	if d.clientDone || d.state != stateWaiting || len(d.client.received) <= requestLength && d.client.remoteEnd == session.NoEnd {
		return
	}
	d.clientDone = true
	sentMore := len(d.client.received) > requestLength
	handOff := d.relay.handOff
	if d.relay.run.hasMutation(MutationLateClientClose) {
		handOff = func(do func()) { d.relay.engine.schedule(400*time.Millisecond, d.relay.whileRunning(do)) }
	}
	handOff(func() {
		switch {
		case d.state == stateWaiting:
			d.perform(d.session.ClientClosed(sentMore))
			if d.relay.run.hasMutation(MutationAbandonedStayCounted) {
				d.session.Admitted()
			}
		case d.state == stateEstablished && sentMore:
			d.closeBackend(d.session.ClientEnded(session.EndReset))
		case d.state == stateEstablished:
			d.closeBackend(d.session.ClientEnded(d.client.remoteEnd))
		}
	})
}

// handleCommand executes a command of the controller.
func (d *sessionDriver) handleCommand(command session.Command) {
	if d.state != stateWaiting {
		return
	}
	if d.relay.run.hasMutation(MutationOverlappingAttempts) && command.Backend != nil && d.attempt == nil {
		d.perform(d.session.Execute(d.relay.engine.now, command))
		if d.attempt != nil {
			second := &attemptDriver{driver: d, attempt: d.attempt.attempt}
			second.start()
		}
		return
	}
	d.perform(d.session.Execute(d.relay.engine.now, command))
}

// perform carries out the actions that the session returns.
func (d *sessionDriver) perform(actions session.Actions) {
	if actions.CancelAttempt && d.attempt != nil {
		d.attempt.cancel()
	}
	if actions.Answer != "" {
		d.sendAnswer(actions.Answer)
	}
	if actions.Attempt != nil {
		d.attempt = &attemptDriver{driver: d, attempt: actions.Attempt}
		d.attempt.start()
	}
	d.postEvent(actions.Event)
	if d.state == stateWaiting && !d.session.AwaitsCommands() && !d.answerDelayed {
		d.awaitClientClose()
	}
}

// postEvent passes an event of the session on to the controller.
func (d *sessionDriver) postEvent(event session.Event) {
	r := d.relay
	if event.Kind == session.NoEvent {
		return
	}
	cancelled := event.Kind == session.AttemptEnded && event.Result.Status == balance.StatusCancelled
	if cancelled && r.run.hasMutation(MutationLoadMiscounted) {
		event.Result.Attempt++ // no attempt that the balancer has recorded
	}
	r.post(func(now time.Duration) { r.controller.SessionEvent(now, d.session.Seq, event) })
}

// awaitClientClose waits until the client closes, up to the close timeout.
func (d *sessionDriver) awaitClientClose() {
	d.state = stateClosing
	d.client.onReadable = func() {
		d.client.consume(len(d.client.received))
		if d.client.remoteEnd != session.NoEnd {
			d.closeClient()
		}
	}
	d.relay.engine.schedule(session.CloseTimeout, d.relay.whileRunning(d.closeClient))
	if d.client.closed {
		d.closeClient()
		return
	}
	d.client.notifyReadable()
}

// closeClient ends a session that waits for its client to close, and reports that to the controller.
func (d *sessionDriver) closeClient() {
	if d.state != stateClosing {
		return
	}
	d.state = stateClosed
	d.client.close()
	r := d.relay
	r.sessionCount--
	if r.run.hasMutation(MutationSessionLeak) {
		return
	}
	r.post(func(now time.Duration) {
		delete(r.sessions, d.session.Seq)
		r.controller.SessionClosed(now, d.session.Seq)
	})
}

// attemptDone handles the end of an attempt; after a success the session is established.
func (d *sessionDriver) attemptDone(attempt *attemptDriver, failure *session.AttemptError) {
	if attempt != d.attempt || d.state != stateWaiting {
		if attempt.conn != nil {
			attempt.conn.close()
		}
		return
	}
	d.attempt = nil
	actions := d.session.AttemptDone(d.relay.engine.now, attempt.attempt, failure)
	if actions.CloseBackend {
		attempt.conn.close()
	}
	if !actions.Establish {
		d.perform(actions)
		return
	}
	d.state, d.backend = stateEstablished, attempt.conn
	d.client.consume(d.session.Open.Len())
	up := attempt.upLine
	if d.relay.run.hasMutation(MutationForgedUp) {
		up = []byte("UP made-up\r\n")
	}
	d.client.write(up, func(bool) {})
	d.postEvent(actions.Event)
	d.client.onReadable, d.backend.onReadable = d.forwardUpstream, d.forwardDownstream
	if !d.clientDone {
		d.forwardUpstream()
	}
	d.forwardDownstream()
}
