package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"
)

// jsonSchema is a JSON Schema, or the part of one for a key. The order of its fields is that of the output.
type jsonSchema struct {
	Schema               string                 `json:"$schema,omitempty"`
	AdditionalProperties *bool                  `json:"additionalProperties,omitempty"`
	Default              any                    `json:"default,omitempty"`
	Description          string                 `json:"description,omitempty"`
	Enum                 []string               `json:"enum,omitempty"`
	Items                *jsonSchema            `json:"items,omitempty"`
	Minimum              *int                   `json:"minimum,omitempty"`
	Pattern              string                 `json:"pattern,omitempty"`
	Properties           map[string]*jsonSchema `json:"properties,omitempty"`
	Required             []string               `json:"required,omitempty"`
	Title                string                 `json:"title,omitempty"`
	Type                 string                 `json:"type"`
}

// durationPattern matches what time.ParseDuration accepts, except signs, 0 without a unit, numbers that begin or end with
// the decimal point, and the second spelling of a microsecond.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// JSONSchema returns a JSON Schema of the TOML file, for editors.
func JSONSchema() ([]byte, error) {
	schema := sectionSchema(reflect.TypeFor[document]())
	schema.Schema = "https://json-schema.org/draft/2020-12/schema"
	schema.Title = "aspenbarrow"
	return json.MarshalIndent(schema, "", "  ")
}

func sectionSchema(section reflect.Type) *jsonSchema {
	schema := &jsonSchema{Type: "object", AdditionalProperties: new(bool), Properties: map[string]*jsonSchema{}}
	for _, key := range keysOf(section) {
		schema.Properties[key.name] = keySchema(&key)
		if key.isRequired() {
			schema.Required = append(schema.Required, key.name)
		}
	}
	return schema
}

func keySchema(key *keySpec) *jsonSchema {
	schema := typeSchema(key)
	schema.Description = key.tag.Get("doc")
	if text, ok := key.defaultText(); ok {
		schema.Default = schemaDefault(key.typ, text)
	}
	return schema
}

// typeSchema returns the part of the schema that follows from the type of a key.
func typeSchema(key *keySpec) *jsonSchema {
	switch {
	case key.isSection():
		return sectionSchema(key.typ)
	case key.isSectionList():
		return &jsonSchema{Type: "array", Items: sectionSchema(key.typ.Elem())}
	}
	switch reflect.Zero(key.typ).Interface().(type) {
	case time.Duration:
		return &jsonSchema{Type: "string", Pattern: durationPattern}
	case []string:
		return &jsonSchema{Type: "array", Items: &jsonSchema{Type: "string"}}
	case bool:
		return &jsonSchema{Type: "boolean"}
	case int:
		return &jsonSchema{Type: "integer", Minimum: new(int)}
	case float64:
		return &jsonSchema{Type: "number", Minimum: new(int)}
	}
	choices, _ := key.choices()
	return &jsonSchema{Type: "string", Enum: choices}
}

// schemaDefault returns a default in its JSON type.
func schemaDefault(typ reflect.Type, text string) any {
	switch reflect.Zero(typ).Interface().(type) {
	case time.Duration, string:
		return text
	case []string:
		return strings.Split(text, ",")
	case bool:
		return text == "true"
	}
	return json.Number(text)
}
