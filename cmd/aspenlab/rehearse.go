package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/baseline"
	"aspenbarrow/internal/fleet"
	"aspenbarrow/internal/report"
	"aspenbarrow/internal/scenario"
)

func readScript(path string) (scenario.Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return scenario.Script{}, err
	}
	return scenario.Parse(path, text)
}

func checkScriptsCommand() *cobra.Command {
	return &cobra.Command{Use: "check SCRIPT...", Short: "Say all that is wrong with rehearsals' scripts", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			var faults []error
			for _, p := range paths {
				if _, err := readScript(p); err != nil {
					faults = append(faults, err)
				}
			}
			return errors.Join(faults...)
		}}
}

// rehearseFlags are the flags of "aspenlab rehearse".
type rehearseFlags struct {
	seed                   uint64
	seeds                  int
	asJSON, processes      bool
	program, against, keep string
}

func rehearseCommand() *cobra.Command {
	f := &rehearseFlags{}
	c := &cobra.Command{Use: "rehearse SCRIPT", Short: "Play a bad day on the virtual clock, or on real processes, and measure the service, second by second",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := readScript(args[0])
			if err != nil {
				return err
			}
			if faults := s.CheckPlayable(args[0], f.processes); faults != nil {
				return errors.Join(faults...)
			}
			if f.processes {
				return f.onProcesses(c, s)
			}
			if f.program != "" || f.against != "" || f.seeds != 1 || f.keep != "" {
				return errors.New("--relay, --against, --seeds and --out go with --real")
			}
			o := scenario.Play(s, f.seed)
			return told(c, []scenario.Outcome{o}, s, f.asJSON)
		}}
	c.Flags().Uint64Var(&f.seed, "seed", 0, "another seed than the script's")
	c.Flags().BoolVar(&f.asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&f.processes, "real", false, "on processes of the relay's program, in real time")
	c.Flags().StringVar(&f.program, "relay", "", "the relay's program; none: it is built from this source")
	c.Flags().StringVar(&f.against, "against", "", "another program, played by turns with the first on the same seeds")
	c.Flags().IntVar(&f.seeds, "seeds", 1, "how many seeds, from the first on")
	c.Flags().StringVar(&f.keep, "out", "", "a folder for report.html, report.json and report.csv")
	return c
}

// onProcesses plays the script on processes of one program or of two by turns, until it is done or interrupted. What
// was played by then is written to the folder of --out also when a run failed.
func (f *rehearseFlags) onProcesses(c *cobra.Command, s scenario.Script) error {
	if f.seeds < 1 {
		return errors.New("--seeds is 1 at least")
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := f.program
	if program == "" {
		dir, err := os.MkdirTemp("", "aspenlab")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // in the system's folder for temporary files
		if program, err = fleet.Build(ctx, dir); err != nil {
			return err
		}
	}
	programs := []string{program}
	if f.against != "" {
		programs = append(programs, f.against)
	}
	seed := f.seed
	if seed == 0 {
		seed = s.Seed
	}
	outcomes, err := scenario.Alternate(ctx, s, programs, seed, f.seeds, func(o scenario.Outcome) {
		fmt.Fprintln(c.ErrOrStderr(), o.Summary())
	})
	if f.keep != "" {
		if e := report.Write(f.keep, outcomes); e != nil {
			err = errors.Join(err, e)
		}
	}
	if err != nil {
		return err
	}
	return told(c, outcomes, s, f.asJSON)
}

// told prints outcomes and fails where a rule was broken.
func told(c *cobra.Command, outcomes []scenario.Outcome, s scenario.Script, asJSON bool) (err error) {
	out := c.OutOrStdout()
	switch {
	case asJSON && len(outcomes) == 1:
		e := json.NewEncoder(out)
		e.SetIndent("", " ")
		err = e.Encode(outcomes[0])
	case asJSON:
		e := json.NewEncoder(out)
		e.SetIndent("", " ")
		err = e.Encode(outcomes)
	case len(outcomes) == 1:
		outcomes[0].WriteReport(out, s)
	default:
		scenario.WriteComparison(out, outcomes)
	}
	for i := range outcomes {
		if b := outcomes[i].Violations; err == nil && len(b) > 0 {
			err = fmt.Errorf("%w: %s", errFailed, b[0])
		}
	}
	return err
}

func experimentCommand() *cobra.Command {
	e := scenario.Experiment{}
	var asJSON bool
	c := &cobra.Command{Use: "experiment SCRIPT...", Short: "Set policies against one another on scripts, paired seed by seed",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, paths []string) error {
			if e.Seeds < 2 || e.Workers < 1 || len(e.Policies) < 1 {
				return errors.New("--seeds is 2 at least, --workers and --policies 1")
			}
			for i, p := range e.Policies {
				switch {
				case p == "module":
					e.Policies[i] = ""
				case !slices.Contains(baseline.Names(), p):
					return fmt.Errorf("there is no policy %q; module, %s", p, strings.Join(baseline.Names(), ", "))
				}
			}
			for _, p := range paths {
				s, err := readScript(p)
				if err != nil {
					return err
				}
				e.Scripts = append(e.Scripts, s)
			}
			cells := e.Run(nil)
			if asJSON {
				enc := json.NewEncoder(c.OutOrStdout())
				enc.SetIndent("", " ")
				return enc.Encode(cells)
			}
			scenario.WriteTable(c.OutOrStdout(), cells)
			return nil
		}}
	c.Flags().IntVar(&e.Seeds, "seeds", 20, "how many seeds of each")
	c.Flags().IntVar(&e.Workers, "workers", runtime.GOMAXPROCS(0), "how many at once")
	c.Flags().StringSliceVar(&e.Policies, "policies", append([]string{"module"}, baseline.Names()...), "what is compared; the others with the first")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
