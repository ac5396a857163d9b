// Package decision is the interface between what makes a relay's decisions and the controller that feeds it events.
package decision

import (
	"time"

	"aspenbarrow/balance"
)

// Factory makes a Decider that acts through the given actions.
type Factory = func(now time.Duration, seed uint64, s balance.Settings, actions balance.Actions) Decider

// Decider makes a relay's decisions: the balancer, or a simpler policy that it is compared with in experiments. Each method
// takes in one event at a time on the relay's clock; package balance says what the events mean.
type Decider interface {
	RequestArrived(now time.Duration, r balance.Request)
	SessionAdopted(now time.Duration, r balance.Request, id balance.BackendID)
	AttemptSucceeded(now time.Duration, o balance.AttemptResult)
	AttemptEnded(now time.Duration, o balance.AttemptResult)
	ClientClosed(now time.Duration, id uint64)
	LoadReported(now time.Duration, id uint64, kind balance.LoadSignal, v float64)
	TimerFired(now time.Duration, token uint64)
	DrainBy(now, at time.Duration)
	DeadlineExceeded(now time.Duration, id uint64)
	HealthCheckDone(now time.Duration, r balance.HealthCheckResult)
	GossipReceived(now time.Duration, from int, data []byte)
	EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, backends []balance.Backend)
	Connections() (all, byBackend int) // the open ones, counted twice, to be compared
	CountUnavailable(now time.Duration) (listed, unavailable int)
	UpdateSettings(s balance.Settings)
	SetActiveRelays(relays int)
}

var _ Decider = (*balance.Balancer)(nil)

// Snapshotter is a Decider whose state outlives its process.
type Snapshotter interface {
	Snapshot() balance.Snapshot
	Restore(now time.Duration, m balance.Snapshot)
	UpdateOtherProcess(now time.Duration, m balance.Snapshot)
}

var _ Snapshotter = (*balance.Balancer)(nil)
