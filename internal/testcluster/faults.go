package testcluster

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"aspenbarrow/internal/fault"
)

// faultInjector begins a fault, writes down what it did and may return what ends it.
type faultInjector func(c *cluster, f *fault.Fault, effects *effectCounters) (end func())

// faultInjectors are all that processes can play.
var faultInjectors map[string]faultInjector

func init() {
	faultInjectors = map[string]faultInjector{
		"link":                linkFault,
		"relays die together": relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.killRelay(target) }, (*cluster).restartRelay),
		"relay killed":        relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.killRelay(target) }, (*cluster).restartRelay),
		"relays paused":       relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.setRelayPaused(target, true) }, func(c *cluster, target *relay) { c.setRelayPaused(target, false) }),
		"relays start late":   relayFault(func(*cluster, *relay, *fault.Fault) bool { return true }, (*cluster).restartRelay),
		"relays leave":        relayFault(func(c *cluster, target *relay, f *fault.Fault) bool { return c.drainRelay(target, func() {}) }, (*cluster).restartRelay),
		"rolling restart":     rollingRestart,
		"backends slow":       backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.slowDown(4 + 30*f.Severity) }, func(b *backend) { b.slowDown(1) }),
		"backends paused":     backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.pause() }, func(b *backend) { b.resume() }),
		"backends die":        backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.crash() }, func(b *backend) { b.launch(true) }),
		"backends vanished":   backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.disappear() }, func(b *backend) { b.reappear() }),
		"backends failing fast": backendFault(func(c *cluster, b *backend, f *fault.Fault) {
			b.updateModel(func(time.Duration) { b.errorRate = 0.4 + 0.6*f.Severity })
		}, func(b *backend) { b.updateModel(func(time.Duration) { b.errorRate = 0 }) }),
		"backends resetting": backendFault(func(c *cluster, b *backend, f *fault.Fault) {
			b.updateModel(func(time.Duration) { b.resetRate = 0.3 + 0.6*f.Severity })
		}, func(b *backend) { b.updateModel(func(time.Duration) { b.resetRate = 0 }) }),
		"backends full": backendFault(func(c *cluster, b *backend, f *fault.Fault) {
			b.updateModel(func(time.Duration) { b.busyRate = 0.5 + 0.4*f.Severity })
		}, func(b *backend) { b.updateModel(func(time.Duration) { b.busyRate = 0 }) }),
		"backends drain": backendFault(func(c *cluster, b *backend, f *fault.Fault) { b.drain(f.Duration) }, func(b *backend) { b.launch(true) }),
		"backends start": startBackends,
		"zone cut off":   cutOffZone,
		"power cut":      cutPower,
		"list late":      delayDiscovery,
		"list out":       silenceDiscovery,
		"list differs":   freezeDiscovery,
		"burst":          clientBurst,
	}
}

// FaultKinds names all that processes can play.
func FaultKinds() []string {
	var names []string
	for name := range faultInjectors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// targetIndexes are the numbers that a fault strikes, of so many.
func targetIndexes(f *fault.Fault, of int) []int {
	if f.Targets != nil {
		return f.Targets
	}
	n := 1
	switch f.Kind {
	case "relays die together", "relays start late", "relays paused", "relays leave":
		n = max(1, int(f.Severity*float64(of)))
	case "relay killed":
	default:
		if f.Severity > 0.4 {
			n = max(1, int(f.Severity*float64(of))/3)
		}
	}
	var out []int
	for i := range min(n, of) {
		out = append(out, (f.Target+i)%of)
	}
	return out
}

// scheduleFault has one fault of the script take place; what it returns ends it now if it has not ended.
func (c *cluster) scheduleFault(i int) (end func()) {
	f := c.options.Faults[i]
	effects := &effectCounters{}
	var once sync.Once
	var mu sync.Mutex
	var over func()
	began, ended := time.Duration(-1), false
	finish := func() {
		once.Do(func() {
			mu.Lock()
			ended = true
			o := over
			mu.Unlock()
			if o != nil {
				o()
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
		over = faultInjectors[f.Kind](c, &f, effects)
		c.runAfter(f.Duration, finish)
	})
	return finish
}

// relayFault strikes relays, and has those that were struck come back.
func relayFault(begin func(c *cluster, target *relay, f *fault.Fault) bool, end func(c *cluster, target *relay)) faultInjector {
	return func(c *cluster, f *fault.Fault, effects *effectCounters) func() {
		var affected []*relay
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, i := range targetIndexes(f, len(c.relays)) {
			wg.Go(func() { // together, not one after another
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

func (c *cluster) currentBackends() []*backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.backends)
}

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

func startBackends(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	for range 1 + int(f.Severity*3) {
		c.addBackend(true)
		effects.struck.Add(1)
	}
	return nil
}

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

func cutPower(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	for i, b := range c.currentBackends() { // all at once, and cold ones a little after one another
		if b.utilization() >= 0 {
			b.crash()
			effects.struck.Add(1)
			c.runAfter(f.Duration+time.Duration(i)*200*time.Millisecond, func() { b.launch(true) })
		}
	}
	return nil
}

func delayDiscovery(owner *cluster, f *fault.Fault, effects *effectCounters) func() {
	service := owner.discovery
	set := func(d time.Duration) {
		service.mu.Lock()
		defer service.mu.Unlock()
		service.extraDelay = d
	}
	set(time.Second + time.Duration(f.Severity*float64(6*time.Second)))
	effects.struck.Add(int64(len(service.agents)))
	return func() { set(0) }
}

func (c *cluster) affectedAgents(f *fault.Fault) (out []*discoveryAgent) {
	if f.Targets == nil && f.Severity > 0.5 {
		return c.discovery.agents
	}
	for _, i := range targetIndexes(f, len(c.relays)) {
		out = append(out, c.discovery.agents[i])
	}
	return out
}

func silenceDiscovery(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	agents := c.affectedAgents(f)
	for _, agent := range agents {
		agent.setSilent(c, true)
		effects.struck.Add(1)
	}
	return func() {
		for _, agent := range agents {
			agent.setSilent(c, false)
		}
	}
}

// freezeDiscovery has some relays' agents learn nothing for a while, and then all that they missed.
func freezeDiscovery(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	agents := c.affectedAgents(f)
	for _, agent := range agents {
		agent.mu.Lock()
		agent.frozen = true
		agent.mu.Unlock()
		effects.struck.Add(1)
	}
	return func() {
		for _, agent := range agents {
			agent.mu.Lock()
			agent.frozen = false
			agent.mu.Unlock()
			for _, b := range c.currentBackends() {
				b.mu.Lock()
				e := b.endpoint()
				b.mu.Unlock()
				c.discovery.mu.Lock()
				c.discovery.revision++
				e.revision = c.discovery.revision
				c.discovery.mu.Unlock()
				agent.applyUpdate(c, e)
			}
		}
	}
}

func clientBurst(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	n := int((0.2 + f.Severity) * float64(c.options.Fleet.Clients))
	now := c.elapsed()
	for _, v := range planVisits(&c.options.Fleet, c.options.Seed+1, 0)[:min(n, c.options.Fleet.Clients)] {
		v.start, v.end = now+time.Duration(c.randomFloat()*float64(time.Second)), now+f.Duration
		c.clients.schedule(v)
		effects.struck.Add(1)
	}
	return nil
}

// linkFault troubles ways. A cut between relays and backends lets no connection come up: each pair's address is taken out.
func linkFault(c *cluster, f *fault.Fault, effects *effectCounters) func() {
	l := f.Link
	end := c.links.inject(l, effects)
	if !l.Partitioned && !l.Buffered {
		return end
	}
	var walls []func()
	for _, b := range c.currentBackends() {
		for i := range c.relays {
			if l.Affects(fault.Relays, i, fault.Backends, b.index) || l.Affects(fault.Backends, b.index, fault.Relays, i) {
				w, err := blackhole(netip.AddrPortFrom(loopbackAddress(backendNet, i<<backendBits|b.index), uint16(b.port)))
				if err != nil {
					c.reportError(fmt.Errorf("%s: %w", scriptPosition(f), err))
					break
				}
				effects.struck.Add(1)
				walls = append(walls, w)
			}
		}
	}
	return func() {
		for _, w := range walls {
			w()
		}
		end()
	}
}
