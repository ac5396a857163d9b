package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenbarrow/internal/golden"

	"aspenbarrow/example"
	"aspenbarrow/internal/config"
)

// writeGoldenInputs writes valid and invalid files into a temporary directory and returns its path.
func writeGoldenInputs(t *testing.T) string {
	t.Helper()
	every, err := os.ReadFile("../../internal/config/testdata/every.toml")
	if err != nil {
		t.Fatal(err)
	}
	bad := strings.NewReplacer("max-attempts = 4", "max-atempts = 4", `give-up = "1800ms"`, `give-up = 1800`, "[limits]", "[limits]\ncores = -1")
	dir := t.TempDir()
	for name, text := range map[string]string{"every.toml": string(every), "example.toml": example.Config, "bad.toml": bad.Replace(example.Config),
		"torn.toml": "[relay", "torn.json": "{", "sound.json": `{"listen":"a:1","discovery":"b:2","seed":"1","settings":{` +
			`"n-instances":1,"classes":[{"name":"c","effect":"read_like","on-time-ms":1,"give-up-ms":1}],"limits":{"try-limit":1,"dial-timeout-ms":1}}}`} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// TestCodec_Golden compares the output of each read-only command with golden files: the example, the schema,
// settings, routes and problems.
func TestCodec_Golden(t *testing.T) {
	for _, variable := range []string{"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_MANAGEMENT", "PROXY_CONFIG"} {
		t.Setenv(variable, "")
	}
	dir := writeGoldenInputs(t)
	type goldenFile struct{ name, text string }
	var files []goldenFile
	t.Run("commands", func(t *testing.T) {
		t.Chdir(dir)
		run := func(args ...string) string {
			stdout, stderr, err := runCommand(t, args...)
			var usage usageError
			text := stdout
			if stderr != "" {
				text += "(on standard error)\n" + stderr
			}
			if err != nil {
				text += fmt.Sprintf("(ends with, bad usage %v)\n%v\n", errors.As(err, &usage), err)
			}
			return text
		}
		for _, command := range []struct {
			name string
			args string
		}{
			{"example.toml", "config example"}, {"schema.json", "config schema"}, {"keys.md", "config keys"},
			{"show.txt", "config show --config every.toml"}, {"show.json", "config show --json --config every.toml"},
			{"show-example.txt", "config show --config example.toml"},
		} {
			files = append(files, goldenFile{command.name, run(strings.Fields(command.args)...)})
		}
		var transcript strings.Builder
		for _, args := range []string{"check every.toml example.toml sound.json", "check every.toml bad.toml torn.toml torn.json", "check --json bad.toml torn.json",
			"check --json every.toml", "check", "check none.toml", "config show --config bad.toml", "config show --config sound.json", "config show",
			"serve", "serve --config bad.toml", "nothing", "--no-flag", "routes explain --config every.toml --class status-watch",
			"routes explain --config every.toml --class status-watch --tenant kyushu --group 5c0f6e1a2b3d4c59 --key 7f00000000000001 --protocol amqp",
			"routes explain --json --config every.toml --class sig-fetch --key 0a00000000000000", "routes explain --config every.toml --class sig-fetch --tenant milano",
			"routes explain --config every.toml --class image-submit", "routes explain --config example.toml --class status-watch",
			"routes explain --json --config sound.json --class c", "routes explain --config every.toml --class sig-fetsh", "routes explain --config every.toml",
			"routes explain --config every.toml --class sig-fetch --protocol http", "routes explain --config every.toml --class sig-fetch --group 7"} {
			fmt.Fprintf(&transcript, "$ aspenbarrow %s\n%s", args, run(strings.Fields(args)...))
		}
		t.Setenv("PROXY_NAME", "n9")
		t.Setenv("PROXY_LISTEN", "127.0.0.1:59")
		t.Setenv("PROXY_DISCOVERY", "127.0.0.1:89")
		t.Setenv("PROXY_CONFIG", "example.toml")
		for line := range strings.Lines(run("config", "show")) {
			if strings.Contains(line, "environment") {
				transcript.WriteString(line)
			}
		}
		files = append(files, goldenFile{"commands.txt", transcript.String()})
	})
	for _, file := range files {
		golden.Compare(t, file.name, file.text)
	}
}

// TestCodec_GoldenIsReadAgain checks that the golden example is a valid configuration and the golden JSON is valid.
func TestCodec_GoldenIsReadAgain(t *testing.T) {
	noEnvironment := func(string) string { return "" }
	if _, err := config.Load(filepath.Join("testdata", "example.toml"), noEnvironment, false); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"schema.json", "show.json"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil || !json.Valid(text) {
			t.Errorf("%s is not valid JSON: %v", name, err)
		}
	}
}

// TestCodec_GoldenSites checks that the site files of the test bench are rejected as relay configurations, with
// the number of problems and the first problem of the golden file.
func TestCodec_GoldenSites(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no site files in ../../deploy/sites: %v", err)
	}
	var summary strings.Builder
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		_, err = config.Parse(filepath.Base(path), text, func(string) string { return "" }, false)
		var problems config.Problems
		if !errors.As(err, &problems) {
			t.Fatalf("%s: got error %v, want config.Problems", path, err)
		}
		fmt.Fprintf(&summary, "%d faults, the first: %v\n", len(problems), problems[0])
	}
	golden.Compare(t, "sites.txt", summary.String())
}
