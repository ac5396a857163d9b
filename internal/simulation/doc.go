// Package simulation is a deterministic simulation of an installation: relays, backends,
// discovery, load balancers in front of the relays, clients and the network between them
// run on a virtual clock while faults are injected. The relays run the code of the real
// program, package controller, with a driver of this package in place of package relay.
//
// A run is one goroutine and a queue of events. Everything random is drawn from the seed,
// so the same Options give the same Result to the byte. Code of this package must not read
// the system clock, depend on the order of a map or use any other source of randomness, and
// what a run draws must not depend on whether it is traced.
//
// Package invariant observes the bytes on all connections and reports violated rules. A
// Mutation gives the relays a defect, for tests of the invariant checker, and Shrink reduces
// the fault script of a failing run. Backends answer after drawn delays or, with
// Options.Installation, follow the model of package emulator. The resulting figures are those
// of the model, not of real servers.
package simulation
