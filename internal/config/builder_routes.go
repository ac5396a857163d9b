package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"aspenbarrow/balance"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/settings"
)

// Groups and keys of requests are written as hexadecimal digits.
const (
	wordDigits   = 16 // digits of a complete group or key
	bitsPerDigit = 4
)

// protocolNames are the protocols in the order of routing.ProtocolLine and routing.ProtocolAMQP.
var protocolNames = []string{"line", "amqp"}

// protocolList is the list of protocolNames for messages.
var protocolList = strings.Join(protocolNames, ", ")

// routeBuilder builds the route table of a document.
type routeBuilder struct {
	*builder
	settings      *settings.Settings
	limits        routing.Limits
	classPolicies []balance.RetryPolicy // one for each class, for requests that match no route of the file
}

// fileRoute is a route of the file with its conditions resolved, and its position in the file.
type fileRoute struct {
	position int
	match    routing.Match
}

// routes returns the route table: the routes of the file in their order, then one for each class that has a policy, of
// its own or from [retries]. It returns nil if there are none.
func (b *builder) routes(installation *settings.Settings) *routing.Table {
	r := &routeBuilder{builder: b, settings: installation, limits: b.limits()}
	r.resolveClassPolicies()
	fileRoutes := r.resolveRoutes()
	r.reportShadowed(fileRoutes)
	var all []routing.Route
	for _, route := range fileRoutes {
		all = append(all, r.expand(route)...)
	}
	all = append(all, r.classRoutes()...)
	if len(all) == 0 {
		return nil
	}
	table, _ := routing.NewTable(all) // a route of the file may shadow that of a class
	return table
}

// policy converts a section to the type of the balancer.
func (s *retryPolicySection) policy() balance.RetryPolicy {
	return balance.RetryPolicy{
		ConnectTimeout: s.ConnectTimeout,
		AttemptTimeout: s.AttemptTimeout,
		RequestTimeout: s.RequestTimeout,
		MaxAttempts:    s.MaxAttempts,
		BaseBackoff:    s.BaseBackoff,
		MaxBackoff:     s.MaxBackoff,
		RetryBudget:    s.RetryBudget,
		HedgeDelay:     s.HedgeDelay,
	}
}

// inherit returns a policy whose unset values are taken from a wider one.
func inherit(policy, wider balance.RetryPolicy) balance.RetryPolicy {
	if policy.BaseBackoff == 0 { // the base and the maximum are inherited together
		setIfZero(&policy.MaxBackoff, wider.MaxBackoff)
	}
	setIfZero(&policy.ConnectTimeout, wider.ConnectTimeout)
	setIfZero(&policy.AttemptTimeout, wider.AttemptTimeout)
	setIfZero(&policy.RequestTimeout, wider.RequestTimeout)
	setIfZero(&policy.BaseBackoff, wider.BaseBackoff)
	setIfZero(&policy.HedgeDelay, wider.HedgeDelay)
	setIfZero(&policy.MaxAttempts, wider.MaxAttempts)
	setIfZero(&policy.RetryBudget, wider.RetryBudget)
	return policy
}

func setIfZero[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// resolveClassPolicies determines and checks the policy of each class. A class without one of its own has that of
// [retries], which is checked for each such class; if it is empty, only for the first class of the file.
func (r *routeBuilder) resolveClassPolicies() {
	retries := r.doc.Retries.policy()
	for i := range r.doc.Classes {
		policy := inherit(r.doc.Classes[i].policy(), retries)
		r.classPolicies = append(r.classPolicies, policy)
		switch {
		case policy != retries:
			r.checkPolicy(elementKey("class", i), policy, i, "")
		case i == 0 || retries != (balance.RetryPolicy{}):
			r.checkPolicy("retries", policy, i, r.classSuffix(i))
		}
	}
}

// classSuffix returns the end of the reason of a problem in a policy that several classes share.
func (r *routeBuilder) classSuffix(class int) string {
	return fmt.Sprintf(", for class %q", r.doc.Classes[class].Name)
}

// checkPolicy checks a policy for the requests of a class and reports its problems under the keys of a section.
func (r *routeBuilder) checkPolicy(section string, policy balance.RetryPolicy, class int, suffix string) {
	if r.doc.Classes[class].ClientTimeout == 0 {
		return // already reported
	}
	for _, problem := range routing.CheckPolicy(policy, r.settings.Classes[class], r.limits) {
		reason := problem.Reason
		if problem.Other != "" {
			other := problem.Other
			if name, ok := strings.CutPrefix(other, routing.ClassPrefix); ok {
				other = joinKey(elementKey("class", class), name)
			}
			reason += " (" + other + ")"
		}
		r.report(joinKey(section, problem.Key), problem, "%s", reason+suffix)
	}
}

// resolveRoutes returns the routes of the file, without those whose conditions are invalid.
func (r *routeBuilder) resolveRoutes() []fileRoute {
	var routes []fileRoute
	for i := range r.doc.Routes {
		if match, ok := r.match(elementKey("route", i), &r.doc.Routes[i]); ok {
			routes = append(routes, fileRoute{position: i, match: match})
		}
	}
	return routes
}

// reportShadowed reports the routes of the file that can never match, because an earlier route matches all their requests.
func (r *routeBuilder) reportShadowed(fileRoutes []fileRoute) {
	routes := make([]routing.Route, len(fileRoutes))
	for i, route := range fileRoutes {
		routes[i] = routing.Route{Name: r.doc.Routes[route.position].Name, Match: route.match}
	}
	_, errs := routing.NewTable(routes)
	for _, err := range errs {
		var shadowed *routing.ShadowedRouteError
		if errors.As(err, &shadowed) {
			r.report(elementKey("route", fileRoutes[shadowed.Index].position), err, "%v", err)
		}
	}
}

// expand returns a route of the file with its policy. A route for all classes becomes one route for each class, because
// it inherits from the policy of the class.
func (r *routeBuilder) expand(route fileRoute) []routing.Route {
	section, key := &r.doc.Routes[route.position], elementKey("route", route.position)
	routeFor := func(class int, suffix string) routing.Route {
		match := route.match
		match.Class = class
		policy := inherit(section.policy(), r.classPolicies[class])
		r.checkPolicy(key, policy, class, suffix)
		return routing.Route{Name: section.Name, Match: match, RetryPolicy: policy}
	}
	if class := route.match.Class; class != routing.Any {
		return []routing.Route{routeFor(class, "")}
	}
	var routes []routing.Route
	for class := range r.doc.Classes {
		routes = append(routes, routeFor(class, r.classSuffix(class)))
	}
	return routes
}

// classRoutes returns a route for each class that has a policy.
func (r *routeBuilder) classRoutes() []routing.Route {
	var routes []routing.Route
	for class, policy := range r.classPolicies {
		if policy == (balance.RetryPolicy{}) {
			continue
		}
		match := routing.MatchAll
		match.Class = class
		routes = append(routes, routing.Route{Name: "class " + r.doc.Classes[class].Name, Match: match, RetryPolicy: policy})
	}
	return routes
}

// match resolves the conditions of a route. It reports those that are invalid, and then returns false.
func (r *routeBuilder) match(key string, section *routeSection) (match routing.Match, ok bool) {
	before := len(r.problems)
	match = routing.MatchAll
	r.resolveName(key+".class", section.Class, "class[].name", r.settings.ClassNames, &match.Class)
	r.resolveName(key+".tenant", section.Tenant, "tenant[].name", r.settings.TenantNames, &match.Tenant)
	r.resolveName(key+".zone", section.Zone, keyZones, r.settings.ZoneNames, &match.Zone)
	r.resolveName(key+".protocol", section.Protocol, protocolList, protocolNames, &match.Protocol)
	if section.Group != "" {
		match.Group = r.parseGroup(key+".group", section.Group, len(r.problems) == before)
	}
	if section.KeyPrefix != "" {
		match.Key = r.parseDigits(key+".key-prefix", section.KeyPrefix, false)
		match.KeyBits = bitsPerDigit * min(wordDigits, len(section.KeyPrefix))
	}
	return match, len(r.problems) == before
}

// resolveName sets the index of a name among the known ones; an empty name leaves the condition unset.
func (r *routeBuilder) resolveName(key, name, where string, known []string, index *int) {
	if name == "" {
		return
	}
	*index = slices.Index(known, name)
	if *index < 0 {
		r.report(key, ErrUnknownValue, "%s", notOneOf(name, where, known))
	}
}

// parseGroup parses a connection group. 0 means no group, which is reported if the route has no problem so far.
func (r *routeBuilder) parseGroup(key, text string, validSoFar bool) uint64 {
	before := len(r.problems)
	group := r.parseDigits(key, text, true)
	if group == 0 && validSoFar && len(r.problems) == before {
		r.report(key, ErrInvalidValue, "%q is not a group: expected a number above 0", text)
	}
	return group
}

// parseDigits parses the first hexadecimal digits of a 64-bit word, the most significant first. If complete is set, the
// text must contain all digits of the word.
func (r *routeBuilder) parseDigits(key, text string, complete bool) uint64 {
	padding := strings.Repeat("0", max(0, wordDigits-len(text)))
	word, err := strconv.ParseUint(text+padding, hexadecimal, wordBits)
	wrongLength := len(text) > wordDigits || complete && len(text) != wordDigits
	if err != nil || wrongLength || strings.ToLower(text) != text {
		count := "at most"
		if complete {
			count = "exactly"
		}
		r.report(key, ErrInvalidValue, "got %q, expected %s %d hexadecimal digits in lower case", text, count, wordDigits)
	}
	return word
}
