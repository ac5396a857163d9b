package loadstats

import "math"

// Imbalance describes how unevenly load relative to capacity is spread over the backends at one time.
type Imbalance struct {
	Variation   float64 `json:"deviation"` // coefficient of variation: standard deviation over the mean
	MinOverMean float64 `json:"least"`     // least loaded backend, over the mean
	MaxOverMean float64 `json:"most"`      // most loaded backend, over the mean
	JainIndex   float64 `json:"jain"`      // Jain's fairness index, 1 at best
}

// measureImbalance returns the imbalance and the mean of relative loads, without those of backends that are down.
func measureImbalance(loads []float64) (imbalance Imbalance, mean float64) {
	n, sum, squares, least, most := 0.0, 0.0, 0.0, math.Inf(1), 0.0
	for _, load := range loads {
		if load >= 0 {
			n, sum, squares = n+1, sum+load, squares+load*load
			least, most = min(least, load), max(most, load)
		}
	}
	if n == 0 || sum == 0 {
		return Imbalance{JainIndex: 1}, 0
	}
	mean = sum / n
	return Imbalance{
		Variation:   math.Sqrt(max(0, squares/n-mean*mean)) / mean,
		MinOverMean: least / mean,
		MaxOverMean: most / mean,
		JainIndex:   sum * sum / (n * squares),
	}, mean
}
