// Package admin serves the admin endpoint of a relay: a separate address where operators read its state and metrics and
// drain it. A client sends a command as one line and receives one response; then the connection is closed.
//
// The package reads published state and passes drain and undrain on. It never waits for the relay's event loop, so that
// the endpoint answers while the relay is overloaded. A response begins with SUCCESS only if a complete command arrived.
// There is no authentication: the address must not be reachable by the relay's clients.
package admin

import "aspenbarrow/internal/metrics"

// State is the lifecycle state of a relay.
type State uint8

// The states. READY succeeds only in Serving.
const (
	Starting     State = iota // there is no endpoint list yet, or the relay does not accept connections yet
	Serving                   // clients are accepted
	Drained                   // a drain is requested: sessions are migrated away, until an undrain
	ShuttingDown              // the process is about to exit
)

// Relay is the part of a relay that the endpoint uses. No method may block.
type Relay interface {
	// State returns the relay's lifecycle state.
	State() State
	// Metrics returns a copy of the counters and gauges.
	Metrics() metrics.Snapshot
	// SetDrained drains the relay or ends the drain. It is idempotent.
	SetDrained(drained bool)
}

// The commands. Each is a line of its own, without arguments.
const (
	commandReady   = "READY"
	commandStats   = "STATS"
	commandWatch   = "WATCH"
	commandMembers = "MEMBERS"
	commandDrain   = "DRAIN"
	commandUndrain = "UNDRAIN"
)

// The first words of a response.
const (
	success = "SUCCESS"
	failure = "FAILURE"
)

// endOfText is the last line of a multi-line response.
const endOfText = "EOT"

// Execute executes a command, given without its line end, and returns the response, each line of which ends with lineEnd.
func Execute(command, lineEnd string, relay Relay) string {
	switch command {
	case commandReady:
		return ready(relay.State()) + lineEnd
	case commandDrain:
		return drain(relay) + lineEnd
	case commandUndrain:
		return undrain(relay) + lineEnd
	case commandStats:
		return formatStats(relay.Metrics(), lineEnd)
	case commandWatch:
		return formatShadow(relay.Metrics().Shadow, lineEnd)
	case commandMembers:
		return formatMembers(relay.Metrics().Membership, lineEnd)
	case "":
		return failure + " empty call" + lineEnd
	}
	return failure + " unknown call, there are READY, STATS, WATCH, MEMBERS, DRAIN and UNDRAIN" + lineEnd
}

// ready returns the response to READY, which load balancers in front of the relay use as a health check.
func ready(state State) string {
	switch state {
	case Serving:
		return success + " serving"
	case Starting:
		return failure + " starting: no list of backends yet"
	case Drained:
		return failure + " drained: clients are sent away"
	}
	return failure + " leaving: the process is about to end"
}

// drain drains the relay, even one that is shutting down: SetDrained also drains its successor process.
func drain(relay Relay) string {
	relay.SetDrained(true)
	if relay.State() == ShuttingDown {
		return success + " leaving: clients are sent away already"
	}
	return success + " draining"
}

func undrain(relay Relay) string {
	if relay.State() == ShuttingDown {
		return failure + " leaving: this process takes no clients again"
	}
	relay.SetDrained(false)
	return success + " taking clients"
}
