package balance

import "time"

// BackendID identifies a backend. It is opaque: it carries no information about location or age.
type BackendID uint64

// BackendState is the state of a backend in the endpoint list.
type BackendState uint8

// The states of a backend.
const (
	StateRemoved BackendState = iota
	StateReady
	StateDraining
)

// Backend is one entry of the endpoint list.
type Backend struct {
	ID      BackendID     `json:"ID"`
	State   BackendState  `json:"State"`
	Zone    int           `json:"Zone"`
	Cell    int           `json:"Cell"`    // backends of one cell share the idempotency keys that they have received
	Weight  float64       `json:"Weight"`  // registered size; see Settings.Weights
	Kind    int           `json:"Kind"`    // machine type
	ReadyAt time.Duration `json:"ReadyAt"` // when it last started; 0: long ago
}

// Request is a connection that needs a backend.
type Request struct {
	ID           uint64
	Class        int           // index into Settings.Classes
	Tenant       int           // index into Settings.Tenants
	Key          uint64        // the client's key; 0: none
	Group        uint64        // connections of one group share work; 0: none
	TimeLeft     time.Duration // until the client's timeout
	ExpectedLoad float64       // in microseconds of work a second; 0: unknown
	ClientRetry  bool          // the client repeats an earlier request
	MidStream    bool          // packets of an open connection that another relay placed
	Reconnecting bool          // the client reconnects after its connection broke or was migrated
	RetryPolicy  *RetryPolicy  // nil: the defaults of the Settings
}

// Status is the outcome of an attempt or a health check.
type Status uint8

// The outcomes.
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

// MayHaveExecuted reports whether an attempt with this outcome may have executed at the backend.
func (s Status) MayHaveExecuted() bool {
	return s != StatusOverloaded && s != StatusConnectFailed && s != StatusAbandoned
}
