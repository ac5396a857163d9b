package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Setting is a key and its value in force.
type Setting struct {
	Key    string `json:"key"`
	Value  string `json:"value"`          // as written in a TOML file
	Source string `json:"from,omitempty"` // "default", "file", or "environment" and a variable; empty in an Explanation
}

// Values of Setting.Source.
const (
	sourceDefault     = "default"
	sourceFile        = "file"
	sourceEnvironment = "environment "
)

// listedVariables are the environment variables that EffectiveSettings names as the source of a value. PROXY_MANAGEMENT
// is not among them, although override applies it: the source of relay.management is then listed as file or default.
var listedVariables = map[string]string{
	keyName:      variableName,
	keyListen:    variableListen,
	keyDiscovery: variableDiscovery,
}

// EffectiveSettings returns all keys in the order of the document, with their values in force and the sources of these;
// nil for a configuration in the platform's JSON.
func (c *Config) EffectiveSettings(env Environment) []Setting {
	if c.document == nil {
		return nil
	}
	list := c.listSection(nil, "", reflect.ValueOf(c.document).Elem())
	for i := range list {
		if variable, ok := listedVariables[list[i].Key]; ok && env(variable) != "" {
			list[i].Source = sourceEnvironment + variable
		}
	}
	return list
}

// listSection appends the keys of a section to a list.
func (c *Config) listSection(list []Setting, path string, section reflect.Value) []Setting {
	for _, key := range keysOf(section.Type()) {
		name, value := joinKey(path, key.name), section.FieldByIndex(key.index)
		switch {
		case key.isSection():
			list = c.listSection(list, name, value)
		case key.isSectionList():
			for i := range value.Len() {
				list = c.listSection(list, elementKey(name, i), value.Index(i))
			}
		default:
			source := sourceDefault
			if c.given[name] {
				source = sourceFile
			}
			list = append(list, Setting{Key: name, Value: formatValue(value), Source: source})
		}
	}
	return list
}

// FormatTOML returns a TOML file that parses to the same configuration and has every key but optional ones with an empty
// text. For a configuration in the platform's JSON it returns an empty text.
func (c *Config) FormatTOML() string {
	if c.document == nil {
		return ""
	}
	var out strings.Builder
	formatSection(&out, reflect.ValueOf(c.document).Elem())
	return out.String()
}

func formatSection(out *strings.Builder, section reflect.Value) {
	for _, key := range keysOf(section.Type()) {
		value := section.FieldByIndex(key.index)
		switch {
		case key.isSection():
			fmt.Fprintf(out, "[%s]\n", key.name)
			formatSection(out, value)
		case key.isSectionList():
			for i := range value.Len() {
				fmt.Fprintf(out, "[[%s]]\n", key.name)
				formatSection(out, value.Index(i))
			}
		case value.Kind() == reflect.String && value.Len() == 0 && !key.isRequired():
			// The empty text means that the key is absent; some keys do not accept it as a value.
		default:
			fmt.Fprintf(out, "%s = %s\n", key.name, formatValue(value))
		}
	}
}

// formatValue returns the value of a key as a TOML file writes it.
func formatValue(value reflect.Value) string {
	switch typed := value.Interface().(type) {
	case time.Duration:
		return strconv.Quote(typed.String())
	case string:
		return strconv.Quote(typed)
	case []string:
		return formatList(strings.Join(typed, ","))
	case float64:
		return formatFloat(typed)
	}
	return fmt.Sprint(value.Interface())
}

// formatFloat returns the shortest text that parses to a number.
func formatFloat(number float64) string {
	const shortest = -1
	return strconv.FormatFloat(number, 'g', shortest, 64)
}
