package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"aspenbarrow/balance"
)

func match(change func(m *Match)) Match {
	m := Everything
	change(&m)
	return m
}

func TestTheFirstRouteThatMatchesCounts(t *testing.T) {
	table, errs := New([]Route{
		{Name: "one group", Match: match(func(m *Match) { m.Group = 9 })},
		{Name: "keys of 7f", Match: match(func(m *Match) { m.Key, m.KeyBits = 0x7f<<56, 8 })},
		{Name: "keys of 7fa", Match: match(func(m *Match) { m.Key, m.KeyBits, m.Class = 0x7fa<<52, 12, 1 })},
		{Name: "class 1", Match: match(func(m *Match) { m.Class = 1 })},
		{Name: "tenant 2 by amqp", Match: match(func(m *Match) { m.Tenant, m.Protocol = 2, AMQP })},
		{Name: "east", Match: match(func(m *Match) { m.Zone = 1 })},
	})
	if len(errs) != 1 || errs[0].Error() != `route "keys of 7fa" can never match: route "keys of 7f" before it takes all of its requests` {
		t.Errorf("%v", errs)
	}
	for _, tc := range []struct {
		r    Request
		want string
	}{
		{Request{Group: 9, Class: 1, Key: 0x7f << 56}, "one group"},
		{Request{Class: 1, Key: 0x7fab << 48}, "keys of 7f"},
		{Request{Class: 1, Key: 0x7e << 56}, "class 1"},
		{Request{Tenant: 2, Protocol: AMQP, Zone: 1}, "tenant 2 by amqp"},
		{Request{Tenant: 2, Zone: 1}, "east"},
		{Request{Tenant: 2}, ""},
	} {
		got := ""
		if r := table.Pick(tc.r); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%+v goes by %q, want %q", tc.r, got, tc.want)
		}
	}
	if (*Table)(nil).Pick(Request{}) != nil {
		t.Error("no table has a route")
	}
}

// plainly is what New and Pick mean, with every route looked at.
func plainly(routes []Route, r Request) int {
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
	some := func(n int) int {
		if rng.IntN(2) == 0 {
			return Any
		}
		return rng.IntN(n)
	}
	m := Match{Class: some(3), Tenant: some(3), Zone: some(2), Protocol: some(2), Group: uint64(rng.IntN(3))}
	if rng.IntN(2) == 0 {
		m.KeyBits = 4 * (1 + rng.IntN(2))
		m.Key = uint64(rng.IntN(256)) << 56
		m.Key &= ^uint64(0) << (64 - m.KeyBits)
	}
	return m
}

func TestATableDoesWhatALookAtEveryRouteDoes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		routes := make([]Route, 1+rng.IntN(40))
		for i := range routes {
			routes[i] = Route{Name: fmt.Sprint(i), Match: randomMatch(rng)}
		}
		table, errs := New(routes)
		shadowed := map[int]bool{}
		for _, err := range errs {
			var e *Shadowed
			if !errors.As(err, &e) || e.By >= e.Route {
				t.Fatalf("%v", err)
			}
			shadowed[e.Route] = true
		}
		for range 300 {
			r := Request{Class: rng.IntN(3), Tenant: rng.IntN(3), Zone: rng.IntN(2), Protocol: rng.IntN(2),
				Group: uint64(rng.IntN(3)), Key: rng.Uint64()}
			want := plainly(routes, r)
			if shadowed[want] {
				t.Fatalf("route %d is called hidden, but takes %+v", want, r)
			}
			got := table.Pick(r)
			if (got == nil) != (want < 0) || got != nil && got.Name != fmt.Sprint(want) {
				t.Fatalf("%+v goes by %+v, want %d", r, got, want)
			}
		}
	}
}

func TestTablesOfTheSameRoutesAreEqual(t *testing.T) {
	one, _ := New([]Route{{Name: "a", Match: Everything, RetryPolicy: balance.RetryPolicy{MaxAttempts: 2}}})
	two, _ := New([]Route{{Name: "a", Match: Everything, RetryPolicy: balance.RetryPolicy{MaxAttempts: 2}}})
	other, _ := New([]Route{{Name: "a", Match: Everything, RetryPolicy: balance.RetryPolicy{RequestTimeout: time.Second}}})
	if !one.Equal(two) || one.Equal(other) || one.Equal(nil) || !(*Table)(nil).Equal(nil) {
		t.Error("tables are compared wrongly")
	}
}

// A request's look-up at a few sizes of the table: routes by class, tenant, group and key prefix.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 1000, 50000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			routes := make([]Route, 0, n)
			for i := range n - 1 {
				m := Everything
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
			routes = append(routes, Route{Name: "rest", Match: Everything})
			table, errs := New(routes)
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
				if table.Pick(requests[i&1023]) == nil {
					b.Fatal("no route")
				}
				i++
			}
		})
	}
}
