package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
)

// membershipFaultKinds are the kinds that are drawn only for runs with membership.
var membershipFaultKinds = []faultKind{
	{"relay paused", pauseRelays},
	{"relay link cut one way", cutRelayLinksOneWay},
	{"relays partitioned", partitionRelays},
	{"relay links flapping", flapRelayLinks},
	{"half the relays killed", killHalfOfRelays},
	{"relay stays down", keepRelayDown},
	{"relay datagrams impaired", impairRelayDatagrams},
}

// maxMembershipFaults is how many faults of membership are drawn for a run, besides the others.
const maxMembershipFaults = 3

// drawMembershipFaults draws one to three faults of membership.
func (run *run) drawMembershipFaults() (script []Fault) {
	if !run.membership {
		return nil
	}
	rng, minutes := run.membershipRand, run.options.Duration.Minutes()
	between := func(shortest, longest time.Duration) time.Duration {
		return time.Duration(minutes * float64(shortest+time.Duration(rng.Int64N(int64(longest-shortest)))))
	}
	for range 1 + rng.IntN(maxMembershipFaults) {
		script = append(script, fault.Fault{
			Kind:     membershipFaultKinds[rng.IntN(len(membershipFaultKinds))].name,
			Start:    between(5*time.Second, 45*time.Second),
			Duration: between(time.Second, 14*time.Second),
			Target:   rng.IntN(64),
			Severity: rng.Float64(),
		})
	}
	return script
}

// pauseRelays pauses a relay once or, above a severity of 0.5, several relays by turns, for 0.2 to 5 s each.
func pauseRelays(run *run, f Fault) (end func()) {
	const shortest, longest = 200 * time.Millisecond, 5 * time.Second
	length := max(shortest, min(longest, f.Duration/2))
	pauses := 1
	if f.Severity > 0.5 {
		pauses = 3
	}
	for i := range pauses {
		run.engine.schedule(time.Duration(i)*length, func() { run.relays[(f.Target+i)%len(run.relays)].pause(length) })
	}
	return nil
}

// cutRelayLinks cuts the links for which affected returns true. The returned function mends them.
func (run *run) cutRelayLinks(affected func(from, to int) bool) (mend func()) {
	if run.relayCuts == nil {
		return nil
	}
	change := func(by int) {
		for from := range run.relayCuts {
			for to := range run.relayCuts {
				if affected(from, to) {
					run.relayCuts[from][to] += by
				}
			}
		}
		run.reportLinks()
	}
	change(1)
	return func() { change(-1) }
}

// cutRelayLinksOneWay cuts what a relay sends to another or, above a severity of 0.4, to all others, and above 0.7 what it
// receives from them.
func cutRelayLinksOneWay(run *run, f Fault) (end func()) {
	const toAll, fromAll = 0.4, 0.7
	relay, other := f.Target%len(run.relays), (f.Target+1)%len(run.relays)
	return run.cutRelayLinks(func(from, to int) bool {
		switch {
		case f.Severity > fromAll:
			return to == relay
		case f.Severity > toAll:
			return from == relay
		default:
			return from == relay && to == other
		}
	})
}

// partitionRelays partitions the relays into two halves.
func partitionRelays(run *run, f Fault) (end func()) {
	half := func(i int) bool { return (i+f.Target)%len(run.relays) < len(run.relays)/2 }
	return run.cutRelayLinks(func(from, to int) bool { return half(from) != half(to) })
}

// flapRelayLinks cuts and mends the links of a relay repeatedly: those in both directions or, above a severity of 0.5, only
// what the relay receives.
func flapRelayLinks(run *run, f Fault) (end func()) {
	const shortest, perSeverity = 300 * time.Millisecond, 3 * time.Second
	interval := shortest + time.Duration(f.Severity*float64(perSeverity))
	relay, ended := f.Target%len(run.relays), false
	var mend func()
	var toggle func()
	toggle = func() {
		switch {
		case mend != nil:
			mend()
			mend = nil
		case !ended:
			mend = run.cutRelayLinks(func(from, to int) bool { return to == relay || from == relay && f.Severity <= 0.5 })
		}
		if !ended {
			run.engine.schedule(interval, toggle)
		}
	}
	toggle()
	return func() {
		ended = true
		if mend != nil {
			mend()
			mend = nil
		}
	}
}

// minDowntime is for how long relays that are killed for a rule of membership stay down: longer than others may take to
// notice.
const minDowntime = 7 * time.Second

// killHalfOfRelays kills half of the relays at once.
func killHalfOfRelays(run *run, f Fault) (end func()) {
	for i := range max(1, len(run.relays)/2) {
		run.killForDowntime((f.Target+i)%len(run.relays), f)
	}
	return nil
}

// keepRelayDown kills a relay, or takes its machine off the network, and starts it again later.
func keepRelayDown(run *run, f Fault) (end func()) {
	run.killForDowntime(f.Target%len(run.relays), f)
	return nil
}

// killForDowntime kills a relay or, above a severity of 0.5, takes its machine off the network, for minDowntime or longer.
func (run *run) killForDowntime(number int, f Fault) {
	r := run.relays[number]
	run.stopRelay(r, f.Severity > 0.5)
	run.engine.schedule(minDowntime+f.Duration/2, func() { run.startRelay(run.relays[number]) })
}

// impairRelayDatagrams loses up to a fifth of the datagrams between relays, duplicates some, and delays them by up to half a
// second.
func impairRelayDatagrams(run *run, f Fault) (end func()) {
	run.datagramImpairment = datagramImpairment{
		lossRate:      f.Severity * (excusingLossRate - normalLossRate),
		duplicateRate: 0.05 * f.Severity,
		maxDelay:      time.Duration(f.Severity * float64(excusingDelay-normalDatagramDelay)),
	}
	return func() { run.datagramImpairment = datagramImpairment{} }
}
