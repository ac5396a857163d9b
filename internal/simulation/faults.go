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
type kind struct {
	name  string
	begin func(run *run, f Fault) (end func())
}

// kinds are all faults: each begins, and may return what ends it.
var kinds = []kind{
	{"relay killed", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.stop(r, false)
		run.w.in(500*time.Millisecond+f.Duration/4, func() { run.bring(r) })
		return nil
	}},
	{"relay vanished", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.stop(r, true)
		run.w.in(time.Second+f.Duration/2, func() { run.bring(r) })
		return nil
	}},
	{"rolling restart", func(run *run, f Fault) func() {
		for i := range run.relays {
			r := run.relays[(f.Target+i)%len(run.relays)]
			run.w.in(time.Duration(i)*(3*time.Second+f.Duration/4), func() { run.restart(r) })
		}
		return nil
	}},
	{"reload to another agent", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.reload(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB)
		return nil
	}},
	{"settings change", func(run *run, f Fault) func() {
		if run.opt.Installation != nil || len(run.relays[0].cfg.Settings.Classes) > len(run.set.Classes) { // one at a time
			return nil
		}
		effect := []balance.Idempotency{balance.Idempotent, balance.NonIdempotent}[f.Target%2]
		run.plain = false
		run.retune(true, effect, 1+int(f.Severity*4))
		return func() {
			run.plain = true
			for i, c := range run.clients {
				if c.class == len(run.classes)-1 {
					c.class = i % len(run.set.Classes)
				}
			}
			run.w.in(newClass, func() { run.retune(false, 0, 0) })
		}
	}},
	{"relay upgraded", func(run *run, f Fault) func() {
		for i := range 1 + int(f.Severity*3) { // perhaps another right after, or one after the other
			number := (f.Target + i/2) % len(run.relays)
			run.w.in(time.Duration(i)*(4*time.Second+f.Duration/8), func() { run.upgrade(run.relays[number], f.Duration/10) })
		}
		return nil
	}},
	{"relay drained", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.drain(r, true)
		return func() {
			run.drain(r, false)
			run.yes(r)
		}
	}},
	{"relay drained and not", func(run *run, f Fault) func() {
		for i := range 1 + int(f.Severity*6) { // called again and again, while it is told other things
			r := run.relays[(f.Target+i/3)%len(run.relays)]
			run.w.in(time.Duration(i)*f.Duration/12, func() { run.drain(r, i%3 != 2) })
			if i == 1 {
				run.w.in(f.Duration/12, func() { run.reload(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB) })
			}
			if i == 4 {
				run.w.in(f.Duration/3, func() { run.restart(r) })
			}
		}
		return func() {
			for _, r := range run.relays {
				run.drain(r, false)
			}
		}
	}},
	{"reload while leaving", func(run *run, f Fault) func() {
		r := run.relays[f.Target%len(run.relays)]
		run.restart(r)
		run.w.in(f.Duration/20, func() { run.reload(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB) })
		return nil
	}},
	{"few descriptors", func(run *run, f Fault) func() {
		for _, r := range run.relays {
			run.reload(r, false, 48+int(f.Severity*80), r.cfg.MemoryMB)
		}
		return func() {
			for _, r := range run.relays {
				run.reload(r, false, sockets, r.cfg.MemoryMB)
			}
		}
	}},
	{"little memory", func(run *run, f Fault) func() {
		for _, r := range run.relays {
			run.reload(r, false, r.cfg.MaxDescriptors, 1+int(f.Severity*4))
		}
		return func() {
			for _, r := range run.relays {
				run.reload(r, false, r.cfg.MaxDescriptors, memory)
			}
		}
	}},
	{"backends stop reading", some(func(b *backend, f Fault) func() {
		b.deaf = true
		return func() { b.hear() }
	})},
	{"list late", func(run *run, f Fault) func() {
		was := run.catalog.late
		run.catalog.late = time.Second + time.Duration(f.Severity*float64(6*time.Second))
		return func() { run.catalog.late = was }
	}},
	{"list out", func(run *run, f Fault) func() {
		var out []*agent
		for _, a := range run.catalog.agents {
			if f.Severity > 0.5 || a.relay == f.Target%len(run.relays) {
				a.setOut(true)
				out = append(out, a)
			}
		}
		return func() {
			for _, a := range out {
				a.setOut(false)
			}
		}
	}},
	{"backends slow", some(func(b *backend, f Fault) func() {
		b.slowDown(4 + 30*f.Severity)
		return func() { b.slowDown(1) }
	})},
	{"backends paused", some(func(b *backend, f Fault) func() {
		b.pause()
		return func() {
			if b.paused {
				b.resume()
			}
		}
	})},
	{"backends vanished", some(func(b *backend, f Fault) func() {
		b.vanish()
		life := b.life
		run := b.run
		run.w.in(5*time.Second+time.Duration(f.Severity*float64(7*time.Second)), func() {
			if b.life == life {
				b.state = "gone"
				run.catalog.publish(b.entry())
			}
		})
		return func() {
			if b.life == life {
				b.launch()
			}
		}
	})},
	{"backends die", some(func(b *backend, f Fault) func() {
		b.die()
		life := b.life
		return func() {
			if b.life == life {
				b.launch()
			}
		}
	})},
	{"backends failing fast", some(func(b *backend, f Fault) func() {
		b.errs = 0.4 + 0.6*f.Severity
		return func() { b.errs = 0 }
	})},
	{"backends resetting", some(func(b *backend, f Fault) func() {
		b.breaks = 0.3 + 0.6*f.Severity
		return func() { b.breaks = 0 }
	})},
	{"backends full", some(func(b *backend, f Fault) func() {
		b.full, b.early = 0.5+0.4*f.Severity, 0.05
		return func() { b.full, b.early = 0, 0 }
	})},
	{"all backends full", func(run *run, f Fault) func() {
		for _, b := range run.backends {
			b.full = 0.6 + 0.4*f.Severity
		}
		return func() {
			for _, b := range run.backends {
				b.full = 0
			}
		}
	}},
	{"backends drain", some(func(b *backend, f Fault) func() {
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
		run.w.net.lossy = 0.3 + 0.7*f.Severity
		return func() { run.w.net.lossy = 0 }
	}},
	{"network slow", func(run *run, f Fault) func() {
		run.w.net.slow = 3 + 20*f.Severity
		return func() { run.w.net.slow = 1 }
	}},
	{"SYNs lost", func(run *run, f Fault) func() {
		run.w.net.lostSYN = 0.1 + 0.4*f.Severity
		return func() { run.w.net.lostSYN = 0 }
	}},
	{"network resets", func(run *run, f Fault) func() {
		run.w.net.resets = 0.002 + 0.02*f.Severity
		return func() { run.w.net.resets = 0 }
	}},
	{"everything slow", func(run *run, f Fault) func() {
		run.slow = 3 + 20*f.Severity
		return func() { run.slow = 1 }
	}},
	{"burst", func(run *run, f Fault) func() {
		for range 20 + int(f.Severity*40) {
			c := run.addClient()
			c.come(run.w.between(0, time.Second))
			run.w.in(f.Duration, func() { c.stopped = true })
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
			if e := c.e; e != nil && i%2 == f.Target%2 {
				run.w.in(run.w.between(0, 300*time.Millisecond), func() { c.breakOff(e) })
			}
		}
		return nil
	}},
	{"bad clients", func(run *run, f Fault) func() {
		for i := range 30 + int(f.Severity*100) {
			run.w.in(run.w.between(0, f.Duration), func() { run.bad(f.Target + i) })
		}
		return nil
	}},
}

// Groups says whether a script may name whom a kind strikes.
func AcceptsTargets(kind string) bool { return kind == "link" || kind == "relays die together" }

// rehearsed are kinds that only scripts bring about: they want the model.
var rehearsed = []kind{{"shared dependency slow", func(run *run, f Fault) func() {
	if run.pool == nil {
		return nil
	}
	run.pool.SetSlowdown(1 + 20*f.Severity)
	return func() { run.pool.SetSlowdown(1) }
}}, {"relays die together", func(run *run, f Fault) func() {
	struck := f.Targets
	if struck == nil {
		for i := range 1 + int(f.Severity*float64(len(run.relays)-1)) {
			struck = append(struck, (f.Target+i)%len(run.relays))
		}
	}
	for _, i := range struck {
		r := run.relays[i]
		run.stop(r, false)
		run.w.in(f.Duration, func() { run.bring(r) })
	}
	return nil
}}, {"link", func(run *run, f Fault) func() {
	run.w.links = append(run.w.links, troubledLink{f.Link, min(epoch+f.Start+f.Duration, epoch+run.opt.Duration)})
	return nil // it has its end in it
}}, {"power cut", func(run *run, f Fault) func() { // all backends at once, and cold ones a little after one another
	for i, b := range run.backends {
		if b.up {
			b.die()
			run.w.in(f.Duration+time.Duration(i)*200*time.Millisecond, b.launch)
		}
	}
	return nil
}}, {"zone cut off", func(run *run, f Fault) func() {
	for _, b := range run.backends {
		if b.up && b.zone == f.Target%len(zones) {
			b.vanish()
			run.w.in(f.Duration, b.launch)
			run.w.in(time.Duration(f.Severity*float64(6*time.Second)), func() {
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
func some(begin func(b *backend, f Fault) func()) func(run *run, f Fault) func() {
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
func (run *run) script() []Fault {
	rng := run.w.rng
	var s []Fault
	for range 1 + rng.IntN(6) {
		f := Fault{Kind: kinds[rng.IntN(len(kinds))].name, Start: run.w.between(5*time.Second, 42*time.Second),
			Duration: run.w.between(2*time.Second, 14*time.Second), Target: rng.IntN(64), Severity: rng.Float64()}
		if len(s) > 0 && rng.IntN(2) == 0 {
			f.Start = min(42*time.Second, max(5*time.Second, s[rng.IntN(len(s))].Start+run.w.between(-time.Second, 2*time.Second)))
		}
		s = append(s, f)
	}
	for i := range s { // drawn for a minute
		s[i].Start = time.Duration(float64(s[i].Start) * run.opt.Duration.Minutes())
		s[i].Duration = time.Duration(float64(s[i].Duration) * run.opt.Duration.Minutes())
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.Start - b.Start) })
	return s
}

// Kinds names all kinds of fault.
func FaultKinds() []string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.name
	}
	return names
}

// Scriptable names all kinds that a script may hold.
func ScriptableFaultKinds() []string {
	names := FaultKinds()
	for _, k := range rehearsed {
		names = append(names, k.name)
	}
	return names
}

// play has a script happen.
func (run *run) play(script []Fault) {
	for i, f := range script {
		run.count("fault " + f.Kind)
		for _, g := range script[:i] {
			if f.Start < g.Start+g.Duration {
				a, b := min(f.Kind, g.Kind), max(f.Kind, g.Kind)
				run.pairs[a+" + "+b]++
			}
		}
		for _, k := range slices.Concat(kinds, rehearsed) {
			if k.name != f.Kind {
				continue
			}
			run.w.at(epoch+f.Start, func() {
				if run.w.trace != nil {
					run.w.note("fault %s begins", f.Kind)
				}
				if end := k.begin(run, f); end != nil {
					run.w.at(min(epoch+f.Start+f.Duration, epoch+run.opt.Duration), func() {
						end()
						if run.w.trace != nil {
							run.w.note("fault %s ends", f.Kind)
						}
					})
				}
			})
		}
	}
}
