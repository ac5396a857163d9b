// Package route chooses the route of a request by what the request says of itself:
// its class, tenant, group, key, the relay's zone and the protocol. A route names
// the timing of its requests. The first route that matches counts.
//
// This file owns the table of routes. It must never know a socket, a file or a
// clock, look at every route for a request, or keep a route that no request can
// ever come to.
package route

import (
	"fmt"
	"slices"

	"aspenbarrow/balance"
)

// Any stands for every class, tenant, zone or protocol.
const Any = -1

// The protocols.
const (
	Line = iota
	AMQP
)

// Match is what a route wants of a request.
type Match struct {
	Class    int // Any: each
	Tenant   int
	Zone     int // of the relay
	Protocol int
	Group    uint64 // 0: each
	Key      uint64 // the first KeyBits bits of it count
	KeyBits  int    // 0: each key; at most 64
}

// Everything matches every request.
var Everything = Match{Class: Any, Tenant: Any, Zone: Any, Protocol: Any}

// Request is what a request says of itself.
type Request struct {
	Class, Tenant, Zone, Protocol int
	Group, Key                    uint64
}

// Route is one entry of a table.
type Route struct {
	Name        string
	Match       Match
	RetryPolicy balance.RetryPolicy
}

// Table finds routes. It never changes, and the routes that it hands out stay what
// they are for as long as anybody holds them. A nil Table has no route.
type Table struct {
	routes []Route
	shapes []shape // in the order of their first routes
}

// shape is all routes that look at the same things: one look-up finds the first of them.
type shape struct {
	class, tenant, zone, protocol, group bool
	mask                                 uint64 // of the key
	first                                int    // of its routes
	routes                               map[tuple]int
}

type tuple struct {
	class, tenant, zone, protocol int32
	group, key                    uint64
}

func (m *Match) shape() shape {
	s := shape{class: m.Class != Any, tenant: m.Tenant != Any, zone: m.Zone != Any, protocol: m.Protocol != Any,
		group: m.Group != 0}
	if m.KeyBits > 0 {
		s.mask = ^uint64(0) << (64 - min(m.KeyBits, 64))
	}
	return s
}

// of is what a shape looks at in a request.
func (s *shape) of(r *Request) (t tuple) {
	if s.class {
		t.class = int32(r.Class)
	}
	if s.tenant {
		t.tenant = int32(r.Tenant)
	}
	if s.zone {
		t.zone = int32(r.Zone)
	}
	if s.protocol {
		t.protocol = int32(r.Protocol)
	}
	if s.group {
		t.group = r.Group
	}
	t.key = r.Key & s.mask
	return t
}

func (s *shape) same(o *shape) bool {
	return s.class == o.class && s.tenant == o.tenant && s.zone == o.zone && s.protocol == o.protocol &&
		s.group == o.group && s.mask == o.mask
}

// wider says whether a shape looks at no more than another does.
func (s *shape) wider(o *shape) bool {
	return (!s.class || o.class) && (!s.tenant || o.tenant) && (!s.zone || o.zone) && (!s.protocol || o.protocol) &&
		(!s.group || o.group) && s.mask&o.mask == s.mask
}

// Shadowed is a route that no request can come to.
type Shadowed struct {
	Route, By int // positions in the list
	Names     [2]string
}

func (e *Shadowed) Error() string {
	return fmt.Sprintf("route %q can never match: route %q before it takes all of its requests", e.Names[0], e.Names[1])
}

// New makes a table. Its errors are all of *Shadowed, one for each route that an
// earlier one hides.
func New(routes []Route) (*Table, []error) {
	t := &Table{routes: slices.Clone(routes)}
	var errs []error
	for i := range t.routes {
		m := &t.routes[i].Match
		s := m.shape()
		r := Request{Class: m.Class, Tenant: m.Tenant, Zone: m.Zone, Protocol: m.Protocol, Group: m.Group, Key: m.Key}
		own, by := -1, -1
		for j := range t.shapes {
			o := &t.shapes[j]
			if o.same(&s) {
				own = j
			}
			if o.wider(&s) {
				if k, ok := o.routes[o.of(&r)]; ok && (by < 0 || k < by) {
					by = k
				}
			}
		}
		if by >= 0 {
			errs = append(errs, &Shadowed{i, by, [2]string{routes[i].Name, routes[by].Name}})
			continue
		}
		if own < 0 {
			s.first, s.routes = i, map[tuple]int{}
			own = len(t.shapes)
			t.shapes = append(t.shapes, s)
		}
		t.shapes[own].routes[s.of(&r)] = i
	}
	return t, errs
}

// Pick is the route of a request; nil: none matches.
func (t *Table) Pick(r Request) *Route {
	if t == nil {
		return nil
	}
	best := len(t.routes)
	for i := range t.shapes {
		s := &t.shapes[i]
		if s.first >= best {
			break
		}
		if k, ok := s.routes[s.of(&r)]; ok && k < best {
			best = k
		}
	}
	if best == len(t.routes) {
		return nil
	}
	return &t.routes[best]
}

// Renumber is the table for classes that have other numbers: classes holds the new one of each.
func (t *Table) Renumber(classes []int) *Table {
	if t == nil {
		return nil
	}
	routes := slices.Clone(t.routes)
	for i := range routes {
		if m := &routes[i].Match; m.Class != Any {
			m.Class = classes[m.Class]
		}
	}
	other, _ := New(routes) // what hides what is the same as before
	return other
}

// Equal says whether two tables hold the same routes.
func (t *Table) Equal(o *Table) bool {
	if t == nil || o == nil {
		return t.Len() == o.Len()
	}
	return slices.Equal(t.routes, o.routes)
}

// Len is how many routes there are.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}
