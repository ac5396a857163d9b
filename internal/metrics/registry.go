// Package metrics holds the counters and gauges that the admin endpoint reads. No decision depends on them.
package metrics

import (
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/membership"
)

// Registry holds one relay's counters and gauges since its process started. It is safe for concurrent use. Each event is
// counted once, where it happens.
type Registry struct {
	classes        atomic.Pointer[[]*ClassCounters] // by class number; classes of the same name share their counters
	Dispatches     atomic.Int64                     // attempts whose request was written completely
	ActiveSessions atomic.Int64                     // admitted and not ended
	backends       atomic.Int64                     // in the endpoint list
	unavailable    atomic.Int64                     // of those
	reloadSuccess  atomic.Int64
	reloadFailure  atomic.Int64
	shadow         atomic.Pointer[ShadowCounters] // nil: there is no shadow evaluation
	membership     atomic.Pointer[Membership]     // nil: membership is off
	RejectedGossip atomic.Int64                   // gossip messages from relays that are not active
}

// ClassCounters counts the outcomes of one class's sessions.
type ClassCounters struct {
	name                      string
	Success, Overload, Failed atomic.Int64
}

// Snapshot is one reading of a Registry.
type Snapshot struct {
	Classes             []ClassCounts   // each name once, in the order of the class numbers
	Dispatches          int64           // attempts whose request was written completely
	Concurrent          int64           // sessions that were admitted and have not ended
	Backends            int64           // backends in the endpoint list
	UnavailableBackends int64           // of those, unavailable now
	ReloadSuccess       int64           // configurations applied on SIGHUP
	ReloadFailure       int64           // configurations rejected on SIGHUP
	Membership          *Membership     // nil: membership is off
	Shadow              *ShadowSnapshot // nil: there is no shadow evaluation
}

// ClassCounts is the reading of one class.
type ClassCounts struct {
	Name     string
	Success  int64 // sessions established
	Overload int64 // sessions rejected
	Error    int64 // sessions failed
}

// Membership is the relay's view of the other relays.
type Membership struct {
	ActiveRelays   int   // this one included
	Health         int   // 0 is healthy, 8 the worst
	RejectedGossip int64 // gossip messages from relays that are not active
	Members        []membership.Member
	Counters       membership.Stats
}

// SetClasses sets the names of the classes by number. A class whose name existed before keeps its counts.
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

// Class returns the counters of a class by its number.
func (r *Registry) Class(class int) *ClassCounters { return (*r.classes.Load())[class] }

// SetBackends sets how many backends the endpoint list has and how many of them are unavailable.
func (r *Registry) SetBackends(backends, unavailable int) {
	r.backends.Store(int64(backends))
	r.unavailable.Store(int64(unavailable))
}

// SetMembership publishes the relay's view of the other relays.
func (r *Registry) SetMembership(m *membership.Memberlist, now time.Duration) {
	r.membership.Store(&Membership{ActiveRelays: m.ActiveCount(), Health: m.Health(), RejectedGossip: r.RejectedGossip.Load(), Members: m.Members(now), Counters: m.Stats()})
}

// EnableShadow adds counters, starting from zero, for the differences that a shadow evaluation finds.
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

// maxReadings bounds how often Snapshot reads again until two consecutive readings agree.
const maxReadings = 8

// Snapshot returns a consistent reading of all counters. If they change so fast that no two consecutive readings agree, it
// returns the last one, in which counters may differ by a count or two.
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
		Dispatches:          r.Dispatches.Load(),
		Concurrent:          r.ActiveSessions.Load(),
		Backends:            r.backends.Load(),
		UnavailableBackends: r.unavailable.Load(),
		ReloadSuccess:       r.reloadSuccess.Load(),
		ReloadFailure:       r.reloadFailure.Load(),
		Membership:          r.membership.Load(),
		Classes:             r.readClasses(),
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
		if slices.Contains(classes[:i], counters) { // several classes of the same name
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
