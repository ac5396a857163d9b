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

// checkPeriodically checks every second for missed deadlines and inconsistent state.
func (run *run) checkPeriodically() {
	run.checker.CheckOverdue()
	for _, r := range run.relays {
		if n := len(r.conns); r.up && r.lowDescriptors && n > r.cfg.MaxDescriptors {
			run.reportViolation("descriptors", "%s holds %d sockets of %d", r.name, n, r.cfg.MaxDescriptors)
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

// reportViolation records a broken rule that shows on no connection.
func (run *run) reportViolation(rule, format string, args ...any) {
	run.checker.Violations = append(run.checker.Violations, invariant.Violation{Rule: rule, At: run.engine.now - epoch,
		Detail: fmt.Sprintf(format, args...)})
}

// checkMetrics compares the metrics of a relay with what the checker has observed.
func (run *run) checkMetrics(r *relay) {
	if !r.up {
		return
	}
	reported, observed := r.controller.Metrics().Snapshot(), run.checker.Observed(r.number)
	run.checkOutcomes(r, reported.Classes, observed)
	if int(reported.Dispatches) != observed.Attempts {
		run.reportViolation("figures", "%s reports %d dispatches, backends got %d", r.name, reported.Dispatches, observed.Attempts)
	}
	if n := float64(reported.Concurrent); n < 0.9*float64(observed.MinConnections)-3 || n > 1.1*float64(observed.MaxConnections)+3 {
		run.reportViolation("figures", "%s reports %d connections, an onlooker sees %d to %d", r.name, reported.Concurrent,
			observed.MinConnections, observed.MaxConnections)
	}
	if observed.ListStable && (int(reported.Targets) != observed.Listed || reported.TargetsDisabled > reported.Targets ||
		int(reported.TargetsDisabled) < observed.Draining) {
		run.reportViolation("figures", "%s reports %d backends, %d avoided; it was told of %d, %d draining", r.name, reported.Targets,
			reported.TargetsDisabled, observed.Listed, observed.Draining)
	}
	if int(reported.ReloadSuccess) != r.reloadCount || int(reported.ReloadFailure) != r.rejectedReloads {
		run.reportViolation("figures", "%s reports %d files taken and %d turned down, of %d and %d", r.name, reported.ReloadSuccess,
			reported.ReloadFailure, r.reloadCount, r.rejectedReloads)
	}
}

// checkOutcomes compares the final answers by class. What the checker cannot attribute for certain may be counted
// anywhere, but only once.
func (run *run) checkOutcomes(r *relay, classes []metrics.ClassCounts, observed invariant.Observed) {
	spare := observed.Ambiguous
	compare := func(what string, reported int64, counted int) {
		excess := int(reported) - counted
		if excess < 0 || excess > spare {
			run.reportViolation("figures", "%s reports %d %s, an onlooker counted %d, and %d in any way", r.name, reported, what,
				counted, observed.Ambiguous)
			return
		}
		spare -= excess
	}
	for _, class := range classes {
		compare(class.Name+" success", class.Success, observed.Success[class.Name])
		compare(class.Name+" overload", class.Overload, observed.Overload[class.Name])
		compare(class.Name+" error", class.Error, observed.Error[class.Name])
	}
}

// checkBalancer checks the balancer's internal invariants. Baseline policies have none.
func checkBalancer(n *controller.Controller) error {
	if b, ok := n.Balancer().(*balance.Balancer); ok {
		return b.CheckInvariants()
	}
	return nil
}

// audit looks for what the relays have left behind at the end.
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
		report("leak", "%d flows in the books, %d counted, %d driven, %d guests", n, r.sessionCount, len(r.sessions), r.handshakes.Len())
	}
	if n := run.checker.OpenConnections(r.number); n != 0 {
		report("leak", "%d connections are open", n)
	}
	if err := checkBalancer(r.controller); err != nil {
		report("books", "%v", err)
	}
	if all, byServer := r.controller.Balancer().Connections(); all != 0 || byServer != 0 {
		report("books", "T counts %d connections, by server %d", all, byServer)
	}
	if n := r.controller.TimerCount(); n > idleTimers {
		report("leak", "%d timers", n)
	}
	if n := r.controller.Metrics().Snapshot().Concurrent; n != 0 {
		report("figures", "%d connections are reported when none is left", n)
	}
}

// idleTimers are those of a relay without sessions: the balancer's tick and the metrics.
const idleTimers = 2
