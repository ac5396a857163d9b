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

// command runs the command line and returns what went to standard output and to standard error.
func runCommand(t *testing.T, args ...string) (out, errs string, err error) {
	t.Helper()
	var o, e bytes.Buffer
	c := newRootCommand()
	c.SetOut(&o)
	c.SetErr(&e)
	c.SetArgs(args)
	err = c.Execute()
	return o.String(), e.String(), err
}

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
	if out, errs, err := runCommand(t, "check", good); err != nil || out+errs != "" {
		t.Errorf("%q, %q, %v", out, errs, err)
	}
	out, errs, err := runCommand(t, "check", good, bad)
	var u usageError
	if !errors.As(err, &u) || out != "" || strings.Count(errs, "\n") != 2 || !strings.Contains(errs, `rules.max-atempts: no such key; is "max-attempts" meant?`) ||
		!strings.Contains(errs, "class[1].give-up: is a whole number") {
		t.Errorf("%q, %q, %v", out, errs, err)
	}
	out, errs, err = runCommand(t, "check", "--json", bad)
	var faults []config.Problem
	if jsonErr := json.Unmarshal([]byte(out), &faults); jsonErr != nil || len(faults) != 2 || faults[0].Line == 0 || errs != "" || err == nil {
		t.Errorf("%v: %q, %q, %v", jsonErr, out, errs, err)
	}
}

func TestConfigShowCommand_ReportsValueSources(t *testing.T) {
	t.Setenv("PROXY_NAME", "n7")
	path := writeFile(t, "a.toml", example.Config)
	out, _, err := runCommand(t, "config", "show", "--config", path, "--json")
	var list []config.Setting
	if jsonErr := json.Unmarshal([]byte(out), &list); err != nil || jsonErr != nil {
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
	if out, _, err := runCommand(t, "config", "show", "--config", path); err != nil || !strings.Contains(out, "relay.name") {
		t.Errorf("%q, %v", out, err)
	}
}

func TestCommands_OutputAndUsageErrors(t *testing.T) {
	path := writeFile(t, "a.toml", example.Config)
	out, _, err := runCommand(t, "routes", "explain", "--config", path, "--class", "status-watch", "--key", "00000000000000ff")
	if err != nil || !strings.Contains(out, "class status-watch") || !strings.Contains(out, "second-after     250ms") || !strings.Contains(out, "connect-timeout  100ms") {
		t.Errorf("%q, %v", out, err)
	}
	if out, _, err := runCommand(t, "config", "example"); err != nil || !strings.Contains(out, "[relay]") {
		t.Errorf("%q, %v", out, err)
	}
	if out, _, err := runCommand(t, "config", "schema"); err != nil || !json.Valid([]byte(out)) {
		t.Errorf("%q, %v", out, err)
	}
	if out, _, err := runCommand(t, "version"); err != nil || !strings.HasPrefix(out, "aspenbarrow ") {
		t.Errorf("%q, %v", out, err)
	}
	if out, _, err := runCommand(t, "completion", "bash"); err != nil || !strings.Contains(out, "aspenbarrow") {
		t.Errorf("%d bytes, %v", len(out), err)
	}
	for _, args := range [][]string{{"check"}, {"serve"}, {"serve", "--config", writeFile(t, "bad.toml", "[relay")}, {"nothing"}, {"--no-flag"},
		{"routes", "explain", "--config", path, "--class", "unheard"}, {"config", "show"}, {"version", "more"}} {
		_, _, err := runCommand(t, args...)
		var u usageError
		if !errors.As(err, &u) {
			t.Errorf("%v is no bad usage: %v", args, err)
		}
	}
}
