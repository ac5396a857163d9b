package simulation

import "flag"

// Property tests draw the same cases each time, so that CI's verdict is the same; -rapid.seed=N draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
