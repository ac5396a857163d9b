package testcluster

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// ReadinessTarget is the time within which nine in ten relays that restart at the same time have to be ready.
	ReadinessTarget = 10 * time.Second
	// readyTimeout is how long relays that start at the same time may take to become ready before the run fails.
	readyTimeout = 20 * time.Second
	// readinessPollInterval is the pause between two PINGs to a relay that is not ready yet.
	readinessPollInterval = 50 * time.Millisecond
)

// errProcessEnded is returned for a relay's process that ended before it was ready.
var errProcessEnded = errors.New("exited before it was ready")

// RelayStart is the start of one relay process. A relay is ready once it has answered PONG on its listen address.
type RelayStart struct {
	Relay      int           `json:"relay"`
	Start      int           `json:"start"`      // 0: the relay's first process, 1: the one after its first restart
	StartedAt  time.Duration `json:"started_ns"` // since the run began; negative: before that
	ReadyAfter time.Duration `json:"ready_ns"`   // from the order to start the process until its first PONG; 0: not ready by the end of the run or process
}

// readyWithin reports whether the process was ready within a time.
func (start *RelayStart) readyWithin(limit time.Duration) bool {
	return start.ReadyAfter > 0 && start.ReadyAfter <= limit
}

// ReadinessSummary summarizes how long relay processes took to become ready. The times are of those that became ready.
type ReadinessSummary struct {
	Starts   int     `json:"starts"`
	InTime   int     `json:"ready_in_time"` // ready within ReadinessTarget
	NotReady int     `json:"not_ready"`     // by the end of the run or process
	P50      float64 `json:"p50_ms"`
	P90      float64 `json:"p90_ms"`
	Max      float64 `json:"max_ms"`
}

// NineInTenInTime reports whether at least nine in ten of the processes were ready within ReadinessTarget.
func (summary *ReadinessSummary) NineInTenInTime() bool { return 10*summary.InTime >= 9*summary.Starts }

// SummarizeReadiness summarizes the starts of relay processes.
func SummarizeReadiness(starts []RelayStart) (summary ReadinessSummary) {
	var times []time.Duration
	for i := range starts {
		if starts[i].readyWithin(ReadinessTarget) {
			summary.InTime++
		}
		if starts[i].ReadyAfter > 0 {
			times = append(times, starts[i].ReadyAfter)
		}
	}
	summary.Starts, summary.NotReady = len(starts), len(starts)-len(times)
	if len(times) > 0 {
		slices.Sort(times)
		quantile := func(n, of int) float64 { return milliseconds(times[(len(times)*n+of-1)/of-1]) }
		summary.P50, summary.P90, summary.Max = quantile(1, 2), quantile(9, 10), quantile(1, 1)
	}
	return summary
}

// relayStart is the record of one relay process. The cluster's lock guards readyAt.
type relayStart struct {
	relay, number int
	process       *process
	orderedAt     time.Duration // when the cluster began to start it, on the cluster's clock
	readyAt       time.Duration // on the cluster's clock; 0: not ready yet
}

// awaitReady waits until a relay's process answers PONG on the relay's listen address, records the time and makes the
// relay available to clients. It returns errProcessEnded if the process ends before, another error at the deadline.
func (c *cluster) awaitReady(target *relay, start *relayStart, deadline time.Duration) error {
	for {
		ready := c.relayReady(target)
		switch {
		case !start.process.running(): // another process of this relay may have answered
			return fmt.Errorf("relay %d %w: %w; its log ends with %s", target.index, errProcessEnded, start.process.err, logTail(start.process.log))
		case ready:
			c.mu.Lock()
			start.readyAt = c.now()
			c.mu.Unlock()
			c.frontend.setAvailable(target.index, true)
			return nil
		case c.now() > deadline:
			return fmt.Errorf("relay %d is not ready %v after start %d; its log ends with %s", target.index, readyTimeout, start.number, logTail(start.process.log))
		}
		if !sleepContext(c.ctx, readinessPollInterval) {
			return c.ctx.Err()
		}
	}
}

// recordedStarts returns the relays' first starts and their restarts so far, each in the order in which they were recorded.
func (c *cluster) recordedStarts() (first, restarts []RelayStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runStart := time.Duration(c.runStart.Load())
	for _, recorded := range c.starts {
		start := RelayStart{Relay: recorded.relay, Start: recorded.number, StartedAt: recorded.orderedAt - runStart}
		if recorded.readyAt > 0 {
			start.ReadyAfter = recorded.readyAt - recorded.orderedAt
		}
		if start.Start == 0 {
			first = append(first, start)
		} else {
			restarts = append(restarts, start)
		}
	}
	return first, restarts
}
