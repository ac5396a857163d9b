// Package decision is the interface between the controller, which reports events, and what makes a relay's decisions. It
// contains no decisions: those are package balance, or a simpler policy that it is compared with in experiments.
package decision

import (
	"time"

	"aspenbarrow/balance"
)

// Factory returns a new Decider that acts through the given actions. Two with the same seed and events decide alike.
type Factory = func(now time.Duration, seed uint64, s balance.Settings, actions balance.Actions) Decider

// Decider makes a relay's decisions. Each method but the last four is an event; now is its time on the relay's clock, which
// never decreases. The methods are called one at a time, and the actions that they call for are called before they return.
type Decider interface {
	// RequestArrived is a new request, which is owed an answer: Send and success, Reject or Fail.
	RequestArrived(now time.Duration, r balance.Request)
	// SessionAdopted is a session that was established at a backend before this relay's start.
	SessionAdopted(now time.Duration, r balance.Request, id balance.BackendID)
	// AttemptSucceeded is a request whose session is established.
	AttemptSucceeded(now time.Duration, result balance.AttemptResult)
	// AttemptEnded is the end of an attempt that failed, or of an established session.
	AttemptEnded(now time.Duration, result balance.AttemptResult)
	// ClientClosed is a client that leaves before it has an answer.
	ClientClosed(now time.Duration, id uint64)
	// LoadReported is a load signal from a session's backend; its unit depends on the signal.
	LoadReported(now time.Duration, id uint64, signal balance.LoadSignal, value float64)
	// TimerFired is a timer that was set with the action SetTimer.
	TimerFired(now time.Duration, token uint64)
	// DrainBy begins to migrate all sessions by a time; 0 stops it.
	DrainBy(now, at time.Duration)
	// DeadlineExceeded ends the wait of a request that the relay cannot outlast.
	DeadlineExceeded(now time.Duration, id uint64)
	// HealthCheckDone is the result of a health check that the action CheckHealth asked for.
	HealthCheckDone(now time.Duration, r balance.HealthCheckResult)
	// GossipReceived is a datagram from another relay's Decider; from is its index among the peers.
	GossipReceived(now time.Duration, from int, data []byte)
	// EndpointsUpdated is an endpoint list, changes to it, or the failure to get one.
	EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, backends []balance.Backend)

	// Connections returns how many pending and open connections are counted, in total and as the sum over backends; for
	// checks, which hold them to be equal.
	Connections() (all, byServer int)
	// CountUnavailable returns how many backends are listed, and how many of them get nothing new.
	CountUnavailable(now time.Duration) (listed, avoided int)
	// UpdateSettings replaces the settings; requests that have arrived keep those of their class.
	UpdateSettings(s balance.Settings)
	// SetActiveRelays sets how many relays are active; 0: not known.
	SetActiveRelays(relays int)
}

var _ Decider = (*balance.Balancer)(nil)

// Snapshotter is a Decider whose state can be handed to a successor process.
type Snapshotter interface {
	// Snapshot returns the state.
	Snapshot() balance.Snapshot
	// Restore takes over the state of the predecessor process.
	Restore(now time.Duration, snapshot balance.Snapshot)
	// UpdateOtherProcess takes in the load that the relay's other process tracks while both run.
	UpdateOtherProcess(now time.Duration, snapshot balance.Snapshot)
}

var _ Snapshotter = (*balance.Balancer)(nil)
