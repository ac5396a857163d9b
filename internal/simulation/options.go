package simulation

import (
	"io"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/emulator"
)

// Options configure a run. Only Seed is required.
type Options struct {
	Seed          uint64
	Duration      time.Duration         // virtual time under load; 0: one minute
	RetryPolicies []balance.RetryPolicy // by class; nil: no class has its own
	Script        []Fault               // faults to inject; nil: those drawn from the seed
	Installation  *Installation         // with modelled backends; nil: drawn from the seed
	Policy        string                // baseline policy that decides instead of package balance, by its name in package baseline
	Mutation      Mutation              // for tests only
	Trace         io.Writer             // may be nil
}

// Installation describes an installation under load, as scenarios do.
type Installation struct {
	Relays, Backends, Clients int
	Server                    emulator.Config  // of each backend, scaled by BackendSizes
	SetupWork                 float64          // work of a request, in seconds of a nominal core
	LineWork                  float64          // work of a line, in seconds of a nominal core
	ConnectionLoad            float64          // cores that an established connection uses
	DependencySlots           int              // concurrency of a dependency that every request uses; 0: none
	DependencyHoldTime        time.Duration    // how long a request holds its slot
	ArrivalWindow             time.Duration    // the clients first connect within this time
	SessionDurationRange      [2]time.Duration // shortest and longest session of a client
	ReconnectWindow           time.Duration    // a client whose connection broke reconnects within this time, in tests on processes; 0: 300 ms
	MidStreamShare            float64          // share of the connections that survive their relay, in tests on processes: their clients reconnect mid-stream
	HotKeyShare               float64          // share of the clients that use the same key
	HotRelayShare             float64          // share of the connections sent to the first relay; the others go to all relays evenly
	LateReportShare           float64          // share of the backends whose load reports are late
	LateReportDelay           time.Duration    // how late those reports are
	BackendSizes              []float64        // relative to Server.Cores, repeated over the backends; nil: all of size 1
	ListsWeights              bool             // discovery lists the sizes as weights
	NoLoadReports             bool             // backends report no load
	Gossip                    bool             // relays exchange overload notices
	Membership                bool             // relays detect which of them are running
	ConnectTimeout            time.Duration    // for connections to backends, in tests on processes; 0: 250 ms
}

const (
	defaultDuration    = time.Minute
	defaultDescriptors = 1024
	defaultMemoryMB    = 64
	cleanupPeriod      = 14 * time.Second // after the end of the load, within which all sessions must end
)
