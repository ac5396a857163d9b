// Package decision is the interface between the controller, which reports events, and the implementation that makes a
// relay's decisions: package balance or, in experiments, a simpler policy to compare it with. It makes no decisions itself.
package decision

import (
	"time"

	"aspenbarrow/balance"
)

// Factory returns a new Decider that acts through the given actions. Two Deciders with the same seed and events make the
// same decisions.
type Factory = func(now time.Duration, seed uint64, settings balance.Settings, actions balance.Actions) Decider

// Decider makes a relay's decisions. Each method but the last four is an event; now is its time on the relay's clock, which
// never decreases. The methods are called one at a time, and call the actions that they decide on before they return.
type Decider interface {
	// RequestArrived reports a new request. It must be answered: by Send and a successful attempt, by Reject or by Fail.
	RequestArrived(now time.Duration, request balance.Request)
	// SessionAdopted reports a session that was established at a backend before this relay's start.
	SessionAdopted(now time.Duration, request balance.Request, id balance.BackendID)
	// AttemptSucceeded reports an attempt that has established the session of its request.
	AttemptSucceeded(now time.Duration, result balance.AttemptResult)
	// AttemptEnded reports the end of an attempt that failed, or of an established session.
	AttemptEnded(now time.Duration, result balance.AttemptResult)
	// ClientClosed reports that a client has left before its answer.
	ClientClosed(now time.Duration, id uint64)
	// LoadReported reports a load signal from a session's backend; its unit depends on the signal.
	LoadReported(now time.Duration, id uint64, signal balance.LoadSignal, value float64)
	// TimerFired reports that a timer set with the action SetTimer has fired.
	TimerFired(now time.Duration, token uint64)
	// DrainBy starts the migration of all sessions, to be complete by the deadline; 0 stops it.
	DrainBy(now, deadline time.Duration)
	// DeadlineExceeded ends a request at once, since the relay is about to stop.
	DeadlineExceeded(now time.Duration, id uint64)
	// HealthCheckDone reports the result of a health check that the action CheckHealth started.
	HealthCheckDone(now time.Duration, result balance.HealthCheckResult)
	// GossipReceived reports a datagram from another relay's Decider; from is its index among the peers.
	GossipReceived(now time.Duration, from int, data []byte)
	// EndpointsUpdated reports an endpoint list, changes to it, or the failure to get one.
	EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, backends []balance.Backend)

	// Connections returns the number of pending and open connections, in total and as the sum over backends; for checks that
	// the two are equal.
	Connections() (total, byBackend int)
	// CountUnavailable returns how many backends are listed, and how many of them get no new requests.
	CountUnavailable(now time.Duration) (listed, unavailable int)
	// UpdateSettings replaces the settings; requests that have arrived keep those of their class.
	UpdateSettings(settings balance.Settings)
	// SetActiveRelays sets how many relays are active; 0: not known.
	SetActiveRelays(relays int)
}

var _ Decider = (*balance.Balancer)(nil)

// Snapshotter is a Decider whose state can be handed to a successor process.
type Snapshotter interface {
	// Snapshot returns the state.
	Snapshot() balance.Snapshot
	// Restore restores the state of the predecessor process.
	Restore(now time.Duration, snapshot balance.Snapshot)
	// UpdatePredecessor records the predecessor's state while both processes run; an empty snapshot ends this.
	UpdatePredecessor(now time.Duration, snapshot balance.Snapshot)
}

var _ Snapshotter = (*balance.Balancer)(nil)
