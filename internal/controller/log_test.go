package controller

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// Operators look messages up: each that can be logged above debug level is documented.
func TestLog_EachMessageIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	var sources []string
	for _, dir := range []string{".", "../protocol", "../discovery", "../session", "../upstream", "../handshake", "../healthcheck",
		"../metrics", "../hotrestart", "../shadow", "../decision", "../settings", "../relay", "../admin"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		sources = append(sources, files...)
	}
	calls := regexp.MustCompile(`log\.(?:Info|Warn|Error)\(\s*"([^"]+)"`)
	found := 0
	for _, name := range sources {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range calls.FindAllSubmatch(text, -1) {
			found++
			if !bytes.Contains(page, append(append([]byte("`"), m[1]...), '`')) {
				t.Errorf("%s logs %q, which docs/oncall.md does not document", name, m[1])
			}
		}
	}
	if found < 15 {
		t.Errorf("only %d log lines found", found)
	}
}
