package simulation

import (
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/session"
)

// clientObserver adapts the checker's observer of a client's connection to connObserver.
type clientObserver struct{ *invariant.ClientConn }

// ReceivedEnd reports to the checker how the client ended the connection.
func (o clientObserver) ReceivedEnd(how session.EndKind) {
	o.ClientConn.ReceivedEnd(invariant.EndKind(how))
}

// WrittenEnd reports to the checker how the relay ended the connection.
func (o clientObserver) WrittenEnd(how session.EndKind) {
	o.ClientConn.WrittenEnd(invariant.EndKind(how))
}

// backendObserver adapts the checker's observer of a backend's connection to connObserver.
type backendObserver struct{ *invariant.BackendConn }

// ReceivedEnd reports to the checker how the backend ended the connection.
func (o backendObserver) ReceivedEnd(how session.EndKind) {
	o.BackendConn.ReceivedEnd(invariant.EndKind(how))
}

// WrittenEnd reports to the checker how the relay ended the connection.
func (o backendObserver) WrittenEnd(how session.EndKind) {
	o.BackendConn.WrittenEnd(invariant.EndKind(how))
}
