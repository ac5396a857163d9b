// Package settings reads the settings object: the rules, request classes and tenants of an installation, in JSON, as a
// relay is given them at its start and at a reload. The simulator's first message and a real relay's configuration hold
// the same object, and both are parsed here.
//
// The package opens no files and knows no defaults: a field that the object leaves out is zero. It gives no meaning to
// the names of zones, classes, tenants and machine kinds either, which are kept for messages only. The TOML form of a
// configuration, and where either form is read from, belong to package config.
package settings

import (
	"time"

	"aspenbarrow/balance"
)

// Settings are the balancer's settings and what the rest of a relay needs beside them, such as the names by which
// lines and lists refer to its entries.
type Settings struct {
	balance.Settings
	ClassNames       []string // in the order of balance.Settings.Classes
	TenantNames      []string // in the order of balance.Settings.Tenants
	ZoneNames        []string
	KindNames        []string      // of machines
	ReportFieldNames []string      // fields of a load report, in order; empty: reports carry none
	IdleTimeout      time.Duration // after which an unused connection to a backend is closed
}

// Parse reads the settings object. It skips fields that it does not know. Settings that no relay could run by give a
// *FieldError; Validate holds them to more.
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
		TenantNames: namesOf(object.Customers, func(tenant tenantObject) string { return tenant.Name }),
		ZoneNames:   object.Zones,
		KindNames:   object.Kinds,
		IdleTimeout: FromMilliseconds(object.Limits.IdleClose),
	}
	parsed.Classes = classes
	parsed.Tenants = object.tenants()
	if object.reportsLoad() {
		parsed.ReportFieldNames = object.Stats.Fields
		parsed.ReportFields = reportFields(object.Stats.Fields)
	}
	return parsed, nil
}

// checkRelay checks that there are classes and that the relay is one of the installation's.
func (o *info) checkRelay() error {
	if len(o.Classes) == 0 {
		return fieldError("classes", nil, ErrNoClasses, "no classes")
	}
	if o.Instances < 1 || o.Me < 0 || o.Me >= o.Instances {
		return fieldError("me", o.Me, ErrOutOfRange, "relay %d of %d", o.Me, o.Instances)
	}
	return nil
}

// balancerSettings converts all settings but the classes, the tenants and the fields of load reports.
func (o *info) balancerSettings() balance.Settings {
	return balance.Settings{
		RelayIndex:            o.Me,
		RelayCount:            o.Instances,
		Zone:                  o.Zone,
		Tick:                  FromMilliseconds(o.Tick),
		OverQuotaPriority:     o.OverShare,
		Groups:                o.Family.Groups,
		PassThrough:           o.Family.Mode == modePassThrough,
		ReportsConnectionLoad: o.Family.TellsLoad,
		ReportsMessageDelay:   o.Family.TellsDelay,
		ParkTime:              FromMilliseconds(o.Family.Park),
		HealthChecks:          o.Limits.Probes,
		Gossip:                o.Limits.Peers,
		Cancellation:          o.Limits.Cancelling,
		RetryAfter:            o.Limits.RetryAfter,
		MaxAttempts:           max(1, o.Limits.TryLimit),
		MaxRetryAfter:         FromMilliseconds(o.Limits.MaxRetryAfter),
		DialTimeout:           FromMilliseconds(o.Limits.DialTimeout),
		PollEndpoints:         o.Registry == registryOnRequest,
		PollInterval:          FromMilliseconds(o.Rules.AskEvery),
		AnswerSlack:           FromMilliseconds(o.Rules.AnswerSlack),
		DrainGrace:            FromMilliseconds(o.Rules.StopSending),
		SlowStartFloor:        o.Rules.ColdFrom,
		SlowStartWindow:       FromMilliseconds(o.Rules.WarmUp),
		OverloadMultiple:      o.Rules.FallMultiple,
		OverloadWindow:        FromMilliseconds(o.Rules.FallMS),
		Weights:               weightModes[o.Weights],
		Costs:                 o.costs(),
	}
}

func (o *info) costs() balance.Costs {
	return balance.Costs{
		CrossZone:   o.Prices.CrossZone,
		Waste:       o.Prices.Waste,
		HealthCheck: o.Prices.Probe,
		Migration:   o.Prices.Moves,
		Gossip:      o.Prices.Peer,
		List:        o.Prices.List,
		LateFailure: o.Prices.LateFail,
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

// class converts the class with an index. Only a class with idempotency keys needs a deduplication scope.
func (o *info) class(index int) (balance.Class, error) {
	object := &o.Classes[index]
	idempotency, ok := idempotencies[object.Effect]
	if !ok {
		return balance.Class{}, fieldError(classField(index, "effect"), object.Effect, ErrUnknownWord,
			"class %d has unknown effect %q", index, object.Effect)
	}
	scope, ok := dedupScopes[object.Scope]
	if !ok && idempotency == balance.IdempotentWithKey {
		return balance.Class{}, fieldError(classField(index, "dedup-scope"), object.Scope, ErrUnknownWord,
			"class %d has unknown scope %q", index, object.Scope)
	}
	class := balance.Class{
		NameHash:         HashName(object.Name),
		LatencyObjective: FromMilliseconds(object.OnTime),
		ClientTimeout:    FromMilliseconds(object.GiveUp),
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      FromMilliseconds(object.Window),
		PriorityWeight:   object.Worth,
	}
	if index < len(o.Family.MessageAim) {
		class.MessageLatencyObjective = FromMilliseconds(o.Family.MessageAim[index])
	}
	return class, nil
}

func (o *info) tenants() []balance.Tenant {
	var tenants []balance.Tenant
	for i, object := range o.Customers {
		tenant := balance.Tenant{Share: object.Portion, RequestsPerSecond: object.Quota}
		if i < len(o.Family.Quota) {
			tenant.ConnectionQuota = o.Family.Quota[i]
		}
		tenants = append(tenants, tenant)
	}
	return tenants
}

// reportsLoad says whether load reports can arrive at all: those that come with the answers to health checks never do
// where there are no health checks.
func (o *info) reportsLoad() bool {
	switch o.Stats.How {
	case reportsOff:
		return false
	case reportsOnProbe:
		return o.Limits.Probes
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

// ReportField returns the field of a load report with a name, balance.FieldOther for a name that is not known.
func ReportField(name string) balance.ReportField { return reportFieldsByName[name] }

// namesOf returns the names of a list of objects; nil for an empty list.
func namesOf[Object any](objects []Object, name func(Object) string) []string {
	var names []string
	for _, object := range objects {
		names = append(names, name(object))
	}
	return names
}
