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

// writeGoldenInputs writes valid and invalid files into a temporary directory and returns it.
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
	for _, v := range []string{"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_MANAGEMENT", "PROXY_CONFIG"} {
		t.Setenv(v, "")
	}
	dir := writeGoldenInputs(t)
	type printed struct{ name, text string }
	var files []printed
	t.Run("commands", func(t *testing.T) {
		t.Chdir(dir)
		run := func(args ...string) string {
			stdout, stderr, err := runCommand(t, args...)
			var usage usageError
			s := stdout
			if stderr != "" {
				s += "(on standard error)\n" + stderr
			}
			if err != nil {
				s += fmt.Sprintf("(ends with, bad usage %v)\n%v\n", errors.As(err, &usage), err)
			}
			return s
		}
		for _, x := range []struct {
			name string
			args string
		}{
			{"example.toml", "config example"}, {"schema.json", "config schema"}, {"keys.md", "config keys"},
			{"show.txt", "config show --config every.toml"}, {"show.json", "config show --json --config every.toml"},
			{"show-example.txt", "config show --config example.toml"},
		} {
			files = append(files, printed{x.name, run(strings.Fields(x.args)...)})
		}
		var all strings.Builder
		for _, args := range []string{"check every.toml example.toml sound.json", "check every.toml bad.toml torn.toml torn.json", "check --json bad.toml torn.json",
			"check --json every.toml", "check", "check none.toml", "config show --config bad.toml", "config show --config sound.json", "config show",
			"serve", "serve --config bad.toml", "nothing", "--no-flag", "routes explain --config every.toml --class status-watch",
			"routes explain --config every.toml --class status-watch --tenant kyushu --group 5c0f6e1a2b3d4c59 --key 7f00000000000001 --protocol amqp",
			"routes explain --json --config every.toml --class sig-fetch --key 0a00000000000000", "routes explain --config every.toml --class sig-fetch --tenant milano",
			"routes explain --config every.toml --class image-submit", "routes explain --config example.toml --class status-watch",
			"routes explain --json --config sound.json --class c", "routes explain --config every.toml --class sig-fetsh", "routes explain --config every.toml",
			"routes explain --config every.toml --class sig-fetch --protocol http", "routes explain --config every.toml --class sig-fetch --group 7"} {
			fmt.Fprintf(&all, "$ aspenbarrow %s\n%s", args, run(strings.Fields(args)...))
		}
		t.Setenv("PROXY_NAME", "n9")
		t.Setenv("PROXY_LISTEN", "127.0.0.1:59")
		t.Setenv("PROXY_DISCOVERY", "127.0.0.1:89")
		t.Setenv("PROXY_CONFIG", "example.toml")
		for line := range strings.Lines(run("config", "show")) {
			if strings.Contains(line, "environment") {
				all.WriteString(line)
			}
		}
		files = append(files, printed{"commands.txt", all.String()})
	})
	for _, f := range files {
		golden.Compare(t, f.name, f.text)
	}
}

// TestCodec_GoldenIsReadAgain checks that the golden example is a valid configuration and the golden JSON is valid.
func TestCodec_GoldenIsReadAgain(t *testing.T) {
	none := func(string) string { return "" }
	if _, err := config.Load(filepath.Join("testdata", "example.toml"), none, false); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"schema.json", "show.json"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil || !json.Valid(text) {
			t.Errorf("%s is no JSON: %v", name, err)
		}
	}
}

// TestCodec_GoldenSites checks that the site files of the test bench are rejected as relay configurations, for the
// same number of problems.
func TestCodec_GoldenSites(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	var out strings.Builder
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		_, err = config.Parse(filepath.Base(p), text, func(string) string { return "" }, false)
		var problems config.Problems
		if !errors.As(err, &problems) {
			t.Fatalf("%s: %v", p, err)
		}
		fmt.Fprintf(&out, "%d faults, the first: %v\n", len(problems), problems[0])
	}
	golden.Compare(t, "sites.txt", out.String())
}
