package config

import (
	"slices"
	"strconv"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/routing"
)

// RequestDescription describes a request by the names and digits that a user enters.
type RequestDescription struct {
	Class    string // name of the class
	Tenant   string // name of the tenant; empty: the first
	Group    string // connection group, 16 hexadecimal digits; empty: none
	Key      string // key of the request, 16 hexadecimal digits; empty: zero
	Protocol string // line or amqp
}

// DescriptionError reports a part of a RequestDescription that is malformed or not in the configuration.
type DescriptionError struct {
	Part   string // class, tenant, group, key or protocol
	Value  string
	Reason string
	Err    error // the cause
}

// Error implements the error interface.
func (e *DescriptionError) Error() string { return e.Part + ": " + e.Reason }

// Unwrap returns the cause.
func (e *DescriptionError) Unwrap() error { return e.Err }

// Explanation is the route of a request and the retry policy that applies to it.
type Explanation struct {
	Route       string    `json:"route"`
	RetryPolicy []Setting `json:"timing"`
}

// noRoute is the Route of an Explanation if no route matches the request.
const noRoute = "(none)"

// RoutingRequest resolves the names and numbers of a description. Its error is a *DescriptionError.
func (c *Config) RoutingRequest(description RequestDescription) (request routing.Request, err error) {
	names := &c.Relay.Settings
	request.Zone = names.Zone
	if request.Class, err = findName("class", description.Class, "the file's classes", names.ClassNames); err != nil {
		return request, err
	}
	if description.Tenant != "" {
		if request.Tenant, err = findName("tenant", description.Tenant, "the file's tenants", names.TenantNames); err != nil {
			return request, err
		}
	}
	if request.Group, err = parseWord("group", description.Group); err != nil {
		return request, err
	}
	if request.Key, err = parseWord("key", description.Key); err != nil {
		return request, err
	}
	request.Protocol, err = findProtocol(description.Protocol)
	return request, err
}

// findName returns the index of a name among the known ones; its error uses the description for these.
func findName(part, name, description string, known []string) (int, error) {
	index := slices.Index(known, name)
	if index < 0 {
		return index, &DescriptionError{Part: part, Value: name, Reason: notOneOf(name, description, known), Err: ErrUnknownValue}
	}
	return index, nil
}

// findProtocol returns the protocol with a name. Unlike findName, it makes no suggestion, because its error lists both
// protocols.
func findProtocol(name string) (int, error) {
	protocol := slices.Index(protocolNames, name)
	if protocol < 0 {
		return protocol, &DescriptionError{
			Part: "protocol", Value: name, Reason: strconv.Quote(name) + " is not one of " + protocolList, Err: ErrUnknownValue,
		}
	}
	return protocol, nil
}

// parseWord parses 16 hexadecimal digits; an empty text is zero.
func parseWord(part, text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	word, err := strconv.ParseUint(text, hexadecimal, wordBits)
	if err == nil && len(text) != wordDigits {
		err = ErrInvalidValue
	}
	if err != nil {
		return 0, &DescriptionError{Part: part, Value: text, Reason: "got " + strconv.Quote(text) + ", expected 16 hexadecimal digits", Err: err}
	}
	return word, nil
}

// ExplainRoute finds the route of a request as a relay does, and the retry policy that results from the route, the class
// and the rules.
func (c *Config) ExplainRoute(request routing.Request) Explanation {
	explanation := Explanation{Route: noRoute}
	var policy balance.RetryPolicy
	if route := c.Relay.Routes.Lookup(request); route != nil {
		explanation.Route, policy = route.Name, route.RetryPolicy
	}
	explanation.RetryPolicy = effectivePolicy(policy, &c.Relay.Settings.Settings, request.Class)
	return explanation
}

// effectivePolicy lists the values of a policy. A value that it does not set comes from the class or the rules, which also
// bound the request timeout and the attempts; backoff, budget and hedge delay are listed only if the policy sets them.
func effectivePolicy(policy balance.RetryPolicy, rules *balance.Settings, class int) []Setting {
	connectTimeout := rules.DialTimeout
	if policy.ConnectTimeout > 0 {
		connectTimeout = policy.ConnectTimeout
	}
	attemptTimeout := "all that is left"
	if policy.AttemptTimeout > 0 {
		attemptTimeout = policy.AttemptTimeout.String()
	}
	requestTimeout := rules.Classes[class].ClientTimeout
	if policy.RequestTimeout > 0 {
		requestTimeout = min(requestTimeout, policy.RequestTimeout)
	}
	attempts := rules.MaxAttempts
	if policy.MaxAttempts > 0 {
		attempts = min(attempts, policy.MaxAttempts)
	}
	values := []Setting{
		{Key: routing.KeyConnectTimeout, Value: connectTimeout.String()},
		{Key: routing.KeyAttemptTimeout, Value: attemptTimeout},
		{Key: routing.KeyRequestTimeout, Value: requestTimeout.String()},
		{Key: routing.KeyMaxAttempts, Value: strconv.Itoa(attempts)},
	}
	addDuration := func(key string, duration time.Duration) {
		if duration > 0 {
			values = append(values, Setting{Key: key, Value: duration.String()})
		}
	}
	addDuration(routing.KeyBaseBackoff, policy.BaseBackoff)
	if policy.BaseBackoff > 0 {
		addDuration(routing.KeyMaxBackoff, policy.MaxBackoff)
	}
	if policy.RetryBudget > 0 {
		values = append(values, Setting{Key: routing.KeyRetryBudget, Value: formatFloat(policy.RetryBudget)})
	}
	addDuration(routing.KeyHedgeDelay, policy.HedgeDelay)
	return values
}
