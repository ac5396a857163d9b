package simulation

import (
	"os"
	"strconv"
	"testing"
)

// TestRun_WriteTrace writes the trace of the seed in the environment variable SEED to the file in TRACE. It is a tool
// for debugging, and skipped without SEED.
func TestRun_WriteTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("SEED is not set to a number")
	}
	f, err := os.Create(os.Getenv("TRACE"))
	if err != nil {
		t.Fatal(err)
	}
	res := Run(Options{Seed: seed, Trace: f})
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	for _, v := range res.Violations {
		t.Log(v)
	}
}
