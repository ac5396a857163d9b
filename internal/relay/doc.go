// Package relay drives the decision code on real sockets, goroutines and the system clock.
//
// The packages controller, session, handshake, healthcheck, discovery and hotrestart decide; they do no I/O and have no
// clock. This package does the I/O for them:
//
//   - relay.go, acceptor.go and shutdown.go: the process, from opening its listener to closing its last connection
//   - eventloop.go and driver.go: the one goroutine that calls the controller, and the calls that the controller makes
//   - handshake.go, session.go, forward.go and attempt.go: a client's connection and its backend
//   - healthcheck.go, discovery.go, peers.go and admin.go: the other connections of a relay
//   - hotrestart.go, predecessor.go and successor.go: the hand-over from a predecessor to its successor
//
// The event loop never blocks on a socket or on a session, and a panic in one connection ends only that connection. What
// MaxDescriptors and the memory limit allow is divided among the kinds of connections beforehand, so that accepting
// connections never exceeds them.
package relay
