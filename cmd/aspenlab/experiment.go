package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/baseline"
	"aspenbarrow/internal/scenario"
)

// ownPolicy is the name of package balance in the flag --policies.
const ownPolicy = "module"

func experimentCommand() *cobra.Command {
	e := scenario.Experiment{}
	var asJSON bool
	c := &cobra.Command{Use: "experiment SCRIPT...", Short: "Compare policies on scenario scripts, paired by seed",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, paths []string) error {
			if e.Seeds < 2 || e.Workers < 1 || len(e.Policies) < 1 {
				return fmt.Errorf("--seeds is %d, --workers %d and --policies has %d names, expected at least 2, 1 and 1", e.Seeds, e.Workers, len(e.Policies))
			}
			for i, p := range e.Policies {
				switch {
				case p == ownPolicy:
					e.Policies[i] = ""
				case !slices.Contains(baseline.Names(), p):
					return fmt.Errorf("unknown policy %q, expected %s or one of %s", p, ownPolicy, strings.Join(baseline.Names(), ", "))
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
	c.Flags().IntVar(&e.Seeds, "seeds", 20, "number of seeds for each script and policy")
	c.Flags().IntVar(&e.Workers, "workers", runtime.GOMAXPROCS(0), "number of runs at once")
	c.Flags().StringSliceVar(&e.Policies, "policies", append([]string{ownPolicy}, baseline.Names()...), "the policies; the first is compared with each of the others")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
