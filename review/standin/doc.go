// Package standin has what the cases of the review need around the relay's own process: clients, backends and discovery that
// follow the operators' protocol page, on loopback addresses and the real clock, and the record of what was sent, answered and run.
package standin
