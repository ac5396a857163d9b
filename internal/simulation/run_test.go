package simulation

import (
	"crypto/sha256"
	"fmt"
	"go/parser"
	"go/token"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// forEachParallel calls do for each index on all cores.
func forEachParallel(count int, do func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < count; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	wg.Wait()
}

// seedCount returns the number of seeds to run: the given one under the race detector, which is slow, else ten times as many.
func seedCount(underRace int) int {
	if raceEnabled {
		return underRace
	}
	return 10 * underRace
}

// No seed violates a rule, and each run has enough load for that to be significant.
func TestRun_NoViolations(t *testing.T) {
	var mu sync.Mutex
	forEachParallel(seedCount(8), func(i int) {
		res := Run(Options{Seed: uint64(i)})
		mu.Lock()
		defer mu.Unlock()
		for i, v := range res.Violations {
			if i < 2 {
				t.Errorf("seed %d: %v", res.Seed, v)
			}
		}
		if res.Counts["answer UP"] < 100 || res.Events < 20000 {
			t.Errorf("seed %d: got %d events and %v, want at least 20000 events and 100 UP answers", res.Seed, res.Events, res.Counts)
		}
	})
}

// Guards against review/10 on the virtual clock: after an outage of discovery during two hot restarts one process was told of a
// removed backend 0.63 s before the other, which went on sending requests there.
func TestRun_RemovalToldToOneProcessBindsBoth(t *testing.T) {
	res := Run(Options{Seed: 21988})
	for _, v := range res.Violations {
		t.Errorf("seed %d: %v", res.Seed, v)
	}
	if res.Counts["relay upgraded"] < 2 {
		t.Errorf("%d hot restarts, want at least 2", res.Counts["relay upgraded"])
	}
}

// A restart during an upgrade targets the new process. The replaced one, for which the fault was scheduled, must not be started
// again: it would serve beside its successor, and its metrics would be compared with the successor's.
func TestRun_RestartDuringUpgradeTargetsNewProcess(t *testing.T) {
	for _, tc := range []struct {
		seed   uint64
		script []Fault
	}{
		{9856, []Fault{{Kind: "relay upgraded", Start: 15154 * time.Millisecond, Duration: 9356 * time.Millisecond, Target: 48, Severity: 0.81},
			{Kind: "rolling restart", Start: 20783 * time.Millisecond, Duration: 8110 * time.Millisecond, Target: 12, Severity: 0.1}}},
		{11496, []Fault{{Kind: "relay upgraded", Start: 32277 * time.Millisecond, Duration: 4595 * time.Millisecond, Target: 8, Severity: 0.46},
			{Kind: "rolling restart", Start: 32860 * time.Millisecond, Duration: 4846 * time.Millisecond, Target: 17, Severity: 0.09}}},
		{11496, []Fault{{Kind: "relay upgraded", Start: 20 * time.Second, Duration: 20 * time.Second, Target: 0, Severity: 0.1},
			{Kind: "relay drained and not", Start: 19900 * time.Millisecond, Duration: 6 * time.Second, Target: 0, Severity: 0.9}}},
	} {
		res := Run(Options{Seed: tc.seed, Script: tc.script})
		for _, v := range res.Violations {
			t.Errorf("seed %d: %v", tc.seed, v)
		}
		if res.Counts["relay upgraded"] == 0 || res.Counts["relay leaves"] == 0 {
			t.Errorf("seed %d: no upgrade or no restart in the run: %v", tc.seed, res.Counts)
		}
	}
}

// With few descriptors, many misbehaving clients delay other clients in the accept queue, and paused backends use up the clients'
// timeouts. The time in the queue counts towards the timeout, so that the answer is still in time. The request ids of misbehaving
// clients are small numbers; some of these clients send two timeouts, one of which expires before the relay can read the request.
func TestRun_AcceptQueueTimeCountsTowardsTimeout(t *testing.T) {
	var mu sync.Mutex
	badClients := 0
	forEachParallel(100, func(i int) {
		res := Run(Options{Seed: uint64(i), Script: []Fault{
			{Kind: "few descriptors", Start: 20 * time.Second, Duration: 22 * time.Second, Target: 0, Severity: 0.1},
			{Kind: "few descriptors", Start: 20 * time.Second, Duration: 22 * time.Second, Target: 1, Severity: 0.1},
			{Kind: "backends paused", Start: 29500 * time.Millisecond, Duration: 5 * time.Second, Severity: 0.95},
			{Kind: "bad clients", Start: 30 * time.Second, Duration: 1500 * time.Millisecond, Severity: 0.9},
			{Kind: "relay upgraded", Start: 30200 * time.Millisecond, Duration: 3 * time.Second, Severity: 0.06}}})
		mu.Lock()
		defer mu.Unlock()
		badClients += res.Counts["bad client"]
		for _, v := range res.Violations {
			if v.Rule != "no-answer" && v.Rule != "late-answer" || v.Rule == "no-answer" && !strings.Contains(v.Detail, "request 00000000") {
				t.Errorf("seed %d: %v", i, v)
			}
		}
	})
	if badClients < 100*100 {
		t.Errorf("got %d misbehaving clients in 100 runs, want at least 10000 to fill the accept queues", badClients)
	}
}

// Answers without a line end kept clients with their backend for good, or got them reset. No invariant is violated while some of
// the backends send such answers, and clients are migrated.
func TestRun_SpoiltAnswersKeepInvariants(t *testing.T) {
	seeds := seedCount(3)
	for kind, counted := range map[string]string{
		fault.KindUnfinishedAnswers: fault.CountUnfinishedAnswers,
		fault.KindOverlongAnswers:   fault.CountOverlongAnswers,
	} {
		t.Run(kind, func(t *testing.T) {
			var spoilt, moved atomic.Int64
			forEachParallel(seeds, func(i int) {
				result := Run(Options{Seed: uint64(i), Script: []Fault{
					{Kind: kind, Start: 10 * time.Second, Duration: 15 * time.Second, Target: i, Severity: 0.9},
					{Kind: kind, Start: 40 * time.Second, Duration: 15 * time.Second, Target: 2 * i, Severity: 0.2},
				}})
				spoilt.Add(int64(result.Counts[counted]))
				moved.Add(int64(result.Counts["moved"]))
				for _, v := range result.Violations {
					t.Errorf("seed %d: %v", i, v)
				}
			})
			if want := int64(seeds); spoilt.Load() < want || moved.Load() < want {
				t.Errorf("%d answers were spoilt and %d clients migrated in %d runs, want at least one of each in a run",
					spoilt.Load(), moved.Load(), seeds)
			}
		})
	}
}

// Each mutation is detected within 200 seeds, and by the rule that it breaks. A checker that has never detected a defect
// would prove nothing.
func TestRun_MutationsAreDetected(t *testing.T) {
	if raceEnabled {
		t.Skip("a run is a single goroutine, in which the race detector can find nothing, and takes ten times as long with it")
	}
	names := make([]Mutation, 0, len(Mutations))
	for mutation := range Mutations {
		names = append(names, mutation)
	}
	slices.Sort(names)
	for _, mutation := range names {
		t.Run(string(mutation), func(t *testing.T) {
			var first atomic.Int64
			first.Store(1 << 30)
			var violation atomic.Value
			forEachParallel(200, func(i int) {
				if int64(i) > first.Load() {
					return
				}
				for _, v := range Run(Options{Seed: uint64(i), Mutation: mutation}).Violations {
					if slices.Contains(Mutations[mutation], v.Rule) {
						for lowest := first.Load(); int64(i) < lowest; lowest = first.Load() {
							if first.CompareAndSwap(lowest, int64(i)) {
								violation.Store(v)
							}
						}
						return
					}
				}
			})
			if first.Load() == 1<<30 {
				t.Errorf("not detected by any of the rules %v in 200 seeds", Mutations[mutation])
				return
			}
			t.Logf("seed %d: %v", first.Load(), violation.Load())
		})
	}
}

// The same seed gives the same trace, byte for byte, alone or in parallel with other runs.
func TestRun_SameSeedSameTrace(t *testing.T) {
	count := 50
	if raceEnabled {
		count = 4
	}
	alone := make([][32]byte, count)
	for i := range alone {
		alone[i] = traceHash(uint64(i))
	}
	forEachParallel(count, func(i int) {
		if got := traceHash(uint64(i)); got != alone[i] {
			t.Errorf("seed %d: the trace differs from that of the same seed run alone", i)
		}
	})
}

func traceHash(seed uint64) (sum [32]byte) {
	h := sha256.New()
	Run(Options{Seed: seed, Trace: h, Duration: 30 * time.Second})
	h.Sum(sum[:0])
	return sum
}

// The checker shares no code with the relay: mistakes in such code would be in both and remain undetected.
func TestInvariant_ImportsNoCodeOfThisModule(t *testing.T) {
	files, err := filepath.Glob("../invariant/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range f.Imports {
			if strings.HasPrefix(spec.Path.Value, `"aspenbarrow`) {
				t.Errorf("%s imports %s", name, spec.Path.Value)
			}
		}
	}
}

// Shrinking keeps the faults that the violation needs and drops the others.
func TestShrink_KeepsOnlyFailingFaults(t *testing.T) {
	// The mutation has an effect only after a reload, so a reload must remain of any script.
	options := Options{Mutation: MutationStaleDiscovery, Script: []Fault{{Kind: "datagrams lost", Start: 5 * time.Second, Duration: 5 * time.Second},
		{Kind: "reload to another agent", Start: 6 * time.Second, Duration: 5 * time.Second},
		{Kind: "network slow", Start: 12 * time.Second, Duration: 5 * time.Second, Severity: 0.1}}}
	// On some seeds the mutation is detected only if the network is slow. The test takes a seed on which it is detected with all
	// three faults, without the lost datagrams, and with the reload alone.
	fails := func(script ...Fault) bool {
		options := options
		options.Script = script
		return len(Run(options).Violations) > 0
	}
	lost, reload, slow := options.Script[0], options.Script[1], options.Script[2]
	for options.Seed = 0; !fails(lost, reload, slow) || !fails(reload, slow) || !fails(reload); options.Seed++ {
		if options.Seed > 200 {
			t.Fatal("no suitable seed from 0 to 200")
		}
	}
	shrunk, rule := Shrink(options, nil)
	if rule != "drain" || len(shrunk) != 1 || shrunk[0].Kind != "reload to another agent" {
		t.Errorf("got rule %q and script %+v, want drain and the reload alone", rule, shrunk)
	}
	options.Script = shrunk
	if res := Run(options); len(res.Violations) == 0 || res.Violations[0].Rule != "drain" {
		t.Errorf("the shrunk script violates %v, want drain first", res.Violations)
	}
	options.Mutation = NoMutation
	if shrunk, rule := Shrink(options, nil); rule != "" || shrunk != nil {
		t.Errorf("a run without violations shrinks to %v with rule %q", shrunk, rule)
	}
}

func BenchmarkRun(b *testing.B) {
	i := uint64(0)
	for b.Loop() {
		if res := Run(Options{Seed: i}); len(res.Violations) > 0 {
			b.Fatal(fmt.Sprint(res.Violations))
		}
		i++
	}
}
