// Package metrics holds the counters and gauges that the admin endpoint reads. No decision rests on them.
package metrics

import (
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/membership"
)

// Registry is one relay's counters and gauges since its process began. It may be written and read from any goroutine. Each
// thing is counted where it happens, once.
type Registry struct {
	classes        atomic.Pointer[[]*ClassCounters] // by the number of a class; classes of one name share theirs
	Dispatches     atomic.Int64                     // attempts whose request was written whole
	ActiveSessions atomic.Int64                     // admitted and not ended
	targets        atomic.Int64
	disabled       atomic.Int64
	reloadSuccess  atomic.Int64
	reloadFailure  atomic.Int64
	shadow         atomic.Pointer[ShadowCounters] // nil: there is no shadow evaluation
	membership     atomic.Pointer[Membership]     // nil: the relays don't find out about one another
	RejectedGossip atomic.Int64                   // notices of relays that are not active
}

// ClassCounters is what became of one class's sessions.
type ClassCounters struct {
	name                      string
	Success, Overload, Failed atomic.Int64
}

// Snapshot is one reading of a Registry.
type Snapshot struct {
	Classes         []ClassCounts   // each name once, in the order in which they came
	Dispatches      int64           // attempts whose request was written whole
	Concurrent      int64           // sessions that were admitted and have not ended
	Targets         int64           // backends in the endpoint list
	TargetsDisabled int64           // of those, unavailable now
	ReloadSuccess   int64           // configurations taken over at SIGHUP
	ReloadFailure   int64           // and refused
	Membership      *Membership     // nil: the relays don't find out about one another
	Shadow          *ShadowSnapshot // nil: there is no shadow evaluation
}

// ClassCounts is the reading of one class.
type ClassCounts struct {
	Name     string
	Success  int64 // sessions established
	Overload int64 // sessions refused
	Error    int64 // sessions failed
}

// Membership is the relay's view of the other relays.
type Membership struct {
	ActiveRelays   int // this one included
	Health         int
	RejectedGossip int64 // notices of relays that are not active
	Members        []membership.Member
	Counters       membership.Stats
}

// SetClasses names the classes by their numbers. Classes whose name was known keep their counts.
func (r *Registry) SetClasses(names []string) {
	byName, classes := map[string]*ClassCounters{}, make([]*ClassCounters, 0, len(names))
	if old := r.classes.Load(); old != nil {
		for _, counters := range *old {
			byName[counters.name] = counters
		}
	}
	for _, name := range names {
		counters := byName[name]
		if counters == nil {
			counters = &ClassCounters{name: name}
			byName[name] = counters
		}
		classes = append(classes, counters)
	}
	r.classes.Store(&classes)
}

// Class is the counters of a class, by its number.
func (r *Registry) Class(class int) *ClassCounters { return (*r.classes.Load())[class] }

// SetBackends sets how many backends the endpoint list has and how many of them are unavailable.
func (r *Registry) SetBackends(targets, disabled int) {
	r.targets.Store(int64(targets))
	r.disabled.Store(int64(disabled))
}

// SetMembership publishes the relay's view of the other relays.
func (r *Registry) SetMembership(m *membership.Memberlist, now time.Duration) {
	r.membership.Store(&Membership{ActiveRelays: m.ActiveCount(), Health: m.Health(), RejectedGossip: r.RejectedGossip.Load(), Members: m.Members(now), Counters: m.Stats()})
}

// EnableShadow has the registry count the differences that a shadow evaluation finds, from zero.
func (r *Registry) EnableShadow() *ShadowCounters {
	counters := &ShadowCounters{}
	r.shadow.Store(counters)
	return counters
}

// Reloaded counts a reload of the configuration.
func (r *Registry) Reloaded(ok bool) {
	if ok {
		r.reloadSuccess.Add(1)
	} else {
		r.reloadFailure.Add(1)
	}
}

// maxReadings bounds how often a Snapshot is read again until two readings in a row agree.
const maxReadings = 8

// Snapshot reads all counters as they were at one moment, unless counts come so fast that no two readings in a row agree:
// then the last one holds, a count or two apart.
func (r *Registry) Snapshot() Snapshot {
	snapshot := r.readOnce()
	for range maxReadings {
		again := r.readOnce()
		if again.equal(&snapshot) {
			break
		}
		snapshot = again
	}
	return snapshot
}

func (r *Registry) readOnce() Snapshot {
	snapshot := Snapshot{
		Dispatches:      r.Dispatches.Load(),
		Concurrent:      r.ActiveSessions.Load(),
		Targets:         r.targets.Load(),
		TargetsDisabled: r.disabled.Load(),
		ReloadSuccess:   r.reloadSuccess.Load(),
		ReloadFailure:   r.reloadFailure.Load(),
		Membership:      r.membership.Load(),
		Classes:         r.readClasses(),
	}
	if counters := r.shadow.Load(); counters != nil {
		snapshot.Shadow = counters.Snapshot()
	}
	return snapshot
}

func (r *Registry) readClasses() []ClassCounts {
	classes := *r.classes.Load()
	counts := make([]ClassCounts, 0, len(classes))
	for i, counters := range classes {
		if slices.Contains(classes[:i], counters) { // several classes of one name
			continue
		}
		counts = append(counts, ClassCounts{Name: counters.name, Success: counters.Success.Load(),
			Overload: counters.Overload.Load(), Error: counters.Failed.Load()})
	}
	return counts
}

func (s *Snapshot) equal(other *Snapshot) bool {
	a, b := *s, *other
	a.Classes, b.Classes = nil, nil
	return slices.Equal(s.Classes, other.Classes) && reflect.DeepEqual(a, b)
}
