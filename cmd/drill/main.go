// Command drill is simadapter under its former name.
//
// Deprecated: use simadapter, which the deploy files name. The next release removes this command.
package main

import (
	"os"

	"aspenbarrow/internal/simadapter"
)

func main() { os.Exit(simadapter.Main("drill", os.Stdin, os.Stdout, os.Stderr)) }
