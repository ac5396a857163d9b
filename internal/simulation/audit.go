package simulation

import (
	"fmt"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/metrics"
)

// startChecker creates the checker.
func (run *run) startChecker(size installationSize) {
	run.nominalConnections = float64(size.clients) / float64(size.backends)
	now := func() time.Duration { return run.engine.now }
	run.checker = invariant.New(run.limits(), size.relays, now, run.engine.schedule)
}

// checkPeriodically checks every second for missed deadlines, inconsistent state and wrong metrics.
func (run *run) checkPeriodically() {
	run.checker.CheckOverdue()
	for _, r := range run.relays {
		if n := len(r.conns); r.up && r.lowDescriptors && n > r.cfg.MaxDescriptors {
			run.reportViolation("descriptors", "%s has %d open sockets, its limit is %d", r.name, n, r.cfg.MaxDescriptors)
		}
		if r.up {
			if err := checkBalancer(r.controller); err != nil {
				run.reportViolation("books", "%s: %v", r.name, err)
			}
		}
		run.checkMetrics(r)
	}
	run.engine.schedule(time.Second, run.checkPeriodically)
}

// reportViolation records the violation of a rule that cannot be checked on the bytes of a connection.
func (run *run) reportViolation(rule, format string, args ...any) {
	run.checker.Violations = append(run.checker.Violations, invariant.Violation{Rule: rule, At: run.engine.now - epoch,
		Detail: fmt.Sprintf(format, args...)})
}

// checkMetrics compares the metrics of a relay with what the checker has observed.
func (run *run) checkMetrics(r *relay) {
	if !r.up || r.paused { // a paused relay has events waiting that its metrics do not count yet
		return
	}
	reported, observed := r.controller.Metrics().Snapshot(), run.checker.Observed(r.number)
	run.checkOutcomes(r, reported.Classes, observed)
	if int(reported.Dispatches) != observed.Attempts {
		run.reportViolation("figures", "%s reports %d attempts, its backends received %d", r.name, reported.Dispatches, observed.Attempts)
	}
	if n := float64(reported.Concurrent); n < 0.9*float64(observed.MinConnections)-3 || n > 1.1*float64(observed.MaxConnections)+3 {
		run.reportViolation("figures", "%s reports %d sessions, the checker observed %d to %d", r.name, reported.Concurrent,
			observed.MinConnections, observed.MaxConnections)
	}
	if observed.ListStable && (int(reported.Backends) != observed.Listed || reported.UnavailableBackends > reported.Backends ||
		int(reported.UnavailableBackends) < observed.Draining) {
		run.reportViolation("figures", "%s reports %d backends, %d avoided; its endpoint list has %d, %d draining", r.name, reported.Backends,
			reported.UnavailableBackends, observed.Listed, observed.Draining)
	}
	if int(reported.ReloadSuccess) != r.reloadCount || int(reported.ReloadFailure) != r.rejectedReloads {
		run.reportViolation("figures", "%s reports %d accepted and %d rejected reloads, there were %d and %d", r.name, reported.ReloadSuccess,
			reported.ReloadFailure, r.reloadCount, r.rejectedReloads)
	}
}

// checkOutcomes compares the final answers by class. An answer that the checker cannot attribute with certainty may be
// counted under any class and outcome, but only once.
func (run *run) checkOutcomes(r *relay, classes []metrics.ClassCounts, observed invariant.Observed) {
	ambiguous := observed.Ambiguous
	compare := func(what string, reported int64, counted int) {
		excess := int(reported) - counted
		if excess < 0 || excess > ambiguous {
			run.reportViolation("figures", "%s reports %d %s, the checker counted %d, and %d that it could not attribute", r.name, reported, what,
				counted, observed.Ambiguous)
			return
		}
		ambiguous -= excess
	}
	for _, class := range classes {
		compare(class.Name+" success", class.Success, observed.Success[class.Name])
		compare(class.Name+" overload", class.Overload, observed.Overload[class.Name])
		compare(class.Name+" error", class.Error, observed.Error[class.Name])
	}
}

// checkBalancer checks the balancer's internal invariants. Baseline policies have none.
func checkBalancer(c *controller.Controller) error {
	if b, ok := c.Balancer().(*balance.Balancer); ok {
		return b.CheckInvariants()
	}
	return nil
}

// audit checks at the end of the run that each relay has released its sessions, connections and timers.
func (run *run) audit() {
	for _, r := range run.relays {
		if r.up {
			run.auditRelay(r)
		}
	}
}

func (run *run) auditRelay(r *relay) {
	for _, c := range r.healthChecks.DropAllIdle() {
		c.(*connEnd).close()
	}
	report := func(rule, format string, args ...any) { run.reportViolation(rule, r.name+": "+format, args...) }
	if n := r.controller.SessionCount(); n != 0 || r.sessionCount != 0 || r.handshakes.Len() != 0 || len(r.sessions) != 0 {
		report("leak", "%d sessions in the controller, %d towards the limit, %d with a driver, %d in the handshake", n, r.sessionCount,
			len(r.sessions), r.handshakes.Len())
	}
	if n := run.checker.OpenConnections(r.number); n != 0 {
		report("leak", "%d connections are still open", n)
	}
	if err := checkBalancer(r.controller); err != nil {
		report("books", "%v", err)
	}
	if all, byBackend := r.controller.Balancer().Connections(); all != 0 || byBackend != 0 {
		report("books", "the balancer still counts %d connections, the sum over its backends is %d", all, byBackend)
	}
	allowed := idleTimers
	if r.run.membership {
		allowed++ // the next tick of the protocol
	}
	if n := r.controller.TimerCount(); n > allowed {
		report("leak", "%d timers are set, an idle relay has at most %d", n, allowed)
	}
	if n := r.controller.Metrics().Snapshot().Concurrent; n != 0 {
		report("figures", "the metrics still report %d sessions", n)
	}
}

// idleTimers is the number of timers of a relay without sessions: the balancer's tick and the metrics.
const idleTimers = 2
