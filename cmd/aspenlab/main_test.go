package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
)

// runSeeds runs the seeds command and returns its standard output.
func runSeeds(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out, errs bytes.Buffer
	c := seedsCommand()
	c.SetOut(&out)
	c.SetErr(&errs)
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func TestSeedsCommand(t *testing.T) {
	batchPath := filepath.Join(t.TempDir(), "b.json")
	out, err := runSeeds(t, "--from", "3", "--count", "4", "--length", "15s", "--json", batchPath)
	if err != nil || !strings.HasPrefix(lastLine(out), "4 seeds, 0 failed, ") || !strings.Contains(out, "pairs of faults that overlapped") {
		t.Errorf("%v\n%s", err, out)
	}
	out, err = runSeeds(t, "--from", "3", "--count", "4", "--length", "15s", "--workers", "2", "--compare", batchPath, "--quiet")
	if err != nil || !strings.Contains(out, "worth served") || !strings.Contains(out, "+0.0000 ± 0.0000") {
		t.Errorf("the same seeds differ: %v\n%s", err, out)
	}
	if out, err := runSeeds(t, "--count", "1", "--length", "10s", "--complete", "--quiet"); err == nil || !strings.Contains(out, "never came up: fault ") {
		t.Errorf("one seed covers every kind of fault and expected count: %v\n%s", err, out)
	}
	first, err := runSeeds(t, "--replay", "7", "--trace", "--length", "10s")
	second, _ := runSeeds(t, "--replay", "7", "--trace", "--length", "10s")
	if err != nil || first != second || strings.Count(first, "\n") < 1000 {
		t.Errorf("%v, traces of %d and %d bytes", err, len(first), len(second))
	}
	if out, err := runSeeds(t, "--replay", "7", "--shrink", "--length", "10s"); err != nil || out != "seed 7 breaks no rule\n" {
		t.Errorf("%q, %v", out, err)
	}
	for _, args := range [][]string{{"--count", "0"}, {"--length", "1ms"}, {"--compare", "nowhere", "--count", "1", "--length", "1s"}, {"more"}} {
		if _, err := runSeeds(t, args...); err == nil {
			t.Errorf("%v: no error", args)
		}
	}
}

func lastLine(out string) string {
	lines := strings.Split(strings.TrimSpace(out), "\n")
	return lines[len(lines)-1]
}

func TestScenarioAndCheckCommands(t *testing.T) {
	const script = "../../example/rehearsals/relays-die.toml"
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := scenarioCommand()
		if args[0] == "check" {
			c = checkScriptsCommand()
		}
		c.SetOut(&out)
		c.SilenceErrors, c.SilenceUsage = true, true
		c.SetArgs(args[1:])
		err := c.Execute()
		return out.String(), err
	}
	first, err := run("scenario", script)
	second, _ := run("scenario", script)
	if err != nil || first != second || !strings.Contains(first, "relays die together") || !strings.Contains(first, "worst ten seconds") {
		t.Errorf("%v, same output twice: %v\n%s", err, first == second, first)
	}
	if other, err := run("scenario", script, "--seed", "2", "--json"); err != nil || !strings.Contains(other, `"seconds"`) {
		t.Errorf("%v\n%s", err, other)
	}
	if _, err := run("check", script); err != nil {
		t.Error(err)
	}
	if _, err := run("check", script, "main.go"); err == nil || !strings.Contains(err.Error(), "main.go:1:") {
		t.Errorf("check of main.go: error %v, want one with its position", err)
	}
	if _, err := run("scenario", "nowhere.toml"); err == nil {
		t.Error("scenario of a missing script: no error")
	}
}

func TestRootCommand_KeepsFormerNames(t *testing.T) {
	for former, name := range map[string]string{"try": "demo", "rehearse": "scenario"} {
		if c, _, err := rootCommand().Find([]string{former}); err != nil || c.Name() != name {
			t.Errorf("%s finds the command %v, %v; want %s", former, c.Name(), err, name)
		}
	}
}
