package balance

import "time"

// Idempotency tells whether a request may safely be repeated.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // a repeat is harmless
	IdempotentWithKey                    // repeats are discarded within Class.DedupScope and Class.DedupWindow
	NonIdempotent                        // a repeat may execute twice
)

// DedupScope is the set of backends that discard repeats of a request with an idempotency key.
type DedupScope uint8

// The deduplication scopes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class is a kind of request.
type Class struct {
	LatencyObjective        time.Duration // a connection established within this time has its full value
	ClientTimeout           time.Duration // how long the client waits for its connection
	MessageLatencyObjective time.Duration // a message on an open connection should be answered within this time
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindow             time.Duration // how long repeats are discarded
	PriorityWeight          float64       // value of a request; 1: that of a normal one
	NameHash                uint64        // the same for all classes of one name, whatever their index; 0: unknown
	Retired                 bool          // removed from the settings; only requests accepted before that still use it
}

// RetryPolicy tells how long a request may take and how often it is attempted. It must not be
// changed while a request uses it. A zero field means the default given at the field.
type RetryPolicy struct {
	ConnectTimeout time.Duration // for a connection to be established; 0: Settings.DialTimeout
	AttemptTimeout time.Duration // for one attempt, connecting included; 0: all the time left
	RequestTimeout time.Duration // for all attempts together; 0: as long as the client waits
	MaxAttempts    int           // 0: Settings.MaxAttempts, which is never exceeded
	BaseBackoff    time.Duration // before the second attempt; doubles with each further one, with jitter; 0: none
	MaxBackoff     time.Duration // upper bound of the backoff; 0: none
	RetryBudget    float64       // retries that a request adds to the relay's budget; 0: the default
	HedgeDelay     time.Duration // time without an answer after which another attempt replaces the first; 0: never
}

// Tenant is one customer of the service.
type Tenant struct {
	Share             float64 // fraction of the service
	RequestsPerSecond float64 // requests a second within its share, over all relays
	ConnectionQuota   float64 // open connections within its share, over all relays; 0: no quota
}

// WeightMode tells what Backend.Weight means.
type WeightMode uint8

// The meanings of a weight.
const (
	WeightsOff WeightMode = iota
	WeightsNominal
	WeightsRough
	WeightsLive // varies with the load, so it is not used as the size of a backend
)

// ReportField identifies one value of a load report.
type ReportField uint8

// The fields of a load report.
const (
	FieldOther       ReportField = iota
	FieldInflight                // requests in progress
	FieldQueue                   // requests waiting
	FieldUtilization             // busy fraction of the cores
	FieldErrors                  // errors a second
	FieldLoadShare               // offered load over capacity
	FieldBacklog                 // seconds of queued work
)

// Costs are the operator's weights of side effects, as fractions of the goal.
type Costs struct {
	CrossZone, Waste, HealthCheck, Migration, Gossip, List, LateFailure float64
}

// Settings configure a Balancer, at its start or by a reload. The index of a class is never reused
// for another one: a changed class is appended as a new one.
type Settings struct {
	RelayIndex, RelayCount int           // index of this relay, and the number of relays
	Zone                   int           // zone of this relay
	Tick                   time.Duration // granularity of timers

	Classes           []Class
	Tenants           []Tenant
	OverQuotaPriority float64 // value of a request over its tenant's quota; 1: as any other

	Groups                bool          // connections of a group share work on a backend
	PassThrough           bool          // the relay forwards packets, so connections may arrive mid-stream
	ReportsConnectionLoad bool          // load reports on a connection contain its load
	ReportsMessageDelay   bool          // load reports on a connection contain the delay of messages
	ParkTime              time.Duration // how long a client waits before it reconnects

	HealthChecks, Gossip, Cancellation, RetryAfter bool // features that the deployment allows

	MaxAttempts   int           // attempts of a request, including the first
	MaxRetryAfter time.Duration // upper bound of the retry-after time of a rejection
	DialTimeout   time.Duration // for a connection to be established

	PollEndpoints bool          // the endpoint list is sent only on request
	PollInterval  time.Duration // how long to wait for the answer to a request for the endpoint list

	AnswerSlack      time.Duration // how long after its deadline a request may still be answered
	DrainGrace       time.Duration // how long a draining backend continues to serve
	SlowStartFloor   float64       // fraction of its capacity that a backend has when it starts
	SlowStartWindow  time.Duration // time from its start until a backend has its full capacity
	OverloadMultiple float64       // a cold backend is overloaded by this multiple of its capacity ...
	OverloadWindow   time.Duration // ... arriving within this time

	Weights      WeightMode
	ReportFields []ReportField // the values of a load report, in order
	Costs        Costs
}
