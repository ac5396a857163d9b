package scenario

import (
	"context"
	"path/filepath"
	"time"

	"aspenbarrow/internal/simulation"
	"aspenbarrow/internal/testcluster"
)

// Play plays a script on the virtual clock with a seed, or with the script's own if seed is 0.
func Play(s Script, seed uint64) Outcome { return PlayWithPolicy(s, seed, "") }

// PlayWithPolicy is like Play, with relays that use a policy of baseline.Names instead of package balance. An empty name
// means package balance.
func PlayWithPolicy(s Script, seed uint64, policy string) Outcome {
	if seed == 0 {
		seed = s.Seed
	}
	result := simulation.Run(simulation.Options{Seed: seed, Duration: time.Duration(s.Length), Script: s.faults(), Installation: s.installation(), Policy: policy})
	o := Outcome{Script: s.Name, Seed: seed, Seconds: result.ServiceBySecond, Evenness: result.Evenness, Counts: result.Counts, Classes: map[string]float64{}}
	for i, class := range classNames {
		o.Classes[class] = serviceOf(result.ServiceByClass[i : i+1])
	}
	o.summarize()
	for _, violation := range result.Violations {
		o.Violations = append(o.Violations, violation.String())
	}
	return o
}

// PlayOnProcesses plays a script with a seed, its own if 0, on processes of a program. It returns an error if the run
// could not be played or a fault had no effect.
func PlayOnProcesses(ctx context.Context, s Script, program string, seed uint64) (Outcome, error) {
	if seed == 0 {
		seed = s.Seed
	}
	result, err := testcluster.Run(ctx, testcluster.Options{Program: program, Seed: seed, Duration: time.Duration(s.Length), Fleet: *s.installation(), Faults: s.faults()})
	o := Outcome{Script: s.Name, Seed: seed, Program: filepath.Base(program), Seconds: result.Service, Evenness: result.Evenness,
		Counts: result.Counts, Faults: result.Faults, Violations: result.Violations, Waits: &result.ConnectLatency, Rates: &result.Rates,
		Usage: &result.Usage, Cores: result.CPUCores, ColdStarts: result.ColdStarts,
		FirstStarts: summarizeStarts(result.FirstStarts), Restarts: summarizeStarts(result.Restarts)}
	o.summarize()
	return o, err
}

// summarizeStarts summarizes how soon relay processes were ready; nil if there were none.
func summarizeStarts(starts []testcluster.RelayStart) *testcluster.ReadinessSummary {
	if len(starts) == 0 {
		return nil
	}
	summary := testcluster.SummarizeReadiness(starts)
	return &summary
}

// Alternate plays a script on processes of each program in turn, on consecutive seeds from firstSeed on, so that
// each seed is played with every program. progress is called after each run. On an error it also returns
// the outcomes up to then, with that of the failed run if it has figures.
func Alternate(ctx context.Context, s Script, programs []string, firstSeed uint64, seeds int, progress func(Outcome)) (outcomes []Outcome, err error) {
	for i := range seeds {
		for _, program := range programs {
			o, err := PlayOnProcesses(ctx, s, program, firstSeed+uint64(i))
			if err != nil && o.Seconds == nil {
				return outcomes, err
			}
			o.Program = program
			outcomes = append(outcomes, o)
			progress(o)
			if err != nil {
				return outcomes, err
			}
		}
	}
	return outcomes, nil
}
