// Package emulator models the servers behind the relays for the test systems: cores that requests share, request queues,
// standing connections, cold starts, pauses, slowdowns, leaks, load reports, and a dependency that several servers share.
// Servers that wait for a [Dependency] get slower by queueing, not by a factor.
//
// The model has no clock, sockets or goroutines: callers pass the time, which must never decrease, and get the time of the
// next call from [Server.NextCompletion]. The simulation on a virtual clock and the test cluster on real sockets
// therefore run the same model. All randomness comes from the seed given to [New].
//
// The package doesn't speak any protocol, doesn't decide when faults happen, and isn't calibrated against any real
// machine. Times are offsets from an epoch that the caller chooses, work is in core-seconds of a nominal core, and load
// is in nominal cores. docs/emulator.md describes the model.
package emulator
