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

// Faults are not weakened below these.
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

// removeFaults drops the faults that are not needed, and says whether there were any.
func (s *shrinker) removeFaults() (changed bool) {
	for i := 0; i < len(s.script); i++ {
		if s.keepIfFailing(slices.Delete(slices.Clone(s.script), i, i+1)) {
			changed = true
			i--
		}
	}
	return changed
}

// weakenFaults halves the duration and severity of faults where that is enough, and says whether it was anywhere.
func (s *shrinker) weakenFaults() (changed bool) {
	for i := range s.script {
		shorter := slices.Clone(s.script)
		shorter[i].Duration /= 2
		if shorter[i].Duration >= minShrunkDuration && s.keepIfFailing(shorter) {
			changed = true
		}
		milder := slices.Clone(s.script)
		milder[i].Severity /= 2
		if milder[i].Severity > minShrunkSeverity && s.keepIfFailing(milder) {
			changed = true
		}
	}
	return changed
}

// keepIfFailing takes a script over if it violates the rule.
func (s *shrinker) keepIfFailing(script []Fault) bool {
	options := s.options
	options.Script = script
	if script == nil { // nil would have Run draw one
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
