package simulation

import (
	"strings"
	"time"

	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/loadstats"
)

// ServiceSecond is the service of one second, each client counted with its class's weight.
type ServiceSecond struct {
	Requested float64 `json:"asked"`  // clients that were connected or tried to connect
	Served    float64 `json:"served"` // of those, clients whose connection met the latency objective
}

// Result is the outcome of a run.
type Result struct {
	Seed            uint64                `json:"seed"`
	Relays          int                   `json:"relays"`
	Backends        int                   `json:"backends"`
	Clients         int                   `json:"clients"`
	Faults          []Fault               `json:"faults"` // as injected
	Violations      []invariant.Violation `json:"broken,omitempty"`
	Counts          map[string]int        `json:"counts"`             // occurrences of faults and other events, by name
	FaultPairs      map[string]int        `json:"pairs,omitempty"`    // how often two kinds of fault overlapped
	ServedWeight    float64               `json:"worth"`              // sum of the weights of served requests
	Answered        int                   `json:"asked"`              // final answers
	Refused         int                   `json:"refused"`            // final answers that were BUSY
	Failed          int                   `json:"failed"`             // final answers that were ERR
	Attempts        int                   `json:"attempts"`           // requests that reached backends
	Events          int                   `json:"steps"`              // events of the simulation
	ServiceBySecond []ServiceSecond       `json:"service,omitempty"`  // with Options.Installation only
	ServiceByClass  []ServiceSecond       `json:"by_class,omitempty"` // sums of the run; with Options.Installation only
	Evenness        []loadstats.Second    `json:"evenness,omitempty"` // with Options.Installation only
}

// measureService records the service of the second that has just passed, and schedules itself for the next.
func (run *run) measureService() {
	if run.closing {
		return
	}
	var sum ServiceSecond
	for _, c := range run.clients {
		if !c.connectionRequested {
			continue
		}
		weight := run.classes[c.class].weight
		sum.Requested += weight
		run.serviceByClass[c.class].Requested += weight
		if c.established && c.conn != nil && c.meetsObjective() {
			sum.Served += weight
			run.serviceByClass[c.class].Served += weight
		}
	}
	run.serviceBySecond = append(run.serviceBySecond, sum)
	run.engine.schedule(time.Second, run.measureService)
}

// summarize builds the result.
func (run *run) summarize(size installationSize, script []Fault) Result {
	res := Result{Seed: run.options.Seed, Relays: size.relays, Backends: size.backends, Clients: size.clients, Faults: script,
		Violations: run.checker.Violations, Counts: run.counts, FaultPairs: run.faultPairs, Events: run.engine.eventCount}
	res.ServiceBySecond, res.ServiceByClass = run.serviceBySecond, run.serviceByClass
	if run.options.Installation != nil {
		res.Evenness = run.loadRecorder.PerSecond(run.options.Duration)
	}
	for i, n := range run.servedByClass {
		res.ServedWeight += float64(n) * run.classes[i].weight
	}
	for what, n := range run.checker.Counts {
		res.Counts[what] += n
		if strings.HasPrefix(what, "answer ") {
			res.Answered += n
		}
	}
	res.Refused, res.Failed = res.Counts["answer BUSY"], res.Counts["answer ERR"]
	res.Attempts = run.checker.Counts["attempt"]
	return res
}
