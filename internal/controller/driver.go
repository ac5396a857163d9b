package controller

import (
	"aspenbarrow/balance"
	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// Driver carries out the controller's decisions. No call may block. Sessions are identified by their sequence numbers.
type Driver interface {
	hotrestart.IDSender

	SendEndpointMessage(to hotrestart.Process, message hotrestart.EndpointMessage) // dropped if there is no such process
	SendCommand(session uint64, command session.Command)
	MigrateSession(session uint64)               // asks an established session's client to reconnect elsewhere
	ReportClientError(session uint64, err error) // the session's client has violated the protocol
	StartHealthCheck(b *upstream.Backend)
	ReleaseHealthCheck(id balance.BackendID) // closes the idle connection for the backend's health checks
	SendDatagram(to string, data []byte)
	RequestEndpoints(watch bool)        // true: subscribes to the endpoint list; false: requests the whole list once
	SetDiscoveryAddress(address string) // changes the address of the discovery agent
	SetLimits(limits Limits)
	SetSettings(s *settings.Settings) // for new sessions; open ones keep theirs
	EndpointsReceived()               // the first endpoint list has been received
	RequestIDsReceived()              // the predecessor has sent the IDs of all its open requests
	StopAccepting()                   // closes the listener shortly before the end; may be called more than once
	ShutdownFinished()                // the graceful shutdown is complete: the relay may end
}
