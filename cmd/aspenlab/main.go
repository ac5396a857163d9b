// Command aspenlab runs the project's test systems: the deterministic simulation,
// scenarios with faults, experiments that compare policies, and a small
// demonstration on loopback addresses. A relay in production does not need it.
//
// It exits with 1 when a command fails or a run violates an invariant.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// gcPercent lets the heap grow to nine times the live data between garbage collections: at the default of 100, many short
// runs with a few megabytes each spend a third of their time in collections.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := rootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "aspenlab:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "aspenlab", Short: "Simulations, scenarios and experiments for aspenbarrow", SilenceUsage: true,
		SilenceErrors: true}
	root.AddCommand(seedsCommand(), demoCommand(), scenarioCommand(), experimentCommand(), checkScriptsCommand(), reportCommand())
	return root
}
