package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/simulation"
)

// TimingAllowance is added to each time limit that the invariant checker enforces: a relay of a test cluster shares the
// machine with hundreds of others.
const TimingAllowance = 500 * time.Millisecond

// Options configure a run. Program, Duration and the numbers of relays, backends and clients in Fleet are required.
type Options struct {
	Program  string                  // path of the relay program
	Seed     uint64                  // for clients and faults
	Duration time.Duration           // from the time when all relays are ready
	Fleet    simulation.Installation // size and properties of the cluster
	Faults   []fault.Fault           // injected during the run
	Observe  func(v *View)           // called every 100 ms during the run; may be nil
	// Descriptors is the descriptor limit of each process of a relay, which the system enforces; 0: 1024, by configuration alone.
	Descriptors int
	WorkDir     string // for the relays' files; empty: a temporary directory, removed after the run

	// CachedLists gives a relay that restarts the endpoint list that its discovery agent has at that time, as the platform
	// does with the last list it knows. Otherwise a relay has no list until discovery answers.
	CachedLists bool

	// ProgramFor returns the absolute path of the program that a relay's process runs: start 0 is the relay's first
	// process, start 1 the one after its first restart. It must be safe for concurrent use. nil: all run Program.
	ProgramFor func(relay, start int) string
}

// validateOptions checks the options before anything is started, and makes the path of the program absolute.
func validateOptions(opt Options) (Options, error) {
	f := &opt.Fleet
	if f.Relays < 1 || f.Relays > maxRelays || f.Backends < 1 || f.Backends > maxBackends {
		return opt, fmt.Errorf("a test cluster has 1 to %d relays and 1 to %d backends, not %d and %d", maxRelays, maxBackends, f.Relays, f.Backends)
	}
	if err := checkMachineLimits(f.Relays, f.Clients); err != nil {
		return opt, err
	}
	program, err := filepath.Abs(opt.Program)
	if err != nil {
		return opt, err
	}
	if info, err := os.Stat(program); err != nil {
		return opt, fmt.Errorf("relay program: %w", err)
	} else if info.IsDir() || info.Mode()&0o111 == 0 {
		return opt, fmt.Errorf("relay program: %s cannot be executed", opt.Program)
	}
	opt.Program = program
	for i := range opt.Faults {
		if err := CheckFault(&opt.Faults[i]); err != nil {
			return opt, err
		}
	}
	return opt, nil
}
