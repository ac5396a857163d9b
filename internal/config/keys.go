package config

import (
	"reflect"
	"strconv"
	"strings"
	"time"
)

// keySpec describes one key of a section, as declared by its field in the section's type.
type keySpec struct {
	name  string
	index []int // of the field, for reflect.Value.FieldByIndex
	tag   reflect.StructTag
	typ   reflect.Type
}

var durationType = reflect.TypeFor[time.Duration]()

// keysOf returns the keys of a section in their order, those of embedded sections included.
func keysOf(section reflect.Type) (keys []keySpec) {
	for _, field := range reflect.VisibleFields(section) {
		if name, ok := field.Tag.Lookup("toml"); ok {
			keys = append(keys, keySpec{name: name, index: field.Index, tag: field.Tag, typ: field.Type})
		}
	}
	return keys
}

// isSection reports whether the value of the key is a section.
func (k *keySpec) isSection() bool { return k.typ.Kind() == reflect.Struct }

// isSectionList reports whether the value of the key is a list of sections.
func (k *keySpec) isSectionList() bool {
	return k.typ.Kind() == reflect.Slice && k.typ.Elem().Kind() == reflect.Struct
}

func (k *keySpec) isRequired() bool {
	_, required := k.tag.Lookup("required")
	return required
}

// defaultText returns the default as written in the tag, the items of a list separated by commas.
func (k *keySpec) defaultText() (text string, ok bool) { return k.tag.Lookup("default") }

// choices returns the allowed values of a text; ok is false if any value is allowed.
func (k *keySpec) choices() (values []string, ok bool) {
	list, ok := k.tag.Lookup("oneof")
	if !ok {
		return nil, false
	}
	return strings.Split(list, ","), true
}

// joinChoices joins the allowed values of a text, without the empty one, which means an absent key.
func joinChoices(values []string, separator string) string {
	if values[0] == "" {
		values = values[1:]
	}
	return strings.Join(values, separator)
}

// doc returns the description of the key, with its choices in the given quotes.
func (k *keySpec) doc(quote string) string {
	doc := k.tag.Get("doc")
	if choices, ok := k.choices(); ok {
		doc += " One of " + quote + joinChoices(choices, quote+", "+quote) + quote + "."
	}
	return doc
}

// formatText returns a value, in the form of a default tag, as a TOML file writes it.
func formatText(typ reflect.Type, text string) string {
	switch {
	case typ == durationType, typ.Kind() == reflect.String:
		return strconv.Quote(text)
	case typ.Kind() == reflect.Slice:
		return formatList(text)
	}
	return text
}

func formatList(text string) string {
	if text == "" {
		return "[]"
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strconv.Quote(items[i])
	}
	return "[" + strings.Join(items, ", ") + "]"
}
