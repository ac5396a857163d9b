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

// seedsFlags are the flags of "aspenlab seeds", and the options of a run that follow from them.
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
var errFailed = errors.New("a rule is broken")

// seedsCommand plays seeds. It fails when a rule is broken and, with --complete, when a kind of fault never came up.
func seedsCommand() *cobra.Command {
	f := &seedsFlags{}
	c := &cobra.Command{Use: "seeds", Short: "Play the relay on a virtual clock, a world from each seed, and hold every rule",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if f.count < 1 || f.workers < 1 || f.length < time.Second {
				return fmt.Errorf("--count and --workers are 1 at least, --length a second")
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
	c.Flags().IntVar(&f.count, "count", 100, "how many seeds")
	c.Flags().IntVar(&f.workers, "workers", runtime.GOMAXPROCS(0), "how many at once")
	c.Flags().DurationVar(&f.length, "length", time.Minute, "virtual time of a run")
	c.Flags().StringVar(&f.json, "json", "", "keep the batch in this file")
	c.Flags().StringVar(&f.compare, "compare", "", "set the batch against one that was kept")
	c.Flags().Int64Var(&f.replay, "replay", -1, "play this one seed again")
	c.Flags().BoolVar(&f.trace, "trace", false, "with --replay: print the run step by step")
	c.Flags().BoolVar(&f.shrink, "shrink", false, "with --replay: cut the script of faults down to what still fails")
	c.Flags().StringVar(&f.script, "script", "", "faults instead of each seed's own: a JSON file: a list of {kind, at_ns, for_ns, who, much}")
	c.Flags().StringVar(&f.timing, "timing", "", "a TOML file whose classes watch, fetch and submit give those of the world their timing")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "only the closing line and what failed")
	c.Flags().BoolVar(&f.complete, "complete", false, "fail if a kind of trouble never came up")
	return c
}

// timedClasses are the classes of a --timing file that give those of the simulation their timing, in their order.
var timedClasses = []string{"watch", "fetch", "submit"}

// options reads the files that the runs have in common.
func (f *seedsFlags) options() (err error) {
	f.opt = simulation.Options{Duration: f.length}
	if f.script != "" {
		if f.opt.Script, err = readFaults(f.script); err != nil {
			return err
		}
	}
	if f.timing != "" {
		f.opt.RetryPolicies, err = readTimings(f.timing)
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
			return nil, fmt.Errorf("%s: there is no fault %q", path, faults[i].Kind)
		}
	}
	return faults, nil
}

// readTimings reads the retry policies of timedClasses from a configuration.
func readTimings(path string) (timings []balance.RetryPolicy, err error) {
	cfg, err := config.Load(path, func(string) string { return "" }, false)
	if err != nil {
		return nil, err
	}
	for _, class := range timedClasses {
		request, err := cfg.RoutingRequest(config.RequestDescription{Class: class, Protocol: "line"})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		var timing balance.RetryPolicy
		if route := cfg.Relay.Routes.Lookup(request); route != nil {
			timing = route.RetryPolicy
		}
		timings = append(timings, timing)
	}
	return timings, nil
}

// replaySeed plays one seed again, or shrinks its faults.
func (f *seedsFlags) replaySeed(out io.Writer) (err error) {
	opt := f.opt
	opt.Seed = uint64(f.replay)
	if f.shrink {
		return shrinkSeed(out, opt)
	}
	if f.trace {
		w := bufio.NewWriter(out)
		defer func() {
			if flushed := w.Flush(); err == nil {
				err = flushed
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

// shrinkSeed cuts a seed's faults down to those with which it still fails.
func shrinkSeed(out io.Writer, opt simulation.Options) error {
	script, rule := simulation.Shrink(opt, func(s []simulation.Fault) { fmt.Fprintf(out, "still fails with %d faults\n", len(s)) })
	if rule == "" {
		fmt.Fprintf(out, "seed %d breaks no rule\n", opt.Seed)
		return nil
	}
	fmt.Fprintf(out, "seed %d breaks %s with\n%s", opt.Seed, rule, batch.FormatScript(script))
	return errFailed
}

// runBatch plays many seeds and reports on them.
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
		return fmt.Errorf("%d kinds of trouble never came up", len(missing))
	}
	return nil
}

// progressInterval is after how many seeds the progress is shown.
const progressInterval = 50

// progress returns what shows the progress, or nil if standard error is no terminal.
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
