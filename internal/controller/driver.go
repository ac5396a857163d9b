package controller

import (
	"aspenbarrow/balance"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// Driver does what the controller decides. No call may block. Sessions are named by their sequence numbers.
type Driver interface {
	SendCommand(session uint64, command session.Command)
	MigrateSession(session uint64)               // asks an established session's client to reconnect elsewhere
	ReportClientError(session uint64, err error) // the session's client is at fault
	StartHealthCheck(b *upstream.Backend)
	ReleaseHealthCheck(id balance.BackendID) // its connection is no longer needed
	SendDatagram(to string, data []byte)
	RequestEndpoints(watch bool)        // a watch of the endpoint list, or the whole list once
	SetDiscoveryAddress(address string) // of the discovery agent from now on
	SetLimits(limits Limits)
	SetSettings(s *settings.Settings) // for new sessions; open ones keep theirs
	EndpointsReceived()               // the first endpoint list has come
	StopAccepting()                   // shutdown is near; may be called more than once
	Stopped()                         // no work is left: the relay may end
}
