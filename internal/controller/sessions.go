package controller

import (
	"maps"
	"slices"

	"aspenbarrow/balance"
)

// sessionRecord is the controller's state of one open session.
type sessionRecord struct {
	sequence      uint64 // the relay's number for the session
	id            uint64 // the client's ID of its request
	class         int
	resumed       bool                 // established before this relay's start
	retryPolicy   *balance.RetryPolicy // nil: none of its own
	backend       string               // name of the backend of the last attempt
	attempts      int                  // attempts started
	attemptsEnded int                  // attempts whose result the balancer has
	answered      bool                 // the balancer has given the final answer, or knows that none is owed
}

// sessionTable holds the open sessions.
type sessionTable struct {
	bySequence     map[uint64]*sessionRecord
	byID           map[uint64]*sessionRecord
	unanswered     int  // requests that are owed an answer
	newSessionSeen bool // a session has opened that was not resumed
}

func newSessionTable() sessionTable {
	return sessionTable{bySequence: map[uint64]*sessionRecord{}, byID: map[uint64]*sessionRecord{}}
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

// hasWork reports whether any request is owed an answer or any session is open.
func (t *sessionTable) hasWork() bool { return t.unanswered+len(t.bySequence) > 0 }

// sequences returns the open sessions' numbers in the order in which they opened.
func (t *sessionTable) sequences() []uint64 { return slices.Sorted(maps.Keys(t.bySequence)) }

// markAnswered counts a request as no longer owed an answer.
func (t *sessionTable) markAnswered(record *sessionRecord) {
	if !record.answered {
		record.answered = true
		t.unanswered--
	}
}
