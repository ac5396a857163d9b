package scenario

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

func TestCell_PairsSeedsAndNeedsSignificance(t *testing.T) {
	first := []Outcome{{Service: 0.9}, {Service: 0.8}, {Service: 0.7}}
	own := []Outcome{{Service: 0.92}, {Service: 0.82}, {Service: 0.75, Violations: []string{"x"}}}
	c := newCell("s", "least", first, own)
	// Differences 0.02, 0.02, 0.05: mean 0.03, deviation 0.01732, mean's interval 0.0196.
	if math.Abs(c.Difference-0.03) > 1e-9 || math.Abs(c.ConfidenceBound-0.0196) > 1e-4 || c.FailedSeeds != 1 || c.SeedsNeeded != 12 ||
		c.Verdict("module") != "better than module by 0.0300" {
		t.Errorf("%+v, %s", c, c.Verdict("module"))
	}
	c.Difference = 0.01
	if !strings.HasPrefix(c.Verdict("module"), "no difference") {
		t.Errorf("%s", c.Verdict("module"))
	}
}

func TestExperiment_IsTheSameForAnyNumberOfWorkers(t *testing.T) {
	s := scripts(t)["slow-backend.toml"]
	e := Experiment{Scripts: []Script{s}, Seeds: 2, Policies: []string{"", "hash", "oracle"}, Workers: 1}
	one := e.Run(nil)
	e.Workers = 4
	reports := 0
	many := e.Run(func(int, int) { reports++ })
	for i := range one {
		if one[i] != many[i] {
			t.Errorf("one worker: %+v, four workers: %+v", one[i], many[i])
		}
	}
	var out bytes.Buffer
	WriteTable(&out, many)
	if len(one) != 3 || reports != 6 || one[0].Policy != "module" || one[0].Difference != 0 || strings.Count(out.String(), "service") != 3 {
		t.Errorf("%+v\n%s", one, out.String())
	}
}
