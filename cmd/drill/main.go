// Command drill is simadapter under its former name.
//
// Deprecated: deploy files name simadapter now. This command goes with the next release.
package main

import (
	"os"

	"aspenbarrow/internal/simadapter"
)

func main() { os.Exit(simadapter.Main("drill", os.Stdin, os.Stdout, os.Stderr)) }
