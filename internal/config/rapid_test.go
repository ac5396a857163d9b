package config

import "flag"

// Property tests draw the same cases in every run, so that CI is reproducible; -rapid.seed=N draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
