// Package loadstats computes how evenly a fleet's connections load its backends, second by second. It compares that with
// two baselines for the same connections: weighted rendezvous hashing alone, and a greedy placement based on the
// exact loads at every moment.
//
// A [Recorder] records when backends came up and went down and when connections opened and closed; [Recorder.PerSecond]
// computes the figures after the run, and [Summarize] summarizes them. Loads and capacities are in cores; figures are
// relative to a backend's capacity or to the mean over backends, as the fields say. Backends that are down are left out.
// Times are offsets from the start of the run.
//
// The package observes only: it doesn't place connections in a run, and measures neither latencies nor errors.
package loadstats
