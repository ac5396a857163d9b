package simulation

import (
	"time"

	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// readHandshake reads the lines before the request, which it answers, and the request itself.
func (d *sessionDriver) readHandshake() {
	if d.state != stateHandshake {
		return
	}
	for seen := 0; ; {
		if len(d.client.received) == seen {
			d.checkHandshakeEnd(seen)
			return
		}
		d.session.SetSettings(d.relay.controller.Settings())
		ready := d.relay.controller.Ready() || d.relay.run.hasMutation(MutationDrainedReportsReady)
		result, err := d.session.ReadHandshake(d.client.receivedAt, d.client.received, ready)
		switch {
		case err != nil:
			d.reject(err)
			return
		case result.Opened:
			d.openSession()
			return
		case result.Consumed == 0:
			seen = len(d.client.received)
			continue
		}
		d.client.consume(result.Consumed)
		d.client.write([]byte(result.Reply), func(bool) {})
	}
}

// checkHandshakeEnd checks whether the client has closed its side, or was evicted from the handshake pool.
func (d *sessionDriver) checkHandshakeEnd(unread int) {
	switch {
	case d.client.closed:
		d.state = stateClosed
	case d.client.remoteEnd != session.NoEnd:
		d.reject(d.session.HandshakeEnded(d.client.remoteEnd, unread))
	}
}

// reject answers an invalid request. If err is nil, the client has left without one and gets no answer.
func (d *sessionDriver) reject(err error) {
	if err == nil {
		d.state = stateClosed
		d.client.close()
		d.relay.handshakes.Remove(d.handshake)
		return
	}
	d.refuse(protocol.AnswerFailed)
}

// refuse sends a final answer and lingers: it reads what the client still sends, so that closing does not reset the
// connection before the client has read the answer.
func (d *sessionDriver) refuse(answer string) {
	d.state = stateLingering
	d.sendAnswer(answer)
	d.relay.handshakes.MarkAnswered(d.handshake)
	done := func() {
		if d.state == stateLingering {
			d.state = stateClosed
			d.client.close()
			d.relay.handshakes.Remove(d.handshake)
		}
	}
	d.client.onReadable = func() {
		if d.lingeredBytes < handshake.MaxLingerBytes {
			d.lingeredBytes += len(d.client.received)
			d.client.consume(len(d.client.received))
		}
		if d.client.remoteEnd != session.NoEnd { // otherwise the linger timeout ends it
			done()
		}
	}
	d.relay.engine.schedule(handshake.LingerTimeout, d.relay.whileRunning(done))
	d.client.notifyReadable()
}

// openSession admits a request, or refuses it if the relay is full.
func (d *sessionDriver) openSession() {
	r := d.relay
	if r.sessionCount >= r.sessionLimit {
		if !r.run.hasMutation(MutationRefusalsUncounted) {
			d.session.Refused()
		}
		d.refuse(r.busyAnswer())
		return
	}
	if !r.handshakes.Remove(d.handshake) {
		d.session.Refused()
		d.state = stateClosed
		return
	}
	r.sessionCount++
	d.session.Admitted()
	d.state = stateWaiting
	d.client.onReadable = d.watchClient
	r.post(func(now time.Duration) {
		r.sessions[d.session.Seq] = d
		r.controller.SessionOpened(now, d.session)
	})
	d.watchClient()
}
