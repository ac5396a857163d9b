package controller

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// Operators look up log messages in docs/oncall.md, so it must contain every message above debug level.
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
		for _, match := range calls.FindAllSubmatch(text, -1) {
			found++
			if !bytes.Contains(page, append(append([]byte("`"), match[1]...), '`')) {
				t.Errorf("%s logs %q, which docs/oncall.md does not document", name, match[1])
			}
		}
	}
	if found < 15 {
		t.Errorf("found %d log calls, want at least 15", found)
	}
}
