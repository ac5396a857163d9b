package settings

import (
	"encoding/json"
	"errors"

	"aspenbarrow/balance"
)

// info is the settings object as encoding/json decodes it; durations are in milliseconds.
//
// If a field has a value of the wrong type, the error text of encoding/json contains the name of the struct around it. Operators
// see that text, so it must not change: info keeps its name, and the sections are aliases of unnamed types.
type info struct {
	Zones   []string       `json:"azs"`
	Kinds   []string       `json:"kinds"`
	Classes []classObject  `json:"classes"`
	Tenants []tenantObject `json:"customers"`
	Family  familyObject   `json:"family-info"`
	Limits  limitsObject   `json:"limits"`
	Costs   costsObject    `json:"prices"`
	Rules   rulesObject    `json:"rules"`
	Reports struct {
		Fields []string `json:"fields"`
		Mode   string   `json:"how"`
	} `json:"stats"`
	RelayIndex        WholeNumber `json:"me"`
	RelayCount        WholeNumber `json:"n-instances"`
	OverQuotaPriority float64     `json:"over-share-worth"`
	DiscoveryMode     string      `json:"registry-mode"`
	Tick              float64     `json:"tick-ms"`
	Weights           string      `json:"weights"`
	Zone              WholeNumber `json:"zone"`
}

type classObject = struct {
	Name             string  `json:"name"`
	LatencyObjective float64 `json:"on-time-ms"`
	ClientTimeout    float64 `json:"give-up-ms"`
	Idempotency      string  `json:"effect"`
	DedupScope       string  `json:"dedup-scope"`
	DedupWindow      float64 `json:"dedup-window-ms"`
	PriorityWeight   float64 `json:"worth"`
}

type tenantObject = struct {
	Name              string  `json:"name"`
	Share             float64 `json:"portion"`
	RequestsPerSecond float64 `json:"quota-per-s"`
}

type familyObject = struct {
	Groups                   bool      `json:"groups"`
	MessageLatencyObjectives []float64 `json:"message-aim-ms"` // in the order of the classes
	Mode                     string    `json:"mode"`
	ParkTime                 float64   `json:"park-ms"`
	ReportsMessageDelay      bool      `json:"tells-delay"`
	ReportsConnectionLoad    bool      `json:"tells-load"`
	ConnectionQuotas         []float64 `json:"tenant-quota-connections"` // in the order of the tenants
}

type limitsObject = struct {
	Cancellation  bool        `json:"cancelling"`
	DialTimeout   float64     `json:"dial-timeout-ms"`
	IdleTimeout   float64     `json:"idle-close-ms"`
	MaxRetryAfter float64     `json:"max-retry-after-ms"`
	Gossip        bool        `json:"peers"`
	HealthChecks  bool        `json:"probes"`
	RetryAfter    bool        `json:"retry-after"`
	MaxAttempts   WholeNumber `json:"try-limit"`
}

type costsObject = struct {
	CrossZone   float64 `json:"cross-zone"`
	Waste       float64 `json:"waste"`
	HealthCheck float64 `json:"probe"`
	Migration   float64 `json:"moves"`
	Gossip      float64 `json:"peer"`
	List        float64 `json:"registry-mode"`
	LateFailure float64 `json:"late-fail"`
}

type rulesObject = struct {
	AnswerSlack      float64 `json:"answer-slack-ms"`
	PollInterval     float64 `json:"ask-every-ms"`
	SlowStartFloor   float64 `json:"cold-from"`
	OverloadWindow   float64 `json:"fall-ms"`
	OverloadMultiple float64 `json:"fall-multiple"`
	DrainGrace       float64 `json:"stop-sending-within-ms"`
	SlowStartWindow  float64 `json:"warm-up-ms"`
}

// Values of the keys family-info.mode, registry-mode and stats.how; every other value selects the default of its key.
const (
	modePassThrough   = "pass"
	registryOnRequest = "on_request"
	reportsOff        = "off"
	reportsOnProbe    = "on_probe"
)

var (
	idempotencies = map[string]balance.Idempotency{
		"read_like":       balance.Idempotent,
		"idempotency_key": balance.IdempotentWithKey,
		"non_idempotent":  balance.NonIdempotent,
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
	reportFieldsByName = map[string]balance.ReportField{
		"outstanding":  balance.FieldInflight,
		"backlog":      balance.FieldQueue,
		"utilization":  balance.FieldUtilization,
		"errors_per_s": balance.FieldErrors,
		"x0":           balance.FieldLoadShare,
		"x1":           balance.FieldBacklog,
	}
)

// decode reads the object. An error is a *FieldError, which names the field where encoding/json does.
func decode(text []byte) (*info, error) {
	object := &info{}
	err := json.Unmarshal(text, object)
	if err == nil {
		return object, nil
	}
	failure := &FieldError{Err: err, reason: err.Error()}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		failure.Field, failure.Value = wrongType.Field, wrongType.Value
	}
	return nil, failure
}
