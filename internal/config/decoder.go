package config

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// maxDuration bounds every time in a file; a longer one is taken for a typing error.
const maxDuration = 24 * time.Hour

// durationFormat describes, in errors, how a time is written.
const durationFormat = `with a unit, such as "1.8s" or "250ms"`

// decode reads the text. Keys that it does not contain get their defaults. All problems are reported: if the text is not
// TOML, decode returns nil; after any other problem the key gets its default as well, but a list keeps the items before
// the invalid one.
func (s *source) decode() *document {
	var values map[string]any
	if err := toml.Unmarshal(s.text, &values); err != nil {
		s.reportSyntax(err)
		return nil
	}
	s.locateKeys()
	doc := &document{}
	s.decodeSection("", reflect.ValueOf(doc).Elem(), values)
	return doc
}

// decodeSection sets the fields of a section from its values.
func (s *source) decodeSection(path string, section reflect.Value, values map[string]any) {
	keys := keysOf(section.Type())
	s.reportUnknown(path, keys, values)
	for _, key := range keys {
		name, field := joinKey(path, key.name), section.FieldByIndex(key.index)
		value, ok := values[key.name]
		if ok && s.decodeGiven(name, &key, field, value) {
			continue
		}
		if !ok && key.isRequired() {
			s.report(name, ErrMissingKey, "is missing")
		}
		s.setDefault(name, &key, field)
	}
}

// reportUnknown reports the values of a section that belong to no key.
func (s *source) reportUnknown(path string, keys []keySpec, values map[string]any) {
	known := make([]string, len(keys))
	for i, key := range keys {
		known[i] = key.name
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains(known, name) {
			s.report(joinKey(path, name), ErrUnknownKey, "%s", withSuggestion("no such key", name, known))
		}
	}
}

// decodeGiven sets a field from the value of its key. It returns false if the key must get its default: a value that is
// already reported must not cause further problems.
func (s *source) decodeGiven(name string, key *keySpec, field reflect.Value, value any) bool {
	before := len(s.problems)
	s.values[name] = value
	s.decodeValue(name, key, field, value)
	if len(s.problems) > before && field.Kind() != reflect.Slice {
		return false
	}
	s.given[name] = true
	return true
}

// setDefault sets a field to the default of its key.
func (s *source) setDefault(name string, key *keySpec, field reflect.Value) {
	if key.isSection() {
		if _, ok := s.offsets[name]; !ok { // the problems of a section in the text are already reported
			s.decodeSection(name, field, nil)
		}
		return
	}
	text, ok := key.defaultText()
	if !ok {
		return
	}
	if err := parseDefault(field, text); err != nil {
		panic(fmt.Sprintf("default of %s: %v", name, err)) // an error in the types of document.go, whatever the file
	}
}

func parseDefault(field reflect.Value, text string) (err error) {
	switch target := field.Addr().Interface().(type) {
	case *string:
		*target = text
	case *bool:
		*target, err = strconv.ParseBool(text)
	case *int:
		*target, err = strconv.Atoi(text)
	case *float64:
		*target, err = strconv.ParseFloat(text, 64)
	case *time.Duration:
		*target, err = time.ParseDuration(text)
	case *[]string:
		*target = strings.Split(text, ",")
	}
	return err
}

// decodeValue sets a field from a value of the text, by the type of the field.
func (s *source) decodeValue(name string, key *keySpec, field reflect.Value, value any) {
	switch target := field.Addr().Interface().(type) {
	case *string:
		s.decodeString(name, key, target, value)
	case *bool:
		s.decodeBool(name, target, value)
	case *int:
		s.decodeInt(name, target, value)
	case *float64:
		s.decodeFloat(name, target, value)
	case *time.Duration:
		s.decodeDuration(name, target, value)
	case *[]string:
		s.decodeStrings(name, target, value)
	default:
		if key.isSectionList() {
			s.decodeSections(name, field, value)
			return
		}
		table, ok := value.(map[string]any)
		if !ok {
			s.reportType(name, value, "a section")
			return
		}
		s.decodeSection(name, field, table)
	}
}

// reportType reports a value of the wrong type.
func (s *source) reportType(name string, value any, expected string) {
	s.report(name, ErrWrongType, "got %s, expected %s", describeValue(value), expected)
}

func (s *source) decodeString(name string, key *keySpec, target *string, value any) {
	text, ok := value.(string)
	if !ok {
		s.reportType(name, value, "a text in quotes")
		return
	}
	if choices, ok := key.choices(); ok && !slices.Contains(choices, text) {
		s.report(name, ErrUnknownValue, "%s", notOneOf(text, joinChoices(choices, ", "), choices))
		return
	}
	*target = text
}

func (s *source) decodeBool(name string, target *bool, value any) {
	boolean, ok := value.(bool)
	if !ok {
		s.reportType(name, value, "true or false")
		return
	}
	*target = boolean
}

func (s *source) decodeInt(name string, target *int, value any) {
	number, ok := value.(int64)
	switch {
	case !ok:
		s.reportType(name, value, "a whole number")
	case number < 0 || number > math.MaxInt32:
		s.report(name, ErrOutOfRange, "%d is out of range: expected 0 to %d", number, math.MaxInt32)
	default:
		*target = int(number)
	}
}

func (s *source) decodeFloat(name string, target *float64, value any) {
	var number float64
	switch value := value.(type) {
	case int64:
		number = float64(value)
	case float64:
		number = value
	default:
		s.reportType(name, value, "a number")
		return
	}
	if math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		s.report(name, ErrOutOfRange, "%v is out of range: expected a finite number, 0 or more", value)
		return
	}
	*target = number
}

func (s *source) decodeDuration(name string, target *time.Duration, value any) {
	text, ok := value.(string)
	if !ok {
		s.reportType(name, value, "a time "+durationFormat)
		return
	}
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.report(name, ErrInvalidValue, "%q is not a time: expected a number "+durationFormat, text)
	case duration < 0 || duration > maxDuration:
		s.report(name, ErrOutOfRange, "%v is out of range: expected 0 to %v", duration, maxDuration)
	default:
		*target = duration
	}
}

// decodeStrings sets a list of texts. The items before one of the wrong type are kept, so that they are checked as well.
func (s *source) decodeStrings(name string, target *[]string, value any) {
	list, ok := value.([]any)
	if !ok {
		s.reportType(name, value, "a list of texts")
		return
	}
	*target = []string{}
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			s.report(name, ErrWrongType, "holds %s, expected only texts in quotes", describeValue(item))
			return
		}
		*target = append(*target, text)
	}
}

// decodeSections sets a list of sections. The items before one of the wrong type are kept, so that they are checked as
// well.
func (s *source) decodeSections(name string, field reflect.Value, value any) {
	list, ok := value.([]any)
	if !ok {
		s.reportType(name, value, fmt.Sprintf("a list: [[%s]]", name))
		return
	}
	for i, item := range list {
		table, ok := item.(map[string]any)
		if !ok {
			s.report(name, ErrWrongType, "holds %s, expected only sections", describeValue(item))
			return
		}
		field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
		s.decodeSection(elementKey(name, i), field.Index(i), table)
	}
}

// describeValue returns the type of a value that go-toml decoded, in the words of the documentation, and the value
// itself unless it is a list or a section.
func describeValue(value any) string {
	switch value := value.(type) {
	case string:
		return fmt.Sprintf("the text %q", value)
	case bool:
		return fmt.Sprint(value)
	case int64:
		return fmt.Sprintf("the whole number %d", value)
	case float64:
		return fmt.Sprintf("the number %v", value)
	case []any:
		return "a list"
	case map[string]any:
		return "a section"
	}
	return fmt.Sprintf("the date or time of day %v", value)
}
