package config

import (
	"slices"
	"strings"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// lineSeparators separate the words of a protocol line, so that no name can hold them.
const lineSeparators = " ,="

// shareTolerance is the rounding error that the sum of the tenants' shares may have.
const shareTolerance = 1e-9

// Words of the file.
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
	if !rules.HealthChecks { // reports come with the answers to health checks: the relay would wait for them in vain
		result.ReportFields, result.ReportFieldNames = nil, nil
	}
	b.classes(&result)
	b.tenants(&result)
	return result
}

// zone returns the index of the relay's zone, the first if the file names none or one that there is not.
func (b *builder) zone() int {
	name, zones := b.doc.Relay.Zone, b.doc.Rules.Zones
	if name == "" {
		return 0
	}
	zone := slices.Index(zones, name)
	if zone < 0 {
		b.report("relay.zone", ErrUnknownValue, "%s", noneOf(name, keyZones, zones))
	}
	return max(0, zone)
}

// balancerSettings returns all settings of the balancer but the classes, the tenants and the fields of load reports.
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

// checkRules checks the rules that a relay cannot run by if they are out of range or disagree.
func (b *builder) checkRules() {
	rules := &b.doc.Rules
	if rules.MaxAttempts < 1 {
		b.report("rules.max-attempts", ErrOutOfRange, "is nothing")
	}
	if rules.ConnectTimeout == 0 {
		b.report("rules.connect-timeout", ErrOutOfRange, "is nothing")
	}
	if rules.Tick == 0 {
		b.report("rules.tick", ErrOutOfRange, "is nothing")
	}
	if rules.SlowStartFloor > 1 {
		b.report("rules.cold-from", ErrOutOfRange, "%v is over the whole capacity", rules.SlowStartFloor)
	}
	if rules.OverQuotaPriority > 1 {
		b.report("rules.over-share-worth", ErrOutOfRange, "%v is over the full worth", rules.OverQuotaPriority)
	}
	if rules.ReportsConnectionLoad && rules.ReportsMessageDelay {
		b.report("rules.tells-delay", ErrConflict, "a LOAD line carries one thing: rules.tells-load says that it is the connection's load")
	}
}

// classes adds the request classes to the settings.
func (b *builder) classes(result *settings.Settings) {
	if len(b.doc.Classes) == 0 {
		b.report("class", ErrMissingKey, "is missing: a relay needs one class at least")
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

// checkClass checks one class; earlier are the names of those before it.
func (b *builder) checkClass(key string, class *classSection, earlier []string) {
	if slices.Contains(earlier, class.Name) {
		b.report(key+".name", ErrDuplicate, "%q comes twice", class.Name)
	}
	if strings.ContainsAny(class.Name, lineSeparators) {
		b.report(key+".name", ErrInvalidValue, "%q cannot stand in an OPEN line", class.Name)
	}
	if class.Idempotency == effectKeyed && class.DedupWindow == 0 {
		b.report(key+".window", ErrMissingKey, "is missing, and %s.effect is keyed: for how long are repeats discarded?", key)
	}
	if class.Idempotency != effectKeyed && class.DedupWindow > 0 {
		b.report(key+".window", ErrConflict, "is for keyed classes; %s.effect is %s", key, class.Idempotency)
	}
	if b.given[key+".give-up"] && class.ClientTimeout == 0 {
		b.report(key+".give-up", ErrOutOfRange, "is nothing")
	} else if class.LatencyObjective > class.ClientTimeout && class.ClientTimeout > 0 {
		b.report(key+".on-time", ErrConflict, "%v is over %s.give-up, %v", class.LatencyObjective, key, class.ClientTimeout)
	}
}

// tenants adds the tenants to the settings.
func (b *builder) tenants(result *settings.Settings) {
	totalShare := 0.0
	for i, tenant := range b.doc.Tenants {
		key := elementKey("tenant", i)
		if slices.Contains(result.TenantNames, tenant.Name) {
			b.report(key+".name", ErrDuplicate, "%q comes twice", tenant.Name)
		}
		totalShare += tenant.Share
		if totalShare > 1+shareTolerance {
			b.report(key+".share", ErrConflict, "the shares up to here come to %.3g, over the whole", totalShare)
		}
		result.TenantNames = append(result.TenantNames, tenant.Name)
		result.Tenants = append(result.Tenants, balance.Tenant{
			Share:             tenant.Share,
			RequestsPerSecond: tenant.RequestsPerSecond,
			ConnectionQuota:   tenant.ConnectionQuota,
		})
	}
}
