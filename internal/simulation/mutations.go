package simulation

import (
	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
)

// Mutation names a deliberate defect of every relay of a run. Tests check that the invariant checker reports each
// mutation by the rule that it violates; without that, a checker that reports nothing would pass. Only tests set one.
type Mutation string

// The mutations.
const (
	NoMutation                        Mutation = ""
	MutationSecondAnswer              Mutation = "second-answer" // the final answer is sent twice
	MutationLateAnswer                Mutation = "late-answer"   // the final answer is sent 60 ms after the checker's limit
	MutationLostAnswer                Mutation = "lost-answer"   // ERR is not sent
	MutationExtraAttempt              Mutation = "fifth-attempt" // one attempt more than the settings allow
	MutationOverlappingAttempts       Mutation = "overlap"       // a second attempt before the first has ended
	MutationRetryNonIdempotent        Mutation = "unsafe-repeat" // requests that are not idempotent are retried
	MutationRetryOutsideDedupScope    Mutation = "out-of-scope"  // keyed requests are retried outside their deduplication scope
	MutationLateDrain                 Mutation = "late-drain"    // a backend's drain takes effect 60 ms after the checker's limit
	MutationNoSlowStart               Mutation = "cold-flood"    // no backend has a slow start
	MutationMoveInsideLine            Mutation = "move-in-line"  // MOVE is sent in the middle of a line
	MutationSessionLeak               Mutation = "flow-leak"     // the controller is not notified of closed sessions
	MutationLoadMiscounted            Mutation = "books"         // a cancelled attempt stays in the tracked load
	MutationStaleDiscovery            Mutation = "old-watch"     // a reload does not change the discovery agent
	MutationDelayedLines              Mutation = "held-line"     // lines from backends are delayed by 1.2 s
	MutationForgedUp                  Mutation = "made-up"       // the client gets an UP that no backend sent
	MutationMigrateWithoutMove        Mutation = "cut-off"       // sessions migrate without MOVE
	MutationRetryPolicyIgnored        Mutation = "timing"        // the routes' retry policies are ignored
	MutationDescriptorLeak            Mutation = "descriptor"    // the connection of a failed attempt stays open
	MutationRefusalsUncounted         Mutation = "count-lobby"   // requests refused by a full relay are not counted
	MutationAbandonedStayCounted      Mutation = "count-gone"    // a client that disconnects before its answer stays counted
	MutationAttemptsUndercounted      Mutation = "count-attempt" // one attempt in fifty is not counted
	MutationReloadsUncounted          Mutation = "count-reload"  // accepted configurations are not counted
	MutationShutdownAttemptsUncounted Mutation = "count-leaving" // a relay that shuts down counts no attempts
	MutationDrainKeepsSessions        Mutation = "drain-holds"   // a drained relay migrates no sessions
	MutationStaleIdempotency          Mutation = "old-rules"     // the idempotency of classes that a reload adds is ignored
	MutationUpgradeDropsSessions      Mutation = "hand-over"     // the predecessor in a hot restart exits with its sessions open
	MutationLateClientClose           Mutation = "left-late"     // a client's close is handled 0.4 s late
	MutationDrainedReportsReady       Mutation = "drain-yes"     // a drained relay answers PONG
)

// Mutations maps mutations to the rules of which at least one must report the mutation.
var Mutations = map[Mutation][]string{
	MutationSecondAnswer:              {"after-answer"},
	MutationLateAnswer:                {"late-answer"},
	MutationLostAnswer:                {"no-answer"},
	MutationExtraAttempt:              {"attempt-limit"},
	MutationOverlappingAttempts:       {"overlap"},
	MutationRetryNonIdempotent:        {"unsafe-repeat"},
	MutationRetryOutsideDedupScope:    {"keyed-repeat"},
	MutationLateDrain:                 {"drain"},
	MutationNoSlowStart:               {"cold"},
	MutationMoveInsideLine:            {"move-in-line"},
	MutationSessionLeak:               {"leak"},
	MutationLoadMiscounted:            {"books"},
	MutationStaleDiscovery:            {"drain"},
	MutationDelayedLines:              {"held-line"},
	MutationForgedUp:                  {"made-up"},
	MutationMigrateWithoutMove:        {"cut-off"},
	MutationDescriptorLeak:            {"leak", "overlap"},
	MutationRefusalsUncounted:         {"figures"},
	MutationAbandonedStayCounted:      {"figures"},
	MutationAttemptsUndercounted:      {"figures"},
	MutationReloadsUncounted:          {"figures"},
	MutationShutdownAttemptsUncounted: {"figures"},
	MutationDrainKeepsSessions:        {"drained"},
	MutationDrainedReportsReady:       {"drained"},
	MutationLateClientClose:           {"left"},
	MutationUpgradeDropsSessions:      {"cut-off", "no-answer"},
	MutationStaleIdempotency:          {"unsafe-repeat"},

	MutationMembershipNoRefutation:      {"membership-refutation"},
	MutationMembershipIncarnationKept:   {"membership-refutation"},
	MutationMembershipNoDeath:           {"membership-completeness"},
	MutationMembershipWrongTarget:       {"membership-completeness"},
	MutationMembershipStallUnnoticed:    {"membership-accuracy"},
	MutationMembershipSilentLeave:       {"membership-leave"},
	MutationMembershipDeadNotPinged:     {"membership-accuracy", "membership-convergence"},
	MutationMembershipReturnIgnored:     {"membership-convergence"},
	MutationMembershipLargeDatagrams:    {"membership-size"},
	MutationMembershipRepeatedDatagrams: {"membership-size"},
}

// hasMutation reports whether the relays of the run have the mutation.
func (run *run) hasMutation(mutation Mutation) bool { return run.options.Mutation == mutation }

// mutate returns the configuration with the changes that the run's mutation makes to it.
func (r *relay) mutate(cfg controller.Config) controller.Config {
	s := &cfg.Settings
	switch r.run.options.Mutation {
	case MutationExtraAttempt:
		s.MaxAttempts++
	case MutationRetryNonIdempotent, MutationRetryOutsideDedupScope:
		s.Classes = append([]balance.Class(nil), s.Classes...)
		for i := range s.Classes {
			c := &s.Classes[i]
			if r.run.hasMutation(MutationRetryNonIdempotent) && c.Idempotency == balance.NonIdempotent {
				c.Idempotency = balance.Idempotent
			}
			if r.run.hasMutation(MutationRetryOutsideDedupScope) {
				c.DedupScope = balance.ScopeAll
			}
		}
	case MutationRetryPolicyIgnored:
		cfg.Routes = nil
	case MutationNoSlowStart:
		s.SlowStartWindow = 0
	}
	return cfg
}
