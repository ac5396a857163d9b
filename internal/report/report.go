// Package report writes the outcomes of rehearsals as one self-contained HTML page with plots, and as JSON and CSV.
//
// The table of the page has every run; the plots are of the first run of each of the first two programs. Values that
// were not measured are left out, not drawn as zero.
package report

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/rehearsal"
)

// Write writes report.html, report.json and report.csv into a folder, which is made if it is missing.
func Write(dir string, outcomes []rehearsal.Outcome) error {
	if len(outcomes) == 0 {
		return fmt.Errorf("report: there is no run")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	page, err := Page(outcomes)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	text, err := json.Marshal(outcomes)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for name, b := range map[string][]byte{"report.html": page, "report.json": text, "report.csv": Table(outcomes)} {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return nil
}

// Read reads a report.json, or the one outcome that "aspenlab rehearse --json" prints. A file without a run is an error.
func Read(path string) ([]rehearsal.Outcome, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var outcomes []rehearsal.Outcome
	if err := json.Unmarshal(text, &outcomes); err != nil {
		var one rehearsal.Outcome // what a rehearsal prints with --json
		if json.Unmarshal(text, &one) != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		outcomes = []rehearsal.Outcome{one}
	}
	if len(outcomes) == 0 || len(outcomes[0].Seconds) == 0 {
		return nil, fmt.Errorf("%s: holds no run", path)
	}
	return outcomes, nil
}

// Table returns the outcomes as CSV, with a header and a line for each second of each run.
func Table(outcomes []rehearsal.Outcome) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	_ = w.Write([]string{"program", "seed", "second", "asked", "served", "mean_load", "deviation", "hashing", "even_hand", "least", "most", "jain",
		"idle_backend_s", "herd", "herd_part", "arrivals", "cores"})
	for i := range outcomes {
		o := &outcomes[i]
		for s := range o.Seconds {
			var e loadstats.Second
			if s < len(o.Evenness) {
				e = o.Evenness[s]
			}
			cores := 0.0
			if s < len(o.Machine) {
				cores = o.Machine[s]
			}
			line := []string{o.Program, strconv.FormatUint(o.Seed, 10), strconv.Itoa(s + 1)}
			for _, v := range []float64{o.Seconds[s].Asked, o.Seconds[s].Served, e.MeanLoad, e.Variation, e.HashingVariation, e.GreedyVariation, e.MinOverMean, e.MaxOverMean, e.JainIndex,
				e.IdleSeconds, e.HerdRatio, e.HerdExpected, float64(e.Arrivals), cores} {
				line = append(line, strconv.FormatFloat(v, 'g', 6, 64))
			}
			_ = w.Write(line)
		}
	}
	w.Flush()
	return out.Bytes()
}

type view struct {
	Script string
	Runs   []runView
	Faults []faultView
	Plots  []plotView
	Broken []string
}

type runView struct {
	Name    string
	O       *rehearsal.Outcome
	E       loadstats.Summary
	First   loadstats.Summary // from the first second on
	Verdict string
}

type faultView struct {
	Kind, From, To, Did, Line string
}

type plotView struct {
	Title, Note string
	SVG         template.HTML
}

// mostTold is how many broken rules of a run the page names.
const mostTold = 8

// settled is the second from which evenness is summed up.
const settled = 10

// Page returns the HTML page of one outcome or more. The first run of each of the first two programs is drawn; the table has all.
func Page(outcomes []rehearsal.Outcome) ([]byte, error) {
	first := &outcomes[0]
	v := view{Script: first.Script}
	var drawn []*rehearsal.Outcome
	for i := range outcomes {
		o := &outcomes[i]
		v.Runs = append(v.Runs, runView{Name: name(o), O: o, E: o.Even(settled), First: o.Even(0), Verdict: verdict(o)})
		for k, b := range o.Broken {
			if k == mostTold {
				v.Broken = append(v.Broken, fmt.Sprintf("%s: and %d more; the JSON has all", name(o), len(o.Broken)-k))
				break
			}
			v.Broken = append(v.Broken, name(o)+": "+b)
		}
		if len(drawn) == 0 || len(drawn) == 1 && o.Program != drawn[0].Program {
			drawn = append(drawn, o)
		}
	}
	for _, f := range first.Faults {
		did := ""
		for what, n := range f.Did {
			did += fmt.Sprintf("%s: %d ", what, n)
		}
		v.Faults = append(v.Faults, faultView{f.Kind, clock(f.Began), clock(f.Ended), did, strconv.Itoa(f.Line)})
	}
	var err error
	if v.Plots, err = plots(drawn); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = page.Execute(&out, v)
	return out.Bytes(), err
}

func clock(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

func name(o *rehearsal.Outcome) string {
	if o.Program == "" {
		return fmt.Sprintf("virtual clock, seed %d", o.Seed)
	}
	return fmt.Sprintf("%s, seed %d", filepath.Base(o.Program), o.Seed)
}

// verdict says in words how even the load is, for who reads no figures.
func verdict(o *rehearsal.Outcome) string {
	e := o.Even(settled)
	switch {
	case len(o.Broken) > 0:
		return fmt.Sprintf("%d rules broken", len(o.Broken))
	case e.HashingVariation == 0:
		return "nothing to compare"
	case e.IdleSeconds > 0:
		return fmt.Sprintf("backends idle for %.0f s in all", e.IdleSeconds)
	case e.RelativeVariation > 0.9:
		return "as uneven as hashing alone"
	case e.RelativeVariation > 0.5:
		return "more even than hashing alone"
	}
	return "under half of hashing's unevenness"
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"f": func(digits int, v float64) string { return strconv.FormatFloat(v, 'f', digits, 64) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Script}}</title>
<style>
body{font:16px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:76rem;padding:0 1rem;color:#1b1b1b;background:#fff}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.3rem .8rem;text-align:right;border-bottom:1px solid #ddd}
th:first-child,td:first-child,.l{text-align:left!important}.bad{color:#a40000;font-weight:600}h2{margin-top:2.2rem}
figure{margin:1rem 0}figcaption{color:#444}svg{max-width:100%;height:auto}
</style></head><body>
<h1>{{.Script}}</h1>
<p>Servers and clients are stand-ins. Load is what connections ask of a backend over what it can do; its deviation is over the mean, from second 10 on.</p>
{{if .Broken}}<h2 class="bad">Rules broken</h2><ul>{{range .Broken}}<li class="bad">{{.}}</li>{{end}}</ul>{{end}}
<table><tr><th>run</th><th class="l">in a word</th><th>service</th><th>worst ten s</th><th>deviation</th><th>hashing</th><th>even hand</th><th>least</th><th>most</th><th>idle backend-s</th><th>worst herd (hashing)</th><th>99% wait</th></tr>
{{range .Runs}}<tr><td>{{.Name}}</td><td class="l{{if .O.Broken}} bad{{end}}">{{.Verdict}}</td><td>{{f 4 .O.Whole}}</td><td>{{f 4 .O.WorstTen}}</td><td>{{f 3 .E.Variation}}</td><td>{{f 3 .E.HashingVariation}}</td><td>{{f 3 .E.GreedyVariation}}</td><td>{{f 2 .E.LowestOverMean}}</td><td>{{f 2 .E.MaxOverMean}}</td><td>{{f 1 .E.IdleSeconds}}</td><td>{{f 2 .First.HerdRatio}} ({{f 2 .First.HashingHerdRatio}})</td><td>{{if .O.Waits}}{{f 0 .O.Waits.P99}} ms{{else}}-{{end}}</td></tr>
{{end}}</table>
{{if .Faults}}<h2>Faults, and what each really did</h2><table><tr><th>fault</th><th>from</th><th>to</th><th class="l">did</th><th>script line</th></tr>
{{range .Faults}}<tr><td>{{.Kind}}</td><td>{{.From}}</td><td>{{.To}}</td><td class="l">{{.Did}}</td><td>{{.Line}}</td></tr>{{end}}</table>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2><figure>{{.SVG}}<figcaption>{{.Note}}</figcaption></figure>
{{end}}</body></html>
`))
