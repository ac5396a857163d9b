// Package metrics holds the counters and gauges that the admin endpoint reads. No decision rests on them.
package metrics

import (
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/membership"
)

// ClassCounters is what became of one class's connections.
type ClassCounters struct {
	name                      string
	Success, Overload, Failed atomic.Int64
}

// Registry is one relay's figures since its process began. It may be written and read
// from any goroutine.
type Registry struct {
	classes        atomic.Pointer[[]*ClassCounters] // by the number of a class; classes of one name share theirs
	Dispatches     atomic.Int64
	ActiveSessions atomic.Int64
	targets        atomic.Int64
	disabled       atomic.Int64
	reloadSuccess  atomic.Int64
	reloadFailure  atomic.Int64
	shadow         atomic.Pointer[ShadowCounters] // nil: nothing is watched
	membership     atomic.Pointer[Membership]     // nil: nobody finds out who is there
	RejectedGossip atomic.Int64
}

// ClassCounts are those of one class.
type ClassCounts struct {
	Name     string
	Success  int64 // connections brought up
	Overload int64 // refused
	Error    int64 // failed
}

// Snapshot are a reading of a Ledger.
type Snapshot struct {
	Classes         []ClassCounts   // each name once, in the order in which they came
	Dispatches      int64           // attempts written whole to backends
	Concurrent      int64           // connections taken and not ended
	Targets         int64           // backends in the list
	TargetsDisabled int64           // of those, avoided now
	ReloadSuccess   int64           // files taken over at SIGHUP
	ReloadFailure   int64           // and turned down
	Membership      *Membership     // who of the relays is there; nil: nobody finds out
	Shadow          *ShadowSnapshot // what other settings would have decided otherwise; nil: nothing is watched
}

// SetClasses has the ledger know classes by their numbers. Those that it knew keep their counts.
func (l *Registry) SetClasses(names []string) {
	byName, all := map[string]*ClassCounters{}, make([]*ClassCounters, 0, len(names))
	if old := l.classes.Load(); old != nil {
		for _, t := range *old {
			byName[t.name] = t
		}
	}
	for _, n := range names {
		t := byName[n]
		if t == nil {
			t = &ClassCounters{name: n}
			byName[n] = t
		}
		all = append(all, t)
	}
	l.classes.Store(&all)
}

// Class is a class's tally.
func (l *Registry) Class(class int) *ClassCounters { return (*l.classes.Load())[class] }

// SetBackends takes in how many backends there are and how many are avoided.
func (l *Registry) SetBackends(targets, disabled int) {
	l.targets.Store(int64(targets))
	l.disabled.Store(int64(disabled))
}

// Reloaded counts a file that was read again.
func (l *Registry) Reloaded(ok bool) {
	if ok {
		l.reloadSuccess.Add(1)
	} else {
		l.reloadFailure.Add(1)
	}
}

// maxReadings is how often a reading is made at most for two in a row to agree.
const maxReadings = 8

// Snapshot reads all figures as they were at one moment, unless counts come so fast that no
// two readings in a row agree; then the last one holds, a count or two apart.
func (l *Registry) Snapshot() Snapshot {
	f := l.readOnce()
	for range maxReadings {
		again := l.readOnce()
		if again.equal(&f) {
			break
		}
		f = again
	}
	return f
}

func (l *Registry) readOnce() (f Snapshot) {
	f.Dispatches, f.Concurrent = l.Dispatches.Load(), l.ActiveSessions.Load()
	f.Targets, f.TargetsDisabled = l.targets.Load(), l.disabled.Load()
	f.ReloadSuccess, f.ReloadFailure = l.reloadSuccess.Load(), l.reloadFailure.Load()
	if w := l.shadow.Load(); w != nil {
		f.Shadow = w.Snapshot()
	}
	f.Membership = l.membership.Load()
	all := *l.classes.Load()
	f.Classes = make([]ClassCounts, 0, len(all))
	for i, t := range all {
		first := true
		for _, o := range all[:i] {
			first = first && o != t
		}
		if first {
			f.Classes = append(f.Classes, ClassCounts{t.name, t.Success.Load(), t.Overload.Load(), t.Failed.Load()})
		}
	}
	return f
}

func (f *Snapshot) equal(o *Snapshot) bool {
	a, b := *f, *o
	a.Classes, b.Classes = nil, nil
	return slices.Equal(f.Classes, o.Classes) && reflect.DeepEqual(a, b)
}

// Membership is what staff are told of the other relays.
type Membership struct {
	ActiveRelays   int
	Health         int
	RejectedGossip int64 // notices that were not taken
	Members        []membership.Member
	Counters       membership.Stats
}

// SetMembership publishes the view.
func (l *Registry) SetMembership(m *membership.Memberlist, now time.Duration) {
	l.membership.Store(&Membership{ActiveRelays: m.ActiveCount(), Health: m.Health(), RejectedGossip: l.RejectedGossip.Load(), Members: m.Members(now), Counters: m.Stats()})
}

// EnableShadow has the registry count the differences that a shadow evaluation finds, from zero.
func (l *Registry) EnableShadow() *ShadowCounters {
	c := &ShadowCounters{}
	l.shadow.Store(c)
	return c
}
