// Package settings reads the settings object: the rules, request classes and tenants of an installation, in JSON, as a
// relay receives them at its start and at a reload. The simulator's first message and a real relay's configuration contain
// the same object, and both are parsed here.
//
// The package opens no files and has no defaults: a field that is missing from the object is zero. It returns the names of
// zones, classes, tenants and machine kinds without interpreting them. Package config reads the TOML form of a configuration
// and decides where either form is read from.
package settings

import (
	"time"

	"aspenbarrow/balance"
)

// Settings are the balancer's settings and those that only other parts of a relay use, such as the names by which protocol
// lines and endpoint lists refer to classes and zones.
type Settings struct {
	balance.Settings
	ClassNames       []string // in the order of balance.Settings.Classes
	TenantNames      []string // in the order of balance.Settings.Tenants
	ZoneNames        []string
	KindNames        []string      // of machines
	ReportFieldNames []string      // fields of a load report, in order; empty: reports carry none
	IdleTimeout      time.Duration // after which an unused connection to a backend is closed
}

// Parse parses the settings object and ignores unknown fields. Settings that no relay can run with give a *FieldError;
// Validate checks more.
func Parse(text []byte) (Settings, error) {
	object, err := decode(text)
	if err != nil {
		return Settings{}, err
	}
	if err := object.checkRelay(); err != nil {
		return Settings{}, err
	}
	classes, err := object.classes()
	if err != nil {
		return Settings{}, err
	}
	parsed := Settings{
		Settings:    object.balancerSettings(),
		ClassNames:  namesOf(object.Classes, func(class classObject) string { return class.Name }),
		TenantNames: namesOf(object.Tenants, func(tenant tenantObject) string { return tenant.Name }),
		ZoneNames:   object.Zones,
		KindNames:   object.Kinds,
		IdleTimeout: FromMilliseconds(object.Limits.IdleTimeout),
	}
	parsed.Classes = classes
	parsed.Tenants = object.tenants()
	if object.reportsLoad() {
		parsed.ReportFieldNames = object.Reports.Fields
		parsed.ReportFields = reportFields(object.Reports.Fields)
	}
	return parsed, nil
}

// checkRelay checks that there are classes and that the index of the relay is below the number of relays.
func (o *info) checkRelay() error {
	if len(o.Classes) == 0 {
		return fieldError("classes", nil, ErrNoClasses, "no classes, expected at least one")
	}
	if o.RelayCount < 1 || o.RelayIndex < 0 || o.RelayIndex >= o.RelayCount {
		return fieldError("me", int(o.RelayIndex), ErrOutOfRange, "relay %d of %d, expected 0 <= me < n-instances",
			o.RelayIndex, o.RelayCount)
	}
	return nil
}

// balancerSettings converts all settings but the classes, the tenants and the fields of load reports.
func (o *info) balancerSettings() balance.Settings {
	return balance.Settings{
		RelayIndex:            int(o.RelayIndex),
		RelayCount:            int(o.RelayCount),
		Zone:                  int(o.Zone),
		Tick:                  FromMilliseconds(o.Tick),
		OverQuotaPriority:     o.OverQuotaPriority,
		Groups:                o.Family.Groups,
		PassThrough:           o.Family.Mode == modePassThrough,
		ReportsConnectionLoad: o.Family.ReportsConnectionLoad,
		ReportsMessageDelay:   o.Family.ReportsMessageDelay,
		ParkTime:              FromMilliseconds(o.Family.ParkTime),
		HealthChecks:          o.Limits.HealthChecks,
		Gossip:                o.Limits.Gossip,
		Cancellation:          o.Limits.Cancellation,
		RetryAfter:            o.Limits.RetryAfter,
		MaxAttempts:           max(1, int(o.Limits.MaxAttempts)),
		MaxRetryAfter:         FromMilliseconds(o.Limits.MaxRetryAfter),
		DialTimeout:           FromMilliseconds(o.Limits.DialTimeout),
		PollEndpoints:         o.DiscoveryMode == registryOnRequest,
		PollInterval:          FromMilliseconds(o.Rules.PollInterval),
		AnswerSlack:           FromMilliseconds(o.Rules.AnswerSlack),
		DrainGrace:            FromMilliseconds(o.Rules.DrainGrace),
		SlowStartFloor:        o.Rules.SlowStartFloor,
		SlowStartWindow:       FromMilliseconds(o.Rules.SlowStartWindow),
		OverloadMultiple:      o.Rules.OverloadMultiple,
		OverloadWindow:        FromMilliseconds(o.Rules.OverloadWindow),
		Weights:               weightModes[o.Weights],
		Costs:                 o.costs(),
	}
}

func (o *info) costs() balance.Costs {
	return balance.Costs{
		CrossZone:   o.Costs.CrossZone,
		Waste:       o.Costs.Waste,
		HealthCheck: o.Costs.HealthCheck,
		Migration:   o.Costs.Migration,
		Gossip:      o.Costs.Gossip,
		List:        o.Costs.List,
		LateFailure: o.Costs.LateFailure,
	}
}

func (o *info) classes() ([]balance.Class, error) {
	var classes []balance.Class
	for i := range o.Classes {
		class, err := o.class(i)
		if err != nil {
			return nil, err
		}
		classes = append(classes, class)
	}
	return classes, nil
}

// class converts the class with the given index. Only a class with idempotency keys needs a deduplication scope.
func (o *info) class(index int) (balance.Class, error) {
	object := &o.Classes[index]
	idempotency, ok := idempotencies[object.Idempotency]
	if !ok {
		return balance.Class{}, fieldError(classField(index, "effect"), object.Idempotency, ErrUnknownValue,
			`class %d has unknown effect %q, expected "read_like", "idempotency_key" or "non_idempotent"`, index, object.Idempotency)
	}
	scope, ok := dedupScopes[object.DedupScope]
	if !ok && idempotency == balance.IdempotentWithKey {
		return balance.Class{}, fieldError(classField(index, "dedup-scope"), object.DedupScope, ErrUnknownValue,
			`class %d has unknown dedup-scope %q, expected "all", "zone" or "cell"`, index, object.DedupScope)
	}
	class := balance.Class{
		NameHash:         HashName(object.Name),
		LatencyObjective: FromMilliseconds(object.LatencyObjective),
		ClientTimeout:    FromMilliseconds(object.ClientTimeout),
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      FromMilliseconds(object.DedupWindow),
		PriorityWeight:   object.PriorityWeight,
	}
	if index < len(o.Family.MessageLatencyObjectives) {
		class.MessageLatencyObjective = FromMilliseconds(o.Family.MessageLatencyObjectives[index])
	}
	return class, nil
}

func (o *info) tenants() []balance.Tenant {
	var tenants []balance.Tenant
	for i, object := range o.Tenants {
		tenant := balance.Tenant{Share: object.Share, RequestsPerSecond: object.RequestsPerSecond}
		if i < len(o.Family.ConnectionQuotas) {
			tenant.ConnectionQuota = o.Family.ConnectionQuotas[i]
		}
		tenants = append(tenants, tenant)
	}
	return tenants
}

// reportsLoad reports whether load reports can arrive at all: those that come with the answers to health checks cannot if
// health checks are off.
func (o *info) reportsLoad() bool {
	switch o.Reports.Mode {
	case reportsOff:
		return false
	case reportsOnProbe:
		return o.Limits.HealthChecks
	}
	return true
}

func reportFields(names []string) []balance.ReportField {
	var fields []balance.ReportField
	for _, name := range names {
		fields = append(fields, ReportField(name))
	}
	return fields
}

// ReportField returns the field of a load report with the given name, balance.FieldOther for an unknown name.
func ReportField(name string) balance.ReportField { return reportFieldsByName[name] }

// namesOf returns the names of a list of objects; nil for an empty list.
func namesOf[Object any](objects []Object, name func(Object) string) []string {
	var names []string
	for _, object := range objects {
		names = append(names, name(object))
	}
	return names
}
