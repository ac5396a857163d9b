package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/scenario"
	"aspenbarrow/internal/simulation"
	"aspenbarrow/internal/testcluster"
)

func run(program string, violations ...string) scenario.Outcome {
	o := scenario.Outcome{Script: "a <bad> day", Program: program, Seed: 7, Service: 0.9, Violations: violations, Waits: &testcluster.LatencySummary{P99: 120}, Rates: &testcluster.TrafficRates{}, Usage: &testcluster.ResourceUsage{},
		Faults: []testcluster.FaultEffect{{Fault: fault.Fault{Kind: "relays <paused>", ScriptLine: 12}, StartedAt: 2 * time.Second, EndedAt: 5 * time.Second, Counts: map[string]int{"struck": 3}}}}
	for i := range 14 {
		o.Seconds = append(o.Seconds, simulation.ServiceSecond{Requested: 10, Served: 9})
		o.Evenness = append(o.Evenness, loadstats.Second{Imbalance: loadstats.Imbalance{Variation: 0.1, MinOverMean: 0.8, MaxOverMean: 1.2, JainIndex: 0.99}, HashingVariation: 0.2, MeanLoad: 0.5,
			Loads: []float64{0.4, 0.6, -1, float64(i) / 20}})
		o.Cores = append(o.Cores, 0.5)
	}
	return o
}

func TestWrite_PageIsCompleteAndSelfContained(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	violations := strings.Split(strings.Repeat("drain at 3: sent late,", 12), ",")[:12]
	if err := Write(dir, []scenario.Outcome{run("/x/a"), run("/x/b", violations...)}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, want := range []string{"a &lt;bad&gt; day", "relays &lt;paused&gt;", "struck: 3", "a, seed 7", "b, seed 7", "under half of hashing", "12 rules broken",
		"and 4 more", "Load by backend: a, seed 7", "Load by backend: b, seed 7", "Unevenness by second", "Service by second"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if n := strings.Count(page, "<svg"); n < 6 || strings.Count(page, "</svg>") != n {
		t.Errorf("%d svg elements begin, %d end; want at least 6 and as many", n, strings.Count(page, "</svg>"))
	}
	for _, forbidden := range []string{"<script", "<link", "src=", "@import", "<bad>"} {
		if strings.Contains(page, forbidden) {
			t.Errorf("the page contains %q", forbidden)
		}
	}
	csv, err := os.ReadFile(filepath.Join(dir, "report.csv"))
	if err != nil || strings.Count(string(csv), "\n") != 29 || !strings.Contains(string(csv), "/x/b,7,14,10,9,0.5,0.1,0.2,") {
		t.Errorf("%v: %s", err, csv)
	}
	decoded, err := Read(filepath.Join(dir, "report.json"))
	if err != nil || len(decoded) != 2 || decoded[1].Violations[3] != violations[3] || decoded[0].Faults[0].Counts["struck"] != 3 {
		t.Errorf("%v, %+v", err, decoded)
	}
}

// The effects of a fault come from a map. In that order two pages of the same run would differ, and a diff of pages show faults
// that have not changed.
func TestPage_ListsEffectsByName(t *testing.T) {
	outcome := run("/x/a")
	outcome.Faults[0].Counts = map[string]int{"struck": 3, "held": 1, "delayed": 2, "datagrams lost": 5, "datagrams doubled": 4}
	const want = "datagrams doubled: 4 datagrams lost: 5 delayed: 2 held: 1 struck: 3"
	for range 20 { // each walk over a map begins at a random entry
		dir := t.TempDir()
		if err := Write(dir, []scenario.Outcome{outcome}); err != nil {
			t.Fatal(err)
		}
		page, err := os.ReadFile(filepath.Join(dir, "report.html"))
		if err != nil || !strings.Contains(string(page), want) {
			t.Fatalf("error %v; the page does not contain %q", err, want)
		}
	}
}

func TestReadAndWrite_RejectMissingOutcomes(t *testing.T) {
	if err := Write(t.TempDir(), nil); err == nil {
		t.Error("Write accepts an empty list of outcomes")
	}
	for name, text := range map[string]string{"empty": "", "list": "[]", "other": `{"a":1}`, "truncated": `[{"script":"x"`} {
		p := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(p); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got error %v, want one that names the file", name, err)
		}
	}
}
