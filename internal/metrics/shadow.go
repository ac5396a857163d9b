package metrics

import "sync/atomic"

// Difference is a kind of difference between a decision of the shadow and the actual decision.
type Difference uint8

// The kinds of difference. In each the shadow's decision is named first, the actual one after it.
const (
	DifferentBackend    Difference = iota // the shadow chose another backend
	AdmittedNotRejected                   // the shadow admitted a request that was rejected
	RejectedNotAdmitted                   // the shadow rejected a request that was admitted
	RetriedNotAnswered                    // the shadow retried a request that got its final answer
	AnsweredNotRetried                    // the shadow gave the final answer to a request that was retried
	DecisionDelayed                       // the shadow has not decided yet: it waits for an endpoint list, a delay or a health check
	MigratedNotKept                       // the shadow migrated a session that was kept
	KeptNotMigrated                       // the shadow kept a session that was migrated
	UnavailableNotUsed                    // a backend in use is unavailable for the shadow
	UsedNotUnavailable                    // the shadow uses a backend that is unavailable
	differenceKinds
)

// differenceNames are the keys in the admin endpoint's WATCH response.
var differenceNames = [differenceKinds]string{"another", "sent", "refused", "again", "ended", "held", "moved", "left", "avoided", "back"}

// String returns the key of a kind in the admin endpoint's WATCH response.
func (d Difference) String() string { return differenceNames[d] }

// ShadowCounters counts the differences that a shadow evaluation finds. It is safe for concurrent use.
type ShadowCounters struct {
	Counts   [differenceKinds]atomic.Int64
	Compared atomic.Int64 // decisions
	Failed   atomic.Bool  // the evaluation has stopped after a panic
}

// ShadowSnapshot is one reading of ShadowCounters.
type ShadowSnapshot struct {
	Counts   [differenceKinds]int64
	Compared int64 // decisions
	Failed   bool  // the evaluation has stopped after a panic
}

// Snapshot reads the counters.
func (c *ShadowCounters) Snapshot() *ShadowSnapshot {
	snapshot := &ShadowSnapshot{Compared: c.Compared.Load(), Failed: c.Failed.Load()}
	for i := range c.Counts {
		snapshot.Counts[i] = c.Counts[i].Load()
	}
	return snapshot
}

// Each calls f with the key and value of every counter in the WATCH response, in a fixed order.
func (s *ShadowSnapshot) Each(f func(name string, value int64)) {
	for kind, count := range s.Counts {
		f(Difference(kind).String(), count)
	}
	f("compared", s.Compared)
	failed := int64(0)
	if s.Failed {
		failed = 1
	}
	f("fault", failed)
}
