// Package routing chooses the route of a request by its class, tenant, group, key and protocol and by the zone of the
// relay. Each route has the retry policy of its requests, and the first route that matches is used. The package also
// checks a retry policy against the class of its requests and the limits of the installation.
//
// It reads no files and does no I/O: package config turns names into the indexes used here and adds to each
// problem the position in its file.
package routing

import (
	"errors"
	"fmt"
	"slices"
)

// ErrShadowedRoute is the error that every ShadowedRouteError wraps.
var ErrShadowedRoute = errors.New("route can never match")

// ShadowedRouteError reports a route that no request can reach, because an earlier route matches all of its requests.
type ShadowedRouteError struct {
	Index      int // position of the route in the list given to NewTable
	Name       string
	ShadowedBy int // position of the earlier route
	ByName     string
}

// Error implements the error interface.
func (e *ShadowedRouteError) Error() string {
	return fmt.Sprintf("route %q can never match: the earlier route %q matches all of its requests", e.Name, e.ByName)
}

// Unwrap returns ErrShadowedRoute.
func (e *ShadowedRouteError) Unwrap() error { return ErrShadowedRoute }

// Table finds the route of a request. It is immutable, so that goroutines may share it and the routes that it returns
// stay valid while they are in use. A nil *Table is an empty one.
type Table struct {
	routes  []Route
	indexes []index // ordered by their first routes
}

// index holds all routes that test the same attributes, so that one map access finds the first of them. A lookup
// costs one access for each combination of attributes in use, however many routes there are.
type index struct {
	fields     fieldSet
	firstRoute int // lowest position in byValues
	byValues   map[matchValues]int
}

// notFound is returned as a position if there is no such route or index.
const notFound = -1

// NewTable makes a table of the routes in their order. Its errors are of type *ShadowedRouteError, one for each route
// that an earlier one shadows; the table leaves these routes out of its lookups.
func NewTable(routes []Route) (*Table, []error) {
	table := &Table{routes: slices.Clone(routes)}
	var errs []error
	for position := range table.routes {
		match := &table.routes[position].Match
		if earlier := table.firstCovering(match); earlier != notFound {
			errs = append(errs, &ShadowedRouteError{
				Index: position, Name: routes[position].Name,
				ShadowedBy: earlier, ByName: routes[earlier].Name,
			})
			continue
		}
		table.add(position, match)
	}
	return table, errs
}

// firstCovering returns the position of the first route so far that matches every request that match accepts.
func (t *Table) firstCovering(match *Match) int {
	fields, sample := match.fields(), match.sample()
	first := notFound
	for i := range t.indexes {
		index := &t.indexes[i]
		if !index.fields.subsetOf(&fields) {
			continue
		}
		position, ok := index.byValues[index.fields.valuesOf(&sample)]
		if ok && (first == notFound || position < first) {
			first = position
		}
	}
	return first
}

// add enters a route into the index of its attributes.
func (t *Table) add(position int, match *Match) {
	fields, sample := match.fields(), match.sample()
	i := slices.IndexFunc(t.indexes, func(index index) bool { return index.fields == fields })
	if i == notFound {
		i = len(t.indexes)
		t.indexes = append(t.indexes, index{fields: fields, firstRoute: position, byValues: map[matchValues]int{}})
	}
	t.indexes[i].byValues[fields.valuesOf(&sample)] = position
}

// Lookup returns the first route that matches the request, nil if none does.
func (t *Table) Lookup(request Request) *Route {
	if t == nil {
		return nil
	}
	best := len(t.routes)
	for i := range t.indexes {
		index := &t.indexes[i]
		if index.firstRoute >= best {
			break // this index and those after it hold later routes only
		}
		if position, ok := index.byValues[index.fields.valuesOf(&request)]; ok && position < best {
			best = position
		}
	}
	if best == len(t.routes) {
		return nil
	}
	return &t.routes[best]
}

// RemapClasses returns the table with the class indexes replaced: newIndexes holds the new index of each class.
func (t *Table) RemapClasses(newIndexes []int) *Table {
	if t == nil {
		return nil
	}
	routes := slices.Clone(t.routes)
	for i := range routes {
		if match := &routes[i].Match; match.Class != Any {
			match.Class = newIndexes[match.Class]
		}
	}
	remapped, _ := NewTable(routes) // the same routes are shadowed as before
	return remapped
}

// Equal reports whether two tables hold the same routes in the same order.
func (t *Table) Equal(other *Table) bool {
	if t == nil || other == nil {
		return t.Len() == other.Len()
	}
	return slices.Equal(t.routes, other.routes)
}

// Len returns the number of routes, shadowed ones included.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}
