package testcluster

import (
	"sync"
	"time"

	"aspenbarrow/internal/fault"
)

// relayFault returns an injector that applies begin to each relay affected, and end to those for which begin returned true.
func relayFault(begin func(c *cluster, target *relay, f *fault.Fault) bool, end func(c *cluster, target *relay)) faultInjector {
	return func(c *cluster, f *fault.Fault, effects *effectCounters) func() {
		var affected []*relay
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, i := range targetIndexes(f, len(c.relays)) {
			wg.Go(func() { // concurrently, not one relay after another
				if target := c.relays[i]; begin(c, target, f) {
					effects.affected.Add(1)
					mu.Lock()
					affected = append(affected, target)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return func() {
			for _, target := range affected {
				go end(c, target)
			}
		}
	}
}

// rollingRestart restarts relays one after another, spread over the duration of the fault.
func rollingRestart(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	targets := targetIndexes(f, len(c.relays))
	if f.Targets == nil {
		targets = make([]int, len(c.relays))
		for i := range targets {
			targets[i] = (f.Target + i) % len(c.relays)
		}
	}
	for k, i := range targets {
		c.runAfter(time.Duration(k)*f.Duration/time.Duration(len(targets)), func() {
			target := c.relays[i]
			if c.drainRelay(target, func() { c.restartRelay(target) }) {
				effects.affected.Add(1)
			}
		})
	}
	return nil
}
