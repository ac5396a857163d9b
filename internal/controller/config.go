package controller

import (
	"fmt"

	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/shadow"
)

// Config is the configuration of a relay.
type Config struct {
	Name            string
	Listen          string // address for clients
	Discovery       string // address of the discovery agent
	Seed            uint64 // of all random draws
	MemoryMB        int    // memory limit in MiB; 0: none
	MaxDescriptors  int    // file descriptors that the process may hold
	PeerListen      string // address for datagrams of other relays
	Peers           []string
	BroadcastPeer   string // address that reaches all peers
	CachedEndpoints []byte // the endpoint list as this relay last had it, in discovery's form; may be empty
	Settings        settings.Settings
	Routes          *routing.Table       // nil: no request has a retry policy of its own
	AdminListen     string               // address of the admin endpoint; empty: there is none
	Shadow          *shadow.Shape        // evaluated without acting on it; nil: no shadow evaluation
	Membership      *membership.Settings // of failure detection among relays; nil: off
	RuntimeDir      string               // directory shared with a successor process; empty: no hot restart

	// NewDecider makes what decides; nil: package balance. Only experiments set it, to compare simpler policies.
	NewDecider decision.Factory
}

const (
	// sessionBytes is a generous bound on what an established session costs in memory.
	sessionBytes = 48 << 10
	// maxSessionMemoryShare is the part of the memory limit, as a divisor, that sessions may take.
	maxSessionMemoryShare = 2
	// maxHandshakes limits connections without a whole OPEN, however many descriptors there are.
	maxHandshakes = 256
	// maxHealthChecks limits health check connections, idle ones included.
	maxHealthChecks = 48
	// minAdminConnections and maxAdminConnections bound the connections at the admin endpoint.
	minAdminConnections = 4
	maxAdminConnections = 32
	// descriptorsPerSession: one to the client, one to the backend.
	descriptorsPerSession = 2
	// The parts of all descriptors, as divisors, that each other use may take.
	handshakeShare   = 9
	healthCheckShare = 10
	adminShare       = 20
	reservedShare    = 4
)

// ReservedDescriptors is how many descriptors are kept for discovery, peers, the listener and the runtime.
const ReservedDescriptors = 16

// Limits is how the descriptors are shared out.
type Limits struct{ Sessions, Handshakes, HealthChecks, AdminConnections int }

// AllocateDescriptors shares out the descriptors of a relay with a memory limit in MiB (0: none) and perhaps an admin
// endpoint. A session takes two, any other connection one. Clients may hold a third of all descriptors for requests,
// so sessions get two thirds whatever else goes on; the admin endpoint's share answers when all others are used up.
func AllocateDescriptors(descriptors, memoryMB int, adminEndpoint bool) Limits {
	limits := Limits{
		Handshakes:   max(1, min(maxHandshakes, descriptors/handshakeShare)),
		HealthChecks: max(1, min(maxHealthChecks, descriptors/healthCheckShare)),
	}
	if adminEndpoint {
		limits.AdminConnections = max(minAdminConnections, min(maxAdminConnections, descriptors/adminShare))
	}
	others := min(ReservedDescriptors, descriptors/reservedShare) +
		limits.Handshakes + limits.HealthChecks + limits.AdminConnections
	limits.Sessions = max(1, (descriptors-others)/descriptorsPerSession)
	if memoryMB > 0 {
		limits.Sessions = min(limits.Sessions, max(1, memoryMB<<20/maxSessionMemoryShare/sessionBytes))
	}
	return limits
}

// descriptorBudget is how many descriptors this relay has, and how many of them its other process holds during a hot
// restart.
type descriptorBudget struct {
	total        int // 0: not known yet
	otherProcess int
}

func (d *descriptorBudget) limits(memoryMB int, adminEndpoint bool) Limits {
	return AllocateDescriptors(d.total-d.otherProcess, memoryMB, adminEndpoint)
}

// CachedEndpointsError is a cached endpoint list that cannot be read at all.
type CachedEndpointsError struct{ Err error }

func (e *CachedEndpointsError) Error() string { return fmt.Sprintf("cached endpoint list: %v", e.Err) }

// Unwrap returns what is wrong with the list.
func (e *CachedEndpointsError) Unwrap() error { return e.Err }

// cachedEndpoints parses the cached endpoint list, if any, by the names in force. Entries that cannot be read are left
// out and reported by malformed; err means that nothing could be read.
func (c *Config) cachedEndpoints(names *settings.Settings) (list discovery.EndpointList, malformed, err error) {
	if len(c.CachedEndpoints) == 0 {
		return discovery.EndpointList{}, nil, nil
	}
	list, malformed, err = discovery.ParseEndpointsLenient(c.CachedEndpoints, names)
	if err != nil {
		return discovery.EndpointList{}, nil, &CachedEndpointsError{err}
	}
	return list, malformed, nil
}

// resolveLoadSignal decides what a LOAD line means, since it does not say what it measures: a connection's load where
// backends report that, else, where the settings promise it, the delay of a message.
func resolveLoadSignal(s settings.Settings) settings.Settings {
	s.ReportsMessageDelay = s.ReportsMessageDelay && !s.ReportsConnectionLoad
	return s
}
