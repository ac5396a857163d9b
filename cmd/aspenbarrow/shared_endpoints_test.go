package main

import (
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// drainTolerance is the grace of settingsTemplate and what sockets add to a time limit.
const drainTolerance = 300 * time.Millisecond

// Guards against review/10: discovery told one process of a hot restart that a backend drains, and the other one, whose watch
// had fallen silent, went on sending new connections there.
func TestHotRestart_DrainToldToOneProcessBindsBoth(t *testing.T) {
	draining := &fake.Backend{}
	discovery, endpoints := startBackends(t, draining, &fake.Backend{}, &fake.Backend{})
	sequence := newRestartSequence(t, processOptions{})
	sequence.options.discovery, sequence.options.knownEndpoints = discovery.Addr(), endpoints
	sequence.startNext()
	successor := sequence.startNext()
	waitFor(t, "both processes watch", func() bool { return discovery.WaitingCalls() == 2 })
	discovery.Silence(1)
	endpoints[0].State = "draining"
	discovery.SetEndpoints(endpoints...)
	waitFor(t, "one process is told", func() bool { return discovery.RemainingAnswers() <= 0 })
	time.Sleep(drainTolerance)
	before := len(draining.OpenLines())
	for range 40 {
		successor.openSession(openRequest(""))
	}
	if n := len(draining.OpenLines()) - before; n > 0 {
		t.Errorf("the draining backend received %d new connections later than %v after one process was told", n, drainTolerance)
	}
}
