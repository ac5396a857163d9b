package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"

	"aspenbarrow/internal/settings"
)

// ErrIncompleteReplacement is the error that every ReplacementError wraps.
var ErrIncompleteReplacement = errors.New("the file must have all keys of the file in force, with values of the same types")

// ReplacementError reports a key of the file in force that is missing in its replacement, or has a value of another type
// there.
type ReplacementError struct {
	Key    string // path within the file, as in "settings.classes[0].give-up-ms"
	Reason string
}

// Error implements the error interface.
func (e *ReplacementError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Key, e.Reason, ErrIncompleteReplacement)
}

// Unwrap returns ErrIncompleteReplacement.
func (e *ReplacementError) Unwrap() error { return ErrIncompleteReplacement }

// optionalKeys are the keys that a valid file may omit although the file in force has them. The names of keys within the
// elements of a list have empty brackets. Package settings requires the keys of deduplication of classes that need them.
var optionalKeys = map[string]bool{
	"known":      true, // the cached endpoint list
	"watch":      true, // the settings of the shadow evaluation
	"membership": true,

	"settings.classes[].aim-stretch":     true,
	"settings.classes[].dedup-scope":     true,
	"settings.classes[].dedup-window-ms": true,
	"settings.goal.log-loss-part":        true,
	"settings.goal.nines-wanted":         true,
	"settings.rules.budget-window-ms":    true,
	"settings.rules.extra-ratio":         true,
	"settings.rules.free-resends":        true,
	"settings.rules.gone-is-advice":      true,
}

// listIndex matches the index of an element in the path of a key.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// isOptional reports whether a valid file may omit the key with the given path.
func isOptional(path string) bool { return optionalKeys[listIndex.ReplaceAllString(path, "[]")] }

// CheckReplacement checks whether a file that was read again may replace the one in force: it must have all keys of the
// old one that are not optional, each key with a value of the same type, and valid settings. So a truncated file never
// takes effect. The keys of a TOML file are checked when it is parsed. Errors are *ReplacementError, *settings.FieldError
// or those of encoding/json.
func (c Config) CheckReplacement(old Config) error {
	if c.platform == nil {
		return nil
	}
	var object struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(c.platform, &object); err != nil {
		return err
	}
	if old.platform != nil {
		if err := checkKeys(c.platform, old.platform); err != nil {
			return err
		}
	}
	return settings.Validate(object.Settings)
}

// checkKeys checks that a JSON text has all keys of an older one that are not optional.
func checkKeys(text, oldText []byte) error {
	var value, old any
	if err := errors.Join(json.Unmarshal(text, &value), json.Unmarshal(oldText, &old)); err != nil {
		return err
	}
	return checkValue("", value, old)
}

// checkValue checks that a JSON value has the shape of an older one: it is of the same type, an object has all keys of
// the old one that are not optional, and each object in a list has those that all objects of the old list have.
func checkValue(path string, value, old any) error {
	if old == nil { // any value may replace null
		return nil
	}
	if err := checkType(path, value, old); err != nil {
		return err
	}
	switch old := old.(type) {
	case map[string]any:
		return checkObject(path, value.(map[string]any), old)
	case []any:
		return checkList(path, value.([]any), old)
	}
	return nil
}

// checkType checks that a JSON value is of the type of an older one.
func checkType(path string, value, old any) error {
	if jsonType(value) == jsonType(old) {
		return nil
	}
	return &ReplacementError{Key: path, Reason: fmt.Sprintf("is of type %s, expected %s", jsonType(value), jsonType(old))}
}

func checkObject(path string, object, old map[string]any) error {
	for _, name := range slices.Sorted(maps.Keys(old)) {
		key := joinKey(path, name)
		value, ok := object[name]
		if isOptional(key) {
			if err := checkOptional(key, value, old[name]); err != nil {
				return err
			}
			continue
		}
		if !ok {
			return &ReplacementError{Key: key, Reason: "is missing"}
		}
		if err := checkValue(key, value, old[name]); err != nil {
			return err
		}
	}
	return nil
}

// checkOptional checks that the value of an optional key is of the type of the older one, unless either is absent or null.
func checkOptional(path string, value, old any) error {
	if value == nil || old == nil {
		return nil
	}
	return checkType(path, value, old)
}

func checkList(path string, list, old []any) error {
	shape := commonShape(old)
	if shape == nil {
		return nil
	}
	for i, value := range list {
		if err := checkValue(elementKey(path, i), value, shape); err != nil {
			return err
		}
	}
	return nil
}

// commonShape returns an object with the keys that all objects of a list have; nil if the list is empty or contains
// other values.
func commonShape(list []any) map[string]any {
	var shape map[string]any
	for i, value := range list {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			shape = maps.Clone(object)
			continue
		}
		maps.DeleteFunc(shape, func(key string, _ any) bool {
			_, ok := object[key]
			return !ok
		})
	}
	return shape
}

// jsonType returns the JSON type of a decoded value.
func jsonType(value any) string {
	switch value.(type) {
	case nil:
		return jsonNull
	case bool:
		return "boolean"
	case float64:
		return "number"
	case string:
		return "text"
	case []any:
		return "list"
	}
	return "object"
}
