package simulation

import (
	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
)

// Mutation names a deliberate defect of every relay of a run. A checker that has never caught anything proves
// nothing, so tests check that each mutation is caught by the rule that it breaks. Only tests set one.
type Mutation string

// The mutations.
const (
	NoMutation                        Mutation = ""
	MutationSecondAnswer              Mutation = "second-answer" // the final answer goes out twice
	MutationLateAnswer                Mutation = "late-answer"   // 60 ms past what is allowed
	MutationLostAnswer                Mutation = "lost-answer"   // what has failed is not said
	MutationExtraAttempt              Mutation = "fifth-attempt" // one attempt more than the settings allow
	MutationOverlappingAttempts       Mutation = "overlap"       // a second attempt before the first has ended
	MutationRetryNonIdempotent        Mutation = "unsafe-repeat" // what may act twice is repeated
	MutationRetryOutsideDedupScope    Mutation = "out-of-scope"  // a keyed request is repeated beyond its scope
	MutationLateDrain                 Mutation = "late-drain"    // news of a drain is taken in 60 ms after the grace
	MutationNoSlowStart               Mutation = "cold-flood"    // nobody is held to be cold
	MutationMoveInsideLine            Mutation = "move-in-line"  // MOVE falls into a line
	MutationSessionLeak               Mutation = "flow-leak"     // the books on a flow are never closed
	MutationLoadMiscounted            Mutation = "books"         // a cancelled attempt stays counted in T
	MutationStaleDiscovery            Mutation = "old-watch"     // a reload keeps the old agent
	MutationDelayedLines              Mutation = "held-line"     // lines wait for 1.2 s
	MutationForgedUp                  Mutation = "made-up"       // UP that no backend said
	MutationMigrateWithoutMove        Mutation = "cut-off"       // moved without MOVE
	MutationRetryPolicyIgnored        Mutation = "timing"        // the routes' timing is not looked at
	MutationDescriptorLeak            Mutation = "descriptor"    // a failed attempt's connection stays open
	MutationRefusalsUncounted         Mutation = "count-lobby"   // who is turned away for want of room is not counted
	MutationAbandonedStayCounted      Mutation = "count-gone"    // a client that left while it waited stays counted
	MutationAttemptsUndercounted      Mutation = "count-attempt" // one attempt in fifty is not counted
	MutationReloadsUncounted          Mutation = "count-reload"  // a file that is taken is not counted
	MutationShutdownAttemptsUncounted Mutation = "count-leaving" // a leaving relay counts no attempts
	MutationDrainKeepsSessions        Mutation = "drain-holds"   // a drained relay moves nobody
	MutationStaleIdempotency          Mutation = "old-rules"     // the effects that a reload brings are not looked at
	MutationUpgradeDropsSessions      Mutation = "hand-over"     // the old process of an upgrade cuts off whom it has
	MutationLateClientClose           Mutation = "left-late"     // a client's end is looked at 0.4 s later
	MutationDrainedSaysReady          Mutation = "drain-yes"     // and goes on saying yes
)

// Mutations are all mutations, each with the rules of which at least one must catch it.
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
	MutationDrainedSaysReady:          {"drained"},
	MutationLateClientClose:           {"left"},
	MutationUpgradeDropsSessions:      {"cut-off", "no-answer"},
	MutationStaleIdempotency:          {"unsafe-repeat"},
}

// hasMutation says whether the relays have a defect.
func (run *run) hasMutation(b Mutation) bool { return run.options.Mutation == b }

// mutate returns the configuration as a relay with the run's mutation reads it.
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
