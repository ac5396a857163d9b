package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"aspenbarrow/balance"
	"aspenbarrow/internal/config"
	"aspenbarrow/internal/simulation"
	"aspenbarrow/internal/simulation/batch"
)

// seedsFlags are the flags of "aspenlab seeds", and the options of a run that options derives from them.
type seedsFlags struct {
	from            uint64
	count, workers  int
	length          time.Duration
	json, compare   string
	replay          int64
	trace, shrink   bool
	quiet, complete bool
	script          string
	timing          string
	opt             simulation.Options
}

// errFailed is the error of a command whose runs had violations.
var errFailed = errors.New("a run violates an invariant")

// seedsCommand runs the simulation with many seeds. It fails if a run violates an invariant and, with --complete, if a kind
// of fault or an expected count never occurred.
func seedsCommand() *cobra.Command {
	f := &seedsFlags{}
	c := &cobra.Command{Use: "seeds", Short: "Run the deterministic simulation of relays, one run for each seed, and check every invariant",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if f.count < 1 || f.workers < 1 || f.length < time.Second {
				return fmt.Errorf("--count is %d, --workers %d and --length %v, expected at least 1, 1 and %v", f.count, f.workers, f.length, time.Second)
			}
			if err := f.options(); err != nil {
				return err
			}
			if f.replay >= 0 {
				return f.replaySeed(c.OutOrStdout())
			}
			return f.runBatch(c.OutOrStdout(), c.ErrOrStderr())
		}}
	c.Flags().Uint64Var(&f.from, "from", 0, "the first seed")
	c.Flags().IntVar(&f.count, "count", 100, "number of seeds")
	c.Flags().IntVar(&f.workers, "workers", runtime.GOMAXPROCS(0), "number of runs at once")
	c.Flags().DurationVar(&f.length, "length", time.Minute, "virtual time of a run")
	c.Flags().StringVar(&f.json, "json", "", "write the batch to this file")
	c.Flags().StringVar(&f.compare, "compare", "", "compare the batch with the one in this file, which --json wrote")
	c.Flags().Int64Var(&f.replay, "replay", -1, "run only this seed")
	c.Flags().BoolVar(&f.trace, "trace", false, "with --replay: print the run step by step")
	c.Flags().BoolVar(&f.shrink, "shrink", false, "with --replay: reduce the faults to those with which the run still fails")
	c.Flags().StringVar(&f.script, "script", "", "JSON file with a list of faults {kind, at_ns, for_ns, who, much}, in place of each seed's own")
	c.Flags().StringVar(&f.timing, "timing", "", "TOML file whose classes watch, fetch and submit set the retry policies of the simulated ones")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "leave out the progress and the counts of the batch")
	c.Flags().BoolVar(&f.complete, "complete", false, "fail if a kind of fault or an expected count never occurred")
	return c
}

// timedClasses are the classes of a --timing file whose retry policies those of the simulation get, in the simulation's order.
var timedClasses = []string{"watch", "fetch", "submit"}

// options sets the options that all runs share, and reads the files of --script and --timing for them.
func (f *seedsFlags) options() (err error) {
	f.opt = simulation.Options{Duration: f.length}
	if f.script != "" {
		if f.opt.Script, err = readFaults(f.script); err != nil {
			return err
		}
	}
	if f.timing != "" {
		f.opt.RetryPolicies, err = readRetryPolicies(f.timing)
	}
	return err
}

// readFaults reads a JSON file with a list of faults.
func readFaults(path string) (faults []simulation.Fault, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&faults); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i := range faults {
		if !slices.Contains(simulation.FaultKinds(), faults[i].Kind) {
			return nil, fmt.Errorf("%s: unknown fault kind %q, expected one of %q", path, faults[i].Kind, simulation.FaultKinds())
		}
	}
	return faults, nil
}

// readRetryPolicies reads the retry policies of timedClasses from a configuration.
func readRetryPolicies(path string) (policies []balance.RetryPolicy, err error) {
	cfg, err := config.Load(path, func(string) string { return "" }, false)
	if err != nil {
		return nil, err
	}
	for _, class := range timedClasses {
		request, err := cfg.RoutingRequest(config.RequestDescription{Class: class, Protocol: "line"})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		var policy balance.RetryPolicy
		if route := cfg.Relay.Routes.Lookup(request); route != nil {
			policy = route.RetryPolicy
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

// replaySeed runs one seed, or shrinks its faults.
func (f *seedsFlags) replaySeed(out io.Writer) (err error) {
	opt := f.opt
	opt.Seed = uint64(f.replay)
	if f.shrink {
		return shrinkSeed(out, opt)
	}
	if f.trace {
		w := bufio.NewWriter(out)
		defer func() {
			if flushErr := w.Flush(); err == nil {
				err = flushErr
			}
		}()
		opt.Trace = w
	}
	result := simulation.Run(opt)
	if !f.trace {
		fmt.Fprintf(out, "seed %d: %d relays, %d backends, %d clients\n%s", result.Seed, result.Relays, result.Backends, result.Clients,
			batch.FormatScript(result.Faults))
	}
	for _, violation := range result.Violations {
		fmt.Fprintln(out, violation)
	}
	if len(result.Violations) > 0 {
		return errFailed
	}
	return nil
}

// shrinkSeed reduces a seed's faults to those with which it still fails.
func shrinkSeed(out io.Writer, opt simulation.Options) error {
	script, rule := simulation.Shrink(opt, func(s []simulation.Fault) { fmt.Fprintf(out, "still fails with %d faults\n", len(s)) })
	if rule == "" {
		fmt.Fprintf(out, "seed %d breaks no rule\n", opt.Seed)
		return nil
	}
	fmt.Fprintf(out, "seed %d breaks %s with\n%s", opt.Seed, rule, batch.FormatScript(script))
	return errFailed
}

// runBatch runs many seeds and reports on them.
func (f *seedsFlags) runBatch(out, progressOut io.Writer) error {
	b := batch.Run(f.from, f.count, f.workers, f.opt, f.progress(progressOut))
	if f.quiet {
		writeViolations(out, &b)
	} else {
		b.WriteReport(out)
	}
	if f.json != "" {
		if err := b.WriteFile(f.json); err != nil {
			return err
		}
	}
	if f.compare != "" {
		if err := writeDifferences(out, f.compare, b); err != nil {
			return err
		}
	}
	missing := b.MissingCoverage()
	for _, name := range missing {
		fmt.Fprintln(out, "never came up:", name)
	}
	fmt.Fprintln(out, b.Summary())
	switch {
	case b.FailedSeeds > 0:
		return errFailed
	case f.complete && len(missing) > 0:
		return fmt.Errorf("%d kinds of fault or expected counts never occurred", len(missing))
	}
	return nil
}

// progressInterval is the number of seeds between two progress reports.
const progressInterval = 50

// progress returns a function that shows the progress, or nil if standard error is not a terminal or --quiet is set.
func (f *seedsFlags) progress(out io.Writer) func(done int, result batch.SeedResult) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 || f.quiet {
		return nil
	}
	return func(done int, result batch.SeedResult) {
		if done%progressInterval == 0 || len(result.Violations) > 0 {
			fmt.Fprintf(out, "\r%d of %d", done, f.count)
		}
		if done == f.count {
			fmt.Fprintln(out)
		}
	}
}

// writeViolations writes all violations of a batch.
func writeViolations(out io.Writer, b *batch.Batch) {
	for _, result := range b.Results {
		for _, violation := range result.Violations {
			fmt.Fprintf(out, "seed %d: %s\n", result.Seed, violation)
		}
	}
}

// writeDifferences compares a batch with a stored one.
func writeDifferences(out io.Writer, path string, b batch.Batch) error {
	before, err := batch.ReadFile(path)
	if err != nil {
		return err
	}
	differences, err := batch.Compare(before, b)
	if err != nil {
		return err
	}
	for _, d := range differences {
		fmt.Fprintln(out, d)
	}
	return nil
}
