package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/report"
	"aspenbarrow/internal/scenario"
)

// reportCommand writes the outcomes that "aspenlab scenario --json" printed as a page with plots.
func reportCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "report RUNS.json...", Short: "Write the outcomes of scenarios as one HTML page with plots, as JSON and as CSV", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			var all []scenario.Outcome
			for _, p := range paths {
				outcomes, err := report.Read(p)
				if err != nil {
					return err
				}
				all = append(all, outcomes...)
			}
			if err := report.Write(dir, all); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d runs in %s/report.html\n", len(all), dir)
			return nil
		}}
	c.Flags().StringVar(&dir, "out", "report", "folder for report.html, report.json and report.csv")
	return c
}
