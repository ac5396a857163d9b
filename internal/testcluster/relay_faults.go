package testcluster

import (
	"sync"
	"time"

	"aspenbarrow/internal/fault"
)

// relayFault returns an injector that applies begin to each relay affected, and end to those that it succeeded for.
func relayFault(begin func(c *cluster, target *relay, f *fault.Fault) bool, end func(c *cluster, target *relay)) faultInjector {
	return func(c *cluster, f *fault.Fault, effects *effectCounters) func() {
		var affected []*relay
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, i := range targetIndexes(f, len(c.relays)) {
			wg.Go(func() { // at the same time, not one after another
				if target := c.relays[i]; begin(c, target, f) {
					effects.struck.Add(1)
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
	which := targetIndexes(f, len(c.relays))
	if f.Targets == nil {
		which = make([]int, len(c.relays))
		for i := range which {
			which[i] = (f.Target + i) % len(c.relays)
		}
	}
	for k, i := range which {
		c.runAfter(time.Duration(k)*f.Duration/time.Duration(len(which)), func() {
			target := c.relays[i]
			if c.drainRelay(target, func() { c.restartRelay(target) }) {
				effects.struck.Add(1)
			}
		})
	}
	return nil
}
