package report

import (
	"bytes"
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/scenario"
)

const (
	// maxViolations is how many violations of a run the page lists.
	maxViolations = 8
	// warmUpSeconds are excluded from the summary of evenness: an installation starts without connections and has to fill first.
	warmUpSeconds = 10
	// Ratios to the deviation of hashing alone: above unevenRatio the load counts as equally uneven, above halfRatio as
	// only somewhat more even.
	unevenRatio = 0.9
	halfRatio   = 0.5
)

//go:embed page.html.tmpl
var pageTemplate string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"f": func(digits int, v float64) string { return strconv.FormatFloat(v, 'f', digits, 64) },
}).Parse(pageTemplate))

// pageData is what the template shows.
type pageData struct {
	Script     string
	Runs       []runData
	Faults     []faultData
	Plots      []plotData
	Violations []string
}

// runData is a line of the table of runs.
type runData struct {
	Name    string
	O       *scenario.Outcome
	E       loadstats.Summary // without the warm-up
	First   loadstats.Summary // from the first second on
	Verdict string
}

// faultData is a line of the table of faults.
type faultData struct {
	Kind, From, To, Did, Line string
}

// plotData is a plot with its texts.
type plotData struct {
	Title, Note string
	SVG         template.HTML
}

// HTML returns the page of one outcome or more.
func HTML(outcomes []scenario.Outcome) ([]byte, error) {
	data := pageData{Script: outcomes[0].Script, Faults: faultsOf(&outcomes[0])}
	for i := range outcomes {
		o := &outcomes[i]
		data.Runs = append(data.Runs, runData{Name: runName(o), O: o, E: o.EvennessFrom(warmUpSeconds), First: o.EvennessFrom(0), Verdict: verdict(o)})
		data.Violations = append(data.Violations, violationsOf(o)...)
	}
	var err error
	if data.Plots, err = plots(drawnRuns(outcomes)); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = page.Execute(&out, data)
	return out.Bytes(), err
}

// violationsOf returns the first violations of a run, with its name.
func violationsOf(o *scenario.Outcome) (lines []string) {
	for i, violation := range o.Violations {
		if i == maxViolations {
			return append(lines, fmt.Sprintf("%s: and %d more; the JSON file lists all", runName(o), len(o.Violations)-i))
		}
		lines = append(lines, runName(o)+": "+violation)
	}
	return lines
}

func faultsOf(o *scenario.Outcome) (faults []faultData) {
	for _, f := range o.Faults {
		effects := ""
		for _, name := range slices.Sorted(maps.Keys(f.Counts)) {
			effects += fmt.Sprintf("%s: %d ", name, f.Counts[name])
		}
		faults = append(faults, faultData{f.Kind, formatSeconds(f.StartedAt), formatSeconds(f.EndedAt), effects, strconv.Itoa(f.ScriptLine)})
	}
	return faults
}

// drawnRuns returns the first run of each of the first two programs.
func drawnRuns(outcomes []scenario.Outcome) (drawn []*scenario.Outcome) {
	for i := range outcomes {
		o := &outcomes[i]
		if len(drawn) == 0 || len(drawn) == 1 && o.Program != drawn[0].Program {
			drawn = append(drawn, o)
		}
	}
	return drawn
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

func runName(o *scenario.Outcome) string {
	if o.Program == "" {
		return fmt.Sprintf("virtual clock, seed %d", o.Seed)
	}
	return fmt.Sprintf("%s, seed %d", filepath.Base(o.Program), o.Seed)
}

// verdict describes in words how even the load was, for readers who skip the figures.
func verdict(o *scenario.Outcome) string {
	e := o.EvennessFrom(warmUpSeconds)
	switch {
	case len(o.Violations) > 0:
		return fmt.Sprintf("%d rules broken", len(o.Violations))
	case e.HashingVariation == 0:
		return "nothing to compare"
	case e.IdleSeconds > 0:
		return fmt.Sprintf("backends idle for %.0f s in all", e.IdleSeconds)
	case e.RelativeVariation > unevenRatio:
		return "as uneven as hashing alone"
	case e.RelativeVariation > halfRatio:
		return "more even than hashing alone"
	}
	return "under half of hashing's unevenness"
}
