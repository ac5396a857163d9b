// Package relay drives the decision code on real sockets, goroutines and the system clock.
//
// The packages controller, session, handshake, healthcheck, discovery and hotrestart decide; they do no I/O and have no
// clock. This package reads and writes for them:
//
//   - relay.go, acceptor.go and shutdown.go: the life of the process, from its listener to its last connection
//   - eventloop.go and driver.go: the one goroutine that calls the controller, and what the controller asks for
//   - handshake.go, session.go, forward.go and attempt.go: a client's connection and its backend
//   - healthcheck.go, discovery.go, peers.go and admin.go: the other connections of a relay
//   - hotrestart.go, predecessor.go and successor.go: the hand-over from one process to the next
//
// The event loop never blocks on a socket or on a session, and a panic in one connection ends only that connection. The
// limits of MaxDescriptors and memory are shared out beforehand, so that accepting never runs into them.
package relay
