package batch

import (
	"fmt"
	"math"
)

// confidence95 is the number of standard deviations on either side of a mean that covers 95% of a normal
// distribution.
const confidence95 = 1.96

// Difference is the difference of one measure between two batches, paired by seed.
type Difference struct {
	Measure         string
	Before, After   float64 // means of the batches
	MeanDifference  float64
	ConfidenceBound float64 // half of the 95% confidence interval of MeanDifference
}

func (d Difference) String() string {
	return fmt.Sprintf("%-20s %10.4f -> %10.4f  %+.4f ± %.4f", d.Measure, d.Before, d.After, d.MeanDifference, d.ConfidenceBound)
}

// measure is a value computed from a seed's result.
type measure struct {
	name  string
	value func(r *SeedResult) float64
}

// measures returns the measures that Compare compares, in the order of its results.
func measures() []measure {
	perAnswer := func(n func(r *SeedResult) int) func(r *SeedResult) float64 {
		return func(r *SeedResult) float64 { return ratio(n(r), r.Answers) }
	}
	all := []measure{
		{"worth served", func(r *SeedResult) float64 { return r.ServedWeight }},
		{"share refused", perAnswer(func(r *SeedResult) int { return r.Rejected })},
		{"share failed", perAnswer(func(r *SeedResult) int { return r.Failed })},
		{"attempts an answer", perAnswer(func(r *SeedResult) int { return r.Attempts })},
	}
	for _, name := range classNames {
		all = append(all, classMeasures(name)...)
	}
	return all
}

// classMeasures returns the measures of one class, each divided by the number of its requests.
func classMeasures(class string) []measure {
	perRequest := func(n func(c ClassResult) int) func(r *SeedResult) float64 {
		return func(r *SeedResult) float64 { return ratio(n(r.Classes[class]), r.Classes[class].Requests) }
	}
	return []measure{
		{class + " served", perRequest(func(c ClassResult) int { return c.Served })},
		{class + " on time", perRequest(func(c ClassResult) int { return c.OnTime })},
		{class + " attempts", perRequest(func(c ClassResult) int { return c.Attempts })},
	}
}

// ratio returns n / total; a total of 0 counts as 1.
func ratio(n, total int) float64 { return float64(n) / float64(max(1, total)) }

// Compare compares a batch with an earlier one on the seeds that both have. It returns an error if their run lengths
// differ or if they have fewer than two seeds in common.
func Compare(before, after Batch) ([]Difference, error) {
	if before.RunLength != after.RunLength {
		return nil, fmt.Errorf("batches with different run lengths: %v and %v", before.RunLength, after.RunLength)
	}
	earlier := map[uint64]*SeedResult{}
	for i := range before.Results {
		earlier[before.Results[i].Seed] = &before.Results[i]
	}
	var pairs []pair
	for i := range after.Results {
		if match := earlier[after.Results[i].Seed]; match != nil {
			pairs = append(pairs, pair{match, &after.Results[i]})
		}
	}
	if len(pairs) < 2 {
		return nil, fmt.Errorf("batches have %d seeds in common, want at least 2", len(pairs))
	}
	var differences []Difference
	for _, m := range measures() {
		differences = append(differences, difference(m, pairs))
	}
	return differences, nil
}

// pair holds the results of the same seed in both batches.
type pair struct{ before, after *SeedResult }

// difference computes the difference of one measure over at least two pairs.
func difference(m measure, pairs []pair) Difference {
	d := Difference{Measure: m.name}
	sum, squares := 0.0, 0.0
	for _, p := range pairs {
		before, after := m.value(p.before), m.value(p.after)
		delta := after - before
		sum, squares = sum+delta, squares+delta*delta
		d.Before += before
		d.After += after
	}
	n := float64(len(pairs))
	d.Before, d.After, d.MeanDifference = d.Before/n, d.After/n, sum/n
	variance := max(0, (squares-sum*sum/n)/(n-1)) // rounding errors can make it negative
	d.ConfidenceBound = confidence95 * math.Sqrt(variance/n)
	return d
}
