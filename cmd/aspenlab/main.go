// Command aspenlab runs the project's test systems: seeded worlds on a virtual
// clock, scenarios of faults, experiments that compare policies, and a small
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

// gcPercent lets the heap grow ninefold between collections: many short runs with a few megabytes each spend a third
// of their time collecting at the default.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := rootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "aspenlab:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "aspenlab", Short: "Rehearsals and experiments for aspenbarrow", SilenceUsage: true,
		SilenceErrors: true}
	root.AddCommand(seedsCommand(), demoCommand(), scenarioCommand(), experimentCommand(), checkScriptsCommand(), reportCommand())
	return root
}
