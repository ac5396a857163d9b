package metrics

import "sync/atomic"

// Difference is a way in which the shadow evaluation decided otherwise than the configuration in force.
type Difference uint8

// The kinds of difference: what the shadow decided, and what was done.
const (
	DifferentBackend    Difference = iota // a request sent to another backend
	AdmittedNotRejected                   // a request sent that was refused
	RejectedNotAdmitted                   // a request refused that was sent
	RetriedNotAnswered                    // a further attempt, where the final answer was given
	AnsweredNotRetried                    // the final answer, where a further attempt was made
	DecisionDelayed                       // none yet: it waits for a list, a delay or a health check
	MigratedNotKept                       // a client asked to move that was kept
	KeptNotMigrated                       // a client kept that was asked to move
	UnavailableNotUsed                    // a backend taken for unavailable that is in use
	UsedNotUnavailable                    // a backend in use that is taken for unavailable
	differenceKinds
)

// differenceNames are the words of the admin endpoint's WATCH answer.
var differenceNames = [differenceKinds]string{"another", "sent", "refused", "again", "ended", "held", "moved", "left", "avoided", "back"}

// String is the word for a kind in the admin endpoint's WATCH answer.
func (d Difference) String() string { return differenceNames[d] }

// ShadowCounters counts what the shadow evaluation finds. It may be written and read from any goroutine.
type ShadowCounters struct {
	Counts   [differenceKinds]atomic.Int64
	Compared atomic.Int64 // decisions
	Failed   atomic.Bool  // the evaluation has ended by a fault of its own
}

// ShadowSnapshot is one reading of ShadowCounters.
type ShadowSnapshot struct {
	Counts   [differenceKinds]int64
	Compared int64 // decisions
	Failed   bool  // the evaluation has ended by a fault of its own
}

// Snapshot reads the counters.
func (c *ShadowCounters) Snapshot() *ShadowSnapshot {
	snapshot := &ShadowSnapshot{Compared: c.Compared.Load(), Failed: c.Failed.Load()}
	for i := range c.Counts {
		snapshot.Counts[i] = c.Counts[i].Load()
	}
	return snapshot
}

// Each calls f with every figure under its name in the WATCH answer, in a fixed order.
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
