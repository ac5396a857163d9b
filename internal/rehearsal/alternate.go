package rehearsal

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// Alternate plays a script on processes of each program by turns, on a number of seeds from the first on, so that
// each seed is played with every program. each is called after each run. On an error the runs up to then, with the
// one that failed if it has figures, are returned too.
func Alternate(ctx context.Context, s Script, programs []string, seed uint64, seeds int, each func(Outcome)) (out []Outcome, err error) {
	for k := range seeds {
		for _, p := range programs {
			o, err := PlayReal(ctx, s, p, seed+uint64(k))
			if err != nil && o.Seconds == nil {
				return out, err
			}
			o.Program = p
			out = append(out, o)
			each(o)
			if err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

// Herd is the worst herd of a run from its first second on, and what hashing alone makes of that second.
func (o *Outcome) Herd() (worst, hashing float64) {
	e := o.Even(0)
	return e.HerdRatio, e.HashingHerdRatio
}

// Line returns the run's figures in one line.
func (o *Outcome) Line() string {
	e := o.Even(settled)
	herd, hashed := o.Herd()
	return fmt.Sprintf("%s seed %d: service %.4f, deviation %.3f (hashing %.3f, an even hand %.3f, ratio %.2f), least %.2f, most %.2f, idle %.1f backend-s, herd %.2f (hashing %.2f), moved %d, refused %d, broken %d",
		o.Program, o.Seed, o.Whole, e.Variation, e.HashingVariation, e.GreedyVariation, e.RelativeVariation, e.LowestOverMean, e.MaxOverMean, e.IdleSeconds, herd, hashed, o.Counts["moved"], o.Counts["refused"], len(o.Broken))
}

// figures are what Compare sets side by side.
var figures = []struct {
	name string
	of   func(o *Outcome) float64
}{
	{"service", func(o *Outcome) float64 { return o.Whole }},
	{"worst ten seconds", func(o *Outcome) float64 { return o.WorstTen }},
	{"deviation", func(o *Outcome) float64 { return o.Even(settled).Variation }},
	{"of hashing", func(o *Outcome) float64 { return o.Even(settled).HashingVariation }},
	{"ratio", func(o *Outcome) float64 { return o.Even(settled).RelativeVariation }},
	{"least in any second", func(o *Outcome) float64 { return o.Even(settled).LowestOverMean }},
	{"idle backend-s", func(o *Outcome) float64 { return o.Even(settled).IdleSeconds }},
	{"worst herd", func(o *Outcome) float64 { return o.Even(0).HerdRatio }},
	{"of hashing", func(o *Outcome) float64 { return o.Even(0).HashingHerdRatio }},
	{"moved", func(o *Outcome) float64 { return float64(o.Counts["moved"]) }},
	{"refused", func(o *Outcome) float64 { return float64(o.Counts["refused"]) }},
	{"attempts", func(o *Outcome) float64 { return float64(o.Counts["attempt"]) }},
	{"99% wait, ms", func(o *Outcome) float64 { return o.Waits.P99 }},
	{"probes a second", func(o *Outcome) float64 { return o.Rates.Probes }},
	{"handshakes a second", func(o *Outcome) float64 { return o.Rates.Handshakes }},
	{"datagrams a second", func(o *Outcome) float64 { return o.Rates.Datagrams }},
	{"a relay's core, %", func(o *Outcome) float64 { return 100 * o.Usage.CPUMedian }},
	{"a relay's memory, MB", func(o *Outcome) float64 { return float64(o.Usage.MemMedian) / 1e6 }},
	{"rules broken", func(o *Outcome) float64 { return float64(len(o.Broken)) }},
}

// Compare writes medians and ranges of the figures by program. All outcomes are of processes and one script.
func Compare(out io.Writer, outcomes []Outcome) {
	var programs []string
	for i := range outcomes {
		if !slices.Contains(programs, outcomes[i].Program) {
			programs = append(programs, outcomes[i].Program)
		}
	}
	fmt.Fprintf(out, "%s, medians (least to most) of %d seeds\n", outcomes[0].Script, len(outcomes)/len(programs))
	for k, p := range programs {
		fmt.Fprintf(out, "  %c = %s\n", 'A'+k, p)
	}
	for _, f := range figures {
		fmt.Fprintf(out, "%-22s", f.name)
		for _, p := range programs {
			var v []float64
			for i := range outcomes {
				if outcomes[i].Program == p {
					v = append(v, f.of(&outcomes[i]))
				}
			}
			slices.Sort(v)
			fmt.Fprintf(out, "  %9.3f (%.3f to %.3f)", v[len(v)/2], v[0], v[len(v)-1])
		}
		fmt.Fprintln(out)
	}
}
