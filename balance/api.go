// Package balance decides which backend serves each long-lived connection.
//
// A Balancer is one relay's decisions. It is told events (methods on Balancer,
// each given the time) and answers through Actions. It knows nothing of wires,
// sockets or clocks, and it is not safe for concurrent use.
package balance

import "time"

// BackendID names a backend. It is opaque: it says nothing of place or age.
type BackendID uint64

// BackendState is what the list says of a backend.
type BackendState uint8

// The states a list knows.
const (
	StateRemoved BackendState = iota
	StateReady
	StateDraining
)

// Backend is one line of a list.
type Backend struct {
	ID      BackendID     `json:"ID"`
	State   BackendState  `json:"State"`
	Zone    int           `json:"Zone"`
	Cell    int           `json:"Cell"`    // backends of one cell share which keys they have seen
	Weight  float64       `json:"Weight"`  // registered size; see Settings.Weights
	Kind    int           `json:"Kind"`    // machine kind
	ReadyAt time.Duration `json:"ReadyAt"` // when it last started; 0: long ago
}

// Idempotency says what a repeat of a request does.
type Idempotency uint8

// The effects.
const (
	Idempotent        Idempotency = iota // repeats do no harm
	IdempotentWithKey                    // repeats are discarded within Class.Scope and Class.Window
	NonIdempotent                        // a repeat may act twice
)

// DedupScope is the group of backends that discards repeats of a keyed request.
type DedupScope uint8

// The scopes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class is a kind of request.
type Class struct {
	LatencyObjective        time.Duration // set up within this time earns full worth
	ClientTimeout           time.Duration // the client's patience
	MessageLatencyObjective time.Duration // a message on an open connection is wanted within this
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindow             time.Duration // how long repeats of a keyed request are discarded
	PriorityWeight          float64
	NameHash                uint64 // the same for all classes of one name, whatever their numbers; 0: not told
	Retired                 bool   // dropped from the settings: only requests taken before have it
}

// RetryPolicy says how long a request may take and how often it is tried. It never
// changes once a request has it. A zero field leaves that to the Settings.
type RetryPolicy struct {
	ConnectTimeout time.Duration // for a connection to come up; 0: Settings.DialTimeout
	AttemptTimeout time.Duration // for one attempt, connecting included; 0: all that is left
	RequestTimeout time.Duration // for the whole; 0: as long as the client waits
	MaxAttempts    int           // at most; 0: Settings.TryLimit, which is never exceeded
	BaseBackoff    time.Duration // before the second attempt; doubles from one to the next, with jitter
	MaxBackoff     time.Duration // and goes no higher; 0: no ceiling
	RetryBudget    float64       // further attempts that a request earns its relay; 0: the usual share
	HedgeDelay     time.Duration // silence after which the first attempt gives way to another; 0: never
}

// Tenant is one of those who share the service.
type Tenant struct {
	Share             float64 // of the service
	RequestsPerSecond float64 // requests a second within its share, all relays
	ConnectionQuota   float64 // open connections within its share, all relays; 0: not told
}

// WeightMode says what Backend.Weight means.
type WeightMode uint8

// The meanings of a weight.
const (
	WeightsOff WeightMode = iota
	WeightsNominal
	WeightsRough
	WeightsLive // varies with the load; no size to hash by
)

// ReportField names a value of a load report.
type ReportField uint8

// The fields.
const (
	FieldOther       ReportField = iota
	FieldInflight                // requests held
	FieldQueue                   // requests waiting
	FieldUtilization             // busy share of the cores
	FieldErrors                  // errors a second
	FieldLoadShare               // load asked over what the backend can do
	FieldBacklog                 // seconds of work piled up
)

// Costs are points of the goal, as fractions of it.
type Costs struct {
	CrossZone, Waste, HealthCheck, Migration, Gossip, List, LateFailure float64
}

// Settings are what a relay is born with, or has from a reload on. A class's number stays its own: a changed
// class is another, with a number behind the others.
type Settings struct {
	RelayIndex, RelayCount int // this relay's number among how many
	Zone                   int
	Tick                   time.Duration

	Classes           []Class
	Tenants           []Tenant
	OverQuotaPriority float64

	Groups                bool // a group's connections share work on a backend
	PassThrough           bool // packets pass through: connections may arrive mid-flow
	ReportsConnectionLoad bool // notes tell a connection's load
	ReportsMessageDelay   bool // notes tell a backend's message time
	ParkTime              time.Duration

	HealthChecks, Gossip, Cancellation, RetryAfter bool

	MaxAttempts   int
	MaxRetryAfter time.Duration
	DialTimeout   time.Duration

	PollEndpoints bool
	PollInterval  time.Duration // unsubscribed silence for this long counts as being told

	AnswerSlack      time.Duration
	DrainGrace       time.Duration
	SlowStartFloor   float64 // a fresh backend starts at no less than this share of its capacity
	SlowStartWindow  time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration

	Weights      WeightMode
	ReportFields []ReportField // what a load report holds, in order
	Costs        Costs
}

// Request is a connection asking for a place.
type Request struct {
	ID           uint64
	Class        int
	Tenant       int
	Key          uint64 // the client's key; 0: none
	Group        uint64 // connections of one group share work; 0: none
	TimeLeft     time.Duration
	ExpectedLoad float64 // expected load in microseconds of work a second; 0: not told
	ClientRetry  bool
	MidStream    bool         // packets of an open connection that another relay placed
	Reconnecting bool         // the client returned after a break or a move
	RetryPolicy  *RetryPolicy // nil: the settings' own
}

// Status is how an attempt or a probe ended.
type Status uint8

// The statuses.
const (
	StatusOK Status = iota
	StatusError
	StatusOverloaded
	StatusTimeout
	StatusConnectFailed
	StatusReset
	StatusCancelled
	StatusAbandoned
)

// MayHaveExecuted reports whether the attempt may have acted.
func (s Status) MayHaveExecuted() bool {
	return s != StatusOverloaded && s != StatusConnectFailed && s != StatusAbandoned
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID      uint64
	Attempt int
	Backend BackendID
	Status  Status
	Latency time.Duration
	Closed  bool // the request has ended; nothing is owed
	Load    []float32
}

// HealthCheckResult is a probe's answer.
type HealthCheckResult struct {
	Backend BackendID
	Status  Status
	Latency time.Duration
	Load    []float32
}

// EndpointUpdateKind says what a list event brings.
type EndpointUpdateKind uint8

// The kinds of list event.
const (
	UpdateDelta EndpointUpdateKind = iota
	UpdateFull
	UpdateCached // the last one held before a restart; may be stale
	UpdateFailed
)

// LoadSignal says what a note tells.
type LoadSignal uint8

// The kinds of note.
const (
	SignalConnectionLoad LoadSignal = 1 // microseconds of work a second, now
	SignalMessageDelay   LoadSignal = 2 // milliseconds that a message takes at the backend, now
)

// Actions is what a Balancer does to the world.
type Actions interface {
	Send(id uint64, to BackendID, timeout time.Duration)
	Reject(id uint64, retryAfter time.Duration)
	Fail(id uint64)
	Cancel(id uint64, attempt int)
	CheckHealth(to BackendID)
	ReleaseHealthCheck(to BackendID)
	Migrate(id uint64)
	SendGossip(peer int, data []byte) // peer below 0: all
	SetTimer(token uint64, d time.Duration)
	WatchEndpoints(on bool)
	FetchEndpoints()
	Log(text string)
}
