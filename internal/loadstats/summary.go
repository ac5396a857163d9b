package loadstats

import (
	"math"
	"slices"
)

// minVariation keeps RelativeVariation finite.
const minVariation = 1e-9

// Summary summarizes a run from some second on: medians over seconds, except as noted.
type Summary struct {
	Imbalance
	MeanLoad          float64 `json:"mean"`         // over backends, relative to capacity
	HashingVariation  float64 `json:"hashing"`      // as in Second
	GreedyVariation   float64 `json:"even"`         // as in Second
	RelativeVariation float64 `json:"ratio"`        // Variation over HashingVariation
	WorstVariation    float64 `json:"worst"`        // largest Variation of a second
	LowestOverMean    float64 `json:"lowest"`       // smallest MinOverMean of a second
	IdleSeconds       float64 `json:"idle_s"`       // backend-seconds below half of the mean load, in total
	HerdRatio         float64 `json:"herd"`         // largest of a second
	HashingHerdRatio  float64 `json:"herd_hashing"` // of the second with the largest HerdRatio
}

// Summarize summarizes the seconds from an index on. It returns a zero Summary if there are none.
func Summarize(seconds []Second, from int) Summary {
	if from >= len(seconds) {
		return Summary{}
	}
	seconds = seconds[from:]
	s := medians(seconds)
	s.addExtremes(seconds)
	return s
}

// medians returns a Summary with the figures that are medians.
func medians(seconds []Second) Summary {
	median := func(figure func(*Second) float64) float64 { return medianOf(seconds, figure) }
	return Summary{
		Imbalance: Imbalance{
			Variation:   median(func(s *Second) float64 { return s.Variation }),
			MinOverMean: median(func(s *Second) float64 { return s.MinOverMean }),
			MaxOverMean: median(func(s *Second) float64 { return s.MaxOverMean }),
			JainIndex:   median(func(s *Second) float64 { return s.JainIndex }),
		},
		MeanLoad:         median(func(s *Second) float64 { return s.MeanLoad }),
		HashingVariation: median(func(s *Second) float64 { return s.HashingVariation }),
		GreedyVariation:  median(func(s *Second) float64 { return s.GreedyVariation }),
		RelativeVariation: median(func(s *Second) float64 {
			return s.Variation / max(s.HashingVariation, minVariation)
		}),
	}
}

// medianOf returns the median of a figure; of an even number of seconds the higher of the two in the middle.
func medianOf(seconds []Second, figure func(*Second) float64) float64 {
	values := make([]float64, len(seconds))
	for i := range seconds {
		values[i] = figure(&seconds[i])
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// addExtremes sets the figures that are extremes or totals.
func (s *Summary) addExtremes(seconds []Second) {
	s.LowestOverMean = math.Inf(1)
	for i := range seconds {
		second := &seconds[i]
		s.WorstVariation = max(s.WorstVariation, second.Variation)
		s.LowestOverMean = min(s.LowestOverMean, second.MinOverMean)
		s.IdleSeconds += second.IdleSeconds
		if second.HerdRatio > s.HerdRatio {
			s.HerdRatio, s.HashingHerdRatio = second.HerdRatio, second.HashingHerdRatio
		}
	}
}
