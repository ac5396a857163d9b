// Package balance decides which backend serves each long-lived connection.
//
// A Balancer makes the decisions of one relay: placement, admission, retries,
// outlier ejection, concurrency limits, slow start, health checks and draining.
// Events are method calls on Balancer with the current time; decisions are calls
// of the Actions interface.
//
// The package does no I/O. It starts no goroutines, reads no clock and does not
// depend on wire formats, sockets or files; randomness comes from a generator
// seeded by the caller. The same events at the same times therefore give the
// same actions.
// A Balancer is not safe for concurrent use.
//
// Placement follows the "power of one random choice" of Maat ("Maat: A Fair and
// Scalable Layer-4 Load Balancer With Per-Connection Consistency", section III).
// Where and why it departs from the paper is in docs/design.md.
package balance
