package simulation

import "time"

// delayDiscovery delays the updates that the discovery agents receive.
func delayDiscovery(run *run, f Fault) (end func()) {
	previous := run.catalog.publishDelay
	run.catalog.publishDelay = time.Second + time.Duration(f.Severity*float64(6*time.Second))
	return func() { run.catalog.publishDelay = previous }
}

// silenceDiscovery makes the agents of one relay stop answering or, above a severity of 0.5, all agents.
func silenceDiscovery(run *run, f Fault) (end func()) {
	var silenced []*discoveryAgent
	for _, a := range run.catalog.agents {
		if f.Severity > 0.5 || a.relay == f.Target%len(run.relays) {
			a.setUnavailable(true)
			silenced = append(silenced, a)
		}
	}
	return func() {
		for _, a := range silenced {
			a.setUnavailable(false)
		}
	}
}

// loseDatagrams loses datagrams between relays.
func loseDatagrams(run *run, f Fault) (end func()) {
	run.engine.conditions.datagramLossRate = 0.3 + 0.7*f.Severity
	return func() { run.engine.conditions.datagramLossRate = 0 }
}

// slowNetwork raises the latency of the network.
func slowNetwork(run *run, f Fault) (end func()) {
	run.engine.conditions.latencyFactor = 3 + 20*f.Severity
	return func() { run.engine.conditions.latencyFactor = 1 }
}

// loseSYNs loses a share of the SYNs, so that those connections are never established.
func loseSYNs(run *run, f Fault) (end func()) {
	run.engine.conditions.synLossRate = 0.1 + 0.4*f.Severity
	return func() { run.engine.conditions.synLossRate = 0 }
}

// resetConnections makes a share of the segments reset their connections.
func resetConnections(run *run, f Fault) (end func()) {
	run.engine.conditions.resetRate = 0.002 + 0.02*f.Severity
	return func() { run.engine.conditions.resetRate = 0 }
}

// failLink impairs a link.
func failLink(run *run, f Fault) (end func()) {
	run.engine.linkFaults = append(run.engine.linkFaults, linkFault{f.Link, min(epoch+f.Start+f.Duration, epoch+run.options.Duration)})
	return nil // linkFault.until ends it
}
