package loadstats

import (
	"math/rand/v2"
	"time"
)

// recordConnections records n connections at backends of 2 cores each, all open from the first tenth of a second to the
// end of the run.
func recordConnections(n, backends int, backendOf func(i int) int) *Recorder {
	r := &Recorder{}
	for b := range backends {
		r.BackendUp(0, b, 2)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		r.ConnectionOpened(uint64(i), Connection{Key: rng.Uint64(), Backend: backendOf(i), Load: 0.01, Opened: time.Duration(i) * time.Millisecond / 10})
	}
	return r
}
