// Command simadapter connects package balance to a simulator: batches of events on standard input, one reply
// each on standard output, as package simwire describes. It exits with 0 at the end of its input and with 1 on
// the first frame that it cannot decode or answer.
package main

import (
	"os"

	"aspenbarrow/internal/simadapter"
)

func main() { os.Exit(simadapter.Main("simadapter", os.Stdin, os.Stdout, os.Stderr)) }
