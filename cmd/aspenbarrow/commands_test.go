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
	var stdoutBuffer, stderrBuffer bytes.Buffer
	root := newRootCommand()
	root.SetOut(&stdoutBuffer)
	root.SetErr(&stderrBuffer)
	root.SetArgs(args)
	err = root.Execute()
	return stdoutBuffer.String(), stderrBuffer.String(), err
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
	valid := writeFile(t, "good.toml", example.Config)
	invalid := writeFile(t, "bad.toml", strings.Replace(strings.Replace(example.Config, "max-attempts = 4", "max-atempts = 4", 1),
		`give-up = "1800ms"`, `give-up = 1800`, 1))
	if stdout, stderr, err := runCommand(t, "check", valid); err != nil || stdout+stderr != "" {
		t.Errorf("check of a valid file: stdout %q, stderr %q, error %v", stdout, stderr, err)
	}
	stdout, stderr, err := runCommand(t, "check", valid, invalid)
	var usage usageError
	if !errors.As(err, &usage) || stdout != "" || strings.Count(stderr, "\n") != 2 || !strings.Contains(stderr, `rules.max-atempts: no such key; did you mean "max-attempts"?`) ||
		!strings.Contains(stderr, "class[1].give-up: got the whole number 1800") {
		t.Errorf("check of an invalid file: stdout %q, stderr %q, error %v", stdout, stderr, err)
	}
	stdout, stderr, err = runCommand(t, "check", "--json", invalid)
	var problems []config.Problem
	if jsonErr := json.Unmarshal([]byte(stdout), &problems); jsonErr != nil || len(problems) != 2 || problems[0].Line == 0 || stderr != "" || err == nil {
		t.Errorf("check --json: JSON error %v, stdout %q, stderr %q, error %v", jsonErr, stdout, stderr, err)
	}
}

func TestConfigShowCommand_ReportsValueSources(t *testing.T) {
	t.Setenv("PROXY_NAME", "n7")
	path := writeFile(t, "a.toml", example.Config)
	stdout, _, err := runCommand(t, "config", "show", "--config", path, "--json")
	var settings []config.Setting
	if jsonErr := json.Unmarshal([]byte(stdout), &settings); err != nil || jsonErr != nil {
		t.Fatalf("config show --json: error %v, JSON error %v", err, jsonErr)
	}
	want := map[string]string{"relay.name": "environment PROXY_NAME", "limits.sockets": "file", "rules.tick": "default"}
	for _, setting := range settings {
		if source, ok := want[setting.Key]; ok && source != setting.Source {
			t.Errorf("%s from %q, want %q", setting.Key, setting.Source, source)
		}
		delete(want, setting.Key)
	}
	if len(want) > 0 {
		t.Errorf("config show --json lacks these keys: %v", want)
	}
	if stdout, _, err := runCommand(t, "config", "show", "--config", path); err != nil || !strings.Contains(stdout, "relay.name") {
		t.Errorf("config show: stdout %q, error %v", stdout, err)
	}
}

func TestCommands_OutputAndUsageErrors(t *testing.T) {
	path := writeFile(t, "a.toml", example.Config)
	stdout, _, err := runCommand(t, "routes", "explain", "--config", path, "--class", "status-watch", "--key", "00000000000000ff")
	if err != nil || !strings.Contains(stdout, "class status-watch") || !strings.Contains(stdout, "second-after     250ms") || !strings.Contains(stdout, "connect-timeout  100ms") {
		t.Errorf("routes explain: stdout %q, error %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "config", "example"); err != nil || !strings.Contains(stdout, "[relay]") {
		t.Errorf("config example: stdout %q, error %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "config", "schema"); err != nil || !json.Valid([]byte(stdout)) {
		t.Errorf("config schema: stdout %q, error %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "version"); err != nil || !strings.HasPrefix(stdout, "aspenbarrow ") {
		t.Errorf("version: stdout %q, error %v", stdout, err)
	}
	if stdout, _, err := runCommand(t, "completion", "bash"); err != nil || !strings.Contains(stdout, "aspenbarrow") {
		t.Errorf("completion bash: %d bytes on stdout, error %v", len(stdout), err)
	}
	for _, args := range [][]string{{"check"}, {"serve"}, {"serve", "--config", writeFile(t, "bad.toml", "[relay")}, {"nothing"}, {"--no-flag"},
		{"routes", "explain", "--config", path, "--class", "undefined"}, {"config", "show"}, {"version", "more"}} {
		_, _, err := runCommand(t, args...)
		var usage usageError
		if !errors.As(err, &usage) {
			t.Errorf("%v: error %v, want a usage error", args, err)
		}
	}
}
