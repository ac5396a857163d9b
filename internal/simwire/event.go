package simwire

import "aspenbarrow/balance"

// EventCode is the first byte of a record in a batch. Event codes and action codes are separate code spaces.
type EventCode uint8

// The event codes, each with its name in the protocol's description.
const (
	EventLoadReported     EventCode = 10  // PROGRESS
	EventTimerFired       EventCode = 20  // FIRED
	EventConfigure        EventCode = 30  // CONFIGURE
	EventClientClosed     EventCode = 40  // DROPPED
	EventEndpointsUpdated EventCode = 50  // VIEW
	EventGossipReceived   EventCode = 60  // DATAGRAM
	EventEndpointList     EventCode = 70  // INVENTORY
	EventSessionAdopted   EventCode = 80  // RESUMED
	EventHealthCheckDone  EventCode = 90  // PROBED
	EventExit             EventCode = 100 // EXIT
	EventAttemptEnded     EventCode = 110 // SETTLED
	EventSelectInstance   EventCode = 120 // ABOUT
	EventRequestArrived   EventCode = 130 // CALL
	EventAttemptSucceeded EventCode = 140 // BEGUN
)

// MaxListSlots is the number of endpoint lists that a process keeps; slots are numbered from 0.
const MaxListSlots = 16

// Event is one record of a batch. Which fields are set depends on Code.
type Event struct {
	Code EventCode

	Instance uint32 // SelectInstance

	Seed     uint64 // Configure
	Settings []byte // Configure: a JSON object

	ListSlot    uint32                     // EndpointList, EndpointsUpdated
	Backends    []balance.Backend          // EndpointList
	UpdateKind  balance.EndpointUpdateKind // EndpointsUpdated
	ListVersion uint64                     // EndpointsUpdated

	Request balance.Request       // RequestArrived, SessionAdopted
	Result  balance.AttemptResult // AttemptSucceeded, AttemptEnded; ID alone: LoadReported, ClientClosed
	Backend balance.BackendID     // SessionAdopted, LoadReported

	Signal      balance.LoadSignal // LoadReported
	SignalValue float64            // LoadReported

	HealthCheck balance.HealthCheckResult // HealthCheckDone

	TimerToken uint64 // TimerFired

	Peer    int    // GossipReceived: the sending relay
	Payload []byte // GossipReceived
}
