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
	return &cobra.Command{Use: "check SCRIPT...", Short: "Report all errors in scenario scripts", Args: cobra.MinimumNArgs(1),
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
	program   string // path of the relay's program; empty: built from this source
	against   string // path of a second program, whose runs alternate with those of the first
	outDir    string // folder of the report; empty: no report
}

func scenarioCommand() *cobra.Command {
	f := &scenarioFlags{}
	c := &cobra.Command{Use: "scenario SCRIPT", Aliases: []string{"rehearse"}, Short: "Play a scenario with faults on the virtual clock or on real processes, and measure the service of each second",
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
				return errors.New("--relay, --against, --seeds and --out need --real")
			}
			o := scenario.Play(s, f.seed)
			return writeOutcomes(c, []scenario.Outcome{o}, s, f.asJSON)
		}}
	c.Flags().Uint64Var(&f.seed, "seed", 0, "seed; 0: the script's")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	c.Flags().BoolVar(&f.processes, "real", false, "play on processes of the relay's program, in real time")
	c.Flags().StringVar(&f.program, "relay", "", "the relay's program; empty: built from this source")
	c.Flags().StringVar(&f.against, "against", "", "a second program, whose runs on the same seeds alternate with those of the first")
	c.Flags().IntVar(&f.seeds, "seeds", 1, "number of consecutive seeds, from the first one")
	c.Flags().StringVar(&f.outDir, "out", "", "folder for report.html, report.json and report.csv")
	return c
}

// onProcesses plays the script on processes of one program, or of two in alternation, until it ends or is interrupted. It
// writes the outcomes up to then to the folder of --out, even if a run failed.
func (f *scenarioFlags) onProcesses(c *cobra.Command, s scenario.Script) error {
	if f.seeds < 1 {
		return fmt.Errorf("--seeds is %d, expected at least 1", f.seeds)
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := f.program
	if program == "" {
		dir, err := os.MkdirTemp("", "aspenlab")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // on an error, a leftover in the system's temporary folder
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
		if writeErr := report.Write(f.outDir, outcomes); writeErr != nil {
			err = errors.Join(err, writeErr)
		}
	}
	if err != nil {
		return err
	}
	return writeOutcomes(c, outcomes, s, f.asJSON)
}

// writeOutcomes prints outcomes. It returns an error if one of them has a violation.
func writeOutcomes(c *cobra.Command, outcomes []scenario.Outcome, s scenario.Script, asJSON bool) (err error) {
	out := c.OutOrStdout()
	switch {
	case asJSON && len(outcomes) == 1:
		enc := json.NewEncoder(out)
		enc.SetIndent("", " ")
		err = enc.Encode(outcomes[0])
	case asJSON:
		enc := json.NewEncoder(out)
		enc.SetIndent("", " ")
		err = enc.Encode(outcomes)
	case len(outcomes) == 1:
		outcomes[0].WriteReport(out, s)
	default:
		scenario.WriteComparison(out, outcomes)
	}
	for i := range outcomes {
		if violations := outcomes[i].Violations; err == nil && len(violations) > 0 {
			err = fmt.Errorf("%w: %s", errFailed, violations[0])
		}
	}
	return err
}
