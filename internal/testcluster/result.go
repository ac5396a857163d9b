package testcluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/simulation"
)

// Result is the outcome of a run.
type Result struct {
	Program        string                     `json:"program"`
	Seed           uint64                     `json:"seed"`
	ReadyAfter     time.Duration              `json:"ready_ns"` // until all relays accepted clients
	FirstStarts    []RelayStart               `json:"first_starts"`
	Restarts       []RelayStart               `json:"restarts"`
	Service        []simulation.ServiceSecond `json:"service"`  // by second
	Evenness       []loadstats.Second         `json:"evenness"` // of the load on backends, by second
	Faults         []FaultEffect              `json:"faults"`
	Violations     []string                   `json:"broken,omitempty"` // of the invariants
	Counts         map[string]int             `json:"counts"`           // of events, by name
	ConnectLatency LatencySummary             `json:"waits"`
	Rates          TrafficRates               `json:"rates"`
	Usage          ResourceUsage              `json:"usage"`
	CPUCores       []float64                  `json:"machine"`  // used by all relays, by second
	Attempts       []int                      `json:"attempts"` // by backend
	ColdStarts     []ColdStart                `json:"cold_starts,omitempty"`
}

// FaultEffect is a fault with its actual times and effects.
type FaultEffect struct {
	fault.Fault
	StartedAt time.Duration  `json:"began_ns"` // since the run began
	EndedAt   time.Duration  `json:"ended_ns"` // likewise
	Counts    map[string]int `json:"did"`      // of effects, by name; empty: none
}

// LatencySummary summarizes how long clients waited for a connection, from the first attempt to the answer UP, in
// milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// TrafficRates are the rates of what relays send besides the lines of clients: means over the run, and peaks in any one
// second.
type TrafficRates struct {
	HealthChecks               float64 `json:"probes_per_s"` // of all relays
	PeakHealthChecksPerBackend int     `json:"probes_at_one_backend_in_a_second"`
	Handshakes                 float64 `json:"handshakes_per_s"`
	PeakHandshakesPerBackend   int     `json:"handshakes_at_one_backend_in_a_second"`
	Datagrams                  float64 `json:"datagrams_per_s"`
	PeakDatagramsPerRelay      int     `json:"datagrams_of_one_relay_in_a_second"`
	DiscoveryCalls             float64 `json:"discovery_calls_per_s"`
}

// ResourceUsage is the median and the maximum over the relay processes that ran from the beginning of the run to its
// end.
type ResourceUsage struct {
	CPUMedian    float64 `json:"cpu_share_median"` // of a core
	CPUMax       float64 `json:"cpu_share_most"`
	MemoryMedian int64   `json:"memory_bytes_median"` // peak resident size
	MemoryMax    int64   `json:"memory_bytes_most"`
}

// checkFaultsTookEffect returns an error that names the faults without effect; a run with such a fault demonstrates
// nothing.
func checkFaultsTookEffect(faults []FaultEffect) (err error) {
	for i := range faults {
		if f := &faults[i]; len(f.Counts) == 0 {
			err = errors.Join(err, fmt.Errorf("%s: the fault %q at %v had no effect", scriptPosition(&f.Fault), f.Kind, f.Start))
		}
	}
	return err
}

// scriptPosition returns the line of the script that a fault came from, for error messages.
func scriptPosition(f *fault.Fault) string {
	if f.ScriptLine == 0 {
		return "script"
	}
	return fmt.Sprintf("script line %d", f.ScriptLine)
}

// fillResult copies what a run of the given length recorded into its result.
func (c *cluster) fillResult(res *Result, length time.Duration) {
	c.mu.Lock()
	res.Faults = slices.Clone(c.effects)
	res.Counts, res.Attempts = c.counts, c.attempts
	res.ConnectLatency = LatencySummary{c.connectLatency.TotalCount(), float64(c.connectLatency.ValueAtQuantile(50)) / 1000, float64(c.connectLatency.ValueAtQuantile(99)) / 1000,
		float64(c.connectLatency.ValueAtQuantile(99.9)) / 1000, float64(c.connectLatency.Max()) / 1000}
	c.mu.Unlock()
	c.withLoadRecorder(func(l *loadstats.Recorder) { res.Evenness = l.PerSecond(length.Truncate(time.Second)) })
	c.withChecker(func() {
		for _, violation := range c.checker.Violations {
			res.Violations = append(res.Violations, violation.String())
		}
		for name, n := range c.checker.Counts {
			res.Counts[name] += n
		}
	})
	res.Rates = c.traffic.rates(length)
	res.ColdStarts = c.summarizeColdStarts()
}

// summarizeUsage summarizes the resource usage of the processes that were running at both times.
func summarizeUsage(before, after map[*process]processUsage, length time.Duration) (usage ResourceUsage) {
	var cpu []float64
	var mem []int64
	for p, end := range after {
		if start, ok := before[p]; ok {
			cpu, mem = append(cpu, (end.cpu-start.cpu).Seconds()/length.Seconds()), append(mem, end.memory)
		}
	}
	if len(cpu) == 0 {
		return usage
	}
	slices.Sort(cpu)
	slices.Sort(mem)
	return ResourceUsage{cpu[len(cpu)/2], cpu[len(cpu)-1], mem[len(mem)/2], mem[len(mem)-1]}
}

// recordConnectLatency records how long a client waited for its connection.
func (c *cluster) recordConnectLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.connectLatency.RecordValue(min(d.Microseconds(), c.connectLatency.HighestTrackableValue()))
}
