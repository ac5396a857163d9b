package testcluster

import (
	"cmp"
	"time"

	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/simulation"
)

// class is a class of requests: settingsOf tells relays of it, rulesOf the checker.
type class struct {
	name    string
	giveUp  time.Duration
	onTime  time.Duration
	effect  string
	checked invariant.Idempotency
	worth   float64
}

var classes = []class{
	{"watch", 2 * time.Second, 400 * time.Millisecond, "read_like", invariant.Idempotent, 1},
	{"fetch", 1800 * time.Millisecond, 400 * time.Millisecond, "idempotency_key", invariant.IdempotentWithKey, 2},
	{"submit", 3 * time.Second, 600 * time.Millisecond, "non_idempotent", invariant.NonIdempotent, 5},
}

const (
	messageAim   = 60 * time.Millisecond
	dedupWindow  = 3 * time.Second
	tryLimit     = 4
	drainGrace   = 250 * time.Millisecond
	answerSlack  = 16 * time.Millisecond
	coldFrom     = 0.3
	warmUp       = 8 * time.Second
	fallMultiple = 2.5
	fallSpan     = 3 * time.Second
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settingsOf is the settings object of one relay, with the names and units of the platform's page.
func settingsOf(f *simulation.Installation, me int) map[string]any {
	var list []map[string]any
	var aims []float64
	for _, c := range classes {
		list = append(list, map[string]any{"name": c.name, "on-time-ms": ms(c.onTime), "give-up-ms": ms(c.giveUp), "effect": c.effect,
			"dedup-scope": "cell", "dedup-window-ms": ms(dedupWindow), "worth": c.worth})
		aims = append(aims, ms(messageAim))
	}
	stats := map[string]any{"how": "on_probe", "fields": []string{"x0", "errors_per_s"}}
	if f.NoLoadReports {
		stats = map[string]any{"how": "off"}
	}
	weights := "off"
	if f.ListsWeights {
		weights = "nominal"
	}
	return map[string]any{"azs": zones, "kinds": []string{"k"}, "classes": list, "me": me, "n-instances": f.Relays, "zone": me % len(zones),
		"tick-ms": 4, "registry-mode": "pushed", "weights": weights, "over-share-worth": 1, "stats": stats,
		"family-info": map[string]any{"mode": "proxy", "message-aim-ms": aims},
		"limits": map[string]any{"probes": true, "cancelling": true, "retry-after": true, "peers": f.Gossip,
			"dial-timeout-ms": ms(cmp.Or(f.ConnectTimeout, 250*time.Millisecond)),
			"idle-close-ms":   5000, "max-retry-after-ms": 1500, "try-limit": tryLimit},
		"rules": map[string]any{"answer-slack-ms": ms(answerSlack), "stop-sending-within-ms": ms(drainGrace), "cold-from": coldFrom,
			"warm-up-ms": ms(warmUp), "fall-multiple": fallMultiple, "fall-ms": ms(fallSpan), "ask-every-ms": 10000}}
}

// rulesOf are the same for the checker, with what an onlooker on a busy machine has to allow.
func rulesOf(f *simulation.Installation) invariant.Limits {
	const sockets = 50 * time.Millisecond
	allowed := sockets + Allowance
	rules := invariant.Limits{MaxAttempts: tryLimit, AnswerSlack: answerSlack + allowed, DrainGrace: drainGrace + allowed, DiscoveryDelay: 6 * time.Second,
		MaxLineDelay: time.Second + allowed, SilenceTimeout: 7*time.Second + allowed, DepartureGrace: 100*time.Millisecond + Allowance, FirstLineTimeout: 2*time.Second + answerSlack + allowed,
		ColdCapacity: coldFrom, WarmUp: warmUp, OverloadFactor: fallMultiple, OverloadWindow: fallSpan, WarmRate: f.Server.WarmRequestRate, ObservationDelay: Allowance}
	for _, c := range classes {
		rules.Classes = append(rules.Classes, invariant.Class{Name: c.name, ClientTimeout: c.giveUp, LatencyObjective: c.onTime, Idempotency: c.checked,
			ScopedToCell: c.checked == invariant.IdempotentWithKey, DedupWindow: dedupWindow})
	}
	return rules
}
