package simulation

import (
	"slices"
	"time"

	"aspenbarrow/internal/fault"
)

// Fault is one fault of a run.
type Fault = fault.Fault

// faultKind is a kind of fault. begin starts a fault and may return a function that ends it, which is called at the end
// of the load at the latest.
type faultKind struct {
	name  string
	begin func(run *run, f Fault) (end func())
}

// faultKinds are the kinds that are drawn from seeds. Seeds select them by index, so their order must not change.
var faultKinds = []faultKind{
	{"relay killed", killRelay},
	{"relay vanished", disconnectRelay},
	{"rolling restart", restartRelaysInTurn},
	{"reload to another agent", reloadToOtherAgent},
	{"settings change", changeSettingsTemporarily},
	{"relay upgraded", upgradeRelays},
	{"relay drained", drainRelay},
	{"relay drained and not", toggleRelayDrain},
	{"reload while leaving", reloadDuringShutdown},
	{"few descriptors", lowerDescriptorLimit},
	{"little memory", lowerMemoryLimit},
	{"backends stop reading", onSomeBackends(stopBackendReading)},
	{"list late", delayDiscovery},
	{"list out", silenceDiscovery},
	{"backends slow", onSomeBackends(slowBackend)},
	{"backends paused", onSomeBackends(pauseBackend)},
	{"backends vanished", onSomeBackends(disconnectBackend)},
	{"backends die", onSomeBackends(crashBackend)},
	{"backends failing fast", onSomeBackends(failBackendRequests)},
	{"backends resetting", onSomeBackends(resetBackendConnections)},
	{"backends full", onSomeBackends(fillBackend)},
	{"all backends full", fillAllBackends},
	{"backends drain", onSomeBackends(drainAndRestartBackend)},
	{"backends start", startBackends},
	{"datagrams lost", loseDatagrams},
	{"network slow", slowNetwork},
	{"SYNs lost", loseSYNs},
	{"network resets", resetConnections},
	{"everything slow", slowAllBackends},
	{"burst", startBurst},
	{"hot key", shareHotKey},
	{"clients break off", disconnectClients},
	{"bad clients", startMisbehavingClients},
}

// AcceptsTargets reports whether a script may list the targets of a fault of this kind.
func AcceptsTargets(kind string) bool { return kind == "link" || kind == "relays die together" }

// scriptOnlyFaultKinds are kinds that are never drawn. Most need Options.Installation; the last two would change the faults
// of every seed, and with them the runs that KNOWN-RED.txt names.
var scriptOnlyFaultKinds = []faultKind{
	{"shared dependency slow", slowDependency},
	{"relays die together", killRelays},
	{"link", failLink},
	{"power cut", cutBackendPower},
	{"zone cut off", disconnectZone},
	{fault.KindUnfinishedAnswers, onSomeBackends(spoilAnswers(fault.UnfinishedAnswer))},
	{fault.KindOverlongAnswers, onSomeBackends(spoilAnswers(fault.OverlongAnswer))},
}

// drawScript draws one to six faults. Half of those after the first start close to an earlier one.
func (run *run) drawScript() []Fault {
	const earliest, latest = 5 * time.Second, 42 * time.Second
	engine, rng := run.engine, run.engine.rng
	var script []Fault
	for range 1 + rng.IntN(6) {
		f := Fault{
			Kind:     faultKinds[rng.IntN(len(faultKinds))].name,
			Start:    engine.randomDuration(earliest, latest),
			Duration: engine.randomDuration(2*time.Second, 14*time.Second),
			Target:   rng.IntN(64),
			Severity: rng.Float64(),
		}
		if len(script) > 0 && rng.IntN(2) == 0 {
			near := script[rng.IntN(len(script))].Start + engine.randomDuration(-time.Second, 2*time.Second)
			f.Start = min(latest, max(earliest, near))
		}
		script = append(script, f)
	}
	for i := range script { // the times above are for a run of one minute
		script[i].Start = time.Duration(float64(script[i].Start) * run.options.Duration.Minutes())
		script[i].Duration = time.Duration(float64(script[i].Duration) * run.options.Duration.Minutes())
	}
	slices.SortStableFunc(script, func(a, b Fault) int { return int(a.Start - b.Start) })
	return script
}

// FaultKinds returns the names of the kinds that are drawn from seeds, those of runs with membership included.
func FaultKinds() []string {
	var names []string
	for _, k := range slices.Concat(faultKinds, membershipFaultKinds) {
		names = append(names, k.name)
	}
	return names
}

// ScriptableFaultKinds returns the names of all kinds that a script may contain.
func ScriptableFaultKinds() []string {
	names := FaultKinds()
	for _, k := range scriptOnlyFaultKinds {
		names = append(names, k.name)
	}
	return names
}

// scheduleFaults schedules the faults of a script and counts the pairs of kinds that overlap.
func (run *run) scheduleFaults(script []Fault) {
	kinds := slices.Concat(faultKinds, membershipFaultKinds, scriptOnlyFaultKinds)
	for i, f := range script {
		run.count("fault " + f.Kind)
		for _, earlier := range script[:i] {
			if f.Start < earlier.Start+earlier.Duration {
				first, second := min(f.Kind, earlier.Kind), max(f.Kind, earlier.Kind)
				run.faultPairs[first+" + "+second]++
			}
		}
		for _, kind := range kinds {
			if kind.name == f.Kind {
				run.scheduleFault(kind, f)
			}
		}
	}
}

// scheduleFault schedules the beginning and, if the kind has one, the end of a fault.
func (run *run) scheduleFault(kind faultKind, f Fault) {
	run.engine.scheduleAt(epoch+f.Start, func() {
		if run.engine.trace != nil {
			run.engine.tracef("fault %s begins", f.Kind)
		}
		end := kind.begin(run, f)
		if end == nil {
			return
		}
		run.engine.scheduleAt(min(epoch+f.Start+f.Duration, epoch+run.options.Duration), func() {
			end()
			if run.engine.trace != nil {
				run.engine.tracef("fault %s ends", f.Kind)
			}
		})
	})
}
