package simulation

import (
	"slices"
	"time"

	"aspenbarrow/internal/invariant"
)

// Shrink reduces the script of a failing run to the fewest and shortest faults with which the same rule is still
// violated. It returns the script and the rule, or no rule if the run violates none. onSmaller, if not nil, is
// called with each smaller script that still fails.
func Shrink(options Options, onSmaller func(script []Fault)) ([]Fault, string) {
	options.Trace = nil
	first := Run(options)
	if len(first.Violations) == 0 {
		return nil, ""
	}
	s := shrinker{
		options:   options,
		rule:      first.Violations[0].Rule,
		script:    slices.Clone(first.Faults),
		onSmaller: onSmaller,
	}
	for {
		removed := s.removeFaults()
		if weakened := s.weakenFaults(); !removed && !weakened {
			return s.script, s.rule
		}
	}
}

// The lower limits to which faults are weakened.
const (
	minShrunkDuration = 100 * time.Millisecond
	minShrunkSeverity = 0.05
)

// shrinker reduces a script step by step.
type shrinker struct {
	options   Options
	rule      string
	script    []Fault
	onSmaller func(script []Fault)
}

// removeFaults removes the faults that the violation does not need, and reports whether there were any.
func (s *shrinker) removeFaults() (changed bool) {
	for i := 0; i < len(s.script); i++ {
		if s.keepIfFailing(slices.Delete(slices.Clone(s.script), i, i+1)) {
			changed = true
			i--
		}
	}
	return changed
}

// weakenFaults halves the duration and severity of faults where the run still fails, and reports whether any was halved.
func (s *shrinker) weakenFaults() (changed bool) {
	for i := range s.script {
		shorter := slices.Clone(s.script)
		shorter[i].Duration /= 2
		if shorter[i].Duration >= minShrunkDuration && s.keepIfFailing(shorter) {
			changed = true
		}
		weaker := slices.Clone(s.script)
		weaker[i].Severity /= 2
		if weaker[i].Severity > minShrunkSeverity && s.keepIfFailing(weaker) {
			changed = true
		}
	}
	return changed
}

// keepIfFailing replaces the script by another if that violates the rule too, and reports whether it does.
func (s *shrinker) keepIfFailing(script []Fault) bool {
	options := s.options
	options.Script = script
	if script == nil { // with nil, Run would draw a script
		options.Script = []Fault{}
	}
	violatesRule := func(v invariant.Violation) bool { return v.Rule == s.rule }
	if !slices.ContainsFunc(Run(options).Violations, violatesRule) {
		return false
	}
	s.script = script
	if s.onSmaller != nil {
		s.onSmaller(script)
	}
	return true
}
