package batch

import (
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/simulation"
)

func TestRun_IsTheSameForAnyNumberOfWorkers(t *testing.T) {
	one := Run(5, 6, 1, simulation.Options{Duration: 20 * time.Second}, nil)
	many := Run(5, 6, 4, simulation.Options{Duration: 20 * time.Second}, nil)
	for i := range one.Results {
		a, b := one.Results[i], many.Results[i]
		if a.Seed != uint64(5+i) || a.Seed != b.Seed || a.Events != b.Events || a.ServedWeight != b.ServedWeight || a.ServedWeight == 0 {
			t.Errorf("with one worker: %+v, with four: %+v", a, b)
		}
	}
	for k, n := range one.Counts {
		if many.Counts[k] != n {
			t.Errorf("%s: %d with one worker, %d with four", k, n, many.Counts[k])
		}
	}
}

func TestCompare_PairsSeedsOfStoredBatch(t *testing.T) {
	before := Batch{RunLength: time.Minute, Results: []SeedResult{{Seed: 1, ServedWeight: 10, Answers: 10, Rejected: 1}, {Seed: 2, ServedWeight: 20, Answers: 10},
		{Seed: 3, ServedWeight: 30, Answers: 10}}}
	after := Batch{RunLength: time.Minute, Results: []SeedResult{{Seed: 2, ServedWeight: 23, Answers: 10}, {Seed: 3, ServedWeight: 31, Answers: 10}, {Seed: 4, ServedWeight: 9}}}
	path := filepath.Join(t.TempDir(), "b.json")
	if err := before.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	stored, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	diffs, err := Compare(stored, after)
	if err != nil {
		t.Fatal(err)
	}
	// Differences of 3 and 1: mean 2, standard deviation of the mean 1.
	if d := diffs[0]; d.Before != 25 || d.After != 27 || d.MeanDifference != 2 || math.Abs(d.ConfidenceBound-1.96) > 1e-9 {
		t.Errorf("difference of %s: %+v", d.Measure, d)
	}
	after.RunLength = time.Second
	if _, err := Compare(stored, after); err == nil {
		t.Error("batches with different run lengths are compared")
	}
	if _, err := Compare(Batch{}, Batch{}); err == nil {
		t.Error("batches without common seeds are compared")
	}
}

func TestBatch_MissingCoverageNamesFaults(t *testing.T) {
	b := Run(0, 2, 2, simulation.Options{Duration: 10 * time.Second}, nil)
	if m := strings.Join(b.MissingCoverage(), ", "); !strings.Contains(m, "fault ") {
		t.Errorf("no kind of fault is missing after two seeds: %q", m)
	}
}
