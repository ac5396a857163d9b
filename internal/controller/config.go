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
	CachedEndpoints []byte // the last endpoint list of this relay, in discovery's format; may be empty
	Settings        settings.Settings
	Routes          *routing.Table       // nil: no request has a retry policy of its own
	AdminListen     string               // address of the admin endpoint; empty: no admin endpoint
	Shadow          *shadow.Shape        // evaluated without acting on it; nil: no shadow evaluation
	Membership      *membership.Settings // of failure detection among relays; nil: off
	RuntimeDir      string               // directory shared with a successor process; empty: no hot restart

	// NewDecider returns a new Decider; nil: package balance. Only experiments set it, to compare simpler policies.
	NewDecider decision.Factory
}

const (
	// sessionBytes is a generous upper bound on the memory that an established session uses.
	sessionBytes = 48 << 10
	// sessionMemoryDivisor divides the memory limit: sessions may use that part of it.
	sessionMemoryDivisor = 2
	// maxHandshakes limits connections without a complete OPEN line, regardless of the number of descriptors.
	maxHandshakes = 256
	// maxHealthChecks limits health check connections, idle ones included.
	maxHealthChecks = 48
	// minAdminConnections and maxAdminConnections bound the connections at the admin endpoint.
	minAdminConnections = 4
	maxAdminConnections = 32
	// descriptorsPerSession counts one connection to the client and one to the backend.
	descriptorsPerSession = 2
	// Each other use gets at most the number of all descriptors divided by its divisor.
	handshakeDivisor   = 9
	healthCheckDivisor = 10
	adminDivisor       = 20
	reservedDivisor    = 4
)

// ReservedDescriptors is the number of descriptors reserved for discovery, peers, the listener and the runtime.
const ReservedDescriptors = 16

// Limits is the highest number of sessions and of each other kind of connection.
type Limits struct{ Sessions, Handshakes, HealthChecks, AdminConnections int }

// AllocateDescriptors divides the descriptors of a relay among its uses; memoryMB is its memory limit in MiB (0: none). A
// session uses two descriptors, any other connection one. Clients may hold a third of all descriptors for requests, so
// from 256 descriptors on two thirds are left to sessions, unless the memory limit allows fewer sessions. The admin endpoint
// has a part of its own, to answer when all others are used up.
func AllocateDescriptors(descriptors, memoryMB int, adminEndpoint bool) Limits {
	limits := Limits{
		Handshakes:   max(1, min(maxHandshakes, descriptors/handshakeDivisor)),
		HealthChecks: max(1, min(maxHealthChecks, descriptors/healthCheckDivisor)),
	}
	if adminEndpoint {
		limits.AdminConnections = max(minAdminConnections, min(maxAdminConnections, descriptors/adminDivisor))
	}
	others := min(ReservedDescriptors, descriptors/reservedDivisor) +
		limits.Handshakes + limits.HealthChecks + limits.AdminConnections
	limits.Sessions = max(1, (descriptors-others)/descriptorsPerSession)
	if memoryMB > 0 {
		limits.Sessions = min(limits.Sessions, max(1, maxSessionsInMemory(memoryMB)))
	}
	return limits
}

// maxSessionsInMemory returns how many sessions fit into the sessions' part of a memory limit.
func maxSessionsInMemory(memoryMB int) int {
	return memoryMB << 20 / sessionMemoryDivisor / sessionBytes
}

// descriptorBudget is the number of descriptors of this relay, and how many of them its other process holds during a hot
// restart.
type descriptorBudget struct {
	total        int // 0: not known yet
	otherProcess int
}

func (d *descriptorBudget) limits(memoryMB int, adminEndpoint bool) Limits {
	limits := AllocateDescriptors(d.total-d.otherProcess, memoryMB, adminEndpoint)
	if memoryMB > 0 {
		limits.Sessions = min(limits.Sessions, max(1, maxSessionsInMemory(memoryMB)-d.otherSessions(adminEndpoint)))
	}
	return limits
}

// otherSessions returns an upper bound of the other process's sessions. Its descriptors include those that it reserves.
func (d *descriptorBudget) otherSessions(adminEndpoint bool) int {
	whole := AllocateDescriptors(d.total, 0, adminEndpoint)
	reserved := ReservedDescriptors + whole.HealthChecks + whole.AdminConnections
	return max(0, d.otherProcess-reserved) / descriptorsPerSession
}

// CachedEndpointsError reports a cached endpoint list that cannot be parsed at all.
type CachedEndpointsError struct{ Err error }

func (e *CachedEndpointsError) Error() string { return fmt.Sprintf("cached endpoint list: %v", e.Err) }

// Unwrap returns the parse error.
func (e *CachedEndpointsError) Unwrap() error { return e.Err }

// cachedEndpoints parses the cached endpoint list, if any, with the zone and kind names in force. Entries that cannot be
// parsed are left out and reported by malformed; err means that the list could not be parsed at all.
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

// resolveLoadSignal determines what LOAD lines measure, since the lines do not contain it: the delay of a message if the
// settings specify that and not the connection's load, otherwise the connection's load.
func resolveLoadSignal(s settings.Settings) settings.Settings {
	s.ReportsMessageDelay = s.ReportsMessageDelay && !s.ReportsConnectionLoad
	return s
}
