package controller

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
)

// sessionRecord is the controller's state of one open session.
type sessionRecord struct {
	sequence      uint64 // the relay's own number for the session
	id            uint64 // request ID in the client's OPEN line
	class         int
	resumed       bool                 // established before this relay's start
	retryPolicy   *balance.RetryPolicy // of the route that matches; nil: no route matches
	backend       string               // name of the backend of the last attempt
	attempts      int                  // attempts started
	attemptsEnded int                  // attempts whose result the balancer has received
	wait          waitReason           // why the request has not been passed to the balancer
	answered      bool                 // the balancer has given the final answer, or none is needed
}

// sessionTable holds the open sessions.
type sessionTable struct {
	bySequence     map[uint64]*sessionRecord
	byID           map[uint64]*sessionRecord
	unanswered     int  // requests that await an answer
	newSessionSeen bool // a session has opened that was not resumed
	ended          endedIDs
}

func newSessionTable(ended endedIDs) sessionTable {
	return sessionTable{bySequence: map[uint64]*sessionRecord{}, byID: map[uint64]*sessionRecord{}, ended: ended}
}

func (t *sessionTable) add(record *sessionRecord) {
	t.newSessionSeen = t.newSessionSeen || !record.resumed
	t.byID[record.id] = record
	t.bySequence[record.sequence] = record
}

func (t *sessionTable) remove(record *sessionRecord) {
	delete(t.bySequence, record.sequence)
	delete(t.byID, record.id)
}

func (t *sessionTable) len() int { return len(t.bySequence) }

// hasWork reports whether any request awaits an answer or any session is open.
func (t *sessionTable) hasWork() bool { return t.unanswered+len(t.bySequence) > 0 }

// requestIDs returns the request IDs of the open sessions, and of those that have ended lately, in any order.
func (t *sessionTable) requestIDs() []uint64 {
	return slices.AppendSeq(t.ended.all(), maps.Keys(t.byID))
}

// inUse reports whether a session that is open, or has ended lately, has a request ID.
func (t *sessionTable) inUse(now time.Duration, id uint64) bool {
	return t.byID[id] != nil || t.ended.has(now, id)
}

// endedIDsDropped logs that IDs of ended requests are kept for less than endedIDRetention.
func (c *Controller) endedIDsDropped(kept time.Duration) {
	c.log.Warn("request IDs forgotten early: memory limit reached", zap.Duration("kept", kept), zap.Int("limit", c.sessions.ended.limit))
}

// sequences returns the sequence numbers of the open sessions in the order in which they opened.
func (t *sessionTable) sequences() []uint64 { return slices.Sorted(maps.Keys(t.bySequence)) }

// markAnswered marks a request as answered; further calls for it have no effect.
func (t *sessionTable) markAnswered(record *sessionRecord) {
	if !record.answered {
		record.answered = true
		t.unanswered--
	}
}
