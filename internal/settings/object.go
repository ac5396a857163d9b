package settings

import (
	"encoding/json"
	"errors"

	"aspenbarrow/balance"
)

// The settings object as encoding/json decodes it; durations are in milliseconds.
//
// The error texts of encoding/json hold the name of the Go struct around a field that has the wrong kind of value, and
// the texts that operators see are not to change. So the name info stays, and the sections are aliases of types
// without a name.
type info struct {
	Zones     []string       `json:"azs"`
	Kinds     []string       `json:"kinds"`
	Classes   []classObject  `json:"classes"`
	Customers []tenantObject `json:"customers"`
	Family    familyObject   `json:"family-info"`
	Limits    limitsObject   `json:"limits"`
	Prices    costsObject    `json:"prices"`
	Rules     rulesObject    `json:"rules"`
	Stats     struct {
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

type classObject = struct {
	Name   string  `json:"name"`
	OnTime float64 `json:"on-time-ms"`
	GiveUp float64 `json:"give-up-ms"`
	Effect string  `json:"effect"`
	Scope  string  `json:"dedup-scope"`
	Window float64 `json:"dedup-window-ms"`
	Worth  float64 `json:"worth"`
}

type tenantObject = struct {
	Name    string  `json:"name"`
	Portion float64 `json:"portion"`
	Quota   float64 `json:"quota-per-s"`
}

type familyObject = struct {
	Groups     bool      `json:"groups"`
	MessageAim []float64 `json:"message-aim-ms"` // in the order of the classes
	Mode       string    `json:"mode"`
	Park       float64   `json:"park-ms"`
	TellsDelay bool      `json:"tells-delay"`
	TellsLoad  bool      `json:"tells-load"`
	Quota      []float64 `json:"tenant-quota-connections"` // in the order of the tenants
}

type limitsObject = struct {
	Cancelling    bool    `json:"cancelling"`
	DialTimeout   float64 `json:"dial-timeout-ms"`
	IdleClose     float64 `json:"idle-close-ms"`
	MaxRetryAfter float64 `json:"max-retry-after-ms"`
	Peers         bool    `json:"peers"`
	Probes        bool    `json:"probes"`
	RetryAfter    bool    `json:"retry-after"`
	TryLimit      int     `json:"try-limit"`
}

type costsObject = struct {
	CrossZone float64 `json:"cross-zone"`
	Waste     float64 `json:"waste"`
	Probe     float64 `json:"probe"`
	Moves     float64 `json:"moves"`
	Peer      float64 `json:"peer"`
	List      float64 `json:"registry-mode"`
	LateFail  float64 `json:"late-fail"`
}

type rulesObject = struct {
	AnswerSlack  float64 `json:"answer-slack-ms"`
	AskEvery     float64 `json:"ask-every-ms"`
	ColdFrom     float64 `json:"cold-from"`
	FallMS       float64 `json:"fall-ms"`
	FallMultiple float64 `json:"fall-multiple"`
	StopSending  float64 `json:"stop-sending-within-ms"`
	WarmUp       float64 `json:"warm-up-ms"`
}

// Words of the object that choose between two ways to work; every other word chooses the other way.
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
