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

// workMillisPerSecond converts the load of a connection, a share of one backend, to the balancer's unit: milliseconds
// of work a second.
const workMillisPerSecond = 1000

// DuplicateIDError is a session whose ID another open session has.
type DuplicateIDError struct{ ID uint64 }

func (e *DuplicateIDError) Error() string { return fmt.Sprintf("id %016x is in use", e.ID) }

// SessionOpened handles a session whose OPEN line is whole.
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
	if c.shutdown.finished { // what begins now would never end
		c.driver.SendCommand(record.sequence, session.Command{Answer: protocol.BusyAnswer(session.RetryAfter(c.settings))})
		return
	}
	if err := c.checkOpening(record); err != nil {
		c.driver.ReportClientError(record.sequence, err)
		c.driver.SendCommand(record.sequence, session.Command{Answer: protocol.AnswerFailed})
		return
	}
	c.sessions.add(record)
	request := opened.Open.Request
	request.ID = record.sequence
	request.TimeLeft = c.timeLeft(opened)
	if record.resumed {
		c.adoptSession(record, request, opened.Open.Holder)
		return
	}
	c.requestArrived(record, request)
}

// answerAfterPanic answers a client whose request made the balancer panic, and passes the panic on.
func (c *Controller) answerAfterPanic(sequence uint64) {
	if p := recover(); p != nil {
		c.driver.SendCommand(sequence, session.Command{Answer: protocol.AnswerFailed})
		panic(p)
	}
}

// checkOpening refuses an ID in use, whose two sessions' answers could not be told apart, and a session that can no
// longer be resumed: sessions from before the start are all resumed before any other opens, and to resume one may take
// half a minute, for which a client of any other time would hold its place.
func (c *Controller) checkOpening(record *sessionRecord) error {
	if c.sessions.byID[record.id] != nil {
		return &DuplicateIDError{record.id}
	}
	if record.resumed && (c.sessions.newSessionSeen || c.now-c.startedAt > session.ResumeTimeout) {
		return session.ErrNotResumable
	}
	return nil
}

// timeLeft returns the time until a request's deadline, cut to the time that a relay that is shutting down has.
func (c *Controller) timeLeft(opened *session.Session) time.Duration {
	left := max(0, opened.Open.Timeout-(c.now-opened.ArrivedAt))
	end := c.shutdown.answerDeadline
	if end == 0 {
		return left
	}
	if c.now >= end { // sessions that pass through keep the relay up beyond it
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

// SessionEvent handles an event of an open session, named by its sequence number; those of closed ones are dropped.
func (c *Controller) SessionEvent(now time.Duration, sequence uint64, event session.Event) {
	c.deliver(now, func() {
		if record := c.sessions.bySequence[sequence]; record != nil {
			c.handleSessionEvent(record, event)
		}
	})
}

func (c *Controller) handleSessionEvent(record *sessionRecord, event session.Event) {
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

// loadReported passes a LOAD line on as the signal that the settings promise. The milliseconds of a late message, taken
// for a connection's load, would raise the tracked load by orders of magnitude on the very backend that is late.
func (c *Controller) loadReported(record *sessionRecord, value float64) {
	if !c.settings.ReportsMessageDelay {
		c.balancer.LoadReported(c.now, record.sequence, balance.SignalConnectionLoad, value*workMillisPerSecond)
		return
	}
	if !c.messageDelayReported {
		c.messageDelayReported = true
		c.log.Info("backends report message delay", zap.String("first", record.backend))
		c.balancer.UpdateSettings(c.effectiveSettings())
	}
	c.balancer.LoadReported(c.now, record.sequence, balance.SignalMessageDelay, value)
}

// SessionClosed removes a session and settles what its driver could not report any more, because a command came too
// late or its goroutine panicked.
func (c *Controller) SessionClosed(now time.Duration, sequence uint64) {
	c.deliver(now, func() {
		if record := c.sessions.bySequence[sequence]; record != nil {
			c.sessionClosed(record)
		}
	})
}

func (c *Controller) sessionClosed(record *sessionRecord) {
	c.sessions.remove(record)
	if !record.answered {
		c.sessions.markAnswered(record)
		c.balancer.ClientClosed(c.now, record.sequence)
	}
	if record.attemptsEnded < record.attempts {
		abandoned := balance.AttemptResult{ID: record.sequence, Attempt: record.attempts - 1, Status: balance.StatusAbandoned, Closed: true}
		c.balancer.AttemptEnded(c.now, abandoned)
	}
}
