// Package batch runs simulations (package simulation) for many seeds on several workers and summarizes them:
// violations, how often each kind of fault and each pair of overlapping faults occurred, and how one batch differs
// from an earlier one. It injects nothing and checks nothing by itself.
//
// The results of a batch are the same for any number of workers; only Batch.Elapsed differs.
package batch

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/simulation"
)

const (
	// defaultRunLength is the virtual duration of a run whose options set none.
	defaultRunLength = time.Minute
	// reportedViolations is the maximum number of violations per seed in a report.
	reportedViolations = 3
)

// Batch is the result of running consecutive seeds. The JSON keys are those of stored batches.
type Batch struct {
	FirstSeed   uint64         `json:"from"`
	SeedCount   int            `json:"count"`     // number of consecutive seeds
	RunLength   time.Duration  `json:"length_ns"` // virtual duration of each run
	FailedSeeds int            `json:"failing"`   // seeds with violations
	Counts      map[string]int `json:"counts"`    // occurrences of faults and other events, by name, over all seeds
	FaultPairs  map[string]int `json:"pairs"`     // how often two kinds of fault overlapped
	Results     []SeedResult   `json:"seeds"`     // by seed
	Elapsed     time.Duration  `json:"-"`         // by the wall clock
}

// SeedResult is the result of one seed, without the counts that the batch sums up.
type SeedResult struct {
	Seed         uint64                 `json:"seed"`
	ServedWeight float64                `json:"worth"`            // simulation.Result.ServedWeight
	Answers      int                    `json:"answers"`          // final ones
	Rejected     int                    `json:"refused"`          // answers BUSY
	Failed       int                    `json:"failed"`           // answers ERR
	Attempts     int                    `json:"attempts"`         // at backends
	Events       int                    `json:"steps"`            // events of the run
	Violations   []string               `json:"broken,omitempty"` // of rules
	Classes      map[string]ClassResult `json:"classes"`          // by name
}

// ClassResult counts the requests of one class.
type ClassResult struct {
	Requests int `json:"Asked"`
	Served   int `json:"Served"`
	OnTime   int `json:"OnTime"`   // served within the latency objective
	Attempts int `json:"Attempts"` // at backends
}

// classNames are the request classes of every run.
var classNames = []string{"watch", "fetch", "submit"}

// Run runs count consecutive seeds, starting with firstSeed, with the given options except for their seed. progress, if
// not nil, is called after each run, by one worker at a time.
func Run(firstSeed uint64, count, workers int, options simulation.Options, progress func(done int, result SeedResult)) Batch {
	started := time.Now()
	if options.Duration == 0 {
		options.Duration = defaultRunLength
	}
	b := Batch{FirstSeed: firstSeed, SeedCount: count, RunLength: options.Duration, Counts: map[string]int{}, FaultPairs: map[string]int{},
		Results: make([]SeedResult, count)}
	var next atomic.Int64
	var mu sync.Mutex // guards b and done
	var wg sync.WaitGroup
	done := 0
	for range max(1, workers) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				seedOptions := options
				seedOptions.Seed = firstSeed + uint64(i)
				result := simulation.Run(seedOptions)
				mu.Lock()
				b.add(int(i), &result)
				done++
				if progress != nil {
					progress(done, b.Results[i])
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.Elapsed = time.Since(started)
	return b
}

// add adds the result of the i-th seed to the batch.
func (b *Batch) add(i int, result *simulation.Result) {
	b.Results[i] = seedResult(result)
	addCounts(b.Counts, result.Counts)
	addCounts(b.FaultPairs, result.FaultPairs)
	if len(result.Violations) > 0 {
		b.FailedSeeds++
	}
}

func addCounts(to, from map[string]int) {
	for name, n := range from {
		to[name] += n
	}
}

func seedResult(result *simulation.Result) SeedResult {
	s := SeedResult{Seed: result.Seed, ServedWeight: result.ServedWeight, Answers: result.Answered, Rejected: result.Refused,
		Failed: result.Failed, Attempts: result.Attempts, Events: result.Events, Classes: map[string]ClassResult{}}
	for _, class := range classNames {
		s.Classes[class] = ClassResult{
			Requests: result.Counts["request "+class],
			Served:   result.Counts["served "+class],
			OnTime:   result.Counts["on time "+class],
			Attempts: result.Counts["attempt "+class],
		}
	}
	for _, violation := range result.Violations {
		s.Violations = append(s.Violations, violation.String())
	}
	return s
}

// expectedCounts are the counts that are above 0 in any batch that is large enough, besides those of all kinds of faults.
var expectedCounts = []string{"answer UP", "answer BUSY", "answer ERR", "answer BYE", "moved", "repeated attempt",
	"drain met an attempt in flight", "sent to a cold backend", "datagram lost", "relay left", "reload", "bad client"}

// MissingCoverage returns the kinds of faults and the expected counts that never occurred in the batch.
func (b *Batch) MissingCoverage() []string {
	var missing []string
	for _, kind := range simulation.FaultKinds() {
		if b.Counts["fault "+kind] == 0 {
			missing = append(missing, "fault "+kind)
		}
	}
	for _, name := range expectedCounts {
		if b.Counts[name] == 0 {
			missing = append(missing, name)
		}
	}
	return missing
}

// WriteReport writes all counts and the first violations of each seed as text. Write errors are ignored.
func (b *Batch) WriteReport(out io.Writer) {
	kinds := len(simulation.FaultKinds())
	pairs := kinds * (kinds + 1) / 2 // a kind may also overlap itself
	fmt.Fprintf(out, "pairs of faults that overlapped: %d of %d\n", len(b.FaultPairs), pairs)
	for _, name := range slices.Sorted(maps.Keys(b.Counts)) {
		fmt.Fprintf(out, "%10d  %s\n", b.Counts[name], name)
	}
	for _, result := range b.Results {
		for _, violation := range result.Violations[:min(reportedViolations, len(result.Violations))] {
			fmt.Fprintf(out, "seed %d: %s\n", result.Seed, violation)
		}
	}
}

// Summary returns the totals of the batch in one line.
func (b *Batch) Summary() string {
	answers, steps := 0, 0
	for _, result := range b.Results {
		answers += result.Answers
		steps += result.Events
	}
	return fmt.Sprintf("%d seeds, %d failed, %d answers, %d million steps, %.1f s, %.0f seeds a second",
		b.SeedCount, b.FailedSeeds, answers, steps/1e6, b.Elapsed.Seconds(), float64(b.SeedCount)/b.Elapsed.Seconds())
}

// WriteFile writes the batch to a file as JSON, for ReadFile and Compare.
func (b *Batch) WriteFile(path string) error {
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadFile reads a file that WriteFile wrote.
func ReadFile(path string) (b Batch, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &b)
	}
	if err != nil {
		return b, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// FormatScript returns a script of faults as text, one fault per line.
func FormatScript(script []simulation.Fault) string {
	var text strings.Builder
	for _, f := range script {
		fmt.Fprintf(&text, "%9.3f s for %7.3f s  %-24s who %2d  much %.2f\n", f.Start.Seconds(), f.Duration.Seconds(), f.Kind, f.Target, f.Severity)
	}
	return text.String()
}
