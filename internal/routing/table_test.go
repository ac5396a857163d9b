package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"aspenbarrow/balance"
)

func matchWith(change func(m *Match)) Match {
	m := MatchAll
	change(&m)
	return m
}

func TestTable_FirstMatchWins(t *testing.T) {
	table, errs := NewTable([]Route{
		{Name: "one group", Match: matchWith(func(m *Match) { m.Group = 9 })},
		{Name: "keys of 7f", Match: matchWith(func(m *Match) { m.Key, m.KeyBits = 0x7f<<56, 8 })},
		{Name: "keys of 7fa", Match: matchWith(func(m *Match) { m.Key, m.KeyBits, m.Class = 0x7fa<<52, 12, 1 })},
		{Name: "class 1", Match: matchWith(func(m *Match) { m.Class = 1 })},
		{Name: "tenant 2 by amqp", Match: matchWith(func(m *Match) { m.Tenant, m.Protocol = 2, ProtocolAMQP })},
		{Name: "east", Match: matchWith(func(m *Match) { m.Zone = 1 })},
	})
	if len(errs) != 1 || errs[0].Error() != `route "keys of 7fa" can never match: the earlier route "keys of 7f" matches all of its requests` {
		t.Errorf("got errors %v, want one for the shadowed route", errs)
	}
	for _, tc := range []struct {
		request Request
		want    string
	}{
		{Request{Group: 9, Class: 1, Key: 0x7f << 56}, "one group"},
		{Request{Class: 1, Key: 0x7fab << 48}, "keys of 7f"},
		{Request{Class: 1, Key: 0x7e << 56}, "class 1"},
		{Request{Tenant: 2, Protocol: ProtocolAMQP, Zone: 1}, "tenant 2 by amqp"},
		{Request{Tenant: 2, Zone: 1}, "east"},
		{Request{Tenant: 2}, ""},
	} {
		got := ""
		if r := table.Lookup(tc.request); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("Lookup(%+v): got route %q, want %q", tc.request, got, tc.want)
		}
	}
	if (*Table)(nil).Lookup(Request{}) != nil {
		t.Error("Lookup of a nil table returned a route")
	}
}

// linearSearch is the reference for NewTable and Lookup: it tries every route in turn.
func linearSearch(routes []Route, r Request) int {
	for i := range routes {
		m := &routes[i].Match
		if (m.Class == Any || m.Class == r.Class) && (m.Tenant == Any || m.Tenant == r.Tenant) &&
			(m.Zone == Any || m.Zone == r.Zone) && (m.Protocol == Any || m.Protocol == r.Protocol) &&
			(m.Group == 0 || m.Group == r.Group) && (m.KeyBits == 0 || (m.Key^r.Key)>>(64-m.KeyBits) == 0) {
			return i
		}
	}
	return -1
}

func randomMatch(rng *rand.Rand) Match {
	anyOrIndex := func(n int) int {
		if rng.IntN(2) == 0 {
			return Any
		}
		return rng.IntN(n)
	}
	m := Match{Class: anyOrIndex(3), Tenant: anyOrIndex(3), Zone: anyOrIndex(2), Protocol: anyOrIndex(2), Group: uint64(rng.IntN(3))}
	if rng.IntN(2) == 0 {
		m.KeyBits = 4 * (1 + rng.IntN(2))
		m.Key = uint64(rng.IntN(256)) << 56
		m.Key &= ^uint64(0) << (64 - m.KeyBits)
	}
	return m
}

func TestTable_AgreesWithLinearSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		routes := make([]Route, 1+rng.IntN(40))
		for i := range routes {
			routes[i] = Route{Name: fmt.Sprint(i), Match: randomMatch(rng)}
		}
		table, errs := NewTable(routes)
		shadowed := map[int]bool{}
		for _, err := range errs {
			var e *ShadowedRouteError
			if !errors.As(err, &e) || !errors.Is(err, ErrShadowedRoute) || e.ShadowedBy >= e.Index {
				t.Fatalf("got error %v, want a ShadowedRouteError with an earlier route", err)
			}
			shadowed[e.Index] = true
		}
		for range 300 {
			r := Request{Class: rng.IntN(3), Tenant: rng.IntN(3), Zone: rng.IntN(2), Protocol: rng.IntN(2),
				Group: uint64(rng.IntN(3)), Key: rng.Uint64()}
			want := linearSearch(routes, r)
			if shadowed[want] {
				t.Fatalf("route %d is reported as shadowed, but matches %+v", want, r)
			}
			got := table.Lookup(r)
			if (got == nil) != (want < 0) || got != nil && got.Name != fmt.Sprint(want) {
				t.Fatalf("Lookup(%+v): got route %+v, want %d", r, got, want)
			}
		}
	}
}

func TestTable_Equal(t *testing.T) {
	one, _ := NewTable([]Route{{Name: "a", Match: MatchAll, RetryPolicy: balance.RetryPolicy{MaxAttempts: 2}}})
	two, _ := NewTable([]Route{{Name: "a", Match: MatchAll, RetryPolicy: balance.RetryPolicy{MaxAttempts: 2}}})
	other, _ := NewTable([]Route{{Name: "a", Match: MatchAll, RetryPolicy: balance.RetryPolicy{RequestTimeout: time.Second}}})
	if !one.Equal(two) || one.Equal(other) || one.Equal(nil) || !(*Table)(nil).Equal(nil) {
		t.Error("Equal returned a wrong result")
	}
}

// BenchmarkTable_Lookup measures a lookup in tables of several sizes, with routes by class, tenant, group and key prefix.
func BenchmarkTable_Lookup(b *testing.B) {
	for _, n := range []int{10, 1000, 50000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			routes := make([]Route, 0, n)
			for i := range n - 1 {
				m := MatchAll
				switch i % 4 {
				case 0:
					m.Group = uint64(i + 1)
				case 1:
					m.Tenant, m.Class = i, 1
				case 2:
					m.Key, m.KeyBits = uint64(i)<<40, 24
				case 3:
					m.Tenant, m.Zone = i, 1
				}
				routes = append(routes, Route{Name: fmt.Sprint(i), Match: m})
			}
			routes = append(routes, Route{Name: "rest", Match: MatchAll})
			table, errs := NewTable(routes)
			if len(errs) > 0 {
				b.Fatal(errs[0])
			}
			rng := rand.New(rand.NewPCG(1, 2))
			requests := make([]Request, 1024)
			for i := range requests {
				requests[i] = Request{Class: 1, Tenant: rng.IntN(n), Zone: 1, Group: uint64(rng.IntN(2 * n)), Key: rng.Uint64()}
			}
			i := 0
			for b.Loop() {
				if table.Lookup(requests[i&1023]) == nil {
					b.Fatal("Lookup returned no route")
				}
				i++
			}
		})
	}
}
