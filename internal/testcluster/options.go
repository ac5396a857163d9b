package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/simulation"
)

// TimingAllowance is what every time limit is longer by here than the rules say: a relay shares the machine with hundreds.
const TimingAllowance = 500 * time.Millisecond

// Options say what is run.
//
// Program, Length and Fleet's numbers of parties have to be set.
type Options struct {
	Program  string           // the relay's, built already
	Seed     uint64           // of what clients draw and of what faults strike
	Duration time.Duration    // once all relays are ready
	Fleet    simulation.Fleet // the installation
	Faults   []fault.Fault    // what goes wrong
	Observe  func(v *View)    // called now and then while the run takes its course; nil: nobody looks
	WorkDir  string           // a folder for the relays' files; empty: a temporary one that is removed

	// ProgramOf names the program, by an absolute path, that a relay's process runs: start 0 is the relay's first process,
	// 1 the one after its first restart. It may be called from several goroutines at once. nil: Program for all.
	ProgramFor func(relay, start int) string
}

// validateOptions checks that the cluster can play what is asked, and makes the path of the program absolute.
func validateOptions(opt Options) (Options, error) {
	f := &opt.Fleet
	if f.Relays < 1 || f.Relays > maxRelays || f.Backends < 1 || f.Backends > maxBackends {
		return opt, fmt.Errorf("%d relays and %d backends: 1 to %d and 1 to %d can be played", f.Relays, f.Backends, maxRelays, maxBackends)
	}
	if err := checkMachineLimits(f.Relays, f.Clients); err != nil {
		return opt, err
	}
	program, err := filepath.Abs(opt.Program)
	if err != nil {
		return opt, err
	}
	if info, err := os.Stat(program); err != nil {
		return opt, fmt.Errorf("the relay's program: %w", err)
	} else if info.IsDir() || info.Mode()&0o111 == 0 {
		return opt, fmt.Errorf("the relay's program: %s cannot be executed", opt.Program)
	}
	opt.Program = program
	for i := range opt.Faults {
		if err := CheckFault(&opt.Faults[i]); err != nil {
			return opt, err
		}
	}
	return opt, nil
}
