package shadow

import (
	"slices"

	"aspenbarrow/balance"
)

// Shape is the part of the balancer's settings that differs between deployments: what the balancer has to go by. The
// JSON keys are those under which it is logged.
type Shape struct {
	HealthChecks bool `json:"Probes"`
	Gossip       bool `json:"Peers"`
	Groups       bool
	RetryAfter   bool
	ReportFields []balance.ReportField `json:"Report"` // of load reports, in order; empty: there are none
	Weights      balance.WeightMode
}

// ShapeOf returns the shape of settings.
func ShapeOf(s *balance.Settings) *Shape {
	return &Shape{
		HealthChecks: s.HealthChecks,
		Gossip:       s.Gossip,
		Groups:       s.Groups,
		RetryAfter:   s.RetryAfter,
		ReportFields: s.ReportFields,
		Weights:      s.Weights,
	}
}

// Apply returns settings with their shape replaced by this one.
func (s *Shape) Apply(to balance.Settings) balance.Settings {
	to.HealthChecks, to.Gossip, to.Groups, to.RetryAfter = s.HealthChecks, s.Gossip, s.Groups, s.RetryAfter
	to.ReportFields, to.Weights = s.ReportFields, s.Weights
	return to
}

// Equal reports whether two shapes are the same; nil equals nil alone.
func (s *Shape) Equal(other *Shape) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.HealthChecks == other.HealthChecks &&
		s.Gossip == other.Gossip &&
		s.Groups == other.Groups &&
		s.RetryAfter == other.RetryAfter &&
		slices.Equal(s.ReportFields, other.ReportFields) &&
		s.Weights == other.Weights
}
