package config

import (
	"slices"
	"strings"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// lineSeparators separate the words of a protocol line, so no name can contain them.
const lineSeparators = " ,="

// shareTolerance is the rounding error that the sum of the tenants' shares may have.
const shareTolerance = 1e-9

// Values of keys in the file.
const (
	effectKeyed       = "keyed"
	discoveryOnDemand = "on-request"
)

var (
	idempotencies = map[string]balance.Idempotency{
		"safe":      balance.Idempotent,
		effectKeyed: balance.IdempotentWithKey,
		"unsafe":    balance.NonIdempotent,
	}
	dedupScopes = map[string]balance.DedupScope{
		"all":  balance.ScopeAll,
		"zone": balance.ScopeZone,
		"cell": balance.ScopeCell,
	}
	weightModes = map[string]balance.WeightMode{
		"off":     balance.WeightsOff,
		"nominal": balance.WeightsNominal,
		"rough":   balance.WeightsRough,
		"live":    balance.WeightsLive,
	}
)

// settings returns the installation's rules, classes and tenants.
func (b *builder) settings() settings.Settings {
	rules := &b.doc.Rules
	b.checkNames(keyZones, rules.Zones)
	b.checkNames("rules.kinds", rules.Kinds)
	result := settings.Settings{
		ZoneNames:        rules.Zones,
		KindNames:        rules.Kinds,
		ReportFieldNames: rules.ReportFields,
		IdleTimeout:      rules.IdleTimeout,
	}
	result.Settings = b.balancerSettings(b.zone())
	b.checkRules()
	for _, name := range rules.ReportFields {
		result.ReportFields = append(result.ReportFields, settings.ReportField(name))
	}
	if !rules.HealthChecks { // reports come with the answers to health checks, so the relay would wait for reports that never come
		result.ReportFields, result.ReportFieldNames = nil, nil
	}
	b.classes(&result)
	b.tenants(&result)
	return result
}

// zone returns the index of the relay's zone, 0 if the file names none or an unknown one.
func (b *builder) zone() int {
	name, zones := b.doc.Relay.Zone, b.doc.Rules.Zones
	if name == "" {
		return 0
	}
	zone := slices.Index(zones, name)
	if zone < 0 {
		b.report("relay.zone", ErrUnknownValue, "%s", notOneOf(name, keyZones, zones))
	}
	return max(0, zone)
}

// balancerSettings returns the settings of the balancer except classes, tenants and fields of load reports.
func (b *builder) balancerSettings(zone int) balance.Settings {
	doc, rules := b.doc, &b.doc.Rules
	drainGrace := rules.DrainGrace
	if doc.Relay.DrainGrace > 0 {
		drainGrace = doc.Relay.DrainGrace
	}
	return balance.Settings{
		RelayIndex:            doc.Relay.Index,
		RelayCount:            max(1, doc.Relay.Count),
		Zone:                  zone,
		Tick:                  rules.Tick,
		OverQuotaPriority:     rules.OverQuotaPriority,
		Groups:                rules.Groups,
		PassThrough:           rules.PassThrough,
		ReportsConnectionLoad: rules.ReportsConnectionLoad,
		ReportsMessageDelay:   rules.ReportsMessageDelay,
		HealthChecks:          rules.HealthChecks,
		Gossip:                rules.Gossip,
		Cancellation:          rules.Cancellation,
		RetryAfter:            rules.RetryAfter,
		MaxAttempts:           rules.MaxAttempts,
		MaxRetryAfter:         rules.MaxRetryAfter,
		DialTimeout:           rules.ConnectTimeout,
		PollEndpoints:         doc.Discovery.Mode == discoveryOnDemand,
		PollInterval:          doc.Discovery.PollInterval,
		AnswerSlack:           rules.AnswerSlack,
		DrainGrace:            drainGrace,
		SlowStartFloor:        rules.SlowStartFloor,
		SlowStartWindow:       rules.SlowStartWindow,
		OverloadMultiple:      rules.OverloadMultiple,
		OverloadWindow:        rules.OverloadWindow,
		Weights:               weightModes[rules.Weights],
	}
}

// checkRules checks the rules that a relay needs to be in range and free of contradictions.
func (b *builder) checkRules() {
	rules := &b.doc.Rules
	if rules.MaxAttempts < 1 {
		b.report("rules.max-attempts", ErrOutOfRange, "%d is out of range: expected at least 1", rules.MaxAttempts)
	}
	if rules.ConnectTimeout == 0 {
		b.report("rules.connect-timeout", ErrOutOfRange, "%v is out of range: expected more than 0", rules.ConnectTimeout)
	}
	if rules.Tick == 0 {
		b.report("rules.tick", ErrOutOfRange, "%v is out of range: expected more than 0", rules.Tick)
	}
	if rules.SlowStartFloor > 1 {
		b.report("rules.cold-from", ErrOutOfRange, "%v is out of range: expected at most 1, the full capacity", rules.SlowStartFloor)
	}
	if rules.OverQuotaPriority > 1 {
		b.report("rules.over-share-worth", ErrOutOfRange, "%v is out of range: expected at most 1, the full worth", rules.OverQuotaPriority)
	}
	if rules.ReportsConnectionLoad && rules.ReportsMessageDelay {
		b.report("rules.tells-delay", ErrConflict, "a LOAD line carries one value, and with rules.tells-load that is the connection's load")
	}
}

// classes adds the request classes to the settings.
func (b *builder) classes(result *settings.Settings) {
	if len(b.doc.Classes) == 0 {
		b.report("class", ErrMissingKey, "is missing: expected at least one class")
	}
	for i := range b.doc.Classes {
		class := &b.doc.Classes[i]
		b.checkClass(elementKey("class", i), class, result.ClassNames)
		result.ClassNames = append(result.ClassNames, class.Name)
		result.Classes = append(result.Classes, balance.Class{
			NameHash:                settings.HashName(class.Name),
			LatencyObjective:        class.LatencyObjective,
			ClientTimeout:           class.ClientTimeout,
			MessageLatencyObjective: class.MessageLatencyObjective,
			Idempotency:             idempotencies[class.Idempotency],
			DedupScope:              dedupScopes[class.DedupScope],
			DedupWindow:             class.DedupWindow,
			PriorityWeight:          class.PriorityWeight,
		})
	}
}

// checkClass checks one class; earlier contains the names of the classes before it.
func (b *builder) checkClass(key string, class *classSection, earlier []string) {
	if slices.Contains(earlier, class.Name) {
		b.report(key+".name", ErrDuplicate, "%q is the name of two classes", class.Name)
	}
	if strings.ContainsAny(class.Name, lineSeparators) {
		b.report(key+".name", ErrInvalidValue, "%q cannot be written in an OPEN line: expected no space, comma or =", class.Name)
	}
	if class.Idempotency == effectKeyed && class.DedupWindow == 0 {
		b.report(key+".window", ErrMissingKey, "is missing: it is how long repeats are discarded, required because %s.effect is keyed", key)
	}
	if class.Idempotency != effectKeyed && class.DedupWindow > 0 {
		b.report(key+".window", ErrConflict, "%v is only allowed for keyed classes, but %s.effect is %s",
			class.DedupWindow, key, class.Idempotency)
	}
	if b.given[key+".give-up"] && class.ClientTimeout == 0 {
		b.report(key+".give-up", ErrOutOfRange, "%v is out of range: expected more than 0", class.ClientTimeout)
	} else if class.LatencyObjective > class.ClientTimeout && class.ClientTimeout > 0 {
		b.report(key+".on-time", ErrConflict, "%v is longer than %s.give-up, %v", class.LatencyObjective, key, class.ClientTimeout)
	}
}

// tenants adds the tenants to the settings.
func (b *builder) tenants(result *settings.Settings) {
	totalShare := 0.0
	for i, tenant := range b.doc.Tenants {
		key := elementKey("tenant", i)
		if slices.Contains(result.TenantNames, tenant.Name) {
			b.report(key+".name", ErrDuplicate, "%q is the name of two tenants", tenant.Name)
		}
		totalShare += tenant.Share
		if totalShare > 1+shareTolerance {
			b.report(key+".share", ErrConflict, "the shares of the tenants up to this one add up to %.3g, expected at most 1", totalShare)
		}
		result.TenantNames = append(result.TenantNames, tenant.Name)
		result.Tenants = append(result.Tenants, balance.Tenant{
			Share:             tenant.Share,
			RequestsPerSecond: tenant.RequestsPerSecond,
			ConnectionQuota:   tenant.ConnectionQuota,
		})
	}
}
