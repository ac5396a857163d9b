package simulation

import (
	"time"

	"aspenbarrow/balance"
)

// killRelay kills a relay's process and starts it again a while later.
func killRelay(run *run, f Fault) (end func()) {
	r := run.relays[f.Target%len(run.relays)]
	run.stopRelay(r, false)
	run.engine.schedule(500*time.Millisecond+f.Duration/4, func() { run.startRelay(r) })
	return nil
}

// disconnectRelay takes a relay's machine off the network and starts it again a while later.
func disconnectRelay(run *run, f Fault) (end func()) {
	r := run.relays[f.Target%len(run.relays)]
	run.stopRelay(r, true)
	run.engine.schedule(time.Second+f.Duration/2, func() { run.startRelay(r) })
	return nil
}

// restartRelaysInTurn restarts all relays, one after the other.
func restartRelaysInTurn(run *run, f Fault) (end func()) {
	for i := range run.relays {
		r := run.relays[(f.Target+i)%len(run.relays)]
		run.engine.schedule(time.Duration(i)*(3*time.Second+f.Duration/4), func() { run.restartRelay(r) })
	}
	return nil
}

// reloadToOtherAgent has a relay reload with its other discovery agent.
func reloadToOtherAgent(run *run, f Fault) (end func()) {
	r := run.relays[f.Target%len(run.relays)]
	run.reloadRelay(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB)
	return nil
}

// changeSettingsTemporarily has all relays load other settings, and the original ones again classRolloutDelay after the end.
// It does nothing with Options.Installation, or while an earlier change is in force.
func changeSettingsTemporarily(run *run, f Fault) (end func()) {
	changed := len(run.relays[0].cfg.Settings.Classes) > len(run.settings.Classes)
	if run.options.Installation != nil || changed {
		return nil
	}
	idempotency := []balance.Idempotency{balance.Idempotent, balance.NonIdempotent}[f.Target%2]
	run.baseClassesOnly = false
	run.changeSettings(true, idempotency, 1+int(f.Severity*4))
	return func() {
		run.baseClassesOnly = true
		for i, c := range run.clients {
			if c.class == len(run.classes)-1 {
				c.class = i % len(run.settings.Classes)
			}
		}
		run.engine.schedule(classRolloutDelay, func() { run.changeSettings(false, 0, 0) })
	}
}

// upgradeRelays performs hot restarts of one or several relays, up to two of each in a row.
func upgradeRelays(run *run, f Fault) (end func()) {
	for i := range 1 + int(f.Severity*3) {
		number := (f.Target + i/2) % len(run.relays) // up to two hot restarts of each relay
		run.engine.schedule(time.Duration(i)*(4*time.Second+f.Duration/8), func() {
			run.upgradeRelay(run.relays[number], f.Duration/10)
		})
	}
	return nil
}

// drainRelay drains a relay and ends the drain.
func drainRelay(run *run, f Fault) (end func()) {
	r := run.relays[f.Target%len(run.relays)]
	run.setRelayDrained(r, true)
	return func() {
		run.setRelayDrained(r, false)
		run.checkReadyAfterDrain(r)
	}
}

// toggleRelayDrain drains relays and ends their drains repeatedly, with a reload and a restart in between.
func toggleRelayDrain(run *run, f Fault) (end func()) {
	for i := range 1 + int(f.Severity*6) {
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
}

// reloadDuringShutdown has a relay reload while it shuts down.
func reloadDuringShutdown(run *run, f Fault) (end func()) {
	r := run.relays[f.Target%len(run.relays)]
	run.restartRelay(r)
	run.engine.schedule(f.Duration/20, func() { run.reloadRelay(r, true, r.cfg.MaxDescriptors, r.cfg.MemoryMB) })
	return nil
}

// lowerDescriptorLimit lowers the descriptor limit of all relays.
func lowerDescriptorLimit(run *run, f Fault) (end func()) {
	for _, r := range run.relays {
		run.reloadRelay(r, false, 48+int(f.Severity*80), r.cfg.MemoryMB)
	}
	return func() {
		for _, r := range run.relays {
			run.reloadRelay(r, false, defaultDescriptors, r.cfg.MemoryMB)
		}
	}
}

// lowerMemoryLimit lowers the memory limit of all relays.
func lowerMemoryLimit(run *run, f Fault) (end func()) {
	for _, r := range run.relays {
		run.reloadRelay(r, false, r.cfg.MaxDescriptors, 1+int(f.Severity*4))
	}
	return func() {
		for _, r := range run.relays {
			run.reloadRelay(r, false, r.cfg.MaxDescriptors, defaultMemoryMB)
		}
	}
}

// killRelays kills several relays at once.
func killRelays(run *run, f Fault) (end func()) {
	targets := f.Targets
	if targets == nil {
		for i := range 1 + int(f.Severity*float64(len(run.relays)-1)) {
			targets = append(targets, (f.Target+i)%len(run.relays))
		}
	}
	for _, i := range targets {
		r := run.relays[i]
		run.stopRelay(r, false)
		run.engine.schedule(f.Duration, func() { run.startRelay(r) })
	}
	return nil
}
