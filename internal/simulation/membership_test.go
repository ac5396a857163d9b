package simulation

import (
	"strings"
	"sync"
	"testing"
	"time"

	"aspenbarrow/internal/emulator"
)

// runWithMembership runs a script with membership on, in a small installation of a few relays.
func runWithMembership(seed uint64, relays int, script []Fault) Result {
	return Run(Options{Seed: seed, Script: script, Installation: &Installation{
		Relays: relays, Backends: 4, Clients: 8, Membership: true,
		Server:        emulator.Config{Cores: 8, Speed: 1, MaxRequests: 64, ColdCapacity: 1, WarmUpTime: time.Second, ReportInterval: time.Second, ColdCrashWindow: time.Second},
		ArrivalWindow: 2 * time.Second, SessionDurationRange: [2]time.Duration{5 * time.Second, 20 * time.Second},
	}})
}

// Each fault of membership, alone and against fleets of different sizes, violates none of the rules of membership. Faults that
// change nothing would prove nothing, so each must also change what relays hold of each other.
func TestMembership_EachFaultAlone(t *testing.T) {
	const seedsPerFault = 40 // under the race detector as well: with fewer, a fault may change nothing
	wantHeld := map[string][]string{
		"relay paused":             {"member suspect"},
		"relay link cut one way":   {"member suspect"},
		"relays partitioned":       {"member suspect", "member dead"},
		"relay links flapping":     {"member suspect"},
		"half the relays killed":   {"member suspect", "member dead"},
		"relay stays down":         {"member suspect", "member dead"},
		"relay datagrams impaired": {"member suspect"},
		"rolling restart":          {"member left"},
		"relay upgraded":           nil,
	}
	for kind, held := range wantHeld {
		t.Run(kind, func(t *testing.T) {
			var mu sync.Mutex
			counts := map[string]int{}
			forEachParallel(seedsPerFault, func(i int) {
				script := []Fault{{Kind: kind, Start: 15 * time.Second, Duration: 10 * time.Second, Target: i, Severity: float64(i%10) / 10}}
				res := runWithMembership(uint64(i), 2+i%9, script)
				mu.Lock()
				defer mu.Unlock()
				for what, n := range res.Counts {
					counts[what] += n
				}
				for _, v := range res.Violations {
					if strings.HasPrefix(v.Rule, "membership-") {
						t.Errorf("seed %d, %d relays: %v", i, 2+i%9, v)
					}
				}
			})
			for _, name := range held {
				if counts[name] == 0 {
					t.Errorf("%q never occurred", name)
				}
			}
		})
	}
}

// A third of the seeds run with membership. Without it, no relay sends a datagram of the protocol or holds anything of another.
func TestMembership_DrawnForAThirdOfSeeds(t *testing.T) {
	var mu sync.Mutex
	with := 0
	const seeds = 60
	forEachParallel(seeds, func(i int) {
		res := Run(Options{Seed: uint64(i), Duration: 3 * time.Second, Script: []Fault{}})
		mu.Lock()
		defer mu.Unlock()
		with += res.Counts["membership"]
		if on := res.Counts["membership"] > 0; on != (res.Counts["member alive"] > 0) {
			t.Errorf("seed %d: membership is %v, and the counts are %v", i, on, res.Counts)
		}
	})
	if with < seeds/6 || with > seeds/2 {
		t.Errorf("%d of %d seeds run with membership, want about a third", with, seeds)
	}
}
