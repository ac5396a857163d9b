package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenbarrow/example"
	"aspenbarrow/internal/config"
)

// runCommand runs the command line and returns what it wrote to standard output and to standard error.
func runCommand(t *testing.T, args ...string) (stdout, stderr string, err error) {
	t.Helper()
	var o, e bytes.Buffer
	root := newRootCommand()
	root.SetOut(&o)
	root.SetErr(&e)
	root.SetArgs(args)
	err = root.Execute()
	return o.String(), e.String(), err
}

// writeFile writes a file into a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheckCommand_ReportsAllProblems(t *testing.T) {
	good := writeFile(t, "good.toml", example.Config)
	bad := writeFile(t, "bad.toml", strings.Replace(strings.Replace(example.Config, "max-attempts = 4", "max-atempts = 4", 1),
		`give-up = "1800ms"`, `give-up = 1800`, 1))
	if stdout, stderr, err := runCommand(t, "check", good); err != nil || stdout+stderr != "" {
		t.Errorf("%q, %q, %v", stdout, stderr, err)
	}
	stdout, stderr, err := runCommand(t, "check", good, bad)
	var usage usageError
	if !errors.As(err, &usage) || stdout != "" || strings.Count(stderr, "\n") != 2 || !strings.Contains(stderr, `rules.max-atempts: no such key; did you mean "max-attempts"?`) ||
		!strings.Contains(stderr, "class[1].give-up: got the whole number 1800") {
		t.Errorf("%q, %q, %v", stdout, stderr, err)
	}
	stdout, stderr, err = runCommand(t, "check", "--json", bad)
	var problems []config.Problem
	if jsonErr := json.Unmarshal([]byte(stdout), &problems); jsonErr != nil || len(problems) != 2 || problems[0].Line == 0 || stderr != "" || err == nil {
		t.Errorf("%v: %q, %q, %v", jsonErr, stdout, stderr, err)
	}
}

func TestConfigShowCommand_ReportsValueSources(t *testing.T) {
	t.Setenv("PROXY_NAME", "n7")
	path := writeFile(t, "a.toml", example.Config)
	stdout, _, err := runCommand(t, "config", "show", "--config", path, "--json")
	var list []config.Setting
	if jsonErr := json.Unmarshal([]byte(stdout), &list); err != nil || jsonErr != nil {
		t.Fatalf("%v, %v", err, jsonErr)
	}
	want := map[string]string{"relay.name": "environment PROXY_NAME", "limits.sockets": "file", "rules.tick": "default"}
	for _, s := range list {
		if w, ok := want[s.Key]; ok && w != s.Source {
			t.Errorf("%s from %q, want %q", s.Key, s.Source, w)
		}
		delete(want, s.Key)
	}
	if len(want) > 0 {
		t.Errorf("not shown: %v", want)
	}
	if stdout, _, err := runCommand(t, "config", "show", "--config", path); err != nil || !strings.Contains(stdout, "relay.name") {
		t.Errorf("%q, %v", stdout, err)
	}
}

func TestCommands_OutputAndUsageErrors(t *testing.T) {
	path := writeFile(t, "a.toml", example.Config)
	stdout, _, err := runCommand(t, "routes", "explain", "--config", path, "--class", "status-watch", "--key", "00000000000000ff")
	if err != nil || !strings.Contains(stdout, "class status-watch") || !strings.Contains(stdout, "second-after     250ms") || !strings.Contains(stdout, "connect-timeout  100ms") {
		t.Errorf("%q, %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "config", "example"); err != nil || !strings.Contains(stdout, "[relay]") {
		t.Errorf("%q, %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "config", "schema"); err != nil || !json.Valid([]byte(stdout)) {
		t.Errorf("%q, %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "version"); err != nil || !strings.HasPrefix(stdout, "aspenbarrow ") {
		t.Errorf("%q, %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "completion", "bash"); err != nil || !strings.Contains(stdout, "aspenbarrow") {
		t.Errorf("%d bytes, %v", len(stdout), err)
	}
	for _, args := range [][]string{{"check"}, {"serve"}, {"serve", "--config", writeFile(t, "bad.toml", "[relay")}, {"nothing"}, {"--no-flag"},
		{"routes", "explain", "--config", path, "--class", "unheard"}, {"config", "show"}, {"version", "more"}} {
		_, _, err := runCommand(t, args...)
		var usage usageError
		if !errors.As(err, &usage) {
			t.Errorf("%v: not a usage error: %v", args, err)
		}
	}
}
