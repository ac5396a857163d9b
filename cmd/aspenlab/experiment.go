package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/baseline"
	"aspenbarrow/internal/scenario"
)

// ownPolicy is what the flag --policies calls package balance.
const ownPolicy = "module"

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
				case p == ownPolicy:
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
	c.Flags().StringSliceVar(&e.Policies, "policies", append([]string{ownPolicy}, baseline.Names()...), "what is compared; the others with the first")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
