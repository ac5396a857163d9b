// Package config reads the configuration of a relay: a TOML file, or the JSON file of the platform that starts it. Both
// produce a Config. The package also generates an example file and a JSON Schema, lists the settings in force, finds the
// route of a request, and checks whether a file may replace the one in force.
//
// A TOML file is checked as a whole: Problems holds all its errors, each with its line and column. The package supplies
// the documented defaults of TOML keys and no others. It only reads: the program passes the parts of a Config to the
// packages that use them.
package config

import (
	"os"
	"strings"

	"aspenbarrow/internal/controller"
)

// tomlSuffix is the suffix of the names of TOML files; any other file is in the platform's JSON.
const tomlSuffix = ".toml"

// Config is the configuration of a relay.
type Config struct {
	Relay    controller.Config
	Cores    float64 // processor cores that the process may use; 0: all that the system provides
	LogLevel string  // lowest level that is logged: debug, info, warn or error; empty: info

	document *document       // the TOML file; nil: the configuration was read from JSON
	platform []byte          // the text of the JSON file; nil: it was read from TOML
	given    map[string]bool // keys that the TOML file contains, by their full names
}

// Load reads a file: TOML if its name ends in .toml, else the platform's JSON. Environment variables take precedence
// over the file. reload means that a running relay reads the file again. A discovery address in the file then takes
// precedence over PROXY_DISCOVERY, because the environment of the process still holds the address of its start.
//
// The error of an invalid TOML file is of type Problems, that of an invalid JSON file a *KeyError.
func Load(path string, env Environment, reload bool) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	if strings.HasSuffix(path, tomlSuffix) {
		return Parse(path, text, env, reload)
	}
	return parsePlatform(path, text, env, reload)
}

// Parse reads a TOML text as Load reads a TOML file. Its errors are Problems, with name as the name of the file.
func Parse(name string, text []byte, env Environment, reload bool) (Config, error) {
	src := newSource(name, text)
	doc := src.decode()
	if doc == nil {
		return Config{}, src.problems
	}
	env.override(reload, overrides{
		name:       &doc.Relay.Name,
		listen:     &doc.Relay.Listen,
		discovery:  &doc.Discovery.Address,
		management: &doc.Relay.Management,
	})
	src.dropMissing(keyListen, doc.Relay.Listen)
	src.dropMissing(keyDiscovery, doc.Discovery.Address)

	b := builder{source: src, doc: doc}
	config := b.config()
	config.Relay.RuntimeDir = env(variableTempDir)
	if len(src.problems) > 0 {
		return Config{}, src.problems.sorted()
	}
	config.document, config.given = doc, src.given
	return config, nil
}
