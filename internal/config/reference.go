package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// ExampleTOML returns a valid TOML file with every key, its description, and its default or an example value.
func ExampleTOML() string {
	var out strings.Builder
	out.WriteString("# aspenbarrow: every key, with its default or an example value. Keys that are commented out have neither.\n")
	writeExample(&out, reflect.TypeFor[document]())
	return out.String()
}

func writeExample(out *strings.Builder, section reflect.Type) {
	for _, key := range keysOf(section) {
		switch {
		case key.isSection():
			fmt.Fprintf(out, "\n# %s\n[%s]\n", key.doc(""), key.name)
			writeExample(out, key.typ)
		case key.isSectionList():
			fmt.Fprintf(out, "\n# %s\n[[%s]]\n", key.doc(""), key.name)
			writeExample(out, key.typ.Elem())
		default:
			writeExampleKey(out, &key)
		}
	}
}

// writeExampleKey writes one key; one without a default or an example is commented out.
func writeExampleKey(out *strings.Builder, key *keySpec) {
	commentMark := ""
	value, ok := key.defaultText()
	if example := key.tag.Get("example"); example != "" {
		value = example
	} else if !ok {
		commentMark = "#"
	}
	fmt.Fprintf(out, "# %s\n%s%s = %s\n", key.doc(""), commentMark, key.name, formatText(key.typ, value))
}

// MarkdownKeys returns a Markdown table of the keys of each section, for docs/configuration.md.
func MarkdownKeys() string {
	var out strings.Builder
	for _, section := range keysOf(reflect.TypeFor[document]()) {
		heading, typ := "["+section.name+"]", section.typ
		if section.isSectionList() {
			heading, typ = "["+heading+"]", typ.Elem()
		}
		fmt.Fprintf(&out, "### `%s`\n\n%s\n\n", heading, section.doc("`"))
		out.WriteString("| key | kind | default | what it is for |\n| --- | --- | --- | --- |\n")
		for _, key := range keysOf(typ) {
			fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", key.name, kindName(key.typ), markdownDefault(&key), key.doc("`"))
		}
		out.WriteByte('\n')
	}
	return out.String()
}

func markdownDefault(key *keySpec) string {
	if key.isRequired() {
		return "must be given"
	}
	if text, ok := key.defaultText(); ok {
		return "`" + formatText(key.typ, text) + "`"
	}
	return "-"
}

// kindName returns the type of a key in the words of the documentation.
func kindName(typ reflect.Type) string {
	switch reflect.Zero(typ).Interface().(type) {
	case time.Duration:
		return "time"
	case string:
		return "text"
	case bool:
		return "true or false"
	case int:
		return "whole number"
	case float64:
		return "number"
	case []string:
		return "list of texts"
	}
	return ""
}
