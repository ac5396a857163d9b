// Command aspenlab runs the project's test systems: seeded worlds on a virtual
// clock, rehearsals of bad days, experiments that compare policies, and a small
// demonstration on loopback addresses. A relay in service does not need it.
//
// It exits with 1 when a command fails or a run breaks a rule.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func main() {
	debug.SetGCPercent(800) // many short runs with a few megabytes each: collecting often costs a third of the time
	root := &cobra.Command{Use: "aspenlab", Short: "Rehearsals and experiments for aspenbarrow", SilenceUsage: true,
		SilenceErrors: true}
	root.AddCommand(seedsCommand(), tryCommand(), rehearseCommand(), experimentCommand(), checkScriptsCommand(), reportCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "aspenlab:", err)
		os.Exit(1)
	}
}
