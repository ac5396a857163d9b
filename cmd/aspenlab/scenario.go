package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/report"
	"aspenbarrow/internal/scenario"
	"aspenbarrow/internal/testcluster"
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
			var errs []error
			for _, p := range paths {
				if _, err := readScript(p); err != nil {
					errs = append(errs, err)
				}
			}
			return errors.Join(errs...)
		}}
}

// scenarioFlags are the flags of "aspenlab scenario".
type scenarioFlags struct {
	seed      uint64
	seeds     int
	asJSON    bool
	processes bool
	program   string // the relay's; empty: built from this source
	against   string // another program, played by turns with the first
	outDir    string // of the report; empty: none
}

func scenarioCommand() *cobra.Command {
	f := &scenarioFlags{}
	c := &cobra.Command{Use: "scenario SCRIPT", Aliases: []string{"rehearse"}, Short: "Play a bad day on the virtual clock, or on real processes, and measure the service, second by second",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			s, err := readScript(args[0])
			if err != nil {
				return err
			}
			if errs := s.CheckPlayable(args[0], f.processes); errs != nil {
				return errors.Join(errs...)
			}
			if f.processes {
				return f.onProcesses(c, s)
			}
			if f.program != "" || f.against != "" || f.seeds != 1 || f.outDir != "" {
				return errors.New("--relay, --against, --seeds and --out go with --real")
			}
			o := scenario.Play(s, f.seed)
			return writeOutcomes(c, []scenario.Outcome{o}, s, f.asJSON)
		}}
	c.Flags().Uint64Var(&f.seed, "seed", 0, "another seed than the script's")
	c.Flags().BoolVar(&f.asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&f.processes, "real", false, "on processes of the relay's program, in real time")
	c.Flags().StringVar(&f.program, "relay", "", "the relay's program; none: it is built from this source")
	c.Flags().StringVar(&f.against, "against", "", "another program, played by turns with the first on the same seeds")
	c.Flags().IntVar(&f.seeds, "seeds", 1, "how many seeds, from the first on")
	c.Flags().StringVar(&f.outDir, "out", "", "a folder for report.html, report.json and report.csv")
	return c
}

// onProcesses plays the script on processes of one program or of two by turns, until it is done or interrupted. What
// was played by then is written to the folder of --out also when a run failed.
func (f *scenarioFlags) onProcesses(c *cobra.Command, s scenario.Script) error {
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
		if program, err = testcluster.Build(ctx, dir); err != nil {
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
	if f.outDir != "" {
		if e := report.Write(f.outDir, outcomes); e != nil {
			err = errors.Join(err, e)
		}
	}
	if err != nil {
		return err
	}
	return writeOutcomes(c, outcomes, s, f.asJSON)
}

// writeOutcomes prints outcomes. It returns an error if one has a violation.
func writeOutcomes(c *cobra.Command, outcomes []scenario.Outcome, s scenario.Script, asJSON bool) (err error) {
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
