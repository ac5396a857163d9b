package metrics

import "sync/atomic"

// Difference is a way in which the other settings would have decided otherwise.
type Difference uint8

// The kinds.
const (
	DifferentBackend    Difference = iota // sent to another server
	AdmittedNotRejected                   // sent rather than refused
	RejectedNotAdmitted                   // refused rather than sent
	RetriedNotAnswered                    // tried once more rather than answered
	AnsweredNotRetried                    // answered rather than tried once more
	DecisionDelayed                       // held while this one was decided: it waits for a list, a pause or a probe
	MigratedNotKept                       // a client asked to move that was left
	KeptNotMigrated                       // a client left that was asked to move
	UnavailableNotUsed                    // a server avoided that is not
	UsedNotUnavailable                    // a server taken back that is avoided
	differenceKinds
)

var differenceNames = [differenceKinds]string{"another", "sent", "refused", "again", "ended", "held", "moved", "left", "avoided", "back"}

func (k Difference) String() string { return differenceNames[k] }

// ShadowSnapshot is how often each kind came up, how many decisions were compared, and whether watching has ended
// by a fault of its own.
type ShadowSnapshot struct {
	Counts   [differenceKinds]int64
	Compared int64
	Failed   bool
}

// Each calls f with all figures in a fixed order.
func (w *ShadowSnapshot) Each(f func(name string, v int64)) {
	for k, n := range w.Counts {
		f(Difference(k).String(), n)
	}
	f("compared", w.Compared)
	ended := int64(0)
	if w.Failed {
		ended = 1
	}
	f("fault", ended)
}

// ShadowCounters holds them. It may be read from any goroutine.
type ShadowCounters struct {
	Counts   [differenceKinds]atomic.Int64
	Compared atomic.Int64
	Failed   atomic.Bool
}

func (b *ShadowCounters) Snapshot() *ShadowSnapshot {
	f := &ShadowSnapshot{Compared: b.Compared.Load(), Failed: b.Failed.Load()}
	for i := range b.Counts {
		f.Counts[i] = b.Counts[i].Load()
	}
	return f
}
