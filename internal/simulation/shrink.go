package simulation

import (
	"slices"
	"time"
)

// Shrink reduces the script of a failing run to the fewest and shortest faults with
// which the same rule is still broken. It returns the script and the rule, or no rule
// if the run breaks none. told, if it is not nil, is called with each smaller script
// that still fails.
func Shrink(options Options, onSmaller func(script []Fault)) ([]Fault, string) {
	options.Trace = nil
	first := Run(options)
	if len(first.Violations) == 0 {
		return nil, ""
	}
	rule := first.Violations[0].Rule
	script := slices.Clone(first.Faults)
	fails := func(s []Fault) bool {
		options := options
		options.Script = s
		if s == nil {
			options.Script = []Fault{}
		}
		for _, b := range Run(options).Violations {
			if b.Rule == rule {
				return true
			}
		}
		return false
	}
	keep := func(s []Fault) {
		script = s
		if onSmaller != nil {
			onSmaller(s)
		}
	}
	for again := true; again; {
		again = false
		for i := 0; i < len(script); i++ { // without one of them
			if s := slices.Delete(slices.Clone(script), i, i+1); fails(s) {
				keep(s)
				again = true
				i--
			}
		}
		for i := range script { // for half as long, or half as bad
			s := slices.Clone(script)
			s[i].Duration /= 2
			if s[i].Duration >= 100*time.Millisecond && fails(s) {
				keep(s)
				again = true
			}
			s = slices.Clone(script)
			s[i].Severity /= 2
			if s[i].Severity > 0.05 && fails(s) {
				keep(s)
				again = true
			}
		}
	}
	return script, rule
}
