package controller

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/upstream"
)

// connectionLoadScale converts the connection load in a LOAD line to the unit of balance.SignalConnectionLoad.
const connectionLoadScale = 1000

// DuplicateIDError reports an OPEN line whose ID belongs to another open session.
type DuplicateIDError struct{ ID uint64 }

func (e *DuplicateIDError) Error() string { return fmt.Sprintf("id %016x is in use", e.ID) }

// SessionOpened handles a session whose OPEN line is complete.
func (c *Controller) SessionOpened(now time.Duration, opened *session.Session) {
	c.deliver(now, func() { c.sessionOpened(opened) })
}

func (c *Controller) sessionOpened(opened *session.Session) {
	defer c.answerAfterPanic(opened.Seq)
	record := &sessionRecord{
		sequence: opened.Seq,
		id:       opened.Open.ID,
		class:    opened.Open.Request.Class,
		resumed:  len(opened.Open.Holder) > 0,
	}
	if c.shutdown.finished { // a request that arrives now would never be answered otherwise
		c.driver.SendCommand(record.sequence, session.Command{Answer: protocol.BusyAnswer(session.RetryAfter(c.settings))})
		return
	}
	if err := c.checkOpening(record, opened.Open.Request.MidStream); err != nil {
		c.rejectClient(record.sequence, err)
		return
	}
	c.sessions.add(record)
	if !c.mustWait(record, opened) {
		c.admitRequest(record, opened)
	}
}

// admitRequest passes a session's request to the balancer.
func (c *Controller) admitRequest(record *sessionRecord, opened *session.Session) {
	request := opened.Open.Request
	request.ID = record.sequence
	request.TimeLeft = c.timeLeft(opened)
	if record.resumed {
		c.adoptSession(record, request, opened.Open.Holder)
		return
	}
	c.requestArrived(record, request)
}

// rejectClient answers a client that has violated the protocol.
func (c *Controller) rejectClient(sequence uint64, err error) {
	c.driver.ReportClientError(sequence, err)
	c.driver.SendCommand(sequence, session.Command{Answer: protocol.AnswerFailed})
}

// answerAfterPanic answers a client whose request made the balancer panic, and passes the panic on.
func (c *Controller) answerAfterPanic(sequence uint64) {
	if p := recover(); p != nil {
		c.driver.SendCommand(sequence, session.Command{Answer: protocol.AnswerFailed})
		panic(p)
	}
}

// checkOpening refuses an ID that is in use, since the answers of the two sessions could not be distinguished, and a
// session that can no longer be resumed: sessions from before the start are all resumed before any new one opens.
// Resuming a session may take up to session.ResumeTimeout, more than half a minute, and for that time a client that asks
// for it later would occupy a session slot. A connection that moves here mid-stream has the ID that it had before: the
// predecessor holds it until the end of that process is noticed (mustWait), or its session here has ended lately.
func (c *Controller) checkOpening(record *sessionRecord, midStream bool) error {
	other := c.sessions.ended.has(c.now, record.id) || c.requestIDs.ledger.HeldByPredecessor(record.id)
	if c.sessions.byID[record.id] != nil || other && !midStream {
		return &DuplicateIDError{record.id}
	}
	if record.resumed && (c.sessions.newSessionSeen || c.now-c.startedAt > session.ResumeTimeout) {
		return session.ErrNotResumable
	}
	return nil
}

// timeLeft returns the time until a request's deadline. During a shutdown it is limited to the time until the answer
// deadline or, once that has passed, until the end of the relay.
func (c *Controller) timeLeft(opened *session.Session) time.Duration {
	left := max(0, opened.Open.Timeout-(c.now-opened.ArrivedAt))
	end := c.shutdown.answerDeadline
	if end == 0 {
		return left
	}
	if c.now >= end { // in pass-through mode open sessions keep the relay running beyond it
		end = c.shutdown.deadline
	}
	return max(0, min(left, end-c.now))
}

func (c *Controller) requestArrived(record *sessionRecord, request balance.Request) {
	route := c.config.Routes.Lookup(routing.Request{
		Class:    request.Class,
		Tenant:   request.Tenant,
		Zone:     c.settings.Zone,
		Protocol: routing.ProtocolLine,
		Group:    request.Group,
		Key:      request.Key,
	})
	if route != nil {
		record.retryPolicy = &route.RetryPolicy
		request.RetryPolicy = record.retryPolicy
	}
	c.sessions.unanswered++
	c.balancer.RequestArrived(c.now, request)
}

// adoptSession resumes a session at the backend that holds it.
func (c *Controller) adoptSession(record *sessionRecord, request balance.Request, holder []byte) {
	backend := c.endpoints.byID[discovery.BackendID(string(holder))]
	record.answered = true
	if backend == nil {
		c.log.Error("backend of a resumed session is not in the endpoint list", zap.ByteString("backend", holder))
		c.driver.SendCommand(record.sequence, session.Command{Answer: protocol.AnswerFailed})
		return
	}
	record.attempts, record.backend = 1, backend.Name
	c.balancer.SessionAdopted(c.now, request, backend.ID)
	c.driver.SendCommand(record.sequence, resumeCommand(backend, c.now))
}

func resumeCommand(backend *upstream.Backend, now time.Duration) session.Command {
	return session.Command{Backend: backend, Deadline: now + session.ResumeTimeout, Resume: true}
}

// SessionEvent handles an event of the session with a sequence number; events of closed sessions are dropped.
func (c *Controller) SessionEvent(now time.Duration, sequence uint64, event session.Event) {
	c.deliver(now, func() {
		if record := c.sessions.bySequence[sequence]; record != nil {
			c.handleSessionEvent(record, event)
		}
	})
}

func (c *Controller) handleSessionEvent(record *sessionRecord, event session.Event) {
	if record.wait != notWaiting {
		if event.Kind == session.ClientLeft {
			c.abandonWait(record)
		}
		return
	}
	switch event.Kind {
	case session.ClientLeft:
		c.sessions.markAnswered(record)
		c.balancer.ClientClosed(c.now, record.sequence)
	case session.Established:
		c.sessions.markAnswered(record)
		c.log.Debug("session established", zap.Uint64("flow", record.sequence), zap.String("backend", record.backend), zap.Int("class", record.class))
		c.balancer.AttemptSucceeded(c.now, event.Result)
	case session.LoadReported:
		c.log.Debug("load reported", zap.Uint64("flow", record.sequence), zap.String("backend", record.backend), zap.Float64("load", event.Load))
		c.loadReported(record, event.Load)
	case session.AttemptEnded:
		c.attemptEnded(record, event.Result)
	}
}

func (c *Controller) attemptEnded(record *sessionRecord, result balance.AttemptResult) {
	record.attemptsEnded++
	result.Closed = result.Closed || record.resumed
	c.log.Debug("attempt finished", zap.Uint64("flow", record.sequence), zap.String("backend", record.backend), zap.Uint8("status", uint8(result.Status)))
	c.balancer.AttemptEnded(c.now, result)
	if record.resumed && result.Status != balance.StatusOK {
		c.driver.SendCommand(record.sequence, session.Command{Answer: protocol.AnswerFailed}) // no effect once established
	}
}

// loadReported passes the value of a LOAD line to the balancer as the signal that the settings specify. A message delay
// in milliseconds, read as a connection's load, would raise the tracked load of the slow backend by orders of magnitude.
func (c *Controller) loadReported(record *sessionRecord, value float64) {
	if !c.settings.ReportsMessageDelay {
		c.balancer.LoadReported(c.now, record.sequence, balance.SignalConnectionLoad, value*connectionLoadScale)
		return
	}
	if !c.messageDelayReported {
		c.messageDelayReported = true
		c.log.Info("backends report message delay", zap.String("first", record.backend))
		c.balancer.UpdateSettings(c.effectiveSettings())
	}
	c.balancer.LoadReported(c.now, record.sequence, balance.SignalMessageDelay, value)
}

// SessionClosed removes a session and reports to the balancer what the driver could not report any more, because a
// command arrived too late or the session's goroutine panicked.
func (c *Controller) SessionClosed(now time.Duration, sequence uint64) {
	c.deliver(now, func() {
		if record := c.sessions.bySequence[sequence]; record != nil {
			c.sessionClosed(record)
		}
	})
}

func (c *Controller) sessionClosed(record *sessionRecord) {
	c.sessions.remove(record)
	c.releaseID(record.id)
	if record.attempts > 0 {
		c.sessions.ended.add(c.now, record.id)
	}
	if record.wait != notWaiting {
		c.abandonWait(record)
		return
	}
	if !record.answered {
		c.sessions.markAnswered(record)
		c.balancer.ClientClosed(c.now, record.sequence)
	}
	if record.attemptsEnded < record.attempts {
		abandoned := balance.AttemptResult{ID: record.sequence, Attempt: record.attempts - 1, Status: balance.StatusAbandoned, Closed: true}
		c.balancer.AttemptEnded(c.now, abandoned)
	}
}
