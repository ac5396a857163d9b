package simulation

import (
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/settings"
)

// drawSettings draws the settings of an installation. With Options.Installation they do not depend on the seed.
func (run *run) drawSettings() {
	run.classes = []class{{"watch", 2 * time.Second, 1}, {"fetch", 1800 * time.Millisecond, 2}, {"submit", 3 * time.Second, 5}}
	if run.options.Installation == nil {
		run.classes = append(run.classes, class{"extra", 1500 * time.Millisecond, 3}) // used only after a settings change
	}
	run.servedByClass = make([]int, len(run.classes))
	run.settings = settings.Settings{
		Settings:         run.drawBalanceSettings(),
		ClassNames:       []string{"watch", "fetch", "submit"},
		ZoneNames:        zones,
		KindNames:        []string{"k"},
		ReportFieldNames: []string{"x0"},
		IdleTimeout:      5 * time.Second,
	}
	if installation := run.options.Installation; installation != nil {
		s := &run.settings
		if installation.NoLoadReports {
			s.ReportFields = nil
		}
		s.HealthChecks, s.Gossip, s.RetryAfter = true, installation.Gossip, true
		s.Groups, s.PollEndpoints = false, false
	}
}

// drawBalanceSettings draws the settings of package balance.
func (run *run) drawBalanceSettings() balance.Settings {
	rng := run.engine.rng
	return balance.Settings{
		RelayCount:            1,
		Tick:                  4 * time.Millisecond,
		HealthChecks:          rng.IntN(8) != 0,
		Gossip:                rng.IntN(4) != 0,
		Cancellation:          true,
		RetryAfter:            rng.IntN(4) != 0,
		MaxRetryAfter:         1500 * time.Millisecond,
		MaxAttempts:           4,
		DialTimeout:           250 * time.Millisecond,
		AnswerSlack:           16 * time.Millisecond,
		DrainGrace:            250 * time.Millisecond,
		SlowStartFloor:        0.3,
		SlowStartWindow:       8 * time.Second,
		OverloadMultiple:      2.5,
		OverloadWindow:        3 * time.Second,
		Groups:                rng.IntN(3) == 0,
		PollEndpoints:         rng.IntN(4) == 0,
		PollInterval:          2 * time.Second,
		ReportFields:          []balance.ReportField{balance.FieldLoadShare},
		Weights:               balance.WeightsNominal,
		ReportsConnectionLoad: true,
		OverQuotaPriority:     1,
		Classes:               baseClasses(),
	}
}

// baseClasses returns the classes that every installation has.
func baseClasses() []balance.Class {
	return []balance.Class{{
		LatencyObjective:        400 * time.Millisecond,
		ClientTimeout:           2 * time.Second,
		MessageLatencyObjective: messageLatencyObjective,
		Idempotency:             balance.Idempotent,
		PriorityWeight:          1,
	}, {
		LatencyObjective:        400 * time.Millisecond,
		ClientTimeout:           1800 * time.Millisecond,
		MessageLatencyObjective: messageLatencyObjective,
		Idempotency:             balance.IdempotentWithKey,
		DedupScope:              balance.ScopeCell,
		DedupWindow:             3 * time.Second,
		PriorityWeight:          2,
	}, {
		LatencyObjective:        600 * time.Millisecond,
		ClientTimeout:           3 * time.Second,
		MessageLatencyObjective: messageLatencyObjective,
		Idempotency:             balance.NonIdempotent,
		PriorityWeight:          5,
	}}
}

// limits returns what the invariant checker enforces: the settings, with an allowance for the delays of sockets.
func (run *run) limits() invariant.Limits {
	const allowance = 50 * time.Millisecond
	s := &run.settings
	return invariant.Limits{
		Classes:          run.classLimits(),
		MaxAttempts:      4,
		AnswerSlack:      s.AnswerSlack + allowance,
		DrainGrace:       s.DrainGrace + allowance,
		DiscoveryDelay:   6 * time.Second,
		MaxLineDelay:     time.Second + allowance,
		SilenceTimeout:   7*time.Second + allowance,
		DepartureGrace:   100 * time.Millisecond,
		FirstLineTimeout: 2*time.Second + s.AnswerSlack + allowance,
		ColdCapacity:     s.SlowStartFloor,
		WarmUp:           s.SlowStartWindow,
		OverloadFactor:   s.OverloadMultiple,
		OverloadWindow:   s.OverloadWindow,
		WarmRate:         run.warmRequestRate(),
	}
}

// classLimits returns the classes as the invariant checker enforces them.
func (run *run) classLimits() []invariant.Class {
	classes := []invariant.Class{{
		Name:          "watch",
		ClientTimeout: 2 * time.Second,
		Idempotency:   invariant.Idempotent,
	}, {
		Name:          "fetch",
		ClientTimeout: 1800 * time.Millisecond,
		Idempotency:   invariant.IdempotentWithKey,
		ScopedToCell:  true,
		DedupWindow:   3 * time.Second,
	}, {
		Name:          "submit",
		ClientTimeout: 3 * time.Second,
		Idempotency:   invariant.NonIdempotent,
	}}
	policies := run.options.RetryPolicies
	for i := range classes {
		classes[i].LatencyObjective = run.settings.Classes[i].LatencyObjective
		if i < len(policies) {
			classes[i].MaxAttempts, classes[i].TotalTimeout = policies[i].MaxAttempts, policies[i].RequestTimeout
		}
	}
	return classes
}

// changeSettings reloads all relays with extendedSettings, or with the original settings again. Clients start to use the
// additional class classRolloutDelay after the change at the earliest, and stop using it as long before it is removed.
func (run *run) changeSettings(extend bool, idempotency balance.Idempotency, maxAttempts int) {
	classes, changed := run.classLimits(), run.settings
	if extend {
		classes, changed = run.extendedSettings(idempotency, maxAttempts)
	}
	run.count("settings changed")
	for _, r := range run.relays {
		reloaded := changed
		reloaded.RelayIndex, reloaded.RelayCount, reloaded.Zone = r.cfg.Settings.RelayIndex, r.cfg.Settings.RelayCount, r.cfg.Settings.Zone
		r.cfg.Settings, r.cfg.Routes = reloaded, run.routingTable()
		if extend && r.cfg.Routes != nil { // the additional class is the first, so the others move up by one
			r.cfg.Routes = r.cfg.Routes.RemapClasses([]int{1, 2, 3})
		}
		run.checker.RelayReconfigured(r.number, classes, changed.MaxAttempts)
		if r.up {
			r.reload(r.cfg)
		}
	}
	if extend {
		run.engine.schedule(classRolloutDelay, run.rollOutClass)
	}
}

// rollOutClass has a third of the clients use the additional class, unless it is about to be removed. A relay that is paused may
// not have loaded it yet: the clients wait until none is.
func (run *run) rollOutClass() {
	switch {
	case run.baseClassesOnly:
		return
	case slices.ContainsFunc(run.relays, func(r *relay) bool { return r.up && r.paused }):
		run.engine.schedule(classRolloutDelay, run.rollOutClass)
		return
	}
	for i, c := range run.clients {
		if i%3 == 0 {
			c.class = len(run.classes) - 1
		}
	}
}

// extendedSettings returns settings with an additional class, the idempotency of two classes swapped and another attempt
// limit, and their classes as the invariant checker enforces them.
func (run *run) extendedSettings(idempotency balance.Idempotency, maxAttempts int) ([]invariant.Class, settings.Settings) {
	classes, extended := run.classLimits(), run.settings
	toInvariant := map[balance.Idempotency]invariant.Idempotency{
		balance.Idempotent:    invariant.Idempotent,
		balance.NonIdempotent: invariant.NonIdempotent,
	}
	extended.ClassNames = append([]string{"extra"}, extended.ClassNames...)
	extended.Classes = append([]balance.Class{{
		LatencyObjective:        400 * time.Millisecond,
		ClientTimeout:           1500 * time.Millisecond,
		MessageLatencyObjective: messageLatencyObjective,
		Idempotency:             idempotency,
		PriorityWeight:          3,
	}}, extended.Classes...)
	extended.Classes[1].Idempotency, extended.Classes[3].Idempotency = balance.NonIdempotent, balance.Idempotent
	extended.MaxAttempts = maxAttempts
	classes[0].Idempotency, classes[2].Idempotency = invariant.NonIdempotent, invariant.Idempotent
	classes = append(classes, invariant.Class{
		Name:             "extra",
		ClientTimeout:    1500 * time.Millisecond,
		Idempotency:      toInvariant[idempotency],
		LatencyObjective: 400 * time.Millisecond,
	})
	return classes, extended
}

// classRolloutDelay is the shortest time between a reload and the clients' first use of an additional class.
const classRolloutDelay = 1200 * time.Millisecond

// routingTable returns routes that give each class its retry policy, or nil if there are no policies.
func (run *run) routingTable() *routing.Table {
	var routes []routing.Route
	for i, policy := range run.options.RetryPolicies {
		match := routing.MatchAll
		match.Class = i
		routes = append(routes, routing.Route{Name: run.classes[i].name, Match: match, RetryPolicy: policy})
	}
	if routes == nil {
		return nil
	}
	table, errs := routing.NewTable(routes)
	if len(errs) > 0 {
		panic(errs[0])
	}
	return table
}
