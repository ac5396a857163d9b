// Package config reads the configuration of a relay: a TOML file, or the JSON file of the platform that starts it. Both
// end in one Config. It also answers what a person or a program asks of a configuration: an example, a JSON Schema, the
// settings in force, the route of a request, and whether a file may replace the one in force.
//
// A TOML file is checked as a whole: Problems holds everything that is wrong with it, each with its line and column. The
// package supplies the documented defaults of TOML keys and none besides. It starts nothing and applies nothing: the
// program hands the parts of a Config to those who use them.
package config

import (
	"os"
	"strings"

	"aspenbarrow/internal/controller"
)

// tomlSuffix ends the names of TOML files; any other file is in the platform's JSON.
const tomlSuffix = ".toml"

// Config is the configuration of a relay.
type Config struct {
	Relay    controller.Config
	Cores    float64 // processor cores that the process may use; 0: as many as the system gives
	LogLevel string  // lowest level that is logged: debug, info, warn or error; empty: info

	document *document       // the TOML file; nil: the configuration was read from JSON
	platform []byte          // the text of the JSON file; nil: it was read from TOML
	given    map[string]bool // keys that the TOML file gives, by their full names
}

// Load reads a file: TOML if its name ends in .toml, else the platform's JSON. Environment variables take precedence
// over the file. reload says that the file is read again by a running relay; PROXY_DISCOVERY then yields to a discovery
// address in the file, since the environment still names that of the start of the process.
//
// The error of an unsound TOML file is of type Problems, that of an unsound JSON file a *KeyError.
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

// Parse reads a TOML text as Load reads a TOML file; name stands for the file in its errors, which are Problems.
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
	config.Relay.RuntimeDir = env(variableScratch)
	if len(src.problems) > 0 {
		return Config{}, src.problems.sorted()
	}
	config.document, config.given = doc, src.given
	return config, nil
}
