package batch

import (
	"fmt"
	"math"
)

// confidence95 is the number of standard deviations on either side of a mean that hold 95% of a normal
// distribution.
const confidence95 = 1.96

// Difference is how one measure differs between two batches, paired by seed.
type Difference struct {
	Measure         string
	Before, After   float64 // means of the batches
	MeanDifference  float64
	ConfidenceBound float64 // half of the 95% confidence interval of MeanDifference
}

func (d Difference) String() string {
	return fmt.Sprintf("%-20s %10.4f -> %10.4f  %+.4f ± %.4f", d.Measure, d.Before, d.After, d.MeanDifference, d.ConfidenceBound)
}

// measure is a figure of a seed's result.
type measure struct {
	name string
	of   func(r *SeedResult) float64
}

// measures returns what Compare compares, in its order.
func measures() []measure {
	perAnswer := func(n func(r *SeedResult) int) func(r *SeedResult) float64 {
		return func(r *SeedResult) float64 { return ratio(n(r), r.Answers) }
	}
	all := []measure{
		{"worth served", func(r *SeedResult) float64 { return r.Worth }},
		{"share refused", perAnswer(func(r *SeedResult) int { return r.Rejected })},
		{"share failed", perAnswer(func(r *SeedResult) int { return r.Failed })},
		{"attempts an answer", perAnswer(func(r *SeedResult) int { return r.Attempts })},
	}
	for _, name := range classNames {
		all = append(all, classMeasures(name)...)
	}
	return all
}

// classMeasures returns the measures of one class, as shares of its requests.
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

// ratio is n over total, with a total of 0 taken for 1.
func ratio(n, total int) float64 { return float64(n) / float64(max(1, total)) }

// Compare compares a batch with an earlier one on the seeds that both have. It is an error if their runs are not of
// one length or if they have fewer than two seeds in common.
func Compare(before, after Batch) ([]Difference, error) {
	if before.RunLength != after.RunLength {
		return nil, fmt.Errorf("runs of %v against runs of %v", before.RunLength, after.RunLength)
	}
	earlier := map[uint64]*SeedResult{}
	for i := range before.Results {
		earlier[before.Results[i].Seed] = &before.Results[i]
	}
	var pairs []pair
	for i := range after.Results {
		if old := earlier[after.Results[i].Seed]; old != nil {
			pairs = append(pairs, pair{old, &after.Results[i]})
		}
	}
	if len(pairs) < 2 {
		return nil, fmt.Errorf("only %d seeds are in both", len(pairs))
	}
	var differences []Difference
	for _, m := range measures() {
		differences = append(differences, difference(m, pairs))
	}
	return differences, nil
}

// pair are two results of one seed.
type pair struct{ before, after *SeedResult }

// difference compares two results or more by one measure.
func difference(m measure, pairs []pair) Difference {
	d := Difference{Measure: m.name}
	sum, squares := 0.0, 0.0
	for _, p := range pairs {
		before, after := m.of(p.before), m.of(p.after)
		delta := after - before
		sum, squares = sum+delta, squares+delta*delta
		d.Before += before
		d.After += after
	}
	n := float64(len(pairs))
	d.Before, d.After, d.MeanDifference = d.Before/n, d.After/n, sum/n
	variance := max(0, (squares-sum*sum/n)/(n-1)) // rounding may take it below 0
	d.ConfidenceBound = confidence95 * math.Sqrt(variance/n)
	return d
}
