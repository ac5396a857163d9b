// Package report writes the outcomes of scenarios as one self-contained HTML page with plots, and as JSON and CSV.
//
// The page's table has every run; the plots are of the first run of each of the first two programs. Values that
// were not measured are left out, not drawn as zero. The package plays no scenario; its only assessment is a
// short verdict on how even the load was.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"aspenbarrow/internal/scenario"
)

// The files of a report.
const (
	htmlFile = "report.html"
	jsonFile = "report.json"
	csvFile  = "report.csv"
)

// Write writes report.html, report.json and report.csv into a folder, which is created if it is missing.
func Write(dir string, outcomes []scenario.Outcome) error {
	if len(outcomes) == 0 {
		return errors.New("report: got no outcomes, expected at least 1")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	html, err := HTML(outcomes)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	text, err := json.Marshal(outcomes)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for name, content := range map[string][]byte{htmlFile: html, jsonFile: text, csvFile: CSV(outcomes)} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o644); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return nil
}

// Read reads a report.json, or the one outcome that "aspenlab scenario --json" prints. It returns an error if the
// file contains no outcome, or one without seconds comes first.
func Read(path string) ([]scenario.Outcome, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var outcomes []scenario.Outcome
	if err := json.Unmarshal(text, &outcomes); err != nil {
		var one scenario.Outcome
		if json.Unmarshal(text, &one) != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		outcomes = []scenario.Outcome{one}
	}
	if len(outcomes) == 0 || len(outcomes[0].Seconds) == 0 {
		return nil, fmt.Errorf("%s: got %d outcomes, expected at least 1, the first of them with seconds", path, len(outcomes))
	}
	return outcomes, nil
}
