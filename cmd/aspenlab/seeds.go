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
	"aspenbarrow/internal/seeds"
	"aspenbarrow/internal/world"
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
	opt             world.Options
}

// errFailed is the result of a command whose runs broke a rule.
var errFailed = errors.New("a rule is broken")

// seedsCommand plays seeds. It fails when a rule is broken and, with --complete, when a kind of trouble never came up.
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
				return f.again(c.OutOrStdout())
			}
			return f.batch(c.OutOrStdout(), c.ErrOrStderr())
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

// options reads what the runs have in common.
func (f *seedsFlags) options() error {
	f.opt = world.Options{Length: f.length}
	if f.script != "" {
		text, err := os.ReadFile(f.script)
		if err != nil {
			return err
		}
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&f.opt.Script); err != nil {
			return fmt.Errorf("%s: %w", f.script, err)
		}
		for _, s := range f.opt.Script {
			if !slices.Contains(world.Kinds(), s.Kind) {
				return fmt.Errorf("%s: there is no fault %q", f.script, s.Kind)
			}
		}
	}
	if f.timing != "" {
		cfg, err := config.Load(f.timing, func(string) string { return "" }, false)
		if err != nil {
			return err
		}
		for _, name := range []string{"watch", "fetch", "submit"} {
			q, err := cfg.RoutingRequest(config.RequestDescription{Class: name, Protocol: "line"})
			if err != nil {
				return fmt.Errorf("%s: %w", f.timing, err)
			}
			var t balance.RetryPolicy
			if r := cfg.Relay.Routes.Lookup(q); r != nil {
				t = r.RetryPolicy
			}
			f.opt.Timings = append(f.opt.Timings, t)
		}
	}
	return nil
}

// again plays one seed.
func (f *seedsFlags) again(out io.Writer) (err error) {
	opt := f.opt
	opt.Seed = uint64(f.replay)
	if f.shrink {
		script, rule := world.Shrink(opt, func(s []world.Fault) { fmt.Fprintf(out, "still fails with %d faults\n", len(s)) })
		if rule == "" {
			fmt.Fprintf(out, "seed %d breaks no rule\n", opt.Seed)
			return nil
		}
		fmt.Fprintf(out, "seed %d breaks %s with\n%s", opt.Seed, rule, seeds.Script(script))
		return errFailed
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
	res := world.Run(opt)
	if !f.trace {
		fmt.Fprintf(out, "seed %d: %d relays, %d backends, %d clients\n%s", res.Seed, res.Relays, res.Backends, res.Clients,
			seeds.Script(res.Faults))
	}
	for _, b := range res.Broken {
		fmt.Fprintln(out, b)
	}
	if len(res.Broken) > 0 {
		return errFailed
	}
	return nil
}

// batch plays many.
func (f *seedsFlags) batch(out, progress io.Writer) error {
	var told func(done int, s seeds.Seed)
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && !f.quiet {
		told = func(done int, s seeds.Seed) {
			if done%50 == 0 || len(s.Broken) > 0 {
				fmt.Fprintf(progress, "\r%d of %d", done, f.count)
			}
			if done == f.count {
				fmt.Fprintln(progress)
			}
		}
	}
	b := seeds.Play(f.from, f.count, f.workers, f.opt, told)
	if !f.quiet {
		b.Report(out)
	} else {
		for _, s := range b.Seeds {
			for _, broken := range s.Broken {
				fmt.Fprintf(out, "seed %d: %s\n", s.Seed, broken)
			}
		}
	}
	if f.json != "" {
		if err := b.Write(f.json); err != nil {
			return err
		}
	}
	if f.compare != "" {
		was, err := seeds.Read(f.compare)
		if err != nil {
			return err
		}
		diffs, err := seeds.Compare(was, b)
		if err != nil {
			return err
		}
		for _, d := range diffs {
			fmt.Fprintln(out, d)
		}
	}
	missing := b.Missing()
	for _, m := range missing {
		fmt.Fprintln(out, "never came up:", m)
	}
	fmt.Fprintln(out, b.Closing())
	switch {
	case b.Failing > 0:
		return errFailed
	case f.complete && len(missing) > 0:
		return fmt.Errorf("%d kinds of trouble never came up", len(missing))
	}
	return nil
}
