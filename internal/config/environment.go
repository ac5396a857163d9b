package config

// The environment variables that take precedence over a file, and the one that names a folder for temporary files.
const (
	variableName       = "PROXY_NAME"
	variableListen     = "PROXY_LISTEN"
	variableDiscovery  = "PROXY_DISCOVERY"
	variableManagement = "PROXY_MANAGEMENT"
	variableTempDir    = "TMPDIR"
)

// Environment returns the value of an environment variable, empty if it is not set, as os.Getenv does.
type Environment func(variable string) string

// overrides are the values of a file that environment variables replace.
type overrides struct {
	name, listen, discovery, management *string
}

// override replaces the values of a file by those of the environment. When a running relay reads its file again, a
// discovery address in the file is kept, because the environment of a running process does not change.
func (env Environment) override(reload bool, values overrides) {
	if reload && *values.discovery != "" {
		values.discovery = nil
	}
	for _, override := range []struct {
		variable string
		value    *string
	}{
		{variableName, values.name},
		{variableListen, values.listen},
		{variableDiscovery, values.discovery},
		{variableManagement, values.management},
	} {
		if text := env(override.variable); text != "" && override.value != nil {
			*override.value = text
		}
	}
}
