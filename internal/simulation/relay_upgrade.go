package simulation

import (
	"fmt"
	"time"

	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/hotrestart"
)

// upgradeRelay starts another process of a relay beside the running one, as a hot restart of package relay does:
// the successor gets the state and all new connections, and the predecessor shuts down after the given delay.
func (run *run) upgradeRelay(r *relay, after time.Duration) {
	if !r.up || r.paused || r.shuttingDown || r.predecessor != nil || run.closing {
		return
	}
	run.count("relay upgraded")
	run.startSuccessor(r)
	run.engine.schedule(after, r.whileRunning(func() {
		r.shuttingDown = true
		if run.hasMutation(MutationUpgradeDropsSessions) {
			r.kill()
			r.completeUpgrade()
			return
		}
		r.post(r.controller.Shutdown)
		run.engine.schedule(shutdownTimeout, r.whileRunning(func() {
			r.kill()
			r.completeUpgrade()
		}))
	}))
}

// startSuccessor starts the successor in a hot restart with the state of its predecessor.
func (run *run) startSuccessor(r *relay) {
	state, err := r.controller.ExportState(run.engine.now)
	if err != nil {
		panic(fmt.Sprintf("simulation: relay %s cannot export its state: %v", r.name, err))
	}
	successor := &relay{
		host:           run.engine.newHost(r.name, "").withNode(fault.Relays, r.number),
		run:            run,
		number:         r.number,
		cfg:            r.cfg,
		lowDescriptors: r.lowDescriptors,
		knownEndpoints: r.knownEndpoints,
		predecessor:    r,
	}
	successor.onAccept = successor.acceptConn
	if len(successor.knownEndpoints) > 0 {
		successor.cfg.CachedEndpoints = encodeEndpoints(0, true, successor.knownEndpoints)
	}
	run.checker.RelayHotRestarted(r.number)
	successor.boot()
	if err := successor.controller.RestoreState(run.engine.now, state); err != nil {
		panic(fmt.Sprintf("simulation: relay %s cannot restore the state of its predecessor: %v", r.name, err))
	}
	successor.controller.SetDescriptors(successor.cfg.MaxDescriptors)
	run.relays[r.number], r.successor = successor, successor
	r.controller.SuccessorConnected(run.engine.now)
	r.controller.SetReplaced(true)
	r.controller.HandleSuccessorMessage(run.engine.now, hotrestart.IDMessage{Kind: hotrestart.ShareIDs})
	successor.joinMembership()
	r.syncSuccessor()
}

// syncSuccessor sends the predecessor's descriptor count and load to the successor in a hot restart at regular intervals.
func (r *relay) syncSuccessor() {
	successor := r.successor
	load, err := r.controller.ExportLoad()
	if err != nil {
		panic(fmt.Sprintf("simulation: relay %s cannot export its load: %v", r.name, err))
	}
	descriptors := min(len(r.conns)+controller.ReservedDescriptors, r.cfg.MaxDescriptors-controller.ReservedDescriptors)
	successor.post(func(now time.Duration) {
		successor.controller.SetOtherProcessDescriptors(now, descriptors)
		_ = successor.controller.ImportLoad(now, load)
	})
	r.engine.schedule(successorSyncInterval, r.whileRunning(r.syncSuccessor))
}

// completeUpgrade clears the predecessor's descriptors and load in the successor of a hot restart: the predecessor has ended.
func (r *relay) completeUpgrade() {
	successor := r.successor
	successor.predecessor = nil
	if successor.up {
		successor.post(successor.controller.PredecessorExited)
	}
}
