package shadow

import (
	"slices"

	"aspenbarrow/balance"
)

// Shape is the part of the balancer's settings that depends on the deployment: the inputs available to the balancer. It
// is logged under its JSON keys.
type Shape struct {
	HealthChecks bool `json:"Probes"`
	Gossip       bool `json:"Peers"`
	Groups       bool
	RetryAfter   bool
	ReportFields []balance.ReportField `json:"Report"` // fields of a load report, in order; empty: there are no load reports
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

// Equal reports whether two shapes are the same; nil equals only nil.
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
