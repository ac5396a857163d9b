package testcluster

import (
	"slices"
	"time"

	"aspenbarrow/internal/fault"
)

// currentBackends are all backends added so far.
func (c *cluster) currentBackends() []*backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.backends)
}

// backendFault returns an injector that applies begin to each backend affected that is up, and end to the same ones
// afterwards.
func backendFault(begin func(c *cluster, b *backend, f *fault.Fault), end func(b *backend)) faultInjector {
	return func(c *cluster, f *fault.Fault, effects *effectCounters) func() {
		all := c.currentBackends()
		var affected []*backend
		for _, i := range targetIndexes(f, len(all)) {
			if b := all[i]; b.utilization() >= 0 {
				begin(c, b, f)
				effects.struck.Add(1)
				affected = append(affected, b)
			}
		}
		return func() {
			for _, b := range affected {
				end(b)
			}
		}
	}
}

// startBackends adds cold backends.
func startBackends(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	for range 1 + int(f.Severity*3) {
		c.addBackend(true)
		effects.struck.Add(1)
	}
	return nil
}

// cutOffZone cuts all backends of a zone off the network. Discovery reports them gone after a delay, unless they are
// back by then.
func cutOffZone(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	var affected []*backend
	for _, b := range c.currentBackends() {
		if b.zone == f.Target%len(zones) && b.utilization() >= 0 {
			b.disappear()
			effects.struck.Add(1)
			affected = append(affected, b)
		}
	}
	noticed := make(chan struct{})
	c.runAfter(time.Duration(f.Severity*float64(6*time.Second)), func() {
		select {
		case <-noticed:
			return
		default:
		}
		for _, b := range affected {
			b.publish("gone")
		}
	})
	return func() {
		close(noticed)
		for _, b := range affected {
			b.reappear()
		}
	}
}

// cutPower ends all backends at once and starts them cold, one shortly after another.
func cutPower(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	for i, b := range c.currentBackends() {
		if b.utilization() >= 0 {
			b.crash()
			effects.struck.Add(1)
			c.runAfter(f.Duration+time.Duration(i)*200*time.Millisecond, func() { b.launch(true) })
		}
	}
	return nil
}
