// Package decision is the interface between what makes a relay's decisions and the controller that feeds it events.
package decision

import (
	"time"

	"aspenbarrow/balance"
)

// Factory makes a Decider that acts through the given actions.
type Factory = func(now time.Duration, seed uint64, s balance.Settings, do balance.Actions) Decider

// Decider is what makes a relay's decisions: the module, or a policy that it is
// compared with.
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
	EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, lines []balance.Backend)
	Connections() (all, byServer int)
	CountUnavailable(now time.Duration) (listed, avoided int)
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
