package main

import (
	"fmt"
	"time"
)

func init() { cases["slow-discovery"] = playSlowDiscovery }

const (
	// discoveryDelay is how late every answer of the slow agent is.
	discoveryDelay = 1500 * time.Millisecond

	// toldWithin is when a change counts as told at the latest.
	toldWithin = 6 * time.Second

	// drainTime is how long a draining backend keeps its connections until it stops.
	drainTime = 12 * time.Second
)

// playSlowDiscovery drains a backend while discovery answers late.
func playSlowDiscovery(w *world) error {
	opens := newOpenings()
	backends, entries, err := w.startBackends(4, opens.record)
	if err != nil {
		return err
	}
	a, err := w.startAgent(entries)
	if err != nil {
		return err
	}
	if w.trouble {
		a.delay = discoveryDelay
	}
	config, err := w.smallConfig("n0", a.addr, defaultClasses(), a.whole())
	if err != nil {
		return err
	}
	r, err := w.startRelay("n0", config)
	if err != nil {
		return err
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	done := make(chan map[end]int, 1)
	go func() { done <- w.sessions(config.listen, 100*time.Millisecond, 20*time.Second, stop) }()
	time.Sleep(3 * time.Second)
	a.setState("s-1", "draining")
	told := time.Now().Add(toldWithin)
	time.Sleep(drainTime)
	backends[0].stop()
	time.Sleep(2 * time.Second)
	close(stop)
	late := opens.after("s-1", told.Add(drainGrace))
	w.logf("case      s-1 received %d OPEN lines later than %v after its drain; ends of connections: %v", late, toldWithin+drainGrace, <-done)
	if late > 0 {
		return fmt.Errorf("%w: the draining backend received %d new connections later than %v after its drain", errRuleBroken, late,
			toldWithin+drainGrace)
	}
	return nil
}
