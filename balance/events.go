package balance

import "time"

// AttemptResult is the outcome of one attempt, or the end of the connection it established.
type AttemptResult struct {
	ID      uint64 // of the request
	Attempt int    // index of the attempt, from 0
	Backend BackendID
	Status  Status
	Latency time.Duration // from the start of the attempt
	Closed  bool          // the request has ended and needs no answer
	Load    []float32     // load report, in the order of Settings.ReportFields
}

// HealthCheckResult is the outcome of a health check.
type HealthCheckResult struct {
	Backend BackendID
	Status  Status
	Latency time.Duration // from the request to its answer
	Load    []float32     // load report, in the order of Settings.ReportFields
}

// EndpointUpdateKind tells what an update of the endpoint list contains.
type EndpointUpdateKind uint8

// The kinds of update.
const (
	UpdateDelta  EndpointUpdateKind = iota // the changed entries
	UpdateFull                             // all entries
	UpdateCached                           // all entries, as cached before a restart; may be stale
	UpdateFailed                           // no entries: the list could not be read
)

// LoadSignal tells what a load report on a connection measures.
type LoadSignal uint8

// The signals.
const (
	SignalConnectionLoad LoadSignal = 1 // current load of the connection, in microseconds of work a second
	SignalMessageDelay   LoadSignal = 2 // current delay of a message at the backend, in milliseconds
)

// Actions carries out the decisions of a Balancer.
type Actions interface {
	// Send starts an attempt of a request at a backend. The attempt ends within the timeout.
	Send(id uint64, to BackendID, timeout time.Duration)
	// Reject answers a request with a rejection. The client may retry it after retryAfter.
	Reject(id uint64, retryAfter time.Duration)
	// Fail answers a request with a failure: repeating it may not be safe.
	Fail(id uint64)
	// Cancel ends a pending attempt.
	Cancel(id uint64, attempt int)
	// CheckHealth starts a health check; its outcome is reported through HealthCheckDone.
	CheckHealth(to BackendID)
	// ReleaseHealthCheck closes the idle connection for the health checks of a backend.
	ReleaseHealthCheck(to BackendID)
	// Migrate asks the client of an established connection to reconnect elsewhere.
	Migrate(id uint64)
	// SendGossip sends a message to another relay; a negative peer means all.
	SendGossip(peer int, data []byte)
	// SetTimer schedules a call of TimerFired with the token after the duration.
	SetTimer(token uint64, d time.Duration)
	// WatchEndpoints subscribes to the endpoint list. The subscription has no end.
	WatchEndpoints()
	// FetchEndpoints requests the full endpoint list once.
	FetchEndpoints()
	// Log writes a line to the relay's log.
	Log(text string)
}
