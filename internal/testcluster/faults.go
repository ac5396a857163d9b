package testcluster

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"aspenbarrow/internal/fault"
)

// faultInjector starts a fault and counts its effects. The function it returns, if any, ends the fault.
type faultInjector func(c *cluster, f *fault.Fault, effects *effectCounters) (end func())

// faultInjectors are the faults that a test cluster supports, by name.
var faultInjectors map[string]faultInjector

func init() {
	faultInjectors = map[string]faultInjector{
		"link":                  linkFault,
		"relays die together":   relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.killRelay(target) }, (*cluster).restartRelay),
		"relay killed":          relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.killRelay(target) }, (*cluster).restartRelay),
		"relays paused":         relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.setRelayPaused(target, true) }, func(c *cluster, target *relay) { c.setRelayPaused(target, false) }),
		"relays start late":     relayFault(func(*cluster, *relay, *fault.Fault) bool { return true }, (*cluster).restartRelay),
		"relays leave":          relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.drainRelay(target, func() {}) }, (*cluster).restartRelay),
		"rolling restart":       rollingRestart,
		kindHotRestart:          hotRestartFault((*cluster).hotRestart, false),
		kindRollingHotRestart:   hotRestartFault((*cluster).hotRestart, true),
		kindEarlySuccessorDeath: hotRestartFault((*cluster).killSuccessorEarly, false),
		kindLateSuccessorDeath:  hotRestartFault((*cluster).killSuccessorLate, false),
		"backends slow":         backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.slowDown(4 + 30*f.Severity) }, func(b *backend) { b.slowDown(1) }),
		"backends paused":       backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.pause() }, func(b *backend) { b.resume() }),
		"backends die":          backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.crash() }, func(b *backend) { b.launch(true) }),
		"backends vanished":     backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.disconnect() }, func(b *backend) { b.reconnect() }),
		"backends failing fast": backendFault(func(c *cluster, b *backend, f *fault.Fault) {
			b.updateModel(func(time.Duration) { b.errorRate = 0.4 + 0.6*f.Severity })
		}, func(b *backend) { b.updateModel(func(time.Duration) { b.errorRate = 0 }) }),
		"backends resetting": backendFault(func(c *cluster, b *backend, f *fault.Fault) {
			b.updateModel(func(time.Duration) { b.resetRate = 0.3 + 0.6*f.Severity })
		}, func(b *backend) { b.updateModel(func(time.Duration) { b.resetRate = 0 }) }),
		"backends full": backendFault(func(c *cluster, b *backend, f *fault.Fault) {
			b.updateModel(func(time.Duration) { b.busyRate = 0.5 + 0.4*f.Severity })
		}, func(b *backend) { b.updateModel(func(time.Duration) { b.busyRate = 0 }) }),
		fault.KindUnfinishedAnswers: answerFault(fault.UnfinishedAnswer),
		fault.KindOverlongAnswers:   answerFault(fault.OverlongAnswer),
		"backends drain":            backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.drain(f.Duration) }, func(b *backend) { b.launch(true) }),
		"backends start":            startBackends,
		"zone cut off":              disconnectZone,
		"power cut":                 cutPower,
		"discovery down":            stopDiscovery,
		"list late":                 delayDiscovery,
		"list out":                  silenceDiscovery,
		"list differs":              freezeDiscovery,
		"burst":                     clientBurst,
	}
}

// FaultKinds returns the names of all supported faults, sorted.
func FaultKinds() []string {
	var names []string
	for name := range faultInjectors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// targetIndexes returns the indexes of the nodes that a fault affects, where count is the number of nodes of that kind.
func targetIndexes(f *fault.Fault, count int) []int {
	if f.Targets != nil {
		return f.Targets
	}
	n := 1
	switch f.Kind {
	case "relays die together", "relays start late", "relays paused", "relays leave",
		kindHotRestart, kindRollingHotRestart, kindEarlySuccessorDeath, kindLateSuccessorDeath:
		n = max(1, int(f.Severity*float64(count)))
	case "relay killed":
	default:
		if f.Severity > 0.4 {
			n = max(1, int(f.Severity*float64(count))/3)
		}
	}
	var out []int
	for i := range min(n, count) {
		out = append(out, (f.Target+i)%count)
	}
	return out
}

// scheduleFault schedules a fault of Options.Faults. The function it returns ends the fault if it has not ended yet.
func (c *cluster) scheduleFault(i int) (end func()) {
	f := c.options.Faults[i]
	effects := &effectCounters{}
	var once sync.Once
	var mu sync.Mutex
	var endInjection func()
	began, ended := time.Duration(-1), false
	finish := func() {
		once.Do(func() {
			mu.Lock()
			ended = true
			callback := endInjection
			mu.Unlock()
			if callback != nil {
				callback()
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.effects[i] = FaultEffect{Fault: f, StartedAt: began, EndedAt: c.elapsed(), Counts: effects.counts()}
		})
	}
	time.AfterFunc(f.Start-c.elapsed(), func() {
		mu.Lock()
		defer mu.Unlock()
		if ended || c.ctx.Err() != nil {
			return
		}
		began = c.elapsed()
		endInjection = faultInjectors[f.Kind](c, &f, effects)
		c.runAfter(f.Duration, finish)
	})
	return finish
}

// clientBurst adds clients that arrive within one second and stay until the fault ends.
func clientBurst(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	n := int((0.2 + f.Severity) * float64(c.options.Fleet.Clients))
	now := c.elapsed()
	for _, v := range planVisits(&c.options.Fleet, c.options.Seed+1, 0)[:min(n, c.options.Fleet.Clients)] {
		v.start, v.end = now+time.Duration(c.randomFloat()*float64(time.Second)), now+f.Duration
		c.clients.schedule(v)
		effects.affected.Add(1)
	}
	return nil
}

// linkFault applies a fault to links. A partition between relays and backends also prevents new connections: the
// address of each separated pair becomes unreachable.
func linkFault(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	l := f.Link
	end := c.links.inject(l, effects)
	if !l.Partitioned && !l.Buffered {
		return end
	}
	removeBlackholes := blackholeBackends(c, f, effects)
	return func() {
		removeBlackholes()
		end()
	}
}

// blackholeBackends makes the address of each pair of relay and backend that a partition separates unreachable.
func blackholeBackends(c *cluster, f *fault.Fault, effects *effectCounters) (removeAll func()) {
	var removers []func()
	for _, b := range c.currentBackends() {
		for i := range c.relays {
			if !f.Link.Affects(fault.Relays, i, fault.Backends, b.index) && !f.Link.Affects(fault.Backends, b.index, fault.Relays, i) {
				continue
			}
			remove, err := blackhole(netip.AddrPortFrom(loopbackAddress(backendNet, i<<backendBits|b.index), uint16(b.port)))
			if err != nil {
				c.reportError(fmt.Errorf("%s: %w", scriptPosition(f), err))
				break
			}
			effects.affected.Add(1)
			removers = append(removers, remove)
		}
	}
	return func() {
		for _, remove := range removers {
			remove()
		}
	}
}

// CheckFault returns an error if a test cluster does not support a fault of this kind.
func CheckFault(f *fault.Fault) error {
	if _, ok := faultInjectors[f.Kind]; !ok {
		return fmt.Errorf("a test cluster can't play the fault %q", f.Kind)
	}
	return nil
}
