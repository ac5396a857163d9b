package testcluster

import (
	"slices"
	"time"

	"aspenbarrow/internal/fault"
)

// currentBackends returns all backends added so far.
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
				effects.affected.Add(1)
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

// answerFault makes the answers of backends to their clients' lines defective.
func answerFault(defect fault.AnswerDefect) faultInjector {
	setDefect := func(b *backend, defect fault.AnswerDefect) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.answerDefect = defect
	}
	begin := func(_ *cluster, b *backend, _ *fault.Fault) { setDefect(b, defect) }
	return backendFault(begin, func(b *backend) { setDefect(b, fault.NoAnswerDefect) })
}

// startBackends adds cold backends.
func startBackends(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	for range 1 + int(f.Severity*3) {
		c.addBackend(true)
		effects.affected.Add(1)
	}
	return nil
}

// disconnectZone cuts all backends of a zone off the network. Discovery reports them gone after a delay, unless the fault
// has ended by then.
func disconnectZone(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	var affected []*backend
	for _, b := range c.currentBackends() {
		if b.zone == f.Target%len(zones) && b.utilization() >= 0 {
			b.disconnect()
			effects.affected.Add(1)
			affected = append(affected, b)
		}
	}
	ended := make(chan struct{})
	c.runAfter(time.Duration(f.Severity*float64(6*time.Second)), func() {
		select {
		case <-ended:
			return
		default:
		}
		for _, b := range affected {
			b.publish("gone")
		}
	})
	return func() {
		close(ended)
		for _, b := range affected {
			b.reconnect()
		}
	}
}

// cutPower ends all backends at once and starts them cold, one shortly after another.
func cutPower(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	for i, b := range c.currentBackends() {
		if b.utilization() >= 0 {
			b.crash()
			effects.affected.Add(1)
			c.runAfter(f.Duration+time.Duration(i)*200*time.Millisecond, func() { b.launch(true) })
		}
	}
	return nil
}
