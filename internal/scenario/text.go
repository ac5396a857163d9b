package scenario

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"aspenbarrow/internal/testcluster"
)

const (
	barWidth   = 40 // characters of the bar of a second with full service
	bytesPerMB = 1e6
)

// reportedCounts are the counts that a report lists, in this order.
var reportedCounts = []string{"answer UP", "answer BUSY", "answer ERR", "attempt", "moved", "connection lost", "mid-stream request", "mid-stream resumed", "cold backend fell over"}

// WriteReport writes an outcome as text: the service of each second with the incidents of the script beside it, then
// the totals. Errors of out are ignored.
func (o *Outcome) WriteReport(out io.Writer, s Script) {
	fmt.Fprintf(out, "%s, seed %d\n", o.Script, o.Seed)
	o.writeSeconds(out, s)
	fmt.Fprintf(out, "service %.4f, worst ten seconds %.4f from second %d\n", o.Service, o.WorstWindow, o.WorstWindowStart+1)
	evenness := o.EvennessFrom(warmUpSeconds)
	fmt.Fprintf(out, "load %.2f of capacity; deviation %.3f of it after %d s (hashing alone %.3f, an even hand %.3f), least %.2f, most %.2f, idle %.1f backend-s, herd %.1f\n",
		evenness.MeanLoad, evenness.Variation, warmUpSeconds, evenness.HashingVariation, evenness.GreedyVariation, evenness.MinOverMean, evenness.MaxOverMean, evenness.IdleSeconds, o.EvennessFrom(0).HerdRatio)
	for _, class := range classNames {
		if service, ok := o.Classes[class]; ok {
			fmt.Fprintf(out, "class %-7s %.4f\n", class, service)
		}
	}
	if o.Waits != nil {
		o.writeProcessFigures(out)
	}
	writeReadiness(out, "first starts", o.FirstStarts)
	writeReadiness(out, "restarts", o.Restarts)
	for _, f := range o.Faults {
		fmt.Fprintf(out, "fault %s from %.1f s to %.1f s: %v\n", f.Kind, f.StartedAt.Seconds(), f.EndedAt.Seconds(), f.Counts)
	}
	for _, name := range reportedCounts {
		fmt.Fprintf(out, "%8d %s\n", o.Counts[name], name)
	}
	for i := range o.ColdStarts {
		fmt.Fprintln(out, o.ColdStarts[i].String())
	}
	for _, violation := range o.Violations {
		fmt.Fprintln(out, "broken:", violation)
	}
}

// writeSeconds writes a line for each second.
func (o *Outcome) writeSeconds(out io.Writer, s Script) {
	for i := range o.Seconds {
		service := serviceOf(o.Seconds[i : i+1])
		bar := strings.Repeat("#", int(service*barWidth+0.5))
		fmt.Fprintf(out, "%4d s %.3f %-40s %s\n", i+1, service, bar, strings.Join(s.incidentsAt(i), ", "))
	}
}

// incidentsAt returns the kinds of the incidents that are active in a second.
func (s *Script) incidentsAt(second int) (kinds []string) {
	from := time.Duration(second) * time.Second
	to := from + time.Second
	for i := range s.Incidents {
		in := &s.Incidents[i]
		start, end := time.Duration(in.Start), time.Duration(in.Start+in.Duration)
		if to > start && from < end {
			kinds = append(kinds, in.Kind)
		}
	}
	return kinds
}

// writeProcessFigures writes the figures that only runs on processes measure.
func (o *Outcome) writeProcessFigures(out io.Writer) {
	waits, rates, usage := o.Waits, o.Rates, o.Usage
	fmt.Fprintf(out, "waits of %d: median %.1f ms, 99%% %.0f ms, 99.9%% %.0f ms, longest %.0f ms\n", waits.Count, waits.P50, waits.P99, waits.P999, waits.Max)
	fmt.Fprintf(out, "a second: %.0f probes (%d at most at one backend), %.0f handshakes (%d), %.0f datagrams (%d of one relay), %.0f calls of discovery\n",
		rates.HealthChecks, rates.PeakHealthChecksPerBackend, rates.Handshakes, rates.PeakHandshakesPerBackend, rates.Datagrams, rates.PeakDatagramsPerRelay, rates.DiscoveryCalls)
	fmt.Fprintf(out, "a relay: %.2f%% of a core (%.2f%% at most), %.1f MB (%.1f at most)\n",
		100*usage.CPUMedian, 100*usage.CPUMax, float64(usage.MemoryMedian)/bytesPerMB, float64(usage.MemoryMax)/bytesPerMB)
}

// writeReadiness writes how soon relay processes were ready; nothing if there are none.
func writeReadiness(out io.Writer, name string, starts *testcluster.ReadinessSummary) {
	if starts == nil {
		return
	}
	fmt.Fprintf(out, "%s: %d of %d ready within %v, %d not ready; median %.0f ms, 90%% %.0f ms, longest %.0f ms\n",
		name, starts.InTime, starts.Starts, testcluster.ReadinessTarget, starts.NotReady, starts.P50, starts.P90, starts.Max)
}

// Summary returns the figures of a run on processes in one line.
func (o *Outcome) Summary() string {
	e := o.EvennessFrom(warmUpSeconds)
	herd, hashingHerd := o.Herd()
	return fmt.Sprintf("%s seed %d: service %.4f, deviation %.3f (hashing %.3f, an even hand %.3f, ratio %.2f), least %.2f, most %.2f, idle %.1f backend-s, herd %.2f (hashing %.2f), moved %d, refused %d, broken %d",
		o.Program, o.Seed, o.Service, e.Variation, e.HashingVariation, e.GreedyVariation, e.RelativeVariation, e.LowestOverMean, e.MaxOverMean, e.IdleSeconds, herd, hashingHerd, o.Counts["moved"], o.Counts["refused"], len(o.Violations))
}

// comparedFigures are the figures that WriteComparison lists, in this order.
var comparedFigures = []struct {
	name  string
	value func(o *Outcome) float64
}{
	{"service", func(o *Outcome) float64 { return o.Service }},
	{"worst ten seconds", func(o *Outcome) float64 { return o.WorstWindow }},
	{"deviation", func(o *Outcome) float64 { return o.EvennessFrom(warmUpSeconds).Variation }},
	{"of hashing", func(o *Outcome) float64 { return o.EvennessFrom(warmUpSeconds).HashingVariation }},
	{"ratio", func(o *Outcome) float64 { return o.EvennessFrom(warmUpSeconds).RelativeVariation }},
	{"least in any second", func(o *Outcome) float64 { return o.EvennessFrom(warmUpSeconds).LowestOverMean }},
	{"idle backend-s", func(o *Outcome) float64 { return o.EvennessFrom(warmUpSeconds).IdleSeconds }},
	{"worst herd", func(o *Outcome) float64 { return o.EvennessFrom(0).HerdRatio }},
	{"of hashing", func(o *Outcome) float64 { return o.EvennessFrom(0).HashingHerdRatio }},
	{"moved", func(o *Outcome) float64 { return float64(o.Counts["moved"]) }},
	{"refused", func(o *Outcome) float64 { return float64(o.Counts["refused"]) }},
	{"attempts", func(o *Outcome) float64 { return float64(o.Counts["attempt"]) }},
	{"99% wait, ms", func(o *Outcome) float64 { return o.Waits.P99 }},
	{"probes a second", func(o *Outcome) float64 { return o.Rates.HealthChecks }},
	{"handshakes a second", func(o *Outcome) float64 { return o.Rates.Handshakes }},
	{"datagrams a second", func(o *Outcome) float64 { return o.Rates.Datagrams }},
	{"a relay's core, %", func(o *Outcome) float64 { return 100 * o.Usage.CPUMedian }},
	{"a relay's memory, MB", func(o *Outcome) float64 { return float64(o.Usage.MemoryMedian) / bytesPerMB }},
	{"rules broken", func(o *Outcome) float64 { return float64(len(o.Violations)) }},
}

// WriteComparison writes medians and ranges of the figures by program. All outcomes are of runs on processes and of one
// script. Errors of out are ignored.
func WriteComparison(out io.Writer, outcomes []Outcome) {
	programs, byProgram := groupByProgram(outcomes)
	fmt.Fprintf(out, "%s, medians (least to most) of %d seeds\n", outcomes[0].Script, len(outcomes)/len(programs))
	for i, program := range programs {
		fmt.Fprintf(out, "  %c = %s\n", 'A'+i, program)
	}
	for _, figure := range comparedFigures {
		fmt.Fprintf(out, "%-22s", figure.name)
		for _, program := range programs {
			var values []float64
			for _, o := range byProgram[program] {
				values = append(values, figure.value(o))
			}
			slices.Sort(values)
			fmt.Fprintf(out, "  %9.3f (%.3f to %.3f)", values[len(values)/2], values[0], values[len(values)-1])
		}
		fmt.Fprintln(out)
	}
}

// groupByProgram returns the programs in the order of their first outcomes, and the outcomes of each.
func groupByProgram(outcomes []Outcome) (programs []string, byProgram map[string][]*Outcome) {
	byProgram = map[string][]*Outcome{}
	for i := range outcomes {
		o := &outcomes[i]
		if byProgram[o.Program] == nil {
			programs = append(programs, o.Program)
		}
		byProgram[o.Program] = append(byProgram[o.Program], o)
	}
	return programs, byProgram
}
