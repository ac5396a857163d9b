// Package settings reads the settings object that a relay is born with. The
// simulator's first message and a real relay's configuration hold the same JSON,
// so both programs parse it here. It must never supply a figure that the text
// does not give, nor act on the name of a place, class, tenant or machine.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"time"

	"aspenbarrow/balance"
)

// Settings are the module's settings and, beside them, what only an adapter
// needs: the names by which lines and lists refer to their entries.
type Settings struct {
	balance.Settings
	ClassNames  []string // in the order of balance.Settings.Classes
	TenantNames []string
	ZoneNames   []string
	KindNames   []string
	FieldNames  []string      // of a load report, in order; empty: none are given
	IdleClose   time.Duration // how long an idle connection to a backend is kept
}

type info struct {
	Zones   []string `json:"azs"`
	Kinds   []string `json:"kinds"`
	Classes []struct {
		Name   string  `json:"name"`
		OnTime float64 `json:"on-time-ms"`
		GiveUp float64 `json:"give-up-ms"`
		Effect string  `json:"effect"`
		Scope  string  `json:"dedup-scope"`
		Window float64 `json:"dedup-window-ms"`
		Worth  float64 `json:"worth"`
	} `json:"classes"`
	Customers []struct {
		Name    string  `json:"name"`
		Portion float64 `json:"portion"`
		Quota   float64 `json:"quota-per-s"`
	} `json:"customers"`
	Family struct {
		Groups     bool      `json:"groups"`
		MessageAim []float64 `json:"message-aim-ms"`
		Mode       string    `json:"mode"`
		Park       float64   `json:"park-ms"`
		TellsDelay bool      `json:"tells-delay"`
		TellsLoad  bool      `json:"tells-load"`
		Quota      []float64 `json:"tenant-quota-connections"`
	} `json:"family-info"`
	Limits struct {
		Cancelling    bool    `json:"cancelling"`
		DialTimeout   float64 `json:"dial-timeout-ms"`
		IdleClose     float64 `json:"idle-close-ms"`
		MaxRetryAfter float64 `json:"max-retry-after-ms"`
		Peers         bool    `json:"peers"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry-after"`
		TryLimit      int     `json:"try-limit"`
	} `json:"limits"`
	Prices struct {
		CrossZone float64 `json:"cross-zone"`
		Waste     float64 `json:"waste"`
		Probe     float64 `json:"probe"`
		Moves     float64 `json:"moves"`
		Peer      float64 `json:"peer"`
		List      float64 `json:"registry-mode"`
		LateFail  float64 `json:"late-fail"`
	} `json:"prices"`
	Rules struct {
		AnswerSlack  float64 `json:"answer-slack-ms"`
		AskEvery     float64 `json:"ask-every-ms"`
		ColdFrom     float64 `json:"cold-from"`
		FallMS       float64 `json:"fall-ms"`
		FallMultiple float64 `json:"fall-multiple"`
		StopSending  float64 `json:"stop-sending-within-ms"`
		WarmUp       float64 `json:"warm-up-ms"`
	} `json:"rules"`
	Stats struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"stats"`
	Me        int     `json:"me"`
	Instances int     `json:"n-instances"`
	OverShare float64 `json:"over-share-worth"`
	Registry  string  `json:"registry-mode"`
	Tick      float64 `json:"tick-ms"`
	Weights   string  `json:"weights"`
	Zone      int     `json:"zone"`
}

var (
	effects = map[string]balance.Idempotency{"read_like": balance.Idempotent, "idempotency_key": balance.IdempotentWithKey,
		"non_idempotent": balance.NonIdempotent}
	scopes  = map[string]balance.DedupScope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
	weights = map[string]balance.WeightMode{"off": balance.WeightsOff, "nominal": balance.WeightsNominal,
		"rough": balance.WeightsRough, "live": balance.WeightsLive}
	fields = map[string]balance.ReportField{"outstanding": balance.FieldInflight, "backlog": balance.FieldQueue,
		"utilization": balance.FieldUtilization, "errors_per_s": balance.FieldErrors,
		"x0": balance.FieldLoadShare, "x1": balance.FieldBacklog}
)

// Parse reads the settings object. Keys that are not known are skipped;
// settings that no relay could run by are an error.
func Parse(text []byte) (Settings, error) {
	var in info
	if err := json.Unmarshal(text, &in); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(in.Classes) == 0 {
		return Settings{}, errors.New("settings: no classes")
	}
	if in.Instances < 1 || in.Me < 0 || in.Me >= in.Instances {
		return Settings{}, fmt.Errorf("settings: relay %d of %d", in.Me, in.Instances)
	}
	out := Settings{ZoneNames: in.Zones, KindNames: in.Kinds, IdleClose: Duration(in.Limits.IdleClose)}
	s := balance.Settings{
		RelayIndex: in.Me, RelayCount: in.Instances, Zone: in.Zone, Tick: Duration(in.Tick),
		OverQuotaPriority: in.OverShare,
		Groups:            in.Family.Groups, PassThrough: in.Family.Mode == "pass",
		ReportsConnectionLoad: in.Family.TellsLoad, ReportsMessageDelay: in.Family.TellsDelay, ParkTime: Duration(in.Family.Park),
		HealthChecks: in.Limits.Probes, Gossip: in.Limits.Peers, Cancellation: in.Limits.Cancelling,
		RetryAfter: in.Limits.RetryAfter, MaxAttempts: max(1, in.Limits.TryLimit),
		MaxRetryAfter: Duration(in.Limits.MaxRetryAfter), DialTimeout: Duration(in.Limits.DialTimeout),
		PollEndpoints: in.Registry == "on_request", PollInterval: Duration(in.Rules.AskEvery),
		AnswerSlack: Duration(in.Rules.AnswerSlack), DrainGrace: Duration(in.Rules.StopSending),
		SlowStartFloor: in.Rules.ColdFrom, SlowStartWindow: Duration(in.Rules.WarmUp),
		OverloadMultiple: in.Rules.FallMultiple, OverloadWindow: Duration(in.Rules.FallMS),
		Weights: weights[in.Weights],
		Costs: balance.Costs{CrossZone: in.Prices.CrossZone, Waste: in.Prices.Waste, HealthCheck: in.Prices.Probe,
			Migration: in.Prices.Moves, Gossip: in.Prices.Peer, List: in.Prices.List, LateFailure: in.Prices.LateFail},
	}
	for i, c := range in.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return Settings{}, fmt.Errorf("settings: class %d has unknown effect %q", i, c.Effect)
		}
		scope, ok := scopes[c.Scope]
		if !ok && effect == balance.IdempotentWithKey {
			return Settings{}, fmt.Errorf("settings: class %d has unknown scope %q", i, c.Scope)
		}
		class := balance.Class{NameHash: NameOf(c.Name), LatencyObjective: Duration(c.OnTime), ClientTimeout: Duration(c.GiveUp), Idempotency: effect,
			DedupScope: scope, DedupWindow: Duration(c.Window), PriorityWeight: c.Worth}
		if i < len(in.Family.MessageAim) {
			class.MessageLatencyObjective = Duration(in.Family.MessageAim[i])
		}
		s.Classes = append(s.Classes, class)
		out.ClassNames = append(out.ClassNames, c.Name)
	}
	for i, c := range in.Customers {
		t := balance.Tenant{Share: c.Portion, RequestsPerSecond: c.Quota}
		if i < len(in.Family.Quota) {
			t.ConnectionQuota = in.Family.Quota[i]
		}
		s.Tenants = append(s.Tenants, t)
		out.TenantNames = append(out.TenantNames, c.Name)
	}
	if in.Stats.How != "off" && (in.Limits.Probes || in.Stats.How != "on_probe") { // else none ever comes
		for _, f := range in.Stats.Fields {
			s.ReportFields = append(s.ReportFields, fields[f])
		}
		out.FieldNames = in.Stats.Fields
	}
	out.Settings = s
	return out, nil
}

// What a deadline and a number of attempts are at most: what lies beyond is a slip of the pen.
const (
	longestMS    = 24 * 60 * 60 * 1000.0
	mostAttempts = 1 << 16
)

// Sound holds a settings object that is to replace another to more than a relay could run by: each class has a name of
// its own, deadlines and attempts are numbers above 0 that can be meant, and where classes have further figures by
// their order there is one for each.
func Sound(text []byte) error {
	var in info
	if err := json.Unmarshal(text, &in); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	names := map[string]bool{}
	for i, c := range in.Classes {
		switch {
		case c.Name == "" || names[c.Name]:
			return fmt.Errorf("settings: class %d has no name of its own: %q", i, c.Name)
		case !(c.GiveUp > 0 && c.GiveUp <= longestMS):
			return fmt.Errorf("settings: class %q: give-up-ms %v is no time above 0 that can be meant", c.Name, c.GiveUp)
		case !(c.OnTime > 0 && c.OnTime <= longestMS):
			return fmt.Errorf("settings: class %q: on-time-ms %v is no time above 0 that can be meant", c.Name, c.OnTime)
		case effects[c.Effect] == balance.IdempotentWithKey && !(c.Window > 0 && c.Window <= longestMS):
			return fmt.Errorf("settings: class %q: dedup-window-ms %v is no time above 0 that can be meant", c.Name, c.Window)
		}
		names[c.Name] = true
	}
	if n := in.Limits.TryLimit; n < 1 || n > mostAttempts {
		return fmt.Errorf("settings: limits: try-limit %d is no number of attempts above 0 that can be meant", n)
	}
	if d := in.Limits.DialTimeout; !(d > 0 && d <= longestMS) {
		return fmt.Errorf("settings: limits: dial-timeout-ms %v is no time above 0 that can be meant", d)
	}
	if n := len(in.Family.MessageAim); n > 0 && n < len(in.Classes) {
		return fmt.Errorf("settings: family-info: message-aim-ms has %d entries for %d classes", n, len(in.Classes))
	}
	return nil
}

// NameOf is the number by which the module knows a class's name.
func NameOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return h.Sum64()
}

// Field is the field of a load report that has a name; FieldOther if none has.
func Field(name string) balance.ReportField { return fields[name] }

// Duration turns milliseconds into a Duration. What is not a number becomes 0,
// what is out of range the nearest end of a century or so.
func Duration(ms float64) time.Duration {
	const most = 1e15 // nanoseconds
	ns := ms * 1e6
	switch {
	case ns != ns:
		return 0
	case ns > most:
		return most
	case ns < -most:
		return -most
	}
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}
