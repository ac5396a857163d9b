package simulation

import (
	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
)

// Break names one way to break every relay of a run on purpose. A checker that has
// never caught anything proves nothing, so tests check that each break is caught by
// the rule that it breaks. Only tests set one.
type Break string

// The breaks.
const (
	NoBreak           Break = ""
	BreakSecondAnswer Break = "second-answer" // the final answer goes out twice
	BreakLateAnswer   Break = "late-answer"   // 60 ms past what is allowed
	BreakLostAnswer   Break = "lost-answer"   // what has failed is not said
	BreakFifth        Break = "fifth-attempt" // one attempt more than the settings allow
	BreakOverlap      Break = "overlap"       // a second attempt before the first has ended
	BreakUnsafe       Break = "unsafe-repeat" // what may act twice is repeated
	BreakScope        Break = "out-of-scope"  // a keyed request is repeated beyond its scope
	BreakLateDrain    Break = "late-drain"    // news of a drain is taken in 60 ms after the grace
	BreakCold         Break = "cold-flood"    // nobody is held to be cold
	BreakMoveInLine   Break = "move-in-line"  // MOVE falls into a line
	BreakLeak         Break = "flow-leak"     // the books on a flow are never closed
	BreakBooks        Break = "books"         // a cancelled attempt stays counted in T
	BreakOldWatch     Break = "old-watch"     // a reload keeps the old agent
	BreakHeldLine     Break = "held-line"     // lines wait for 1.2 s
	BreakMadeUp       Break = "made-up"       // UP that no backend said
	BreakCutOff       Break = "cut-off"       // moved without MOVE
	BreakTiming       Break = "timing"        // the routes' timing is not looked at
	BreakDescriptor   Break = "descriptor"    // a failed attempt's connection stays open
	BreakCountLobby   Break = "count-lobby"   // who is turned away for want of room is not counted
	BreakCountGone    Break = "count-gone"    // a client that left while it waited stays counted
	BreakCountAttempt Break = "count-attempt" // one attempt in fifty is not counted
	BreakCountReload  Break = "count-reload"  // a file that is taken is not counted
	BreakCountLeaving Break = "count-leaving" // a leaving relay counts no attempts
	BreakDrain        Break = "drain-holds"   // a drained relay moves nobody
	BreakOldRules     Break = "old-rules"     // the effects that a reload brings are not looked at
	BreakHandOver     Break = "hand-over"     // the old process of an upgrade cuts off whom it has
	BreakLeft         Break = "left-late"     // a client's end is looked at 0.4 s later
	BreakYes          Break = "drain-yes"     // and goes on saying yes
)

// Breaks are all of them, with the rules of which at least one must catch each.
var Breaks = map[Break][]string{
	BreakSecondAnswer: {"after-answer"},
	BreakLateAnswer:   {"late-answer"},
	BreakLostAnswer:   {"no-answer"},
	BreakFifth:        {"attempt-limit"},
	BreakOverlap:      {"overlap"},
	BreakUnsafe:       {"unsafe-repeat"},
	BreakScope:        {"keyed-repeat"},
	BreakLateDrain:    {"drain"},
	BreakCold:         {"cold"},
	BreakMoveInLine:   {"move-in-line"},
	BreakLeak:         {"leak"},
	BreakBooks:        {"books"},
	BreakOldWatch:     {"drain"},
	BreakHeldLine:     {"held-line"},
	BreakMadeUp:       {"made-up"},
	BreakCutOff:       {"cut-off"},
	BreakDescriptor:   {"leak", "overlap"},
	BreakCountLobby:   {"figures"},
	BreakCountGone:    {"figures"},
	BreakCountAttempt: {"figures"},
	BreakCountReload:  {"figures"},
	BreakCountLeaving: {"figures"},
	BreakDrain:        {"drained"},
	BreakYes:          {"drained"},
	BreakLeft:         {"left"},
	BreakHandOver:     {"cut-off", "no-answer"},
	BreakOldRules:     {"unsafe-repeat"},
}

func (run *run) broken(b Break) bool { return run.opt.Break == b }

// sabotaged is the configuration as a broken relay reads it.
func (r *relay) sabotaged(cfg controller.Config) controller.Config {
	s := &cfg.Settings
	switch r.run.opt.Break {
	case BreakFifth:
		s.MaxAttempts++
	case BreakUnsafe, BreakScope:
		s.Classes = append([]balance.Class(nil), s.Classes...)
		for i := range s.Classes {
			c := &s.Classes[i]
			if r.run.broken(BreakUnsafe) && c.Idempotency == balance.NonIdempotent {
				c.Idempotency = balance.Idempotent
			}
			if r.run.broken(BreakScope) {
				c.DedupScope = balance.ScopeAll
			}
		}
	case BreakTiming:
		cfg.Routes = nil
	case BreakCold:
		s.SlowStartWindow = 0
	}
	return cfg
}
