package simulation

import (
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/session"
)

// clientObserver adapts the checker's observer of a client's connection to connObserver.
type clientObserver struct{ *invariant.ClientConn }

// ReceivedEnd passes the client's end on.
func (t clientObserver) ReceivedEnd(how session.EndKind) {
	t.ClientConn.ReceivedEnd(invariant.EndKind(how))
}

// WrittenEnd passes the relay's end on.
func (t clientObserver) WrittenEnd(how session.EndKind) {
	t.ClientConn.WrittenEnd(invariant.EndKind(how))
}

// backendObserver adapts the checker's observer of a backend's connection to connObserver.
type backendObserver struct{ *invariant.BackendConn }

// ReceivedEnd passes the backend's end on.
func (t backendObserver) ReceivedEnd(how session.EndKind) {
	t.BackendConn.ReceivedEnd(invariant.EndKind(how))
}

// WrittenEnd passes the relay's end on.
func (t backendObserver) WrittenEnd(how session.EndKind) {
	t.BackendConn.WrittenEnd(invariant.EndKind(how))
}
