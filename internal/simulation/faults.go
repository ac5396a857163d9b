package simulation

import (
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/fault"
)

// Fault is one fault of a run.
type Fault = fault.Fault

// kind is a fault that can be injected. end, if there is one, takes back what is left of it; no fault outlasts a run.
type faultKind struct {
	name  string
	begin func(run *run, f Fault) (end func())
}

// kinds are all faults: each begins, and may return what ends it.
var faultKinds = []faultKind{
	{"relay killed", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.stopRelay(r, false)
		run.engine.schedule(500*time.Millisecond+f.Duration/4, func() { run.startRelay(r) })
		return nil
	}},
	{"relay vanished", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.stopRelay(r, true)
		run.engine.schedule(time.Second+f.Duration/2, func() { run.startRelay(r) })
		return nil
	}},
	{"rolling restart", func(run *run, f Fault) func() {
		for i := range run.relays {
			r := run.relays[(f.Target+i)%len(run.relays)]
			run.engine.schedule(time.Duration(i)*(3*time.Second+f.Duration/4), func() { run.restartRelay(r) })
		}
		return nil
	}},
	{"reload to another agent", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.reloadRelay(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB)
		return nil
	}},
	{"settings change", func(run *run, f Fault) func() {
		if run.options.Installation != nil || len(run.relays[0].cfg.Settings.Classes) > len(run.settings.Classes) { // one at a time
			return nil
		}
		effect := []balance.Idempotency{balance.Idempotent, balance.NonIdempotent}[f.Target%2]
		run.baseClassesOnly = false
		run.changeSettings(true, effect, 1+int(f.Severity*4))
		return func() {
			run.baseClassesOnly = true
			for i, c := range run.clients {
				if c.class == len(run.classes)-1 {
					c.class = i % len(run.settings.Classes)
				}
			}
			run.engine.schedule(classRolloutDelay, func() { run.changeSettings(false, 0, 0) })
		}
	}},
	{"relay upgraded", func(run *run, f Fault) func() {
		for i := range 1 + int(f.Severity*3) { // perhaps another right after, or one after the other
			number := (f.Target + i/2) % len(run.relays)
			run.engine.schedule(time.Duration(i)*(4*time.Second+f.Duration/8), func() { run.upgradeRelay(run.relays[number], f.Duration/10) })
		}
		return nil
	}},
	{"relay drained", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.setRelayDrained(r, true)
		return func() {
			run.setRelayDrained(r, false)
			run.checkReadyAfterDrain(r)
		}
	}},
	{"relay drained and not", func(run *run, f Fault) func() {
		for i := range 1 + int(f.Severity*6) { // called again and again, while it is told other things
			r := run.relays[(f.Target+i/3)%len(run.relays)]
			run.engine.schedule(time.Duration(i)*f.Duration/12, func() { run.setRelayDrained(r, i%3 != 2) })
			if i == 1 {
				run.engine.schedule(f.Duration/12, func() { run.reloadRelay(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB) })
			}
			if i == 4 {
				run.engine.schedule(f.Duration/3, func() { run.restartRelay(r) })
			}
		}
		return func() {
			for _, r := range run.relays {
				run.setRelayDrained(r, false)
			}
		}
	}},
	{"reload while leaving", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.restartRelay(r)
		run.engine.schedule(f.Duration/20, func() { run.reloadRelay(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB) })
		return nil
	}},
	{"few descriptors", func(run *run, f Fault) func() {
		for _, r := range run.relays {
			run.reloadRelay(r, false, 48+int(f.Severity*80), r.cfg.MemoryMB)
		}
		return func() {
			for _, r := range run.relays {
				run.reloadRelay(r, false, defaultDescriptors, r.cfg.MemoryMB)
			}
		}
	}},
	{"little memory", func(run *run, f Fault) func() {
		for _, r := range run.relays {
			run.reloadRelay(r, false, r.cfg.MaxDescriptors, 1+int(f.Severity*4))
		}
		return func() {
			for _, r := range run.relays {
				run.reloadRelay(r, false, r.cfg.MaxDescriptors, defaultMemoryMB)
			}
		}
	}},
	{"backends stop reading", onSomeBackends(func(b *backend, f Fault) func() {
		b.notReading = true
		return func() { b.resumeReading() }
	})},
	{"list late", func(run *run, f Fault) func() {
		was := run.catalog.publishDelay
		run.catalog.publishDelay = time.Second + time.Duration(f.Severity*float64(6*time.Second))
		return func() { run.catalog.publishDelay = was }
	}},
	{"list out", func(run *run, f Fault) func() {
		var out []*discoveryAgent
		for _, a := range run.catalog.agents {
			if f.Severity > 0.5 || a.relay == f.Target%len(run.relays) {
				a.setUnavailable(true)
				out = append(out, a)
			}
		}
		return func() {
			for _, a := range out {
				a.setUnavailable(false)
			}
		}
	}},
	{"backends slow", onSomeBackends(func(b *backend, f Fault) func() {
		b.setSlowdown(4 + 30*f.Severity)
		return func() { b.setSlowdown(1) }
	})},
	{"backends paused", onSomeBackends(func(b *backend, f Fault) func() {
		b.pause()
		return func() {
			if b.paused {
				b.resume()
			}
		}
	})},
	{"backends vanished", onSomeBackends(func(b *backend, f Fault) func() {
		b.disconnect()
		life := b.incarnation
		run := b.run
		run.engine.schedule(5*time.Second+time.Duration(f.Severity*float64(7*time.Second)), func() {
			if b.incarnation == life {
				b.state = "gone"
				run.catalog.publish(b.entry())
			}
		})
		return func() {
			if b.incarnation == life {
				b.launch()
			}
		}
	})},
	{"backends die", onSomeBackends(func(b *backend, f Fault) func() {
		b.terminate()
		life := b.incarnation
		return func() {
			if b.incarnation == life {
				b.launch()
			}
		}
	})},
	{"backends failing fast", onSomeBackends(func(b *backend, f Fault) func() {
		b.errorRate = 0.4 + 0.6*f.Severity
		return func() { b.errorRate = 0 }
	})},
	{"backends resetting", onSomeBackends(func(b *backend, f Fault) func() {
		b.resetRate = 0.3 + 0.6*f.Severity
		return func() { b.resetRate = 0 }
	})},
	{"backends full", onSomeBackends(func(b *backend, f Fault) func() {
		b.busyRate, b.earlyEndRate = 0.5+0.4*f.Severity, 0.05
		return func() { b.busyRate, b.earlyEndRate = 0, 0 }
	})},
	{"all backends full", func(run *run, f Fault) func() {
		for _, b := range run.backends {
			b.busyRate = 0.6 + 0.4*f.Severity
		}
		return func() {
			for _, b := range run.backends {
				b.busyRate = 0
			}
		}
	}},
	{"backends drain", onSomeBackends(func(b *backend, f Fault) func() {
		long := 4*time.Second + time.Duration(f.Severity*float64(12*time.Second))
		b.release(long, f.Duration)
		return nil
	})},
	{"backends start", func(run *run, f Fault) func() {
		for range 1 + int(f.Severity*3) {
			run.addBackend()
		}
		return nil
	}},
	{"datagrams lost", func(run *run, f Fault) func() {
		run.engine.conditions.datagramLossRate = 0.3 + 0.7*f.Severity
		return func() { run.engine.conditions.datagramLossRate = 0 }
	}},
	{"network slow", func(run *run, f Fault) func() {
		run.engine.conditions.latencyFactor = 3 + 20*f.Severity
		return func() { run.engine.conditions.latencyFactor = 1 }
	}},
	{"SYNs lost", func(run *run, f Fault) func() {
		run.engine.conditions.synLossRate = 0.1 + 0.4*f.Severity
		return func() { run.engine.conditions.synLossRate = 0 }
	}},
	{"network resets", func(run *run, f Fault) func() {
		run.engine.conditions.resetRate = 0.002 + 0.02*f.Severity
		return func() { run.engine.conditions.resetRate = 0 }
	}},
	{"everything slow", func(run *run, f Fault) func() {
		run.slowdown = 3 + 20*f.Severity
		return func() { run.slowdown = 1 }
	}},
	{"burst", func(run *run, f Fault) func() {
		for range 20 + int(f.Severity*40) {
			c := run.addClient()
			c.connectAfter(run.engine.randomDuration(0, time.Second))
			run.engine.schedule(f.Duration, func() { c.stopped = true })
		}
		return nil
	}},
	{"hot key", func(run *run, f Fault) func() {
		was := make([]uint64, len(run.clients))
		for i, c := range run.clients {
			if was[i] = c.key; i%3 != 0 {
				c.key = 0x407
			}
		}
		return func() {
			for i := range was {
				run.clients[i].key = was[i]
			}
		}
	}},
	{"clients break off", func(run *run, f Fault) func() {
		for i, c := range run.clients {
			if conn := c.conn; conn != nil && i%2 == f.Target%2 {
				run.engine.schedule(run.engine.randomDuration(0, 300*time.Millisecond), func() { c.disconnect(conn) })
			}
		}
		return nil
	}},
	{"bad clients", func(run *run, f Fault) func() {
		for i := range 30 + int(f.Severity*100) {
			run.engine.schedule(run.engine.randomDuration(0, f.Duration), func() { run.startMisbehavingClient(f.Target + i) })
		}
		return nil
	}},
}

// Groups says whether a script may name whom a kind strikes.
func AcceptsTargets(kind string) bool { return kind == "link" || kind == "relays die together" }

// rehearsed are kinds that only scripts bring about: they want the model.
var scriptOnlyFaultKinds = []faultKind{{"shared dependency slow", func(run *run, f Fault) func() {
	if run.dependency == nil {
		return nil
	}
	run.dependency.SetSlowdown(1 + 20*f.Severity)
	return func() { run.dependency.SetSlowdown(1) }
}}, {"relays die together", func(run *run, f Fault) func() {
	struck := f.Targets
	if struck == nil {
		for i := range 1 + int(f.Severity*float64(len(run.relays)-1)) {
			struck = append(struck, (f.Target+i)%len(run.relays))
		}
	}
	for _, i := range struck {
		r := run.relays[i]
		run.stopRelay(r, false)
		run.engine.schedule(f.Duration, func() { run.startRelay(r) })
	}
	return nil
}}, {"link", func(run *run, f Fault) func() {
	run.engine.linkFaults = append(run.engine.linkFaults, linkFault{f.Link, min(epoch+f.Start+f.Duration, epoch+run.options.Duration)})
	return nil // it has its end in it
}}, {"power cut", func(run *run, f Fault) func() { // all backends at once, and cold ones a little after one another
	for i, b := range run.backends {
		if b.up {
			b.terminate()
			run.engine.schedule(f.Duration+time.Duration(i)*200*time.Millisecond, b.launch)
		}
	}
	return nil
}}, {"zone cut off", func(run *run, f Fault) func() {
	for _, b := range run.backends {
		if b.up && b.zone == f.Target%len(zones) {
			b.disconnect()
			run.engine.schedule(f.Duration, b.launch)
			run.engine.schedule(time.Duration(f.Severity*float64(6*time.Second)), func() {
				if !b.up {
					b.state = "gone"
					run.catalog.publish(b.entry())
				}
			})
		}
	}
	return nil
}}}

// some has a trouble come to one backend or to a third of them.
func onSomeBackends(begin func(b *backend, f Fault) func()) func(run *run, f Fault) func() {
	return func(run *run, f Fault) func() {
		n := 1
		if f.Severity > 0.4 {
			n = max(1, int(f.Severity*float64(len(run.backends))/3))
		}
		var ends []func()
		for i := range n {
			b := run.backends[(f.Target+i)%len(run.backends)]
			if !b.up || b.state != "ready" {
				continue
			}
			if end := begin(b, f); end != nil {
				ends = append(ends, end)
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
}

// script draws a run's faults: one to six, half of them right on another.
func (run *run) drawScript() []Fault {
	rng := run.engine.rng
	var s []Fault
	for range 1 + rng.IntN(6) {
		f := Fault{Kind: faultKinds[rng.IntN(len(faultKinds))].name, Start: run.engine.randomDuration(5*time.Second, 42*time.Second),
			Duration: run.engine.randomDuration(2*time.Second, 14*time.Second), Target: rng.IntN(64), Severity: rng.Float64()}
		if len(s) > 0 && rng.IntN(2) == 0 {
			f.Start = min(42*time.Second, max(5*time.Second, s[rng.IntN(len(s))].Start+run.engine.randomDuration(-time.Second, 2*time.Second)))
		}
		s = append(s, f)
	}
	for i := range s { // drawn for a minute
		s[i].Start = time.Duration(float64(s[i].Start) * run.options.Duration.Minutes())
		s[i].Duration = time.Duration(float64(s[i].Duration) * run.options.Duration.Minutes())
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.Start - b.Start) })
	return s
}

// Kinds names all kinds of fault.
func FaultKinds() []string {
	names := make([]string, len(faultKinds))
	for i, k := range faultKinds {
		names[i] = k.name
	}
	return names
}

// Scriptable names all kinds that a script may hold.
func ScriptableFaultKinds() []string {
	names := FaultKinds()
	for _, k := range scriptOnlyFaultKinds {
		names = append(names, k.name)
	}
	return names
}

// play has a script happen.
func (run *run) scheduleFaults(script []Fault) {
	for i, f := range script {
		run.count("fault " + f.Kind)
		for _, g := range script[:i] {
			if f.Start < g.Start+g.Duration {
				a, b := min(f.Kind, g.Kind), max(f.Kind, g.Kind)
				run.faultPairs[a+" + "+b]++
			}
		}
		for _, k := range slices.Concat(faultKinds, scriptOnlyFaultKinds) {
			if k.name != f.Kind {
				continue
			}
			run.engine.scheduleAt(epoch+f.Start, func() {
				if run.engine.trace != nil {
					run.engine.tracef("fault %s begins", f.Kind)
				}
				if end := k.begin(run, f); end != nil {
					run.engine.scheduleAt(min(epoch+f.Start+f.Duration, epoch+run.options.Duration), func() {
						end()
						if run.engine.trace != nil {
							run.engine.tracef("fault %s ends", f.Kind)
						}
					})
				}
			})
		}
	}
}
