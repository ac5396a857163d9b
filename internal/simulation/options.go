package simulation

import (
	"io"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/emulator"
)

// Options say what to simulate. Only Seed has to be set.
type Options struct {
	Seed          uint64
	Duration      time.Duration         // virtual time under load; 0: a minute
	RetryPolicies []balance.RetryPolicy // by class; nil: no class has one of its own
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
	ConnectionLoad            float64          // cores that an established connection takes
	DependencySlots           int              // concurrency of a dependency that every request uses; 0: none
	DependencyHoldTime        time.Duration    // how long a request holds its slot
	ArrivalWindow             time.Duration    // the clients first connect within this
	StayRange                 [2]time.Duration // shortest and longest stay of a client
	ReconnectWindow           time.Duration    // a client whose connection broke reconnects within this
	HotKeyShare               float64          // share of the clients that use the same key
	HotRelayShare             float64          // share of the clients that connect to the first relay; 0: an even share
	LateReportShare           float64          // share of the backends whose load reports are late
	LateReportDelay           time.Duration    // how late those reports are
	BackendSizes              []float64        // relative to Server.Cores, repeated over the backends; nil: all of size 1
	ListsWeights              bool             // discovery lists the sizes as weights
	NoLoadReports             bool             // backends report no load
	Gossip                    bool             // relays exchange overload notices
	Membership                bool             // relays detect which of them are alive
	ConnectTimeout            time.Duration    // for connections to backends, in tests on processes; 0: 250 ms
}

const (
	defaultLength      = time.Minute
	defaultDescriptors = 1024
	defaultMemoryMB    = 64
	cleanupPeriod      = 14 * time.Second // after the end of the load, for all sessions to end
)
