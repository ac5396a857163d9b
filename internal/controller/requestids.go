package controller

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// claimTimeout is how long a request waits for the other process of a hot restart before it is answered.
const claimTimeout = 250 * time.Millisecond

// waitReason is why the controller has not passed a session's request to the balancer.
type waitReason uint8

const (
	notWaiting           waitReason = iota
	awaitsGrant                     // of the successor, for the request's ID
	awaitsPredecessor               // a mid-stream connection whose ID the predecessor holds: it may be about to exit
	waitedUnsuccessfully            // the request has been answered, or its client has left
)

// requestIDState is what the controller shares with the other processes of its relay about request IDs.
type requestIDState struct {
	ledger            hotrestart.IDLedger
	predecessorShares bool                        // the predecessor answers hotrestart.ShareIDs
	waiting           map[uint64]*session.Session // sessions whose request waits, by sequence number
	timeoutLogged     bool                        // since the last successor started
}

// PredecessorSharesIDs reports whether the predecessor process answers hotrestart.ShareIDs; earlier versions do not. It may
// be called from any goroutine once RestoreState has returned.
func (c *Controller) PredecessorSharesIDs() bool { return c.requestIDs.predecessorShares }

// HandlePredecessorMessage applies a message about request IDs from the predecessor process.
func (c *Controller) HandlePredecessorMessage(now time.Duration, message hotrestart.IDMessage) {
	c.deliver(now, func() {
		isInUse := func(id uint64) bool { return c.sessions.inUse(c.now, id) }
		c.requestIDs.ledger.FromPredecessor(c.driver, message, isInUse)
		switch message.Kind {
		case hotrestart.IDsShared:
			c.driver.RequestIDsReceived()
		case hotrestart.ReleaseID: // whether it has run is not known
			c.sessions.ended.add(c.now, message.IDs[0])
			c.idReleased(message.IDs[0])
		}
	})
}

// HandleSuccessorMessage applies a message about request IDs from the successor process.
func (c *Controller) HandleSuccessorMessage(now time.Duration, message hotrestart.IDMessage) {
	c.deliver(now, func() {
		if message.Kind == hotrestart.ShareIDs {
			c.requestIDs.timeoutLogged = false
			c.requestIDs.ledger.Share(c.driver, c.sessions.requestIDs())
			return
		}
		decision, ok := c.requestIDs.ledger.FromSuccessor(c.driver, message)
		if !ok {
			return
		}
		if decision.Granted {
			c.endWait(decision.Session, awaitsGrant)
			return
		}
		c.rejectWaiting(decision.Session, awaitsGrant)
	})
}

// PredecessorExited releases what the predecessor process held.
func (c *Controller) PredecessorExited(now time.Duration) {
	c.SetOtherProcessDescriptors(now, 0)
	_ = c.ImportLoad(now, nil)
	c.deliver(now, func() {
		c.resumeOwnEndpoints()
		for _, id := range c.requestIDs.ledger.PredecessorExited(c.driver) {
			c.sessions.ended.add(c.now, id)
		}
		for _, sequence := range slices.Sorted(maps.Keys(c.requestIDs.waiting)) {
			c.predecessorReleased(c.sessions.bySequence[sequence])
		}
	})
}

// idReleased continues with the connections that have waited for the predecessor to release their ID.
func (c *Controller) idReleased(id uint64) {
	for _, sequence := range slices.Sorted(maps.Keys(c.requestIDs.waiting)) {
		if record := c.sessions.bySequence[sequence]; record.id == id {
			c.predecessorReleased(record)
		}
	}
}

// predecessorReleased continues with a request if it has waited for the predecessor.
func (c *Controller) predecessorReleased(record *sessionRecord) {
	if record.wait == awaitsPredecessor && c.requestIDs.ledger.Shared() {
		record.wait = awaitsGrant
		c.requestIDs.ledger.Claim(c.driver, record.sequence, record.id)
		return
	}
	c.endWait(record.sequence, awaitsPredecessor)
}

// releaseID tells the successor that a request has ended, unless the predecessor has another one with its ID.
func (c *Controller) releaseID(id uint64) {
	if !c.requestIDs.ledger.HeldByPredecessor(id) {
		c.requestIDs.ledger.Release(c.driver, id)
	}
}

// SuccessorExited makes this process decide alone which request IDs are free.
func (c *Controller) SuccessorExited(now time.Duration) {
	c.deliver(now, func() {
		c.endpointExport.pending = nil
		c.resumeOwnEndpoints()
		for _, sequence := range c.requestIDs.ledger.SuccessorExited(c.driver) {
			c.endWait(sequence, awaitsGrant)
		}
	})
}

// mustWait makes a request wait that another process may know of, and reports whether it does.
func (c *Controller) mustWait(record *sessionRecord, opened *session.Session) bool {
	switch {
	case c.requestIDs.ledger.HeldByPredecessor(record.id):
		record.wait = awaitsPredecessor
	case c.requestIDs.ledger.Shared():
		record.wait = awaitsGrant
		c.requestIDs.ledger.Claim(c.driver, record.sequence, record.id)
	default:
		return false
	}
	if c.requestIDs.waiting == nil {
		c.requestIDs.waiting = map[uint64]*session.Session{}
	}
	c.requestIDs.waiting[record.sequence] = opened
	c.setTimer(claimTimer, record.sequence, min(claimTimeout, c.timeLeft(opened)))
	return true
}

// endWait passes a request to the balancer if it waits for the given reason.
func (c *Controller) endWait(sequence uint64, reason waitReason) {
	if record := c.sessions.bySequence[sequence]; record != nil && record.wait == reason {
		defer c.answerAfterPanic(sequence)
		record.wait = notWaiting
		opened := c.requestIDs.waiting[sequence]
		delete(c.requestIDs.waiting, sequence)
		c.admitRequest(record, opened)
	}
}

// rejectWaiting answers a request whose ID is in use if it waits for the given reason.
func (c *Controller) rejectWaiting(sequence uint64, reason waitReason) {
	if record := c.sessions.bySequence[sequence]; record != nil && record.wait == reason {
		c.abandonWait(record)
		c.rejectClient(sequence, &DuplicateIDError{record.id})
	}
}

// abandonWait ends a wait without passing the request to the balancer.
func (c *Controller) abandonWait(record *sessionRecord) {
	record.wait = waitedUnsuccessfully
	delete(c.requestIDs.waiting, record.sequence)
}

// claimTimedOut answers a request that still waits. The successor may hold its ID and has not answered in time: nothing
// has been sent for the request, so the client may repeat it.
func (c *Controller) claimTimedOut(sequence uint64) {
	c.rejectWaiting(sequence, awaitsPredecessor)
	record := c.sessions.bySequence[sequence]
	if record == nil || record.wait != awaitsGrant {
		return
	}
	c.abandonWait(record)
	c.driver.SendCommand(sequence, session.Command{Answer: protocol.BusyAnswer(session.RetryAfter(c.settings))})
	if !c.requestIDs.timeoutLogged {
		c.requestIDs.timeoutLogged = true
		c.log.Warn("hot restart: successor does not answer, requests rejected", zap.Duration("within", claimTimeout))
	}
}
