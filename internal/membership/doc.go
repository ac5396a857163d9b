// Package membership detects which relays of a fleet are running, from datagrams that the relays send each other. It
// implements the SWIM protocol (Das, Gupta, Motivala, 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey,
// 2018): randomised probing, indirect probes, suspicion with refutation by incarnation, updates piggybacked on probes,
// and a local health multiplier that lengthens the timeouts of a relay that is itself slow. docs/membership.md lists what
// differs from the papers and why; the main difference is that a relay pings a member itself before it marks it dead,
// whatever others report.
//
// [Memberlist] is a state machine. The caller delivers events (ticks, received datagrams, the leave) with the current
// time, and sends the [Packet] values that each event returns. The package has no clock, no
// sockets and no goroutines, and all randomness comes from the seed given to [New], so the same code runs in a relay
// and on a simulated clock.
//
// The set of possible members is fixed when a Memberlist is created: members are indexes into the configured list of
// peers. The package doesn't discover peers outside that list, doesn't authenticate datagrams beyond the fleet's name
// and the sender's address, doesn't transfer state over streams, and doesn't carry application data.
//
// All times are offsets from one epoch that the caller chooses. They must never decrease from one call to the next.
package membership
