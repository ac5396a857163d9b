package metrics

import (
	"slices"
	"testing"
)

func TestRegistry_ClassesKeepCountsByName(t *testing.T) {
	registry := &Registry{}
	registry.SetClasses([]string{"chat", "bulk"})
	registry.Class(0).Success.Add(2)
	registry.Class(1).Overload.Add(1)
	registry.SetClasses([]string{"chat", "bulk", "chat", "order"}) // a changed class gets a new number
	registry.Class(2).Failed.Add(3)
	want := []ClassCounts{{Name: "chat", Success: 2, Error: 3}, {Name: "bulk", Overload: 1}, {Name: "order"}}
	if got := registry.Snapshot().Classes; !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestRegistry_Snapshot(t *testing.T) {
	registry := &Registry{}
	registry.SetClasses(nil)
	registry.Dispatches.Add(5)
	registry.ActiveSessions.Add(2)
	registry.SetBackends(7, 1)
	registry.Reloaded(true)
	registry.Reloaded(false)
	registry.Reloaded(false)
	got := registry.Snapshot()
	if got.Dispatches != 5 || got.Concurrent != 2 || got.Backends != 7 || got.UnavailableBackends != 1 || got.ReloadSuccess != 1 ||
		got.ReloadFailure != 2 || got.Shadow != nil || got.Membership != nil {
		t.Errorf("got %+v", got)
	}
}

func TestShadowSnapshot_Each(t *testing.T) {
	registry := &Registry{}
	registry.SetClasses(nil)
	counters := registry.EnableShadow()
	counters.Counts[MigratedNotKept].Add(3)
	counters.Compared.Add(9)
	counters.Failed.Store(true)
	var names []string
	values := map[string]int64{}
	registry.Snapshot().Shadow.Each(func(name string, value int64) {
		names = append(names, name)
		values[name] = value
	})
	want := []string{"another", "sent", "refused", "again", "ended", "held", "moved", "left", "avoided", "back", "compared", "fault"}
	if !slices.Equal(names, want) || values["moved"] != 3 || values["compared"] != 9 || values["fault"] != 1 {
		t.Errorf("got %q, %v", names, values)
	}
}
