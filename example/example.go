// Package example embeds the example configuration, so that programs can use it
// without the file.
package example

import _ "embed"

// Config is a valid TOML configuration of a relay with three classes.
//
//go:embed aspenbarrow.toml
var Config string
