package scenario

import (
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/simulation"
	"aspenbarrow/internal/testcluster"
)

const (
	// warmUpSeconds are excluded from the summary of a run's evenness: an installation starts without connections and
	// has to fill first.
	warmUpSeconds = 10
	// worstWindowSeconds is the length of the window of worst service.
	worstWindowSeconds = 10
)

// classNames are the classes of requests of every installation.
var classNames = []string{"watch", "fetch", "submit"}

// Outcome is the result of playing a script once. The JSON keys are those of stored outcomes.
type Outcome struct {
	Script           string                     `json:"script"`
	Seed             uint64                     `json:"seed"`
	Service          float64                    `json:"whole"`      // over the whole run, 1 at best
	WorstWindow      float64                    `json:"worst_ten"`  // service over the worst ten consecutive seconds
	WorstWindowStart int                        `json:"worst_at_s"` // the first of these seconds, from 0
	Classes          map[string]float64         `json:"classes"`    // service by class; empty for processes
	Seconds          []simulation.ServiceSecond `json:"seconds"`    // service by second
	Evenness         []loadstats.Second         `json:"evenness"`   // of the load, by second
	Counts           map[string]int             `json:"counts"`     // number of events, by name

	// Only for runs on processes; a run on the virtual clock has none of these.
	Program     string                        `json:"program,omitempty"`      // the relays'
	FirstStarts *testcluster.ReadinessSummary `json:"first_starts,omitempty"` // how soon the relays' first processes were ready
	Restarts    *testcluster.ReadinessSummary `json:"restarts,omitempty"`     // likewise the later ones; nil also if there were none
	Faults      []testcluster.FaultEffect     `json:"faults,omitempty"`       // the faults as played, with their effects
	Waits       *testcluster.LatencySummary   `json:"waits,omitempty"`        // how long clients waited for a connection
	Rates       *testcluster.TrafficRates     `json:"rates,omitempty"`        // of what the relays send beside the lines of clients
	Usage       *testcluster.ResourceUsage    `json:"usage,omitempty"`        // of processor and memory
	Cores       []float64                     `json:"machine,omitempty"`      // processor cores used by all relays, by second

	ColdStarts []testcluster.ColdStart `json:"cold_starts,omitempty"` // what cold backends took; only for runs on processes

	Violations []string `json:"broken,omitempty"` // of rules
}

// summarize computes the service over the run and its worst window.
func (o *Outcome) summarize() {
	o.Service, o.WorstWindow = serviceOf(o.Seconds), 1
	for start := 0; start+worstWindowSeconds <= len(o.Seconds); start++ {
		if service := serviceOf(o.Seconds[start : start+worstWindowSeconds]); service < o.WorstWindow {
			o.WorstWindow, o.WorstWindowStart = service, start
		}
	}
}

// serviceOf returns the service over some seconds: the weight of the clients served over that of the clients that requested
// a connection.
func serviceOf(seconds []simulation.ServiceSecond) float64 {
	requested, served := 0.0, 0.0
	for _, s := range seconds {
		requested, served = requested+s.Requested, served+s.Served
	}
	if requested == 0 {
		return 1
	}
	return served / requested
}

// EvennessFrom summarizes the evenness of the load from a second on.
func (o *Outcome) EvennessFrom(second int) loadstats.Summary {
	return loadstats.Summarize(o.Evenness, second)
}

// Herd returns the worst herd of a run from its first second on, and that of hashing alone in that second.
func (o *Outcome) Herd() (worst, hashing float64) {
	e := o.EvennessFrom(0)
	return e.HerdRatio, e.HashingHerdRatio
}
