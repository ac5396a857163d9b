package testcluster

import (
	"cmp"
	"time"

	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/simulation"
)

// requestClass is a class of requests. relaySettings configures the relays with it, invariantLimits the invariant checker.
type requestClass struct {
	name               string
	clientTimeout      time.Duration
	latencyObjective   time.Duration
	idempotency        string
	checkerIdempotency invariant.Idempotency
	priorityWeight     float64
}

// requestClasses are the classes that clients choose from.
var requestClasses = []requestClass{
	{"watch", 2 * time.Second, 400 * time.Millisecond, "read_like", invariant.Idempotent, 1},
	{"fetch", 1800 * time.Millisecond, 400 * time.Millisecond, "idempotency_key", invariant.IdempotentWithKey, 2},
	{"submit", 3 * time.Second, 600 * time.Millisecond, "non_idempotent", invariant.NonIdempotent, 5},
}

const (
	messageLatencyObjective = 60 * time.Millisecond
	dedupWindow             = 3 * time.Second
	maxAttempts             = 4
	drainGrace              = 250 * time.Millisecond
	answerSlack             = 16 * time.Millisecond
	coldCapacity            = 0.3
	warmUpTime              = 8 * time.Second
	overloadFactor          = 2.5
	overloadWindow          = 3 * time.Second
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// relaySettings returns the settings object for the configuration file of the relay with the given index.
func relaySettings(f *simulation.Installation, index int) map[string]any {
	var classes []map[string]any
	var latencyObjectives []float64
	for _, c := range requestClasses {
		classes = append(classes, map[string]any{"name": c.name, "on-time-ms": milliseconds(c.latencyObjective), "give-up-ms": milliseconds(c.clientTimeout), "effect": c.idempotency,
			"dedup-scope": "cell", "dedup-window-ms": milliseconds(dedupWindow), "worth": c.priorityWeight})
		latencyObjectives = append(latencyObjectives, milliseconds(messageLatencyObjective))
	}
	stats := map[string]any{"how": "on_probe", "fields": []string{"x0", "errors_per_s"}}
	if f.NoLoadReports {
		stats = map[string]any{"how": "off"}
	}
	mode := "proxy"
	if f.MidStreamShare > 0 { // relays accept mid-stream requests only in this mode
		mode = "pass"
	}
	weights := "off"
	if f.ListsWeights {
		weights = "nominal"
	}
	return map[string]any{"azs": zones, "kinds": []string{"k"}, "classes": classes, "me": index, "n-instances": f.Relays, "zone": index % len(zones),
		"tick-ms": 4, "registry-mode": "pushed", "weights": weights, "over-share-worth": 1, "stats": stats,
		"family-info": map[string]any{"mode": mode, "message-aim-ms": latencyObjectives},
		"limits": map[string]any{"probes": true, "cancelling": true, "retry-after": true, "peers": f.Gossip,
			"dial-timeout-ms": milliseconds(cmp.Or(f.ConnectTimeout, 250*time.Millisecond)),
			"idle-close-ms":   5000, "max-retry-after-ms": 1500, "try-limit": maxAttempts},
		"rules": map[string]any{"answer-slack-ms": milliseconds(answerSlack), "stop-sending-within-ms": milliseconds(drainGrace), "cold-from": coldCapacity,
			"warm-up-ms": milliseconds(warmUpTime), "fall-multiple": overloadFactor, "fall-ms": milliseconds(overloadWindow), "ask-every-ms": 10000}}
}

// invariantLimits returns the same limits for the invariant checker, plus allowances for observation delays on a busy
// machine. DiscoveryDelay has none of its own: the checker takes DrainGrace, which has one, from its end on.
func invariantLimits(f *simulation.Installation) invariant.Limits {
	const socketDelay = 50 * time.Millisecond
	allowance := socketDelay + TimingAllowance
	limits := invariant.Limits{MaxAttempts: maxAttempts, AnswerSlack: answerSlack + allowance, DrainGrace: drainGrace + allowance, DiscoveryDelay: 6 * time.Second,
		MaxLineDelay: time.Second + allowance, SilenceTimeout: 7*time.Second + allowance, DepartureGrace: 100*time.Millisecond + TimingAllowance, FirstLineTimeout: 2*time.Second + answerSlack + allowance,
		ColdCapacity: coldCapacity, WarmUp: warmUpTime, OverloadFactor: overloadFactor, OverloadWindow: overloadWindow, WarmRate: f.Server.WarmRequestRate, ObservationDelay: TimingAllowance}
	for _, c := range requestClasses {
		limits.Classes = append(limits.Classes, invariant.Class{Name: c.name, ClientTimeout: c.clientTimeout, LatencyObjective: c.latencyObjective, Idempotency: c.checkerIdempotency,
			ScopedToCell: c.checkerIdempotency == invariant.IdempotentWithKey, DedupWindow: dedupWindow})
	}
	return limits
}
