// This file owns the answer to the question which route takes a request. It must
// never choose in another way than a relay does.

package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"aspenbarrow/internal/routing"
)

// Request makes a request of the names and numbers that a person writes.
func (c *Config) Request(class, tenant, group, key, protocol string) (q routing.Request, err error) {
	s := &c.Relay.Settings
	if q.Class = slices.Index(s.ClassNames, class); q.Class < 0 {
		return q, fmt.Errorf("class: %s", unknown(class, "the file's classes", s.ClassNames))
	}
	if tenant != "" {
		if q.Tenant = slices.Index(s.TenantNames, tenant); q.Tenant < 0 {
			return q, fmt.Errorf("tenant: %s", unknown(tenant, "the file's tenants", s.TenantNames))
		}
	}
	q.Zone = s.Zone
	for _, part := range []struct {
		name, text string
		to         *uint64
	}{{"group", group, &q.Group}, {"key", key, &q.Key}} {
		if part.text == "" {
			continue
		}
		if *part.to, err = strconv.ParseUint(part.text, 16, 64); err != nil || len(part.text) != 16 {
			return q, fmt.Errorf("%s: %q is no 16 hexadecimal digits", part.name, part.text)
		}
	}
	switch protocol {
	case "line":
	case "amqp":
		q.Protocol = routing.ProtocolAMQP
	default:
		return q, fmt.Errorf("protocol: %q is none of line, amqp", protocol)
	}
	return q, nil
}

// Explanation is which route takes a request and what its timing comes to.
type Explanation struct {
	Route  string    `json:"route"`
	Timing []Setting `json:"timing"`
}

// Explain finds a request's route as a relay does.
func (c *Config) Explain(q routing.Request) Explanation {
	s := &c.Relay.Settings
	e := Explanation{Route: "(none)"}
	add := func(key, value, from string) { e.Timing = append(e.Timing, Setting{key, value, from}) }
	class := s.Classes[q.Class]
	connect, attempts := s.DialTimeout, s.MaxAttempts
	attempt, total := time.Duration(0), class.ClientTimeout
	r := c.Relay.Routes.Lookup(q)
	if r != nil {
		e.Route = r.Name
		t := r.RetryPolicy
		if t.ConnectTimeout > 0 {
			connect = t.ConnectTimeout
		}
		if t.MaxAttempts > 0 {
			attempts = min(attempts, t.MaxAttempts)
		}
		if t.RequestTimeout > 0 {
			total = min(total, t.RequestTimeout)
		}
		attempt = t.AttemptTimeout
	}
	add(routing.KeyConnectTimeout, connect.String(), "")
	if attempt > 0 {
		add(routing.KeyAttemptTimeout, attempt.String(), "")
	} else {
		add(routing.KeyAttemptTimeout, "all that is left", "")
	}
	add(routing.KeyRequestTimeout, total.String(), "")
	add(routing.KeyMaxAttempts, strconv.Itoa(attempts), "")
	if r != nil && r.RetryPolicy.BaseBackoff > 0 {
		add(routing.KeyBaseBackoff, r.RetryPolicy.BaseBackoff.String(), "")
		if r.RetryPolicy.MaxBackoff > 0 {
			add(routing.KeyMaxBackoff, r.RetryPolicy.MaxBackoff.String(), "")
		}
	}
	if r != nil && r.RetryPolicy.RetryBudget > 0 {
		add(routing.KeyRetryBudget, strconv.FormatFloat(r.RetryPolicy.RetryBudget, 'g', -1, 64), "")
	}
	if r != nil && r.RetryPolicy.HedgeDelay > 0 {
		add(routing.KeyHedgeDelay, r.RetryPolicy.HedgeDelay.String(), "")
	}
	return e
}
