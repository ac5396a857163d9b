// Package admin serves the admin endpoint of a relay: a second address where operators read its state and metrics and
// have it drained. A client sends one command in a line, receives one response, and the connection is closed.
//
// The package decides nothing about the relay. It reads published state, passes drain and undrain on, and never waits
// for the relay's event loop, so that the endpoint answers while the relay is overloaded. A response begins with SUCCESS
// only if a whole command arrived. There is no authentication: the address has to be one that clients cannot reach.
package admin

import "aspenbarrow/internal/metrics"

// State is the stage of a relay's life.
type State uint8

// The states, of which only Serving accepts clients.
const (
	Starting     State = iota // there is no endpoint list yet, or the relay does not listen
	Serving                   // clients are accepted
	Drained                   // clients are sent away, until an undrain
	ShuttingDown              // the process is about to end
)

// Relay is what the endpoint needs of a relay. No method may block.
type Relay interface {
	// State returns the stage of the relay's life.
	State() State
	// Metrics returns a copy of the counters and gauges.
	Metrics() metrics.Snapshot
	// SetDrained has clients sent away, or accepted again. It may be repeated.
	SetDrained(drained bool)
}

// The commands, each the whole of a line.
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

// endOfText is the last line of a response of several lines.
const endOfText = "EOT"

// Execute executes a command, given without its line end, and returns the response. lineEnd ends each of its lines.
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

// ready says whether the relay accepts clients, for the health checks of whatever sends them.
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

// drain drains the relay, also one that is shutting down: the process that takes over hears of it.
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
