package report

import (
	"bytes"
	"encoding/csv"
	"strconv"

	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/scenario"
)

var csvHeader = []string{"program", "seed", "second", "asked", "served", "mean_load", "deviation", "hashing", "even_hand", "least", "most", "jain",
	"idle_backend_s", "herd", "herd_part", "arrivals", "cores"}

// CSV returns the outcomes as CSV, with a header and a line for each second of each run.
func CSV(outcomes []scenario.Outcome) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	_ = w.Write(csvHeader) // writing to a buffer never fails
	for i := range outcomes {
		for second := range outcomes[i].Seconds {
			_ = w.Write(csvLine(&outcomes[i], second))
		}
	}
	w.Flush()
	return out.Bytes()
}

// csvLine returns the fields of one second, in the order of csvHeader. Figures that were not measured are 0.
func csvLine(o *scenario.Outcome, second int) []string {
	var e loadstats.Second
	if second < len(o.Evenness) {
		e = o.Evenness[second]
	}
	cores := 0.0
	if second < len(o.Cores) {
		cores = o.Cores[second]
	}
	line := []string{o.Program, strconv.FormatUint(o.Seed, 10), strconv.Itoa(second + 1)}
	for _, v := range []float64{o.Seconds[second].Requested, o.Seconds[second].Served, e.MeanLoad, e.Variation, e.HashingVariation, e.GreedyVariation, e.MinOverMean, e.MaxOverMean, e.JainIndex,
		e.IdleSeconds, e.HerdRatio, e.HerdExpected, float64(e.Arrivals), cores} {
		line = append(line, strconv.FormatFloat(v, 'g', 6, 64))
	}
	return line
}
